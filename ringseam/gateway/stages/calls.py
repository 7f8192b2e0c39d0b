"""HTTP calls to the backend servers that run pieces."""

from __future__ import annotations

import collections
import logging
import secrets
import weakref
from typing import TYPE_CHECKING

import msgspec

from ringseam.platform.requests import (
    attempt_id_header,
    decode_response_metadata,
    stage_call_headers,
)
from ringseam.platform.stages import (
    RELEASE_PATH,
    RUN_PATH,
    PieceRequest,
    PieceResult,
    decode_results,
    encode_piece_requests,
    encode_release,
)
from ringseam.web.client import ChannelError, EndlessResponseError

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.clock import Clock
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.stages.jobs import (
        StageCall,
    )
    from ringseam.web.client import HttpChannel, ResponseHead
    from ringseam.web.pool import HttpChannelPool

logger = logging.getLogger(__name__)

#: Timeout for opening a connection, seconds.
_CONNECT_S = 0.4
#: Length of the id of a call, bytes.
_CALL_ID_BYTES = 8
#: Number of responses to other calls that are skipped on one connection.
_MAX_FOREIGN_RESPONSES = 2
#: Number of results that are remembered for a connection: those of several calls.
_KNOWN_HANDLES = 256
#: Maximum size of a response: the results of a batch have some hundred bytes each.
_MAX_BODY_BYTES = 1_048_576
_OK = 200
_UNAVAILABLE = 503


class FullError(ChannelError):
    """A server refused a call because its queue is full."""


class PieceCalls:
    """Call stage servers over pooled connections."""

    def __init__(self, *, pool: HttpChannelPool, clock: Clock, notices: ServerNotices) -> None:
        """Use the connections of ``pool``; ``notices`` records all responses."""
        self.pool = pool
        self.clock = clock
        self.notices = notices
        #: The latest results of servers that send no ids, by connection.
        self.handles: weakref.WeakKeyDictionary[HttpChannel, collections.deque[str]] = (
            weakref.WeakKeyDictionary()
        )

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Return the results of a call, in the order of its pieces.

        :raises FullError: when the server's queue is full.
        :raises ChannelError: when the call failed.
        :raises msgspec.MsgspecError: when the response can't be decoded.
        """
        now = self.clock.now()
        orders = [
            PieceRequest(
                attempt_id=piece.job.attempt_id,
                stage=piece.job.stage,
                piece=piece.number,
                time_left_s=piece.job.deadline - now,
                key=piece.job.key,
                inputs=piece.job.inputs,
            )
            for piece in call.pieces
        ]
        server = call.server
        body, duration_s = await self._post(
            server.address,
            server.instance,
            RUN_PATH,
            encode_piece_requests(orders),
            is_retry=any(piece.tries for piece in call.pieces),
        )
        self.notices.speeds.observe(
            server.service,
            server.instance,
            expected_s=call.expected_s,
            duration_s=duration_s,
            now=self.clock.now(),
        )
        return decode_results(body, len(orders))

    async def release(self, address: str, instance: BackendId, handles: list[str]) -> None:
        """Tell a server to release results that it stores.

        :raises ChannelError: when the call failed.
        """
        await self._post(address, instance, RELEASE_PATH, encode_release(handles))

    async def _post(
        self,
        address: str,
        instance: BackendId,
        path: str,
        body: bytes,
        *,
        is_retry: bool = False,
    ) -> tuple[bytes, float]:
        """Return the body of a response and how long it took, without connecting, seconds.

        A retry opens a new connection: idle ones may hold responses to other calls.
        """
        channel = await self.pool.acquire(address, timeout_s=_CONNECT_S, is_new=is_retry)
        call_id = secrets.token_hex(_CALL_ID_BYTES)
        headers = [*stage_call_headers(instance), attempt_id_header(call_id)]
        sent_at = self.clock.now()
        try:
            await channel.send('POST', path, headers, body)
            head, answer = await self._read_response(channel, instance, call_id, path)
        except EndlessResponseError as error:
            self.notices.record_endless(instance, call_id, str(error))
            raise
        except BaseException:
            channel.close()
            raise
        duration_s = self.clock.now() - sent_at
        self.pool.release(channel)
        metadata = decode_response_metadata(head)
        self.notices.record(instance, metadata)
        if head.status != _OK:
            detail = f'{address}: status {head.status}'
            if head.status == _UNAVAILABLE and metadata.not_run:
                raise FullError(detail, sent=False)
            raise ChannelError(detail, sent=not metadata.not_run)
        return answer, duration_s

    async def _read_response(
        self, channel: HttpChannel, instance: BackendId, call_id: str, path: str
    ) -> tuple[ResponseHead, bytes]:
        """Return the response to a call; responses to other calls are skipped.

        :raises ChannelError: if there is none, or it can't be told from those to other calls.
        """
        for _ in range(_MAX_FOREIGN_RESPONSES + 1):
            head = await channel.read_head()
            body = await channel.read_body(max_bytes=_MAX_BODY_BYTES)
            metadata = decode_response_metadata(head)
            if metadata.attempt_id == call_id:
                return head, body
            if not metadata.attempt_id and self._is_plausible(channel, head, body, path):
                return head, body
            # What follows on the connection can't be told from responses to other calls.
            channel.reusable = False
            self.notices.record_foreign(instance, expected=call_id, received=metadata.attempt_id)
            if not metadata.attempt_id:
                break
            channel.skip_response()
        raise ChannelError(f'{channel.address}: response to another call', sent=True)

    def _is_plausible(
        self, channel: HttpChannel, head: ResponseHead, body: bytes, path: str
    ) -> bool:
        """Return whether a response without an id can be used.

        A repeated response has results that the connection has brought before, and a release
        has none. Where a call for pieces has no results to tell it by, the connection isn't
        used again.
        """
        if head.status != _OK:
            channel.reusable = False
            return True
        handles = _handles_in(body)
        known = self.handles.setdefault(channel, collections.deque(maxlen=_KNOWN_HANDLES))
        is_repeated = any(handle in known for handle in handles)
        known.extend(handles)
        if path == RELEASE_PATH:
            return not handles
        if not handles and channel.request_count > 1:
            channel.reusable = False
        return not is_repeated


def _handles_in(body: bytes) -> list[str]:
    """Return the handles of the results in a response; empty if it has none."""
    try:
        piece_results = decode_results(body)
    except msgspec.MsgspecError as error:
        logger.debug('response without results: %s', error)
        return []
    return [piece_result.handle for piece_result in piece_results if piece_result.handle]
