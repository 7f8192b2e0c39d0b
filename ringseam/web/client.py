"""HTTP/1.1 connections to backend servers, reused between requests."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import math
import re
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from ringseam.errors import RingseamError
from ringseam.web.bodies import BODILESS_STATUSES, Headers, encode_head, find_header

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

#: Memory that a parsed part of a response needs beside its data.
_EVENT_BYTES = 200
#: Maximum size of the status line and headers of a response.
_MAX_HEAD_BYTES = 65_536
#: Maximum number of informational responses (1xx) before the final one.
_MAX_INFORMATIONAL = 16
#: Parsed parts of a response that wait for their reader, and what comes after a complete
#: response, bytes; above, the connection is no longer read.
_MAX_QUEUED_BYTES = 4_194_304
#: Parts of a response that are parsed before other connections have their turn; a part takes
#: about 15 us.
_PARTS_PER_TURN = 32
#: What each part of a body counts beside its data, bytes: the time to parse it is that of about
#: as many bytes.
_PART_COST_BYTES = 1024
#: Maximum size of a body that is collected and whose length isn't declared.
MAX_UNDECLARED_BODY_BYTES = 8_388_608
#: Time after which unacknowledged data breaks a connection (TCP user timeout, RFC 5482): a sound
#: server may stop to read for up to 3 s.
_USER_TIMEOUT_MS = 4000
#: Idle time before the first TCP keepalive probe, and interval between probes.
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
#: A connection is no longer reused this long before the server would close it.
_IDLE_MARGIN_S = 0.5
#: Idle timeout if the server announces none, as it may then close at any time.
_DEFAULT_IDLE_S = 0.4
#: Maximum idle timeout, so that few unused connections are kept open.
_MAX_IDLE_S = 30
_PARSED_HEADERS = (('Host', 'server'),)
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d+)')


class ChannelError(RingseamError):
    """An exchange with a backend server failed.

    ``sent`` is true if any byte of the request may have reached the server.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Store the failure and whether the request may have been received."""
        super().__init__(detail)
        self.sent = sent


class EndlessResponseError(ChannelError):
    """A backend server has sent more than a response can hold."""


class RefusedError(ChannelError):
    """The host is up but refused the connection: no process listens at the address."""


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the response."""
        if self.status in BODILESS_STATUSES:
            return False
        return not (self.header('Content-Length') or self.header('Transfer-Encoding'))


class HttpChannel(asyncio.Protocol):  # noqa: WPS214, WPS230 - protocol state
    """A connection to a backend server that carries one request at a time."""

    def __init__(self, *, address: str) -> None:
        """Create a channel that is not connected yet."""
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = self._new_parser()
        self.events: collections.deque[object] = collections.deque()
        self.event_available = asyncio.Event()
        self.failure = ''
        #: Whether the failure is that the server sent more than a response can hold.
        self.is_endless = False
        #: Size of the parsed parts that wait for their reader.
        self.queued_bytes = 0
        #: Whether the parser may hold further parts.
        self.has_unparsed = False
        self.is_parsing_scheduled = False
        self.informational_count = 0
        #: Whether the end of the response has been parsed, and the bytes that came after it.
        self.is_whole = False
        self.surplus_bytes = 0
        #: Whether the transport has been told not to read.
        self.is_paused = False
        self.request_sent = False
        self.request_count = 0
        self.idle_timeout_s = float('inf')
        self.reusable = True
        #: Time of the last received data, on the clock of the event loop.
        self.received_at: float = 0
        #: Bytes of the response that are not read yet, and of the request that are not sent.
        self.spooled_bytes = 0
        self.unsent_bytes = 0
        self.has_stopped_counting = False
        #: Called with each change of the bytes held, of the response and of the request.
        self.count_response: Callable[[int], None] = _count_nothing
        self.count_request: Callable[[int], None] = _count_nothing
        #: Called when the connection is closed.
        self.on_closed: Callable[[], None] = _do_nothing

    # -- asyncio.Protocol ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info('socket')
        for level, option, value in _SOCKET_OPTIONS:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)

    def data_received(self, chunk: bytes) -> None:
        """Parse received data."""
        self.received_at = asyncio.get_running_loop().time()
        if not self.request_sent:
            # Data without a request: the connection can not be trusted.
            self._fail('received data without a request')
            self.close()
            return
        self._parse(chunk)
        if self.is_whole:
            self._limit_surplus(len(chunk))

    def eof_received(self) -> bool:
        """Let the parser decide whether the response is complete."""
        self._parse(b'')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the task that waits for a response."""
        self.reusable = False
        if error is not None or self.request_sent:
            self._fail(f'connection lost: {error or "closed"}')
        self.on_closed()

    # -- request and response -----------------------------------------------

    @property
    def is_open(self) -> bool:
        """Return whether the connection can carry another request."""
        return self.reusable and self.transport is not None and not self.transport.is_closing()

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a complete request.

        :raises ChannelError: if the connection is already closed.
        """
        if not self.is_open or self.transport is None:
            raise ChannelError(
                f'{self.address}: connection closed before the request was sent', sent=False
            )
        self.request_count += 1
        framed_headers = list(headers)
        if body or method not in {'GET', 'DELETE', 'HEAD'}:
            framed_headers.append(('Content-Length', str(len(body))))
        head = encode_head(_request_line(method, target), framed_headers)
        # The parser needs only what the framing of the response depends on.
        self.parser.send(h11.Request(method=method, target='/', headers=_PARSED_HEADERS))
        self.parser.send(h11.EndOfMessage())
        self.request_sent = True
        self.transport.write(head + body)
        self._count_unsent(self.transport.get_write_buffer_size())

    async def read_head(self) -> ResponseHead:
        """Return the status and headers of the response.

        :raises ChannelError: if none arrives.
        """
        event = await self._next_event()
        self._count_unsent(0)
        if not isinstance(event, h11.Response):
            raise ChannelError(f'{self.address}: no response', sent=True)
        if self.transport is not None and self.transport.get_write_buffer_size():
            # The response came before the request was fully sent; its rest would still follow.
            self.reusable = False
        headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in event.headers.raw_items()
        ]
        head = ResponseHead(status=event.status_code, headers=headers)
        self._update_idle_timeout(head)
        return head

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or None at its end.

        :raises ChannelError: if the response is incomplete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ChannelError(f'{self.address}: incomplete response', sent=True)

    async def read_body(self, *, max_bytes: float = math.inf) -> bytes:
        """Read the rest of the body.

        :raises ChannelError: if the response is incomplete.
        :param max_bytes: its bound; each part counts as 1,024 bytes beside its data.
        :raises EndlessResponseError: if it has more.
        """
        parts: list[bytes] = []
        size = 0
        try:
            chunk = await self.read_chunk()
            while chunk is not None:
                parts.append(chunk)
                size += len(chunk)
                self._count_spooled(len(chunk))
                if size + _PART_COST_BYTES * len(parts) > max_bytes:
                    raise self.fail_endless(f'a body of {size} bytes in {len(parts)} parts')
                chunk = await self.read_chunk()
        finally:
            self._count_spooled(-size)
        return b''.join(parts)

    def skip_response(self) -> None:
        """Discard a response that belongs to another request and parse the next one."""
        unparsed = self.parser.trailing_data[0]
        request = h11.Request(method='GET', target='/', headers=[('Host', 'x')])
        self.reusable = False
        self.parser = self._new_parser()
        self.parser.send(request)
        self.parser.send(h11.EndOfMessage())
        self._count_spooled(-sum(map(_size_of, self.events)))
        self.events.clear()
        self._start_response()
        self._parse(bytes(unparsed), allow_empty=False)

    def fail_endless(self, detail: str) -> EndlessResponseError:
        """Close the connection of a server that sends without end; return the error."""
        self.is_endless = True
        self._fail(detail)
        self.close()
        return EndlessResponseError(f'{self.address}: {detail}', sent=True)

    def count_held(self, change: int) -> None:
        """Count what a reader holds of the response beside what the connection does."""
        self._count_spooled(change)

    def close(self) -> None:
        """Abort the connection, so that the server cancels the request."""
        self.reusable = False
        self.has_unparsed = False
        self._stop_counting()
        if self.transport is not None:
            self.transport.abort()

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return False if the connection can not be reused."""
        done = self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE
        if not (self.is_open and done) or self.parser.trailing_data[0] or self.events:
            return False
        self.parser.start_next_cycle()
        self._start_response()
        self.request_sent = False
        self.event_available.clear()
        return True

    # -- helpers ------------------------------------------------------------

    def _parse(self, chunk: bytes, *, allow_empty: bool = True) -> None:
        if not chunk and not allow_empty:
            return
        try:
            self.parser.receive_data(chunk)
            self._queue_events()
        except h11.RemoteProtocolError as error:
            self._fail(f'invalid response: {error}')
            self.close()

    def _start_response(self) -> None:
        """Reset what is counted for one response, and read again."""
        self.queued_bytes = 0
        self.informational_count = 0
        self.is_whole = False
        self.surplus_bytes = 0
        self.has_unparsed = False
        self._read_again()

    def _queue_events(self) -> None:
        """Parse what is received, as far as the queue and the turn of the connection allow.

        :raises h11.RemoteProtocolError: if it is no response.
        """
        self.has_unparsed = not self._queue_some_events()
        if self.has_unparsed:
            self._stop_reading()
            self._schedule_parsing()
        elif self.is_paused and self.surplus_bytes <= _MAX_QUEUED_BYTES:
            self._read_again()

    def _queue_some_events(self) -> bool:
        """Queue parsed parts; return whether there are no others until more is received."""
        for _ in range(_PARTS_PER_TURN):
            if self.queued_bytes >= _MAX_QUEUED_BYTES:
                return False
            event = self.parser.next_event()
            if isinstance(event, _RESPONSE_EVENTS):
                size = _size_of(event)
                self.events.append(event)
                self.queued_bytes += size
                self._count_spooled(size)
                self.event_available.set()
                self.is_whole = isinstance(event, h11.EndOfMessage)
            elif isinstance(event, h11.InformationalResponse):
                self._count_informational()
            else:
                return True
            if self.is_whole or self.is_endless:
                return True
        return False

    def _stop_reading(self) -> None:
        if self.transport is not None:
            self.is_paused = True
            self.transport.pause_reading()

    def _read_again(self) -> None:
        if self.is_paused and self.transport is not None:
            self.is_paused = False
            self.transport.resume_reading()

    def _schedule_parsing(self) -> None:
        """Parse the rest after other connections have had their turn."""
        is_full = self.queued_bytes >= _MAX_QUEUED_BYTES
        if self.has_unparsed and not (is_full or self.is_parsing_scheduled):
            self.is_parsing_scheduled = True
            asyncio.get_running_loop().call_soon(self._parse_rest)

    def _parse_rest(self) -> None:
        self.is_parsing_scheduled = False
        if not self.has_unparsed:
            return
        try:
            self._queue_events()
        except h11.RemoteProtocolError as error:
            self._fail(f'invalid response: {error}')
            self.close()
        if self.failure and not self.has_unparsed:
            self.event_available.set()

    def _count_informational(self) -> None:
        self.informational_count += 1
        if self.informational_count > _MAX_INFORMATIONAL:
            self.fail_endless(f'over {_MAX_INFORMATIONAL} informational responses')

    def _limit_surplus(self, size: int) -> None:
        """Stop to read what comes after a complete response once there is much of it."""
        self.surplus_bytes += size
        if self.surplus_bytes > _MAX_QUEUED_BYTES:
            self._stop_reading()

    async def _next_event(self) -> object:
        while not self.events:
            if self.failure and not self.has_unparsed:
                error_type = EndlessResponseError if self.is_endless else ChannelError
                raise error_type(f'{self.address}: {self.failure}', sent=self.request_sent)
            self.event_available.clear()
            await self.event_available.wait()
        event = self.events.popleft()
        size = _size_of(event)
        self._count_spooled(-size)
        self.queued_bytes -= size
        if self.has_unparsed:
            self._schedule_parsing()
        return event

    def _count_spooled(self, change: int) -> None:
        if self.has_stopped_counting:
            return
        self.spooled_bytes += change
        self.count_response(change)

    def _stop_counting(self) -> None:
        """Count what is held as released: a reader drops it soon."""
        self._count_unsent(0)
        self._count_spooled(-self.spooled_bytes)
        self.has_stopped_counting = True
        self.count_response = _count_nothing
        self.count_request = _count_nothing

    def _count_unsent(self, unsent_bytes: int) -> None:
        change = unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes
        self.count_request(change)

    def _fail(self, detail: str) -> None:
        self.failure = self.failure or detail
        self.event_available.set()

    def _update_idle_timeout(self, head: ResponseHead) -> None:
        match = _KEEP_ALIVE_TIMEOUT.search(head.header('Keep-Alive').lower())
        idle_timeout_s = _DEFAULT_IDLE_S
        if match:
            idle_timeout_s = min(float(match.group(1)) - _IDLE_MARGIN_S, _MAX_IDLE_S)
        self.idle_timeout_s = idle_timeout_s
        if 'close' in head.header('Connection').lower():
            self.reusable = False

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES)


def _count_nothing(change: int) -> None:
    """Count a change of the bytes held where nobody asks for it."""


def _do_nothing() -> None:
    """Handle the end of a connection where nobody asks for it."""


def _request_line(method: str, target: str) -> bytes:
    if ' ' in method or ' ' in target:
        raise ValueError(f'a space in {method!r} or {target!r}')
    return f'{method} {target} HTTP/1.1'.encode('latin-1')


def _size_of(event: object) -> int:
    return _EVENT_BYTES + len(event.data) if isinstance(event, h11.Data) else _EVENT_BYTES


_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


_RESPONSE_EVENTS = (h11.Response, h11.Data, h11.EndOfMessage)
