"""The actor that is the single writer for one backend server."""

from __future__ import annotations

import logging
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pykka

from ringseam.agent.adapters import Adapter, Call, Cancel
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
    Abandon,
    Concluded,
    Drain,
    GetServer,
    Offer,
    PrefixesKnown,
    Reconfigured,
    Tick,
)
from ringseam.agent.standing import (
    Announcement,
    ServerEstimates,
    ServerStanding,
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
from ringseam.util.actors import Ask, ReplyTo

if TYPE_CHECKING:
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class ServerActor(pykka.ThreadingActor):
    """Own the queue and the execution table of one backend server."""

    use_daemon_thread = True

    def __init__(
        self,
        *,
        node: Node,
        queue: str,
        shed: bool,
        threads: int,
        memory_s: float,
        stale_grace_s: float,
        announce_lost_s: float,
    ) -> None:
        """Begin without a server, a configuration or work."""
        super().__init__()
        self.node = node
        self.queue: StageQueue = StageQueue.kinds[queue]()
        self.shed = shed
        self.table = ExecutionTable(incarnation=node.incarnation, memory_s=memory_s)
        self.workers = ThreadPoolExecutor(threads, thread_name_prefix='execution')
        self.standing = ServerStanding(
            agent=node.name,
            stale_grace_s=stale_grace_s,
            announce_lost_s=announce_lost_s,
        )
        self.estimates = ServerEstimates(queue=self.queue)
        self.adapter: Adapter | None = None
        self.sequence = 0
        self.running: dict[ExecutionKey, tuple[Job, Cancel]] = {}
        self.waiters: dict[ExecutionKey, list[ReplyTo]] = defaultdict(list)
        self.idle: list[ReplyTo] = []
        self.prefixes: tuple[int, ...] = ()

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        reply_to = None
        body = message
        if isinstance(message, Ask):
            reply_to, body = message.reply_to, message.body
        _HANDLERS[type(body)](self, body, reply_to)

    def on_stop(self) -> None:
        """End the worker threads."""
        self.workers.shutdown(wait=False, cancel_futures=True)

    # -- messages -----------------------------------------------------------

    def offer(self, offer: Offer, reply_to: ReplyTo) -> None:
        """Decide on a dispatch and queue it when it may run."""
        dispatch = offer.dispatch
        decision = self.table.offer(dispatch, self.node.clock.now())
        if isinstance(decision, Answered):
            self._refused(dispatch, decision.reply)
            reply_to.send(self._word(decision.reply))
        elif isinstance(decision, Attached):
            self.waiters[decision.execution.key].append(reply_to)
        else:
            self._admit(offer, decision, reply_to)

    def abandon(self, abandon: Abandon, reply_to: ReplyTo | None) -> None:
        """Cancel repeatable work that nobody waits for."""
        key = execution_key(abandon.dispatch)
        execution = self.table.rows.get(key)
        if execution is None or not execution.repeatable:
            return
        if execution.generation != abandon.dispatch.generation:
            return
        out = self.running.get(key)
        if execution.state is ExecutionState.queued:
            self._end(execution, StageNotRun(reason=RefusalReason.cancelled))
        elif out is not None:
            self.node.events.emit(
                logger,
                Event.execution_cancelled,
                request=abandon.dispatch.request_id,
                stage=abandon.dispatch.stage,
            )
            out[1].cancel()

    def conclude(self, concluded: Concluded, reply_to: ReplyTo | None) -> None:
        """Record an execution's reply, tell it and start the next."""
        execution = concluded.job.execution
        self.running.pop(execution.key, None)
        self.estimates.learn(concluded.job.dispatch.stage, concluded.reply)
        self._end(execution, concluded.reply)
        self._pump()

    def tombstone(self, ask: Tombstone, reply_to: ReplyTo) -> None:
        """Forbid an execution or tell how it stands."""
        reply = self.table.tombstone(ask, self.node.clock.now())
        self.node.events.emit(
            logger,
            Event.tombstoned,
            stage=ask.stage,
            generation=ask.generation,
            standing=type(reply).__name__,
        )
        reply_to.send(reply)

    def reconfigure(self, message: Reconfigured, reply_to: ReplyTo | None) -> None:
        """Take a newer configuration."""
        self.standing.reconfigure(message.configuration, self.node.clock.now())

    def announce(self, announcement: Announcement, reply_to: ReplyTo | None) -> None:
        """Take in what the backend server says of itself."""
        known = self.standing.server
        self.standing.announced = self.node.clock.now()
        if known == announcement:
            return
        event = Event.server_left if announcement.leaving else Event.server_announced
        self.node.events.emit(logger, event, server=announcement.address, pool=announcement.pool)
        self.standing.server = announcement
        if known is None or known.address != announcement.address:
            if self.adapter is not None:
                self.adapter.close()
            self.adapter = Adapter.kinds[announcement.kind](
                address=announcement.address,
                connections=self.standing.capacity,
            )

    def tick(self, tick: Tick, reply_to: ReplyTo | None) -> None:
        """Forget old rows and return the state to report."""
        now = self.node.clock.now()
        self._count_sequence(now)
        self.table.forget(now)
        if reply_to is not None:
            reply_to.send(self.state(now))

    def drain(self, drain: Drain, reply_to: ReplyTo) -> None:
        """Take nothing new; reply once nothing is queued or running."""
        self.standing.draining = True
        self.idle.append(reply_to)
        self._tell_idle()

    def know_prefixes(self, known: PrefixesKnown, reply_to: ReplyTo | None) -> None:
        """Take in what the engine has cached."""
        self.prefixes = known.prefixes

    def tell_server(self, ask: GetServer, reply_to: ReplyTo) -> None:
        """Tell the backend server's latest announcement."""
        reply_to.send(self.standing.server)

    # -- state --------------------------------------------------------------

    def state(self, now: float) -> AgentState:
        """Return the state that goes into the directory."""
        server = self.standing.server
        return AgentState(
            name=self.node.name,
            address=self.node.address,
            zone=self.node.zone,
            region=self.node.region,
            incarnation=self.node.incarnation,
            sequence=self.sequence,
            pool=server.pool if server else '',
            models=server.models if server else (),
            in_flight=len(self.running),
            queued=self.queue.count,
            capacity=self.standing.capacity,
            waits_ms=tuple(self._wait_ms(priority) for priority in range(len(PRIORITIES))),
            service_ms=self.estimates.service_ms,
            prefixes=self.prefixes,
            draining=self.standing.is_leaving,
            serving=self.standing.is_serving(now),
            revision=self.node.revision,
            started_ms=self.node.started_ms,
        )

    def _wait_ms(self, priority: int, account: str = '') -> float:
        return self.estimates.wait_ms(
            priority,
            running=len(self.running),
            capacity=self.standing.capacity,
            account=account,
            weight=self.standing.weight(account),
        )

    # -- admission ----------------------------------------------------------

    def _admit(self, offer: Offer, admitted: Admitted, reply_to: ReplyTo) -> None:
        execution = admitted.execution
        now = self.node.clock.now()
        reason = self._refusal(offer, now)
        self.waiters[execution.key].append(reply_to)
        if reason is not None:
            refusal = self._not_run(reason)
            self._refused(offer.dispatch, refusal)
            self._end(execution, refusal)
            return
        self.queue.push(
            Job(
                execution=execution,
                dispatch=offer.dispatch,
                deadline=now + offer.dispatch.time_left_ms / MS_PER_S,
                offered=now,
                cost_ms=self.estimates.cost_ms(offer.dispatch),
                weight=self.standing.weight(offer.dispatch.account),
                on_text=offer.on_text,
            ),
        )
        self._pump()

    def _refusal(self, offer: Offer, now: float) -> RefusalReason | None:
        dispatch = offer.dispatch
        reason = self.standing.refusal(dispatch, offer.revision, now)
        pool = self.standing.pool
        if reason is not None or pool is None or not self.shed:
            return reason
        wait_ms = self._wait_ms(dispatch.priority, dispatch.account)
        return time_refusal(dispatch, pool, wait_ms, self.estimates.cost_ms(dispatch))

    def _not_run(self, reason: RefusalReason) -> StageNotRun:
        return StageNotRun(
            reason=reason,
            retry_after_ms=self.estimates.retry_after_ms(self.standing.capacity),
        )

    # -- execution ----------------------------------------------------------

    def _pump(self) -> None:
        while len(self.running) < self.standing.capacity:
            job = self.queue.pop()
            if job is None:
                break
            self._start(job)
        self._tell_idle()

    def _start(self, job: Job) -> None:
        now = self.node.clock.now()
        execution = job.execution
        left_ms = (job.deadline - now) * MS_PER_S
        # Refused now, it still has time to run on a faster server.
        dispatch = job.dispatch
        needed_ms = self.estimates.cost_ms(dispatch) + dispatch.reserve_ms if self.shed else 0
        if execution.state is not ExecutionState.queued:
            return
        pool = self.standing.pool
        if pool is None or self.adapter is None:
            self._end(execution, self._not_run(RefusalReason.no_server))
            return
        if left_ms <= needed_ms:
            self._end(execution, self._not_run(RefusalReason.deadline))
            return
        if not self.table.start(execution, now):
            return
        cancel = Cancel()
        self.running[execution.key] = (job, cancel)
        self.node.events.emit(
            logger,
            Event.execution_started,
            request=job.dispatch.request_id,
            stage=job.dispatch.stage,
            generation=execution.generation,
        )
        call = Call(
            dispatch=job.dispatch,
            pool=pool,
            budget_s=left_ms / MS_PER_S,
            cancel=cancel,
            on_text=job.on_text,
        )
        self.workers.submit(_carry_out, self.actor_ref, self.adapter, call, job)

    def _end(self, execution: Execution, reply: StageReply) -> None:
        self.table.end(execution, reply, self.node.clock.now())
        self.node.events.emit(
            logger,
            Event.execution_ended,
            request=execution.key.scope,
            stage=execution.key.stage,
            reply=type(reply).__name__,
        )
        waiters = self.waiters.pop(execution.key, ())
        if waiters:
            word = self._word(reply)
            for waiter in waiters:
                waiter.send(word)

    def _word(self, reply: StageReply) -> DispatchReply:
        """Return what the sender is told; its view is corrected on the way."""
        busy = len(self.running) + self.queue.count
        if not isinstance(reply, StageNotRun):
            return DispatchReply(reply=reply, busy=busy)
        now = self.node.clock.now()
        self._count_sequence(now)
        return DispatchReply(reply=reply, busy=busy, state=self.state(now))

    def _count_sequence(self, now: float) -> None:
        self.sequence += 1
        self.table.note_sequence(self.sequence, now)

    def _refused(self, dispatch: Dispatch, reply: StageReply) -> None:
        if isinstance(reply, StageNotRun):
            self.node.events.emit(
                logger,
                Event.execution_refused,
                request=dispatch.request_id,
                stage=dispatch.stage,
                reason=reply.reason.value,
            )

    def _tell_idle(self) -> None:
        if self.standing.draining and not self.running and not self.queue.count:
            for waiter in self.idle:
                waiter.send(True)
            self.idle.clear()


def _carry_out(actor: pykka.ActorRef[ServerActor], adapter: Adapter, call: Call, job: Job) -> None:
    """Execute on a worker thread and hand the reply to the actor."""
    try:
        reply = adapter.execute(call)
    except Exception as error:
        logger.exception('execution broke')
        reply = adapter.lost(call, str(error))
    actor.tell(Concluded(job=job, reply=reply))


_HANDLERS = {  # noqa: WPS407 - one per message type
    Offer: ServerActor.offer,
    Abandon: ServerActor.abandon,
    Concluded: ServerActor.conclude,
    Tombstone: ServerActor.tombstone,
    Reconfigured: ServerActor.reconfigure,
    Announcement: ServerActor.announce,
    Tick: ServerActor.tick,
    PrefixesKnown: ServerActor.know_prefixes,
    GetServer: ServerActor.tell_server,
    Drain: ServerActor.drain,
}
