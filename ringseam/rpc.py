"""Typed RPC between processes: grpclib with authenticated msgpack envelopes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any, NoReturn

import msgspec
from grpclib.client import (
    StreamStreamMethod,
    StreamUnaryMethod,
    UnaryStreamMethod,
    UnaryUnaryMethod,
)
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from ringseam.channels import CALL_ERRORS, SILENCE_S, ChannelPool
from ringseam.envelopes import AuthenticatedCodec, ReceivedMessage
from ringseam.errors import StrangerError, UnreachableError
from ringseam.events import Event
from ringseam.ids import split_address
from ringseam.messages import Empty
from ringseam.multiplex import MULTIPLEX_PATH, ClientMultiplexer, FrameBatch, ServerMultiplexer
from ringseam.util.tasks import TaskSet, cancellation_requests

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from grpclib.client import Stream as ClientStream
    from grpclib.server import Stream

    from ringseam.channels import MonitoredChannel
    from ringseam.node import Node

    #: Handles one request and returns the reply.
    RequestHandler = Callable[['ReceivedMessage'], Awaitable[Any]]
    #: Sends one message of a streamed reply.
    FrameSender = Callable[[Any], Awaitable[None]]
    #: Handles one request and streams the reply.
    StreamHandler = Callable[['ReceivedMessage', FrameSender], Awaitable[None]]

logger = logging.getLogger(__name__)

_DROPPED_CALL_HANG_S = 60
#: A silent channel is deaf if nothing arrives over it for this long after its peer has answered
#: on another one, seconds; a round trip takes milliseconds.
_DEAF_CHECK_INTERVAL_S = 0.5


class Method(msgspec.Struct, frozen=True):
    """An RPC method: its path, and the types of its requests and replies."""

    path: str
    request: Any
    reply: Any
    #: Whether its calls to a process share one stream with other multiplexed calls.
    multiplexed: bool = False


#: No peer has this method, which all of them say at once.
_PROBE = Method('', Empty, Empty, multiplexed=True)


class CallServer:
    """Serve typed methods; refuse messages that fail authentication."""

    def __init__(self, *, node: Node) -> None:
        """Serve on the address of ``node``."""
        self.node = node
        self.grpc_handlers: dict[str, Handler] = {}
        #: Request type and handler of multiplexed methods by path.
        self.handlers: dict[str, tuple[Any, RequestHandler]] = {}
        self.server: Server | None = None

    def add(
        self,
        method: Method,
        handle: RequestHandler,
    ) -> None:
        """Serve a unary method with ``handle``."""
        if method.multiplexed:
            self._add_multiplexed(method, handle)
            return

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            await self._serve(stream, handle)

        self.grpc_handlers[method.path] = Handler(
            serve,
            Cardinality.UNARY_UNARY,
            method.request,
            method.reply,
        )

    def add_client_stream(
        self,
        method: Method,
        on_request: Callable[[ReceivedMessage], None],
    ) -> None:
        """Serve a client-streaming method; ``on_request`` gets each request."""

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            try:
                async for received in stream:
                    self._handle_unless_dropped(received, on_request)
            except StrangerError as error:
                self._refuse(error)
            await stream.send_message(Empty())

        self.grpc_handlers[method.path] = Handler(
            serve,
            Cardinality.STREAM_UNARY,
            method.request,
            method.reply,
        )

    def add_server_stream(
        self,
        method: Method,
        handle: StreamHandler,
    ) -> None:
        """Serve a server-streaming method."""

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            try:
                received = await stream.recv_message()
            except StrangerError as error:
                self._refuse(error)
            if received is not None:
                await handle(received, stream.send_message)

        self.grpc_handlers[method.path] = Handler(
            serve,
            Cardinality.UNARY_STREAM,
            method.request,
            method.reply,
        )

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib expects them."""
        return self.grpc_handlers

    async def start(self) -> None:
        """Start listening; port 0 is replaced by the port that the system assigned."""
        host, port = split_address(self.node.address)
        self.server = Server([self], codec=AuthenticatedCodec(node=self.node))
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

    def _add_multiplexed(self, method: Method, handle: RequestHandler) -> None:
        self.handlers[method.path] = (method.request, handle)

        async def serve(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
            multiplexer = ServerMultiplexer(handlers=self.handlers, drops=self.node.drill.drops)
            try:
                await multiplexer.run(stream)
            except StrangerError as error:
                self._refuse(error)

        self.grpc_handlers[MULTIPLEX_PATH] = Handler(
            serve,
            Cardinality.STREAM_STREAM,
            FrameBatch,
            FrameBatch,
        )

    async def _serve(
        self,
        stream: Stream[Any, Any],
        handle: RequestHandler,
    ) -> None:
        try:
            received = await stream.recv_message()
        except StrangerError as error:
            self._refuse(error)
        if received is None:
            return
        if self.node.drill.drops(received.address):
            await asyncio.sleep(_DROPPED_CALL_HANG_S)
            return
        try:
            reply = await handle(received)
        except asyncio.CancelledError:
            if cancellation_requests():
                raise
            raise GRPCError(Status.ABORTED, 'cancelled') from None
        await stream.send_message(reply)

    def _handle_unless_dropped(
        self, received: ReceivedMessage, on_request: Callable[[ReceivedMessage], None]
    ) -> None:
        if not self.node.drill.drops(received.address):
            on_request(received)

    def _refuse(self, error: StrangerError) -> NoReturn:
        self.node.events.emit(logger, Event.stranger_refused, detail=str(error))
        raise GRPCError(Status.PERMISSION_DENIED, 'refused') from None


class CallClient:
    """Call typed methods over one channel per address, opened on demand."""

    def __init__(self, *, node: Node) -> None:
        """Call as ``node``."""
        self.node = node
        self.channels = ChannelPool(node=node)
        self.channels.on_replaced = self._watch_replaced
        #: Multiplexed streams by address.
        self.multiplexers: dict[str, ClientMultiplexer] = {}
        self.tasks = TaskSet()

    async def call(
        self,
        address: str,
        method: Method,
        message: Any,
        *,
        timeout_s: float,
    ) -> ReceivedMessage:
        """Call a unary method at ``address``.

        :raises NotSentError: when no connection could be made.
        :raises UnreachableError: when no complete and authentic reply arrived in time.
        """
        if self.node.drill.drops(address):
            await asyncio.sleep(timeout_s)
            raise UnreachableError(f'{address} is cut off by a drill')
        if method.multiplexed:
            return await self._call_multiplexed(address, method, message, timeout_s)
        channel = await self.channels.connect(address, timeout_s)
        stub = UnaryUnaryMethod(channel, method.path, method.request, method.reply)
        try:
            # A timeout scope avoids the cost of a separate task for each call.
            async with self.channels.in_use(address, channel), asyncio.timeout(timeout_s):
                return await stub(message)
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    async def call_server_stream(
        self,
        address: str,
        method: Method,
        message: Any,
        on_message: Callable[[Any], None],
        *,
        timeout_s: float,
    ) -> None:
        """Call a server-streaming method and pass the body of each message to ``on_message``.

        :raises NotSentError: when no connection could be made.
        :raises UnreachableError: when the stream broke or timed out.
        """
        channel = await self.channels.connect(address, timeout_s)
        stub = UnaryStreamMethod(channel, method.path, method.request, method.reply)
        used = self.channels.in_use(address, channel)
        try:
            async with used, asyncio.timeout(timeout_s), stub.open() as stream:
                await stream.send_message(message, end=True)
                async for received in stream:
                    on_message(received.body)
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    async def call_client_stream(
        self,
        address: str,
        method: Method,
        source: asyncio.Queue[Any],
    ) -> None:
        """Send all messages from ``source`` until the connection breaks.

        :raises UnreachableError: when the connection breaks.
        """
        try:
            async with self._open_stream(address, method) as stream:
                while True:  # noqa: WPS457 - ends with the connection
                    await self._send_unless_dropped(stream, address, await source.get())
        except CALL_ERRORS as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None

    def close(self) -> None:
        """Close all channels."""
        self.channels.close()

    @contextlib.asynccontextmanager
    async def _open_stream(
        self, address: str, method: Method
    ) -> AsyncIterator[ClientStream[Any, Any]]:
        """Open a stream of messages to the peer on a channel of its own."""
        async with self.channels.connect_for_stream(address) as channel:
            stub = StreamUnaryMethod(channel, method.path, method.request, method.reply)
            async with stub.open() as stream:
                yield stream

    async def _call_multiplexed(
        self,
        address: str,
        method: Method,
        message: Any,
        timeout_s: float,
    ) -> ReceivedMessage:
        ends_at = asyncio.get_running_loop().time() + timeout_s
        multiplexer = await self._multiplexer(address, timeout_s)
        try:
            async with (
                self.channels.in_use(address, multiplexer.channel),
                asyncio.timeout_at(ends_at),
            ):
                received, frame = await multiplexer.call(method.path, message)
            body = msgspec.msgpack.decode(frame.body, type=method.reply)
        except (asyncio.TimeoutError, msgspec.MsgspecError) as error:
            detail = f'{method.path} at {address}: {type(error).__name__} {error}'
            raise UnreachableError(detail) from None
        return ReceivedMessage(
            received.sender,
            received.address,
            received.group,
            received.revision,
            body,
        )

    async def _multiplexer(self, address: str, timeout_s: float) -> ClientMultiplexer:
        """Return the open multiplexer to ``address``; open one if necessary.

        :raises NotSentError: when no connection could be made.
        """
        multiplexer = self._open_multiplexer(address)
        if multiplexer is not None:
            return multiplexer
        channel = await self.channels.connect(address, timeout_s)
        # Another call may have opened a stream while this one was connecting.
        multiplexer = self._open_multiplexer(address)
        if multiplexer is None:
            multiplexer = ClientMultiplexer(channel=channel)
            self.multiplexers[address] = multiplexer
            self.tasks.spawn(self._run_multiplexer(address, multiplexer))
            self.tasks.spawn(self._probe_at_intervals(address, multiplexer))
        return multiplexer

    def _open_multiplexer(self, address: str) -> ClientMultiplexer | None:
        multiplexer = self.multiplexers.get(address)
        if multiplexer is None or multiplexer.closed_reason:
            return None
        is_current = self.channels.by_address.get(address) is multiplexer.channel
        return multiplexer if is_current else None

    async def _run_multiplexer(self, address: str, multiplexer: ClientMultiplexer) -> None:
        stub = StreamStreamMethod(multiplexer.channel, MULTIPLEX_PATH, FrameBatch, FrameBatch)
        detail = 'the stream ended'
        try:
            async with stub.open() as stream:
                await stream.send_request()
                await multiplexer.run(stream)
        except CALL_ERRORS as error:
            detail = f'{type(error).__name__} {error}'
        finally:
            multiplexer.fail(f'{address}: {detail}')

    def _watch_replaced(self, address: str, channel: MonitoredChannel) -> None:
        multiplexer = self.multiplexers.get(address)
        if multiplexer is not None and multiplexer.channel is channel and multiplexer.pending:
            self.tasks.spawn(self._fail_if_deaf(address, multiplexer))

    async def _fail_if_deaf(self, address: str, multiplexer: ClientMultiplexer) -> None:
        """Fail the calls on a replaced channel once its peer answers on the new one only.

        Until then the peer may be suspended, and answer them later.
        """
        asked_at = self.node.clock.now()
        multiplexer.probe()
        is_peer_alive = False
        while multiplexer.pending and multiplexer.channel.received_at < asked_at:
            if is_peer_alive:
                multiplexer.fail(f'{address}: the channel is silent, its peer answers on another')
                return
            await self._probe(address)
            current = self.channels.by_address.get(address)
            is_peer_alive = current is not None and current.received_at >= asked_at
            # The replies on both channels may be on their way.
            await asyncio.sleep(_DEAF_CHECK_INTERVAL_S)

    async def _probe_at_intervals(self, address: str, multiplexer: ClientMultiplexer) -> None:
        """Let a channel be replaced that falls silent while calls wait on it for long."""
        while self._open_multiplexer(address) is multiplexer:
            await asyncio.sleep(SILENCE_S)
            silent_s = self.node.clock.now() - multiplexer.channel.received_at
            if multiplexer.pending and silent_s >= SILENCE_S:
                await self._probe(address)

    async def _probe(self, address: str) -> None:
        """Make a call that a responsive peer of any version answers at once."""
        with contextlib.suppress(UnreachableError):
            await self._call_multiplexed(address, _PROBE, Empty(), SILENCE_S)

    async def _send_unless_dropped(self, stream: Any, address: str, message: Any) -> None:
        if not self.node.drill.drops(address):
            await stream.send_message(message)
