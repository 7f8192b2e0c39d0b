"""A client's request from its first byte to its answer."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.gateway.choice import MeasuredChoice, rendezvous
from ringseam.gateway.piecework import FETCH_S
from ringseam.gateway.relay import StreamEnd, StreamRelay, client_headers, is_stream
from ringseam.gateway.stagegraph import StageRun, has_stages
from ringseam.gateway.work import Answered, LossCause, Lost, NotRun, Work
from ringseam.platform.requests import attempt_header, decode_request, retry_after
from ringseam.routes import RequestKind
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.budget import RetryBudget
    from ringseam.gateway.follower import Follower
    from ringseam.gateway.health import HealthBook
    from ringseam.gateway.piecework import PieceWorks
    from ringseam.gateway.placements import Placements
    from ringseam.gateway.tries import Sender
    from ringseam.gateway.work import TryOutcome
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.platform.requests import ClientRequest
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.web.server import Exchange

logger = logging.getLogger(__name__)

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
_BAD_REQUEST = 400
#: When a client should come back while nothing is known, seconds.
_COME_BACK_S = 0.3
#: A refused client comes back after this long at the latest, seconds.
_COME_BACK_MOST_S = 3.0
#: What the last server of a staged request needs for its first event, seconds.
_LAST_SERVER_S = 0.3
#: A request is refused when it would be later than this, seconds.
_SHED_MARGIN_S = 0.3
#: A prompt with this many shared tokens is served where they are kept; fewer
#: are read in under 50 ms.
_LONG_PREFIX_TOKENS = 1500
#: Connections that could not be made don't count as attempts; this many end it.
_UNSENT_TRIES = 4


class Forwarder:  # noqa: WPS214 - the steps of one request
    """Serve clients by the routes and servers that the follower holds."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        sender: Sender,
        health: HealthBook,
        works: PieceWorks,
        placements: Placements,
        budget: RetryBudget,
        metrics: Metrics,
    ) -> None:
        """Forward through ``sender``."""
        self.node = node
        self.clock = node.clock
        self.follower = follower
        self.sender = sender
        self.health = health
        self.works = works
        self.placements = placements
        self.budget = budget
        self.metrics = metrics
        self.plain = MeasuredChoice(health=health, zone=node.zone)
        self.random = random.Random(node.incarnation)  # noqa: S311 - spreads load only

    async def handle(self, exchange: Exchange) -> None:
        """Answer one client request."""
        request = decode_request(exchange.request)
        table = self.follower.table
        if not table.number:
            await self._refuse(exchange, request, 'no routes yet')
            return
        route = table.match(request.host, request.path)
        if route is None:
            await exchange.respond(_NOT_FOUND, self._marks(request))
            return
        account = table.account_of(request.key)
        if table.accounts and account is None and not route.public:
            await exchange.respond(_UNAUTHORIZED, self._marks(request))
            return
        work = self._work(exchange, request, route, None if route.public else account)
        try:
            await self._serve(work)
        except asyncio.CancelledError:
            self._log(work, Event.request_left)
            raise

    def _work(
        self,
        exchange: Exchange,
        request: ClientRequest,
        route: Route,
        account: Account | None,
    ) -> Work:
        arrived = exchange.request.arrived
        limit = route.timeout_s
        if request.time_left_s is not None:
            limit = min(limit, request.time_left_s)
        return Work(
            exchange=exchange,
            request=request,
            route=route,
            service=self._target(route),
            account=account,
            arrived=arrived,
            deadline=arrived + limit,
        )

    def _target(self, route: Route) -> ServiceName:
        services = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self.random.choices(services, weights)[0]

    async def _serve(self, work: Work) -> None:
        self.budget.request(work.service, self.clock.now())
        if not has_stages(work.route, work.request.pieces):
            await self._forward(work, None)
            return
        stages = StageRun(
            work=work,
            works=self.works,
            table=self.follower.table,
            zone=await self._stage_zone(work),
            zones=self.follower.view.zones,
        )
        predicted = stages.predicted_s()
        objective_s = work.objective - self.clock.now()
        if predicted + _LAST_SERVER_S > objective_s + _SHED_MARGIN_S:
            excess = predicted + _LAST_SERVER_S - objective_s
            await self._refuse(
                work.exchange,
                work.request,
                f'stages would take {predicted:.2f} s',
                come_back_s=min(_COME_BACK_MOST_S, max(_COME_BACK_S, excess)),
            )
            return
        try:
            fault = await stages.run()
            if fault is None:
                work.stages_s = self.clock.now() - work.arrived
                work.inputs = stages.inputs()
                work.input_bytes = stages.input_bytes()
                await self._forward(work, stages)
            else:
                await self._refuse(
                    work.exchange,
                    work.request,
                    f'stages: {fault.fault.value}',
                )
        finally:
            stages.release()

    # -- sending ------------------------------------------------------------

    async def _forward(self, work: Work, stages: StageRun | None) -> None:
        """Send until an answer is passed on or nothing more may be sent."""
        relay = StreamRelay(work=work, clock=self.clock, last=work.request.last_event)
        relay.on_first = lambda: self._note_first(work, stages)
        outcome: TryOutcome = NotRun(detail='no server')
        unsent = 0
        while True:  # noqa: WPS457 - ends when nothing more may be sent
            server = await self._choose(work)
            if server is None or work.deadline <= self.clock.now():
                break
            if stages is not None and not stages.is_held and not await self._remake(work, stages):
                break
            work.tried.add(server.instance)
            fetched = self._release_when_fetched(stages)
            outcome = await self._try(work, server, relay)
            fetched.cancel()
            if isinstance(outcome, Answered):
                return
            if isinstance(outcome, NotRun) and not outcome.reached:
                unsent += 1
                if unsent >= _UNSENT_TRIES:
                    break
                continue
            work.sends += 1
            if not self._may_repeat(work, outcome):
                break
        await self._give_up(work, outcome, relay)

    def _release_when_fetched(self, stages: StageRun | None) -> asyncio.TimerHandle:
        """Give results up a while after the request was sent to its server."""
        loop = asyncio.get_running_loop()
        release = stages.release if stages is not None else _nothing
        return loop.call_later(FETCH_S, release)

    def _note_first(self, work: Work, stages: StageRun | None) -> None:
        """Hear that the first event has come: the server has its inputs."""
        if stages is not None:
            stages.release()
        if work.route.affinity:
            self.placements.began(work)

    async def _remake(self, work: Work, stages: StageRun) -> bool:
        """Make results again that were given up when the first event came."""
        fault = await stages.run()
        work.inputs = stages.inputs()
        return fault is None

    def _may_repeat(self, work: Work, outcome: TryOutcome) -> bool:
        if isinstance(outcome, Lost):
            work.maybe_run += 1
            if not work.route.repeatable:
                return False
        if work.sends >= work.route.max_attempts:
            return False
        return self.budget.take(work.service, self.clock.now())

    async def _choose(self, work: Work) -> BackendReport | None:
        if work.route.affinity:
            return await self.placements.choose(work)
        servers = [
            server
            for server in self.follower.view.serving(work.service)
            if server.instance not in work.tried
        ]
        return self.plain.choose(servers, self.clock.now())

    async def _stage_zone(self, work: Work) -> str:
        """Return the availability zone in which the stages should work.

        A prompt whose shared parts are long goes where they are kept; others
        are spread over the zones by the servers of their first stage.
        """
        shared = sum(part.tokens for part in work.request.prefix[:-1])
        if shared >= _LONG_PREFIX_TOKENS:
            engine = await self.placements.choose(work, dry=True)
            if engine is not None:
                return engine.zone
        first = next(
            stage.service
            for stage, count in zip(work.route.stages, work.request.pieces, strict=False)
            if count
        )
        servers = self.follower.view.serving(first)
        if not servers:
            return self.node.zone
        name = rendezvous(work.request.attempt_id, [server.instance for server in servers])
        return next(server.zone for server in servers if server.instance == name)

    async def _try(
        self,
        work: Work,
        server: BackendReport,
        relay: StreamRelay,
    ) -> TryOutcome:
        """Send once; an :class:`Answered` has been passed on whole."""
        standing = self.health.of(server.instance)
        standing.in_flight += 1
        self._log(work, Event.request_sent, backend=server.instance, sends=work.sends)
        begun = self.clock.now()
        try:
            last = relay.last if relay.started else None
            outcome = await self.sender.send(work, server, last_event=last)
            if isinstance(outcome, Answered):
                return await self._pass_on(work, server, outcome, relay, begun)
            return outcome
        finally:
            standing.in_flight -= 1
            if work.route.affinity:
                self.placements.ended(work)

    async def _pass_on(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
        begun: float,
    ) -> TryOutcome:
        clean = False
        try:
            if is_stream(answered.head) and answered.head.status < _BAD_REQUEST:
                outcome = await self._pass_stream(work, server, answered, relay)
            else:
                outcome = await self._pass_whole(work, server, answered, relay, begun)
            clean = isinstance(outcome, Answered)
            return outcome
        finally:
            if clean:
                self.sender.pool.release(answered.channel)
            else:
                answered.channel.close()

    async def _pass_whole(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
        begun: float,
    ) -> TryOutcome:
        now = self.clock.now()
        try:
            async with asyncio.timeout(max(0, work.deadline - now)):
                body = await answered.channel.whole_body()
        except (ChannelError, asyncio.TimeoutError) as error:
            self._count_failure(work, server)
            return Lost(cause=LossCause.not_whole, detail=f'{server.address}: {error}')
        if answered.head.status >= _SERVER_ERROR:
            self._count_failure(work, server)
            last_chance = work.sends + 1 >= work.route.max_attempts
            repeatable = work.route.repeatable and not last_chance
            if relay.started or (repeatable and self._has_other(work)):
                self.sender.pool.release(answered.channel)
                return Lost(cause=LossCause.not_whole, detail=f'status {answered.head.status}')
        else:
            self.health.succeeded(server.instance, self.clock.now())
            self.health.took(server.instance, self.clock.now() - begun, 0)
        await work.exchange.respond(answered.head.status, client_headers(answered.head), body)
        self._note_answer(work, answered.head.status, self.clock.now())
        return answered

    async def _pass_stream(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
    ) -> TryOutcome:
        end = await relay.pass_on(answered)
        if end is StreamEnd.whole:
            self.health.succeeded(server.instance, self.clock.now())
            await work.exchange.finish()
            self._note_answer(work, answered.head.status, relay.first_at, relay.longest_gap)
            return answered
        self._count_failure(work, server)
        self._log(
            work,
            Event.stream_broken,
            backend=server.instance,
            end=end.value,
            last=relay.last,
        )
        cause = LossCause.timeout if end is StreamEnd.deadline else LossCause.gap
        return Lost(cause=cause, detail=f'{server.address}: stream {end.value}')

    def _has_other(self, work: Work) -> bool:
        serving = self.follower.view.serving(work.service)
        return any(server.instance not in work.tried for server in serving)

    def _count_failure(self, work: Work, server: BackendReport) -> None:
        if self.health.failed(server.instance, self.clock.now()):
            self._log(work, Event.server_ejected, backend=server.instance)

    # -- final answers ------------------------------------------------------

    async def _give_up(self, work: Work, outcome: TryOutcome, relay: StreamRelay) -> None:
        """Give the final answer at once."""
        detail = outcome.detail if not isinstance(outcome, Answered) else ''
        if relay.started:
            self._log(work, Event.request_failed, status=0, detail=detail)
            work.exchange.abort()
        elif work.maybe_run or isinstance(outcome, Lost):
            late = self.clock.now() >= work.deadline
            await self._fail(work, _GATEWAY_TIMEOUT if late else _BAD_GATEWAY, detail)
        else:
            await self._refuse(work.exchange, work.request, detail)

    async def _fail(self, work: Work, status: int, detail: str) -> None:
        self._log(work, Event.request_failed, status=status, detail=detail)
        self.metrics.add('requests', status=str(status), route=work.route.name)
        await work.exchange.respond(status, self._marks(work.request))

    async def _refuse(
        self,
        exchange: Exchange,
        request: ClientRequest,
        detail: str,
        *,
        come_back_s: float = _COME_BACK_S,
    ) -> None:
        """Say that the request has not run, and when to come back."""
        self.node.events.emit(
            logger,
            Event.request_refused,
            request=request.attempt_id,
            number=self.follower.table.number,
            detail=detail,
        )
        self.metrics.add('requests', status=str(_UNAVAILABLE), route='')
        headers = [*self._marks(request), retry_after(come_back_s)]
        await exchange.respond(_UNAVAILABLE, headers)

    def _marks(self, request: ClientRequest) -> list[tuple[str, str]]:
        return [attempt_header(request.attempt_id)] if request.attempt_id else []

    def _note_answer(self, work: Work, status: int, first_at: float, gap: float = 0) -> None:
        took_ms = (self.clock.now() - work.arrived) * MS_PER_S
        late = first_at > work.objective or gap > work.route.gap_objective_s > 0
        self.metrics.add('requests', status=str(status), route=work.route.name)
        self.metrics.record_ms('request', took_ms, route=work.route.name)
        self._log(
            work,
            Event.request_answered,
            status=status,
            took_ms=round(took_ms),
            stages_ms=round(work.stages_s * MS_PER_S),
            first_ms=round((first_at - work.arrived) * MS_PER_S),
            gap_ms=round(gap * MS_PER_S),
            late=late,
        )

    def _log(self, work: Work, event: Event, **fields: object) -> None:
        self.node.events.emit(
            logger,
            event,
            request=work.request.attempt_id,
            route=work.route.name,
            number=self.follower.table.number,
            **fields,
        )


def _nothing() -> None:
    """Do nothing: a request without stages holds no results."""
