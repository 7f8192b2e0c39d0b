"""What the leader does for gateways, backend servers and submitted documents."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.backends import BackendState
from ringseam.commands import RetireBackend
from ringseam.control.backenddirectory import BackendDirectory
from ringseam.control.documentservice import CONFIRM_S, DocumentService
from ringseam.control.quarantining import QuarantineService
from ringseam.control.replicamessages import (
    Leadership,
    NotLeading,
)
from ringseam.control.state import MAX_RETIRED_BACKENDS
from ringseam.control.zonedraining import ZoneDraining
from ringseam.events import Event
from ringseam.following import (
    CONFIRM,
    REPORT_BACKEND,
    WATCH,
    ReportAnswer,
    ReportForeign,
    ReportTaken,
    WatchReply,
)
from ringseam.lifetimes import EndedLifetimes, name_of, start_ms_of
from ringseam.messages import Empty, Redirect
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.contents import ContentId
    from ringseam.control.state import RecordedVerdict
    from ringseam.following import Confirmation, WatchRequest
    from ringseam.node import Node
    from ringseam.quarantinemessages import QuarantineSnapshot
    from ringseam.rpc import CallServer
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: A watch without news is answered after this long, seconds.
WATCH_S = 1.0
#: A backend server is silent after this many times the interval of its reports: two may be
#: lost in a row and the third be late.
_SILENT_REPORTS = 3.75
#: A gateway whose watch is overdue by half a watch isn't waited for, seconds.
_SILENT_GATEWAY_S = 1.6
_EXPIRE_S = 0.25


@dataclass(frozen=True, kw_only=True)
class HeldDocument:
    """The accepted document and the backend servers that have left."""

    number: int = 0
    document: bytes = b''
    retired: tuple[str, ...] = ()
    #: Contents that end servers.
    quarantined: Mapping[ContentId, RecordedVerdict] = field(default_factory=dict)
    #: Availability zones whose servers get nothing new.
    zones: DrainedZones = field(default_factory=DrainedZones)


class FollowService:  # noqa: WPS214 - the calls of one interface
    """Serve gateways and backend servers while this replica leads."""

    def __init__(
        self,
        *,
        node: Node,
        submit: Callable[[Any], Awaitable[Any]],
        confirm: Callable[[], Awaitable[Any]],
        voters_needed: int,
        report_s: float,
    ) -> None:
        """Commit by ``submit``; ``confirm`` checks leadership by a quorum.

        :param report_s: how often backend servers report, seconds.
        """
        self.node = node
        self.submit = submit
        self.confirm = confirm
        self.voters_needed = voters_needed
        self.silent_s = _SILENT_REPORTS * report_s
        self.held = HeldDocument()
        self.retired = EndedLifetimes(capacity=MAX_RETIRED_BACKENDS)
        self.leadership = Leadership()
        self.directory = self._new_directory()
        self.changed = asyncio.Event()
        self.quarantining = QuarantineService(
            node=node,
            submit=submit,
            wake=self._wake,
            redirect=lambda: None if self.leadership.can_serve else self.redirect,
            is_planned=self._is_leaving,
        )
        self.documents = DocumentService(follow=self)
        self.zones = ZoneDraining(follow=self)
        #: Where backend servers should report; the open interface knows it.
        self.report_to = ''

    # -- what the replica tells ---------------------------------------------

    def hold(self, held: HeldDocument) -> None:
        """Take what the state machine holds now."""
        if held.number < self.held.number:
            return
        if held.number > self.held.number:
            self.documents.history.add(held.number, held.document)
        if held.retired != self.held.retired:
            self.retired = EndedLifetimes(capacity=MAX_RETIRED_BACKENDS)
            for backend in held.retired:
                self.retired.add(backend)
        self.held = held
        self.directory.retire(self.retired)
        self._wake()

    def lead(self, leadership: Leadership) -> None:
        """Hear who leads."""
        begins = leadership.can_serve and not self.leadership.can_serve
        self.leadership = leadership
        if begins:
            self.directory = self._new_directory()
            self.quarantining.begin(self.held.quarantined)
        self._wake()

    @property
    def redirect(self) -> Redirect:
        """Return where the leader may be."""
        leader = self.leadership.leader
        return Redirect(leader='' if leader == self.node.address else leader)

    @property
    def bears_losses(self) -> bool:
        """Return whether the group is, or once was, as large as it shall become."""
        return self.held.number > 0 or self.leadership.voters >= self.voters_needed

    # -- calls --------------------------------------------------------------

    def serve(self, server: CallServer) -> None:
        """Take the calls of gateways and of other control hosts."""
        server.add(WATCH, self.watch)
        server.add(CONFIRM, self.take_confirmation)
        server.add(REPORT_BACKEND, self.report)
        self.quarantining.serve(server)
        self.documents.serve(server)
        self.zones.serve(server)

    async def watch(self, received: Received) -> WatchReply:
        """Return news to a gateway, waiting a little for some."""
        request: WatchRequest = received.body
        if not self.leadership.can_serve:
            return WatchReply(reply=self.redirect)
        if not request.number and isinstance(await self.confirm(), NotLeading):
            return WatchReply(reply=self.redirect)
        self.directory.follow(request, self.node.clock.now())
        self._wake()
        await self.wait(lambda: self._has_news(request), WATCH_S)
        if not self.leadership.can_serve:
            return WatchReply(reply=self.redirect)
        news = self.directory.news(request, self.node.clock.now())
        return WatchReply(
            reply=msgspec.structs.replace(
                news,
                number=self.held.number,
                control=self.leadership.members,
                quarantine=self._quarantine_news(request),
                zones=self.held.zones,
            ),
        )

    async def take_confirmation(self, received: Received) -> Empty:
        """Hear that a document is in force at a gateway."""
        confirmation: Confirmation = received.body
        self.directory.confirm(confirmation.gateway.name, confirmation.number)
        self._wake()
        return Empty()

    async def report(self, received: Received) -> ReportAnswer:
        """Take a backend server's report; a leave only once it is known."""
        return ReportAnswer(reply=await self.take_report(received.body))

    async def take_report(
        self,
        report: BackendReport,
    ) -> ReportTaken | ReportForeign | Redirect:
        """Take a backend server's report; a leave only once it is known."""
        if not self.leadership.can_serve:
            return self.redirect
        if not start_ms_of(report.instance):
            named = self.directory.with_lifetime(report, self.node.clock.wall_ms())
            if named is None:
                return ReportForeign()
            report = named
        leaving = report.state is not BackendState.ready
        if leaving and report.instance not in self.retired:
            outcome = await self.submit(RetireBackend(instance=report.instance))
            if isinstance(outcome, NotLeading):
                return self.redirect
        if report.instance in self.retired and not leaving:
            report = msgspec.structs.replace(report, state=BackendState.draining)
        self._note(report)
        if leaving:
            change = self.directory.change
            await self.wait(lambda: self.directory.is_confirmed(change=change), CONFIRM_S)
            self.node.events.emit(
                logger,
                Event.backend_retired,
                backend=report.instance,
                state=report.state.value,
                confirmed=self.directory.is_confirmed(change=change),
            )
        return ReportTaken(report_to=self.report_to)

    async def expire_always(self) -> None:
        """Drop what has fallen silent."""
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(_EXPIRE_S)
            before = self.directory.change
            for backend in self.directory.expire(self.node.clock.now()):
                self.node.events.emit(logger, Event.backend_silent, backend=backend)
            if self.directory.change != before:
                self._wake()

    async def wait(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Return once a condition holds, or after ``limit_s`` seconds."""
        until = self.node.clock.now() + limit_s
        while not condition():
            left = until - self.node.clock.now()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except asyncio.TimeoutError:
                return

    # -- helpers ------------------------------------------------------------

    def _has_news(self, request: WatchRequest) -> bool:
        """Return whether a gateway lacks something."""
        if request.quarantine != self.quarantining.book.version:
            return True
        if request.zones < self.held.zones.change:
            return True
        return self.directory.has_news(request, self.held.number)

    def _quarantine_news(self, request: WatchRequest) -> QuarantineSnapshot | None:
        same_epoch = request.epoch == self.directory.epoch
        if same_epoch and request.quarantine == self.quarantining.book.version:
            return None
        return self.quarantining.news()

    def _is_leaving(self, instance: BackendId) -> bool:
        """Return whether a lifetime has said that it leaves: its end was planned."""
        row = self.directory.rows.get(instance)
        leaving = row is not None and row.report.state is not BackendState.ready
        return leaving or instance in self.retired

    def _note(self, report: BackendReport) -> None:
        self._tell_quarantine(report)
        known = self.directory.lifetimes.get(name_of(report.instance), report.instance)
        if self.directory.report(report, self.node.clock.now()):
            if known != report.instance:
                self.node.events.emit(
                    logger,
                    Event.backend_restarted,
                    backend=report.instance,
                    earlier=known,
                )
            self.node.events.emit(
                logger,
                Event.backend_reported,
                backend=report.instance,
                address=report.address,
                state=report.state.value,
                sequence=report.sequence,
            )
            self._wake()

    def _tell_quarantine(self, report: BackendReport) -> None:
        """Let the quarantine hear a server, where it holds something against its like."""
        if not self.quarantining.book.is_affected_by(report):
            return
        software: set[str] = set()
        # A directory that has just begun doesn't know who else runs which version.
        if self.directory.is_warm(self.node.clock.now()):
            software.update(
                row.report.software
                for row in self.directory.rows.values()
                if row.report.service == report.service and row.report.state is BackendState.ready
            )
        known = self.directory.lifetimes.get(name_of(report.instance), report.instance)
        # What a replaced lifetime sent before its end is no sign that it lives.
        lives = start_ms_of(report.instance) >= start_ms_of(known)
        self.quarantining.take_report(report, software, lives=lives)

    def _new_directory(self) -> BackendDirectory:
        return BackendDirectory(
            epoch=f'{self.node.incarnation}-{self.leadership.term}',
            started=self.node.clock.now(),
            silent_s=self.silent_s,
            follower_s=_SILENT_GATEWAY_S,
        )

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
