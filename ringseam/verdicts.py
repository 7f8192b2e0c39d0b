"""Verdicts on contents and prompt parts that crash servers, and the requests they apply to."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.contents import ContentId, is_part

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from ringseam.evidence import CrashRecord, EndId
    from ringseam.quarantinemessages import QuarantineSnapshot, Suspect

_ID_HEX_DIGITS = 24


@dataclass(kw_only=True)
class Verdict:
    """A quarantined content, or prompt parts, and the crashes that led to it."""

    service: str
    account: str
    #: The software versions that it crashed.
    software: frozenset[str]
    quarantined_at: float
    #: It applies to requests with all of these: one content, one part, or parts that only ever
    #: came together, so that it isn't known which of them is the cause.
    keys: frozenset[ContentId] = frozenset()
    #: What else all requests had that led to it. Its crashes don't clear these.
    companions: frozenset[ContentId] = frozenset()
    #: Whether it applies to the requests of its account only.
    is_scoped: bool = False
    #: Empty if the verdict was recorded by an earlier leader.
    crashes: set[EndId] = field(default_factory=set)
    #: The number of crashes that was required; with fewer left the verdict is withdrawn.
    crashes_needed: int = 0
    #: How often the verdict was lifted for a retest.
    lifts: int = 0

    @property
    def is_partial(self) -> bool:
        """Return whether requests with one of its keys may be sound."""
        return self.is_scoped or len(self.keys) > 1

    @property
    def is_on_parts(self) -> bool:
        """Return whether it is on parts of prompts, not on a whole request."""
        return any(map(is_part, self.keys))

    def applies_to(self, keys: Collection[ContentId], account: str) -> bool:
        """Return whether requests of an account with these keys crash servers."""
        return self.keys.issubset(keys) and (not self.is_scoped or account == self.account)

    def covers(self, other: Verdict) -> bool:
        """Return whether it applies to all requests that another verdict applies to."""
        if not self.keys <= other.keys | other.companions:
            return False
        is_of_one_account = other.is_scoped or not other.is_on_parts
        return not self.is_scoped or (is_of_one_account and other.account == self.account)

    def explains(self, record: CrashRecord, key: ContentId) -> bool:
        """Return whether it is the cause of a crash, and so another key isn't."""
        if key in self.keys or key in self.companions:
            return False
        first_key = next(iter(self.keys))
        return any(self.keys <= request.keys for request in record.requests_with(first_key))


@dataclass(kw_only=True)
class VerdictIndex:
    """Verdicts by their ids, to be found by the keys of a request."""

    ids_by_key: dict[ContentId, set[ContentId]] = field(default_factory=dict)

    @classmethod
    def of(cls, keys_by_id: Mapping[ContentId, Iterable[ContentId]]) -> VerdictIndex:
        """Return the index of verdicts with these ids and keys."""
        index = cls()
        for verdict_id, keys in keys_by_id.items():
            for key in keys:
                index.ids_by_key.setdefault(key, set()).add(verdict_id)
        return index

    def candidates(self, suspect: Suspect) -> set[ContentId]:
        """Return the ids of the verdicts that share a key with a request."""
        if not self.ids_by_key:
            return set()
        return {found for key in suspect.keys for found in self.ids_by_key.get(key, ())}


def verdict_id(keys: Collection[ContentId]) -> ContentId:
    """Return the id of a verdict: its key, or a digest of its keys."""
    if len(keys) == 1:
        return next(iter(keys))
    digest = hashlib.sha256(','.join(sorted(keys)).encode())
    return ContentId(digest.hexdigest()[:_ID_HEX_DIGITS])


class EnforcedVerdicts:
    """The verdicts that a gateway has received from the leader."""

    def __init__(self, *, snapshot: QuarantineSnapshot) -> None:
        """Index the verdicts of a snapshot."""
        self.snapshot = snapshot
        self.index = VerdictIndex.of(
            {known_id: self._keys_of(known_id) for known_id in snapshot.quarantined}
        )

    def find(self, suspect: Suspect) -> ContentId | None:
        """Return the id of a verdict that applies to a request; None: there is none."""
        for known_id in self.index.candidates(suspect):
            is_meant = self.snapshot.accounts.get(known_id, suspect.account) == suspect.account
            if is_meant and set(self._keys_of(known_id)).issubset(suspect.keys):
                return known_id
        return None

    def _keys_of(self, known_id: ContentId) -> tuple[ContentId, ...]:
        return self.snapshot.keys.get(known_id, (known_id,))
