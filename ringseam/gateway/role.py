"""The gateway process: clients on one side, backend servers on the other."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.control.founding import cluster_addresses
from ringseam.events import Event
from ringseam.gateway.engines.client import PlaceClient
from ringseam.gateway.engines.messages import PLACE, PROGRESS
from ringseam.gateway.engines.silence import SilenceBook
from ringseam.gateway.following.follower import Follower
from ringseam.gateway.following.guard import Guard
from ringseam.gateway.following.health import HealthBook
from ringseam.gateway.following.lag import LoopLag
from ringseam.gateway.following.ownership import Ownership
from ringseam.gateway.following.pacing import Pace
from ringseam.gateway.following.serverwords import ServerWords
from ringseam.gateway.following.turns import Turns
from ringseam.gateway.requests.answers import Answers
from ringseam.gateway.requests.attempts import Attempts
from ringseam.gateway.requests.forwarding import Forwarder
from ringseam.gateway.requests.sending import Sender
from ringseam.gateway.stages.calls import PieceCalls
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.messages import PIECES, RELEASE, WAITS
from ringseam.gateway.stages.scheduler import PieceScheduler
from ringseam.ids import split_address
from ringseam.metrics import Metrics
from ringseam.platform.registration import READY_PATH
from ringseam.retries import WindowRetries
from ringseam.role import Role
from ringseam.web.client import ChannelPool
from ringseam.web.server import HttpLimits, HttpServer

if TYPE_CHECKING:
    from ringseam.settings import Settings
    from ringseam.web.server import Exchange

logger = logging.getLogger(__name__)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_SWEEP_S = 0.5
#: How often engines are looked at for silence, seconds.
_LISTEN_S = 0.1
#: From the signal to stop until the balancer has seen two missed answers and
#: its last new connections have come, seconds.
_LEAVE_S = 2.6
#: What is left of the grace period when all that runs is broken off, seconds.
_RESERVE_S = 0.6
#: Before that, what is still in stages is refused, seconds: its client has the time to
#: ask elsewhere, and a refusal that leaves now is not cut.
_HAND_BACK_S = 1.0
_DRAIN_POLL_S = 0.02


class GatewayRole(Role):
    """Serve clients by calling backend servers directly."""

    name = 'gateway'

    def __init__(self, *, settings: Settings) -> None:
        """Prepare; nothing is opened yet."""
        super().__init__(settings=settings)
        self.node.adopts_group = False
        own = settings.own
        self.metrics = Metrics()
        self.health = HealthBook()
        self.lag = LoopLag()
        self.silence = SilenceBook()
        self.pool = ChannelPool(clock=self.node.clock)
        self.retries = WindowRetries(
            ratio=own['retry_ratio'],
            slack=own['retry_slack'],
            window_s=own['retry_window_s'],
        )
        self.follower = Follower(
            node=self.node,
            client=self.client,
            addresses=cluster_addresses(own['seeds'], own['cluster_ports']),
            on_change=self._changed,
        )
        self.words = ServerWords(
            node=self.node,
            metrics=self.metrics,
            view=self.follower.view,
        )
        self.guard = Guard(
            node=self.node,
            client=self.client,
            follower=self.follower,
            health=self.health,
            pool=self.pool,
        )
        self.ownership = Ownership(follower=self.follower, name=self.node.name)
        self.turns = Turns(
            node=self.node,
            client=self.client,
            follower=self.follower,
            ownership=self.ownership,
            pace=Pace(
                name=self.node.name,
                book=self.follower.coldness,
                health=self.health,
                limits=self.words.limits,
                pauses=self.words.pauses,
                over=own['cold_over'],
                slack=own['cold_slack'],
            ),
        )
        self.placements = PlaceClient(
            node=self.node,
            client=self.client,
            follower=self.follower,
            health=self.health,
            ownership=self.ownership,
            turns=self.turns,
        )
        self.works = PieceScheduler(
            node=self.node,
            follower=self.follower,
            calls=PieceCalls(pool=self.pool, clock=self.node.clock, words=self.words),
            retries=self.retries,
            guard=self.guard,
            ownership=self.ownership,
            pace=self.turns.pace,
        )
        self.pieces = PieceClient(
            clock=self.node.clock,
            client=self.client,
            scheduler=self.works,
            ownership=self.ownership,
        )
        self.works.release_inputs = self.pieces.release
        answers = Answers(node=self.node, metrics=self.metrics)
        self.forwarder = Forwarder(
            node=self.node,
            follower=self.follower,
            pieces=self.pieces,
            attempts=Attempts(
                node=self.node,
                follower=self.follower,
                sender=Sender(
                    pool=self.pool,
                    health=self.health,
                    silence=self.silence,
                    clock=self.node.clock,
                    words=self.words,
                ),
                placements=self.placements,
                retries=self.retries,
                answers=answers,
                guard=self.guard,
            ),
            answers=answers,
        )
        self.clients = HttpServer(handler=self.forwarder.serve, limits=HttpLimits())
        self.probes = HttpServer(handler=self._answer_probe, limits=HttpLimits())

    async def open(self) -> None:
        """Listen, and follow control."""
        self._serve_methods()
        await self.server.start()
        self.stack.push_async_callback(self.server.close)
        self.stack.callback(self.pool.close)
        await self.probes.start(*split_address(self.settings.own['ready']))
        self.stack.push_async_callback(self.probes.close)
        await self.clients.start(*split_address(self.settings.own['http']))
        self.stack.push_async_callback(self.clients.close)
        await self.open_metrics(self.metrics)
        self.spawn(self.follower.run())
        self.spawn(self._sweep_always())
        self.spawn(self._listen_always())

    def reload(self, settings: Settings) -> None:
        """Take over other seeds."""
        super().reload(settings)
        own = settings.own
        self.follower.add_addresses(cluster_addresses(own['seeds'], own['cluster_ports']))

    @property
    def drain_limit_s(self) -> float:
        """Return the time until the process is killed, seconds."""
        return self.settings.own['grace_s']

    async def drain(self) -> None:
        """Let the balancer turn away, then finish what was read."""
        loop = asyncio.get_running_loop()
        self.follower.draining = True
        self.clients.closing = True
        until = loop.time() + max(0, self.drain_limit_s - _RESERVE_S)
        await asyncio.sleep(min(_LEAVE_S, max(0, self.drain_limit_s - _RESERVE_S - _HAND_BACK_S)))
        self.clients.stop_listening()
        while loop.time() < until:
            if loop.time() > until - _HAND_BACK_S:
                self.forwarder.hand_back()
            self.clients.close_idle()
            if not self.clients.active and not self.works.in_flight:
                break
            await asyncio.sleep(_DRAIN_POLL_S)

    def leave_silent(self) -> None:
        """Leave engines that have gone silent, and send their work elsewhere."""
        now = self.node.clock.now()
        for instance in self.silence.silent(now):
            report = self.follower.view.backends.get(instance)
            if report is not None and now >= self.health.of(instance).ejected_until:
                self.placements.fell_silent(report.service, instance)
                self.node.events.emit(logger, Event.engine_silent, backend=instance)
            self.guard.ends.fell_silent(instance, report)
            for request in self.silence.give_up(instance):
                self.silence.ended(instance, request)

    def _serve_methods(self) -> None:
        self.server.add(PIECES, self.pieces.serve_pieces)
        self.server.add(WAITS, self.pieces.serve_waits)
        self.server.add(RELEASE, self.pieces.serve_release)
        self.server.add(PLACE, self.placements.serve_place)
        self.server.add(PROGRESS, self.placements.serve_progress)
        self.turns.listen(self.server)

    async def _answer_probe(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == READY_PATH:
            ready = self.follower.is_ready and not self.draining
            await exchange.respond(_OK if ready else _UNAVAILABLE, [])
        else:
            await exchange.respond(_NOT_FOUND, [])

    def _changed(self) -> None:
        limits = self.follower.table.limits
        self.clients.limits.head_bytes = limits.head_bytes
        self.clients.limits.body_bytes = limits.body_bytes
        self.clients.limits.head_s = limits.head_s
        self.clients.limits.idle_s = limits.idle_s
        self.guard.see_news()
        held = self.follower.quarantine
        self.metrics.put('contents_quarantined', len(held.quarantined))
        self.metrics.put('contents_suspected', len(held.suspects))
        self.metrics.put('zones_drained', len(self.follower.view.drained.names))
        self.retries.processes = max(1, len(self.follower.gateways))
        self.ownership.refresh()
        self.works.refresh()

    async def _sweep_always(self) -> None:
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(_SWEEP_S)
            self.pool.sweep()
            known = set(self.follower.view.backends)
            self.health.keep_only(known)
            self.placements.keep_only(known)
            self.turns.pace.keep_only(known)
            self.turns.keep_only(known)
            self.words.keep_only(known)

    async def _listen_always(self) -> None:
        while True:  # noqa: WPS457 - ends with the role
            due = self.node.clock.now() + _LISTEN_S
            await asyncio.sleep(_LISTEN_S)
            self._note_lag(self.node.clock.now() - due)
            self.guard.judge()
            self.leave_silent()

    def _note_lag(self, late_s: float) -> None:
        now = self.node.clock.now()
        self.lag.note(late_s, now)
        busy = self.lag.is_busy(now)
        if busy != self.follower.busy:
            self.follower.busy = busy
            self.node.events.emit(
                logger,
                Event.gateway_behind if busy else Event.gateway_in_time,
                late_ms=round(MS_PER_S * late_s),
            )
