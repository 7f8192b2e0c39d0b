"""Calls that share one stream between two processes.

A unary call costs headers, trailers and a task on both sides, 1 ms of processor for both.
As frames on one stream that stays open it costs 0.4 ms, one call after the other, and less
the more there are: frames that come while one is being sent leave together.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.messages import Message

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from grpclib.client import Stream as ClientStream
    from grpclib.server import Stream as ServerStream

    #: Answers one call.
    RequestHandler = Callable[[ReceivedMessage], Awaitable[Any]]
    #: The envelope of what answers a call, and its frame.
    Answer = tuple[ReceivedMessage, 'Frame']

logger = logging.getLogger(__name__)

MULTIPLEX_PATH = '/ringseam.Calls/Multiplex'


class FrameKind(enum.IntEnum):
    """What a frame says of its call."""

    call = 0
    cancel = 1
    reply = 2
    #: The call was not answered; the body tells why.
    failure = 3


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One step of one call; ``number`` tells the calls of a stream apart."""

    number: int
    kind: FrameKind
    #: The method of a call.
    path: str = ''
    #: The encoded request or reply.
    body: bytes = b''


class Frames(Message, frozen=True, kw_only=True):
    """Frames that leave together."""

    frames: tuple[Frame, ...]


class Outbox:
    """Frames that wait to be sent; those that gather meanwhile leave together."""

    def __init__(self) -> None:
        """Begin empty."""
        self.frames: list[Frame] = []
        self.filled = asyncio.Event()

    def put(self, frame: Frame) -> None:
        """Let a frame leave soon."""
        self.frames.append(frame)
        self.filled.set()

    async def send_all(self, send: Callable[[Frames], Awaitable[None]]) -> None:
        """Send whatever comes until the stream breaks or this is cancelled."""
        while True:  # noqa: WPS457 - ends with the stream
            await self.filled.wait()
            self.filled.clear()
            frames, self.frames = self.frames, []
            await send(Frames(frames=tuple(frames)))


class ClientMultiplexer:
    """The calling side of one stream: who waits for which call."""

    def __init__(self) -> None:
        """Begin without calls."""
        self.outbox = Outbox()
        self.numbers = itertools.count()
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        #: Why no call can be made any more; empty: they can.
        self.closed_reason = ''

    async def call(self, path: str, message: Any) -> Answer:
        """Return the envelope and the frame that answer a call.

        :raises UnreachableError: when the stream breaks or the call fails there.
        """
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        body = msgspec.msgpack.encode(message)
        self.outbox.put(Frame(number, FrameKind.call, path, body))
        try:
            received, frame = await future
        except (asyncio.CancelledError, asyncio.TimeoutError):
            self.outbox.put(Frame(number, FrameKind.cancel))
            raise
        finally:
            self.waiting.pop(number, None)
        if frame.kind is FrameKind.failure:
            raise UnreachableError(f'{path}: {frame.body.decode()}')
        return received, frame

    async def run(self, stream: ClientStream[Any, Any]) -> None:
        """Send calls and take replies until the stream ends."""
        sender = asyncio.ensure_future(self.outbox.send_all(stream.send_message))
        try:
            async for received in stream:
                self._take(received)
        finally:
            sender.cancel()

    def fail(self, detail: str) -> None:
        """Fail all calls that wait, and those to come."""
        self.closed_reason = detail
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(UnreachableError(detail))

    def _take(self, received: ReceivedMessage) -> None:
        for frame in received.body.frames:
            future = self.waiting.get(frame.number)
            if future is not None and not future.done():
                future.set_result((received, frame))


class ServerMultiplexer:
    """The answering side of one stream: the calls in progress."""

    def __init__(
        self,
        *,
        handlers: Mapping[str, tuple[Any, RequestHandler]],
        drops: Callable[[str], bool],
    ) -> None:
        """Answer by ``handlers``: the request's type and what answers, by path.

        :param drops: whether what comes from an address is to be ignored.
        """
        self.handlers = handlers
        self.drops = drops
        self.outbox = Outbox()
        self.running: dict[int, asyncio.Task[Any]] = {}

    async def run(self, stream: ServerStream[Any, Any]) -> None:
        """Answer calls until the stream ends; then nobody waits for the others."""
        sender = asyncio.ensure_future(self.outbox.send_all(stream.send_message))
        try:
            async for received in stream:
                if not self.drops(received.address):
                    self._take(received)
        finally:
            sender.cancel()
            for task in self.running.values():
                task.cancel()

    def _take(self, received: ReceivedMessage) -> None:
        for frame in received.body.frames:
            if frame.kind is FrameKind.call:
                self._start(received, frame)
                continue
            cancelled = self.running.get(frame.number)
            if cancelled is not None:
                cancelled.cancel()

    def _start(self, received: ReceivedMessage, frame: Frame) -> None:
        if frame.path not in self.handlers:
            self._fail(frame.number, 'no such method')
            return
        kind, handle = self.handlers[frame.path]
        try:
            body = msgspec.msgpack.decode(frame.body, type=kind)
        except msgspec.MsgspecError as error:
            self._fail(frame.number, f'malformed request: {error}')
            return
        request = ReceivedMessage(
            received.sender,
            received.address,
            received.group,
            received.revision,
            body,
        )
        task = asyncio.ensure_future(handle(request))
        self.running[frame.number] = task
        task.add_done_callback(lambda ended: self._finish(frame.number, ended))

    def _finish(self, number: int, task: asyncio.Future[Any]) -> None:
        self.running.pop(number, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.error('a call broke', exc_info=error)
            self._fail(number, type(error).__name__)
            return
        body = msgspec.msgpack.encode(task.result())
        self.outbox.put(Frame(number, FrameKind.reply, '', body))

    def _fail(self, number: int, detail: str) -> None:
        self.outbox.put(Frame(number, FrameKind.failure, '', detail.encode()))
