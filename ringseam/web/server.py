"""An asynchronous HTTP/1.1 server.

The body of a request is read completely before its handler starts. When a
client closes its connection, the task of the handler is cancelled immediately.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import math
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import h11

from ringseam.clock import boottime
from ringseam.web.bodies import BODILESS_STATUSES, Headers, encode_headers, find_header

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ringseam.web.client import HttpChannel

logger = logging.getLogger(__name__)

#: Default maximum size of the request line and headers.
DEFAULT_MAX_HEADER_BYTES = 16_384
#: Default maximum size of a request body.
DEFAULT_MAX_BODY_BYTES = 4_194_304
#: Buffered response bytes above which senders wait for a slow client.
_MAX_WRITE_BUFFER_BYTES = 262_144
#: Delay before a connection is closed after an early error response.
_CLOSE_DELAY_S = 0.5
#: Time that clients have to read the rest of their responses when the server closes, and the
#: interval of looking. A stop that has more time waits before it closes the server.
_CLOSE_FLUSH_S = 0.3
_FLUSH_POLL_S = 0.01
#: Time that a client has for its request if it is refused for lack of descriptors.
_REFUSED_IDLE_S = 1.0
#: Timers may fire this much too early, seconds.
_TIMER_MARGIN_S = 0.001
#: Maximum number of connections waiting to be accepted.
_BACKLOG = 1024
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_INTERNAL_ERROR = 500


@dataclass(kw_only=True)
class HttpLimits:
    """Limits for client connections.

    ``header_timeout_s`` runs from the first byte of a request until it is received
    completely, including its body.
    """

    header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclass(kw_only=True)
class Request:
    """A complete request; ``target`` is the path with the query string."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    #: Whether the body was received completely; if not, the request can only be refused.
    is_complete: bool = True

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)

    def all_headers(self, name: str) -> list[str]:
        """Return the values of all headers of a name, in order."""
        return [text for known, text in self.headers if known.lower() == name.lower()]


class Exchange:
    """A request and its single response."""

    def __init__(self, *, request: Request, connection: HttpConnection) -> None:
        """Create an exchange that responds to ``request`` on ``connection``."""
        self.request = request
        self.connection = connection
        self.started = False
        self.finished = False
        #: Status of the response; 0 until it has started.
        self.status = 0
        #: Name and rank of the request, 0 is the highest, and when its client stops waiting.
        self.name = ''
        self.rank = 0
        self.deadline = math.inf
        #: The connection to the server whose response is forwarded.
        self.source: HttpChannel | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for a client that reads slowly."""
        spooled = 0 if self.source is None else self.source.spooled_bytes
        return spooled + self.connection.unread_bytes

    @property
    def is_client_connected(self) -> bool:
        """Return whether a response can still reach the client."""
        return not self.connection.is_closing

    async def respond(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send a complete response."""
        framed_headers: Headers = list(headers)
        if status not in BODILESS_STATUSES:
            framed_headers.append(('Content-Length', str(len(body))))
        self.start(status, framed_headers)
        if body and self.request.method != 'HEAD':
            self.connection.send_event(h11.Data(data=body))
        await self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; the body is chunked if they contain no Content-Length."""
        self.connection.send_head(status, headers)
        self.started = True
        self.status = status

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        self.connection.send_event(h11.Data(data=chunk))
        await self.connection.writable.wait()

    async def finish(self) -> None:
        """Complete the response."""
        self.finished = True
        self.connection.send_event(h11.EndOfMessage())
        await self.connection.writable.wait()

    def abort(self) -> None:
        """Abort the connection, so that the client can not take the response as complete."""
        self.finished = True
        self.connection.abort()


if TYPE_CHECKING:
    #: Responds to one exchange.
    Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(kw_only=True)
class PartialRequest:
    """The request that a connection is receiving; ``started`` is 0 before the first byte."""

    head: h11.Request | None = None
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    started: float = 0


class Acceptance(enum.Enum):
    """What becomes of a new connection."""

    accept = 'accept'
    #: Its first request is refused as soon as its head is known.
    refuse = 'refuse'
    #: It is closed at once.
    close = 'close'


class HttpAccounting:
    """Counts what client connections hold, and bounds what they read; here neither."""

    def accept(self, clients: int, refused: int) -> Acceptance:
        """Decide on a new connection.

        :param clients: number of open connections that are not refused, the new one included.
        :param refused: number of those that are refused and not closed yet.
        """
        return Acceptance.accept

    def count_request(self, change: int) -> None:
        """Count a change of the bytes of request bodies."""

    def count_response(self, change: int) -> None:
        """Count a change of the bytes of responses that clients have not read."""

    def may_read_bodies(self) -> bool:
        """Return whether more of the bodies of requests may be read."""
        return True

    def must_refuse(self) -> bool:
        """Return whether requests that are not read completely must be refused at once."""
        return False

    def record_cancelled(self, exchange: Exchange) -> None:
        """Record that a handler ended without a response although its client is connected."""

    def record_rejected(self, status: int) -> None:
        """Record that a request was rejected before it was read completely."""

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record that the server closes while a part of a response is not written."""


class HttpConnection(asyncio.Protocol):  # noqa: WPS214, WPS230 - protocol state
    """A connection from a client."""

    def __init__(self, *, server: HttpServer) -> None:
        """Create a connection with the handler and limits of ``server``."""
        self.server = server
        self.loop = asyncio.get_running_loop()
        # The limit in force may change while the connection is kept: see _check_size.
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)
        self.incoming = PartialRequest()
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        #: Since when there has been no request, on the clock of the event loop.
        self.idle_since: float = 0
        self.writable = asyncio.Event()
        self.writable.set()
        self.transport: asyncio.Transport | None = None
        #: The request that is handled.
        self.exchange: Exchange | None = None
        #: Bytes of the request body that are held.
        self.body_bytes = 0
        #: Bytes of the response that the client has not read, and since when there are any.
        self.unread_bytes = 0
        self.unread_since: float = 0
        #: Whether the host has no descriptor to spare for this connection.
        self.is_refused = False

    # -- asyncio.Protocol ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=_MAX_WRITE_BUFFER_BYTES)
        self.server.connections.add(self)
        server = self.server
        acceptance = server.accounting.accept(server.client_count, server.refused)
        if acceptance is not Acceptance.accept:
            self.is_refused = True
            server.refused += 1
        if acceptance is Acceptance.close:
            self.abort()
            return
        self._start_idle_timer()

    def data_received(self, chunk: bytes) -> None:
        """Parse received data."""
        if self.is_refused and self.incoming.head is not None:
            # The rest of a request that is refused already.
            return
        if not self.incoming.started:
            self.incoming.started = boottime()
            self._set_timer(self.server.limits.header_timeout_s, self._on_request_timeout)
        try:
            self.parser.receive_data(chunk)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
            return
        self.process_events()
        self._pause_if_full()

    def eof_received(self) -> None:
        """Return None, so that the transport closes: the client no longer needs a response."""

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler, as its response can no longer be sent."""
        self._clear_timer()
        self.server.connections.discard(self)
        self.server.refused -= self.is_refused
        self.writable.set()
        self.server.paused.discard(self)
        self._count_unread(0)
        self._count_body(-self.body_bytes)
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Make senders wait until the write buffer has drained."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let senders continue."""
        self.writable.set()

    def process_events(self) -> None:
        """Handle parsed events until more data is needed."""
        try:
            event = self.parser.next_event()
            while self._handle_event(event):
                event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self._check_size()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    @property
    def is_closing(self) -> bool:
        """Return whether the connection is closed, or will be."""
        return self.transport is None or self.transport.is_closing()

    # -- sending ------------------------------------------------------------

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response."""
        if self.server.closing or self.is_refused:
            headers = [*headers, ('Connection', 'close')]
        self.send_event(h11.Response(status_code=status, headers=encode_headers(headers)))

    def send_event(self, event: h11.Event) -> None:
        """Write one event of a response, unless the connection is closing."""
        if self.transport is None or self.transport.is_closing():
            return
        encoded = self.parser.send(event)
        if encoded:
            self.transport.write(encoded)
            self.update_unread()

    def update_unread(self) -> None:
        """Count what the client has not read yet."""
        if self.transport is not None:
            self._count_unread(self.unsent_bytes)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that are not written yet."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def resume_reading(self) -> None:
        """Read the rest of a request whose body had to wait."""
        if self.transport is not None:
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection once buffered data is written."""
        self._clear_timer()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection immediately; buffered data is lost."""
        self._clear_timer()
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
        return self.task is None and not self.incoming.started

    def close_if_idle(self) -> None:
        """Close the connection unless it carries a request, also one that is not read yet."""
        # What has arrived is read in the next iteration of the loop, before the second call.
        self.loop.call_soon(self.loop.call_soon, self._close_if_idle)

    # -- receiving ----------------------------------------------------------

    def _handle_event(self, event: object) -> bool:
        if isinstance(event, h11.Request):
            self.incoming.head = event
            if self.is_refused:
                self._start_handler(is_complete=False)
                return False
            self._send_continue()
            return True
        if isinstance(event, h11.Data):
            return self._add_body(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            self._start_handler()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return False

    def _check_size(self) -> None:
        """Reject headers, or the size of a chunk, that are too large before they are complete."""
        if len(self.parser.trailing_data[0]) > self.server.limits.header_bytes:
            self._reject(_HEADERS_TOO_LARGE)

    def _add_body(self, chunk: bytes) -> bool:
        self.incoming.body.append(chunk)
        self.incoming.size += len(chunk)
        self._count_body(len(chunk))
        if self.incoming.size > self.server.limits.body_bytes:
            self._reject(_TOO_LARGE)
            return False
        return True

    def _count_body(self, change: int) -> None:
        self.body_bytes += change
        self.server.accounting.count_request(change)

    def _count_unread(self, unread_bytes: int) -> None:
        if unread_bytes and not self.unread_bytes:
            self.unread_since = boottime()
        change = unread_bytes - self.unread_bytes
        self.unread_bytes = unread_bytes
        self.server.accounting.count_response(change)

    def _pause_if_full(self) -> None:
        """Stop to read a body while the host can't hold more."""
        is_receiving = self.task is None and self.incoming.head is not None
        if self.transport is None or self.transport.is_closing() or not is_receiving:
            return
        if self.server.accounting.may_read_bodies():
            return
        self.transport.pause_reading()
        if self.server.accounting.must_refuse():
            self._start_handler(is_complete=False)
        else:
            self.server.paused.add(self)

    def _send_continue(self) -> None:
        if self.parser.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))

    def _start_handler(self, *, is_complete: bool = True) -> None:
        self._clear_timer()
        head = self.incoming.head
        if head is None:
            return
        request = Request(
            method=head.method.decode('latin-1'),
            target=head.target.decode('latin-1'),
            headers=[
                (name.decode('latin-1'), text.decode('latin-1'))
                for name, text in head.headers.raw_items()
            ],
            body=b''.join(self.incoming.body) if is_complete else b'',
            arrived=self.incoming.started or boottime(),
            is_complete=is_complete,
        )
        # The request has a copy of the parts of its body, or does without them.
        self.incoming.body.clear()
        self._count_body(len(request.body) - self.body_bytes)
        self.task = self.loop.create_task(self._handle(request))

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
        self._count_body(-self.body_bytes)

    async def _ensure_finished(self, exchange: Exchange) -> None:
        """Answer a request whose handler ended without a complete response."""
        if not (exchange.finished or self.is_closing):
            self.server.accounting.record_cancelled(exchange)
            await self._respond_internal_error(exchange)

    async def _respond_internal_error(self, exchange: Exchange) -> None:
        if exchange.started:
            exchange.abort()
        else:
            await exchange.respond(_INTERNAL_ERROR, [])

    def _prepare_next_request(self, exchange: Exchange) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if not exchange.request.is_complete:
            if self.is_refused and self.transport.can_write_eof():
                # The client closes the connection as soon as it has read the response.
                self.transport.write_eof()
            # Unread data would make a close at once reset the connection, and lose the response.
            self.loop.call_later(_CLOSE_DELAY_S, self.close)
            return
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            self.close()
            return
        self.parser.start_next_cycle()
        self.incoming = PartialRequest()
        self._start_idle_timer()
        if self.parser.trailing_data[0]:
            self.incoming.started = boottime()
            self._set_timer(self.server.limits.header_timeout_s, self._on_request_timeout)
        self.process_events()
        if self.server.closing:
            # The response may have begun before, and so not have asked for the close.
            self.close_if_idle()

    def _reject(self, status: int) -> None:
        """Respond to an invalid request with an error status, then close the connection."""
        self.server.accounting.record_rejected(status)
        self._clear_timer()
        if self.parser.our_state in {h11.IDLE, h11.SEND_RESPONSE} and self.task is None:
            headers = [('Content-Length', '0'), ('Connection', 'close')]
            with contextlib.suppress(h11.LocalProtocolError):
                self.send_event(h11.Response(status_code=status, headers=headers))
                self.send_event(h11.EndOfMessage())
        if self.transport is not None:
            self.transport.pause_reading()
            self.loop.call_later(_CLOSE_DELAY_S, self.close)

    def _close_if_idle(self) -> None:
        if self.is_idle:
            self.close()

    # -- timers -------------------------------------------------------------

    def _start_idle_timer(self) -> None:
        self.idle_since = self.loop.time()
        self._set_timer(self._idle_limit_s(), self._on_idle)

    def _idle_limit_s(self) -> float:
        idle_s = self.server.limits.idle_timeout_s
        return min(idle_s, _REFUSED_IDLE_S) if self.is_refused else idle_s

    def _on_idle(self) -> None:
        """Close the connection, unless the limit has been raised while it was idle."""
        left_s = self.idle_since + self._idle_limit_s() - self.loop.time()
        if left_s > _TIMER_MARGIN_S:
            self._set_timer(left_s, self._on_idle)
        else:
            self.close_if_idle()

    def _on_request_timeout(self) -> None:
        if self in self.server.paused:
            self.server.paused.discard(self)
            # The request is late for lack of memory here: its handler refuses it.
            self._start_handler(is_complete=False)
        else:
            self._reject(_REQUEST_TIMEOUT)

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self.timer = self.loop.call_later(delay_s, callback)

    def _clear_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class HttpServer:
    """An HTTP server that passes each exchange to a handler."""

    def __init__(self, *, handler: Handler, limits: HttpLimits) -> None:
        """Create a server; ``limits`` may be changed while it runs."""
        self.handler = handler
        self.limits = limits
        self.accounting = HttpAccounting()
        self.connections: set[HttpConnection] = set()
        #: How many of these are refused.
        self.refused = 0
        #: Connections whose request bodies have to wait.
        self.paused: set[HttpConnection] = set()
        #: Number of requests that are being handled.
        self.active = 0
        #: Whether responses ask clients to close the connection.
        self.closing = False
        self.listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the bound port."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: HttpConnection(server=self),
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        return self.listener.sockets[0].getsockname()[1]

    @property
    def client_count(self) -> int:
        """Return the number of open connections that are not refused."""
        return len(self.connections) - self.refused

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        if self.listener is not None:
            self.listener.close()

    def resume_reading(self) -> None:
        """Read the rest of the requests whose bodies had to wait."""
        while self.paused:
            self.paused.pop().resume_reading()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def cancel_handlers(self) -> None:
        """Cancel the handlers of all requests, which may still answer them."""
        for connection in self.connections:
            if connection.task is not None and connection.exchange is not None:
                connection.task.cancel()

    async def close(self) -> None:
        """Stop listening and close all connections once their responses are written."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
        await self._wait_until_written()
        for left in self.connections:
            if left.unsent_bytes:
                self.accounting.record_unsent(left.unsent_bytes)

    async def _wait_until_written(self) -> None:
        """Wait until clients have been sent what is buffered for them, for a short time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _CLOSE_FLUSH_S
        while loop.time() < ends_at and any(left.unsent_bytes for left in self.connections):
            await asyncio.sleep(_FLUSH_POLL_S)
