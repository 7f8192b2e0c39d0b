"""HTTP/1.1 connections to backend servers, kept between requests."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import logging
import re
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from ringseam.errors import RingseamError
from ringseam.ids import split_address
from ringseam.web.bodies import Headers, find_header

if TYPE_CHECKING:
    from ringseam.clock import Clock

logger = logging.getLogger(__name__)

#: Bytes of an answer's head that are accepted.
_HEAD_BYTES = 65_536
#: Unacknowledged bytes break a connection after this long, ms (RFC 5482).
_USER_TIMEOUT_MS = 2000
#: Seconds of silence before the kernel probes a peer, and between probes.
_PROBE_S = 1
_PROBES = 2
#: A connection is left this long before its server would close it, seconds.
_KEEP_MARGIN_S = 0.5
#: Idle seconds when the server names none; it may close at any time.
_KEEP_UNNAMED_S = 0.4
#: Longest idle time, so that few connections wait unused, seconds.
_KEEP_LONGEST_S = 30
_KEEP_ALIVE = re.compile(r'timeout\s*=\s*(\d+)')


class ChannelError(RingseamError):
    """An exchange with a backend server failed.

    ``sent`` tells whether a byte of the request may have reached the server.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Say what happened."""
        super().__init__(detail)
        self.sent = sent


class RefusedError(ChannelError):
    """Nobody listens at the address, on a host that runs."""


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: str) -> str:
        """Return the first value of a header, or nothing."""
        return find_header(self.headers, name)


class Channel(asyncio.Protocol):  # noqa: WPS214, WPS230 - one connection's life
    """One connection to a backend server; one request at a time."""

    def __init__(self, *, address: str) -> None:
        """Begin unconnected."""
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parser = self._new_parser()
        self.events: collections.deque[object] = collections.deque()
        self.arrived = asyncio.Event()
        self.failure = ''
        self.sent = False
        self.uses = 0
        self.idle_until = float('inf')
        self.reusable = True
        #: When bytes came last, by the loop's clock.
        self.heard_at: float = 0

    # -- the transport's calls ----------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        self.transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info('socket')
        for level, option, value in _SOCKET_OPTIONS:
            with contextlib.suppress(OSError):
                sock.setsockopt(level, option, value)

    def data_received(self, chunk: bytes) -> None:
        """Parse what has arrived."""
        self.heard_at = asyncio.get_running_loop().time()
        if not self.sent:
            # Bytes that nobody asked for: this connection can't be trusted.
            self._fail('bytes without a request')
            self.close()
            return
        self._feed(chunk)

    def eof_received(self) -> bool:
        """Let the parser decide whether the answer is complete."""
        self._feed(b'')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake who waits for an answer."""
        self.reusable = False
        if error is not None or self.sent:
            self._fail(f'connection lost: {error or "closed"}')

    # -- one exchange -------------------------------------------------------

    @property
    def is_open(self) -> bool:
        """Return whether the connection may take another request."""
        return self.reusable and self.transport is not None and not self.transport.is_closing()

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send a whole request.

        :raises ChannelError: when the connection is closed already.
        """
        if not self.is_open or self.transport is None:
            raise ChannelError(f'{self.address}: closed before the request', sent=False)
        self.uses += 1
        framed = list(headers)
        if body or method not in {'GET', 'DELETE', 'HEAD'}:
            framed.append(('Content-Length', str(len(body))))
        parts = [self.parser.send(h11.Request(method=method, target=target, headers=framed))]
        if body:
            parts.append(self.parser.send(h11.Data(data=body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        self.sent = True
        self.transport.write(b''.join(part for part in parts if part))

    async def head(self) -> ResponseHead:
        """Return the head of the answer.

        :raises ChannelError: when none comes.
        """
        event = await self._next()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next()
        if not isinstance(event, h11.Response):
            raise ChannelError(f'{self.address}: no answer', sent=True)
        if self.transport is not None and self.transport.get_write_buffer_size():
            # Answered before the body was read: the rest of it is still due.
            self.reusable = False
        headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in event.headers.raw_items()
        ]
        head = ResponseHead(status=event.status_code, headers=headers)
        self._note_idle_time(head)
        return head

    async def chunk(self) -> bytes | None:
        """Return the next bytes of the body; None at its end.

        :raises ChannelError: when the answer breaks off.
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ChannelError(f'{self.address}: answer broke off', sent=True)

    async def whole_body(self) -> bytes:
        """Return the rest of the body.

        :raises ChannelError: when the answer breaks off.
        """
        parts = []
        chunk = await self.chunk()
        while chunk is not None:
            parts.append(chunk)
            chunk = await self.chunk()
        return b''.join(parts)

    def skip_answer(self) -> None:
        """Read on for another answer: the one that came was for other work."""
        rest = self.parser.trailing_data[0]
        request = h11.Request(method='GET', target='/', headers=[('Host', 'x')])
        self.reusable = False
        self.parser = self._new_parser()
        self.parser.send(request)
        self.parser.send(h11.EndOfMessage())
        self.events.clear()
        self._feed(bytes(rest), allow_empty=False)

    def close(self) -> None:
        """Close at once; the server drops what it was doing."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def ready_again(self) -> bool:
        """Prepare for the next request; False when that can't be."""
        done = self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE
        if not (self.is_open and done) or self.parser.trailing_data[0] or self.events:
            return False
        self.parser.start_next_cycle()
        self.sent = False
        self.arrived.clear()
        return True

    # -- helpers ------------------------------------------------------------

    def _feed(self, chunk: bytes, *, allow_empty: bool = True) -> None:
        if not chunk and not allow_empty:
            return
        try:
            self.parser.receive_data(chunk)
            self._pump()
        except h11.RemoteProtocolError as error:
            self._fail(f'not an answer: {error}')
            self.close()

    def _pump(self) -> None:
        event = self.parser.next_event()
        while isinstance(event, _ANSWER_EVENTS):
            self.events.append(event)
            self.arrived.set()
            if isinstance(event, h11.EndOfMessage):
                break
            event = self.parser.next_event()

    async def _next(self) -> object:
        while not self.events:
            if self.failure:
                raise ChannelError(f'{self.address}: {self.failure}', sent=self.sent)
            self.arrived.clear()
            await self.arrived.wait()
        return self.events.popleft()

    def _fail(self, detail: str) -> None:
        self.failure = self.failure or detail
        self.arrived.set()

    def _note_idle_time(self, head: ResponseHead) -> None:
        found = _KEEP_ALIVE.search(head.header('Keep-Alive').lower())
        keep_s = _KEEP_UNNAMED_S
        if found:
            keep_s = min(float(found.group(1)) - _KEEP_MARGIN_S, _KEEP_LONGEST_S)
        self.idle_until = keep_s
        if 'close' in head.header('Connection').lower():
            self.reusable = False

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)


_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


_ANSWER_EVENTS = (h11.InformationalResponse, h11.Response, h11.Data, h11.EndOfMessage)


@dataclass(kw_only=True)
class Parked:
    """An idle connection and until when it may be used."""

    channel: Channel
    until: float


class ChannelPool:
    """Idle connections by address."""

    def __init__(self, *, clock: Clock) -> None:
        """Begin empty."""
        self.clock = clock
        self.idle: dict[str, list[Parked]] = {}
        self.opened = 0

    async def acquire(self, address: str, *, timeout_s: float) -> Channel:
        """Return an idle connection, or a new one.

        :raises ChannelError: when none can be made in time.
        """
        now = self.clock.now()
        parked = self.idle.get(address, [])
        while parked:
            candidate = parked.pop()
            if candidate.until > now and candidate.channel.is_open:
                return candidate.channel
            candidate.channel.close()
        return await self.connect(address, timeout_s=timeout_s)

    async def connect(self, address: str, *, timeout_s: float) -> Channel:
        """Return a new connection.

        :raises ChannelError: when it can't be made in time.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, channel = await loop.create_connection(
                    lambda: Channel(address=address),
                    host,
                    port,
                )
        except ConnectionRefusedError as error:
            raise RefusedError(f'{address}: {error}', sent=False) from None
        except (OSError, asyncio.TimeoutError) as error:
            raise ChannelError(f'{address}: {type(error).__name__} {error}', sent=False) from None
        return channel

    def release(self, channel: Channel) -> None:
        """Keep a connection whose answer was read whole, or close it."""
        if not channel.ready_again():
            channel.close()
            return
        until = self.clock.now() + channel.idle_until
        self.idle.setdefault(channel.address, []).append(Parked(channel=channel, until=until))

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for parked in self.idle.pop(address, []):
            parked.channel.close()

    def sweep(self) -> None:
        """Close idle connections whose time is over."""
        now = self.clock.now()
        for address, parked in list(self.idle.items()):
            kept = [one for one in parked if one.until > now and one.channel.is_open]
            for one in parked:
                if one not in kept:
                    one.channel.close()
            self.idle[address] = kept
            if not kept:
                self.idle.pop(address)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.forget(address)
