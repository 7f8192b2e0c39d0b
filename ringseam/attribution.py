"""Attribution of server crashes to contents and parts of prompts, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.contents import is_part
from ringseam.verdicts import Verdict, verdict_id

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.contents import ContentId
    from ringseam.evidence import EndId, Evidence

#: A suspect of this many crashes only runs as a trial, one run at a time. A single crash
#: proves nothing: most of what is in flight on a crashing server is harmless.
CRASHES_TO_SUSPECT = 2
#: A suspected content of this many crashes is quarantined, which limits its cost to three
#: servers.
CRASHES_TO_QUARANTINE = 3
#: The same for parts of prompts. A verdict on a part rejects many requests, so it takes more.
CRASHES_TO_QUARANTINE_PART = 4
#: What can't be told apart by its crashes runs as trials, one by one. After this many crashes
#: one of them is quarantined although it is still ambiguous.
CRASHES_TO_QUARANTINE_AMBIGUOUS = 5
#: Reports of one crash by several gateways arrive within this time, seconds: a refused
#: connection takes a millisecond, a call to the leader a few, a busy gateway 0.1.
REPORT_SETTLE_S = 0.15
#: A key with at least this many crashes that are attributed to another one is quarantined
#: after one crash of its own less: it was never cleared of the former, and a service that
#: loses servers to two causes at once can't wait.
EXPLAINED_CRASHES = 2


@dataclass(kw_only=True)
class Attribution:
    """Decide from the evidence what is suspected, and which verdicts are due."""

    evidence: Evidence
    #: The verdicts in force, which explain crashes, and those lifted for a retest.
    verdicts: dict[ContentId, Verdict]
    lifted: dict[ContentId, Verdict]
    #: The verdicts that explain each crash, as far as they were looked up.
    causes: dict[EndId, list[Verdict]] = field(default_factory=dict)

    def changed(self) -> None:
        """Forget what was derived from former evidence and verdicts."""
        self.causes.clear()

    def unexplained(self, key: ContentId) -> set[EndId]:
        """Return the crashes of a key that no verdict on something else explains."""
        crash_ids = self.evidence.crashes_of(key)
        if not self.verdicts:
            return set(crash_ids)
        return {
            crash_id
            for crash_id in crash_ids
            if not any(
                verdict.explains(self.evidence.crashes[crash_id], key)
                for verdict in self._causes_of(crash_id)
            )
        }

    def is_suspected(self, key: ContentId) -> bool:
        """Return whether requests with a key may only run as trials.

        A suspect of three crashes stays one until a server answers it, even if a verdict on
        something else explains them: it may have caused some of them itself.
        """
        crash_ids = self.evidence.crashes_of(key)
        if self.evidence.count_rounds(key, crash_ids) >= CRASHES_TO_QUARANTINE:
            return True
        return self.evidence.count_rounds(key, self.unexplained(key)) >= CRASHES_TO_SUSPECT

    def is_settled(self, key: ContentId, now: float) -> bool:
        """Return whether all gateways have had time to report the crashes of a key."""
        return all(
            now - self.evidence.crashes[crash_id].last_reported_at >= REPORT_SETTLE_S
            for crash_id in self.unexplained(key)
        )

    def crashes_of_all(self, keys: Collection[ContentId]) -> set[EndId]:
        """Return the unexplained crashes of several keys."""
        return {crash_id for key in keys for crash_id in self.unexplained(key)}

    def due_verdict(
        self, key: ContentId, now: float, *, confined: Collection[tuple[str, str]] = ()
    ) -> Verdict | None:
        """Return the verdict that the crashes of a key call for; None if there is none yet.

        :param confined: pairs of a client account and the service on which it is confined.
        """
        crash_ids = self.unexplained(key)
        lifted = self._lifted_with(key, crash_ids)
        needed = 1 if lifted else self._crashes_needed(key, crash_ids, confined)
        rounds = self.evidence.count_rounds(key, crash_ids)
        if not needed or rounds < needed:
            return None
        companions = self.evidence.companions_of(key, crash_ids)
        keys = lifted.keys if lifted else _verdict_keys(key, companions)
        accounts = self.evidence.accounts_of(key, crash_ids)
        is_scoped = is_part(key) and len(accounts) == 1
        known = self.verdicts.get(verdict_id(keys))
        if known is not None and known.is_scoped <= is_scoped:
            return None
        verdict = self._verdict(key, crash_ids, keys, frozenset(companions) - keys, now)
        verdict.is_scoped = is_scoped
        verdict.crashes_needed = needed
        if lifted:
            # Rolling back to an earlier release must not trigger another retest.
            verdict.software |= lifted.software
            verdict.lifts = lifted.lifts
        return verdict

    def _causes_of(self, crash_id: EndId) -> list[Verdict]:
        """Return the verdicts on something that was in flight at a crash."""
        causes = self.causes.get(crash_id)
        if causes is None:
            in_flight = self.evidence.crashes[crash_id].requests_by_key
            causes = [
                verdict
                for verdict in self.verdicts.values()
                if all(key in in_flight for key in verdict.keys)
            ]
            self.causes[crash_id] = causes
        return causes

    def _crashes_needed(
        self,
        key: ContentId,
        crash_ids: Collection[EndId],
        confined: Collection[tuple[str, str]],
    ) -> int:
        """Return how many crashes call for a verdict on a key; 0 while it is ambiguous."""
        if self._is_only_suspect(key, crash_ids, confined):
            return 1
        companions = self.evidence.companions_of(key, crash_ids)
        if is_part(key) and not all(map(is_part, companions)):
            # All these requests are one content; a verdict on it rejects fewer others.
            return 0
        if self._is_ambiguous(key, crash_ids):
            return 0
        needed = CRASHES_TO_QUARANTINE_PART if is_part(key) else CRASHES_TO_QUARANTINE
        explained = len(self.evidence.crashes_of(key)) - len(crash_ids)
        return needed - 1 if explained >= EXPLAINED_CRASHES else needed

    def _is_ambiguous(self, key: ContentId, crash_ids: Collection[EndId]) -> bool:
        """Return whether something else may be the cause of the same crashes.

        After enough crashes, what began last before them counts as the cause: servers crash as
        a response begins.
        """
        rivals = self.evidence.rivals_of(key, crash_ids)
        if self.evidence.count_rounds(key, crash_ids) < CRASHES_TO_QUARANTINE_AMBIGUOUS:
            return bool(rivals)
        in_flight_s = self.evidence.in_flight_s(key, crash_ids)
        return any(self.evidence.in_flight_s(rival, crash_ids) < in_flight_s for rival in rivals)

    def _is_only_suspect(
        self,
        key: ContentId,
        crash_ids: Collection[EndId],
        confined: Collection[tuple[str, str]],
    ) -> bool:
        """Return whether it is a confined account's only request at some crash."""
        if is_part(key) or not confined:
            return False
        for crash_id in crash_ids:
            record = self.evidence.crashes[crash_id]
            account = record.suspects[key]
            same = [one for one in record.requests.values() if one.account == account]
            if (account, record.service) in confined and len(same) == 1:
                return True
        return False

    def _verdict(
        self,
        key: ContentId,
        crash_ids: Collection[EndId],
        keys: frozenset[ContentId],
        companions: frozenset[ContentId],
        now: float,
    ) -> Verdict:
        records = [self.evidence.crashes[crash_id] for crash_id in crash_ids]
        return Verdict(
            service=records[-1].service,
            account=records[-1].suspects[key],
            software=frozenset(record.software for record in records),
            quarantined_at=now,
            keys=keys,
            companions=companions,
            crashes=set(crash_ids),
        )

    def _lifted_with(self, key: ContentId, crash_ids: Collection[EndId]) -> Verdict | None:
        """Return the verdict under retest on requests with a key that have crashed again."""
        for verdict in self.lifted.values():
            if key in verdict.keys:
                inseparable = {key, *self.evidence.companions_of(key, crash_ids)}
                if verdict.keys <= inseparable:
                    return verdict
        return None


def _verdict_keys(key: ContentId, companions: Collection[ContentId]) -> frozenset[ContentId]:
    """Return what a verdict is on: a content alone, or parts that always came together."""
    if not is_part(key):
        return frozenset((key,))
    return frozenset((key, *filter(is_part, companions)))
