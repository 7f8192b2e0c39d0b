"""Typed calls between processes: grpclib with sealed msgpack envelopes.

Each message stands in an envelope that carries the sender, its group, its
configuration revision and its causal stamp, and is authenticated with a keyed
BLAKE2 digest under the cluster key (RFC 7693).
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import logging
import socket
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec
from grpclib.client import Channel, StreamUnaryMethod, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from ringseam.errors import NotSentError, StrangerError, UnreachableError
from ringseam.events import Event
from ringseam.ids import split_address
from ringseam.messages import Empty

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from grpclib.server import Stream

    from ringseam.node import Node

    #: Sends one frame of a reply.
    FrameSender = Callable[[Any], Awaitable[None]]
    #: Answers one request by sending frames.
    FrameResponder = Callable[['Received', FrameSender], Awaitable[None]]

logger = logging.getLogger(__name__)

_DIGEST_BYTES = 16
#: A connection that isn't made after this long won't be, seconds.
CONNECT_S = 1.0
#: Unacknowledged bytes break a connection after this long, ms (RFC 5482).
_USER_TIMEOUT_MS = 1000
#: Seconds of silence before the kernel probes a peer, and how often it does.
_PROBE_S = 1
_PROBES = 2
_SILENCE_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, _PROBE_S),
    (socket.TCP_KEEPINTVL, _PROBE_S),
    (socket.TCP_KEEPCNT, _PROBES),
)
_DRILL_SILENCE_S = 60
#: What a broken connection raises, whichever layer sees it first.
CALL_ERRORS = (
    OSError,
    StreamTerminatedError,
    GRPCError,
    asyncio.TimeoutError,
    StrangerError,
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels: header fields, the encoded body and the seal."""

    sender: str
    address: str
    group: str
    revision: int
    wall: int
    counter: int
    body: bytes
    seal: bytes = b''


class Received(msgspec.Struct, frozen=True):
    """A message that was opened, with its envelope's header."""

    sender: str
    address: str
    group: str
    revision: int
    body: Any


class SealedCodec(CodecBase):
    """Encode messages into sealed envelopes and open them again."""

    __content_subtype__ = 'ringseam'

    def __init__(self, *, node: Node) -> None:
        """Seal with the cluster key of ``node``."""
        self.node = node
        self.decoders: dict[Any, msgspec.msgpack.Decoder[Any]] = {}
        self.envelopes = msgspec.msgpack.Decoder(Envelope)

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the sealed envelope of ``message``."""
        node = self.node
        wall, counter = node.hybrid.tick()
        body = msgspec.msgpack.encode(message)
        head = (node.name, node.address, node.group, node.revision, wall, counter)
        return msgspec.msgpack.encode(Envelope(*head, body, self.seal(head, body)))

    def decode(self, raw: bytes, message_type: Any) -> Received:
        """Open an envelope.

        :raises StrangerError: when the seal or the shape is wrong.
        """
        try:
            envelope = self.envelopes.decode(raw)
            self._check(envelope)
            body = self._decoder(message_type).decode(envelope.body)
        except msgspec.MsgspecError as error:
            raise StrangerError(f'malformed message: {error}') from None
        self.node.hybrid.observe(envelope.wall, envelope.counter)
        self._compare(envelope)
        return Received(
            envelope.sender,
            envelope.address,
            envelope.group,
            envelope.revision,
            body,
        )

    def seal(self, head: tuple[Any, ...], body: bytes) -> bytes:
        """Return the keyed digest over header and body."""
        digest = hashlib.blake2b(body, key=self.node.secret, digest_size=_DIGEST_BYTES)
        digest.update(repr(head).encode())
        return digest.digest()

    def _check(self, envelope: Envelope) -> None:
        head = (
            envelope.sender,
            envelope.address,
            envelope.group,
            envelope.revision,
            envelope.wall,
            envelope.counter,
        )
        if not hmac.compare_digest(envelope.seal, self.seal(head, envelope.body)):
            raise StrangerError('wrong cluster key')
        if envelope.group and self.node.group and envelope.group != self.node.group:
            raise StrangerError(f'message of another group: {envelope.group}')

    def _compare(self, envelope: Envelope) -> None:
        if envelope.group and self.node.adopts_group and not self.node.group:
            self.node.group = envelope.group
        if envelope.revision > self.node.revision and self.node.on_newer:
            self.node.on_newer(envelope.revision, envelope.address)

    def _decoder(self, message_type: Any) -> msgspec.msgpack.Decoder[Any]:
        if message_type not in self.decoders:
            self.decoders[message_type] = msgspec.msgpack.Decoder(message_type)
        return self.decoders[message_type]


class Method(msgspec.Struct, frozen=True):
    """A unary method: its path and the types of both directions."""

    path: str
    request: Any
    reply: Any


class CallServer:
    """Serve typed unary methods; refuse strangers."""

    def __init__(self, *, node: Node) -> None:
        """Serve on the address of ``node``."""
        self.node = node
        self.mapping: dict[str, Handler] = {}
        self.server: Server | None = None

    def add(
        self,
        method: Method,
        respond: Callable[[Received], Awaitable[Any]],
    ) -> None:
        """Serve ``method`` with ``respond``."""

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            await self._serve(stream, respond)

        self.mapping[method.path] = Handler(
            serve,
            Cardinality.UNARY_UNARY,
            method.request,
            method.reply,
        )

    def add_stream(
        self,
        method: Method,
        take: Callable[[Received], None],
    ) -> None:
        """Serve a long stream of requests to ``method`` without replies."""

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            try:
                async for received in stream:
                    self._unless_dropped(received, take)
            except StrangerError as error:
                self._refuse(error)
            await stream.send_message(Empty())

        self.mapping[method.path] = Handler(
            serve,
            Cardinality.STREAM_UNARY,
            method.request,
            method.reply,
        )

    def add_frames(
        self,
        method: Method,
        respond: FrameResponder,
    ) -> None:
        """Serve ``method`` with many frames for one request."""

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            try:
                received = await stream.recv_message()
            except StrangerError as error:
                self._refuse(error)
            if received is not None:
                await respond(received, stream.send_message)

        self.mapping[method.path] = Handler(
            serve,
            Cardinality.UNARY_STREAM,
            method.request,
            method.reply,
        )

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods in grpclib's form."""
        return self.mapping

    async def start(self) -> None:
        """Listen; a port of 0 is replaced by the one that was taken."""
        host, port = split_address(self.node.address)
        self.server = Server([self], codec=SealedCodec(node=self.node))
        await self.server.start(host, port)
        if not port:
            listener = self.server._server  # noqa: WPS437 - no public way
            port = listener.sockets[0].getsockname()[1]
            self.node.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and end open streams."""
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    async def _serve(
        self,
        stream: Stream[Any, Any],
        respond: Callable[[Received], Awaitable[Any]],
    ) -> None:
        try:
            received = await stream.recv_message()
        except StrangerError as error:
            self._refuse(error)
        if received is None:
            return
        if self.node.drill.drops(received.address):
            await asyncio.sleep(_DRILL_SILENCE_S)
            return
        await stream.send_message(await respond(received))

    def _unless_dropped(self, received: Received, take: Callable[[Received], None]) -> None:
        if not self.node.drill.drops(received.address):
            take(received)

    def _refuse(self, error: StrangerError) -> NoReturn:
        self.node.events.emit(logger, Event.stranger_refused, detail=str(error))
        raise GRPCError(Status.PERMISSION_DENIED, 'refused') from None


def detect_silence(transport: asyncio.BaseTransport) -> None:
    """Let the kernel break a connection whose peer has fallen silent."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    for option, amount in _SILENCE_OPTIONS:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, option, amount)
        except OSError as error:
            logger.debug('socket option %s: %s', option, error)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class CallClient:
    """Call typed unary methods; one channel per address, made on demand."""

    def __init__(self, *, node: Node) -> None:
        """Call as ``node``."""
        self.node = node
        self.channels: dict[str, Channel] = {}
        #: The connection at each address whose socket has its options.
        self.tuned: dict[str, Any] = {}

    async def call(
        self,
        address: str,
        method: Method,
        message: Any,
        *,
        timeout_s: float,
    ) -> Received:
        """Call ``method`` at ``address``.

        :raises NotSentError: when no connection could be made.
        :raises UnreachableError: when no whole, authentic reply came in time.
        """
        if self.node.drill.drops(address):
            await asyncio.sleep(timeout_s)
            raise UnreachableError(f'{address} is cut off by a drill')
        stub = UnaryUnaryMethod(
            await self._connected(address, timeout_s),
            method.path,
            method.request,
            method.reply,
        )
        try:
            # A timeout scope costs no task, as waiting for one would.
            async with asyncio.timeout(timeout_s):
                return await stub(message)
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    async def call_frames(
        self,
        address: str,
        method: Method,
        message: Any,
        take: Callable[[Any], None],
        *,
        timeout_s: float,
    ) -> None:
        """Call ``method`` and give each frame's body to ``take``.

        :raises NotSentError: when no connection could be made.
        :raises UnreachableError: when the frames broke off or were late.
        """
        stub = UnaryStreamMethod(
            await self._connected(address, timeout_s),
            method.path,
            method.request,
            method.reply,
        )
        try:
            async with asyncio.timeout(timeout_s), stub.open() as stream:
                await stream.send_message(message, end=True)
                async for received in stream:
                    take(received.body)
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    async def stream(
        self,
        address: str,
        method: Method,
        source: asyncio.Queue[Any],
    ) -> None:
        """Send all that comes from ``source`` until the connection breaks.

        :raises UnreachableError: when it does.
        """
        stub = StreamUnaryMethod(
            await self._connected(address, CONNECT_S),
            method.path,
            method.request,
            method.reply,
        )
        try:
            async with stub.open() as stream:
                while True:  # noqa: WPS457 - ends with the connection
                    await self._pass_on(stream, address, await source.get())
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()

    async def _pass_on(self, stream: Any, address: str, message: Any) -> None:
        if not self.node.drill.drops(address):
            await stream.send_message(message)

    async def _connected(self, address: str, timeout_s: float) -> Channel:
        channel = self._channel(address)
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_S)):
                protocol = await channel.__connect__()
        except CALL_ERRORS as error:
            raise NotSentError(f'{address}: {type(error).__name__} {error}') from None
        if protocol.connection.is_closing():
            # The peer reset it between the handshake and this step.
            raise NotSentError(f'{address}: the connection was closed before it was used')
        if self.tuned.get(address) is not protocol:
            self.tuned[address] = protocol
            detect_silence(protocol.connection._transport)  # noqa: WPS437 - no public way
        return channel

    def _channel(self, address: str) -> Channel:
        channel = self.channels.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = Channel(host, port, codec=SealedCodec(node=self.node))
            self.channels[address] = channel
        return channel
