"""Pieces of stages: one gateway forms the batches of a service for all.

The owner of a service is chosen by rendezvous hashing over the gateways that
control names; the others send it their pieces. Where it can't be reached, a
gateway forms its own batches.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.gateway.batching import FULL_S, Batcher, PieceJob
from ringseam.messages import Empty, Message
from ringseam.platform.stages import (
    FREE_PATH,
    RUN_PATH,
    PieceFault,
    PieceOrder,
    PieceResult,
    decode_results,
    encode_orders,
    encode_release,
    maker_of,
)
from ringseam.platform.requests import decode_marks, stage_headers
from ringseam.routes import ServiceName
from ringseam.rpc import Method
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.batching import Piece, StageCall
    from ringseam.gateway.budget import RetryBudget
    from ringseam.gateway.follower import Follower
    from ringseam.gateway.health import HealthBook
    from ringseam.gateway.ownership import Ownership
    from ringseam.node import Node
    from ringseam.routes import BatchSpec
    from ringseam.rpc import CallClient, Received
    from ringseam.web.client import ChannelPool

logger = logging.getLogger(__name__)

#: A piece is given up after this many servers.
_PIECE_TRIES = 3
#: A call is given up after this many times the expected length and a while.
_CALL_PATIENCE = 4.0
_CALL_PATIENCE_S = 0.6
_CONNECT_S = 0.4
#: What an owner said of its waiting pieces is believed this long, seconds.
_WAITS_S = 0.5
#: A server has fetched the inputs of a call this long after it was sent,
#: seconds: megabytes take milliseconds at the links' speed.
FETCH_S = 0.06
#: Results that are given up within this time are named to their maker together,
#: seconds; their room is missed while they wait.
_RELEASE_S = 0.01
_RELEASE_TIMEOUT_S = 1.0
_OK = 200
_UNAVAILABLE = 503


class PieceRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of a service for pieces; durations in milliseconds."""

    attempt_id: str
    service: ServiceName
    stage: int
    pieces: tuple[int, ...]
    key: str = ''
    inputs: tuple[str, ...] = ()
    due_ms: int
    left_ms: int
    priority: int
    result_bytes: int
    zone: str
    inputs_of: str = ''


class PieceReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Handles in the order of the pieces, or why there are none."""

    handles: tuple[str, ...] = ()
    fault: str = ''
    #: How long a new piece would wait now, in milliseconds, by priority.
    waits_ms: dict[int, int] = {}


class ReleaseRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Give results up."""

    service: ServiceName
    handles: tuple[str, ...]


PIECES = Method('/ringseam.Gateway/Pieces', PieceRequest, PieceReply)
RELEASE = Method('/ringseam.Gateway/Release', ReleaseRequest, Empty)


@dataclass(kw_only=True)
class ServicePieces:
    """One service's batches here, and who waits for each piece."""

    batcher: Batcher
    waiters: dict[Piece, asyncio.Future[PieceResult]] = field(default_factory=dict)
    #: Handles that their makers have not yet been told of.
    released: dict[str, list[str]] = field(default_factory=dict)
    #: Results that take up room: the server and the bytes of each.
    kept: dict[str, tuple[BackendId, int]] = field(default_factory=dict)

    def keep(self, handle: str, instance: BackendId, amount: int) -> None:
        """Count a result's room."""
        self.kept[handle] = (instance, amount)
        self.batcher.kept(instance, amount)

    def forget(self, handle: str) -> None:
        """Count a result's room no more."""
        instance, amount = self.kept.pop(handle, ('', 0))
        if instance:
            self.batcher.freed(instance, amount)


@dataclass(frozen=True, kw_only=True)
class ToldWaits:
    """How long new pieces wait at a service's owner, in ms, and when it said so."""

    at: float
    by_priority: dict[int, int]


class PieceWorks:  # noqa: WPS214 - the driver of all batches
    """Form batches here or have them formed by the owner."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        pool: ChannelPool,
        health: HealthBook,
        budget: RetryBudget,
        ownership: Ownership,
    ) -> None:
        """Work with the servers that ``follower`` knows."""
        self.node = node
        self.client = client
        self.follower = follower
        self.pool = pool
        self.health = health
        self.budget = budget
        self.ownership = ownership
        self.services: dict[ServiceName, ServicePieces] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.told_waits: dict[ServiceName, ToldWaits] = {}
        self.owners_changed = asyncio.Event()

    # -- for requests -------------------------------------------------------

    async def make(self, job: PieceJob) -> list[PieceResult]:
        """Return a result for each piece of a job."""
        owner = self.ownership.owner_of(job.service)
        if owner:
            reply = await self._ask_owner(owner, job)
            if reply is not None:
                return reply
        return await self.make_here(job)

    def release(self, service: ServiceName, handles: tuple[str, ...]) -> None:
        """Give results up, without waiting."""
        owner = self.ownership.owner_of(service)
        if not owner:
            self.release_here(service, handles)
            return
        request = ReleaseRequest(service=service, handles=handles)
        self._spawn(self._tell_owner(owner, request))

    def wait_s(self, service: ServiceName, priority: int) -> float:
        """Return how long a new piece would wait, as far as is known, seconds."""
        now = self.node.clock.now()
        spec = self._spec(service)
        if spec is None:
            return 0
        if not self.ownership.owner_of(service):
            batcher = self._works(service).batcher
            return batcher.wait_s(self._servers(service), spec, priority, now)
        told = self.told_waits.get(service)
        if told is None or now - told.at > _WAITS_S:
            return 0
        known = [wait for rank, wait in told.by_priority.items() if rank <= priority]
        return max(known, default=0) / MS_PER_S

    # -- calls of other gateways --------------------------------------------

    async def serve_pieces(self, received: Received) -> PieceReply:
        """Make pieces for another gateway."""
        request: PieceRequest = received.body
        now = self.node.clock.now()
        job = PieceJob(
            attempt_id=request.attempt_id,
            service=request.service,
            stage=request.stage,
            pieces=request.pieces,
            key=request.key,
            inputs=request.inputs,
            due=now + request.due_ms / MS_PER_S,
            deadline=now + request.left_ms / MS_PER_S,
            priority=request.priority,
            result_bytes=request.result_bytes,
            zone=request.zone,
            inputs_of=request.inputs_of,
        )
        outcome = await self.make_here(job)
        faults = [piece.fault for piece in outcome if piece.fault is not None]
        return PieceReply(
            handles=tuple(piece.handle for piece in outcome),
            fault=faults[0].value if faults else '',
            waits_ms=self._waits_here(job.service),
        )

    async def serve_release(self, received: Received) -> Empty:
        """Give up results for another gateway."""
        request: ReleaseRequest = received.body
        self.release_here(request.service, request.handles)
        return Empty()

    # -- batches here -------------------------------------------------------

    async def make_here(self, job: PieceJob) -> list[PieceResult]:
        """Make pieces with batches that are formed here."""
        works = self._works(job.service)
        loop = asyncio.get_running_loop()
        pieces = works.batcher.add(job)
        futures = [loop.create_future() for _ in pieces]
        works.waiters.update(zip(pieces, futures, strict=True))
        self.budget.request(job.service, self.node.clock.now())
        self._dispatch(job.service)
        try:
            async with asyncio.timeout(max(0, job.deadline - self.node.clock.now())):
                return list(await asyncio.gather(*futures))
        except asyncio.TimeoutError:
            self._abandon(works, pieces)
            return [PieceResult(fault=PieceFault.late) for _ in pieces]
        except asyncio.CancelledError:
            self._abandon(works, pieces)
            raise
        finally:
            works.batcher.cancel(set(pieces))
            for piece in pieces:
                works.waiters.pop(piece, None)

    def _abandon(self, works: ServicePieces, pieces: list[Piece]) -> None:
        """Give up what was made for a job that nobody waits for any more."""
        futures = [works.waiters[piece] for piece in pieces]
        made = [waiter.result() for waiter in futures if waiter.done() and not waiter.cancelled()]
        handles = tuple(result.handle for result in made if result.handle)
        self.release_here(works.batcher.service, handles)

    def release_here(
        self,
        service: ServiceName,
        handles: tuple[str, ...],
    ) -> None:
        """Tell makers, soon, that results are given up."""
        works = self._works(service)
        for handle in handles:
            maker = maker_of(handle)
            if maker not in works.released:
                works.released[maker] = []
                self._spawn(self._release_soon(works, maker))
            works.released[maker].append(handle)

    def refresh(self) -> None:
        """Look again: servers, routes or gateways have changed."""
        for service, works in self.services.items():
            works.batcher.keep_only({server.instance for server in self._servers(service)})
            self._dispatch(service)
        self.owners_changed.set()
        self.owners_changed = asyncio.Event()

    @property
    def in_flight(self) -> int:
        """Return how many pieces are waited for here."""
        return sum(len(works.waiters) for works in self.services.values())

    # -- helpers ------------------------------------------------------------

    def _waits_here(self, service: ServiceName) -> dict[int, int]:
        spec = self._spec(service)
        if spec is None:
            return {}
        batcher = self._works(service).batcher
        now = self.node.clock.now()
        servers = self._servers(service)
        ranks = {piece.job.priority for piece in batcher.waiting} | {0}
        return {
            rank: int(MS_PER_S * batcher.wait_s(servers, spec, rank, now)) for rank in ranks
        }

    def _works(self, service: ServiceName) -> ServicePieces:
        if service not in self.services:
            batcher = Batcher(service=service, health=self.health)
            self.services[service] = ServicePieces(batcher=batcher)
        return self.services[service]

    def _servers(self, service: ServiceName) -> list[BackendReport]:
        return self.follower.view.serving(service)

    def _spec(self, service: ServiceName) -> BatchSpec | None:
        known = self.follower.table.services.get(service)
        return known.batching if known else None

    def _dispatch(self, service: ServiceName) -> None:
        spec = self._spec(service)
        if spec is None:
            return
        works = self._works(service)
        now = self.node.clock.now()
        call = works.batcher.next_call(self._servers(service), spec, now)
        while call is not None:
            self._spawn(self._call(works, call, spec))
            call = works.batcher.next_call(self._servers(service), spec, now)

    async def _call(self, works: ServicePieces, call: StageCall, spec: BatchSpec) -> None:
        started = self.node.clock.now()
        self.node.events.emit(
            logger,
            Event.pieces_sent,
            backend=call.server.instance,
            service=works.batcher.service,
            requests=sorted({piece.job.attempt_id for piece in call.pieces}),
            pieces=len(call.pieces),
            waiting=len(works.batcher.waiting),
            kept_bytes=works.batcher.kept_bytes.get(call.server.instance, 0),
        )
        fetched = asyncio.get_running_loop().call_later(FETCH_S, self._inputs_fetched, call)
        # The last of the pieces' deadlines bounds the call.
        limit = min(
            call.expected_s * _CALL_PATIENCE + _CALL_PATIENCE_S,
            max(piece.job.deadline for piece in call.pieces) - started,
        )
        results: list[PieceResult] | None = None
        detail = ''
        try:
            async with asyncio.timeout(max(0, limit)):
                results = await self._exchange(call)
        except (ChannelError, msgspec.MsgspecError, asyncio.TimeoutError) as error:
            detail = f'{type(error).__name__} {error}'
        now = self.node.clock.now()
        fetched.cancel()
        works.batcher.ended(call)
        if results is None:
            self._call_failed(works, call, detail)
        else:
            self.health.succeeded(call.server.instance, now)
            self.health.took(call.server.instance, now - started, call.expected_s)
            self._call_answered(works, call, results)
        self._dispatch(works.batcher.service)

    def _inputs_fetched(self, call: StageCall) -> None:
        """Give up inputs once all pieces that need them have fetched them.

        A call's inputs are fetched when its turn comes, and calls are sent to
        idle servers only. A result that is missed is made again.
        """
        for job in {piece.job for piece in call.pieces}:
            here = sum(1 for piece in call.pieces if piece.job is job)
            if job.inputs_of and here == len(job.pieces):
                self.release(ServiceName(job.inputs_of), job.inputs)

    async def _exchange(self, call: StageCall) -> list[PieceResult] | None:
        now = self.node.clock.now()
        orders = [
            PieceOrder(
                attempt_id=piece.job.attempt_id,
                stage=piece.job.stage,
                piece=piece.number,
                time_left_s=piece.job.deadline - now,
                key=piece.job.key,
                inputs=piece.job.inputs,
            )
            for piece in call.pieces
        ]
        channel = await self.pool.acquire(call.server.address, timeout_s=_CONNECT_S)
        try:
            await channel.send(
                'POST',
                RUN_PATH,
                stage_headers(call.server.instance),
                encode_orders(orders),
            )
            head = await channel.head()
            body = await channel.whole_body()
        except BaseException:
            channel.close()
            raise
        self.pool.release(channel)
        if head.status != _OK:
            marks = decode_marks(head)
            raise ChannelError(
                f'{call.server.address}: status {head.status}',
                sent=not marks.not_run,
            )
        return decode_results(body, len(orders))

    def _call_answered(
        self,
        works: ServicePieces,
        call: StageCall,
        results: list[PieceResult],
    ) -> None:
        instance = call.server.instance
        faults = [made.fault.value for made in results if made.fault is not None]
        if faults:
            self.node.events.emit(
                logger,
                Event.pieces_refused,
                backend=instance,
                requests=sorted({piece.job.attempt_id for piece in call.pieces}),
                faults=faults,
                pieces=len(call.pieces),
                kept_bytes=works.batcher.kept_bytes.get(instance, 0),
            )
        full = False
        repeated: frozenset[str] = frozenset()
        for piece, made in zip(call.pieces, results, strict=True):
            if made.handle:
                works.keep(made.handle, instance, piece.job.result_bytes)
                self._expire_later(works, made.handle)
                self._resolve(works, piece, made)
            elif made.fault is PieceFault.room and piece in works.waiters:
                works.batcher.found_full(piece, instance, self.node.clock.now())
                full = True
            elif made.fault is PieceFault.error:
                repeated = self._again(works, piece, call, made, repeated)
            else:
                self._resolve(works, piece, made)
        if full:
            asyncio.get_running_loop().call_later(FULL_S, self._dispatch, works.batcher.service)

    def _expire_later(self, works: ServicePieces, handle: str) -> None:
        spec = self._spec(works.batcher.service)
        if spec is not None:
            asyncio.get_running_loop().call_later(spec.keep_s, works.forget, handle)

    def _call_failed(self, works: ServicePieces, call: StageCall, detail: str) -> None:
        now = self.node.clock.now()
        self.health.failed(call.server.instance, now, hard=True)
        self.node.events.emit(
            logger,
            Event.pieces_lost,
            backend=call.server.instance,
            requests=sorted({piece.job.attempt_id for piece in call.pieces}),
            detail=detail,
        )
        repeated: frozenset[str] = frozenset()
        for piece in call.pieces:
            fault = PieceResult(fault=PieceFault.error)
            repeated = self._again(works, piece, call, fault, repeated)

    def _again(
        self,
        works: ServicePieces,
        piece: Piece,
        call: StageCall,
        made: PieceResult,
        repeated: frozenset[str],
    ) -> frozenset[str]:
        """Have a piece made once more, if the budget allows.

        Return the requests that draw on the budget for this call: a request
        draws once, whatever the number of its pieces.
        """
        if piece not in works.waiters:
            return repeated
        request = piece.job.attempt_id
        service = works.batcher.service
        allowed = request in repeated or self.budget.take(service, self.node.clock.now())
        if piece.tries + 1 >= _PIECE_TRIES or not allowed:
            self._resolve(works, piece, made)
            return repeated
        works.batcher.again(piece, call.server.instance)
        return repeated | {request}

    def _resolve(self, works: ServicePieces, piece: Piece, made: PieceResult) -> None:
        waiter = works.waiters.get(piece)
        if waiter is not None and not waiter.done():
            waiter.set_result(made)
        elif made.handle:
            # Nobody waits any more: let its maker have the room back.
            handles = (made.handle,)
            self.release_here(works.batcher.service, handles)

    async def _release_soon(self, works: ServicePieces, maker: str) -> None:
        """Give results up together; their room counts as free once that is done."""
        await asyncio.sleep(_RELEASE_S)
        handles = works.released.pop(maker, [])
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self._call_release(maker, handles)
        except (ChannelError, asyncio.TimeoutError) as error:
            # The maker gives results up by itself after a while.
            logger.debug('results not released: %s', error)
            return
        for handle in handles:
            works.forget(handle)
        self._dispatch(works.batcher.service)

    async def _call_release(self, maker: str, handles: list[str]) -> None:
        channel = await self.pool.acquire(maker, timeout_s=_CONNECT_S)
        try:
            await channel.send('POST', FREE_PATH, stage_headers(''), encode_release(handles))
            await channel.head()
            await channel.whole_body()
        except BaseException:
            channel.close()
            raise
        self.pool.release(channel)

    async def _ask_owner(self, owner: str, job: PieceJob) -> list[PieceResult] | None:
        """Return the owner's results; None when it can't be reached."""
        now = self.node.clock.now()
        request = PieceRequest(
            attempt_id=job.attempt_id,
            service=job.service,
            stage=job.stage,
            pieces=job.pieces,
            key=job.key,
            inputs=job.inputs,
            due_ms=int((job.due - now) * MS_PER_S),
            left_ms=max(0, int((job.deadline - now) * MS_PER_S)),
            priority=job.priority,
            result_bytes=job.result_bytes,
            zone=job.zone,
            inputs_of=job.inputs_of,
        )
        call = asyncio.ensure_future(
            self.client.call(owner, PIECES, request, timeout_s=max(0, job.deadline - now)),
        )
        try:
            while not call.done() and self.ownership.owner_of(job.service) == owner:
                changed = asyncio.ensure_future(self.owners_changed.wait())
                await asyncio.wait({call, changed}, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
            if not call.done():
                return None
            reply: PieceReply = call.result().body
            self.told_waits[job.service] = ToldWaits(
                at=self.node.clock.now(),
                by_priority=reply.waits_ms,
            )
        except UnreachableError as error:
            logger.debug('owner of %s: %s', job.service, error)
            return None
        finally:
            call.cancel()
        if reply.fault:
            fault = PieceFault(reply.fault)
            return [
                PieceResult(handle=handle, fault=None if handle else fault)
                for handle in reply.handles
            ]
        return [PieceResult(handle=handle) for handle in reply.handles]

    async def _tell_owner(self, owner: str, request: ReleaseRequest) -> None:
        with contextlib.suppress(UnreachableError):
            await self.client.call(owner, RELEASE, request, timeout_s=1)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
