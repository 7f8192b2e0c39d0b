"""Gateways in virtual time: the serving policy classes over links in memory."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ringseam.backends import BackendView, GatewayState
from ringseam.control.quarantining import QuarantineService
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.gateway.engines.client import PlacementClient
from ringseam.gateway.engines.messages import PLACE, PROGRESS
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
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.messages import PIECES, RELEASE, WAITS
from ringseam.gateway.stages.scheduler import PieceScheduler
from ringseam.metrics import Metrics
from ringseam.model.engines import ModelSender
from ringseam.model.stageservers import ModelPieceCalls
from ringseam.node import Node
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.retries import WindowRetries

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.clock import Clock
    from ringseam.model.engines import ModelEngine
    from ringseam.model.stageservers import Results, StageServer
    from ringseam.routes import RouteTable, ServiceName

logger = logging.getLogger(__name__)

_RETRY_SLACK = 50
#: What an address that nobody listens at costs, seconds.
_REFUSED_S = 0.003


@dataclass(kw_only=True)
class Servers:
    """All backend servers, by address, and what they keep."""

    kept: Results
    stages: dict[str, StageServer] = field(default_factory=dict)
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    #: How many events each request is answered with.
    events_of: dict[str, int] = field(default_factory=dict)


class ModelFollower:
    """What a gateway knows of routes, servers and other gateways."""

    def __init__(self, *, table: RouteTable) -> None:
        """Serve by ``table``."""
        self.table = table
        self.view = BackendView()
        self.gateways: tuple[GatewayState, ...] = ()
        self.quarantine = QuarantineSnapshot(version=0)
        self.is_connected = True
        self.leader = ''
        self.epoch = ''

    @property
    def gateway_names(self) -> frozenset[str]:
        """Return the names of all gateways."""
        return frozenset(state.name for state in self.gateways)

    def zones_within(self, *limits: frozenset[str]) -> None:
        """Return that all zones are allowed."""

    def serving(self, service: ServiceName, account: str, zones: None) -> list[BackendReport]:
        """Return the servers of a service; no account is confined."""
        return self.view.serving(service)

    def is_serving(self, server: BackendReport) -> bool:
        """Return whether a server takes new work."""
        return server in self.view.serving(server.service)

    async def wait_for_routes(self, limit_s: float) -> None:
        """Return: there always are routes."""


class ModelLinks:
    """Calls between gateways in memory, with the time that they take."""

    def __init__(self, *, zone_s: float) -> None:
        """Take ``zone_s`` one way between zones."""
        self.zone_s = zone_s
        self.handlers: dict[tuple[str, str], Any] = {}
        self.calls = 0

    async def call(
        self, address: str, method: Any, message: Any, *, timeout_s: float
    ) -> ReceivedMessage:
        """Call a method of another gateway.

        :raises UnreachableError: when it isn't there or doesn't answer in time.
        """
        self.calls += 1
        handler = self.handlers.get((address, method.path))
        if handler is None:
            await asyncio.sleep(_REFUSED_S)
            raise UnreachableError(address)
        received = ReceivedMessage(sender='', address='', group='', revision=0, body=message)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self.zone_s)
                body = await handler(received)
                await asyncio.sleep(self.zone_s)
        except asyncio.TimeoutError:
            raise UnreachableError(f'{address} took too long') from None
        return ReceivedMessage(sender='', address=address, group='', revision=0, body=body)


class ModelLeader:
    """The leader's judgement on contents that end servers; all else is left out."""

    def __init__(self, *, clock: Clock, links: ModelLinks) -> None:
        """Answer at the address that followers know."""
        node = Node(name='leader', role='control', address='', secret=b'', clock=clock)
        self.links = links
        self.gateways: list[ModelGateway] = []
        self.quarantining = QuarantineService(
            node=node,
            submit=self._record,
            notify_watchers=self._tell,
            redirect=lambda: None,
            is_planned=lambda _: False,
        )
        self.quarantining.serve(self)

    def add(self, method: Any, handler: Any) -> None:
        """Take calls of a method."""
        self.links.handlers['', method.path] = handler

    async def _record(self, command: Any) -> None:
        """Do nothing: no verdict outlives a run."""

    def _tell(self) -> None:
        loop = asyncio.get_running_loop()
        for gateway in self.gateways:
            loop.call_later(self.links.zone_s, gateway.hold, self.quarantining.snapshot())


class ModelGateway:
    """One gateway: the classes that serve, wired to servers in memory."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        table: RouteTable,
        links: ModelLinks,
        servers: Servers,
    ) -> None:
        """Wire one gateway."""
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
        self.links = links
        self.health = HealthTracker()
        self.follower: Any = ModelFollower(table=table)
        ownership = Ownership(follower=self.follower, name=name)
        client: Any = links
        words = ServerNotices(node=node, metrics=Metrics(), view=self.follower.view)
        turns = PermitAllocator(
            node=node,
            client=client,
            follower=self.follower,
            ownership=ownership,
            pacer=Pacer(
                name=name,
                health=self.health,
                limits=words.limits,
                pauses=words.pauses,
            ),
        )
        self.placements = PlacementClient(
            node=node,
            client=client,
            follower=self.follower,
            health=self.health,
            ownership=ownership,
            turns=turns,
        )
        retries = WindowRetries(slack=_RETRY_SLACK)
        sender: Any = ModelSender(
            engines=servers.engines,
            kept=servers.kept,
            silence=SilenceDetector(),
            zone=zone,
            zone_s=links.zone_s,
            events_of=servers.events_of,
            health=self.health,
            words=words,
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
            zone_s=links.zone_s,
            words=words,
        )
        self.works = PieceScheduler(
            node=node,
            follower=self.follower,
            calls=calls,
            retries=retries,
            guard=self.guard,
            ownership=ownership,
            pace=turns.pacer,
        )
        self.pieces = PieceClient(
            clock=clock, client=client, scheduler=self.works, ownership=ownership
        )
        self.works.release_inputs = self.pieces.release
        responder = Responder(node=node, metrics=Metrics())
        attempts = AttemptRunner(
            node=node,
            follower=self.follower,
            sender=sender,
            placements=self.placements,
            retries=retries,
            responder=responder,
            guard=self.guard,
        )
        self.forwarder = Forwarder(
            node=node,
            follower=self.follower,
            pieces=self.pieces,
            attempts=attempts,
            responder=responder,
        )
        self._listen(turns)

    @property
    def state(self) -> GatewayState:
        """Return what the other gateways are told of this one."""
        return GatewayState(name=self.node.name, address=self.node.address, zone=self.node.zone)

    def hold(self, news: QuarantineSnapshot) -> None:
        """Hear which contents end servers."""
        self.follower.quarantine = news
        self.guard.apply_quarantine()

    def know(self, gateways: tuple[GatewayState, ...]) -> None:
        """Hear which gateways there are."""
        self.follower.gateways = gateways
        # The gateways of a pattern have been there for long.
        services = self.follower.table.services
        self.works.ownership.sole_since = dict.fromkeys(services, float('-inf'))
        self.works.ownership.refresh()

    def add(self, method: Any, handler: Any) -> None:
        """Take calls of a method from other gateways."""
        self.links.handlers[self.node.address, method.path] = handler

    def _listen(self, turns: PermitAllocator) -> None:
        for method, handler in (
            (PIECES, self.pieces.serve_pieces),
            (WAITS, self.pieces.serve_waits),
            (RELEASE, self.pieces.serve_release),
            (PLACE, self.placements.serve_place),
            (PROGRESS, self.placements.serve_progress),
        ):
            self.add(method, handler)
        listener: Any = self
        turns.register(listener)
