"""The sends of one request, until an answer is passed on or nothing more may go."""

from __future__ import annotations

import asyncio
import logging
import types
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.gateway.requests.answers import BAD_GATEWAY, COME_BACK_S, GATEWAY_TIMEOUT
from ringseam.gateway.requests.choice import MeasuredChoice
from ringseam.gateway.requests.directtries import DirectTries
from ringseam.gateway.requests.plainchoice import PlainChoice
from ringseam.gateway.requests.relay import StreamEnd, StreamRelay, client_headers, is_stream
from ringseam.gateway.work import Answered, LossCause, Lost, NotRun, Quarantined
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.engines.client import PlaceClient
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.guard import Guard
    from ringseam.gateway.requests.answers import Answers
    from ringseam.gateway.requests.sending import Sender
    from ringseam.gateway.stages.graph import StageRun
    from ringseam.gateway.work import TryOutcome, Work
    from ringseam.node import Node
    from ringseam.retries import RetryPolicy

logger = logging.getLogger(__name__)

#: Why a request is refused that some server would take later.
NO_TURN = 'all servers that are left have asked for a pause or have no turn left'
_BAD_REQUEST = 400
_SERVER_ERROR = 500
_MISDIRECTED = 421
#: What an unfinished stream says of its server.
_CAUSES = types.MappingProxyType(
    {
        StreamEnd.deadline: LossCause.timeout,
        StreamEnd.broken: LossCause.broken,
        StreamEnd.silent: LossCause.gap,
        StreamEnd.out_of_order: LossCause.gap,
    },
)


class Attempts:  # noqa: WPS214 - the steps from choice to answer
    """Send requests to backend servers and pass their answers on."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        sender: Sender,
        placements: PlaceClient,
        retries: RetryPolicy,
        answers: Answers,
        guard: Guard,
    ) -> None:
        """Send through ``sender``."""
        self.clock = node.clock
        self.follower = follower
        self.sender = sender
        self.health = sender.health
        self.placements = placements
        self.retries = retries
        self.answers = answers
        self.guard = guard
        self.plain = PlainChoice(
            clock=node.clock,
            follower=follower,
            turns=placements.turns,
            choice=MeasuredChoice(health=sender.health, zone=node.zone),
        )

    async def run(self, work: Work, stages: StageRun | None) -> None:
        """Send until an answer is passed on, else give the final answer."""
        relay = StreamRelay(work=work, clock=self.clock, last=work.request.last_event)
        relay.on_passed = self.answers.note_passed
        relay.on_first = lambda: self._note_first(work, stages)
        tries = DirectTries(attempts=self, work=work, stages=stages, relay=relay)
        await tries.run()
        if not isinstance(tries.outcome, Answered):
            await self._give_up(work, tries.outcome, relay)

    async def choose(self, work: Work) -> BackendReport | None:
        """Return the server that is expected to answer first."""
        if work.route.affinity:
            return await self.placements.choose(work)
        return await self.plain.choose(work)

    async def send_once(
        self,
        work: Work,
        server: BackendReport,
        relay: StreamRelay,
    ) -> TryOutcome:
        """Send once; an :class:`Answered` has been passed on whole."""
        standing = self.health.of(server.instance)
        standing.in_flight += 1
        self.answers.log(
            work,
            Event.request_sent,
            backend=server.instance,
            content=work.content_id,
            sends=work.tries.sends,
            last=relay.last,
        )
        self.guard.ends.sent(server, work.request.attempt_id, work.suspect)
        try:
            outcome = await self._send(work, server, relay)
        finally:
            standing.in_flight -= 1
            self._note_over(work, server)
        self._forget_replaced(server, outcome)
        self._note_lost(work, server, outcome)
        self._note_refused(work, server, outcome)
        # An error may be given before anything is run.
        if isinstance(outcome, Answered) and outcome.head.status < _BAD_REQUEST:
            self.guard.answered(server, work.content_id)
        return outcome

    async def _send(
        self,
        work: Work,
        server: BackendReport,
        relay: StreamRelay,
    ) -> TryOutcome:
        begun = self.clock.now()
        last = relay.last if relay.started else None
        outcome = await self.sender.send(work, server, last_event=last)
        if isinstance(outcome, Answered):
            outcome = await self._pass_on(work, server, outcome, relay, begun)
        if isinstance(outcome, Lost) and outcome.is_broken:
            await self.guard.ends.broke(server)
        return outcome

    def _note_over(self, work: Work, server: BackendReport) -> None:
        """Hear that a request is no longer under way at a server."""
        self.guard.ends.over(server, work.request.attempt_id)
        if work.route.affinity:
            self.sender.silence.ended(server.instance, work.request.attempt_id)
            self.placements.ended(work)

    def _note_refused(self, work: Work, server: BackendReport, outcome: TryOutcome) -> None:
        if isinstance(outcome, NotRun) and outcome.reached:
            self.answers.log(
                work,
                Event.request_turned_away,
                backend=server.instance,
                status=outcome.status,
            )

    def _forget_replaced(self, server: BackendReport, outcome: TryOutcome) -> None:
        """Forget a server whose address another one has: a late report named it."""
        if isinstance(outcome, NotRun) and outcome.status == _MISDIRECTED:
            self.follower.view.remove(server.instance)

    def _note_lost(self, work: Work, server: BackendReport, outcome: TryOutcome) -> None:
        if isinstance(outcome, Lost) and outcome.cause is LossCause.connection:
            self.answers.log(
                work,
                Event.request_lost,
                backend=server.instance,
                content=work.content_id,
                detail=outcome.detail,
            )

    def _note_first(self, work: Work, stages: StageRun | None) -> None:
        """Hear that the first event has come: the server has its inputs.

        A content that ends servers does so as it begins; another suspect may be tried.
        """
        if stages is not None:
            stages.release()
        self.guard.conclude(work)
        if work.route.affinity:
            self.placements.began(work)

    async def _pass_on(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
        begun: float,
    ) -> TryOutcome:
        outcome: TryOutcome | None = None
        try:
            if is_stream(answered.head) and answered.head.status < _BAD_REQUEST:
                outcome = await self._pass_stream(work, server, answered, relay)
            else:
                outcome = await self._pass_whole(work, server, answered, relay, begun)
        finally:
            if isinstance(outcome, Answered):
                self.sender.pool.release(answered.channel)
            else:
                answered.channel.close()
        return outcome

    async def _pass_whole(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
        begun: float,
    ) -> TryOutcome:
        try:
            async with asyncio.timeout(max(0, work.deadline - self.clock.now())):
                body = await answered.channel.whole_body()
        except ChannelError as error:
            self._count_failure(work, server)
            return Lost(cause=LossCause.broken, detail=f'{server.address}: {error}')
        except asyncio.TimeoutError as error:
            self._count_failure(work, server)
            return Lost(cause=LossCause.not_whole, detail=f'{server.address}: {error}')
        status = answered.head.status
        if status >= _SERVER_ERROR:
            self._count_failure(work, server)
        else:
            now = self.clock.now()
            self.health.succeeded(server.instance, now)
            self.health.took(server.instance, now - begun)
        if relay.started or (status >= _SERVER_ERROR and self._has_another_chance(work)):
            return Lost(cause=LossCause.not_whole, detail=f'{server.address}: status {status}')
        await work.exchange.respond(status, client_headers(answered.head), body)
        self.answers.note(work, status, self.clock.now())
        return answered

    async def _pass_stream(
        self,
        work: Work,
        server: BackendReport,
        answered: Answered,
        relay: StreamRelay,
    ) -> TryOutcome:
        relay.on_chunk = lambda: self.sender.silence.heard(
            server.instance,
            work.request.attempt_id,
            self.clock.now(),
            event=True,
        )
        end = await relay.pass_on(answered)
        if end is StreamEnd.whole:
            self.health.succeeded(server.instance, self.clock.now())
            await work.exchange.finish()
            self.answers.note(work, answered.head.status, relay.first_at, relay.longest_gap)
            return answered
        self._count_failure(work, server)
        self.answers.log(
            work,
            Event.stream_broken,
            backend=server.instance,
            end=end.value,
            last=relay.last,
        )
        cause = _CAUSES[end]
        return Lost(cause=cause, detail=f'{server.address}: stream {end.value}')

    def _has_another_chance(self, work: Work) -> bool:
        """Return whether a failed request may be sent to another server."""
        if not work.tries.may_repeat:
            return False
        return self.plain.has_another(work)

    def _count_failure(self, work: Work, server: BackendReport) -> None:
        if self.health.failed(server.instance, self.clock.now()):
            self.answers.log(work, Event.server_ejected, backend=server.instance)

    async def _give_up(
        self,
        work: Work,
        outcome: TryOutcome | None,
        relay: StreamRelay,
    ) -> None:
        """Give the final answer at once."""
        detail = '' if outcome is None or isinstance(outcome, Answered) else outcome.detail
        if relay.started:
            self.answers.break_off(work, detail)
        elif isinstance(outcome, Quarantined) and not work.tries.lost:
            await self.answers.reject_content(work)
        elif work.tries.lost:
            late = self.clock.now() >= work.deadline
            await self.answers.fail(work, GATEWAY_TIMEOUT if late else BAD_GATEWAY, detail)
        else:
            await self._refuse(work, detail)

    async def _refuse(self, work: Work, detail: str) -> None:
        """Say that nothing has run, and when a server may take it."""
        left_s = max(0, work.deadline - self.clock.now())
        await self.answers.refuse(
            work.exchange,
            work.request,
            NO_TURN if work.turn_in_s else detail,
            come_back_s=max(COME_BACK_S, min(work.turn_in_s, left_s)),
            route=work.route.name,
        )
