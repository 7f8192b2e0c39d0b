"""Simulated gateways: the real policy classes, connected by an in-memory network."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ringseam.backends import GatewayState
from ringseam.control.quarantining import QuarantineService
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.gateway.engines.client import PlacementClient
from ringseam.gateway.engines.silence import SilenceDetector
from ringseam.gateway.following.guard import QuarantineGuard
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.ownership import Ownership
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.following.serverwords import ServerNotices
from ringseam.gateway.following.turns import PermitAllocator
from ringseam.gateway.requests.answers import Responder
from ringseam.gateway.requests.attempts import AttemptRunner
from ringseam.gateway.requests.forwarding import Forwarder
from ringseam.gateway.requests.streambinding import StreamBinder
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.scheduler import PieceScheduler
from ringseam.metrics import Metrics
from ringseam.model.engines import ModelSender
from ringseam.model.follower import ModelFollower
from ringseam.model.stageservers import ModelPieceCalls
from ringseam.node import Node
from ringseam.retries import WindowRetries

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.gateway.featureswitch import FeatureSwitch
    from ringseam.model.engines import ModelEngine
    from ringseam.model.stageservers import ResultStore, StageServer
    from ringseam.quarantinemessages import QuarantineSnapshot
    from ringseam.routes import RouteTable

logger = logging.getLogger(__name__)

_RETRY_SLACK = 50
#: Time until a connection to an address without a listener is refused, seconds.
_CONNECTION_REFUSED_S = 0.003


@dataclass(kw_only=True)
class BackendServers:
    """All backend servers, by address, and the results that they store."""

    result_store: ResultStore
    stages: dict[str, StageServer] = field(default_factory=dict)
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    #: Number of events in the response, by attempt ID.
    event_counts: dict[str, int] = field(default_factory=dict)


class ModelNetwork:
    """In-memory calls between gateways, with network latency."""

    def __init__(self, *, zone_s: float) -> None:
        """Create a network with a one-way latency of ``zone_s``, seconds."""
        self.zone_s = zone_s
        self.handlers: dict[tuple[str, str], Any] = {}
        self.calls = 0

    async def call(
        self, address: str, method: Any, message: Any, *, timeout_s: float
    ) -> ReceivedMessage:
        """Call a method of another gateway.

        :raises UnreachableError: if there is no handler or no reply in time.
        """
        self.calls += 1
        handler = self.handlers.get((address, method.path))
        if handler is None:
            await asyncio.sleep(_CONNECTION_REFUSED_S)
            raise UnreachableError(address)
        received = ReceivedMessage(sender='', address='', group='', revision=0, body=message)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self.zone_s)
                body = await handler(received)
                await asyncio.sleep(self.zone_s)
        except asyncio.TimeoutError:
            raise UnreachableError(f'{address}: no reply in time') from None
        return ReceivedMessage(sender='', address=address, group='', revision=0, body=body)


class ModelLeader:
    """The leader of the control group, reduced to the quarantine of crashing contents."""

    def __init__(self, *, clock: Clock, network: ModelNetwork) -> None:
        """Register at the empty address, which the followers use for the leader."""
        node = Node(name='leader', role='control', address='', secret=b'', clock=clock)
        self.network = network
        self.gateways: list[ModelGateway] = []
        self.quarantining = QuarantineService(
            node=node,
            submit=self._record,
            notify_watchers=self._publish_quarantine,
            redirect=lambda: None,
            is_planned=lambda _: False,
        )
        self.quarantining.serve(self)

    def add(self, method: Any, handler: Any) -> None:
        """Register the handler of a method."""
        self.network.handlers['', method.path] = handler

    async def _record(self, command: Any) -> None:
        """Do nothing; verdicts need not outlive a run."""

    def _publish_quarantine(self) -> None:
        loop = asyncio.get_running_loop()
        for gateway in self.gateways:
            loop.call_later(
                self.network.zone_s, gateway.set_quarantine, self.quarantining.snapshot()
            )


class ModelGateway:
    """One gateway: the real request and stage classes, connected to simulated servers."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        table: RouteTable,
        network: ModelNetwork,
        servers: BackendServers,
        switch: FeatureSwitch,
    ) -> None:
        """Create the gateway and register its handlers."""
        node = Node(
            name=name,
            role='gateway',
            address=f'{name}:1',
            secret=b'',
            zone=zone,
            clock=clock,
            incarnation=name,
        )
        self.node = node
        self.network = network
        self.health = HealthTracker.for_features(switch.settings)
        self.follower: Any = ModelFollower(table=table)
        ownership = Ownership(follower=self.follower, name=name)
        client: Any = network
        notices = ServerNotices(
            node=node,
            metrics=Metrics(),
            view=self.follower.view,
            speeds=self.health.speeds,
        )
        permits = PermitAllocator(
            node=node,
            client=client,
            follower=self.follower,
            ownership=ownership,
            pacer=Pacer(
                name=name,
                health=self.health,
                limits=notices.limits,
                pauses=notices.pauses,
            ),
        )
        self.placements = PlacementClient(
            node=node,
            client=client,
            follower=self.follower,
            health=self.health,
            ownership=ownership,
            permits=permits,
        )
        retries = WindowRetries(slack=_RETRY_SLACK)
        sender: Any = ModelSender(
            engines=servers.engines,
            result_store=servers.result_store,
            silence=SilenceDetector(),
            zone=zone,
            zone_s=network.zone_s,
            event_counts=servers.event_counts,
            health=self.health,
            notices=notices,
        )
        self.guard = QuarantineGuard(
            node=node,
            client=client,
            follower=self.follower,
            health=self.health,
            pool=sender.pool,
        )
        calls: Any = ModelPieceCalls(
            servers=servers.stages,
            zone=zone,
            zone_s=network.zone_s,
            notices=notices,
        )
        self.piece_scheduler = PieceScheduler(
            node=node,
            follower=self.follower,
            calls=calls,
            retries=retries,
            guard=self.guard,
            ownership=ownership,
            pacer=permits.pacer,
            switch=switch,
        )
        self.pieces = PieceClient(
            clock=clock, client=client, scheduler=self.piece_scheduler, ownership=ownership
        )
        self.piece_scheduler.release_inputs = self.pieces.release
        responder = Responder(node=node, metrics=Metrics())
        attempts = AttemptRunner(
            node=node,
            follower=self.follower,
            sender=sender,
            placements=self.placements,
            retries=retries,
            guard=self.guard,
            binder=StreamBinder(
                node=node, client=client, follower=self.follower, responder=responder
            ),
        )
        self.forwarder = Forwarder(
            node=node,
            follower=self.follower,
            pieces=self.pieces,
            attempts=attempts,
            responder=responder,
            switch=switch,
        )
        self._register_handlers(permits)

    @property
    def state(self) -> GatewayState:
        """Return the state that is reported to the other gateways."""
        return GatewayState(name=self.node.name, address=self.node.address, zone=self.node.zone)

    def set_quarantine(self, snapshot: QuarantineSnapshot) -> None:
        """Apply a snapshot of the quarantined contents."""
        self.follower.quarantine = snapshot
        self.guard.apply_quarantine()

    def set_gateways(self, gateways: tuple[GatewayState, ...]) -> None:
        """Set the list of all gateways."""
        self.follower.gateways = gateways
        # All gateways count as long-running, so ownership needs no transition period.
        services = self.follower.table.services
        self.piece_scheduler.ownership.sole_since = dict.fromkeys(services, float('-inf'))
        self.piece_scheduler.ownership.refresh()

    def add(self, method: Any, handler: Any) -> None:
        """Register the handler of a method called by other gateways."""
        self.network.handlers[self.node.address, method.path] = handler

    def _register_handlers(self, permits: PermitAllocator) -> None:
        registrar: Any = self
        self.placements.register(registrar)
        self.forwarder.origins.register(registrar)
        self.pieces.register(registrar)
        permits.register(registrar)
