"""Messages by which gateways follow the control group, and control hosts forward calls."""

from __future__ import annotations

from typing import Optional, Union

import msgspec

from ringseam.backends import BackendId, BackendReport, GatewayState
from ringseam.messages import Empty, Message, Redirect, Tagged
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.rpc import Method
from ringseam.softwareversions import UniformVersion
from ringseam.streamroutes import RouteSpans
from ringseam.zones import DrainedZones


class WatchRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Long-poll for updates that the gateway doesn't have yet.

    It also confirms that the gateway has applied the directory changes up to ``since`` of
    ``epoch`` and uses the document with ``number``.
    """

    gateway: GatewayState
    epoch: str = ''
    since: int = 0
    number: int = 0
    #: The newest document that the gateway knows of; it may still be fetching it.
    heard: int = 0
    #: The quarantine version that the gateway enforces.
    quarantine: int = 0
    #: The newest change of drained zones that the gateway applied.
    zones: int = 0
    #: The document for which the gateway has learned what was known of routes.
    routes: int = 0


class DocumentConfirmation(Message, frozen=True, kw_only=True):
    """Confirm that the gateway uses a document while its watch is still open."""

    gateway: GatewayState
    number: int


class WatchUpdate(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='WatchNews'):
    """Updates for a gateway; if ``whole``, ``reports`` contains all backend servers."""

    epoch: str
    upto: int
    whole: bool
    #: Whether the directory has warmed up: it has had time to hear from all backend servers.
    warm: bool
    reports: tuple[BackendReport, ...] = ()
    #: Servers whose reports have stopped.
    silent: tuple[BackendId, ...] = ()
    #: Number of the newest accepted document, which the gateway fetches if it lacks it.
    number: int = 0
    gateways: tuple[GatewayState, ...] = ()
    control: tuple[str, ...] = ()
    #: Quarantined contents; None if unchanged.
    quarantine: Optional[QuarantineSnapshot] = None
    zones: DrainedZones = DrainedZones()
    #: With ``whole``: services whose servers have all run one version, as the leader knows.
    uniform: tuple[UniformVersion, ...] = ()
    #: What the leader knows of the routes of the newest document; None if the gateway has that.
    routes: Optional[RouteSpans] = None
    #: After how long without a report a server is silent, seconds; 0: the leader doesn't tell.
    silence_s: float = 0


class WatchReply(Message, frozen=True, kw_only=True):
    """Updates, or a redirect to the leader."""

    reply: Union[WatchUpdate, Redirect]


class DocumentPartRequest(Message, frozen=True, kw_only=True):
    """Request a part of the delta from document ``base`` to document ``number``."""

    number: int
    base: int = msgspec.field(name='held')
    offset: int


class DocumentPart(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """A part of a delta from document ``base``; base 0 is the empty document."""

    base: int = msgspec.field(name='held')
    total: int
    part: bytes


class PartUnavailable(Tagged, frozen=True, kw_only=True, tag='PartLacking'):
    """The host doesn't have that document."""


class DocumentPartReply(Message, frozen=True, kw_only=True):
    """A part of a delta, or why there is none."""

    reply: Union[DocumentPart, PartUnavailable]


class ReportAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='ReportTaken'):
    """The report was recorded; ``report_to`` is the leader's address."""

    report_to: str = ''


class ReportRejected(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='ReportForeign'):
    """The report was ignored."""

    reason: str = 'its server tells when it started'


class ReportBackendReply(Message, frozen=True, kw_only=True):
    """Acknowledgement or rejection of a report, or a redirect to the leader."""

    reply: Union[ReportAccepted, ReportRejected, Redirect]


class SubmitRequest(Message, frozen=True, kw_only=True):
    """Submit a validated document under its number."""

    number: int
    document: bytes


class AcceptedDocument(Tagged, frozen=True, kw_only=True, omit_defaults=True, tag='DocumentHeld'):
    """The newest accepted document; its text is omitted in replies to a submission."""

    number: int
    document: bytes = b''


class GroupNotReady(Tagged, frozen=True, kw_only=True, tag='NotYet'):
    """The request had no effect: the group is still too small to tolerate its losses."""


class ZoneOrder(Message, frozen=True, kw_only=True):
    """An operator's order to drain or restore an availability zone."""

    zone: str
    drained: bool


class ZonesReply(Message, frozen=True, kw_only=True):
    """The drained zones, or why an order was not accepted."""

    reply: Union[DrainedZones, GroupNotReady, Redirect]


class DocumentReply(Message, frozen=True, kw_only=True):
    """The newest document, or why there is none."""

    reply: Union[AcceptedDocument, GroupNotReady, Redirect]


WATCH = Method('/ringseam.Follow/Watch', WatchRequest, WatchReply)
CONFIRM = Method('/ringseam.Follow/Confirm', DocumentConfirmation, Empty)
DOCUMENT_PART = Method('/ringseam.Follow/DocumentPart', DocumentPartRequest, DocumentPartReply)
REPORT_BACKEND = Method('/ringseam.Follow/ReportBackend', BackendReport, ReportBackendReply)
SUBMIT = Method('/ringseam.Follow/Submit', SubmitRequest, DocumentReply)
ORDER_ZONE = Method('/ringseam.Follow/OrderZone', ZoneOrder, ZonesReply)
READ_ZONES = Method('/ringseam.Follow/ReadZones', Empty, ZonesReply)
READ_DOCUMENT = Method('/ringseam.Follow/ReadDocument', Empty, DocumentReply)
