"""One service's pieces at the gateway that forms its batches: waiters and rooms."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from ringseam.backends import BackendId
    from ringseam.gateway.batching import Batcher
    from ringseam.gateway.piecejobs import Piece
    from ringseam.platform.stages import PieceResult


class CallEnd(enum.Enum):
    """How a call without results ended."""

    full = 'full'
    unsent = 'unsent'
    broken = 'broken'


@dataclass(frozen=True, kw_only=True)
class CallFailure:
    """A call that made nothing."""

    end: CallEnd
    detail: str


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
        self.batcher.rooms.kept(instance, amount)

    def forget(self, handle: str) -> None:
        """Count a result's room no more."""
        instance, amount = self.kept.pop(handle, ('', 0))
        if instance:
            self.batcher.rooms.freed(instance, amount)

    def resolve(self, piece: Piece, made: PieceResult) -> bool:
        """Give a result to who waits for it; False when nobody does."""
        waiter = self.waiters.get(piece)
        if waiter is None or waiter.done():
            return False
        waiter.set_result(made)
        return True
