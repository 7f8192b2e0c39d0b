"""One service's pieces at the gateway that forms its batches: waiters and rooms."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.backends import BackendId
from ringseam.gateway.stages.waitestimate import WaitEstimate
from ringseam.platform.stages import PieceFault, PieceResult

if TYPE_CHECKING:
    from ringseam.gateway.stages.batching import Batcher
    from ringseam.gateway.stages.jobs import Piece


class CallFailureKind(enum.Enum):
    """How a call without results ended."""

    full = 'full'
    unsent = 'unsent'
    broken = 'broken'
    unanswered = 'unanswered'


@dataclass(frozen=True, kw_only=True)
class CallFailure:
    """A call that made nothing."""

    kind: CallFailureKind
    detail: str


class JobResults:
    """Who waits for all pieces of a job, and what has been made of them."""

    def __init__(self, *, pieces: list[Piece]) -> None:
        """Wait for ``pieces`` in the running loop."""
        self.pieces = pieces
        self.by_piece: dict[Piece, PieceResult] = {}
        self.completed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def add(self, piece: Piece, result: PieceResult) -> bool:
        """Take in what was made; False when that is known or nobody waits."""
        if piece in self.by_piece or self.completed.done():
            return False
        self.by_piece[piece] = result
        if len(self.by_piece) == len(self.pieces):
            self.completed.set_result(None)
        return True

    def ordered(self) -> list[PieceResult]:
        """Return what was made; pieces that weren't are late."""
        late = PieceResult(fault=PieceFault.late)
        return [self.by_piece.get(piece, late) for piece in self.pieces]


@dataclass(kw_only=True)
class ServiceState:
    """One service's batches here, and who waits for each piece."""

    batcher: Batcher
    waiters: dict[Piece, JobResults] = field(default_factory=dict)
    #: Handles that their makers have not yet been told of.
    pending_releases: dict[str, list[str]] = field(default_factory=dict)
    #: When servers that name a limit were last told, or will be.
    released_at: dict[BackendId, float] = field(default_factory=dict)
    #: When pieces are next looked at because a server has a turn.
    next_turn_at: float = float('-inf')
    #: How long new pieces would wait, and until when that is told as it is.
    estimate: WaitEstimate = field(default_factory=WaitEstimate)
    estimate_until: float = float('-inf')
    #: When pieces are next looked through for those that can't be in time.
    next_shed_at: float = float('-inf')
    #: Results that take up room: the server and the bytes of each.
    stored: dict[str, tuple[BackendId, int]] = field(default_factory=dict)

    def add_result(self, handle: str, instance: BackendId, amount: int) -> None:
        """Count a result's room."""
        self.stored[handle] = (instance, amount)
        self.batcher.capacity.reserve(instance, amount)

    def server_of(self, handles: list[str]) -> BackendId:
        """Return the server that made results, all of them the same; empty: not known."""
        instances = (self.stored[handle][0] for handle in handles if handle in self.stored)
        return next(instances, BackendId(''))

    def remove_result(self, handle: str) -> None:
        """Count a result's room no more."""
        instance, amount = self.stored.pop(handle, (BackendId(''), 0))
        if instance:
            self.batcher.capacity.release(instance, amount)

    def resolve(self, piece: Piece, result: PieceResult) -> bool:
        """Give a result to who waits for it; False when nobody does."""
        waiter = self.waiters.get(piece)
        return waiter is not None and waiter.add(piece, result)
