"""One try of one stage: choose an agent, dispatch, take the reply."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.config import PRIORITIES
from ringseam.costs import FAILED, LATE, RETRIED, USEFUL, CostKey
from ringseam.errors import NotSentError, UnreachableError
from ringseam.events import Event
from ringseam.messages import (
    AgentState,
    Dispatch,
    DispatchReply,
    Frame,
    RefusalReason,
    StageDone,
    StageFailed,
    StageNotRun,
    StageReply,
    StageTimedOut,
    StageUnknown,
    StreamEnd,
    Ticket,
)
from ringseam.routing import Routable
from ringseam.services import DISPATCH, DISPATCH_STREAM

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.config import Stage
    from ringseam.entry.asks import Ask, StageInput
    from ringseam.entry.state import EntryState

logger = logging.getLogger(__name__)


class Dispatcher:
    """Send single tries to agents and keep the books on them."""

    def __init__(self, *, state: EntryState) -> None:
        """Use the shared state of the entry."""
        self.state = state

    def choose(self, ask: Ask, stage: Stage, avoid: frozenset[str]) -> AgentState | None:
        """Return the agent for a try, or None when there is none."""
        state = self.state
        current = state.holder.current
        pool = current.pool(stage.pool)
        if pool is None or not current.may_use(ask.pipeline.name.partition('/')[0], pool.name):
            return None
        now = state.node.clock.now()
        wanted = Routable(
            pool=stage.pool,
            zone=state.node.zone,
            est_ms=state.estimates.estimate_ms(stage, now),
            avoid=avoid,
        )
        agents = [
            agent
            for agent in state.view.of_pool(pool.name, stage.model)
            if agent.name not in pool.drain
        ]
        return state.router.choose(agents, wanted, now)

    async def dispatch(
        self,
        ask: Ask,
        stage: Stage,
        given: StageInput,
        agent: AgentState,
        generation: int,
        ticket: Ticket | None = None,
    ) -> StageReply:
        """Send one try to ``agent`` and return its reply."""
        state = self.state
        now = state.node.clock.now()
        left_s = ask.deadline - now
        dispatch = Dispatch(
            request_id=ask.request_id,
            account=ask.account.name,
            key=ask.key,
            pipeline=ask.pipeline.name,
            stage=stage.name,
            pool=stage.pool,
            path=stage.path,
            generation=generation,
            ticket=ticket or Ticket(incarnation=agent.incarnation, sequence=agent.sequence),
            time_left_ms=int(left_s * MS_PER_S),
            priority=PRIORITIES.index(ask.pipeline.priority),
            repeatable=stage.repeatable,
            content_type=given.content_type,
            body=given.body,
            model=stage.model,
            est_ms=state.estimates.estimate_ms(stage, now),
            reserve_ms=state.admission.needed_ms(
                ask.pipeline,
                ask.pipeline.stages.index(stage) + 1,
                now,
            ),
        )
        state.router.started(agent)
        on_text = _text_outlet(ask) if stage is ask.pipeline.stages[-1] else None
        reply = await self._call(agent, dispatch, left_s, on_text)
        self._account(ask, stage, agent, reply, now)
        return reply

    async def _exchange(
        self,
        agent: AgentState,
        dispatch: Dispatch,
        timeout_s: float,
        on_text: Callable[[str], None] | None,
    ) -> DispatchReply:
        """Send a dispatch and return the agent's word on it."""
        client = self.state.client
        if on_text is None:
            received = await client.call(agent.address, DISPATCH, dispatch, timeout_s=timeout_s)
            return received.body
        ends: list[DispatchReply] = []

        def take(frame: Frame) -> None:  # noqa: WPS430
            if isinstance(frame.part, StreamEnd):
                ends.append(frame.part.reply)
            else:
                on_text(frame.part.text)

        await client.call_frames(
            agent.address,
            DISPATCH_STREAM,
            dispatch,
            take,
            timeout_s=timeout_s,
        )
        if not ends:
            raise UnreachableError(f'{agent.address}: the stream had no end')
        return ends[0]

    async def _call(
        self,
        agent: AgentState,
        dispatch: Dispatch,
        left_s: float,
        on_text: Callable[[str], None] | None,
    ) -> StageReply:
        state = self.state
        began = state.node.clock.now()
        state.node.events.emit(
            logger,
            Event.stage_dispatched,
            request=dispatch.request_id,
            stage=dispatch.stage,
            generation=dispatch.generation,
            agent=agent.name,
        )
        try:
            answered = await self._exchange(agent, dispatch, max(left_s, 0.001), on_text)
        except NotSentError:
            return StageNotRun(reason=RefusalReason.unreachable)
        except UnreachableError as error:
            if dispatch.repeatable and state.node.clock.now() - began >= left_s:
                return StageTimedOut()
            if dispatch.repeatable:
                return StageFailed(detail=str(error))
            return StageUnknown(detail=str(error))
        reply: StageReply = answered.reply
        state.router.told(agent, answered.busy, state.node.clock.now())
        if answered.state is not None:
            state.view.take(answered.state, state.node.clock.now())
        if isinstance(reply, StageDone) and not _is_answer_to(reply, dispatch):
            state.node.events.emit(
                logger,
                Event.answer_dropped,
                request=dispatch.request_id,
                stage=dispatch.stage,
                got=reply.request_id,
            )
            state.metrics.add('answers_dropped_total')
            return StageUnknown(detail='an answer for another request')
        return reply

    def _account(
        self,
        ask: Ask,
        stage: Stage,
        agent: AgentState,
        reply: StageReply,
        began: float,
    ) -> None:
        state = self.state
        now = state.node.clock.now()
        spent_ms = (now - began) * MS_PER_S
        state.router.ended(agent, failed=_counts_as_failure(reply), now=now)
        state.metrics.record_ms('stage_duration', spent_ms, stage=stage.name)
        state.metrics.add('stage_replies_total', stage=stage.name, reply=type(reply).__name__)
        state.metrics.add('tries_total', pipeline=ask.pipeline.name)
        if isinstance(reply, StageDone):
            state.estimates.record(stage, reply.server_ms, now)
            state.retries.succeeded()
        server_ms = getattr(reply, 'server_ms', 0)
        if server_ms:
            state.costs.add(
                CostKey(ask.pipeline.name, stage.name, ask.account.name, _use_of(reply)),
                server_ms=server_ms,
                tokens=getattr(reply, 'tokens', 0),
            )
        state.node.events.emit(
            logger,
            Event.stage_answered,
            request=ask.request_id,
            stage=stage.name,
            agent=agent.name,
            reply=type(reply).__name__,
            spent_ms=round(spent_ms, 2),
        )


def _text_outlet(ask: Ask) -> Callable[[str], None] | None:
    """Return where the last stage's text goes, noting that it has gone."""
    on_text = ask.on_text
    if on_text is None:
        return None

    def take(text: str) -> None:  # noqa: WPS430
        ask.text_left = True
        on_text(text)

    return take


def _is_answer_to(reply: StageDone, dispatch: Dispatch) -> bool:
    if (reply.stage, reply.generation) != (dispatch.stage, dispatch.generation):
        return False
    # Non-repeatable work may have been executed for an earlier ask of its key.
    return reply.request_id == dispatch.request_id or not dispatch.repeatable


def _counts_as_failure(reply: StageReply) -> bool:
    if isinstance(reply, StageNotRun):
        return reply.reason in {RefusalReason.unreachable, RefusalReason.no_server}
    return isinstance(reply, (StageFailed, StageUnknown, StageTimedOut))


def _use_of(reply: StageReply) -> str:
    if isinstance(reply, StageDone):
        return USEFUL
    if isinstance(reply, StageFailed):
        return FAILED if reply.status else RETRIED
    return LATE
