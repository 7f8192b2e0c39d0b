"""One stage of one request: try after try, until a final reply."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.entry.asks import Tries
from ringseam.entry.claims import Claims
from ringseam.entry.dispatcher import Dispatcher
from ringseam.events import Event
from ringseam.messages import (
    AgentState,
    RefusalReason,
    StageDone,
    StageNotRun,
    StageReply,
    StageTimedOut,
)

if TYPE_CHECKING:
    from ringseam.config import Stage
    from ringseam.entry.asks import Ask, StageInput
    from ringseam.entry.state import EntryState

logger = logging.getLogger(__name__)

#: Refusals that cost no server any time and correct the view: trying the next
#: agent after one of them adds no load, so it takes nothing from the budget.
_FREE_REASONS = frozenset(
    (
        RefusalReason.draining,
        RefusalReason.no_server,
        RefusalReason.incarnation,
        RefusalReason.stale_ticket,
        RefusalReason.unreachable,
    ),
)


class StageRunner:
    """Run single stages for an entry."""

    def __init__(self, *, state: EntryState) -> None:
        """Use the shared state of the entry."""
        self.state = state
        self.dispatcher = Dispatcher(state=state)
        self.claims = Claims(state=state, dispatcher=self.dispatcher)

    async def run(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        """Run ``stage`` to a final reply."""
        if stage.repeatable:
            return await self._run_repeatable(ask, stage, given)
        return await self._run_claimed(ask, stage, given)

    async def _run_repeatable(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        tries = Tries()
        agent = self._next_agent(ask, stage, tries)
        while agent is not None:
            reply = await self.dispatcher.dispatch(ask, stage, given, agent, len(tries.avoid))
            if isinstance(reply, (StageDone, StageTimedOut)) or ask.text_left:
                return reply
            tries.note(reply)
            agent = self._next_agent(ask, stage, tries)
        return tries.final()

    async def _run_claimed(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        tries = Tries()
        agent = self._next_agent(ask, stage, tries)
        while agent is not None:
            reply = await self.claims.run(ask, stage, given, agent)
            if not isinstance(reply, StageNotRun):
                return reply
            tries.note(reply)
            agent = self._next_agent(ask, stage, tries)
        return tries.final()

    def _next_agent(self, ask: Ask, stage: Stage, tries: Tries) -> AgentState | None:
        """Return the agent of the next try, or None when there is none."""
        tried = len(tries.avoid)
        if tried and (tried >= stage.max_tries or not self._may_retry(ask, stage, tries.reply)):
            return None
        agent = self.dispatcher.choose(ask, stage, frozenset(tries.avoid))
        if agent is not None:
            tries.avoid.append(agent.incarnation)
        return agent

    def _may_retry(self, ask: Ask, stage: Stage, reply: StageReply) -> bool:
        state = self.state
        if isinstance(reply, StageNotRun) and reply.reason in _FREE_REASONS:
            return ask.left_s(self.state.node.clock.now()) > 0
        now = state.node.clock.now()
        allowed = state.retries.may_retry(
            left_ms=(ask.deadline - now) * MS_PER_S,
            est_ms=state.estimates.estimate_ms(stage, now),
        )
        if allowed:
            state.node.events.emit(
                logger,
                Event.stage_retried,
                request=ask.request_id,
                stage=stage.name,
                after=type(reply).__name__,
            )
            state.metrics.add('retries_total', stage=stage.name)
        return allowed
