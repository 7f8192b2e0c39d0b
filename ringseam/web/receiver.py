"""Receiving of the requests of one connection, within time and memory."""

from __future__ import annotations

import enum
import functools
from http import HTTPStatus
from typing import TYPE_CHECKING

from ringseam.clock import boottime
from ringseam.web.accounting import CloseReason
from ringseam.web.clienttime import ClientTime
from ringseam.web.exchange import Request
from ringseam.web.requestbudget import SMALL_BYTES
from ringseam.web.requestparser import Progress, RequestError, RequestParser

if TYPE_CHECKING:
    from ringseam.web.connection import HttpConnection
    from ringseam.web.requestparser import RequestHead

#: Bytes that may follow a request while it is handled.
_MAX_AHEAD_BYTES = 65_536
#: Bytes that are read of a slowed connection at a time: what the system holds of a client that has
#: left is read within half a second.
_SLOWED_BYTES = 524_288
#: What a connection that isn't read counts, bytes: the system keeps about as much for it.
_UNREAD_BYTES = 65_536
#: Memory is reserved for a body of unknown size in steps: the first one, and the factor between.
_FIRST_RESERVED_BYTES = 4096
_RESERVED_FACTOR = 4
#: Fields above which a request is refused without its handler.
_MAX_REFUSED_FIELDS = 256
#: Time after which a client that was refused for lack of memory may return, seconds.
_RETRY_AFTER_S = 1.0
#: Parsed units (fields, chunks, blocks of bytes) after which others have their turn.
_UNITS_PER_TURN = 4096
#: Work of a unit and of handling a request, microseconds.
_UNIT_US = 0.5
_HANDLING_US = 1500.0
#: Work that a received byte makes at most, microseconds: of a head of short fields.
_UNPARSED_BYTE_US = 2.0
#: Received bytes up to this number make little work.
_SHORT_BYTES = 2048
#: Each field is looked at, copied and checked some times while its request is handled.
_FIELD_US = 8.0


class Reading(enum.Enum):
    """What becomes of the bytes that a client sends."""

    parsed = 'parsed'
    #: The request waits for memory.
    waiting = 'waiting'
    #: Too many were sent ahead of a response: they are discarded, slowly, so that the end of the
    #: connection is noticed.
    slowed = 'slowed'
    #: The connection is about to be closed: they are discarded.
    discarded = 'discarded'


class RequestReceiver:  # noqa: WPS230 - protocol state
    """Receive one request after the other; pass each to the connection once it is complete."""

    def __init__(self, *, connection: HttpConnection) -> None:
        """Create a receiver that has received nothing."""
        self.connection = connection
        self.server = connection.server
        self.loop = connection.loop
        self.parser = RequestParser()
        self.reading = Reading.parsed
        self.is_paused = False
        #: Bytes discarded since a slowed connection was last read again.
        self.slowed_bytes = 0
        #: Whether a request has begun to arrive or is handled; when its first byte and its last
        #: part arrived, on the clock of the host.
        self.has_begun = False
        self.started_at: float = 0
        self.progressed_at: float = 0
        self.client_time = ClientTime(loop=self.loop, on_late=self._reject_if_late)
        #: Since when the request has waited for memory, on the clock of the host.
        self.waiting_since: float = 0
        #: Bytes counted for the connection, and those that its request may take.
        self.held_bytes = 0
        self.granted_bytes = 0
        self.is_decided = False
        self.body_limit = 0
        #: Whether the request is complete and waits for its turn to be handled.
        self.is_queued = False

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has begun to arrive and isn't complete."""
        return self.has_begun and self.connection.task is None and not self.is_queued

    @property
    def estimate_us(self) -> float:
        """Return an estimate of the work that the connection has now, microseconds."""
        size = len(self.parser.unparsed)
        return _UNPARSED_BYTE_US * size if size > _SHORT_BYTES else 0

    def receive(self, chunk: bytes) -> None:
        """Take received bytes, and parse them unless a request is handled."""
        if self.reading is Reading.discarded:
            return
        if self.reading is Reading.slowed:
            self.slowed_bytes += len(chunk)
            if self.slowed_bytes >= _SLOWED_BYTES:
                self.slowed_bytes = 0
                self.pause()
            return
        self.parser.receive(chunk)
        if self.connection.task is None and not self.is_queued:
            self._begin()
            self.server.give_turn(self.connection)
            self._limit_unparsed()
        else:
            self._limit_ahead()
        self.count()

    def advance(self) -> float:
        """Parse for one turn; return the work in microseconds."""
        if self.reading is not Reading.parsed or not self.is_receiving:
            return 0
        self.parser.work = 0
        try:
            work_us = self._advance()
        except RequestError as error:
            work_us = _UNIT_US * self.parser.work
            self.connection.reject(error.status, CloseReason.invalid)
        self.count()
        return work_us

    def handle(self) -> float:
        """Have a complete request handled that waited for its turn; return the work in us."""
        if not self.is_queued or self.connection.is_closing:
            return 0
        work_us = _handling_us(self.parser)
        try:
            self._hand_over(is_complete=True)
        except RequestError as error:
            self.connection.reject(error.status, CloseReason.invalid)
        return work_us

    def end_request(self) -> None:
        """Release what is held for the request that was handled."""
        self.parser.start_next()
        self.has_begun = False
        self.granted_bytes = 0
        self.is_decided = False
        self.count()

    def await_next(self) -> None:
        """Receive the next request, of which a part may have arrived."""
        self.resume()
        if self.parser.unparsed:
            self._begin()
            self.server.queue_turn(self.connection)
        self.count()

    def pause(self) -> None:
        """Read no more until :meth:`resume`."""
        self.is_paused = True
        if self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self.is_paused and not self.connection.is_closing:
            self.is_paused = False
            self.connection.transport.resume_reading()

    def discard(self) -> None:
        """Discard all that is received from now on."""
        self._set_reading(Reading.discarded)
        self.is_queued = False
        self.client_time.stop()
        self.parser = RequestParser()
        self.granted_bytes = 0
        self.resume()
        self.count()

    def close(self) -> None:
        """Count nothing any more."""
        self._set_reading(Reading.discarded)
        self.is_queued = False
        self.client_time.stop()
        self.parser = RequestParser()
        self.granted_bytes = 0
        self.count()

    def check(self, now: float, patience_s: float) -> None:
        """Go on with a request that waits for memory if there is some; else refuse it when late."""
        if self.connection.is_closing:
            self._set_reading(Reading.discarded)
        elif self._fits(self._needed_bytes()):
            self._set_reading(Reading.parsed)
            self.granted_bytes = self._needed_bytes()
            self.count()
            self.server.queue_turn(self.connection)
        elif now >= self.waiting_since + patience_s:
            self.refuse()

    def refuse(self) -> None:
        """Let the handler refuse a request that isn't complete.

        A head that is not parsed, for want of memory, is refused without it.
        """
        self._set_reading(Reading.discarded)
        self.parser.drop_unparsed()
        if self.parser.head is None or self.parser.field_count > _MAX_REFUSED_FIELDS:
            headers = [('Retry-After', f'{_RETRY_AFTER_S:g}')]
            self.connection.reject(HTTPStatus.SERVICE_UNAVAILABLE, CloseReason.memory, headers)
            return
        try:
            self._hand_over(is_complete=False)
        except RequestError as error:
            self.connection.reject(error.status, CloseReason.invalid)

    def reject_if_stalled(self, now: float, after_s: float) -> None:
        """Reject a request that holds much if nothing of it has arrived for a while."""
        is_awaited = self.is_receiving and self.client_time.is_running
        holds_much = is_awaited and self.held_bytes > SMALL_BYTES
        if holds_much and now >= self.progressed_at + after_s:
            self.connection.reject(HTTPStatus.REQUEST_TIMEOUT, CloseReason.stalled)

    def count(self) -> None:
        """Count what the connection holds for requests."""
        held = max(self.parser.held_bytes, self.granted_bytes)
        if self.reading is Reading.waiting:
            held += _UNREAD_BYTES
        self.server.accounting.count_request(held - self.held_bytes)
        self.held_bytes = held

    # -- one turn -----------------------------------------------------------------

    def _advance(self) -> float:
        limits = self.server.limits
        step = functools.partial(self.parser.step, header_bytes=limits.header_bytes)
        progress = step(body_bytes=limits.body_bytes)
        if progress is Progress.head:
            if self.connection.is_refused:
                self.refuse()
                return _HANDLING_US
            self._check_length(limits.body_bytes)
            progress = step(body_bytes=self.body_limit)
        while progress is Progress.unfinished and self.parser.work < _UNITS_PER_TURN:
            progress = step(body_bytes=self.body_limit)
        work_us = _UNIT_US * self.parser.work
        if progress is Progress.complete:
            return work_us + self._complete()
        if self.parser.head is not None:
            self._continue_body()
        if self.reading is Reading.parsed:
            self._go_on(progress)
        return work_us

    def _go_on(self, progress: Progress) -> None:
        """Parse the rest in a later turn, or wait for the client."""
        if progress is Progress.unfinished:
            self.client_time.stop()
            self.server.queue_turn(self.connection)
        else:
            self.resume()
            self._await_client()

    def _complete(self) -> float:
        """Pass a complete request on, now or in its turn; return the work of parsing it."""
        if not self._fits(self.parser.request_bytes):
            self._wait()
            return 0
        if self.server.may_handle_now(_handling_us(self.parser)):
            self._hand_over(is_complete=True)
        else:
            self._queue()
        return 0

    def _queue(self) -> None:
        """Let others have their turn before the request is handled."""
        self.is_queued = True
        self.granted_bytes = self.parser.request_bytes
        self.client_time.stop()
        # The end of the connection must be noticed.
        self.resume()
        flow = self.server.body_policy.flow_of(_bodiless_request(self.parser.head, self.started_at))
        self.server.queue_request(self.connection, flow, _handling_us(self.parser))

    def _hand_over(self, *, is_complete: bool) -> None:
        self.is_queued = False
        self.client_time.stop()
        request = self._take_request(is_complete=is_complete)
        if self.is_paused and is_complete:
            self.resume()
        self.count()
        self.connection.start_handler(request)

    def _take_request(self, *, is_complete: bool) -> Request:
        parser = self.parser
        head = parser.head
        body = bytes(parser.body) if is_complete else b''
        # The request has a copy of the body, or does without it.
        parser.body = bytearray()
        self.granted_bytes = parser.request_bytes + len(body)
        return Request(
            method='' if head is None else head.method,
            target='' if head is None else head.target,
            headers=parser.take_headers(),
            body=body,
            arrived=self.started_at,
            is_complete=is_complete,
        )

    # -- limits -------------------------------------------------------------------

    def _begin(self) -> None:
        self.progressed_at = boottime()
        if not self.has_begun:
            self.has_begun = True
            self.started_at = self.progressed_at
            self.client_time.allow(self.server.limits.header_timeout_s)
            self.connection.begin_request()

    def _check_length(self, limit: int) -> None:
        """Limit the size of the body.

        :raises RequestError: if the declared size is larger.
        """
        self.body_limit = limit
        length = self.parser.head.content_length or 0
        if length > limit:
            raise RequestError(
                f'a body of {length} bytes', status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )

    def _continue_body(self) -> None:
        """Decide about a body that is still to come, and reserve memory for it."""
        if not self.is_decided:
            self._decide()
        needed = self._needed_bytes()
        if needed > self.granted_bytes:
            if self._fits(needed):
                self.granted_bytes = needed
            else:
                self._wait()

    def _decide(self) -> None:
        """Decide by the head whether the body is kept, and ask the client for it."""
        self.is_decided = True
        head = self.parser.head
        decision = self.server.body_policy.decide(
            _bodiless_request(self.parser.head, self.started_at)
        )
        self.parser.keeps_body = decision.is_kept
        if decision.is_kept:
            limits = (decision.max_bytes, self.server.accounting.largest_body(), self.body_limit)
            self._check_length(min(filter(None, limits), default=0))
        else:
            self.parser.body = bytearray()
        if head.expects_continue:
            self.connection.send_continue()

    def _needed_bytes(self) -> int:
        """Return what the request needs before more of its body is received."""
        parser = self.parser
        if parser.is_complete:
            return parser.request_bytes
        if parser.head is None or not parser.keeps_body:
            return parser.head_bytes
        length = parser.head.content_length
        if length is not None:
            return parser.head_bytes + length
        reserved = _FIRST_RESERVED_BYTES
        while reserved < len(parser.body) + _FIRST_RESERVED_BYTES:
            reserved *= _RESERVED_FACTOR
        return parser.head_bytes + min(reserved, self.body_limit)

    def _fits(self, size: int) -> bool:
        return self.server.accounting.fits(size, own=self.held_bytes)

    def _wait(self) -> None:
        """Wait for memory, or refuse the request if there is too little even to wait."""
        self.client_time.stop()
        if not self.server.accounting.fits(_UNREAD_BYTES):
            self.refuse()
            return
        self.waiting_since = boottime()
        self._set_reading(Reading.waiting)
        self.pause()

    def _set_reading(self, reading: Reading) -> None:
        self.reading = reading
        if reading is Reading.waiting:
            self.server.add_waiting(self.connection)
        else:
            self.server.waiting.pop(self.connection, None)

    def _limit_unparsed(self) -> None:
        """Read no more while received bytes wait for their turn."""
        if self.connection.awaits_turn:
            self.pause()

    def _limit_ahead(self) -> None:
        """Discard what is sent ahead of a response if it is too much."""
        ahead = len(self.parser.unparsed)
        if ahead <= _MAX_AHEAD_BYTES and self._fits(ahead):
            return
        self.parser.drop_unparsed()
        self.reading = Reading.slowed
        self.pause()
        self.server.add_slowed(self.connection)
        self.connection.is_last = True
        self.server.accounting.record_closed(self.connection, CloseReason.ahead)

    # -- time of the client -------------------------------------------------------

    def _await_client(self) -> None:
        if not self.client_time.is_running:
            self.progressed_at = boottime()
            self.client_time.run()

    def _reject_if_late(self) -> None:
        is_awaited = self.is_receiving and self.reading is Reading.parsed
        is_renewed = self.client_time.is_running or self.connection.awaits_turn
        if is_awaited and not (is_renewed or self.connection.is_closing):
            self.connection.reject(HTTPStatus.REQUEST_TIMEOUT, CloseReason.slow)


def _handling_us(parser: RequestParser) -> float:
    """Return an estimate of the work of handling a complete request, microseconds."""
    return _HANDLING_US + _FIELD_US * parser.field_count


def _bodiless_request(head: RequestHead, arrived: float) -> Request:
    """Return a request as its head tells it."""
    return Request(
        method=head.method, target=head.target, headers=head.headers, body=b'', arrived=arrived
    )
