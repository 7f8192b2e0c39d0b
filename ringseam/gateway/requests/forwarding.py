"""A client's request from its first byte to its answer."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from ringseam.contents import request_content_id
from ringseam.events import Event
from ringseam.gateway.following.guard import COME_BACK_S as SUSPECT_COME_BACK_S
from ringseam.gateway.requests.admission import LAST_SERVER_S, Admission
from ringseam.gateway.requests.answers import NOT_FOUND, UNAUTHORIZED
from ringseam.gateway.requests.attempts import NO_TURN
from ringseam.gateway.requests.fairness import Fairness
from ringseam.gateway.stages.graph import StageFault, StageRun, has_stages
from ringseam.gateway.work import Work
from ringseam.platform.requests import decode_request
from ringseam.platform.stages import PieceFault
from ringseam.quarantine import TrialState
from ringseam.util.tasks import cancelled

if TYPE_CHECKING:
    from ringseam.calls import ClientRequest
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.requests.answers import Answers
    from ringseam.gateway.requests.attempts import Attempts
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.node import Node
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.web.server import Exchange

#: A gateway that still has no routes has them after this long, seconds: an election
#: takes less, unless the first one fails.
_NO_ROUTES_S = 0.6
#: A request waits for the first routes for this share of the time that its
#: client gives it, and for this long at most, seconds. Objectives are a sixth to
#: a half of such limits, so it can still be in time afterwards.
_ROUTES_WAIT_SHARE = 1 / 16
_ROUTES_WAIT_S = 0.6
#: No route is served in time less often than this share of those before it.
_FAIR_SHARE = 0.7
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
        attempts: Attempts,
        answers: Answers,
    ) -> None:
        """Forward by ``attempts``, after stages by ``pieces``."""
        self.node = node
        self.clock = node.clock
        self.follower = follower
        self.pieces = pieces
        self.attempts = attempts
        self.answers = answers
        #: Set when this process stops and what is in stages can't be finished.
        self.leaving = asyncio.Event()
        self.admission = Admission(seed=node.incarnation)
        self.fairness = Fairness(least=_FAIR_SHARE)
        self.random = random.Random(node.incarnation)  # noqa: S311 - spreads load only

    async def serve(self, exchange: Exchange) -> None:
        """Answer one client request."""
        request = decode_request(exchange.request)
        self.answers.note_claims(exchange.request.headers)
        await self._await_routes(request)
        table = self.follower.table
        if not table.number:
            await self.answers.refuse(
                exchange,
                request,
                'no routes yet',
                come_back_s=_NO_ROUTES_S,
            )
            return
        route = table.match(request.host, request.path)
        if route is None:
            await self.answers.reject(exchange, request, NOT_FOUND)
            return
        account = None if route.public else table.account_of(request.key)
        if table.accounts and account is None and not route.public:
            await self.answers.reject(exchange, request, UNAUTHORIZED)
            return
        work = self._work(exchange, request, route, account)
        work.raised_to = self.fairness.rank(
            route.name,
            work.service,
            work.rank,
            self.clock.now(),
        )
        try:
            await self._serve(work)
        except asyncio.CancelledError:
            self.answers.log(work, Event.request_left)
            raise
        finally:
            self._note_end(work)

    def hand_back(self) -> None:
        """Refuse what is still in stages: this process stops, another has the time."""
        self.leaving.set()

    def _note_end(self, work: Work) -> None:
        """Count whether a client was served in time.

        Later tries of a client don't count, nor does a content that is turned away: its
        client would raise the rank of all others that ask for the route.
        """
        if not work.asked_before_s and not work.rejected_for_content:
            self.fairness.note(
                work.route.name,
                work.service,
                work.rank,
                self.clock.now(),
                in_time=work.in_time,
            )

    async def _await_routes(self, request: ClientRequest) -> None:
        """Let a request wait a little for the first routes of this process."""
        if self.follower.table.number:
            return
        limit_s = _ROUTES_WAIT_S
        if request.time_left_s is not None:
            limit_s = min(limit_s, _ROUTES_WAIT_SHARE * request.time_left_s)
        await self.follower.await_routes(limit_s)

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
            content_id=request_content_id(
                exchange.request,
                host=request.host,
                account=account.name if account else '',
                secret=self.node.secret,
            ),
            arrived=arrived,
            deadline=arrived + limit,
            number=self.follower.table.number,
            zones=self.follower.zones_within(
                route.regions,
                account.regions if account else frozenset(),
            ),
            asked_before_s=self.admission.asked_before_s(
                route.name,
                request.time_left_s,
                self.clock.now(),
            ),
        )

    def _target(self, route: Route) -> ServiceName:
        services = [target.service for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self.random.choices(services, weights)[0]

    async def _serve(self, work: Work) -> None:
        try:
            if await self._is_admitted(work):
                await self._run(work)
        finally:
            self.attempts.guard.conclude(work)

    async def _is_admitted(self, work: Work) -> bool:
        """Answer a request at once whose content ends servers, or may do so."""
        state = await self.attempts.guard.admit(work)
        if state is TrialState.quarantined:
            await self.answers.reject_content(work)
        elif state is TrialState.busy:
            work.rejected_for_content = True
            await self.answers.refuse(
                work.exchange,
                work.request,
                'its content is suspected, and another run is under way',
                come_back_s=SUSPECT_COME_BACK_S,
                route=work.route.name,
            )
        return state is TrialState.granted

    async def _run(self, work: Work) -> None:
        self.attempts.retries.record_request(work.service, self.clock.now())
        if not self._may_run(work):
            await self.answers.refuse(
                work.exchange,
                work.request,
                'no server in the regions that its route and account allow',
                route=work.route.name,
            )
            return
        if not has_stages(work.route, work.request.pieces):
            await self.attempts.run(work, None)
            return
        stages = StageRun(
            work=work,
            pieces=self.pieces,
            clock=self.clock,
            table=self.follower.table,
            server_zone=await self._stage_zone(work),
            zone_by_address=self.follower.view.zones,
        )
        if await self._is_shed(work, stages):
            return
        try:
            await self._run_stages(work, stages)
        finally:
            stages.release()

    def _may_run(self, work: Work) -> bool:
        """Return whether all services that a request needs have servers in its zones."""
        if work.zones is None:
            return True
        counts = zip(work.request.pieces, work.route.stages, strict=False)
        needed = {work.service, *(stage.service for count, stage in counts if count)}
        account = work.suspect.account
        return all(self.follower.serving(name, account, work.zones) for name in needed)

    async def _is_shed(self, work: Work, stages: StageRun) -> bool:
        """Refuse a request that would be late by far; it can come back."""
        if await self._has_no_turn(work):
            return True
        await self.pieces.refresh_waits(stages.services())
        work.predicted_s = stages.predicted_s() + LAST_SERVER_S
        refusal = self.admission.refuses(work, work.predicted_s, self.clock.now())
        if refusal is None:
            return False
        await self.answers.refuse(
            work.exchange,
            work.request,
            f'stages and server would take {refusal.needed_s:.2f} s',
            come_back_s=refusal.come_back_s,
            route=work.route.name,
        )
        return True

    async def _has_no_turn(self, work: Work) -> bool:
        """Refuse a request before its stages where no server will take it soon."""
        placements = self.attempts.placements
        if not work.route.affinity or not placements.must_wait(work):
            return False
        await placements.foresee(work)
        if not work.turn_in_s:
            return False
        await self.answers.refuse(
            work.exchange,
            work.request,
            NO_TURN,
            come_back_s=self.admission.come_back_s(
                work.turn_in_s,
                work.deadline - self.clock.now(),
            ),
            route=work.route.name,
        )
        return True

    async def _run_stages(self, work: Work, stages: StageRun) -> None:
        fault = await self._unless_leaving(stages)
        if fault is not None:
            await self._refuse_staged(work, stages, fault)
            return
        work.stages_s = self.clock.now() - work.arrived
        work.input_bytes = stages.input_bytes()
        await self.attempts.run(work, stages)

    async def _unless_leaving(self, stages: StageRun) -> StageFault | None:
        """Run stages to their end, or until what is in them is handed back."""
        running = asyncio.ensure_future(stages.run())
        leaving = asyncio.ensure_future(self.leaving.wait())
        try:
            await asyncio.wait({running, leaving}, return_when=asyncio.FIRST_COMPLETED)
            return running.result() if running.done() else StageFault(fault=PieceFault.late)
        finally:
            leaving.cancel()
            # Results are given up after this; until then a stage may begin to use them.
            await cancelled(running)

    async def _refuse_staged(self, work: Work, stages: StageRun, fault: StageFault) -> None:
        """Refuse what its stages can't be made for; it may come back."""
        if self.attempts.guard.is_quarantined(work.content_id):
            await self.answers.reject_content(work)
            return
        left_s = work.deadline - self.clock.now()
        # Another process may have the time at once when this one only stops.
        needed_s = 0 if self.leaving.is_set() else stages.predicted_s()
        await self.answers.refuse(
            work.exchange,
            work.request,
            f'stages: {fault.fault.value}',
            come_back_s=self.admission.come_back_s(needed_s, left_s),
            route=work.route.name,
        )

    async def _stage_zone(self, work: Work) -> str:
        """Return the availability zone of the last server, if that is fixed.

        A prompt whose shared parts are long goes where they are kept; others
        go where their results are.
        """
        shared = sum(part.tokens for part in work.request.prefix[:-1])
        if shared < _LONG_PREFIX_TOKENS:
            return ''
        engine = await self.attempts.placements.foresee(work)
        return engine.zone if engine else ''
