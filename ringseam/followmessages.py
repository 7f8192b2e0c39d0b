"""Messages by which gateways follow control, and control hosts pass on calls."""

from __future__ import annotations

from typing import Optional, Union

import msgspec

from ringseam.backends import BackendId, BackendReport, GatewayState
from ringseam.messages import Empty, Message, Redirect, Tagged
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.rpc import Method
from ringseam.zones import DrainedZones


class WatchRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask for what is newer than what the gateway holds.

    It confirms at once: changes up to ``since`` of ``epoch`` are known, and
    the document with ``number`` is in force.
    """

    gateway: GatewayState
    epoch: str = ''
    since: int = 0
    number: int = 0
    #: The newest document that the gateway has heard of, and may be fetching.
    heard: int = 0
    #: The version of the quarantine that the gateway holds to.
    quarantine: int = 0
    #: The newest change of drained zones that the gateway obeys.
    zones: int = 0


class DocumentConfirmation(Message, frozen=True, kw_only=True):
    """A document is in force at a gateway, whose watch is still open."""

    gateway: GatewayState
    number: int


class WatchUpdate(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='WatchNews'):
    """What is newer; ``whole`` says that the reports are all there are."""

    epoch: str
    upto: int
    whole: bool
    #: Whether the directory has had the time to hear every backend server.
    warm: bool
    reports: tuple[BackendReport, ...] = ()
    #: Servers that have fallen silent.
    silent: tuple[BackendId, ...] = ()
    #: The newest accepted document; who lacks it fetches it.
    number: int = 0
    gateways: tuple[GatewayState, ...] = ()
    control: tuple[str, ...] = ()
    #: Contents that end servers; None: nothing new.
    quarantine: Optional[QuarantineSnapshot] = None
    zones: DrainedZones = DrainedZones()


class WatchReply(Message, frozen=True, kw_only=True):
    """News, or where the leader may be."""

    reply: Union[WatchUpdate, Redirect]


class DocumentPartRequest(Message, frozen=True, kw_only=True):
    """Ask for a part of what makes document ``number`` from document ``held``."""

    number: int
    base: int = msgspec.field(name='held')
    offset: int


class DocumentPart(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """A part of a change against document ``held``; 0: against nothing."""

    base: int = msgspec.field(name='held')
    total: int
    part: bytes


class PartUnavailable(Tagged, frozen=True, kw_only=True, tag='PartLacking'):
    """The host doesn't hold that document."""


class DocumentPartReply(Message, frozen=True, kw_only=True):
    """A part of a document, or why there is none."""

    reply: Union[DocumentPart, PartUnavailable]


class ReportAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='ReportTaken'):
    """The report is in the directory; ``report_to`` is the leader's address."""

    report_to: str = ''


class ReportRejected(Tagged, frozen=True, kw_only=True, tag='ReportForeign'):
    """Nothing was changed: the report isn't one of the server that it names."""


class ReportBackendReply(Message, frozen=True, kw_only=True):
    """Acknowledgement of a report, why there is none, or where the leader may be."""

    reply: Union[ReportAccepted, ReportRejected, Redirect]


class SubmitRequest(Message, frozen=True, kw_only=True):
    """Accept a checked document under its number."""

    number: int
    document: bytes


class AcceptedDocument(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='DocumentHeld'):
    """The newest accepted document; empty in answers to a submit."""

    number: int
    document: bytes = b''


class GroupNotReady(Tagged, frozen=True, kw_only=True, tag='NotYet'):
    """Nothing was changed: the group can't bear its losses yet."""


class ZoneOrder(Message, frozen=True, kw_only=True):
    """An operator's order to drain an availability zone, or to use it again."""

    zone: str
    drained: bool


class ZonesReply(Message, frozen=True, kw_only=True):
    """The drained zones, or why an order was not taken."""

    reply: Union[DrainedZones, GroupNotReady, Redirect]


class DocumentReply(Message, frozen=True, kw_only=True):
    """The newest document, or why there is none."""

    reply: Union[AcceptedDocument, GroupNotReady, Redirect]


WATCH = Method('/ringseam.Follow/Watch', WatchRequest, WatchReply)
CONFIRM = Method('/ringseam.Follow/Confirm', DocumentConfirmation, Empty)
DOCUMENT_PART = Method('/ringseam.Follow/DocumentPart', DocumentPartRequest, DocumentPartReply)
REPORT_BACKEND = Method('/ringseam.Follow/ReportBackend', BackendReport, ReportBackendReply)
SUBMIT = Method('/ringseam.Follow/SubmitRequest', SubmitRequest, DocumentReply)
ORDER_ZONE = Method('/ringseam.Follow/OrderZone', ZoneOrder, ZonesReply)
READ_ZONES = Method('/ringseam.Follow/ReadZones', Empty, ZonesReply)
READ_DOCUMENT = Method('/ringseam.Follow/ReadDocument', Empty, DocumentReply)
