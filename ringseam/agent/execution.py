"""The execution table of one backend server: what may run here, now and once.

A plain class without threads, I/O or clock: dispatches and ``now`` go in,
decisions come out. One writer owns it, so a decision can't race.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, Union

import msgspec

from ringseam.messages import (
    RefusalReason,
    StageDone,
    StageNotRun,
    StageReply,
    StageRunning,
    StageUnknown,
)

if TYPE_CHECKING:
    from ringseam.messages import Dispatch, Ticket, Tombstone


class ExecutionKey(NamedTuple):
    """What runs at most once (non-repeatable) or once per try."""

    account: str
    scope: str
    stage: str


class ExecutionState(enum.Enum):
    """Where an execution stands."""

    queued = 'queued'
    running = 'running'
    ended = 'ended'
    not_run = 'not-run'


@dataclass(kw_only=True)
class Execution:
    """One row of the table."""

    key: ExecutionKey
    generation: int
    repeatable: bool
    state: ExecutionState
    touched: float
    reply: StageReply | None = None


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """The dispatch may be queued."""

    execution: Execution


@dataclass(frozen=True, kw_only=True)
class Attached:
    """An equal dispatch is under way; its reply serves both."""

    execution: Execution


@dataclass(frozen=True, kw_only=True)
class Answered:
    """The reply is known already; nothing is run."""

    reply: StageReply


Decision = Union[Admitted, Attached, Answered]


def execution_key(dispatch: Dispatch) -> ExecutionKey:
    """Return the key of a dispatch.

    Repeatable work is told apart by request, the rest by the caller's key.
    """
    scope = dispatch.request_id if dispatch.repeatable else dispatch.key
    return ExecutionKey(dispatch.account, scope, dispatch.stage)


def readdressed(reply: StageReply, generation: int) -> StageReply:
    """Return a known answer for a later ask of the same execution."""
    if isinstance(reply, StageDone):
        return msgspec.structs.replace(reply, generation=generation)
    return reply


@dataclass(kw_only=True)
class ExecutionTable:
    """Executions of one server incarnation, remembered for ``memory_s``.

    Tickets older than half of ``memory_s`` are refused, so that a row is
    never forgotten while a dispatch that it must refuse can still arrive.
    """

    incarnation: str
    memory_s: float
    rows: OrderedDict[ExecutionKey, Execution] = field(default_factory=OrderedDict)
    sequences: list[tuple[float, int]] = field(default_factory=list)
    oldest_sequence: int = 0

    def note_sequence(self, sequence: int, now: float) -> None:
        """Remember when ``sequence`` of the state reports was issued."""
        self.sequences.append((now, sequence))
        horizon = now - self.memory_s / 2
        while self.sequences and self.sequences[0][0] < horizon:
            self.oldest_sequence = self.sequences.pop(0)[1] + 1

    def offer(self, dispatch: Dispatch, now: float) -> Decision:
        """Decide on a dispatch as far as earlier executions bear on it."""
        refusal = self._ticket_refusal(dispatch.ticket)
        if refusal is not None:
            return Answered(reply=StageNotRun(reason=refusal))
        key = execution_key(dispatch)
        known = self.rows.get(key)
        if known is not None:
            decision = self._compare(known, dispatch)
            if decision is not None:
                return decision
        return Admitted(execution=self._admit(key, dispatch, now))

    def start(self, execution: Execution, now: float) -> bool:
        """Mark as running; False when it was forbidden while queued."""
        if execution.state is not ExecutionState.queued:
            return False
        if self.rows.get(execution.key) is not execution:
            return False
        execution.state = ExecutionState.running
        execution.touched = now
        return True

    def end(self, execution: Execution, reply: StageReply, now: float) -> None:
        """Record the reply of an execution before it is told to anybody."""
        if isinstance(reply, StageNotRun):
            execution.state = ExecutionState.not_run
        else:
            execution.state = ExecutionState.ended
        execution.reply = reply
        execution.touched = now
        if self.rows.get(execution.key) is execution:
            self.rows.move_to_end(execution.key)

    def tombstone(self, ask: Tombstone, now: float) -> StageReply:
        """Forbid what never started, or tell how it stands.

        Only non-repeatable work is tombstoned; its scope is the caller's key.
        """
        refusal = self._ticket_refusal(ask.ticket)
        if refusal is RefusalReason.incarnation:
            return StageNotRun(reason=refusal)
        key = ExecutionKey(ask.account, ask.key, ask.stage)
        known = self.rows.get(key)
        if known is None and refusal is not None:
            return StageUnknown(detail='the agent no longer remembers')
        if known is None or known.state is ExecutionState.not_run:
            return self._forbid(key, ask.generation, now)
        return self._standing(known, ask.generation)

    def forget(self, now: float) -> int:
        """Drop rows untouched for ``memory_s`` and return how many."""
        horizon = now - self.memory_s
        dropped = 0
        for key, execution in list(self.rows.items()):
            if execution.touched >= horizon:
                break
            if execution.state in {ExecutionState.ended, ExecutionState.not_run}:
                self.rows.pop(key)
                dropped += 1
        return dropped

    def _ticket_refusal(self, ticket: Ticket) -> RefusalReason | None:
        if ticket.incarnation != self.incarnation:
            return RefusalReason.incarnation
        if ticket.sequence < self.oldest_sequence:
            return RefusalReason.stale_ticket
        return None

    def _compare(self, known: Execution, dispatch: Dispatch) -> Decision | None:
        if known.generation > dispatch.generation:
            return Answered(reply=StageNotRun(reason=RefusalReason.old_generation))
        if known.generation == dispatch.generation:
            return self._same(known)
        if known.repeatable or known.state is ExecutionState.not_run:
            return None
        if known.reply is not None:
            return Answered(reply=readdressed(known.reply, dispatch.generation))
        return Answered(reply=StageRunning())

    def _same(self, known: Execution) -> Decision:
        if known.reply is not None:
            return Answered(reply=known.reply)
        return Attached(execution=known)

    def _admit(self, key: ExecutionKey, dispatch: Dispatch, now: float) -> Execution:
        execution = Execution(
            key=key,
            generation=dispatch.generation,
            repeatable=dispatch.repeatable,
            state=ExecutionState.queued,
            touched=now,
        )
        self.rows[key] = execution
        self.rows.move_to_end(key)
        return execution

    def _forbid(self, key: ExecutionKey, generation: int, now: float) -> StageReply:
        known = self.rows.get(key)
        if known is not None:
            generation = max(generation, known.generation)
        reply = StageNotRun(reason=RefusalReason.tombstoned)
        self.rows[key] = Execution(
            key=key,
            generation=generation,
            repeatable=False,
            state=ExecutionState.not_run,
            touched=now,
            reply=reply,
        )
        self.rows.move_to_end(key)
        return reply

    def _standing(self, known: Execution, generation: int) -> StageReply:
        if known.reply is None:
            return StageRunning()
        return readdressed(known.reply, generation)
