"""One stage of one request: choose an agent, claim, dispatch, try again."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ringseam.clock import MS_PER_S
from ringseam.config import PRIORITIES, Account, Pipeline, Stage
from ringseam.costs import FAILED, LATE, RETRIED, USEFUL, CostKey
from ringseam.errors import NotSentError, UnreachableError
from ringseam.events import Event
from ringseam.ledger import (
    ClaimStage,
    ConcludeStage,
    KeyExpired,
    LedgerCommand,
    StageRecord,
    StageStanding,
    StageState,
    kept_answer,
)
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
    StageRunning,
    StageTimedOut,
    StageUnknown,
    StreamEnd,
    Ticket,
    Tombstone,
)
from ringseam.routing import Routable
from ringseam.services import COMMAND, DISPATCH, DISPATCH_STREAM, TOMBSTONE, CommandRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.entry.state import EntryState

logger = logging.getLogger(__name__)

_SETTLE_S = 2.0
_TOMBSTONE_S = 1.0
_TOMBSTONE_TRIES = 3
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


@dataclass(kw_only=True)
class Ask:
    """One caller's request as its stages see it."""

    request_id: str
    account: Account
    key: str
    pipeline: Pipeline
    deadline: float
    prefix: str = ''
    #: Hears the text of the last stage while it is generated.
    on_text: Callable[[str], None] | None = None
    #: Whether text has gone to the caller: then no other try may add to it.
    text_left: bool = False


@dataclass(frozen=True, kw_only=True)
class StageInput:
    """What a stage is given."""

    content_type: str
    body: bytes


@dataclass(kw_only=True)
class Tries:
    """The tries of one stage: incarnations tried and the last reply."""

    avoid: list[str] = field(default_factory=list)
    reply: StageReply = StageNotRun(  # noqa: RUF009 - frozen
        reason=RefusalReason.no_server,
        retry_after_ms=MS_PER_S,
    )
    ran: bool = False

    def note(self, reply: StageReply) -> None:
        """Take in the reply of a try that is not the last word."""
        self.reply = reply
        self.ran = self.ran or not isinstance(reply, StageNotRun)

    def final(self) -> StageReply:
        """Return the reply of a stage that has no further try."""
        if self.ran and isinstance(self.reply, StageNotRun):
            return StageFailed(detail=f'lost, then not run again: {self.reply.reason.value}')
        return self.reply


class StageRunner:
    """Run single stages for an entry."""

    def __init__(self, *, state: EntryState) -> None:
        """Use the shared state of the entry."""
        self.state = state

    async def run(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        """Run ``stage`` to a final reply."""
        if stage.repeatable:
            return await self._run_repeatable(ask, stage, given)
        return await self._run_claimed(ask, stage, given)

    async def ledger(self, command: LedgerCommand, timeout_s: float) -> Any:
        """Commit a ledger command.

        :raises UnreachableError: when the control group doesn't answer.
        """
        return await self.state.control.ask_leader(
            COMMAND,
            CommandRequest(command=command),
            timeout_s=timeout_s,
        )

    # -- repeatable work ----------------------------------------------------

    async def _run_repeatable(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        tries = Tries()
        agent = self._next_agent(ask, stage, tries)
        while agent is not None:
            reply = await self._dispatch(ask, stage, given, agent, len(tries.avoid))
            if isinstance(reply, (StageDone, StageTimedOut)) or ask.text_left:
                return reply
            tries.note(reply)
            agent = self._next_agent(ask, stage, tries)
        return tries.final()

    def _next_agent(self, ask: Ask, stage: Stage, tries: Tries) -> AgentState | None:
        """Return the agent of the next try, or None when there is none."""
        tried = len(tries.avoid)
        if tried and (tried >= stage.max_tries or not self._may_retry(ask, stage, tries.reply)):
            return None
        agent = self._choose(ask, stage, frozenset(tries.avoid))
        if agent is not None:
            tries.avoid.append(agent.incarnation)
        return agent

    def _may_retry(self, ask: Ask, stage: Stage, reply: StageReply) -> bool:
        state = self.state
        if isinstance(reply, StageNotRun) and reply.reason in _FREE_REASONS:
            return self._left_s(ask) > 0
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

    # -- work that may not be repeated --------------------------------------

    async def _run_claimed(self, ask: Ask, stage: Stage, given: StageInput) -> StageReply:
        tries = Tries()
        agent = self._next_agent(ask, stage, tries)
        while agent is not None:
            reply = await self._claim_and_dispatch(ask, stage, given, agent)
            if not isinstance(reply, StageNotRun):
                return reply
            tries.note(reply)
            agent = self._next_agent(ask, stage, tries)
        return tries.final()

    async def _claim_and_dispatch(
        self,
        ask: Ask,
        stage: Stage,
        given: StageInput,
        agent: AgentState,
    ) -> StageReply:
        # The ticket is fixed before the claim: should this process freeze in
        # between, the agent refuses the dispatch when it comes at last.
        ticket = Ticket(incarnation=agent.incarnation, sequence=agent.sequence)
        try:
            standing = await self._claim(ask, stage, agent, ticket)
        except UnreachableError:
            # The claim may stand; whoever asks next settles it at the agent.
            return StageUnknown(detail='the ledger can not be reached')
        if isinstance(standing, KeyExpired):
            return StageNotRun(reason=RefusalReason.deadline)
        record: StageRecord = standing.record
        if not standing.granted:
            return await self._settle_held(ask, stage, record)
        reply = await self._dispatch(ask, stage, given, agent, record.generation, ticket)
        if isinstance(reply, StageUnknown) and not reply.server_ms:
            reply = await self._tombstone(ask, stage, record)
        return await self._conclude(ask, stage, record, reply)

    async def _claim(
        self,
        ask: Ask,
        stage: Stage,
        agent: AgentState,
        ticket: Ticket,
    ) -> StageStanding | KeyExpired:
        standing = await self.ledger(
            ClaimStage(
                account=ask.account.name,
                key=ask.key,
                stage=stage.name,
                request_id=ask.request_id,
                agent=agent.address,
                incarnation=ticket.incarnation,
                sequence=ticket.sequence,
            ),
            self._left_s(ask),
        )
        if isinstance(standing, StageStanding):
            self.state.node.events.emit(
                logger,
                Event.claim_granted if standing.granted else Event.claim_refused,
                request=ask.request_id,
                stage=stage.name,
                generation=standing.record.generation,
            )
        return standing

    async def _settle_held(self, ask: Ask, stage: Stage, record: StageRecord) -> StageReply:
        """Answer from a claim that another ask holds, settling it if need be."""
        if record.state is not StageState.claimed:
            return reply_of(record, stage)
        reply = await self._tombstone(ask, stage, record)
        return await self._conclude(ask, stage, record, reply)

    async def _tombstone(self, ask: Ask, stage: Stage, record: StageRecord) -> StageReply:
        """Ask the claimed agent how the execution stands, forbidding a new one."""
        tombstone = Tombstone(
            account=ask.account.name,
            key=ask.key,
            stage=stage.name,
            generation=record.generation,
            ticket=Ticket(incarnation=record.incarnation, sequence=record.sequence),
        )
        for _ in range(_TOMBSTONE_TRIES):
            try:
                received = await self.state.client.call(
                    record.agent,
                    TOMBSTONE,
                    tombstone,
                    timeout_s=min(_TOMBSTONE_S, max(0.1, self._left_s(ask))),
                )
            except UnreachableError:
                continue
            reply = received.body.reply
            if isinstance(reply, StageNotRun) and reply.reason is RefusalReason.incarnation:
                return StageUnknown(detail='the agent was restarted', server_ms=1)
            return reply
        return StageUnknown(detail='the agent can not be reached')

    async def _conclude(
        self,
        ask: Ask,
        stage: Stage,
        record: StageRecord,
        reply: StageReply,
    ) -> StageReply:
        """Make the reply last in the ledger before anybody is told."""
        command = _conclusion(ask, stage, record, reply)
        if command is None:
            return reply
        try:
            standing = await self.ledger(command, _SETTLE_S)
        except UnreachableError:
            if isinstance(reply, StageDone):
                return reply
            return StageUnknown(detail='the ledger can not be reached')
        if not isinstance(standing, StageStanding):
            return reply
        if standing.record.generation != record.generation:
            # A later ask holds the key by now.
            return StageRunning(retry_after_ms=MS_PER_S)
        if isinstance(reply, StageDone) and standing.record.state is StageState.completed:
            return reply
        return reply_of(standing.record, stage)

    # -- one try ------------------------------------------------------------

    async def _dispatch(
        self,
        ask: Ask,
        stage: Stage,
        given: StageInput,
        agent: AgentState,
        generation: int,
        ticket: Ticket | None = None,
    ) -> StageReply:
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
            prefix=ask.prefix,
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

    def _choose(self, ask: Ask, stage: Stage, avoid: frozenset[str]) -> AgentState | None:
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
            prefix=ask.prefix,
            avoid=avoid,
        )
        agents = [
            agent
            for agent in state.view.of_pool(pool.name, stage.model)
            if agent.name not in pool.drain
        ]
        return state.router.choose(agents, wanted, now)

    def _left_s(self, ask: Ask) -> float:
        return ask.deadline - self.state.node.clock.now()


def _text_outlet(ask: Ask) -> Callable[[str], None] | None:
    """Return where the last stage's text goes, noting that it has gone."""
    on_text = ask.on_text
    if on_text is None:
        return None

    def take(text: str) -> None:  # noqa: WPS430
        ask.text_left = True
        on_text(text)

    return take


def reply_of(record: StageRecord, stage: Stage) -> StageReply:
    """Return the reply that a settled record stands for."""
    if record.state is StageState.completed and record.answer is not None:
        if not record.answer.kept:
            return StageUnknown(detail='it ran; its answer was too large to keep', server_ms=1)
        return StageDone(
            request_id=record.request_id,
            stage=stage.name,
            generation=record.generation,
            content_type=record.answer.content_type,
            body=record.answer.body,
        )
    if record.state is StageState.failed:
        return StageFailed(detail=record.detail)
    if record.state is StageState.not_run:
        return StageNotRun(reason=RefusalReason.tombstoned)
    if record.state is StageState.claimed:
        return StageRunning(retry_after_ms=MS_PER_S)
    return StageUnknown(detail=record.detail or 'it may have run', server_ms=1)


def _conclusion(
    ask: Ask,
    stage: Stage,
    record: StageRecord,
    reply: StageReply,
) -> ConcludeStage | None:
    """Return the command that settles a claim, or None to leave it open."""
    answer = None
    detail = ''
    if isinstance(reply, StageDone):
        settled = StageState.completed
        answer = kept_answer(reply.content_type, reply.body)
    elif isinstance(reply, StageFailed):
        settled, detail = StageState.failed, reply.detail
    elif isinstance(reply, StageNotRun):
        settled = StageState.not_run
    elif isinstance(reply, StageUnknown) and reply.server_ms:
        settled, detail = StageState.unknown, reply.detail
    else:
        # Running, or the agent can't be reached: it may be learned later.
        return None
    return ConcludeStage(
        account=ask.account.name,
        key=ask.key,
        stage=stage.name,
        generation=record.generation,
        state=settled,
        answer=answer,
        detail=detail,
    )


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
