"""Messages on contents that crash servers: evidence to the leader, verdicts from it."""

from __future__ import annotations

from typing import Union

import msgspec

from ringseam.contents import ContentId
from ringseam.lifetimes import BackendId
from ringseam.messages import Message, Redirect, Tagged
from ringseam.rpc import Method


class Suspect(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A content that was in flight on a server when it crashed."""

    content: ContentId
    account: str = ''


class ServerCrash(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What one gateway had in flight on a server that crashed."""

    instance: BackendId
    service: str
    software: str = ''
    suspects: tuple[Suspect, ...] = ()
    #: Time since the gateway detected the crash.
    age_ms: int = 0


class CrashReport(Message, frozen=True, kw_only=True):
    """Crashes that a gateway has detected."""

    ends: tuple[ServerCrash, ...]


class ServedReport(Message, frozen=True, kw_only=True):
    """Report that a server of this software version answered a content with success."""

    content: ContentId
    software: str


class TrialRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Request a trial run of a suspected content, or with ``over`` report its end."""

    content: ContentId
    lasts_ms: int = 0
    over: bool = False


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
    #: When each content was quarantined, Unix time in ms.
    quarantined: dict[ContentId, int] = msgspec.field(default_factory=dict)
    #: Suspected contents, which may only run as trials.
    suspects: tuple[ContentId, ...] = ()
    #: Pairs of an account and the service on which it is confined to one server.
    confined: tuple[tuple[str, str], ...] = ()


REPORT_CRASHES = Method('/ringseam.Quarantine/ReportEnds', CrashReport, EvidenceReply)
REPORT_SERVED = Method('/ringseam.Quarantine/ReportServed', ServedReport, EvidenceReply)
TRIAL = Method('/ringseam.Quarantine/Trial', TrialRequest, TrialReply)
