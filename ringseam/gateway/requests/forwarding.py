"""Serving of client requests: routing, admission, stages and forwarding."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from ringseam.contents import prompt_part_ids, request_content_id
from ringseam.features import Feature
from ringseam.gateway.featureswitch import FeatureSwitch
from ringseam.gateway.following.guard import RETRY_AFTER_S as SUSPECT_RETRY_AFTER_S
from ringseam.gateway.requestcontext import RequestContext
from ringseam.gateway.requests.accountsharing import AccountSharing
from ringseam.gateway.requests.admission import Admission, honoured_retry_after_s
from ringseam.gateway.requests.admissionpolicy import (
    AdmissionPolicy,
    PredictedDelayPolicy,
    SwitchedAdmission,
)
from ringseam.gateway.requests.answers import (
    BAD_GATEWAY,
    BAD_REQUEST,
    NOT_FOUND,
    UNAUTHORIZED,
)
from ringseam.gateway.requests.attempts import SERVERS_LIMITED
from ringseam.gateway.requests.bodies import RoutedBodies
from ringseam.gateway.requests.fairness import Fairness
from ringseam.gateway.requests.reservationclient import ReservationClient
from ringseam.gateway.requests.reservedpolicy import ReservedAdmission
from ringseam.gateway.stages.graph import StageFault, StageRun, has_stages
from ringseam.platform.requests import decode_request
from ringseam.platform.stages import PieceFault
from ringseam.quarantine import TrialState
from ringseam.util.tasks import cancel_and_wait

if TYPE_CHECKING:
    from ringseam.calls import ClientRequest
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.hosts.monitor import HostMonitor
    from ringseam.gateway.requests.answers import Responder
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.gateway.requests.originsharing import OriginSharing
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.node import Node
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.web.exchange import Exchange

#: Retry-After while a gateway has no routes, seconds: an election takes less time,
#: unless the first one fails.
_NO_ROUTES_RETRY_AFTER_S = 0.6
#: A request waits for the first routes for this share of its client's time limit,
#: and for ``_MAX_ROUTES_WAIT_S`` at most. Objectives are a sixth to a half of the time
#: limits, so the request can still be on time afterwards.
_ROUTES_WAIT_SHARE = 1 / 16
_MAX_ROUTES_WAIT_S = 0.6
#: Detail of requests that are ended at the end of the grace period.
_STOPPING = 'this gateway stops'
#: Clients may retry after a response with this status or a higher one.
_SERVER_ERROR = 500
#: Minimum on-time ratio of a route, relative to the higher-ranked routes.
_MIN_ON_TIME_RATIO = 0.7
#: Prompts with at least this many shared tokens are sent to the engine that caches
#: them; fewer tokens are processed in under 50 ms.
_LONG_PREFIX_TOKENS = 1500


class Forwarder:
    """Serve clients with the routes and servers that the follower knows."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        pieces: PieceClient,
        attempts: AttemptRunner,
        responder: Responder,
        switch: FeatureSwitch | None = None,
        host: HostMonitor | None = None,
    ) -> None:
        """Create a forwarder that runs stages by ``pieces`` and sends by ``attempts``."""
        self.node = node
        self.clock = node.clock
        self.follower = follower
        self.pieces = pieces
        self.attempts = attempts
        self.responder = responder
        self.host = host
        self.bodies = RoutedBodies(forwarder=self)
        #: Set when this process stops and running stages can't be finished.
        self.shutting_down = asyncio.Event()
        #: When requests under way are ended; infinite: this process doesn't stop.
        self.ends_at = math.inf
        #: Whether requests under way are ended, as their time is up.
        self.stopping = False
        self.admission = Admission(seed=node.incarnation)
        self.switch = switch or FeatureSwitch()
        self.policy = self._create_policy()
        self.sharing = AccountSharing(
            features=self.switch.settings, attempts=attempts, metrics=responder.metrics
        )
        self.fairness = Fairness(min_ratio=_MIN_ON_TIME_RATIO)
        self.random = random.Random(node.incarnation)  # noqa: S311 - weighted routing only

    @property
    def origins(self) -> OriginSharing:
        """Return the origins of streams that this gateway knows."""
        return self.attempts.binder.sharing

    async def serve(self, exchange: Exchange) -> None:
        """Serve one client request."""
        request = decode_request(exchange.request)
        self.responder.count_forged_headers(exchange.request.headers)
        await self._await_routes(request)
        table = self.follower.table
        if self.stopping or not table.number:
            await self.responder.refuse(
                exchange,
                request,
                _STOPPING if self.stopping else 'no routes received yet',
                retry_after_s=_NO_ROUTES_RETRY_AFTER_S,
            )
            return
        route, account = self._find_route(request)
        status = self._rejection_status(request, route, account)
        if route is None or status:
            await self.responder.reject(exchange, request, status)
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
            await self._handle_cancellation(context)
        finally:
            self._record_fairness(context)

    def is_rejected(self, request: ClientRequest) -> bool:
        """Return whether a request will be rejected, whatever its body is."""
        if not self.follower.table.number:
            return False
        return bool(self._rejection_status(request, *self._find_route(request)))

    def flow_of(self, request: ClientRequest) -> str:
        """Return the route and the client account of a request; empty: neither is known."""
        route, account = self._find_route(request)
        if route is None:
            return ''
        return f'{route.name} {account.name if account else ""}'

    def plan_stop(self, left_s: float) -> None:
        """Refuse requests that would not be finished in ``left_s`` seconds."""
        self.ends_at = self.clock.now() + left_s

    def stop(self) -> None:
        """Answer requests that are cancelled from now on, as this process stops."""
        self.stopping = True

    def abort_stages(self) -> None:
        """Refuse requests that still run stages, as this process stops; they can be retried."""
        self.shutting_down.set()

    async def _handle_cancellation(self, context: RequestContext) -> None:
        """Log a client that has left; answer one that is still there if this process stops."""
        is_connected = context.exchange.is_client_connected
        if not is_connected:
            self.responder.log_left(context)
        if not (self.stopping and is_connected):
            raise asyncio.CancelledError
        await self._end_for_stop(context)

    async def _end_for_stop(self, context: RequestContext) -> None:
        """Answer a request that can't be finished before this process stops."""
        if context.exchange.finished:
            return
        if context.exchange.started:
            self.responder.abort(context, _STOPPING)
        elif any(activity.sent for activity in context.activities.values()):
            # It was sent to a server and may have run.
            await self.responder.fail(context, BAD_GATEWAY, _STOPPING)
        else:
            await self.responder.refuse(
                context.exchange,
                context.request,
                _STOPPING,
                route=context.route.name,
                context=context,
            )

    def _find_route(self, request: ClientRequest) -> tuple[Route | None, Account | None]:
        table = self.follower.table
        route = table.match(request.host, request.path)
        if route is None or route.public:
            return route, None
        return route, table.account_by_key(request.key)

    def _rejection_status(
        self, request: ClientRequest, route: Route | None, account: Account | None
    ) -> int:
        """Return the status of a request that may not be served; 0: it may."""
        if route is None:
            return NOT_FOUND
        if self.follower.table.accounts and account is None and not route.public:
            return UNAUTHORIZED
        return BAD_REQUEST if route.stages and request.has_invalid_pieces else 0

    def _record_fairness(self, context: RequestContext) -> None:
        """Count whether a client was served on time.

        Retries don't count, nor do requests rejected for their content: such a client
        would raise the rank of all other requests of the route.
        """
        if not context.since_first_attempt_s and not context.rejected_for_content:
            self.fairness.record(
                context.route.name,
                context.service,
                context.rank,
                self.clock.now(),
                on_time=context.on_time,
            )

    def _create_policy(self) -> AdmissionPolicy:
        return SwitchedAdmission(
            is_on=lambda: self.switch.is_on(Feature.reserved_admission),
            policy=ReservedAdmission(
                clock=self.clock,
                reservations=ReservationClient(pieces=self.pieces),
                admission=self.admission,
            ),
            former=PredictedDelayPolicy(
                clock=self.clock, pieces=self.pieces, admission=self.admission
            ),
        )

    async def _await_routes(self, request: ClientRequest) -> None:
        """Wait briefly for the first routes after the start of this process."""
        if self.follower.table.number:
            return
        limit_s = _MAX_ROUTES_WAIT_S
        if request.time_left_s is not None:
            limit_s = min(limit_s, _ROUTES_WAIT_SHARE * request.time_left_s)
        await self.follower.wait_for_routes(limit_s)

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
        service = self._pick_service(route)
        return RequestContext(
            exchange=exchange,
            request=request,
            route=route,
            service=service,
            account=account,
            content_id=request_content_id(
                exchange.request,
                host=request.host,
                account=account.name if account else '',
                secret=self.node.secret,
            ),
            part_ids=prompt_part_ids(request.prefix, service=service, secret=self.node.secret),
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
        if await self._refuse_for_stop(context) or await self._refuse_for_memory(context):
            return
        try:
            if await self._admit_content(context) and not await self._refuse_unresumable(context):
                await self._run(context)
        finally:
            self._record_end(context)

    def _record_end(self, context: RequestContext) -> None:
        self.attempts.guard.end_trial(context)
        if self.host is not None:
            self.host.record_response(context)
        if context.exchange.status >= _SERVER_ERROR:
            self.admission.record_unserved(context.route.name)

    async def _refuse_for_stop(self, context: RequestContext) -> bool:
        """Refuse a request that this process would break off; return whether it was refused."""
        needed_s = self.responder.durations.estimate_s(context.route.name)
        if min(context.deadline, self.clock.now() + needed_s) <= self.ends_at:
            return False
        await self.responder.refuse(
            context.exchange, context.request, _STOPPING, route=context.route.name, context=context
        )
        return True

    async def _refuse_for_memory(self, context: RequestContext) -> bool:
        """Refuse a request that this host has no room for; return whether it was refused."""
        retry_after_s = None if self.host is None else self.host.admit(context)
        if retry_after_s is None:
            return False
        await self.responder.refuse(
            context.exchange,
            context.request,
            'this gateway has no descriptors for more clients'
            if context.exchange.connection.is_refused
            else 'this gateway holds too much for other requests',
            retry_after_s=honoured_retry_after_s(
                retry_after_s, context.deadline - self.clock.now()
            ),
            route=context.route.name,
        )
        return True

    async def _refuse_unresumable(self, context: RequestContext) -> bool:
        """Refuse a stream that no server may continue; return whether it was refused."""
        refusal = await self.attempts.binder.bind(context)
        if refusal is None:
            return False
        await self.responder.refuse(
            context.exchange,
            context.request,
            refusal.detail,
            retry_after_s=honoured_retry_after_s(
                refusal.retry_after_s, context.deadline - self.clock.now()
            ),
            route=context.route.name,
            context=context,
        )
        return True

    async def _admit_content(self, context: RequestContext) -> bool:
        """Return whether the content may be sent; if not, respond to the request."""
        state = await self.attempts.guard.admit(
            context, reads_prompt=not has_stages(context.route, context.request.pieces)
        )
        if state is TrialState.quarantined:
            await self.responder.reject_content(context)
        elif state is TrialState.busy:
            context.rejected_for_content = True
            await self.responder.refuse(
                context.exchange,
                context.request,
                'content is suspected of crashing servers; a trial run is in progress',
                retry_after_s=SUSPECT_RETRY_AFTER_S,
                route=context.route.name,
                context=context,
            )
        return state is TrialState.granted

    async def _run(self, context: RequestContext) -> None:
        self.attempts.retries.record_request(context.service, self.clock.now())
        if not self._has_servers(context):
            await self.responder.refuse(
                context.exchange,
                context.request,
                'no server in the regions allowed by route and account',
                route=context.route.name,
                context=context,
            )
            return
        if not has_stages(context.route, context.request.pieces):
            await self.attempts.run(context, None)
            return
        stages = StageRun(
            context=context,
            pieces=self.pieces,
            clock=self.clock,
            table=self.follower.table,
            server_zone=await self._preferred_zone(context),
            zone_by_address=self.follower.view.zones,
        )
        if await self._refuse_if_late(context, stages):
            return
        try:
            await self._run_stages(context, stages)
        finally:
            stages.release()
            self.policy.ended(context)

    def _has_servers(self, context: RequestContext) -> bool:
        """Return whether all services that a request needs have servers in its allowed zones."""
        if context.allowed_zones is None:
            return True
        counts = zip(context.request.pieces, context.route.stages, strict=False)
        needed = {context.service, *(stage.service for count, stage in counts if count)}
        account = context.suspect.account
        return all(self.follower.serving(name, account, context.allowed_zones) for name in needed)

    async def _refuse_if_late(self, context: RequestContext, stages: StageRun) -> bool:
        """Refuse a request that would be late; return whether it was refused."""
        if await self._refuse_if_rate_limited(context):
            return True
        refusal = await self.policy.admit(context, stages)
        if refusal is None:
            return False
        self.sharing.record_refusal(context, refusal)
        await self.responder.refuse(
            context.exchange,
            context.request,
            f'predicted time for stages and server is {refusal.predicted_s:.2f} s',
            retry_after_s=refusal.retry_after_s,
            route=context.route.name,
            context=context,
        )
        return True

    async def _refuse_if_rate_limited(self, context: RequestContext) -> bool:
        """Refuse a request if no final server accepts it soon; return whether it was refused."""
        placements = self.attempts.placements
        if not context.route.affinity or not placements.must_wait(context):
            return False
        await placements.predict(context)
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
            context=context,
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
        """Run the stages until they end or this process shuts down."""
        running = asyncio.ensure_future(stages.run())
        shutdown = asyncio.ensure_future(self.shutting_down.wait())
        try:
            await asyncio.wait({running, shutdown}, return_when=asyncio.FIRST_COMPLETED)
            return running.result() if running.done() else StageFault(fault=PieceFault.late)
        finally:
            shutdown.cancel()
            # Results are released after this; a stage may start to use them until then.
            await cancel_and_wait(running)

    async def _refuse_failed_stages(
        self, context: RequestContext, stages: StageRun, fault: StageFault
    ) -> None:
        """Refuse a request whose stages failed; the client may retry."""
        if self.attempts.guard.is_rejected(context):
            await self.responder.reject_content(context)
            return
        remaining_s = context.deadline - self.clock.now()
        # If only this process stops, another one may serve the request at once.
        predicted_s = 0 if self.shutting_down.is_set() else stages.predicted_s()
        await self.responder.refuse(
            context.exchange,
            context.request,
            f'stages: {fault.fault.value}',
            retry_after_s=self.admission.retry_after_s(predicted_s, remaining_s),
            route=context.route.name,
            context=context,
        )

    async def _preferred_zone(self, context: RequestContext) -> str:
        """Return the availability zone of the final server, if it is fixed; else ''.

        A prompt with long shared parts goes to the engine that caches them, others go
        to the zone of their stage results.
        """
        shared_tokens = sum(part.tokens for part in context.request.prefix[:-1])
        if shared_tokens < _LONG_PREFIX_TOKENS:
            return ''
        engine = await self.attempts.placements.predict(context)
        return engine.zone if engine else ''
