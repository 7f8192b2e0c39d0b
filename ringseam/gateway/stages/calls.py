"""HTTP calls to the backend servers that work on pieces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.platform.requests import decode_marks, stage_headers
from ringseam.platform.stages import (
    FREE_PATH,
    RUN_PATH,
    PieceOrder,
    PieceResult,
    decode_results,
    encode_orders,
    encode_release,
)
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.gateway.stages.jobs import (
        StageCall,
    )
    from ringseam.web.bodies import Headers
    from ringseam.web.client import ChannelPool

#: A new connection that isn't made after this long won't be, seconds.
_CONNECT_S = 0.4
_OK = 200
_UNAVAILABLE = 503


class FullError(ChannelError):
    """A server refused a call: it works on others, and its queue is full."""


class PieceCalls:
    """Call servers over kept connections."""

    def __init__(self, *, pool: ChannelPool, clock: Clock) -> None:
        """Use the connections of ``pool``."""
        self.pool = pool
        self.clock = clock

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Return the results of a call, in the order of its pieces.

        :raises FullError: when the server refused the call.
        :raises ChannelError: when there are none.
        :raises msgspec.MsgspecError: when they can't be read.
        """
        now = self.clock.now()
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
        headers = stage_headers(call.server.instance)
        body = await self._post(call.server.address, RUN_PATH, headers, encode_orders(orders))
        return decode_results(body, len(orders))

    async def release(self, maker: str, handles: list[str]) -> None:
        """Give results up at their maker.

        :raises ChannelError: when it can't be told.
        """
        await self._post(maker, FREE_PATH, stage_headers(''), encode_release(handles))

    async def _post(self, address: str, path: str, headers: Headers, body: bytes) -> bytes:
        channel = await self.pool.acquire(address, timeout_s=_CONNECT_S)
        try:
            await channel.send('POST', path, headers, body)
            head = await channel.head()
            answer = await channel.whole_body()
        except BaseException:
            channel.close()
            raise
        self.pool.release(channel)
        if head.status != _OK:
            detail = f'{address}: status {head.status}'
            not_run = decode_marks(head).not_run
            if head.status == _UNAVAILABLE and not_run:
                raise FullError(detail, sent=False)
            raise ChannelError(detail, sent=not not_run)
        return answer
