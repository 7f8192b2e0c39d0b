"""Log the calls that a gateway makes to stage servers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.events import Event

if TYPE_CHECKING:
    from ringseam.gateway.stages.batching import Batcher
    from ringseam.gateway.stages.jobs import StageCall
    from ringseam.node import Node
    from ringseam.platform.stages import PieceResult

logger = logging.getLogger(__name__)


class CallLog:
    """Emit log events on calls, with the state that led to them."""

    def __init__(self, *, node: Node) -> None:
        """Log as ``node``."""
        self.node = node

    def sent(self, batcher: Batcher, call: StageCall) -> None:
        """Log that a call is sent, and how many pieces are still queued."""
        self._emit(
            Event.pieces_sent,
            call,
            service=batcher.service,
            pieces=len(call.pieces),
            waiting=len(batcher.waiting),
            kept_bytes=batcher.capacity.used_bytes.get(call.server.instance, 0),
        )

    def refused(self, batcher: Batcher, call: StageCall, piece_results: list[PieceResult]) -> None:
        """Log that a server returned faults for some pieces."""
        self._emit(
            Event.pieces_refused,
            call,
            faults=[result.fault.value for result in piece_results if result.fault is not None],
            pieces=len(call.pieces),
            kept_bytes=batcher.capacity.used_bytes.get(call.server.instance, 0),
        )

    def lost(self, call: StageCall, detail: str) -> None:
        """Log that a call failed."""
        self._emit(Event.pieces_lost, call, detail=detail)

    def _emit(self, event: Event, call: StageCall, **fields: object) -> None:
        self.node.events.emit(
            logger,
            event,
            backend=call.server.instance,
            requests=sorted({piece.job.attempt_id for piece in call.pieces}),
            **fields,
        )
