"""Forwarding of responses to the client; streams are forwarded event by event."""

from __future__ import annotations

import asyncio
import enum
import logging
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.platform.requests import INTERNAL_RESPONSE_HEADERS
from ringseam.web.bodies import EventSplitter, end_to_end_headers
from ringseam.web.client import ChannelError, EndlessResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.clock import Clock
    from ringseam.gateway.requestcontext import Answered, RequestContext
    from ringseam.web.bodies import Headers
    from ringseam.web.client import HttpChannel, ResponseHead

logger = logging.getLogger(__name__)

#: Another server is sought for a stream after this time without data, seconds: servers pause
#: for a second, and clients disconnect after two seconds or more.
STREAM_SILENCE_S = 1.8
#: Timers may fire this much too early, seconds.
_TIMER_MARGIN_S = 0.001
_STREAM_TYPE = 'text/event-stream'
#: Maximum size of one event; those of language models have some hundred bytes.
MAX_EVENT_BYTES = 2**20


class StreamOutcome(enum.Enum):
    """How the stream of one server ended."""

    complete = 'whole'
    broken = 'broken'
    out_of_order = 'out-of-order'
    #: The stream ended properly without an event, although some events came before it.
    empty = 'empty'
    deadline = 'deadline'
    #: An event had more bytes than one may have.
    endless = 'endless'


def is_stream(head: ResponseHead) -> bool:
    """Return whether a response is an event stream."""
    return head.header('Content-Type').partition(';')[0].strip().lower() == _STREAM_TYPE


def client_headers(head: ResponseHead) -> Headers:
    """Return the headers of a response that are forwarded to the client."""
    return [
        (name, text)
        for name, text in end_to_end_headers(head.headers)
        if name.lower() not in INTERNAL_RESPONSE_HEADERS
    ]


@dataclass(kw_only=True)
class StreamRelay:
    """Forward events in order; one relay serves all tries of a client request."""

    context: RequestContext
    clock: Clock
    #: Number of the last event that was forwarded; initially the client's Last-Event-Id.
    last_event: int | None
    started: bool = False
    events: int = 0
    first_event_at: float = 0
    last_event_at: float = 0
    #: The longest pause between two events, seconds.
    longest_gap: float = 0
    rest: bytes = b''
    #: Events of the current server's stream, including a repetition of the last one.
    events_of_server: int = 0
    #: Whether the last stream was empty, which doesn't show that no event is missing.
    is_end_unconfirmed: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    #: Bytes of an incomplete event, counted for the connection to the server.
    held_bytes: int = 0
    #: What the server sent too much of, if the outcome is ``endless``.
    endless_detail: str = ''
    #: Called once, on the first event: the server has all its inputs then.
    on_first_event: Callable[[], None] = lambda: None
    #: Since when the relay has waited for a server, on the clock of the event loop; infinite: it
    #: doesn't.
    waiting_since: float = math.inf
    silence_timer: asyncio.TimerHandle | None = None
    #: Called for each chunk of a stream.
    on_chunk: Callable[[], None] = lambda: None
    #: Called when there has been no data for a while.
    on_silence: Callable[[], None] = lambda: None
    #: Called with the seconds from the arrival of a chunk until it was forwarded.
    on_forwarded: Callable[[float], None] = lambda latency_s: None

    @property
    def resume_after(self) -> int | None:
        """Return the event after which the next server continues; None: as the client asked.

        After an empty stream the last event is requested once more: if it is repeated and
        the stream ends then, no event is missing.
        """
        if self.is_end_unconfirmed and self.last_event:
            return self.last_event - 1
        return self.last_event if self.started else None

    @property
    def is_waiting(self) -> bool:
        """Return whether the relay waits for data of a server, and not for its client."""
        return math.isfinite(self.waiting_since)

    async def forward(self, answered: Answered) -> StreamOutcome:
        """Forward the events of one server until its stream ends."""
        self.splitter = EventSplitter()
        self.held_bytes = 0
        self.events_of_server = 0
        if not self.started:
            self.started = True
            self.context.exchange.start(answered.head.status, client_headers(answered.head))
        self.context.exchange.source = answered.channel
        self._watch_silence()
        try:
            return await self._forward_events(answered.channel)
        except asyncio.TimeoutError:
            return StreamOutcome.deadline
        except EndlessResponseError as error:
            self.endless_detail = str(error)
            return StreamOutcome.endless
        except ChannelError as error:
            logger.debug('stream aborted by the server: %s', error)
            return StreamOutcome.broken
        finally:
            self._stop_waiting()
            self._leave(answered.channel)

    async def _forward_events(self, channel: HttpChannel) -> StreamOutcome:
        in_order = True
        while in_order:
            chunk = await self._read_chunk(channel)
            self.on_chunk()
            if chunk is None:
                return self._outcome_at_end()
            in_order = await self._forward_chunk(chunk)
            self._hold_remainder(channel)
            self.on_forwarded(asyncio.get_running_loop().time() - channel.received_at)
        return StreamOutcome.out_of_order

    def _leave(self, channel: HttpChannel) -> None:
        channel.count_held(-self.held_bytes)
        self.context.exchange.source = None

    def _hold_remainder(self, channel: HttpChannel) -> None:
        """Count what is held of an incomplete event.

        :raises EndlessResponseError: if it is too large.
        """
        held_bytes = len(self.splitter.remainder)
        channel.count_held(held_bytes - self.held_bytes)
        self.held_bytes = held_bytes
        if held_bytes > MAX_EVENT_BYTES:
            raise channel.fail_endless(f'an event of {held_bytes} bytes')

    async def _read_chunk(self, channel: HttpChannel) -> bytes | None:
        self.waiting_since = asyncio.get_running_loop().time()
        # What is ready is forwarded even if its client is slow and the deadline has passed.
        async with asyncio.timeout(max(0, self.context.deadline - self.clock.now())):
            chunk = await channel.read_chunk()
        self.waiting_since = math.inf
        return chunk

    def _stop_waiting(self) -> None:
        self.waiting_since = math.inf
        if self.silence_timer is not None:
            self.silence_timer.cancel()

    def _watch_silence(self) -> None:
        """Call ``on_silence`` whenever a server has sent nothing for so long."""
        loop = asyncio.get_running_loop()
        left_s = STREAM_SILENCE_S - self._silence_s()
        if left_s <= _TIMER_MARGIN_S:
            # What has arrived while the process was late is read first.
            loop.call_soon(self._suspect)
            left_s = STREAM_SILENCE_S
        self.silence_timer = loop.call_later(left_s, self._watch_silence)

    def _suspect(self) -> None:
        if self._silence_s() >= STREAM_SILENCE_S - _TIMER_MARGIN_S:
            self.on_silence()

    def _silence_s(self) -> float:
        """Return how long the relay has waited for data of a server, seconds."""
        if not self.is_waiting:
            return 0
        return asyncio.get_running_loop().time() - self.waiting_since

    def _outcome_at_end(self) -> StreamOutcome:
        if self.splitter.remainder:
            return StreamOutcome.broken
        # A server that skips the last event ends its stream like one that has none left.
        self.is_end_unconfirmed = bool(self.last_event) and not self.events_of_server
        return StreamOutcome.empty if self.is_end_unconfirmed else StreamOutcome.complete

    def _record_event_time(self, now: float) -> None:
        if self.first_event_at:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        else:
            self.first_event_at = now
            self.on_first_event()
        self.last_event_at = now

    async def _forward_chunk(self, chunk: bytes) -> bool:
        """Forward the complete events in ``chunk``; return False if one is out of order."""
        forwarded = []
        in_order = True
        for event in self.splitter.feed(chunk):
            in_order = self._is_next(event.number)
            if not in_order:
                break
            self.events_of_server += 1
            if event.number is None or event.number != self.last_event:
                forwarded.append(event.raw)
                self.last_event = self.last_event if event.number is None else event.number
        if forwarded:
            self.events += len(forwarded)
            self._record_event_time(self.clock.now())
            await self.context.exchange.send(b''.join(forwarded))
        return in_order

    def _is_next(self, number: int | None) -> bool:
        """Return whether an event is the next one or repeats the last one."""
        if number is None or self.last_event is None:
            return True
        return self.last_event <= number <= self.last_event + 1
