"""A client's request from its first byte to its answer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ringseam.contents import request_content_id
from ringseam.events import Event
from ringseam.gateway.following.guard import COME_BACK_S as SUSPECT_RETRY_AFTER_S
from ringseam.gateway.requestcontext import RequestContext
from ringseam.gateway.requests.admission import FINAL_SERVER_S, Admission
from ringseam.gateway.requests.answers import NOT_FOUND, UNAUTHORIZED
from ringseam.gateway.requests.attempts import SERVERS_LIMITED
from ringseam.gateway.requests.fairness import Fairness
from ringseam.gateway.stages.graph import StageFault, StageRun, has_stages
from ringseam.platform.requests import decode_request
from ringseam.platform.stages import PieceFault
from ringseam.quarantine import TrialState
from ringseam.util.tasks import cancelled

if TYPE_CHECKING:
    from ringseam.calls import ClientRequest
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.requests.answers import Responder
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.node import Node
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.web.server import Exchange

#: A gateway that still has no routes has them after this long, seconds: an election
#: takes less, unless the first one fails.
_NO_ROUTES_RETRY_AFTER_S = 0.6
#: A request waits for the first routes for this share of the time that its
#: client gives it, and for this long at most, seconds. Objectives are a sixth to
#: a half of such limits, so it can still be in time afterwards.
_ROUTES_WAIT_SHARE = 1 / 16
_MAX_ROUTES_WAIT_S = 0.6
#: No route is served in time less often than this share of those before it.
_MIN_ON_TIME_RATIO = 0.7
#: A prompt with this many shared tokens is served where they are kept; fewer
#: are read in under 50 ms.
_LONG_PREFIX_TOKENS = 1500


class Forwarder:
    """Serve clients by the routes and servers that the follower holds."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        pieces: PieceClient,
        attempts: AttemptRunner,
        responder: Responder,
    ) -> None:
        """Forward by ``attempts``, after stages by ``pieces``."""
        self.node = node
        self.clock = node.clock
        self.follower = follower
        self.pieces = pieces
        self.attempts = attempts
        self.responder = responder
        #: Set when this process stops and what is in stages can't be finished.
        self.shutting_down = asyncio.Event()
        self.admission = Admission(seed=node.incarnation)
        self.fairness = Fairness(min_ratio=_MIN_ON_TIME_RATIO)
        self.random = random.Random(node.incarnation)  # noqa: S311 - spreads load only

    async def serve(self, exchange: Exchange) -> None:
        """Answer one client request."""
        request = decode_request(exchange.request)
        self.responder.count_forged_headers(exchange.request.headers)
        await self._await_routes(request)
        table = self.follower.table
        if not table.number:
            await self.responder.refuse(
                exchange,
                request,
                'no routes yet',
                retry_after_s=_NO_ROUTES_RETRY_AFTER_S,
            )
            return
        route = table.match(request.host, request.path)
        if route is None:
            await self.responder.reject(exchange, request, NOT_FOUND)
            return
        account = None if route.public else table.account_of(request.key)
        if table.accounts and account is None and not route.public:
            await self.responder.reject(exchange, request, UNAUTHORIZED)
            return
        context = self._create_context(exchange, request, route, account)
        context.adjusted_rank = self.fairness.effective_rank(
            route.name,
            context.service,
            context.rank,
            self.clock.now(),
        )
        try:
            await self._serve(context)
        except asyncio.CancelledError:
            self.responder.log(context, Event.request_left)
            raise
        finally:
            self._record_fairness(context)

    def abort_stages(self) -> None:
        """Refuse what is still in stages: this process stops, another has the time."""
        self.shutting_down.set()

    def _record_fairness(self, context: RequestContext) -> None:
        """Count whether a client was served in time.

        Later tries of a client don't count, nor does a content that is turned away: its
        client would raise the rank of all others that ask for the route.
        """
        if not context.since_first_attempt_s and not context.rejected_for_content:
            self.fairness.record(
                context.route.name,
                context.service,
                context.rank,
                self.clock.now(),
                on_time=context.on_time,
            )

    async def _await_routes(self, request: ClientRequest) -> None:
        """Let a request wait a little for the first routes of this process."""
        if self.follower.table.number:
            return
        limit_s = _MAX_ROUTES_WAIT_S
        if request.time_left_s is not None:
            limit_s = min(limit_s, _ROUTES_WAIT_SHARE * request.time_left_s)
        await self.follower.await_routes(limit_s)

    def _create_context(
        self,
        exchange: Exchange,
        request: ClientRequest,
        route: Route,
        account: Account | None,
    ) -> RequestContext:
        arrived = exchange.request.arrived
        limit = route.timeout_s
        if request.time_left_s is not None:
            limit = min(limit, request.time_left_s)
        return RequestContext(
            exchange=exchange,
            request=request,
            route=route,
            service=self._pick_service(route),
            account=account,
            content_id=request_content_id(
                exchange.request,
                host=request.host,
                account=account.name if account else '',
                secret=self.node.secret,
            ),
            arrived=arrived,
            deadline=arrived + limit,
            table_number=self.follower.table.number,
            allowed_zones=self.follower.zones_within(
                route.regions,
                account.regions if account else frozenset(),
            ),
            since_first_attempt_s=self.admission.since_first_attempt_s(
                route.name,
                request.time_left_s,
                self.clock.now(),
            ),
        )

    def _pick_service(self, route: Route) -> ServiceName:
        services = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self.random.choices(services, weights)[0]

    async def _serve(self, context: RequestContext) -> None:
        try:
            if await self._is_admitted(context):
                await self._run(context)
        finally:
            self.attempts.guard.conclude(context)

    async def _is_admitted(self, context: RequestContext) -> bool:
        """Answer a request at once whose content ends servers, or may do so."""
        state = await self.attempts.guard.admit(context)
        if state is TrialState.quarantined:
            await self.responder.reject_content(context)
        elif state is TrialState.busy:
            context.rejected_for_content = True
            await self.responder.refuse(
                context.exchange,
                context.request,
                'its content is suspected, and another run is under way',
                retry_after_s=SUSPECT_RETRY_AFTER_S,
                route=context.route.name,
            )
        return state is TrialState.granted

    async def _run(self, context: RequestContext) -> None:
        self.attempts.retries.record_request(context.service, self.clock.now())
        if not self._has_servers(context):
            await self.responder.refuse(
                context.exchange,
                context.request,
                'no server in the regions that its route and account allow',
                route=context.route.name,
            )
            return
        if not has_stages(context.route, context.request.pieces):
            await self.attempts.run(context, None)
            return
        stages = StageRun(
            work=context,
            pieces=self.pieces,
            clock=self.clock,
            table=self.follower.table,
            server_zone=await self._preferred_zone(context),
            zone_by_address=self.follower.view.zones,
        )
        if await self._is_shed(context, stages):
            return
        try:
            await self._run_stages(context, stages)
        finally:
            stages.release()

    def _has_servers(self, context: RequestContext) -> bool:
        """Return whether all services that a request needs have servers in its zones."""
        if context.allowed_zones is None:
            return True
        counts = zip(context.request.pieces, context.route.stages, strict=False)
        needed = {context.service, *(stage.service for count, stage in counts if count)}
        account = context.suspect.account
        return all(self.follower.serving(name, account, context.allowed_zones) for name in needed)

    async def _is_shed(self, context: RequestContext, stages: StageRun) -> bool:
        """Refuse a request that would be late by far; it can come back."""
        if await self._is_rate_limited(context):
            return True
        await self.pieces.refresh_waits(stages.services())
        context.predicted_duration_s = stages.predicted_s() + FINAL_SERVER_S
        refusal = self.admission.check(context, context.predicted_duration_s, self.clock.now())
        if refusal is None:
            return False
        await self.responder.refuse(
            context.exchange,
            context.request,
            f'stages and server would take {refusal.predicted_s:.2f} s',
            retry_after_s=refusal.retry_after_s,
            route=context.route.name,
        )
        return True

    async def _is_rate_limited(self, context: RequestContext) -> bool:
        """Refuse a request before its stages where no server will take it soon."""
        placements = self.attempts.placements
        if not context.route.affinity or not placements.must_wait(context):
            return False
        await placements.foresee(context)
        if not context.available_in_s:
            return False
        await self.responder.refuse(
            context.exchange,
            context.request,
            SERVERS_LIMITED,
            retry_after_s=self.admission.retry_after_s(
                context.available_in_s,
                context.deadline - self.clock.now(),
            ),
            route=context.route.name,
        )
        return True

    async def _run_stages(self, context: RequestContext, stages: StageRun) -> None:
        fault = await self._run_until_shutdown(stages)
        if fault is not None:
            await self._refuse_failed_stages(context, stages, fault)
            return
        context.stages_duration_s = self.clock.now() - context.arrived
        context.input_bytes = stages.input_bytes()
        await self.attempts.run(context, stages)

    async def _run_until_shutdown(self, stages: StageRun) -> StageFault | None:
        """Run stages to their end, or until what is in them is handed back."""
        running = asyncio.ensure_future(stages.run())
        leaving = asyncio.ensure_future(self.shutting_down.wait())
        try:
            await asyncio.wait({running, leaving}, return_when=asyncio.FIRST_COMPLETED)
            return running.result() if running.done() else StageFault(fault=PieceFault.late)
        finally:
            leaving.cancel()
            # Results are given up after this; until then a stage may begin to use them.
            await cancelled(running)

    async def _refuse_failed_stages(
        self, context: RequestContext, stages: StageRun, fault: StageFault
    ) -> None:
        """Refuse what its stages can't be made for; it may come back."""
        if self.attempts.guard.is_quarantined(context.content_id):
            await self.responder.reject_content(context)
            return
        left_s = context.deadline - self.clock.now()
        # Another process may have the time at once when this one only stops.
        needed_s = 0 if self.shutting_down.is_set() else stages.predicted_s()
        await self.responder.refuse(
            context.exchange,
            context.request,
            f'stages: {fault.fault.value}',
            retry_after_s=self.admission.retry_after_s(needed_s, left_s),
            route=context.route.name,
        )

    async def _preferred_zone(self, context: RequestContext) -> str:
        """Return the availability zone of the last server, if that is fixed.

        A prompt whose shared parts are long goes where they are kept; others
        go where their results are.
        """
        shared = sum(part.tokens for part in context.request.prefix[:-1])
        if shared < _LONG_PREFIX_TOKENS:
            return ''
        engine = await self.attempts.placements.foresee(context)
        return engine.zone if engine else ''
