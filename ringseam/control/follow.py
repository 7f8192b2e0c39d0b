"""Leader-side service for gateways, backend servers and submitted documents."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.backends import BackendState
from ringseam.commands import RetireBackend
from ringseam.control.backenddirectory import BackendDirectory
from ringseam.control.documentservice import CONFIRM_TIMEOUT_S, DocumentService
from ringseam.control.origincopies import OriginCopies
from ringseam.control.quarantining import QuarantineService
from ringseam.control.replicamessages import (
    Leadership,
    NotLeading,
)
from ringseam.control.reportadmission import ReportAdmission
from ringseam.control.state import MAX_RETIRED_BACKENDS
from ringseam.control.zonedraining import ZoneDrainService
from ringseam.errors import FindingsError
from ringseam.events import Event
from ringseam.followmessages import (
    CONFIRM,
    REPORT_BACKEND,
    WATCH,
    ReportAccepted,
    ReportBackendReply,
    ReportRejected,
    WatchReply,
)
from ringseam.lifetimes import EndedLifetimes, name_of, start_ms_of
from ringseam.messages import Empty, Redirect
from ringseam.platform.manifest import decode_manifest
from ringseam.streamroutes import RouteHistory, StreamRoutes, stream_routes
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.contents import ContentId
    from ringseam.control.state import RecordedVerdict
    from ringseam.envelopes import ReceivedMessage
    from ringseam.followmessages import DocumentConfirmation, WatchRequest
    from ringseam.node import Node
    from ringseam.quarantinemessages import QuarantineSnapshot
    from ringseam.rpc import CallServer
    from ringseam.streamroutes import RouteSpans

logger = logging.getLogger(__name__)

#: A watch is answered after this long even if nothing has changed, seconds.
WATCH_TIMEOUT_S = 1.0
#: A backend server is considered silent after this many report intervals: two reports in
#: a row may be lost and the third be late.
_SILENT_REPORT_INTERVALS = 3.75
#: Confirmations don't wait for a gateway whose last watch began longer ago, seconds: its
#: next watch is late by more than half the time-out of a watch.
_GATEWAY_TIMEOUT_S = 1.6
_EXPIRY_INTERVAL_S = 0.25
#: How long a new group waits for hosts that start together to join, seconds. From then on
#: it accepts changes if a majority is more disks than may be lost.
_JOIN_WAIT_S = 4.0
#: How long it waits if the changes would be on as many disks as may be lost, seconds:
#: longer than hosts are cut off that are not lost.
_MISSING_HOSTS_WAIT_S = 20.0


@dataclass(frozen=True, kw_only=True)
class FollowedState:
    """Replicated state that gateways follow: the accepted document and what goes with it."""

    number: int = 0
    document: bytes = b''
    #: How many documents this replica has had in force.
    documents: int = 0
    #: Lifetimes of backend servers that are shutting down or have left.
    retired: tuple[str, ...] = ()
    #: Quarantined contents: they crash the servers that run them.
    quarantined: Mapping[ContentId, RecordedVerdict] = field(default_factory=dict)
    #: Drained availability zones, whose servers get no new requests.
    zones: DrainedZones = field(default_factory=DrainedZones)


class FollowService:  # noqa: WPS214 - methods of one RPC interface
    """Serve gateways and backend servers while this replica leads.

    Other replicas redirect to the leader.
    """

    def __init__(
        self,
        *,
        node: Node,
        submit: Callable[[Any], Awaitable[Any]],
        confirm_leadership: Callable[[], Awaitable[Any]],
        target_voters: int,
        report_interval_s: float,
    ) -> None:
        """Start without a leader.

        :param submit: commits a command to the replicated log.
        :param confirm_leadership: lets a quorum confirm that this replica leads.
        :param target_voters: number of voters of a complete group.
        :param report_interval_s: interval of the reports of a backend server, seconds.
        """
        self.node = node
        self.submit = submit
        self.confirm_leadership = confirm_leadership
        self.target_voters = target_voters
        self.silence_timeout_s = _SILENT_REPORT_INTERVALS * report_interval_s
        self.state = FollowedState()
        self.retired = EndedLifetimes(capacity=MAX_RETIRED_BACKENDS)
        self.leadership = Leadership()
        #: When this replica last began to lead.
        self.leading_since: float = 0
        self.directory = self._new_directory()
        #: Observed by all replicas, so that the next leader knows it too.
        self.routes = RouteHistory()
        self.admission = ReportAdmission()
        self.change_event = asyncio.Event()
        self.quarantining = QuarantineService(
            node=node,
            submit=submit,
            notify_watchers=self._notify_watchers,
            redirect=lambda: None if self.leadership.can_serve else self.redirect,
            is_planned=self._is_leaving,
        )
        self.documents = DocumentService(follow_service=self)
        self.zones = ZoneDrainService(follow_service=self)
        self.origins = OriginCopies(node=node)
        #: Address to which backend servers should report, sent with each acknowledgement.
        self.report_to = ''

    # -- updates from the replica -------------------------------------------

    def update_state(self, state: FollowedState) -> None:
        """Replace the followed state, unless its document is older, and notify watchers."""
        if state.number < self.state.number:
            return
        if state.number > self.state.number:
            self._observe_routes(state)
        if state.number > self.state.number:
            self.documents.history.add(state.number, state.document)
            self.admission.follow(state.document)
        if state.retired != self.state.retired:
            self.retired = EndedLifetimes(capacity=MAX_RETIRED_BACKENDS)
            for backend in state.retired:
                self.retired.add(backend)
        self.state = state
        self.directory.retire(self.retired)
        self._notify_watchers()

    def update_leadership(self, leadership: Leadership) -> None:
        """Record who leads; a new leadership starts with empty directories."""
        starts_leading = leadership.can_serve and not self.leadership.can_serve
        self.leadership = leadership
        if starts_leading:
            self.leading_since = self.node.clock.now()
            self.directory = self._new_directory()
            self.quarantining.start_leadership(self.state.quarantined)
        self._notify_watchers()

    @property
    def redirect(self) -> Redirect:
        """Return a redirect to the last known leader; empty if that is this replica."""
        leader = self.leadership.leader
        return Redirect(leader='' if leader == self.node.address else leader)

    @property
    def tolerates_losses(self) -> bool:
        """Return whether what is acknowledged outlives the losses to be tolerated.

        The group has, or once had, its target number of voters, or hosts are missing since
        its first start: docs/design/first-start.rst. An accepted document shows that it
        was ready once.
        """
        voters = self.leadership.voters
        if self.state.number > 0 or voters >= self.target_voters:
            return True
        tolerated = self.target_voters // 2
        waited_s = self.node.clock.now() - self.leading_since
        if voters // 2 + 1 > tolerated and waited_s >= _JOIN_WAIT_S:
            return True
        return voters > tolerated and waited_s >= _MISSING_HOSTS_WAIT_S

    # -- RPC methods --------------------------------------------------------

    def serve(self, server: CallServer) -> None:
        """Register the methods that gateways and other control hosts call."""
        server.add(WATCH, self.watch)
        server.add(CONFIRM, self.record_confirmation)
        server.add(REPORT_BACKEND, self.report)
        self.quarantining.serve(server)
        self.documents.serve(server)
        self.zones.serve(server)
        self.origins.serve(server)

    async def watch(self, received: ReceivedMessage) -> WatchReply:
        """Return what has changed for a gateway, once something has or on time-out."""
        request: WatchRequest = received.body
        if not self.leadership.can_serve:
            return WatchReply(reply=self.redirect)
        if not request.number and isinstance(await self.confirm_leadership(), NotLeading):
            return WatchReply(reply=self.redirect)
        self.directory.record_watch(request, self.node.clock.now())
        self._notify_watchers()
        await self.wait(lambda: self._has_changes(request), WATCH_TIMEOUT_S)
        if not self.leadership.can_serve:
            return WatchReply(reply=self.redirect)
        delta = self.directory.delta(request, self.node.clock.now())
        return WatchReply(
            reply=msgspec.structs.replace(
                delta,
                number=self.state.number,
                control=self.leadership.members,
                quarantine=self._quarantine_changes(request),
                zones=self.state.zones,
                routes=self._route_spans(request),
            ),
        )

    async def record_confirmation(self, received: ReceivedMessage) -> Empty:
        """Record that a document is in force at a gateway."""
        confirmation: DocumentConfirmation = received.body
        self.directory.record_confirmation(confirmation.gateway.name, confirmation.number)
        self._notify_watchers()
        return Empty()

    async def report(self, received: ReceivedMessage) -> ReportBackendReply:
        """Accept a backend server's report forwarded by another control host."""
        return ReportBackendReply(reply=await self.accept_report(received.body))

    async def accept_report(
        self,
        report: BackendReport,
    ) -> ReportAccepted | ReportRejected | Redirect:
        """Record a backend server's report.

        A leave is committed first, and acknowledged once the gateways confirm it or the
        wait for them times out.
        """
        if not self.leadership.can_serve:
            return self.redirect
        if not _is_encodable(report):
            return ReportRejected(reason='it holds what no message can carry')
        if not self.admission.admits(report, self.directory):
            return ReportRejected(reason='too many servers of services that no document names')
        if not start_ms_of(report.instance):
            identified = self.directory.with_lifetime(report, self.node.clock.wall_ms())
            if identified is None:
                return ReportRejected()
            report = identified
        leaving = report.state is not BackendState.ready
        if leaving and report.instance not in self.retired:
            outcome = await self.submit(RetireBackend(instance=report.instance))
            if isinstance(outcome, NotLeading):
                return self.redirect
        if report.instance in self.retired and not leaving:
            report = msgspec.structs.replace(report, state=BackendState.draining)
        self._record_report(report)
        if leaving:
            change = self.directory.change
            await self.wait(lambda: self.directory.is_confirmed(change=change), CONFIRM_TIMEOUT_S)
            self.node.events.emit(
                logger,
                Event.backend_retired,
                backend=report.instance,
                state=report.state.value,
                confirmed=self.directory.is_confirmed(change=change),
            )
        return ReportAccepted(report_to=self.report_to)

    async def run_expiry(self) -> None:
        """Remove silent servers and gateways at intervals."""
        while True:  # noqa: WPS457 - cancelled with the role
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            before = self.directory.change
            for backend in self.directory.expire(self.node.clock.now()):
                self.node.events.emit(logger, Event.backend_silent, backend=backend)
            if self.directory.change != before:
                self._notify_watchers()

    async def wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Return once a condition holds, or after ``timeout_s`` seconds."""
        deadline = self.node.clock.now() + timeout_s
        while not condition():
            remaining_s = deadline - self.node.clock.now()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self.change_event.wait()
            except asyncio.TimeoutError:
                return

    # -- helpers ------------------------------------------------------------

    def _has_changes(self, request: WatchRequest) -> bool:
        """Return whether a gateway lacks a change."""
        if request.quarantine != self.quarantining.quarantine.version:
            return True
        if request.zones < self.state.zones.change:
            return True
        return self.directory.has_changes(request, self.state.number)

    def _observe_routes(self, state: FollowedState) -> None:
        is_next = state.documents == self.state.documents + 1
        try:
            routes = stream_routes(decode_manifest(state.document))
        except FindingsError as error:
            # It was validated before it was accepted, so this is a bug.
            logger.error('accepted document is invalid, its routes are not known: %s', error)
            routes = StreamRoutes(number=state.number)
        self.routes.observe(routes, self.node.clock.now(), is_next=is_next)

    def _route_spans(self, request: WatchRequest) -> RouteSpans | None:
        """Return what is known of the routes, for a gateway that hasn't heard it."""
        if request.routes == self.state.number:
            return None
        return self.routes.report(self.node.clock.now())

    def _quarantine_changes(self, request: WatchRequest) -> QuarantineSnapshot | None:
        same_epoch = request.epoch == self.directory.epoch
        if same_epoch and request.quarantine == self.quarantining.quarantine.version:
            return None
        return self.quarantining.snapshot()

    def _is_leaving(self, instance: BackendId) -> bool:
        """Return whether a lifetime has announced its departure, so its end is planned."""
        entry = self.directory.entries.get(instance)
        leaving = entry is not None and entry.report.state is not BackendState.ready
        return leaving or instance in self.retired

    def _record_report(self, report: BackendReport) -> None:
        self._update_quarantine(report)
        previous = self.directory.lifetimes.get(name_of(report.instance), report.instance)
        if self.directory.report(report, self.node.clock.now()):
            if previous != report.instance:
                self.node.events.emit(
                    logger,
                    Event.backend_restarted,
                    backend=report.instance,
                    earlier=previous,
                )
            self.node.events.emit(
                logger,
                Event.backend_reported,
                backend=report.instance,
                address=report.address,
                state=report.state.value,
                sequence=report.sequence,
            )
            self._notify_watchers()

    def _update_quarantine(self, report: BackendReport) -> None:
        """Pass a server's report to the quarantine if it can affect a verdict."""
        if not self.quarantining.quarantine.is_affected_by(report):
            return
        software: set[str] = set()
        # A new directory doesn't yet know which versions the other servers run.
        if self.directory.has_warmed_up(self.node.clock.now()):
            software.update(
                entry.report.software
                for entry in self.directory.entries.values()
                if entry.report.service == report.service
                and entry.report.state is BackendState.ready
            )
        previous = self.directory.lifetimes.get(name_of(report.instance), report.instance)
        # A late report of a replaced lifetime doesn't show that the server is alive.
        is_alive = start_ms_of(report.instance) >= start_ms_of(previous)
        self.quarantining.record_report(report, software, is_alive=is_alive)

    def _new_directory(self) -> BackendDirectory:
        return BackendDirectory(
            epoch=f'{self.node.incarnation}-{self.leadership.term}',
            started=self.node.clock.now(),
            silence_timeout_s=self.silence_timeout_s,
            gateway_timeout_s=_GATEWAY_TIMEOUT_S,
        )

    def _notify_watchers(self) -> None:
        self.change_event.set()
        self.change_event = asyncio.Event()


def _is_encodable(report: BackendReport) -> bool:
    """Return whether a reply to gateways can contain a report; one must not spoil all."""
    try:
        msgspec.msgpack.encode(report)
    except (UnicodeEncodeError, OverflowError):
        return False
    return True
