"""Client and server of placement calls to the owner of an engine service."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.backends import BackendId
from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.gateway.engines.messages import (
    PLACE,
    PROGRESS,
    PlaceReply,
    PlaceRequest,
    ProgressReport,
    PromptPart,
)
from ringseam.gateway.engines.placement import Placer
from ringseam.messages import Empty
from ringseam.routes import ServiceName
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.envelopes import ReceivedMessage
    from ringseam.gateway.engines.placement import Placement
    from ringseam.gateway.following.crashmessages import CrashNotice
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.turns import PermitAllocator
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.node import Node
    from ringseam.routes import BackendService
    from ringseam.rpc import CallClient, CallServer

logger = logging.getLogger(__name__)

#: Timeout of placement calls, after which the gateway places the request itself, seconds. A
#: round trip to the owner takes milliseconds.
_PLACE_TIMEOUT_S = 0.06
_PROGRESS_TIMEOUT_S = 1.0
#: An owner that didn't reply in time gets no placement calls for this long, seconds. Pieces
#: are still sent to it: two gateways that form batches for the same servers disturb each
#: other, two that place requests hardly do.
_OWNER_BACKOFF_S = 1.0


@dataclass(frozen=True, kw_only=True)
class EngineChoice:
    """The engine for a request, and how long it must wait before it is sent, seconds."""

    #: None: only rate-limited engines are left; ``wait_s`` is the time until a send permit.
    engine: BackendReport | None
    wait_s: float


class PlacementClient:
    """Place requests through the owner of their service, or locally as a fallback."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthTracker,
        ownership: Ownership,
        permits: PermitAllocator,
    ) -> None:
        """Start without knowledge of cached prompts."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.health = health
        self.ownership = ownership
        self.permits = permits
        self.pacer = permits.pacer
        self.reports = health.speeds.reports
        self.placers: dict[str, Placer] = {}
        self.tasks = TaskSet()
        #: Until when owners that didn't reply are not called, by address.
        self.skipped_owners: dict[str, float] = {}
        follower.crash_listeners.append(self.report_crashed)

    async def choose(self, context: RequestContext) -> BackendReport | None:
        """Choose the engine for a request, and wait until it may be sent."""
        choice = await self._choose(self._query(context, dry=False))
        while choice is not None and choice.engine is not None and choice.wait_s:
            was_limited = self._is_limited(choice.engine)
            await asyncio.sleep(choice.wait_s)
            still_valid = was_limited or not self._is_limited(choice.engine)
            if still_valid and self._accepts_work(context, choice.engine):
                break
            choice = await self._choose(self._query(context, dry=False))
        self._record_wait(context, choice)
        return choice.engine if choice else None

    async def predict(self, context: RequestContext) -> BackendReport | None:
        """Return the engine that a request would be placed on now."""
        choice = await self._choose(self._query(context, dry=True))
        self._record_wait(context, choice)
        return choice.engine if choice else None

    def must_wait(self, context: RequestContext) -> bool:
        """Return whether all servers that a request may use are rate-limited or paused."""
        paused = self.pacer.pauses.paused(self.clock.now())
        if not (paused or self.permits.limits.count):
            return False
        serving = self.follower.serving(
            context.service, context.suspect.account, context.allowed_zones, context.software
        )
        return bool(serving) and all(
            server.instance in paused or self._is_limited(server) for server in serving
        )

    def started(self, context: RequestContext) -> None:
        """Report that the first event of a request has arrived."""
        self._report_progress(context, over=False)

    def ended(self, context: RequestContext) -> None:
        """Report that a request is over."""
        self._report_progress(context, over=True)

    def report_silent(self, service: ServiceName, instance: BackendId) -> None:
        """Report that an engine with pending responses has gone silent."""
        self._publish(ProgressReport(service=service, silent=instance))

    def report_recovered(self, service: ServiceName, instance: BackendId) -> None:
        """Report that an engine that was silent sends data again."""
        self._publish(ProgressReport(service=service, recovered=instance))

    def report_crashed(self, server: BackendReport, notice: CrashNotice) -> None:
        """Tell the owner of a service with streams that a server has crashed."""
        owner = self.ownership.owner_of(server.service)
        if owner and server.service in self.follower.table.stream_limits_s:
            report = ProgressReport(service=server.service, silent=server.instance, crash=notice)
            self.tasks.spawn(self._send_progress(owner, report))

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop the state of engines that are gone."""
        for placer in self.placers.values():
            placer.keep_only(instances)

    # -- calls of other gateways --------------------------------------------

    def register(self, server: CallServer) -> None:
        """Serve the calls of other gateways."""
        server.add(PLACE, self.serve_place)
        server.add(PROGRESS, self.serve_progress)

    async def serve_place(self, received: ReceivedMessage) -> PlaceReply:
        """Place a request for another gateway."""
        query: PlaceRequest = received.body
        self.permits.merge_limits(query.limits)
        choice = self._place_here(query)
        crashes = self.follower.crashed.notices
        if choice is None:
            return PlaceReply(crashes=crashes)
        instance = choice.engine.instance if choice.engine else ''
        return PlaceReply(instance=instance, wait_s=choice.wait_s, crashes=crashes)

    async def serve_progress(self, received: ReceivedMessage) -> Empty:
        """Apply a progress report of another gateway."""
        self._apply_progress(received.body)
        return Empty()

    # -- helpers ------------------------------------------------------------

    async def _choose(self, query: PlaceRequest) -> EngineChoice | None:
        service = ServiceName(query.service)
        owner = self.ownership.owner_of(service)
        if not owner:
            return self._place_here(query)
        if self.skipped_owners.get(owner, 0) <= self.clock.now():
            choice = await self._query_owner(owner, query)
            if choice is not None:
                if choice.engine is not None and not query.dry:
                    self._record_choice(query, choice)
                return choice
        # Any other gateway may have to place requests locally as well.
        return self._place_here(query, peers=self.follower.gateway_names)

    def _record_choice(self, query: PlaceRequest, choice: EngineChoice) -> None:
        service = self._service(query.service)
        if service is not None and choice.engine is not None:
            now = self.clock.now()
            instance = choice.engine.instance
            self._placer(service.name).record(query, instance, service, now, wait_s=choice.wait_s)
            self.pacer.record_send(instance, now + choice.wait_s)

    def _is_limited(self, server: BackendReport) -> bool:
        return self.permits.limits.of(server.instance) is not None

    def _accepts_work(self, context: RequestContext, server: BackendReport) -> bool:
        """Return whether a server accepts a request from this gateway."""
        paused = self.pacer.pauses.remaining_s(server.instance, self.clock.now())
        return not paused and self.follower.is_serving(server, context.software)

    def _record_wait(self, context: RequestContext, choice: EngineChoice | None) -> None:
        """Record after how long a request that was not placed may be sent."""
        if choice is not None and choice.engine is not None:
            context.available_in_s = 0
            return
        end_s = self.pacer.pauses.earliest_end_s(self._paused(context), self.clock.now())
        permit_s = choice.wait_s if choice else 0
        context.available_in_s = min((wait_s for wait_s in (end_s, permit_s) if wait_s), default=0)

    def _excluded_servers(self, context: RequestContext) -> tuple[str, ...]:
        """Return servers to exclude that the owner may not know to be unavailable."""
        leaving = self.follower.view.leaving_servers(context.service)
        unfit = self.follower.unfit_for(context.software)
        return tuple(context.tries.tried.union(self._paused(context), leaving, unfit))

    def _paused(self, context: RequestContext) -> list[BackendId]:
        """Return the servers that have paused requests from this gateway."""
        paused = self.pacer.pauses.paused(self.clock.now())
        if not paused:
            return []
        serving = self.follower.view.serving(context.service)
        return [server.instance for server in serving if server.instance in paused]

    def _query(self, context: RequestContext, *, dry: bool) -> PlaceRequest:
        now = self.clock.now()
        return PlaceRequest(
            request=context.request.attempt_id,
            service=context.service,
            prompt_tokens=context.request.prompt_tokens,
            prefix=tuple(
                PromptPart(name=part.name, tokens=part.tokens) for part in context.request.prefix
            ),
            priority=context.route.priority,
            objective_ms=int((context.objective_deadline - now) * MS_PER_S),
            left_ms=int((context.deadline - now) * MS_PER_S),
            result_bytes=context.input_bytes,
            avoid=self._excluded_servers(context),
            dry=dry,
            account=context.suspect.account,
            zones=None if context.allowed_zones is None else tuple(context.allowed_zones),
            limits=self.permits.limit_reports(
                server.instance for server in self.follower.view.serving(context.service)
            ),
            output=self._expected_output(context),
            software=context.software,
        )

    def _expected_output(self, context: RequestContext) -> int:
        """Return the expected output if the owner weighs the memory of engines, else 0."""
        serving = self.follower.view.serving(context.service)
        if self.reports.reports_interference(server.instance for server in serving):
            return context.request.output_tokens
        return 0

    def _place_here(
        self, query: PlaceRequest, *, peers: Collection[str] = ()
    ) -> EngineChoice | None:
        service = self._service(query.service)
        if service is None:
            return None
        placer = self._placer(service.name)
        engines = self.follower.serving(service.name, query.account, query.zones, query.software)
        now = self.clock.now()
        placement = placer.place(query, engines, service, now, peers=peers)
        if placement is None:
            permit_in_s = placer.permit_in_s(query, engines, now, peers=peers)
            return EngineChoice(engine=None, wait_s=permit_in_s) if permit_in_s else None
        if not query.dry:
            self._log_placement(query, placement)
        return EngineChoice(engine=placement.engine, wait_s=placement.wait_s)

    def _log_placement(self, query: PlaceRequest, placement: Placement) -> None:
        self.node.events.emit(
            logger,
            Event.request_placed,
            request=query.request,
            backend=placement.engine.instance,
            cost=round(placement.cost, 3),
            unread=placement.prefill_tokens,
            backlog=placement.backlog_tokens,
            disturbed=round(placement.stalled_value, 3),
            prompt=query.prompt_tokens,
            objective_ms=query.objective_ms,
            wait_ms=round(placement.wait_s * MS_PER_S),
        )

    async def _query_owner(self, owner: str, query: PlaceRequest) -> EngineChoice | None:
        try:
            received = await self.client.call(owner, PLACE, query, timeout_s=_PLACE_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('owner did not place the request, placing it locally: %s', error)
            self.skipped_owners[owner] = self.clock.now() + _OWNER_BACKOFF_S
            return None
        reply: PlaceReply = received.body
        for notice in reply.crashes:
            self.follower.learn_crash(notice)
        if not reply.instance and reply.wait_s:
            return EngineChoice(engine=None, wait_s=reply.wait_s)
        serving = self.follower.view.serving(ServiceName(query.service))
        engine = next((known for known in serving if known.instance == reply.instance), None)
        if engine is None or not self.follower.runs_version(engine, query.software):
            return None
        return EngineChoice(engine=engine, wait_s=reply.wait_s)

    def _report_progress(self, context: RequestContext, *, over: bool) -> None:
        request = context.request.attempt_id
        load = () if over else self._interfered_load(context.service, request)
        self._publish(
            ProgressReport(service=context.service, request=request, over=over, load=load),
        )

    def _interfered_load(self, service: str, request: str) -> tuple[int, ...]:
        """Return the load that the engine of a request has just reported, if the owner uses it."""
        placed = self._placer(service).requests.get(request)
        load = self.reports.newest(placed.instance) if placed else None
        return () if load is None or load.slowdown is None else load.figures

    def _publish(self, report: ProgressReport) -> None:
        self._apply_progress(report)
        owner = self.ownership.owner_of(report.service)
        if owner:
            self.tasks.spawn(self._send_progress(owner, report))

    async def _send_progress(self, owner: str, report: ProgressReport) -> None:
        try:
            await self.client.call(owner, PROGRESS, report, timeout_s=_PROGRESS_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('progress not reported to the owner: %s', error)

    def _apply_progress(self, report: ProgressReport) -> None:
        placer = self._placer(report.service)
        now = self.clock.now()
        if report.silent:
            self._eject(BackendId(report.silent))
            if report.crash is not None:
                self.follower.learn_crash(report.crash)
        elif report.recovered:
            self.health.restore(BackendId(report.recovered), now)
        elif report.over:
            placer.ended(report.request)
        else:
            placer.record_load(report.request, report.load, now)
            # Only the owner knows what else the engine had to prefill.
            is_owner = not self.ownership.owner_of(report.service)
            placer.started(report.request, now, learn=is_owner)

    def _eject(self, instance: BackendId) -> None:
        now = self.clock.now()
        if now >= self.health.of(instance).ejected_until:
            self.health.record_failure(instance, now, hard=True)

    def _placer(self, service: str) -> Placer:
        if service not in self.placers:
            self.placers[service] = Placer(
                health=self.health, pacer=self.pacer, service=ServiceName(service)
            )
        return self.placers[service]

    def _service(self, name: str) -> BackendService | None:
        return self.follower.table.services.get(ServiceName(name))
