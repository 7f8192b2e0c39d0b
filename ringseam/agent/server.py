"""The actor that owns the queue and the executions of one backend server."""

from __future__ import annotations

import logging
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pykka

from ringseam.agent.adapters import Adapter, BackendCall, Cancellation
from ringseam.agent.execution import (
    Admitted,
    Answered,
    Attached,
    Execution,
    ExecutionKey,
    ExecutionState,
    ExecutionTable,
    execution_key,
)
from ringseam.agent.queue import Job, StageQueue
from ringseam.agent.servermessages import (
    CancelDispatch,
    ConfigurationChanged,
    Drain,
    ExecutionFinished,
    GetAnnouncement,
    PrefixesUpdated,
    SubmitDispatch,
    Tick,
)
from ringseam.agent.serverstatus import (
    Announcement,
    ServerEstimates,
    ServerStatus,
    time_refusal,
)
from ringseam.clock import MS_PER_S
from ringseam.config import PRIORITIES
from ringseam.events import Event
from ringseam.messages import (
    AgentState,
    Dispatch,
    DispatchReply,
    RefusalReason,
    StageNotRun,
    StageReply,
    Tombstone,
)
from ringseam.util.actors import ActorRequest, ReplyTo

if TYPE_CHECKING:
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class ServerActor(pykka.ThreadingActor):
    """Owns the queue and the execution table of one backend server.

    All changes pass through its inbox, so they need no locks.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        node: Node,
        queue: str,
        shed: bool,
        threads: int,
        retention_s: float,
        stale_grace_s: float,
        announce_lost_s: float,
    ) -> None:
        """Create the actor without an announced server, a configuration or work."""
        super().__init__()
        self.node = node
        self.queue: StageQueue = StageQueue.kinds[queue]()
        self.shed = shed
        self.table = ExecutionTable(incarnation=node.incarnation, retention_s=retention_s)
        self.workers = ThreadPoolExecutor(threads, thread_name_prefix='execution')
        self.status = ServerStatus(
            agent=node.name,
            stale_grace_s=stale_grace_s,
            announce_lost_s=announce_lost_s,
        )
        self.estimates = ServerEstimates(queue=self.queue)
        self.adapter: Adapter | None = None
        self.sequence = 0
        self.running: dict[ExecutionKey, tuple[Job, Cancellation]] = {}
        self.waiters: dict[ExecutionKey, list[ReplyTo]] = defaultdict(list)
        self.idle_waiters: list[ReplyTo] = []
        self.prefixes: tuple[int, ...] = ()

    def on_receive(self, message: Any) -> None:
        """Pass the message to its handler."""
        reply_to = None
        body = message
        if isinstance(message, ActorRequest):
            reply_to, body = message.reply_to, message.body
        _HANDLERS[type(body)](self, body, reply_to)

    def on_stop(self) -> None:
        """Shut down the worker threads without waiting for them."""
        self.workers.shutdown(wait=False, cancel_futures=True)

    # -- messages -----------------------------------------------------------

    def submit(self, message: SubmitDispatch, reply_to: ReplyTo) -> None:
        """Decide on a dispatch and queue it if it is admitted."""
        dispatch = message.dispatch
        decision = self.table.decide(dispatch, self.node.clock.now())
        if isinstance(decision, Answered):
            self._log_refusal(dispatch, decision.reply)
            reply_to.send(self._dispatch_reply(decision.reply))
        elif isinstance(decision, Attached):
            self.waiters[decision.execution.key].append(reply_to)
        else:
            self._admit(message, decision, reply_to)

    def cancel(self, message: CancelDispatch, reply_to: ReplyTo | None) -> None:
        """Cancel a repeatable execution that no caller waits for."""
        key = execution_key(message.dispatch)
        execution = self.table.executions.get(key)
        if execution is None or not execution.repeatable:
            return
        if execution.generation != message.dispatch.generation:
            return
        running_call = self.running.get(key)
        if execution.state is ExecutionState.queued:
            self._finish(execution, StageNotRun(reason=RefusalReason.cancelled))
        elif running_call is not None:
            self.node.events.emit(
                logger,
                Event.execution_cancelled,
                request=message.dispatch.request_id,
                stage=message.dispatch.stage,
            )
            running_call[1].cancel()

    def complete(self, message: ExecutionFinished, reply_to: ReplyTo | None) -> None:
        """Record and send the reply of an execution, then start queued jobs."""
        execution = message.job.execution
        self.running.pop(execution.key, None)
        self.estimates.record(message.job.dispatch.stage, message.reply)
        self._finish(execution, message.reply)
        self._start_queued()

    def tombstone(self, message: Tombstone, reply_to: ReplyTo) -> None:
        """Forbid an execution that is neither queued nor has run, else return its progress."""
        reply = self.table.tombstone(message, self.node.clock.now())
        self.node.events.emit(
            logger,
            Event.tombstoned,
            stage=message.stage,
            generation=message.generation,
            standing=type(reply).__name__,
        )
        reply_to.send(reply)

    def reconfigure(self, message: ConfigurationChanged, reply_to: ReplyTo | None) -> None:
        """Apply a newer configuration."""
        self.status.reconfigure(message.configuration, self.node.clock.now())

    def announce(self, announcement: Announcement, reply_to: ReplyTo | None) -> None:
        """Apply an announcement; create a new adapter if the address changed."""
        previous = self.status.announcement
        self.status.announced_at = self.node.clock.now()
        if previous == announcement:
            return
        event = Event.server_left if announcement.leaving else Event.server_announced
        self.node.events.emit(logger, event, server=announcement.address, pool=announcement.pool)
        self.status.announcement = announcement
        if previous is None or previous.address != announcement.address:
            if self.adapter is not None:
                self.adapter.close()
            self.adapter = Adapter.kinds[announcement.kind](
                address=announcement.address,
                connections=self.status.capacity,
            )

    def tick(self, message: Tick, reply_to: ReplyTo | None) -> None:
        """Drop expired executions and reply with the state to report."""
        now = self.node.clock.now()
        self._advance_sequence(now)
        self.table.expire(now)
        if reply_to is not None:
            reply_to.send(self.state(now))

    def drain(self, message: Drain, reply_to: ReplyTo) -> None:
        """Refuse new work; reply once nothing is queued or running."""
        self.status.agent_draining = True
        self.idle_waiters.append(reply_to)
        self._notify_idle()

    def update_prefixes(self, message: PrefixesUpdated, reply_to: ReplyTo | None) -> None:
        """Replace the list of prefixes that the engine has cached."""
        self.prefixes = message.prefixes

    def reply_announcement(self, message: GetAnnouncement, reply_to: ReplyTo) -> None:
        """Reply with the latest announcement of the backend server, or None."""
        reply_to.send(self.status.announcement)

    # -- state --------------------------------------------------------------

    def state(self, now: float) -> AgentState:
        """Return the state that is published in the directory."""
        announcement = self.status.announcement
        return AgentState(
            name=self.node.name,
            address=self.node.address,
            zone=self.node.zone,
            region=self.node.region,
            incarnation=self.node.incarnation,
            sequence=self.sequence,
            pool=announcement.pool if announcement else '',
            models=announcement.models if announcement else (),
            in_flight=len(self.running),
            queued=self.queue.count,
            capacity=self.status.capacity,
            waits_ms=tuple(self._wait_ms(priority) for priority in range(len(PRIORITIES))),
            service_ms=self.estimates.service_ms,
            prefixes=self.prefixes,
            draining=self.status.is_draining,
            serving=self.status.is_serving(now),
            revision=self.node.revision,
            started_ms=self.node.started_ms,
        )

    def _wait_ms(self, priority: int, account: str = '') -> float:
        return self.estimates.wait_ms(
            priority,
            running=len(self.running),
            capacity=self.status.capacity,
            account=account,
            weight=self.status.weight(account),
        )

    # -- admission ----------------------------------------------------------

    def _admit(self, message: SubmitDispatch, admitted: Admitted, reply_to: ReplyTo) -> None:
        execution = admitted.execution
        now = self.node.clock.now()
        reason = self._refusal_reason(message, now)
        self.waiters[execution.key].append(reply_to)
        if reason is not None:
            refusal = self._not_run(reason)
            self._log_refusal(message.dispatch, refusal)
            self._finish(execution, refusal)
            return
        self.queue.push(
            Job(
                execution=execution,
                dispatch=message.dispatch,
                deadline=now + message.dispatch.time_left_ms / MS_PER_S,
                queued_at=now,
                cost_ms=self.estimates.cost_ms(message.dispatch),
                weight=self.status.weight(message.dispatch.account),
                on_text=message.on_text,
            ),
        )
        self._start_queued()

    def _refusal_reason(self, message: SubmitDispatch, now: float) -> RefusalReason | None:
        dispatch = message.dispatch
        reason = self.status.refusal_reason(dispatch, message.revision, now)
        pool = self.status.pool
        if reason is not None or pool is None or not self.shed:
            return reason
        wait_ms = self._wait_ms(dispatch.priority, dispatch.account)
        return time_refusal(dispatch, pool, wait_ms, self.estimates.cost_ms(dispatch))

    def _not_run(self, reason: RefusalReason) -> StageNotRun:
        return StageNotRun(
            reason=reason,
            retry_after_ms=self.estimates.retry_after_ms(self.status.capacity),
        )

    # -- execution ----------------------------------------------------------

    def _start_queued(self) -> None:
        while len(self.running) < self.status.capacity:
            job = self.queue.pop()
            if job is None:
                break
            self._start_job(job)
        self._notify_idle()

    def _start_job(self, job: Job) -> None:
        now = self.node.clock.now()
        execution = job.execution
        remaining_ms = (job.deadline - now) * MS_PER_S
        # A refusal at this point leaves enough time to run on a faster server.
        dispatch = job.dispatch
        needed_ms = self.estimates.cost_ms(dispatch) + dispatch.reserve_ms if self.shed else 0
        if execution.state is not ExecutionState.queued:
            return
        pool = self.status.pool
        if pool is None or self.adapter is None:
            self._finish(execution, self._not_run(RefusalReason.no_server))
            return
        if remaining_ms <= needed_ms:
            self._finish(execution, self._not_run(RefusalReason.deadline))
            return
        if not self.table.start(execution, now):
            return
        cancellation = Cancellation()
        self.running[execution.key] = (job, cancellation)
        self.node.events.emit(
            logger,
            Event.execution_started,
            request=job.dispatch.request_id,
            stage=job.dispatch.stage,
            generation=execution.generation,
        )
        call = BackendCall(
            dispatch=job.dispatch,
            pool=pool,
            timeout_s=remaining_ms / MS_PER_S,
            cancellation=cancellation,
            on_text=job.on_text,
        )
        self.workers.submit(_run_call, self.actor_ref, self.adapter, call, job)

    def _finish(self, execution: Execution, reply: StageReply) -> None:
        self.table.finish(execution, reply, self.node.clock.now())
        self.node.events.emit(
            logger,
            Event.execution_ended,
            request=execution.key.scope,
            stage=execution.key.stage,
            reply=type(reply).__name__,
        )
        waiters = self.waiters.pop(execution.key, ())
        if waiters:
            dispatch_reply = self._dispatch_reply(reply)
            for waiter in waiters:
                waiter.send(dispatch_reply)

    def _dispatch_reply(self, reply: StageReply) -> DispatchReply:
        """Return the reply to the sender; a refusal includes the state to update its view."""
        busy = len(self.running) + self.queue.count
        if not isinstance(reply, StageNotRun):
            return DispatchReply(reply=reply, busy=busy)
        now = self.node.clock.now()
        self._advance_sequence(now)
        return DispatchReply(reply=reply, busy=busy, state=self.state(now))

    def _advance_sequence(self, now: float) -> None:
        self.sequence += 1
        self.table.record_sequence(self.sequence, now)

    def _log_refusal(self, dispatch: Dispatch, reply: StageReply) -> None:
        if isinstance(reply, StageNotRun):
            self.node.events.emit(
                logger,
                Event.execution_refused,
                request=dispatch.request_id,
                stage=dispatch.stage,
                reason=reply.reason.value,
            )

    def _notify_idle(self) -> None:
        if self.status.agent_draining and not self.running and not self.queue.count:
            for waiter in self.idle_waiters:
                waiter.send(True)
            self.idle_waiters.clear()


def _run_call(
    actor: pykka.ActorRef[ServerActor], adapter: Adapter, call: BackendCall, job: Job
) -> None:
    """Execute the call on a worker thread and send the reply to the actor."""
    try:
        reply = adapter.execute(call)
    except Exception as error:
        logger.exception('unexpected error during an execution')
        reply = adapter.failure_reply(call, str(error))
    actor.tell(ExecutionFinished(job=job, reply=reply))


_HANDLERS = {  # noqa: WPS407 - one per message type
    SubmitDispatch: ServerActor.submit,
    CancelDispatch: ServerActor.cancel,
    ExecutionFinished: ServerActor.complete,
    Tombstone: ServerActor.tombstone,
    ConfigurationChanged: ServerActor.reconfigure,
    Announcement: ServerActor.announce,
    Tick: ServerActor.tick,
    PrefixesUpdated: ServerActor.update_prefixes,
    GetAnnouncement: ServerActor.reply_announcement,
    Drain: ServerActor.drain,
}
