"""Work that may not be repeated: claim, dispatch, settle, conclude."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
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
    RefusalReason,
    StageDone,
    StageFailed,
    StageNotRun,
    StageReply,
    StageRunning,
    StageUnknown,
    Ticket,
    Tombstone,
)
from ringseam.services import COMMAND, TOMBSTONE, CommandRequest

if TYPE_CHECKING:
    from ringseam.config import Stage
    from ringseam.entry.asks import Ask, StageInput
    from ringseam.entry.dispatcher import Dispatcher
    from ringseam.entry.state import EntryState

logger = logging.getLogger(__name__)

_SETTLE_S = 2.0
_TOMBSTONE_S = 1.0
_TOMBSTONE_TRIES = 3


class Claims:
    """Execute a stage at most once under a key, whoever asks."""

    def __init__(self, *, state: EntryState, dispatcher: Dispatcher) -> None:
        """Use the shared state of the entry."""
        self.state = state
        self.dispatcher = dispatcher

    async def ledger(self, command: LedgerCommand, timeout_s: float) -> Any:
        """Commit a ledger command.

        :raises UnreachableError: when the control group doesn't answer.
        """
        return await self.state.control.ask_leader(
            COMMAND,
            CommandRequest(command=command),
            timeout_s=timeout_s,
        )

    async def run(
        self,
        ask: Ask,
        stage: Stage,
        given: StageInput,
        agent: AgentState,
    ) -> StageReply:
        """Claim the stage for ``agent``, dispatch it and conclude the claim."""
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
        reply = await self.dispatcher.dispatch(ask, stage, given, agent, record.generation, ticket)
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
            ask.left_s(self.state.node.clock.now()),
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
                    timeout_s=min(_TOMBSTONE_S, max(0.1, ask.left_s(self.state.node.clock.now()))),
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
