"""Messages on contents that end servers: evidence to the leader, verdicts from it."""

from __future__ import annotations

from typing import Union

import msgspec

from ringseam.contents import ContentId
from ringseam.lifetimes import BackendId
from ringseam.messages import Message, Redirect, Tagged
from ringseam.rpc import Method


class Suspect(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A content that was under way on a server when it ended."""

    content: ContentId
    account: str = ''


class ServerCrash(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway had under way on a lifetime that ended unplanned."""

    instance: BackendId
    service: str
    software: str = ''
    suspects: tuple[Suspect, ...] = ()
    #: How long ago the gateway saw it.
    age_ms: int = 0


class CrashReport(Message, frozen=True, kw_only=True):
    """Ends that a gateway has seen."""

    ends: tuple[ServerCrash, ...]


class ServedReport(Message, frozen=True, kw_only=True):
    """Servers of a version have run a content and answered."""

    content: ContentId
    software: str


class TrialRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask whether a suspected content may run; ``over``: its run has ended."""

    content: ContentId
    lasts_ms: int = 0
    over: bool = False


class Heard(Tagged, frozen=True, kw_only=True):
    """The leader has taken it in."""


class TrialAnswer(Tagged, frozen=True, kw_only=True):
    """What becomes of the content, as :class:`ringseam.quarantine.TrialState` says."""

    state: str


class EvidenceReply(Message, frozen=True, kw_only=True):
    """Whether the leader has heard, or where it may be."""

    reply: Union[Heard, Redirect]


class TrialReply(Message, frozen=True, kw_only=True):
    """What becomes of a content, or where the leader may be."""

    reply: Union[TrialAnswer, Redirect]


class QuarantineSnapshot(Message, frozen=True, kw_only=True, omit_defaults=True):
    """All that gateways hold to."""

    version: int
    #: When each content was quarantined, Unix time in ms.
    quarantined: dict[ContentId, int] = msgspec.field(default_factory=dict)
    #: Contents that run on trial only.
    suspects: tuple[ContentId, ...] = ()
    #: Accounts, each with a service, that are kept to one server.
    confined: tuple[tuple[str, str], ...] = ()


REPORT_CRASHES = Method('/ringseam.Quarantine/ReportEnds', CrashReport, EvidenceReply)
REPORT_SERVED = Method('/ringseam.Quarantine/ReportServed', ServedReport, EvidenceReply)
TRIAL = Method('/ringseam.Quarantine/Trial', TrialRequest, TrialReply)
