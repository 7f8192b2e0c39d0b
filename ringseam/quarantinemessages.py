"""Messages on contents that crash servers: evidence to the leader, verdicts from it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Union

import msgspec

from ringseam.contents import ContentId, PartId
from ringseam.lifetimes import BackendId
from ringseam.messages import Empty, Message, Redirect, Tagged
from ringseam.rpc import Method

if TYPE_CHECKING:
    from collections.abc import Container


class Suspect(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A request that may crash servers: by its content, or by any part of its prompt."""

    content: ContentId
    account: str = ''
    parts: tuple[PartId, ...] = ()

    @property
    def keys(self) -> tuple[ContentId, ...]:
        """Return everything by which the request may be suspected."""
        return (self.content, *self.parts)

    def without(self, keys: Container[ContentId]) -> Suspect:
        """Return the request without the parts that are in ``keys``."""
        parts = tuple(part for part in self.parts if part not in keys)
        return self if parts == self.parts else msgspec.structs.replace(self, parts=parts)


class ServerCrash(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway had in flight on a server that crashed."""

    instance: BackendId
    service: str
    software: str = ''
    suspects: tuple[Suspect, ...] = ()
    #: How long each suspect had been in flight, in the same order; empty: not known.
    ran_ms: tuple[int, ...] = ()
    #: Time since the gateway detected the crash.
    age_ms: int = 0

    def suspects_with_age(self) -> list[tuple[Suspect, int]]:
        """Return each suspect and how long it had been in flight, in milliseconds."""
        return list(
            itertools.zip_longest(self.suspects, self.ran_ms[: len(self.suspects)], fillvalue=0)
        )


class CrashReport(Message, frozen=True, kw_only=True):
    """Crashes that a gateway has detected."""

    ends: tuple[ServerCrash, ...]


class ServedReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Report that a server of this software version answered a request with success."""

    content: ContentId
    software: str
    parts: tuple[PartId, ...] = ()


class TrialRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Request a trial run of a suspected request, or with ``over`` report its end."""

    content: ContentId
    lasts_ms: int = 0
    over: bool = False
    account: str = ''
    #: Parts of its prompt that a server is about to read.
    parts: tuple[PartId, ...] = ()


class Heard(Tagged, frozen=True, kw_only=True):
    """The leader has recorded the report."""


class TrialAnswer(Tagged, frozen=True, kw_only=True):
    """The decision; ``state`` is a value of :class:`ringseam.quarantine.TrialState`."""

    state: str


class EvidenceReply(Message, frozen=True, kw_only=True):
    """Acknowledgement of a report, or a redirect to the leader."""

    reply: Union[Heard, Redirect]


class TrialReply(Message, frozen=True, kw_only=True):
    """Decision on a trial run, or a redirect to the leader."""

    reply: Union[TrialAnswer, Redirect]


class QuarantineSnapshot(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The complete quarantine state that gateways enforce."""

    version: int
    #: When each verdict was reached, Unix time in ms. The id of a verdict on one content or part
    #: is its key.
    quarantined: dict[ContentId, int] = msgspec.field(default_factory=dict)
    #: The keys of each verdict on several parts; it applies to requests that have all of them.
    keys: dict[ContentId, tuple[ContentId, ...]] = msgspec.field(default_factory=dict)
    #: The account of each verdict that applies to the requests of one account only.
    accounts: dict[ContentId, str] = msgspec.field(default_factory=dict)
    #: Suspected contents and parts; requests with one of them only run as trials.
    suspects: tuple[ContentId, ...] = ()
    #: Pairs of an account and the service on which it is confined to one server.
    confined: tuple[tuple[str, str], ...] = ()

    def merged_with(self, earlier: QuarantineSnapshot) -> QuarantineSnapshot:
        """Return this snapshot with the verdicts of an earlier one that it lacks."""
        return msgspec.structs.replace(
            self,
            quarantined={**earlier.quarantined, **self.quarantined},
            keys={**earlier.keys, **self.keys},
            accounts={
                **{
                    verdict: account
                    for verdict, account in earlier.accounts.items()
                    if verdict not in self.quarantined
                },
                **self.accounts,
            },
        )


class VerdictEntry(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A verdict as operators see it."""

    verdict: ContentId
    #: The content, or the parts that requests must all have.
    keys: tuple[ContentId, ...]
    service: str
    account: str = ''
    #: Whether it applies to the requests of this account only.
    is_scoped: bool = False
    #: The software versions that crashed.
    software: tuple[str, ...] = ()
    #: The crashes that led to it; empty if an earlier leader recorded it.
    crashes: tuple[str, ...] = ()
    #: For how long this leader has known it, seconds.
    age_s: float = 0
    lifts: int = 0


class VerdictList(Tagged, frozen=True, kw_only=True):
    """All verdicts in force."""

    verdicts: tuple[VerdictEntry, ...]


class VerdictLift(Message, frozen=True, kw_only=True):
    """Order to lift a verdict for a retest: one run, and one crash restores it."""

    verdict: ContentId


class VerdictsReply(Message, frozen=True, kw_only=True):
    """The verdicts after an order, or a redirect to the leader."""

    reply: Union[VerdictList, Redirect]


REPORT_CRASHES = Method('/ringseam.Quarantine/ReportEnds', CrashReport, EvidenceReply)
REPORT_SERVED = Method('/ringseam.Quarantine/ReportServed', ServedReport, EvidenceReply)
TRIAL = Method('/ringseam.Quarantine/Trial', TrialRequest, TrialReply)
READ_VERDICTS = Method('/ringseam.Quarantine/ReadVerdicts', Empty, VerdictsReply)
LIFT_VERDICT = Method('/ringseam.Quarantine/LiftVerdict', VerdictLift, VerdictsReply)
