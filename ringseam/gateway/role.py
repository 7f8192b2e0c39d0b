"""The gateway process, between clients and backend servers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.control.founding import cluster_addresses
from ringseam.gateway.engines.client import PlacementClient
from ringseam.gateway.engines.monitor import EngineMonitor
from ringseam.gateway.featureswitch import FeatureSwitch
from ringseam.gateway.following.follower import Follower
from ringseam.gateway.following.guard import QuarantineGuard
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.hostannouncing import HostAnnouncer
from ringseam.gateway.following.lag import LagMonitor
from ringseam.gateway.following.ownership import OwnerLog, Ownership
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.following.serverwords import ServerNotices
from ringseam.gateway.following.turns import PermitAllocator
from ringseam.gateway.hosts.monitor import HostMonitor
from ringseam.gateway.requests.answers import Responder
from ringseam.gateway.requests.attempts import AttemptRunner
from ringseam.gateway.requests.forwarding import Forwarder
from ringseam.gateway.requests.sending import Sender
from ringseam.gateway.requests.streambinding import StreamBinder
from ringseam.gateway.stages.calls import PieceCalls
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.scheduler import PieceScheduler
from ringseam.ids import split_address
from ringseam.metrics import Metrics
from ringseam.platform.registration import READY_PATH
from ringseam.retries import WindowRetries
from ringseam.role import Role
from ringseam.web.checkserver import create_check_server
from ringseam.web.server import HttpLimits, HttpServer

if TYPE_CHECKING:
    from ringseam.settings import Settings
    from ringseam.web.exchange import Exchange

logger = logging.getLogger(__name__)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_CLEANUP_INTERVAL_S = 0.5
#: Interval between checks for unresponsive engines, seconds.
_MONITOR_INTERVAL_S = 0.1
#: Time from the stop signal until the load balancer has seen two failed health checks
#: and its last new connections have arrived, seconds.
_DEREGISTRATION_DELAY_S = 2.6
#: Time before the end of the grace period at which open requests are aborted, seconds.
_ABORT_RESERVE_S = 0.6
#: Time before the abort at which requests that still run stages are refused, seconds.
#: Their clients have time to retry elsewhere, and the refusals are sent in full.
_STAGE_ABORT_LEAD_S = 1.0
_DRAIN_POLL_S = 0.02


class GatewayRole(Role):
    """Serve clients by calling backend servers directly."""

    name = 'gateway'

    def __init__(self, *, settings: Settings) -> None:
        """Create the components; sockets are opened by :meth:`open`."""
        super().__init__(settings=settings)
        self.node.adopts_group = False
        own = settings.role_options
        self.switch = FeatureSwitch(settings=settings.features)
        self.metrics = Metrics()
        self.health = HealthTracker.for_features(self.switch.settings)
        self.host = HostMonitor(
            node=self.node, metrics=self.metrics, capacity=settings.host_capacity
        )
        self.pool = self.host.new_pool()
        self.retries = WindowRetries(
            ratio=own['retry_ratio'],
            slack=own['retry_slack'],
            window_s=own['retry_window_s'],
        )
        self.follower = Follower(
            node=self.node,
            client=self.client,
            addresses=cluster_addresses(own['seeds'], own['cluster_ports']),
            on_change=self._apply_changes,
            capacity=settings.host_capacity,
        )
        self.lag = LagMonitor(node=self.node, follower=self.follower)
        self.announcer = HostAnnouncer(
            node=self.node, metrics=self.metrics, follower=self.follower, host=self.host
        )
        self.notices = ServerNotices(
            node=self.node,
            metrics=self.metrics,
            view=self.follower.view,
            speeds=self.health.speeds,
        )
        self.guard = QuarantineGuard(
            node=self.node,
            client=self.client,
            follower=self.follower,
            health=self.health,
            pool=self.pool,
        )
        self.ownership = Ownership(follower=self.follower, name=self.node.name)
        self.owner_log = OwnerLog(node=self.node, metrics=self.metrics)
        self.ownership.on_moved = self.owner_log.record
        self.permits = PermitAllocator(
            node=self.node,
            client=self.client,
            follower=self.follower,
            ownership=self.ownership,
            pacer=Pacer(
                name=self.node.name,
                cold_servers=self.follower.cold_servers,
                health=self.health,
                limits=self.notices.limits,
                pauses=self.notices.pauses,
                overload_factor=own['cold_over'],
                burst_allowance=own['cold_slack'],
            ),
        )
        self.placements = PlacementClient(
            node=self.node,
            client=self.client,
            follower=self.follower,
            health=self.health,
            ownership=self.ownership,
            permits=self.permits,
        )
        self.engines = EngineMonitor(
            node=self.node,
            view=self.follower.view,
            placements=self.placements,
            crashes=self.guard.crashes,
        )
        self.piece_scheduler = PieceScheduler(
            node=self.node,
            follower=self.follower,
            calls=PieceCalls(pool=self.pool, clock=self.node.clock, notices=self.notices),
            retries=self.retries,
            guard=self.guard,
            ownership=self.ownership,
            pacer=self.permits.pacer,
            switch=self.switch,
        )
        self.pieces = PieceClient(
            clock=self.node.clock,
            client=self.client,
            scheduler=self.piece_scheduler,
            ownership=self.ownership,
        )
        self.piece_scheduler.release_inputs = self.pieces.release
        self.connection_limits = self.health.connection_limits(self.follower, self.node.name)
        responder = Responder(node=self.node, metrics=self.metrics)
        binder = StreamBinder(
            node=self.node, client=self.client, follower=self.follower, responder=responder
        )
        self.forwarder = Forwarder(
            node=self.node,
            follower=self.follower,
            pieces=self.pieces,
            attempts=AttemptRunner(
                node=self.node,
                follower=self.follower,
                sender=Sender(
                    pool=self.pool,
                    health=self.health,
                    silence=self.engines.silence,
                    clock=self.node.clock,
                    notices=self.notices,
                    limits=self.connection_limits,
                ),
                placements=self.placements,
                retries=self.retries,
                guard=self.guard,
                binder=binder,
            ),
            responder=responder,
            host=self.host,
            switch=self.switch,
        )
        self.client_server = HttpServer(
            handler=self.forwarder.serve,
            limits=HttpLimits(),
            body_policy=self.forwarder.bodies,
        )
        self.host.watch(self.client_server)
        self.probe_server = create_check_server(
            name='ready',
            handler=self._answer_probe,
            node=self.node,
            metrics=self.metrics,
            descriptors=settings.host_capacity.descriptors,
        )

    async def open(self) -> None:
        """Start the servers and the background tasks."""
        self._register_methods()
        await self.server.start()
        self.stack.push_async_callback(self.server.close)
        self.stack.callback(self.pool.close)
        await self.probe_server.start(*split_address(self.settings.role_options['ready']))
        self.stack.push_async_callback(self.probe_server.close)
        await self.client_server.start(*split_address(self.settings.role_options['http']))
        self.stack.push_async_callback(self.client_server.close)
        await self.open_metrics(self.metrics)
        self.spawn(self.follower.run())
        self.spawn(self._run_cleanup())
        self.spawn(self._run_monitor())

    def reload(self, settings: Settings) -> None:
        """Apply new settings and add new seed addresses."""
        super().reload(settings)
        own = settings.role_options
        self.follower.add_addresses(cluster_addresses(own['seeds'], own['cluster_ports']))
        self.follower.capacity = settings.host_capacity

    @property
    def drain_timeout_s(self) -> float:
        """Return the time from the stop signal until the process is killed, seconds."""
        return self.settings.role_options['grace_s']

    async def drain(self) -> None:
        """Wait until the load balancer sends no new connections, then finish open requests."""
        loop = asyncio.get_running_loop()
        self.follower.draining = True
        self.client_server.closing = True
        self.forwarder.origins.hand_over()
        left_s = max(0, self.drain_timeout_s - _ABORT_RESERVE_S)
        stop_at = loop.time() + left_s
        self.forwarder.plan_stop(left_s)
        await asyncio.sleep(
            min(
                _DEREGISTRATION_DELAY_S,
                max(0, self.drain_timeout_s - _ABORT_RESERVE_S - _STAGE_ABORT_LEAD_S),
            )
        )
        self.client_server.stop_listening()
        while loop.time() < stop_at:
            if loop.time() > stop_at - _STAGE_ABORT_LEAD_S:
                self.forwarder.abort_stages()
            self.client_server.close_idle()
            if not self.client_server.connections and not self.piece_scheduler.in_flight:
                return
            await asyncio.sleep(_DRAIN_POLL_S)
        self.forwarder.stop()
        self.client_server.cancel_handlers()
        await asyncio.sleep(_DRAIN_POLL_S)

    def _register_methods(self) -> None:
        self.pieces.register(self.server)
        self.placements.register(self.server)
        self.guard.crashes.sharing.register(self.server)
        self.permits.register(self.server)
        self.forwarder.origins.register(self.server)

    async def _answer_probe(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == READY_PATH:
            is_closed = self.draining or self.announcer.is_out
            ready = self.follower.is_ready and not is_closed
            await exchange.respond(_OK if ready else _UNAVAILABLE, [])
        else:
            await exchange.respond(_NOT_FOUND, [])

    def _apply_changes(self) -> None:
        limits = self.follower.table.limits
        self.client_server.limits.header_bytes = limits.header_bytes
        self.client_server.limits.body_bytes = limits.body_bytes
        self.client_server.limits.header_timeout_s = limits.header_timeout_s
        self.client_server.limits.idle_timeout_s = limits.idle_timeout_s
        self.guard.apply_quarantine()
        quarantine = self.follower.quarantine
        self.metrics.put('contents_quarantined', len(quarantine.quarantined))
        self.metrics.put('contents_suspected', len(quarantine.suspects))
        self.metrics.put('zones_drained', len(self.follower.view.drained.names))
        self.retries.processes = max(1, len(self.follower.gateways))
        self.ownership.refresh()
        self.piece_scheduler.refresh()
        self.forwarder.origins.refresh()

    async def _run_cleanup(self) -> None:
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            self.pool.close_expired()
            known = set(self.follower.view.backends)
            self.health.keep_only(known)
            self.placements.keep_only(known)
            self.permits.pacer.keep_only(known)
            self.permits.keep_only(known)
            self.notices.keep_only(known)
            self.connection_limits.shares.keep_only(known)
            self.connection_limits.export(self.pool, self.metrics)
            self.switch.sees_interference = self.health.speeds.reports.reports_interference(known)
            self.owner_log.export(self.ownership, self.follower.table.services)
            self.forwarder.sharing.clean_up(known)
            self.forwarder.origins.export(self.metrics)
            self._count_reservations()

    def _count_reservations(self) -> None:
        reservations = self.pieces.reservations
        reservations.expire()
        for (service, end), count in reservations.counts().items():
            self.metrics.put('reservations', count, service=service, end=end)
        for owned in reservations.share_states():
            self.forwarder.sharing.publish_stage(owned)

    async def _run_monitor(self) -> None:
        while True:  # noqa: WPS457 - ends with the role
            due = self.node.clock.now() + _MONITOR_INTERVAL_S
            await asyncio.sleep(_MONITOR_INTERVAL_S)
            late_s = self.node.clock.now() - due
            self.lag.record(late_s)
            self.guard.evaluate()
            self.engines.check()
            self.host.check()
            self.announcer.record(late_s)
