"""Messages by which gateways follow control, and control hosts pass on calls."""

from __future__ import annotations

from typing import Optional, Union

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


class Confirmation(Message, frozen=True, kw_only=True):
    """A document is in force at a gateway, whose watch is still open."""

    gateway: GatewayState
    number: int


class WatchNews(Tagged, frozen=True, kw_only=True, omit_defaults=True):
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

    reply: Union[WatchNews, Redirect]


class PartRequest(Message, frozen=True, kw_only=True):
    """Ask for a part of what makes document ``number`` from document ``held``."""

    number: int
    held: int
    offset: int


class DocumentPart(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """A part of a change against document ``held``; 0: against nothing."""

    held: int
    total: int
    part: bytes


class PartLacking(Tagged, frozen=True, kw_only=True):
    """The host doesn't hold that document."""


class PartReply(Message, frozen=True, kw_only=True):
    """A part of a document, or why there is none."""

    reply: Union[DocumentPart, PartLacking]


class ReportTaken(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The report is in the directory; ``report_to`` is the leader's address."""

    report_to: str = ''


class ReportForeign(Tagged, frozen=True, kw_only=True):
    """Nothing was changed: the report isn't one of the server that it names."""


class ReportAnswer(Message, frozen=True, kw_only=True):
    """Acknowledgement of a report, why there is none, or where the leader may be."""

    reply: Union[ReportTaken, ReportForeign, Redirect]


class Submit(Message, frozen=True, kw_only=True):
    """Accept a checked document under its number."""

    number: int
    document: bytes


class DocumentHeld(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The newest accepted document; empty in answers to a submit."""

    number: int
    document: bytes = b''


class NotYet(Tagged, frozen=True, kw_only=True):
    """Nothing was changed: the group can't bear its losses yet."""


class ZoneOrder(Message, frozen=True, kw_only=True):
    """An operator's order to drain an availability zone, or to use it again."""

    zone: str
    drained: bool


class ZonesReply(Message, frozen=True, kw_only=True):
    """The drained zones, or why an order was not taken."""

    reply: Union[DrainedZones, NotYet, Redirect]


class DocumentReply(Message, frozen=True, kw_only=True):
    """The newest document, or why there is none."""

    reply: Union[DocumentHeld, NotYet, Redirect]


WATCH = Method('/ringseam.Follow/Watch', WatchRequest, WatchReply)
CONFIRM = Method('/ringseam.Follow/Confirm', Confirmation, Empty)
DOCUMENT_PART = Method('/ringseam.Follow/DocumentPart', PartRequest, PartReply)
REPORT_BACKEND = Method('/ringseam.Follow/ReportBackend', BackendReport, ReportAnswer)
SUBMIT = Method('/ringseam.Follow/Submit', Submit, DocumentReply)
ORDER_ZONE = Method('/ringseam.Follow/OrderZone', ZoneOrder, ZonesReply)
READ_ZONES = Method('/ringseam.Follow/ReadZones', Empty, ZonesReply)
READ_DOCUMENT = Method('/ringseam.Follow/ReadDocument', Empty, DocumentReply)
