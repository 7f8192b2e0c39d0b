"""State of one service at the gateway that forms its batches."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.backends import BackendId
from ringseam.gateway.accounts.policy import AccountDemand, UnsharedPolicy
from ringseam.gateway.reservations.book import ReservationBook
from ringseam.gateway.stages.waitestimate import WaitEstimate
from ringseam.platform.stages import PieceFault, PieceResult
from ringseam.routes import AccountName

if TYPE_CHECKING:
    from ringseam.gateway.accounts.policy import SharePolicy
    from ringseam.gateway.stages.batching import Batcher
    from ringseam.gateway.stages.jobs import Piece, PieceJob
    from ringseam.routes import BatchSpec


class CallFailureKind(enum.Enum):
    """Why a call returned no results."""

    full = 'full'
    unsent = 'unsent'
    broken = 'broken'
    unanswered = 'unanswered'


@dataclass(frozen=True, kw_only=True)
class CallFailure:
    """A call that returned no results."""

    kind: CallFailureKind
    detail: str


class JobResults:
    """The results of a job's pieces, and a future for their completion."""

    def __init__(self, *, pieces: list[Piece]) -> None:
        """Expect results of ``pieces`` in the running event loop."""
        self.pieces = pieces
        self.by_piece: dict[Piece, PieceResult] = {}
        self.completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def add(self, piece: Piece, result: PieceResult) -> bool:
        """Add a result; return False if it is known already or no longer awaited."""
        if not self.awaits(piece):
            return False
        self.by_piece[piece] = result
        if len(self.by_piece) == len(self.pieces):
            self.completed.set_result(None)
        return True

    def awaits(self, piece: Piece) -> bool:
        """Return whether a piece has no result yet and is still awaited."""
        return piece not in self.by_piece and not self.completed.done()

    @property
    def is_whole(self) -> bool:
        """Return whether every piece has a result that can be used."""
        return len(self.by_piece) == len(self.pieces) and all(
            result.handle for result in self.by_piece.values()
        )

    def ordered(self) -> list[PieceResult]:
        """Return the results in the order of the pieces; missing ones count as late."""
        late = PieceResult(fault=PieceFault.late)
        return [self.by_piece.get(piece, late) for piece in self.pieces]


@dataclass(kw_only=True)
class ServiceState:
    """The batches of one service and the jobs that await its pieces."""

    batcher: Batcher
    shares: SharePolicy = field(default_factory=UnsharedPolicy)
    book: ReservationBook = field(init=False)
    waiters: dict[Piece, JobResults] = field(default_factory=dict)
    #: Handles to release at the next call to each server, by its address.
    pending_releases: dict[str, list[str]] = field(default_factory=dict)
    #: When the last release call to each rate-limited server was or will be sent.
    released_at: dict[BackendId, float] = field(default_factory=dict)
    #: When the next dispatch is scheduled because a server has a send permit.
    next_permit_at: float = float('-inf')
    #: How long new pieces would wait, and until when this estimate is reused.
    estimate: WaitEstimate = field(default_factory=WaitEstimate)
    estimate_until: float = float('-inf')
    #: When the queue is next searched for pieces to shed.
    next_shed_at: float = float('-inf')
    #: Results stored at servers: the server and the size in bytes of each handle.
    stored: dict[str, tuple[BackendId, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create an empty book of reservations."""
        self.book = ReservationBook(shares=self.shares)

    def count_unreserved(self, job: PieceJob, spec: BatchSpec, now: float) -> None:
        """Count pieces that arrived without a reservation as used by their account."""
        demand = AccountDemand(
            account=AccountName(job.suspect.account),
            precedence=job.precedence,
            amount=len(job.pieces) * spec.full_call_s / spec.batch,
        )
        self.shares.asked(demand, now)
        self.shares.admitted(demand, now)

    def add_result(self, handle: str, instance: BackendId, amount: int) -> None:
        """Record a stored result and reserve its capacity."""
        self.stored[handle] = (instance, amount)
        self.batcher.capacity.reserve(instance, amount)

    def server_of(self, handles: list[str]) -> BackendId:
        """Return the server that stores all of these results; empty: unknown."""
        instances = (self.stored[handle][0] for handle in handles if handle in self.stored)
        return next(instances, BackendId(''))

    def remove_result(self, handle: str) -> None:
        """Drop a stored result and free its capacity."""
        instance, amount = self.stored.pop(handle, (BackendId(''), 0))
        if instance:
            self.batcher.capacity.release(instance, amount)

    def awaits(self, piece: Piece) -> bool:
        """Return whether a job awaits the result of a piece."""
        waiter = self.waiters.get(piece)
        return waiter is not None and waiter.awaits(piece)

    def is_tried(self, piece: Piece) -> bool:
        """Return whether a piece is queued or in a call without a response."""
        return bool(piece.open_calls) or piece in self.batcher.waiting

    def resolve(self, piece: Piece, result: PieceResult) -> bool:
        """Deliver a result to the job that awaits it; return False if there is none."""
        waiter = self.waiters.get(piece)
        return waiter is not None and waiter.add(piece, result)
