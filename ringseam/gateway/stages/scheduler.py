"""Schedule the pieces of services whose batches are formed at this gateway."""

from __future__ import annotations

import asyncio
import collections
import logging
import math
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.gateway.featureswitch import FeatureSwitch
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.reservations.book import StageKey
from ringseam.gateway.stages.batching import FULL_BACKOFF_S, Batcher
from ringseam.gateway.stages.calllog import CallLog
from ringseam.gateway.stages.calls import FullError
from ringseam.gateway.stages.capacity import UNKNOWN_USAGE_S
from ringseam.gateway.stages.messages import Waits
from ringseam.gateway.stages.policies import stage_policies
from ringseam.gateway.stages.servicestate import (
    CallFailure,
    CallFailureKind,
    JobResults,
    ServiceState,
)
from ringseam.platform.stages import PieceFault, PieceResult, server_address_of
from ringseam.retries import Retry
from ringseam.routes import ServiceName
from ringseam.util.tasks import TaskSet, wait_for_all
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.guard import QuarantineGuard
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.pacing import Pacer
    from ringseam.gateway.stages.calls import PieceCalls
    from ringseam.gateway.stages.jobs import (
        Piece,
        PieceJob,
        StageCall,
    )
    from ringseam.gateway.stages.waitestimate import WaitEstimate
    from ringseam.node import Node
    from ringseam.retries import RetryPolicy
    from ringseam.routes import BatchSpec

logger = logging.getLogger(__name__)

#: A call that is sent, with its results or why it failed.
CallAttempt: TypeAlias = 'asyncio.Task[list[PieceResult] | CallFailure]'

#: A piece fails after this many attempts.
_MAX_PIECE_TRIES = 3
#: The pieces of a call may run elsewhere after this many times its expected duration plus a
#: margin. Its response is awaited on: a sound server may pause.
_CALL_TIMEOUT_FACTOR = 4.0
_CALL_TIMEOUT_MARGIN_S = 0.6
#: A server has fetched the inputs of a call this long after the call was sent, seconds:
#: megabytes take milliseconds at the speed of the network.
INPUT_FETCH_S = 0.06
#: Results released within this time are sent to their server in one call, seconds. A longer
#: time would keep their capacity in use.
_RELEASE_BATCH_S = 0.01
_RELEASE_TIMEOUT_S = 1.0
#: The same for a rate-limited server, seconds: each such call counts as a request.
_RELEASE_BATCH_LIMITED_S = 2.0
#: Timers may fire this much too early, seconds.
_TIMER_MARGIN_S = 0.001
#: A wait estimate is reused for this long, seconds: much shorter than a call.
_ESTIMATE_TTL_S = 0.02
#: Interval of the search for pieces to shed, seconds. It isn't done on each dispatch
#: because it scans the whole queue.
_SHED_INTERVAL_S = 0.05


class PieceScheduler:  # noqa: WPS214 - the driver of all batches
    """Form batches for this gateway and for others, and send them to stage servers."""

    def __init__(  # noqa: WPS211 - one more than the limit
        self,
        *,
        node: Node,
        follower: Follower,
        calls: PieceCalls,
        retries: RetryPolicy,
        guard: QuarantineGuard,
        ownership: Ownership,
        pacer: Pacer,
        switch: FeatureSwitch | None = None,
    ) -> None:
        """Use the servers that ``follower`` knows; without ``switch``, no features."""
        self.node = node
        self.follower = follower
        self.calls = calls
        self.health = pacer.health
        self.retries = retries
        self.guard = guard
        self.ownership = ownership
        self.pacer = pacer
        self.policies = stage_policies(switch or FeatureSwitch())
        self.log = CallLog(node=node)
        self.services: dict[ServiceName, ServiceState] = {}
        #: Services that batch pieces by a document that was in force here.
        self.defined_services: set[ServiceName] = set()
        self.tasks = TaskSet()
        #: Set, and replaced, whenever servers, routes or gateways change.
        self.changed = asyncio.Event()
        #: Releases inputs; replaced by a function that reaches the owner of their service.
        self.release_inputs: Callable[[ServiceName, tuple[str, ...]], None] = self.release

    async def run(self, job: PieceJob) -> list[PieceResult]:
        """Run a job and return a result for each of its pieces."""
        if job.deadline <= self.node.clock.now():
            return [PieceResult(fault=PieceFault.late) for _ in job.pieces]
        state = self.state_of(job.service)
        pieces = state.batcher.add(job, self.node.clock.now())
        job_results = JobResults(pieces=pieces)
        state.waiters.update(dict.fromkeys(pieces, job_results))
        self.retries.record_request(job.service, self.node.clock.now())
        self._use_reservation(state, job)
        self._dispatch(job.service)
        try:
            async with asyncio.timeout(max(0, job.deadline - self.node.clock.now())):
                await job_results.completed
        except asyncio.TimeoutError:
            self._abandon(state, job_results)
            return [PieceResult(fault=PieceFault.late) for _ in job.pieces]
        except asyncio.CancelledError:
            self._abandon(state, job_results)
            raise
        finally:
            self._end_job(state, job, job_results)
        return job_results.ordered()

    def release(self, service: ServiceName, handles: tuple[str, ...]) -> None:
        """Release results at the servers that store them, in batches."""
        state = self.state_of(service)
        for handle in handles:
            address = server_address_of(handle)
            if address not in state.pending_releases:
                state.pending_releases[address] = []
                self.tasks.spawn(self._release_batched(state, address))
            state.pending_releases[address].append(handle)

    def refresh(self) -> None:
        """Dispatch again after servers, routes or gateways have changed."""
        self.defined_services.update(filter(self.spec_of, self.follower.table.services))
        for service, state in self.services.items():
            state.batcher.keep_only({server.instance for server in self.servers_of(service)})
            self._dispatch(service)
        self.changed.set()
        self.changed = asyncio.Event()

    def wait_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Estimate how long a new piece would wait here, seconds."""
        return self.estimate(service).wait_s(precedence)

    def waits(self, service: ServiceName) -> Waits:
        """Return the estimated waits of new pieces and the time to clear the queue."""
        estimate = self.estimate(service)
        first = {
            precedence.rank
            for precedence in estimate.counts_by_precedence
            if not precedence.returned
        } | {0}
        again = {
            precedence.rank for precedence in estimate.counts_by_precedence if precedence.returned
        } | {0}
        return Waits(
            first_ms={
                rank: int(MS_PER_S * estimate.wait_s(Precedence(rank=rank))) for rank in first
            },
            again_ms={
                rank: int(MS_PER_S * estimate.wait_s(Precedence(rank=rank, returned=True)))
                for rank in again
            },
            backlog_ms=int(MS_PER_S * estimate.backlog_s),
        )

    def backlog_s(self, service: ServiceName) -> float:
        """Return the estimated time to clear the queue here, seconds."""
        return self.estimate(service).backlog_s

    def estimate(self, service: ServiceName) -> WaitEstimate:
        """Return the wait estimate for new pieces, from a short-lived cache."""
        state = self.state_of(service)
        now = self.node.clock.now()
        spec = self.spec_of(service)
        if spec is not None and now >= state.estimate_until:
            state.estimate = state.batcher.wait_estimate(self.servers_of(service), spec, now)
            state.estimate_until = now + _ESTIMATE_TTL_S
        return state.estimate

    def state_of(self, service: ServiceName) -> ServiceState:
        """Return the state of a service, which is created when it is first used."""
        if service not in self.services:
            batcher = Batcher(
                service=service,
                health=self.health,
                pacer=self.pacer,
                order=self.policies.new_order(),
                zone_policy=self.policies.zone_policy,
                shed_policy=self.policies.shed_policy,
            )
            self.services[service] = ServiceState(
                batcher=batcher, shares=self.policies.new_shares()
            )
        return self.services[service]

    def spec_of(self, service: ServiceName) -> BatchSpec | None:
        """Return how a service batches pieces; None: it is unknown or doesn't."""
        backend_service = self.follower.table.services.get(service)
        return backend_service.batching if backend_service else None

    def servers_of(self, service: ServiceName) -> list[BackendReport]:
        """Return the servers of a service that accept calls."""
        return self.follower.view.serving(service)

    @property
    def in_flight(self) -> int:
        """Return the number of pieces that are queued or running."""
        return sum(len(state.waiters) for state in self.services.values())

    # -- calls --------------------------------------------------------------

    def _dispatch(self, service: ServiceName) -> None:
        """Send all calls that can be sent now."""
        spec = self.spec_of(service)
        if spec is None:
            self._fail_if_removed(service)
            return
        state = self.state_of(service)
        now = self.node.clock.now()
        call = state.batcher.next_call(self.servers_of(service), spec, now)
        while call is not None:
            if self._remove_quarantined(state, call):
                self.tasks.spawn(self._call(state, call, spec))
            call = state.batcher.next_call(self.servers_of(service), spec, now)
        self._schedule_permit_dispatch(state, now)
        if now >= state.next_shed_at:
            state.next_shed_at = now + _SHED_INTERVAL_S
            for piece in state.batcher.pieces_to_shed(self.servers_of(service), spec, now):
                state.batcher.cancel([piece])
                if not piece.open_calls:
                    state.resolve(piece, PieceResult(fault=PieceFault.late))

    def _fail_if_removed(self, service: ServiceName) -> None:
        """Fail the queued pieces of a service that the document no longer defines.

        Another gateway may have a later document, which defines services that are unknown here.
        """
        if service not in self.defined_services:
            return
        state = self.state_of(service)
        for piece in list(state.batcher.waiting):
            state.batcher.cancel([piece])
            state.resolve(piece, PieceResult(fault=PieceFault.error))

    def _schedule_permit_dispatch(self, state: ServiceState, now: float) -> None:
        """Schedule a dispatch for when a server may get calls again, or an awaited one is due."""
        if not state.batcher.waiting:
            return
        service = state.batcher.service
        servers = (server.instance for server in self.servers_of(service))
        waits = [wait_s for instance in servers if (wait_s := self._barred_s(instance, now))]
        if state.batcher.awaited_at < math.inf:
            waits.append(state.batcher.awaited_at - now)
        wait_s = min(waits, default=math.inf)
        # A dispatch that is scheduled for about the same time suffices.
        is_scheduled = now < state.next_permit_at <= now + wait_s + _TIMER_MARGIN_S
        if waits and not is_scheduled:
            state.next_permit_at = now + wait_s
            loop = asyncio.get_running_loop()
            loop.call_later(wait_s + _TIMER_MARGIN_S, self._dispatch, service)

    def _barred_s(self, instance: BackendId, now: float) -> float:
        """Return how long a server gets no calls: by a limit, a pause or its ejection."""
        ejected_s = self.health.of(instance).ejected_until - now
        return max(0, ejected_s, self.pacer.call_wait_s(instance, now))

    def _remove_quarantined(self, state: ServiceState, call: StageCall) -> bool:
        """Remove pieces of quarantined contents; return False if none are left.

        A content may have been quarantined while its pieces were queued.
        """
        quarantined = [
            piece
            for piece in call.pieces
            if not self.guard.may_process_pieces(piece.job.suspect, trial_at=piece.job.trial_at)
        ]
        for piece in quarantined:
            state.batcher.remove_from_call(call, piece)
            state.resolve(piece, PieceResult(fault=PieceFault.error))
        if not call.pieces:
            state.batcher.call_ended(call)
        return bool(call.pieces)

    async def _call(self, state: ServiceState, call: StageCall, spec: BatchSpec) -> None:
        self.log.sent(state.batcher, call)
        attempt = asyncio.get_running_loop().create_task(self._attempt(call))
        call.open()
        try:
            await self._await_response(state, call, attempt, spec)
        finally:
            attempt.cancel()

    async def _await_response(
        self, state: ServiceState, call: StageCall, attempt: CallAttempt, spec: BatchSpec
    ) -> None:
        started = self.node.clock.now()
        loop = asyncio.get_running_loop()
        fetched = loop.call_later(INPUT_FETCH_S, self._release_fetched_inputs, state, call, spec)
        # A call never lasts beyond the latest deadline of its pieces.
        longest_s = max(piece.job.deadline for piece in call.pieces) - started
        timeout_s = min(call.expected_s * _CALL_TIMEOUT_FACTOR + _CALL_TIMEOUT_MARGIN_S, longest_s)
        await asyncio.wait({attempt}, timeout=max(0, timeout_s))
        fetched.cancel()
        state.batcher.call_ended(call)
        now = self.node.clock.now()
        if attempt.done():
            call.close()
            self._handle_outcome(state, call, attempt.result(), spec, now - started)
            return
        # A call that was cut off by its pieces' deadlines is no sign of a faulty server.
        if now < started + longest_s:
            self._record_failure(state, call, CallFailureKind.unanswered)
        self._handle_failure(state, call, f'no response in {timeout_s:.2f} s')
        self._dispatch(state.batcher.service)
        await self._await_late_response(state, call, attempt)
        call.close()
        if attempt.done():
            self._handle_late_outcome(state, call, attempt.result(), spec, timed_out_at=now)

    async def _await_late_response(
        self, state: ServiceState, call: StageCall, attempt: CallAttempt
    ) -> None:
        """Wait for the response to a call that has timed out while its pieces are awaited.

        The call is closed after that, so that the server need not run it.
        """
        jobs = {state.waiters[piece].completed for piece in call.pieces if state.awaits(piece)}
        all_jobs = asyncio.ensure_future(wait_for_all(jobs))
        try:
            await asyncio.wait({attempt, all_jobs}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            all_jobs.cancel()

    def _handle_outcome(
        self,
        state: ServiceState,
        call: StageCall,
        outcome: list[PieceResult] | CallFailure,
        spec: BatchSpec,
        duration_s: float,
    ) -> None:
        if isinstance(outcome, CallFailure):
            self._record_failure(state, call, outcome.kind)
            self._handle_failure(state, call, outcome.detail)
        else:
            now = self.node.clock.now()
            self.health.record_success(call.server.instance, now)
            self.health.record_slowness(call.server.instance, duration_s / call.expected_s, now)
            state.batcher.throughput.record_duration(call, duration_s)
            self._handle_results(state, call, dict(zip(call.pieces, outcome, strict=True)), spec)
        self._dispatch(state.batcher.service)

    def _handle_late_outcome(
        self,
        state: ServiceState,
        call: StageCall,
        outcome: list[PieceResult] | CallFailure,
        spec: BatchSpec,
        *,
        timed_out_at: float,
    ) -> None:
        """Use the results of a call that has timed out.

        A fault of a piece that is tried elsewhere is ignored.
        """
        untried = [piece for piece in call.pieces if not state.is_tried(piece)]
        if isinstance(outcome, CallFailure):
            self._retry(state, untried, call)
        else:
            instance = call.server.instance
            self.health.withdraw_timeout(instance, timed_out_at, self.node.clock.now())
            by_piece = zip(call.pieces, outcome, strict=True)
            useful = {
                piece: result for piece, result in by_piece if result.handle or piece in untried
            }
            self._handle_results(state, call, useful, spec)
        self._dispatch(state.batcher.service)

    async def _attempt(self, call: StageCall) -> list[PieceResult] | CallFailure:
        """Send a call and return its results or why it failed."""
        for piece in call.pieces:
            # Servers that run stages don't read the prompt.
            suspect = piece.job.suspect.without(piece.job.suspect.parts)
            self.guard.crashes.request_sent(call.server, _piece_id(piece), suspect)
        try:
            return await self.calls.run(call)
        except FullError as error:
            return CallFailure(kind=CallFailureKind.full, detail=str(error))
        except ChannelError as error:
            if error.sent:
                await self.guard.crashes.check_crash(call.server)
            kind = CallFailureKind.broken if error.sent else CallFailureKind.unsent
            return CallFailure(kind=kind, detail=str(error))
        except msgspec.MsgspecError as error:
            detail = f'{type(error).__name__} {error}'
            return CallFailure(kind=CallFailureKind.broken, detail=detail)
        finally:
            for piece in call.pieces:
                self.guard.crashes.request_finished(call.server, _piece_id(piece))

    def _record_failure(self, state: ServiceState, call: StageCall, kind: CallFailureKind) -> None:
        """Record a failed call in the health of its server.

        A server that refuses connections is ejected at once. One call that broke or timed
        out is not enough: packet loss delays calls to healthy servers too, and the other
        servers can't carry the load without them.
        """
        now = self.node.clock.now()
        if kind is CallFailureKind.full:
            # It is busy with calls of another gateway, perhaps of one that has just gone.
            state.batcher.full_until[call.server.instance] = now + FULL_BACKOFF_S
        elif kind is CallFailureKind.unanswered:
            self.health.record_timeout(call.server.instance, now)
        else:
            hard = kind is CallFailureKind.unsent
            self.health.record_failure(call.server.instance, now, hard=hard)

    def _release_fetched_inputs(
        self, state: ServiceState, call: StageCall, spec: BatchSpec
    ) -> None:
        """Release inputs once all pieces that need them have fetched them.

        A server fetches a call's inputs when the call starts, and calls are sent to idle
        servers only. But while gateways join or leave, two of them may call the same
        servers, and a server that is nearly full may refuse the last pieces; the inputs
        of these are kept until the response has arrived.
        """
        if not self.ownership.is_settled(state.batcher.service, self.node.clock.now()):
            return
        free_bytes = state.batcher.capacity.guaranteed_bytes(call, spec)
        fitting: collections.Counter[PieceJob] = collections.Counter()
        for piece in call.pieces:
            free_bytes -= piece.job.result_bytes
            if free_bytes < 0:
                break
            fitting[piece.job] += 1
        for job, count in fitting.items():
            if job.inputs_of and count == len(job.pieces):
                self.release_inputs(ServiceName(job.inputs_of), job.inputs)

    def _handle_results(
        self,
        state: ServiceState,
        call: StageCall,
        by_piece: dict[Piece, PieceResult],
        spec: BatchSpec,
    ) -> None:
        if any(result.fault is not None for result in by_piece.values()):
            self.log.refused(state.batcher, call, list(by_piece.values()))
        failed: list[Piece] = []
        without_capacity: list[Piece] = []
        loop = asyncio.get_running_loop()
        for piece, result in by_piece.items():
            if result.handle:
                state.add_result(result.handle, call.server.instance, piece.job.result_bytes)
                loop.call_later(spec.result_retention_s, state.remove_result, result.handle)
                self._resolve(state, piece, result)
            elif result.fault is PieceFault.no_capacity:
                without_capacity.append(piece)
            elif result.fault is PieceFault.error:
                failed.append(piece)
            else:
                self._resolve(state, piece, result)
        self._requeue_for_capacity(state, without_capacity, call, spec)
        self._retry(state, failed, call)

    def _handle_failure(self, state: ServiceState, call: StageCall, detail: str) -> None:
        self.log.lost(call, detail)
        self._retry(state, call.pieces, call)
        loop = asyncio.get_running_loop()
        loop.call_later(FULL_BACKOFF_S, self._dispatch, state.batcher.service)

    def _retry(self, state: ServiceState, pieces: list[Piece], call: StageCall) -> None:
        """Retry pieces, if the retry budget allows it; else those without a call have failed.

        A request uses the budget once, whatever the number of its pieces.
        """
        allowed: dict[str, bool] = {}
        for piece in filter(state.awaits, pieces):
            request = piece.job.attempt_id
            if request not in allowed:
                retry = Retry(service=state.batcher.service, now=self.node.clock.now())
                allowed[request] = self.retries.may_retry(retry)
            if piece.tries + 1 < _MAX_PIECE_TRIES and allowed[request]:
                state.batcher.requeue_after_failure(piece, call.server.instance)
            elif not piece.open_calls:
                state.resolve(piece, PieceResult(fault=PieceFault.error))

    def _requeue_for_capacity(
        self,
        state: ServiceState,
        pieces: list[Piece],
        call: StageCall,
        spec: BatchSpec,
    ) -> None:
        now = self.node.clock.now()
        for piece in pieces:
            if state.awaits(piece):
                state.batcher.requeue_full(piece, call.server.instance, spec, now)
        if pieces:
            loop = asyncio.get_running_loop()
            loop.call_later(FULL_BACKOFF_S, self._dispatch, state.batcher.service)
            loop.call_later(UNKNOWN_USAGE_S, self._dispatch, state.batcher.service)

    def _resolve(self, state: ServiceState, piece: Piece, result: PieceResult) -> None:
        # It is queued again if its call had timed out.
        state.batcher.cancel([piece])
        if not state.resolve(piece, result) and result.handle:
            # The job is no longer awaited: free the capacity at the server.
            self.release(state.batcher.service, (result.handle,))

    def _use_reservation(self, state: ServiceState, job: PieceJob) -> None:
        """Use the reservation of pieces that have arrived; without one, count them now."""
        now = self.node.clock.now()
        if state.book.arrive(StageKey(job.attempt_id, job.stage), now):
            # From now on the pieces are counted in the queue.
            state.estimate_until = float('-inf')
            return
        spec = self.spec_of(job.service)
        if spec is not None:
            state.count_unreserved(job, spec, now)

    def _end_job(self, state: ServiceState, job: PieceJob, job_results: JobResults) -> None:
        state.batcher.cancel(job_results.pieces)
        for piece in job_results.pieces:
            state.waiters.pop(piece, None)
        key = StageKey(job.attempt_id, job.stage)
        state.book.finish(key, self.node.clock.now(), done=job_results.is_whole)

    def _abandon(self, state: ServiceState, job_results: JobResults) -> None:
        """Release the results of a job that is no longer awaited."""
        job_results.completed.cancel()
        handles = tuple(result.handle for result in job_results.by_piece.values() if result.handle)
        self.release(state.batcher.service, handles)

    async def _release_batched(self, state: ServiceState, address: str) -> None:
        """Release results in one call; their capacity counts as free after it."""
        await asyncio.sleep(self._release_wait_s(state, address))
        handles = state.pending_releases.pop(address, [])
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self.calls.release(address, state.server_of(handles), handles)
        except (ChannelError, asyncio.TimeoutError) as error:
            # The server discards results by itself when their retention time is over.
            logger.debug('results not released: %s', error)
            return
        for handle in handles:
            state.remove_result(handle)
        self._dispatch(state.batcher.service)

    def _release_wait_s(self, state: ServiceState, address: str) -> float:
        """Return how long to collect results before a release call, seconds.

        It is longer for a rate-limited server, and lasts at least until a pause ends.
        """
        instance = state.server_of(state.pending_releases[address])
        now = self.node.clock.now()
        if self.pacer.limits.of(instance) is None:
            return max(_RELEASE_BATCH_S, self.pacer.pauses.remaining_s(instance, now))
        last_at = state.released_at.get(instance, float('-inf'))
        pause_s = self.pacer.pauses.remaining_s(instance, now)
        released_at = max(now + max(_RELEASE_BATCH_S, pause_s), last_at + _RELEASE_BATCH_LIMITED_S)
        state.released_at[instance] = released_at
        self.pacer.record_requests(instance, released_at)
        return released_at - now


def _piece_id(piece: Piece) -> str:
    """Return the identifier of a piece among those in flight."""
    return f'{piece.job.attempt_id}/{piece.job.stage}/{piece.number}'
