"""Runs of pipelines: admission, stages in order, one final outcome."""

from __future__ import annotations

import hashlib
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ringseam.clock import MS_PER_S
from ringseam.entry.stages import Ask, StageInput, StageRunner, reply_of
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.ledger import (
    KeyExpired,
    KeyMismatch,
    OpenRun,
    RecordStage,
    RunOpened,
    StageRecord,
    StageStanding,
    StageState,
    kept_answer,
)
from ringseam.messages import (
    StageDone,
    StageFailed,
    StageNotRun,
    StageReply,
    StageRunning,
    StageTimedOut,
    StageUnknown,
)
from ringseam.outcomes import (
    Completed,
    Failed,
    InProgress,
    NotRun,
    Outcome,
    Rejected,
    TimedOut,
    Unknown,
    outcome_name,
    refused,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.config import Account, Pipeline, Stage
    from ringseam.entry.state import EntryState

logger = logging.getLogger(__name__)

_TOO_MANY = 429
_UNAVAILABLE = 503
_CONFLICT_KEY = 422
_DIGEST_BYTES = 16
_LEDGER_S = 2.0


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request after authentication."""

    request_id: str
    account: Account
    pipeline: Pipeline
    key: str
    timeout_ms: int
    content_type: str
    body: bytes
    received: float
    on_text: Callable[[str], None] | None = None


class PipelineRuns:
    """Run requests through their pipelines."""

    def __init__(self, *, state: EntryState) -> None:
        """Use the shared state of the entry."""
        self.state = state
        self.stages = StageRunner(state=state)
        self.in_flight = 0

    async def run(self, request: CallerRequest) -> Outcome:
        """Return the one final outcome of ``request``."""
        state = self.state
        state.node.events.emit(
            logger,
            Event.request_received,
            request=request.request_id,
            pipeline=request.pipeline.name,
            account=request.account.name,
        )
        self.in_flight += 1
        try:
            outcome = await self._admitted(request)
        finally:
            self.in_flight -= 1
        spent_ms = (state.node.clock.now() - request.received) * MS_PER_S
        name = outcome_name(outcome)
        state.metrics.add(
            'requests_total',
            pipeline=request.pipeline.name,
            account=request.account.name,
            outcome=name,
        )
        state.metrics.record_ms('request_duration', spent_ms, pipeline=request.pipeline.name)
        state.node.events.emit(
            logger,
            Event.request_answered,
            request=request.request_id,
            outcome=name,
            spent_ms=round(spent_ms, 2),
        )
        return outcome

    async def _admitted(self, request: CallerRequest) -> Outcome:
        state = self.state
        wait_s = state.limits.admit(request.account, state.node.clock.now())
        if wait_s:
            key = request.key if request.pipeline.needs_key else ''
            return refused('account limit', wait_s, key=key, status=_TOO_MANY)
        try:
            return await self._run(request)
        finally:
            state.limits.release(request.account)

    async def _run(self, request: CallerRequest) -> Outcome:
        now = self.state.node.clock.now()
        deadline = request.received + request.timeout_ms / MS_PER_S
        ask = Ask(
            request_id=request.request_id,
            account=request.account,
            key=request.key,
            pipeline=request.pipeline,
            deadline=deadline,
            on_text=request.on_text,
        )
        known: dict[str, StageRecord] = {}
        if request.pipeline.needs_key:
            opened = await self._open(request, ask)
            if not isinstance(opened, RunOpened):
                return opened
            known = opened.stages
        needed_ms = self.state.admission.needed_ms(request.pipeline, 0, now)
        # A run that is under way goes on: its earlier stages are paid for.
        if not known and (deadline - now) * MS_PER_S < needed_ms:
            return NotRun(
                reason='the deadline can not be met now',
                retry_after_s=needed_ms / MS_PER_S,
            )
        return await self._stages(request, ask, known)

    async def _open(self, request: CallerRequest, ask: Ask) -> RunOpened | Outcome:
        digest = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES)
        digest.update(request.content_type.encode())
        command = OpenRun(
            account=ask.account.name,
            key=ask.key,
            digest=digest.digest(),
            pipeline=ask.pipeline.name,
            now_ms=self.state.node.clock.wall_ms(),
            retention_ms=ask.pipeline.retention_ms,
        )
        left_s = ask.deadline - self.state.node.clock.now()
        try:
            opened = await self.stages.ledger(command, min(_LEDGER_S, left_s))
        except UnreachableError:
            return refused(
                'the ledger can not be reached',
                1,
                key=ask.key,
                status=_UNAVAILABLE,
            )
        if isinstance(opened, KeyMismatch):
            return Rejected(status=_CONFLICT_KEY, detail='the key stands for another request')
        if isinstance(opened, KeyExpired):
            return Rejected(status=_CONFLICT_KEY, detail='the key has expired; it is not rerun')
        return opened

    async def _stages(
        self,
        request: CallerRequest,
        ask: Ask,
        known: dict[str, StageRecord],
    ) -> Outcome:
        given = StageInput(content_type=request.content_type, body=request.body)
        ran = False
        last = ask.pipeline.stages[-1]
        for stage in ask.pipeline.stages:
            record = known.get(stage.name)
            if record is not None and record.state is StageState.completed:
                reply = reply_of(record, stage)
            else:
                reply = await self.stages.run(ask, stage, given)
                if isinstance(reply, StageDone) and self._keeps(ask, stage, last):
                    reply = await self._record(ask, stage, reply)
            if not isinstance(reply, StageDone):
                return _final(reply, stage, ran=ran)
            ran = True
            given = StageInput(content_type=reply.content_type, body=reply.body)
        return Completed(content_type=given.content_type, body=given.body)

    def _keeps(self, ask: Ask, stage: Stage, last: Stage) -> bool:
        """Return whether a repeatable stage's answer goes into the ledger.

        A stage that may not be repeated was concluded there already.
        """
        if not stage.repeatable or not ask.pipeline.needs_key:
            return False
        return ask.pipeline.recorded or stage is last

    async def _record(self, ask: Ask, stage: Stage, reply: StageDone) -> StageReply:
        """Keep an answer; when another ask was first, its answer stands."""
        command = RecordStage(
            account=ask.account.name,
            key=ask.key,
            stage=stage.name,
            answer=kept_answer(reply.content_type, reply.body),
        )
        try:
            standing: Any = await self.stages.ledger(command, _LEDGER_S)
        except UnreachableError:
            return StageFailed(detail='the answer could not be recorded')
        if not isinstance(standing, StageStanding):
            return StageFailed(detail='the key expired while it ran')
        if standing.record.answer == command.answer:
            return reply
        return reply_of(standing.record, stage)


def _final(reply: StageReply, stage: Stage, *, ran: bool) -> Outcome:
    """Return the outcome of a run that ended at ``stage`` without an answer."""
    if isinstance(reply, StageNotRun):
        retry_after_s = max(reply.retry_after_ms, 1) / MS_PER_S
        detail = f'{stage.name} was not run: {reply.reason.value}'
        if ran:
            return Failed(detail=detail, retry_after_s=retry_after_s)
        return NotRun(reason=detail, retry_after_s=retry_after_s)
    if isinstance(reply, StageRunning):
        return InProgress(retry_after_s=max(reply.retry_after_ms, 1) / MS_PER_S)
    if isinstance(reply, StageTimedOut):
        return TimedOut(detail=f'{stage.name} did not answer in time')
    if isinstance(reply, StageUnknown):
        return Unknown(detail=f'{stage.name}: {reply.detail}')
    return Failed(detail=f'{stage.name}: {reply.detail}')
