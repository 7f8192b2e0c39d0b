"""Subscription to the leader of the control group: routes, backend servers, other gateways."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.backends import BackendView, GatewayState
from ringseam.clock import MS_PER_S
from ringseam.errors import FindingsError, UnreachableError
from ringseam.events import Event
from ringseam.followmessages import CONFIRM, WATCH, DocumentConfirmation, WatchRequest, WatchUpdate
from ringseam.gateway.following.coldservers import ColdServers
from ringseam.gateway.following.confinement import Confinement
from ringseam.gateway.following.crashedservers import CrashedServers, has_listened
from ringseam.gateway.following.crashmessages import CrashNotice
from ringseam.gateway.following.documentfetch import DocumentFetcher
from ringseam.hostcapacity import UNKNOWN_CAPACITY
from ringseam.lifetimes import name_of
from ringseam.platform.manifest import decode_manifest
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.routes import RouteTable
from ringseam.softwareversions import VersionHistory
from ringseam.streamroutes import RouteHistory
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.backends import BackendReport
    from ringseam.hostcapacity import HostCapacity
    from ringseam.lifetimes import BackendId
    from ringseam.node import Node
    from ringseam.routes import ServiceName
    from ringseam.rpc import CallClient
    from ringseam.zones import DrainedZones

logger = logging.getLogger(__name__)

#: The leader holds a watch call for up to 1 s; a host that takes longer than this is considered
#: lost, seconds.
_WATCH_TIMEOUT_S = 1.5
#: While the leader is searched for, a host answers at once or is skipped after this long,
#: seconds: otherwise a host without power would delay the search.
_SEARCH_TIMEOUT_S = 0.4
#: Delay after a host that could not name the leader, or when no host provides a document,
#: seconds.
_RETRY_DELAY_S = 0.1
_CONFIRM_S = 1.0
#: After this long without an update, other versions may have served unnoticed, seconds. The
#: leader sends an update at least every second.
_MAX_UPDATE_GAP_S = 2.0


@dataclass(kw_only=True)
class DirectoryCursor:
    """How much of the leader's server directory a gateway has received."""

    #: Number of the last change that was received.
    since: int = 0
    #: The epoch in which servers missing from the directory were removed.
    pruned_in_epoch: str = ''


class Follower:  # noqa: WPS230 - state of a gateway
    """Keep the latest routes and backend servers; neither is replaced by an older state.

    This is a client of the control group, not a follower in the sense of Raft.
    """

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        addresses: tuple[str, ...],
        on_change: Callable[[], None],
        capacity: HostCapacity = UNKNOWN_CAPACITY,
    ) -> None:
        """Start with the addresses of some control hosts.

        :param capacity: what the host has, announced to the other gateways.
        """
        self.node = node
        self.client = client
        self.addresses = list(addresses)
        self.on_change = on_change
        self.capacity = capacity
        self.table = RouteTable()
        #: The document that the table was decoded from.
        self.document = b''
        #: The latest document that a leader has announced, and when.
        self.newest_number = 0
        self.newest_seen_at = node.clock.now()
        self.fetcher = DocumentFetcher(client=client)
        self.tasks = TaskSet()
        self.view = BackendView()
        self.gateways: tuple[GatewayState, ...] = ()
        self.epoch = ''
        #: Contents that crash servers, as announced by the leader.
        self.quarantine = QuarantineSnapshot(version=0)
        self.confinement = Confinement()
        self.cold_servers = ColdServers()
        self.crashed = CrashedServers()
        #: Called with each server that this gateway has seen to crash.
        self.crash_listeners: list[Callable[[BackendReport, CrashNotice], None]] = []
        self.cursor = DirectoryCursor()
        self.versions = VersionHistory()
        self.routes = RouteHistory()
        self.updated_at = node.clock.now()
        self.leader = ''
        self.draining = False
        self.busy = False
        #: Whether this host can take no more clients.
        self.full = False
        self.is_connected = False
        #: Set and replaced with each update.
        self.update_event = asyncio.Event()

    @property
    def state(self) -> GatewayState:
        """Return the state of this gateway as others see it."""
        return GatewayState(
            name=self.node.name,
            address=self.node.address,
            zone=self.node.zone,
            draining=self.draining,
            busy=self.busy,
            capacity=self.capacity,
            full=self.full,
        )

    @property
    def gateway_names(self) -> frozenset[str]:
        """Return the names of all gateways, including this one."""
        return frozenset(state.name for state in self.gateways) | {self.node.name}

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.table.number > 0 and bool(self.view.backends)

    def zones_within(self, *limits: frozenset[str]) -> frozenset[str] | None:
        """Return the zones in the regions that all limits allow; None: all zones.

        A limit without regions allows all of them.
        """
        bounds = [limit for limit in limits if limit]
        if not bounds:
            return None
        regions = frozenset.intersection(*bounds)
        return frozenset(
            zone for zone, region in self.node.zone_regions.items() if region in regions
        )

    def serving(
        self,
        service: ServiceName,
        account: str,
        zones: Collection[str] | None = None,
        software: str | None = None,
    ) -> list[BackendReport]:
        """Return the servers that may run the requests of an account.

        If the account is confined, these are a share of the servers, the same at all gateways,
        so that crashes that it causes affect other accounts no further.

        :param zones: zones in which the servers may be; None: all zones.
        :param software: the version that they must run; None: any.
        """
        servers = self.view.serving(service)
        if zones is not None:
            servers = [server for server in servers if server.zone in zones]
        key = (account, service)
        if key in self.quarantine.confined:
            servers = self.confinement.select(key, servers)
        if software is None:
            return servers
        return [server for server in servers if self.runs_version(server, software)]

    def runs_version(self, server: BackendReport, software: str | None) -> bool:
        """Return whether a server is known to run a version; None: any.

        One that crashed may have started again with another version than it last reported.
        """
        if software is None:
            return True
        return server.software == software and server.instance not in self.crashed

    def uniform_version(self, service: ServiceName, *, duration_s: float) -> str | None:
        """Return the only version of a service's servers in the last ``duration_s`` seconds.

        None: there were others, or it isn't known.
        """
        now = self.node.clock.now()
        if now - self.updated_at > _MAX_UPDATE_GAP_S:
            return None
        return self.versions.uniform_version(service, duration_s=duration_s, now=now)

    def is_serving(self, server: BackendReport, software: str | None = None) -> bool:
        """Return whether a server accepts new requests.

        :param software: the version that it must run; None: any.
        """
        serving = self.view.serving(server.service)
        is_listed = any(known.instance == server.instance for known in serving)
        return is_listed and self.runs_version(server, software)

    def runs_other_version(self, server: BackendReport, software: str) -> bool:
        """Return whether a server has meanwhile reported a new start with another version."""
        current = self.view.lifetimes.get(name_of(server.instance), server.instance)
        return current != server.instance and self.view.backends[current].software != software

    def unfit_for(self, software: str | None) -> tuple[BackendId, ...]:
        """Return the servers that may not run a version although they have reported it."""
        if software is None:
            return ()
        current = (self.view.lifetimes.get(name) for name in self.crashed.seen)
        return tuple(known for known in current if known is not None and known in self.crashed)

    def record_refused(self, address: str, *, accepted_ms: int) -> None:
        """Record that nobody listened at an address: the server there has crashed or left.

        :param accepted_ms: when the address last accepted a connection; Unix time.
        """
        wall_ms = self.node.clock.wall_ms()
        at_address = [known for known in self.view.backends.values() if known.address == address]
        for report in at_address:
            listened = has_listened(report.instance, accepted_ms, wall_ms)
            if self.crashed.add(
                report.instance, self.node.clock.now(), wall_ms, has_listened=listened
            ):
                notice = CrashNotice(ended=report.instance, latest_start_ms=wall_ms)
                for listener in self.crash_listeners:
                    listener(report, notice)

    def learn_crash(self, notice: CrashNotice) -> None:
        """Record a crash that another gateway has seen."""
        self.crashed.learn(notice, self.node.clock.now())

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Add further control hosts."""
        self.addresses.extend(one for one in addresses if one not in self.addresses)

    async def run(self) -> None:
        """Watch the current leader, or search for it."""
        next_index = 0
        while True:  # noqa: WPS457 - runs until the role stops
            address = self.leader
            if not address:
                address = self.addresses[next_index % len(self.addresses)]
                next_index += 1
            if not await self._watch(address):
                await asyncio.sleep(_RETRY_DELAY_S)

    def apply(self, update: WatchUpdate) -> None:
        """Apply the changes in a watch reply that are newer than the local state."""
        if update.number > self.newest_number:
            self.newest_number = update.number
            self.newest_seen_at = self.node.clock.now()
        self._apply_zones(update.zones)
        self._check_update_gap()
        if not self.epoch and not self.view.backends:
            self.cold_servers.observed_since = self.node.clock.now()
        for report in update.reports:
            self._apply_report(report)
        for instance in update.silent:
            self.view.remove(instance)
        self.crashed.silence_s = update.silence_s or self.crashed.silence_s
        if update.warm:
            self.crashed.forget_confirmed(self.node.clock.now())
        self._apply_quarantine(update)
        self.epoch = update.epoch
        self.cursor.since = update.upto
        if update.warm and self.cursor.pruned_in_epoch != update.epoch:
            self._prune(update)
        self.versions.observe(self.view.versions, self.node.clock.now())
        self.versions.learn(update.uniform, self.node.clock.now())
        if update.routes is not None:
            self.routes.learn(update.routes, self.node.clock.now())
        self.gateways = update.gateways
        if update.control:
            self.addresses = list(update.control)
        self._notify_change()
        if self.newest_number > self.table.number and not self.fetcher.is_running:
            self.fetcher.is_running = True
            self.tasks.spawn(self._fetch_newest())

    async def apply_document(self, document: bytes) -> None:
        """Switch to a routing document if it is newer, and confirm it."""
        try:
            table = decode_manifest(document)
        except FindingsError as error:
            # The leader validated the document before it accepted it, so this is a bug. The
            # previous routes stay in use, and the document is not fetched again.
            logger.error('accepted document is invalid, keeping the previous routes: %s', error)
            self.newest_number = self.table.number
            return
        if table.number <= self.table.number:
            return
        self.table = table
        self.document = document
        self.node.events.emit(
            logger,
            Event.document_in_force,
            number=table.number,
            document_bytes=len(document),
            waited_ms=round((self.node.clock.now() - self.newest_seen_at) * MS_PER_S),
        )
        self._notify_change()
        await self._confirm()

    async def wait_for_routes(self, limit_s: float) -> None:
        """Return once a routing table is available, or after ``limit_s``.

        A process that has just started has one within the duration of an election; a client
        that is refused would retry later than that.
        """
        try:
            async with asyncio.timeout(limit_s):
                while not self.table.number:
                    await self.update_event.wait()
        except asyncio.TimeoutError:
            logger.debug('no routing table received within %s s', limit_s)

    async def _watch(self, address: str) -> bool:
        is_current = self.is_connected and address == self.leader
        request = WatchRequest(
            gateway=self.state,
            # Without an epoch the leader answers at once.
            epoch=self.epoch if is_current else '',
            since=self.cursor.since if is_current else 0,
            number=self.table.number,
            heard=self.newest_number if is_current else 0,
            quarantine=self.quarantine.version if is_current else 0,
            zones=self.view.drained.change,
            routes=self.routes.learned_number,
        )
        limit_s = _WATCH_TIMEOUT_S if is_current else _SEARCH_TIMEOUT_S
        try:
            received = await self.client.call(address, WATCH, request, timeout_s=limit_s)
        except UnreachableError as error:
            self._mark_disconnected(address, str(error))
            return False
        reply = received.body.reply
        if isinstance(reply, WatchUpdate):
            self._mark_connected(address)
            self.apply(reply)
            return True
        if not reply.leader:
            # The host has lost its leader and knows no other one.
            self._mark_disconnected(address, 'no leader known')
            return False
        self.leader = reply.leader
        return True

    def _apply_quarantine(self, update: WatchUpdate) -> None:
        """Apply the verdicts of the leader.

        A new leader may lack the latest verdicts of its predecessor; they stay in force until
        it has received reports from all gateways.
        """
        if update.quarantine is None:
            return
        snapshot = update.quarantine
        if update.epoch != self.epoch and not update.warm:
            snapshot = snapshot.merged_with(self.quarantine)
        self.quarantine = snapshot
        self.confinement.keep_only(snapshot.confined)

    def _check_update_gap(self) -> None:
        now = self.node.clock.now()
        if now - self.updated_at > _MAX_UPDATE_GAP_S:
            self.versions.restart(now)
        self.updated_at = now

    def _apply_report(self, report: BackendReport) -> None:
        if self.view.apply(report) and report.cold_left_s:
            self.cold_servers.mark_cold(report.instance, self.node.clock.now() + report.cold_left_s)

    def _apply_zones(self, zones: DrainedZones) -> None:
        restored = set(self.view.drained.names) - set(zones.names)
        if not self.view.drain_zones(zones):
            return
        self._mark_zones_cold(restored)
        self.node.events.emit(
            logger,
            Event.zones_in_force,
            zones=list(zones.names),
            change=zones.change,
        )

    def _mark_zones_cold(self, zones: set[str]) -> None:
        """Treat the servers of restored zones as cold: they may have restarted."""
        now = self.node.clock.now()
        for report in self.view.backends.values():
            service = self.table.services.get(report.service)
            if report.zone in zones and service is not None and service.cold is not None:
                self.cold_servers.mark_cold(report.instance, now + service.cold.duration_s)

    def _prune(self, update: WatchUpdate) -> None:
        """Remove servers that a complete directory does not contain."""
        if update.whole:
            self.cursor.pruned_in_epoch = update.epoch
            self.view.keep_only({report.instance for report in update.reports})
        else:
            self.epoch = ''

    async def _fetch_newest(self) -> None:
        """Fetch documents until the latest announced one is in use."""
        try:
            while self.newest_number > self.table.number:
                number = self.newest_number
                document = await self.fetcher.fetch(
                    self._document_hosts(),
                    number=number,
                    current=(self.table.number, self.document),
                )
                if document is None:
                    await asyncio.sleep(_RETRY_DELAY_S)
                else:
                    await self.apply_document(document)
        finally:
            self.fetcher.is_running = False

    def _document_hosts(self) -> list[str]:
        """Return the hosts to fetch documents from, the leader first."""
        others = [address for address in self.addresses if address != self.leader]
        return [self.leader, *others] if self.leader else others

    async def _confirm(self) -> None:
        """Confirm the document to the leader, which may delay an acknowledgement for this."""
        if not self.leader:
            return
        confirmation = DocumentConfirmation(gateway=self.state, number=self.table.number)
        try:
            await self.client.call(self.leader, CONFIRM, confirmation, timeout_s=_CONFIRM_S)
        except UnreachableError as error:
            # The next watch call confirms the document as well.
            logger.debug('confirmation of the document was not delivered: %s', error)

    def _notify_change(self) -> None:
        self.on_change()
        self.update_event.set()
        self.update_event = asyncio.Event()

    def _mark_connected(self, address: str) -> None:
        if not self.is_connected or self.leader != address:
            self.node.events.emit(logger, Event.control_reached, address=address)
        self.is_connected = True
        self.leader = address

    def _mark_disconnected(self, address: str, detail: str) -> None:
        logger.debug('watch failed: %s', detail)
        if self.is_connected:
            self.node.events.emit(
                logger,
                Event.control_lost,
                address=address,
                detail=detail,
                number=self.table.number,
            )
        self.is_connected = False
        self.leader = ''
