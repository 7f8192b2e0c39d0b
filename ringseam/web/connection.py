"""A connection of a client to an HTTP server."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.clock import boottime
from ringseam.web.bodies import BODILESS_STATUSES
from ringseam.web.exchange import Exchange
from ringseam.web.receiver import RequestReceiver
from ringseam.web.responseframing import CONTINUE, ResponseFraming

if TYPE_CHECKING:
    from collections.abc import Sequence
    from http import HTTPStatus

    from ringseam.web.accounting import CloseReason
    from ringseam.web.bodies import Headers
    from ringseam.web.exchange import Request
    from ringseam.web.server import HttpServer

logger = logging.getLogger(__name__)

#: Buffered response bytes above which senders wait for a slow client.
_MAX_WRITE_BUFFER_BYTES = 262_144
#: Time in which a client may read an early response before the connection is closed, seconds.
#: What it still sends is discarded: unread bytes would turn the close into a reset, and lose the
#: response.
_CLOSE_DELAY_S = 0.5
#: Time that a client has for its request if it is refused for lack of descriptors, seconds.
_REFUSED_IDLE_S = 1.0
#: Timers may fire this much too early, seconds.
_TIMER_MARGIN_S = 0.001
_INTERNAL_ERROR = 500
_FIRST_ERROR = 400


class HttpConnection(asyncio.BufferedProtocol):  # noqa: WPS214, WPS230 - protocol state
    """A connection from a client."""

    def __init__(self, *, server: HttpServer) -> None:
        """Create a connection with the handler and limits of ``server``."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.receiver = RequestReceiver(connection=self)
        self.framing: ResponseFraming | None = None
        self.task: asyncio.Task[None] | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        #: Since when there has been no request, on the clock of the event loop.
        self.idle_since: float = 0
        #: Since when the connection is open, on the clock of the host.
        self.connected_at = boottime()
        self.writable = asyncio.Event()
        self.writable.set()
        self.transport: asyncio.Transport | None = None
        #: The request that is handled.
        self.exchange: Exchange | None = None
        #: Bytes of the response that the client has not read, and since when there are any.
        self.unread_bytes = 0
        self.unread_since: float = 0
        #: Whether the host has no descriptor to spare for this connection.
        self.is_refused = False
        #: Whether a request on this connection has been served.
        self.is_proven = False
        #: Whether the connection is closed after the response.
        self.is_last = False
        #: Virtual time of the work on this connection, microseconds, and whether it waits for a
        #: turn.
        self.finished_us: float = 0
        self.awaits_turn = False

    # -- asyncio.BufferedProtocol -------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        self._start_idle_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport reads."""
        return self.server.next_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has read."""
        self.data_received(bytes(self.server.receive_buffer[:nbytes]))

    def data_received(self, chunk: bytes) -> None:
        """Take received data."""
        self.receiver.receive(chunk)

    def eof_received(self) -> None:
        """Return None, so that the transport closes: the client no longer needs a response."""

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler, as its response can no longer be sent."""
        self._clear_idle_timer()
        self.server.forget(self)
        self.writable.set()
        self._count_unread(0)
        self.receiver.close()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Make senders wait until the write buffer has drained."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let senders continue."""
        self.writable.set()

    @property
    def client_address(self) -> str:
        """Return the address of the client; empty: unknown."""
        peer = None if self.transport is None else self.transport.get_extra_info('peername')
        return str(peer[0]) if peer else ''

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed, or will be."""
        return self.transport is None or self.transport.is_closing()

    # -- sending ------------------------------------------------------------

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        framing = self._current_framing()
        if status not in BODILESS_STATUSES:
            headers = [*headers, ('Content-Length', str(len(body)))]
        head = framing.encode_head(status, headers)
        self._write(b''.join((head, framing.encode_data(body), framing.encode_end())))

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response."""
        self._write(self._current_framing().encode_head(status, headers))

    def send_data(self, chunk: bytes) -> None:
        """Send a part of the body of a response."""
        self._write(self._current_framing().encode_data(chunk))

    def send_end(self) -> None:
        """End a response."""
        self._write(self._current_framing().encode_end())

    def send_continue(self) -> None:
        """Tell the client to send the body of its request."""
        self._write(CONTINUE)

    def update_unread(self) -> None:
        """Count what the client has not read yet."""
        if self.transport is not None:
            self._count_unread(self.unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that are not written yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def close(self) -> None:
        """Close the connection once buffered data is written."""
        self._clear_idle_timer()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately; buffered data is lost."""
        self._clear_idle_timer()
        self._count_unread(0)
        if self.transport is not None:
            self.transport.abort()

    def give_up(self) -> None:
        """Abort the connection and the one to the server that responds to its request."""
        if self.exchange is not None and self.exchange.source is not None:
            self.exchange.source.close()
        self.abort()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        return self.task is None and not self.receiver.has_begun

    def close_if_idle(self) -> None:
        """Close the connection unless it carries a request, also one that is not read yet."""
        # What has arrived is read in the next iteration of the loop, before the second call.
        self.loop.call_soon(self.loop.call_soon, self._close_if_idle)

    # -- requests -------------------------------------------------------------

    def begin_request(self) -> None:
        """Record that a request begins to arrive."""
        self._clear_idle_timer()
        self.server.idle.pop(self, None)

    def start_handler(self, request: Request) -> None:
        """Handle a request."""
        self.server.idle.pop(self, None)
        self.server.unproven.pop(self, None)
        self.framing = self._new_framing()
        self.task = self.loop.create_task(self._handle(request))

    def reject(
        self, status: HTTPStatus, reason: CloseReason, headers: Sequence[tuple[str, str]] = ()
    ) -> None:
        """Respond to a request that can't be handled, then close the connection."""
        accounting = self.server.accounting
        accounting.record_rejected(status)
        accounting.record_closed(self, reason)
        self.framing = self._new_framing()
        self.is_last = True
        if not self.is_closing:
            self.send_response(status, list(headers), b'')
            self._linger()

    async def _handle(self, request: Request) -> None:
        exchange = Exchange(request=request, connection=self)
        self.exchange = exchange
        self.server.active += 1
        try:
            await self.server.handler(exchange)
            await self._ensure_finished(exchange)
        except asyncio.CancelledError:
            await self._ensure_finished(exchange)
        except Exception:
            logger.exception('request handler failed')
            await self._respond_internal_error(exchange)
        finally:
            self._end_handling()
        self._prepare_next_request(exchange)

    def _end_handling(self) -> None:
        self.server.active -= 1
        self.task = None
        self.exchange = None
        self.receiver.end_request()

    async def _ensure_finished(self, exchange: Exchange) -> None:
        """Answer a request whose handler ended without a complete response."""
        if not (exchange.finished or self.is_closing):
            self.server.accounting.record_cancelled(exchange)
            await self._respond_internal_error(exchange)

    async def _respond_internal_error(self, exchange: Exchange) -> None:
        if self.framing is None or self.framing.framing is not None:
            exchange.abort()
        else:
            await exchange.respond(_INTERNAL_ERROR, [])

    def _prepare_next_request(self, exchange: Exchange) -> None:
        if self.transport is None or self.transport.is_closing() or self.framing is None:
            return
        if not exchange.request.is_complete or self.is_last:
            self._linger()
            return
        if not (self.framing.is_complete and self.framing.keeps_alive):
            self.close()
            return
        self.is_proven = self.is_proven or exchange.status < _FIRST_ERROR
        self.server.register_idle(self)
        self._start_idle_timer()
        self.receiver.await_next()
        if self.server.closing:
            # The response may have begun before, and so not have asked for the close.
            self.close_if_idle()

    def _linger(self) -> None:
        """Close the connection after a while, so that the client can read the response."""
        self._clear_idle_timer()
        self.receiver.discard()
        if self.transport is not None and self.transport.can_write_eof():
            # The client closes the connection as soon as it has read the response.
            self.transport.write_eof()
        self.loop.call_later(_CLOSE_DELAY_S, self.close)

    def _close_if_idle(self) -> None:
        if self.is_idle:
            self.close()

    # -- helpers --------------------------------------------------------------

    def _new_framing(self) -> ResponseFraming:
        head = self.receiver.parser.head
        if head is None:
            return ResponseFraming(method='', version='1.1', keeps_alive=False)
        return ResponseFraming(
            method=head.method, version=head.version, keeps_alive=head.keeps_alive
        )

    def _current_framing(self) -> ResponseFraming:
        framing = self.framing or self._new_framing()
        if framing.framing is None and (self.server.closing or self.is_refused or self.is_last):
            framing.keeps_alive = False
        return framing

    def _write(self, encoded: bytes) -> None:
        """Write a part of a response, unless the connection is closing."""
        if encoded and self.transport is not None and not self.transport.is_closing():
            self.transport.write(encoded)
            self.update_unread()

    def _count_unread(self, unread_bytes: int) -> None:
        if unread_bytes and not self.unread_bytes:
            self.unread_since = boottime()
        change = unread_bytes - self.unread_bytes
        self.unread_bytes = unread_bytes
        self.server.accounting.count_response(change)

    # -- idle time ------------------------------------------------------------

    def _start_idle_timer(self) -> None:
        self._clear_idle_timer()
        self.idle_since = self.loop.time()
        self.idle_timer = self.loop.call_later(self._idle_limit_s(), self._on_idle)

    def _clear_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def _idle_limit_s(self) -> float:
        idle_s = self.server.limits.idle_timeout_s
        return min(idle_s, _REFUSED_IDLE_S) if self.is_refused else idle_s

    def _on_idle(self) -> None:
        """Close the connection, unless the limit has been raised while it was idle."""
        left_s = self.idle_since + self._idle_limit_s() - self.loop.time()
        if left_s > _TIMER_MARGIN_S:
            self.idle_timer = self.loop.call_later(left_s, self._on_idle)
        else:
            self.close_if_idle()
