"""Batches of pieces that are formed at this gateway, and their results."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.gateway.stages.batching import FULL_S, Batcher
from ringseam.gateway.stages.calllog import PieceLog
from ringseam.gateway.stages.calls import FullError
from ringseam.gateway.stages.messages import Waits
from ringseam.gateway.stages.rooms import UNKNOWN_S
from ringseam.gateway.stages.waiters import CallEnd, CallFailure, JobResults, ServicePieces
from ringseam.gateway.worth import Precedence
from ringseam.platform.stages import PieceFault, PieceResult, maker_of
from ringseam.retries import Retry
from ringseam.routes import ServiceName
from ringseam.util.tasks import TaskSet
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendReport
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.guard import Guard
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.pacing import Pace
    from ringseam.gateway.stages.calls import PieceCalls
    from ringseam.gateway.stages.jobs import (
        Piece,
        PieceJob,
        StageCall,
    )
    from ringseam.gateway.stages.outlook import Outlook
    from ringseam.node import Node
    from ringseam.retries import RetryPolicy
    from ringseam.routes import BatchSpec

logger = logging.getLogger(__name__)

#: A piece is given up after this many servers.
_PIECE_TRIES = 3
#: A call is given up after this many times the expected length and a while.
_CALL_PATIENCE = 4.0
_CALL_PATIENCE_S = 0.6
#: A server has fetched the inputs of a call this long after it was sent,
#: seconds: megabytes take milliseconds at the links' speed.
FETCH_S = 0.06
#: Results that are given up within this time are named to their maker together,
#: seconds; their room is missed while they wait.
_RELEASE_S = 0.01
_RELEASE_TIMEOUT_S = 1.0
#: The same at a server that names a limit, seconds: each is a request that it takes.
_RELEASE_LIMITED_S = 2.0
#: Timers may fire this early, seconds.
_TURN_MARGIN_S = 0.001
#: What waits is counted anew after this, seconds: well within a call.
_OUTLOOK_S = 0.02
#: Pieces that can't be in time are looked for this often, seconds: not with each decision,
#: as all that waits is looked at.
_LOOK_S = 0.05


class PieceScheduler:  # noqa: WPS214 - the driver of all batches
    """Form batches here, for this gateway and for others."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        calls: PieceCalls,
        retries: RetryPolicy,
        guard: Guard,
        ownership: Ownership,
        pace: Pace,
    ) -> None:
        """Work with the servers that ``follower`` knows."""
        self.node = node
        self.follower = follower
        self.calls = calls
        self.health = pace.health
        self.retries = retries
        self.guard = guard
        self.ownership = ownership
        self.pace = pace
        self.log = PieceLog(node=node)
        self.services: dict[ServiceName, ServicePieces] = {}
        self.tasks = TaskSet()
        #: Set, and replaced, whenever servers, routes or gateways change.
        self.changed = asyncio.Event()
        #: Gives up inputs; the facade over all gateways knows their owners.
        self.give_up: Callable[[ServiceName, tuple[str, ...]], None] = self.release

    async def make(self, job: PieceJob) -> list[PieceResult]:
        """Return a result for each piece of a job."""
        if job.deadline <= self.node.clock.now():
            return [PieceResult(fault=PieceFault.late) for _ in job.pieces]
        works = self._works(job.service)
        pieces = works.batcher.add(job, self.node.clock.now())
        wanted = JobResults(pieces=pieces)
        works.waiters.update(dict.fromkeys(pieces, wanted))
        self.retries.requested(job.service, self.node.clock.now())
        self._dispatch(job.service)
        try:
            async with asyncio.timeout(max(0, job.deadline - self.node.clock.now())):
                await wanted.whole
        except asyncio.TimeoutError:
            self._abandon(works, wanted)
            return [PieceResult(fault=PieceFault.late) for _ in job.pieces]
        except asyncio.CancelledError:
            self._abandon(works, wanted)
            raise
        finally:
            works.batcher.cancel(pieces)
            for piece in pieces:
                works.waiters.pop(piece, None)
        return wanted.in_order()

    def release(self, service: ServiceName, handles: tuple[str, ...]) -> None:
        """Tell makers, soon, that results are given up."""
        works = self._works(service)
        for handle in handles:
            maker = maker_of(handle)
            if maker not in works.released:
                works.released[maker] = []
                self.tasks.spawn(self._release_soon(works, maker))
            works.released[maker].append(handle)

    def refresh(self) -> None:
        """Look again: servers, routes or gateways have changed."""
        for service, works in self.services.items():
            works.batcher.keep_only({server.instance for server in self._servers(service)})
            self._dispatch(service)
        self.changed.set()
        self.changed = asyncio.Event()

    def wait_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Return how long a new piece would wait here, seconds."""
        return self._outlook(service).wait_s(precedence)

    def waits(self, service: ServiceName) -> Waits:
        """Return how long new pieces would wait, and how long all that waits takes."""
        outlook = self._outlook(service)
        first = {known.rank for known in outlook.ahead if not known.returned} | {0}
        again = {known.rank for known in outlook.ahead if known.returned} | {0}
        return Waits(
            first_ms={
                rank: int(MS_PER_S * outlook.wait_s(Precedence(rank=rank))) for rank in first
            },
            again_ms={
                rank: int(MS_PER_S * outlook.wait_s(Precedence(rank=rank, returned=True)))
                for rank in again
            },
            backlog_ms=int(MS_PER_S * outlook.backlog_s),
        )

    def backlog_s(self, service: ServiceName) -> float:
        """Return how long all that waits here takes to leave, seconds."""
        return self._outlook(service).backlog_s

    @property
    def in_flight(self) -> int:
        """Return how many pieces are waited for here."""
        return sum(len(works.waiters) for works in self.services.values())

    # -- calls --------------------------------------------------------------

    def _dispatch(self, service: ServiceName) -> None:
        """Send all calls that can leave now."""
        spec = self._spec(service)
        if spec is None:
            return
        works = self._works(service)
        now = self.node.clock.now()
        call = works.batcher.next_call(self._servers(service), spec, now)
        while call is not None:
            if self._admits(works, call):
                self.tasks.spawn(self._call(works, call, spec))
            call = works.batcher.next_call(self._servers(service), spec, now)
        self._dispatch_at_turn(works, now)
        if now >= works.look_at:
            works.look_at = now + _LOOK_S
            for piece in works.batcher.hopeless(self._servers(service), spec, now):
                works.batcher.cancel([piece])
                works.resolve(piece, PieceResult(fault=PieceFault.late))

    def _dispatch_at_turn(self, works: ServicePieces, now: float) -> None:
        """Look again when a server has a turn, or its pause ends, if pieces wait for it."""
        if not works.batcher.waiting or works.turn_at > now:
            return
        service = works.batcher.service
        servers = (server.instance for server in self._servers(service))
        waits = [wait_s for one in servers if (wait_s := self.pace.call_wait_s(one, now))]
        if waits:
            works.turn_at = now + min(waits)
            loop = asyncio.get_running_loop()
            loop.call_later(min(waits) + _TURN_MARGIN_S, self._dispatch, service)

    def _admits(self, works: ServicePieces, call: StageCall) -> bool:
        """Take out pieces whose content ends servers; False when none are left.

        A verdict may have fallen while they waited.
        """
        held_back = [
            piece
            for piece in call.pieces
            if not self.guard.may_make(piece.job.suspect.content, trial_at=piece.job.trial_at)
        ]
        for piece in held_back:
            works.batcher.withdraw(call, piece)
            works.resolve(piece, PieceResult(fault=PieceFault.error))
        if not call.pieces:
            works.batcher.ended(call)
        return bool(call.pieces)

    async def _call(self, works: ServicePieces, call: StageCall, spec: BatchSpec) -> None:
        started = self.node.clock.now()
        self.log.sent(works.batcher, call)
        loop = asyncio.get_running_loop()
        fetched = loop.call_later(FETCH_S, self._inputs_fetched, works, call, spec)
        # The last of the pieces' deadlines bounds the call.
        longest = max(piece.job.deadline for piece in call.pieces) - started
        limit = min(call.expected_s * _CALL_PATIENCE + _CALL_PATIENCE_S, longest)
        made = await self._attempt(call, max(0, limit))
        fetched.cancel()
        works.batcher.ended(call)
        now = self.node.clock.now()
        if isinstance(made, CallFailure):
            # A call that ended with its pieces' time says nothing of its server.
            if now < started + longest:
                self._judge(works, call, made.end)
            self._take_failure(works, call, made.detail)
        else:
            self.health.succeeded(call.server.instance, now)
            ratio = (now - started) / call.expected_s
            self.health.compared(call.server.instance, ratio, now)
            self._take_results(works, call, made, spec)
        self._dispatch(works.batcher.service)

    async def _attempt(self, call: StageCall, limit_s: float) -> list[PieceResult] | CallFailure:
        """Return what a call made, or how it failed."""
        for piece in call.pieces:
            self.guard.ends.sent(call.server, _name_of(piece), piece.job.suspect)
        try:
            async with asyncio.timeout(limit_s):
                return await self.calls.run(call)
        except FullError as error:
            return CallFailure(end=CallEnd.full, detail=str(error))
        except ChannelError as error:
            if error.sent:
                await self.guard.ends.broke(call.server)
            end = CallEnd.broken if error.sent else CallEnd.unsent
            return CallFailure(end=end, detail=str(error))
        except (msgspec.MsgspecError, asyncio.TimeoutError) as error:
            in_vain = isinstance(error, asyncio.TimeoutError)
            end = CallEnd.unanswered if in_vain else CallEnd.broken
            return CallFailure(end=end, detail=f'{type(error).__name__} {error}')
        finally:
            for piece in call.pieces:
                self.guard.ends.over(call.server, _name_of(piece))

    def _judge(self, works: ServicePieces, call: StageCall, end: CallEnd) -> None:
        """Count a failed call against its server.

        One that can't be connected to is left at once. One call that broke or
        took too long is not enough: links that lose packets delay calls to
        sound servers too, and the others can't carry the load without them.
        """
        now = self.node.clock.now()
        if end is CallEnd.full:
            # It works for another gateway, be it for one that is just gone.
            works.batcher.full_until[call.server.instance] = now + FULL_S
        elif end is CallEnd.unanswered:
            self.health.fell_silent(call.server.instance, now)
        else:
            hard = end is CallEnd.unsent
            self.health.failed(call.server.instance, now, hard=hard)

    def _inputs_fetched(self, works: ServicePieces, call: StageCall, spec: BatchSpec) -> None:
        """Give up inputs once all pieces that need them have fetched them.

        A call's inputs are fetched when its turn comes, and calls are sent to
        idle servers only. But while gateways come and go, two of them call the
        same servers, and a server that is nearly full may refuse the last pieces;
        the inputs of those are kept until the call has been answered.
        """
        if not self.ownership.is_settled(works.batcher.service, self.node.clock.now()):
            return
        room = works.batcher.rooms.sure_bytes(call, spec)
        here: collections.Counter[PieceJob] = collections.Counter()
        for piece in call.pieces:
            room -= piece.job.result_bytes
            if room < 0:
                break
            here[piece.job] += 1
        for job, count in here.items():
            if job.inputs_of and count == len(job.pieces):
                self.give_up(ServiceName(job.inputs_of), job.inputs)

    def _take_results(
        self,
        works: ServicePieces,
        call: StageCall,
        made: list[PieceResult],
        spec: BatchSpec,
    ) -> None:
        if any(piece.fault is not None for piece in made):
            self.log.refused(works.batcher, call, made)
        failed: list[Piece] = []
        crowded: list[Piece] = []
        loop = asyncio.get_running_loop()
        for piece, outcome in zip(call.pieces, made, strict=True):
            if outcome.handle:
                works.keep(outcome.handle, call.server.instance, piece.job.result_bytes)
                loop.call_later(spec.keep_s, works.forget, outcome.handle)
                self._resolve(works, piece, outcome)
            elif outcome.fault is PieceFault.room:
                crowded.append(piece)
            elif outcome.fault is PieceFault.error:
                failed.append(piece)
            else:
                self._resolve(works, piece, outcome)
        self._wait_for_room(works, crowded, call, spec)
        self._try_again(works, failed, call)

    def _take_failure(self, works: ServicePieces, call: StageCall, detail: str) -> None:
        self.log.lost(call, detail)
        self._try_again(works, call.pieces, call)
        loop = asyncio.get_running_loop()
        loop.call_later(FULL_S, self._dispatch, works.batcher.service)

    def _try_again(self, works: ServicePieces, pieces: list[Piece], call: StageCall) -> None:
        """Have pieces made once more, if the budget allows.

        A request draws on the budget once, whatever the number of its pieces.
        """
        allowed: dict[str, bool] = {}
        for piece in pieces:
            request = piece.job.attempt_id
            if request not in allowed and piece in works.waiters:
                retry = Retry(service=works.batcher.service, now=self.node.clock.now())
                allowed[request] = self.retries.may_retry(retry)
            if piece.tries + 1 < _PIECE_TRIES and allowed.get(request):
                works.batcher.again(piece, call.server.instance)
            else:
                works.resolve(piece, PieceResult(fault=PieceFault.error))

    def _wait_for_room(
        self,
        works: ServicePieces,
        pieces: list[Piece],
        call: StageCall,
        spec: BatchSpec,
    ) -> None:
        now = self.node.clock.now()
        for piece in pieces:
            if piece in works.waiters:
                works.batcher.found_full(piece, call.server.instance, spec, now)
        if pieces:
            loop = asyncio.get_running_loop()
            loop.call_later(FULL_S, self._dispatch, works.batcher.service)
            loop.call_later(UNKNOWN_S, self._dispatch, works.batcher.service)

    def _resolve(self, works: ServicePieces, piece: Piece, made: PieceResult) -> None:
        if not works.resolve(piece, made) and made.handle:
            # Nobody waits any more: let its maker have the room back.
            self.release(works.batcher.service, (made.handle,))

    def _abandon(self, works: ServicePieces, wanted: JobResults) -> None:
        """Give up what was made for a job that nobody waits for any more."""
        wanted.whole.cancel()
        handles = tuple(made.handle for made in wanted.made.values() if made.handle)
        self.release(works.batcher.service, handles)

    async def _release_soon(self, works: ServicePieces, maker: str) -> None:
        """Give results up together; their room counts as free once that is done."""
        await asyncio.sleep(self._release_wait_s(works, maker))
        handles = works.released.pop(maker, [])
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self.calls.release(maker, works.maker_of(handles), handles)
        except (ChannelError, asyncio.TimeoutError) as error:
            # The maker gives results up by itself after a while.
            logger.debug('results not released: %s', error)
            return
        for handle in handles:
            works.forget(handle)
        self._dispatch(works.batcher.service)

    def _release_wait_s(self, works: ServicePieces, maker: str) -> float:
        """Return how long results are gathered, seconds.

        Longer for a server that names a limit, and until the end of a pause.
        """
        instance = works.maker_of(works.released[maker])
        now = self.node.clock.now()
        if self.pace.limits.of(instance) is None:
            return max(_RELEASE_S, self.pace.pauses.left_s(instance, now))
        last_at = works.released_at.get(instance, float('-inf'))
        pause_s = self.pace.pauses.left_s(instance, now)
        released_at = max(now + max(_RELEASE_S, pause_s), last_at + _RELEASE_LIMITED_S)
        works.released_at[instance] = released_at
        self.pace.count(instance, released_at)
        return released_at - now

    # -- helpers ------------------------------------------------------------

    def _outlook(self, service: ServiceName) -> Outlook:
        """Return how long new pieces would wait here, counted a moment ago at most."""
        works = self._works(service)
        now = self.node.clock.now()
        spec = self._spec(service)
        if spec is not None and now >= works.outlook_until:
            works.outlook = works.batcher.outlook(self._servers(service), spec, now)
            works.outlook_until = now + _OUTLOOK_S
        return works.outlook

    def _works(self, service: ServiceName) -> ServicePieces:
        if service not in self.services:
            batcher = Batcher(service=service, health=self.health, pace=self.pace)
            self.services[service] = ServicePieces(batcher=batcher)
        return self.services[service]

    def _servers(self, service: ServiceName) -> list[BackendReport]:
        return self.follower.view.serving(service)

    def _spec(self, service: ServiceName) -> BatchSpec | None:
        known = self.follower.table.services.get(service)
        return known.batching if known else None


def _name_of(piece: Piece) -> str:
    """Return what tells a piece from others that are under way."""
    return f'{piece.job.attempt_id}/{piece.job.stage}/{piece.number}'
