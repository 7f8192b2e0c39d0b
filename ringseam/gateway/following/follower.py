"""Following the leader of control: routes, backend servers, other gateways."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ringseam.backends import BackendView, GatewayState
from ringseam.clock import MS_PER_S
from ringseam.errors import FindingsError, UnreachableError
from ringseam.events import Event
from ringseam.following import CONFIRM, WATCH, Confirmation, WatchNews, WatchRequest
from ringseam.gateway.following.coldservers import ColdServers
from ringseam.gateway.following.confinement import Confinement
from ringseam.gateway.following.documentfetch import DocumentFetcher
from ringseam.platform.manifest import decode_manifest
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.routes import RouteTable
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.backends import BackendReport
    from ringseam.node import Node
    from ringseam.routes import ServiceName
    from ringseam.rpc import CallClient
    from ringseam.zones import DrainedZones

logger = logging.getLogger(__name__)

#: A watch is held for a second; later its host counts as lost, seconds.
_WATCH_TIMEOUT_S = 1.5
#: While the leader is looked for, a host answers at once or is passed over after
#: this long, seconds: one without power would hold the search up.
_SEARCH_TIMEOUT_S = 0.4
#: Pause after a host that couldn't tell the leader, seconds.
_RETRY_DELAY_S = 0.1
_CONFIRM_S = 1.0


@dataclass(kw_only=True)
class DirectoryCursor:
    """What a gateway holds of the leader's directory of servers."""

    #: The change up to which it is known.
    since: int = 0
    #: The epoch in which servers that are missing from it were dropped.
    pruned_in_epoch: str = ''


class Follower:
    """Hold the newest routes and backend servers; neither goes back."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        addresses: tuple[str, ...],
        on_change: Callable[[], None],
    ) -> None:
        """Begin with the addresses of some control hosts."""
        self.node = node
        self.client = client
        self.addresses = list(addresses)
        self.on_change = on_change
        self.table = RouteTable()
        #: The document that the table was read from.
        self.document = b''
        #: The newest document that a leader has told of, and when.
        self.newest_number = 0
        self.newest_seen_at = node.clock.now()
        self.fetcher = DocumentFetcher(client=client)
        self.tasks = TaskSet()
        self.view = BackendView()
        self.gateways: tuple[GatewayState, ...] = ()
        self.epoch = ''
        #: Contents that end servers, as the leader has told.
        self.quarantine = QuarantineSnapshot(version=0)
        self.confinement = Confinement()
        self.cold_servers = ColdServers()
        self.cursor = DirectoryCursor()
        self.leader = ''
        self.draining = False
        self.busy = False
        self.is_connected = False
        #: Set, and replaced, with each news.
        self.update_event = asyncio.Event()

    @property
    def state(self) -> GatewayState:
        """Return what others are told of this gateway."""
        return GatewayState(
            name=self.node.name,
            address=self.node.address,
            zone=self.node.zone,
            draining=self.draining,
            busy=self.busy,
        )

    @property
    def gateway_names(self) -> frozenset[str]:
        """Return the names of all gateways, this one among them."""
        return frozenset(state.name for state in self.gateways) | {self.node.name}

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.table.number > 0 and bool(self.view.backends)

    def zones_within(self, *limits: frozenset[str]) -> frozenset[str] | None:
        """Return the zones of the regions that all limits allow; None: all zones.

        A limit that names no region allows all of them.
        """
        bounds = [limit for limit in limits if limit]
        if not bounds:
            return None
        regions = frozenset.intersection(*bounds)
        return frozenset(zone for zone, region in self.node.zones.items() if region in regions)

    def serving(
        self,
        service: ServiceName,
        account: str,
        zones: Collection[str] | None = None,
    ) -> list[BackendReport]:
        """Return the servers that may run an account's requests.

        A share of them, where the account is confined: all gateways keep it to the same
        ones, so that the other accounts lose no more to it.

        :param zones: where they may run; None: anywhere.
        """
        servers = self.view.serving(service)
        if zones is not None:
            servers = [server for server in servers if server.zone in zones]
        owner = (account, service)
        if owner not in self.quarantine.confined:
            return servers
        return self.confinement.among(owner, servers)

    def is_serving(self, server: BackendReport) -> bool:
        """Return whether a server takes new work."""
        return any(known.instance == server.instance for known in self.view.serving(server.service))

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Learn of further control hosts."""
        self.addresses.extend(one for one in addresses if one not in self.addresses)

    async def run(self) -> None:
        """Follow whoever leads."""
        next_index = 0
        while True:  # noqa: WPS457 - ends with the role
            address = self.leader
            if not address:
                address = self.addresses[next_index % len(self.addresses)]
                next_index += 1
            if not await self._watch(address):
                await asyncio.sleep(_RETRY_DELAY_S)

    def apply(self, news: WatchNews) -> None:
        """Take in what is newer."""
        if news.number > self.newest_number:
            self.newest_number = news.number
            self.newest_seen_at = self.node.clock.now()
        self._apply_zones(news.zones)
        if not self.epoch and not self.view.backends:
            self.cold_servers.observed_since = self.node.clock.now()
        for report in news.reports:
            self._apply_report(report)
        for instance in news.silent:
            self.view.remove(instance)
        self._apply_quarantine(news)
        self.epoch = news.epoch
        self.cursor.since = news.upto
        if news.warm and self.cursor.pruned_in_epoch != news.epoch:
            self._prune(news)
        self.gateways = news.gateways
        if news.control:
            self.addresses = list(news.control)
        self._notify_change()
        if self.newest_number > self.table.number and not self.fetcher.is_running:
            self.fetcher.is_running = True
            self.tasks.spawn(self._fetch_newest())

    async def apply_document(self, document: bytes) -> None:
        """Serve by a document if it is newer, and confirm it."""
        try:
            table = decode_manifest(document)
        except FindingsError as error:
            # It was checked before it was accepted, so this is a fault of ours;
            # the routes of before stay, and it isn't fetched over and over.
            logger.error('accepted document can not be read: %s', error)
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
        """Return once there are routes, or after ``limit_s``.

        A process that has just started has them within an election; a client
        that is turned away comes back later than that.
        """
        try:
            async with asyncio.timeout(limit_s):
                while not self.table.number:
                    await self.update_event.wait()
        except asyncio.TimeoutError:
            logger.debug('no routes after %s s', limit_s)

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
        )
        limit_s = _WATCH_TIMEOUT_S if is_current else _SEARCH_TIMEOUT_S
        try:
            received = await self.client.call(address, WATCH, request, timeout_s=limit_s)
        except UnreachableError as error:
            self._mark_disconnected(address, str(error))
            return False
        reply = received.body.reply
        if isinstance(reply, WatchNews):
            self._mark_connected(address)
            self.apply(reply)
            return True
        self.leader = reply.leader
        return bool(reply.leader)

    def _apply_quarantine(self, news: WatchNews) -> None:
        """Hold to the leader's verdicts.

        A leader that has just begun may lack the last ones of the one before; until it
        has heard all gateways, those stay in force too.
        """
        if news.quarantine is None:
            return
        held = news.quarantine
        if news.epoch != self.epoch and not news.warm:
            merged = {**self.quarantine.quarantined, **held.quarantined}
            held = msgspec.structs.replace(held, quarantined=merged)
        self.quarantine = held
        self.confinement.keep_only(held.confined)

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
        """Take the servers of zones that are used again for cold: they may have started."""
        now = self.node.clock.now()
        for report in self.view.backends.values():
            service = self.table.services.get(report.service)
            if report.zone in zones and service is not None and service.cold is not None:
                self.cold_servers.mark_cold(report.instance, now + service.cold.length_s)

    def _prune(self, news: WatchNews) -> None:
        """Drop what a directory that is complete doesn't have."""
        if news.whole:
            self.cursor.pruned_in_epoch = news.epoch
            self.view.keep_only({report.instance for report in news.reports})
        else:
            self.epoch = ''

    async def _fetch_newest(self) -> None:
        """Fetch documents until the newest that was heard of is in force."""
        try:
            while self.newest_number > self.table.number:
                number = self.newest_number
                document = await self.fetcher.run(
                    self._document_hosts(),
                    number=number,
                    held=(self.table.number, self.document),
                )
                if document is None:
                    await asyncio.sleep(_RETRY_DELAY_S)
                else:
                    await self.apply_document(document)
        finally:
            self.fetcher.is_running = False

    def _document_hosts(self) -> list[str]:
        """Return where documents are, the leader first."""
        others = [address for address in self.addresses if address != self.leader]
        return [self.leader, *others] if self.leader else others

    async def _confirm(self) -> None:
        """Tell the leader, which may hold an acknowledgement back for this."""
        if not self.leader:
            return
        confirmation = Confirmation(gateway=self.state, number=self.table.number)
        try:
            await self.client.call(self.leader, CONFIRM, confirmation, timeout_s=_CONFIRM_S)
        except UnreachableError as error:
            # The next watch says it too.
            logger.debug('not confirmed: %s', error)

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
