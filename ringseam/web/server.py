"""An asynchronous HTTP/1.1 server.

The body of a request is received completely before its handler starts. When a
client closes its connection, the task of the handler is cancelled immediately.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import boottime
from ringseam.web.acceptor import Acceptor, has_request
from ringseam.web.accounting import Acceptance, CloseReason, HttpAccounting
from ringseam.web.bodypolicy import KeepBodies
from ringseam.web.connection import HttpConnection
from ringseam.web.loopshares import LoopShares

if TYPE_CHECKING:
    import socket

    from ringseam.web.bodypolicy import BodyPolicy
    from ringseam.web.exchange import Handler

#: Default maximum size of the request line, and of the header fields.
DEFAULT_MAX_HEADER_BYTES = 16_384
#: Default maximum size of a request body.
DEFAULT_MAX_BODY_BYTES = 4_194_304
#: Time that clients have to read the rest of their responses when the server closes, and the
#: interval of looking. A stop that has more time waits before it closes the server.
_CLOSE_FLUSH_S = 0.3
_FLUSH_POLL_S = 0.01
#: Bytes read at once from a connection, and while others wait for their turn: all connections may
#: be read before the next turn.
_RECEIVE_BYTES = 65_536
_RECEIVE_BUSY_BYTES = 4096
#: Work on the requests of all connections before other events are handled, microseconds.
_TURN_US = 4000.0
#: Work of a turn beside that of its requests, microseconds: a read, and the pause until the next.
_READ_US = 60.0
#: Interval of looking after requests that wait for memory and connections that are read slowly,
#: and time that such a request may wait, seconds.
_CHECK_INTERVAL_S = 0.05
_MEMORY_PATIENCE_S = 1.0
#: A request of which nothing arrives for this time makes room for those that wait, seconds.
_STALLED_S = 0.5
#: A connection with a served request may be closed to make room for another one after this share
#: of the idle timeout.
_IDLE_SHARE = 0.8
#: Connections beyond the bound of a listener that answers anyone, whose request has arrived.
_MAX_EXTRA = 64
#: Number of candidates that are compared when one of them makes room.
_COMPARED = 32


@dataclass(kw_only=True)
class HttpLimits:
    """Limits for client connections.

    ``header_timeout_s`` runs from the first byte of a request until it is received
    completely, including its body, while the server waits for the client.
    """

    header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


class HttpServer:  # noqa: WPS214, WPS230 - one listener and its connections
    """An HTTP server that passes each exchange to a handler."""

    def __init__(
        self,
        *,
        handler: Handler,
        limits: HttpLimits,
        accounting: HttpAccounting | None = None,
        body_policy: BodyPolicy | None = None,
    ) -> None:
        """Create a server; ``limits`` may be changed while it runs.

        :param body_policy: what becomes of bodies; by default handlers get all.
        """
        self.handler = handler
        self.limits = limits
        self.accounting = accounting or HttpAccounting()
        self.body_policy = body_policy or KeepBodies()
        self.connections: set[HttpConnection] = set()
        #: How many of these are refused.
        self.refused = 0
        #: Connections whose requests wait for memory, those that are read slowly, those without
        #: a served request and the idle ones with one; in the order in which they became so.
        self.waiting: dict[HttpConnection, None] = {}
        self.slowed: dict[HttpConnection, None] = {}
        self.unproven: dict[HttpConnection, None] = {}
        self.idle: dict[HttpConnection, None] = {}
        #: What is received is parsed by connection, complete requests are handled by flow; each
        #: has a part of the loop, so that much of one doesn't keep the other waiting.
        self.parsing: LoopShares[HttpConnection] = LoopShares(turn_us=_TURN_US)
        self.handling: LoopShares[HttpConnection] = LoopShares(turn_us=_TURN_US)
        self.is_turn_scheduled = False
        self.is_check_scheduled = False
        #: All connections read into this buffer, one after the other.
        self.receive_buffer = memoryview(bytearray(_RECEIVE_BYTES))
        #: Number of requests that are being handled.
        self.active = 0
        #: Whether responses ask clients to close the connection.
        self.closing = False
        self.acceptor = Acceptor(admit=self.admit_socket)

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the bound port."""
        return self.acceptor.start(host, port)

    @property
    def client_count(self) -> int:
        """Return the number of open connections that are not refused."""
        return len(self.connections) - self.refused

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        self.acceptor.close()

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

    # -- called by connections ------------------------------------------------

    def admit_socket(self, sock: socket.socket) -> HttpConnection | None:
        """Decide on a new connection; None: it is closed."""
        connection = HttpConnection(server=self)
        acceptance = self.admit(connection)
        if acceptance is Acceptance.refuse:
            connection.is_refused = True
            self.refused += 1
        if acceptance is not Acceptance.close:
            return connection
        if self.accounting.answers_anyone and self._may_answer(sock):
            connection.is_last = True
            return connection
        self.forget(connection)
        return None

    def admit(self, connection: HttpConnection) -> Acceptance:
        """Register a new connection, and decide on it."""
        self.connections.add(connection)
        self.unproven[connection] = None
        acceptance = self.accounting.accept(self.client_count, self.refused)
        if acceptance is Acceptance.accept or not self._make_room(connection):
            return acceptance
        return self.accounting.accept(self.client_count, self.refused)

    def forget(self, connection: HttpConnection) -> None:
        """Forget a connection that is closed."""
        if connection not in self.connections:
            return
        self.connections.discard(connection)
        self.refused -= connection.is_refused
        for members in (self.waiting, self.slowed, self.unproven, self.idle):
            members.pop(connection, None)

    def register_idle(self, connection: HttpConnection) -> None:
        """Record that a connection has no request."""
        members = self.idle if connection.is_proven else self.unproven
        members[connection] = None

    def next_buffer(self) -> memoryview:
        """Return the buffer for what is read next."""
        if self.parsing.may_work_now():
            return self.receive_buffer
        return self.receive_buffer[:_RECEIVE_BUSY_BYTES]

    def give_turn(self, connection: HttpConnection) -> None:
        """Let a connection parse what it has received, at once or in its turn."""
        if connection.awaits_turn:
            return
        if self.parsing.may_work_now():
            self.parsing.begin(connection.finished_us)
            self._work(connection)
        else:
            self.queue_turn(connection)

    def queue_turn(self, connection: HttpConnection) -> None:
        """Let a connection parse what it has received in a later turn."""
        if not connection.awaits_turn:
            connection.awaits_turn = True
            estimate_us = connection.receiver.estimate_us
            self.parsing.wait(connection, connection.finished_us, estimate_us)
            self._schedule_turn()

    def may_handle_now(self, work_us: float) -> bool:
        """Return whether a complete request may be handled at once; if so, its work is counted."""
        if not self.handling.may_work_now():
            return False
        self.handling.begin(0)
        self.handling.charge(work_us)
        self._schedule_turn()
        return True

    def queue_request(self, connection: HttpConnection, flow: str, work_us: float) -> None:
        """Let a complete request be handled in a later turn, behind others of its flow."""
        self.unproven.pop(connection, None)
        self.handling.wait_in_flow(connection, flow, work_us)
        self._schedule_turn()

    def add_waiting(self, connection: HttpConnection) -> None:
        """Look after a request that waits for memory."""
        self.waiting[connection] = None
        self._schedule_check()

    def add_slowed(self, connection: HttpConnection) -> None:
        """Go on to read a connection slowly."""
        self.slowed[connection] = None
        self._schedule_check()

    def check(self) -> None:
        """Go on with the requests that fit now, refuse late ones, and read slowed connections."""
        now = boottime()
        if self.waiting:
            self._close_stalled(now)
        for connection in sorted(self.waiting, key=_order_of_waiting):
            connection.receiver.check(now, _MEMORY_PATIENCE_S)
        for slowed in list(self.slowed):
            slowed.receiver.resume()

    # -- helpers --------------------------------------------------------------

    def _may_answer(self, sock: socket.socket) -> bool:
        """Return whether a connection beyond the bound may be answered and closed at once."""
        extra = self.client_count - self.accounting.max_connections
        return extra <= _MAX_EXTRA and has_request(sock)

    def _make_room(self, newcomer: HttpConnection) -> bool:
        """Close the connection that is of least use; return whether there was one."""
        connection = self._least_useful(newcomer)
        if connection is None:
            return False
        self.accounting.record_closed(connection, CloseReason.idle)
        self.forget(connection)
        connection.abort()
        return True

    def _least_useful(self, newcomer: HttpConnection) -> HttpConnection | None:
        """Return an old connection without a served request, or one that is idle for long."""
        begun_until = boottime() - self.accounting.unproven_s
        oldest = [
            connection
            for connection in itertools.islice(self.unproven, _COMPARED)
            if connection.connected_at <= begun_until and connection is not newcomer
        ]
        if oldest:
            # Those that have sent least come first; the oldest of them.
            return min(oldest, key=_progress_of)
        if self.accounting.answers_anyone and not self.unproven.keys() - {newcomer}:
            return max(self.connections - {newcomer}, key=_work_of, default=None)
        longest = next(iter(self.idle), None)
        if longest is None:
            return None
        idle_s = asyncio.get_running_loop().time() - longest.idle_since
        return longest if idle_s >= _IDLE_SHARE * self.limits.idle_timeout_s else None

    def _work(self, connection: HttpConnection) -> None:
        work_us = _READ_US + connection.receiver.advance()
        connection.finished_us = self.parsing.charge(work_us)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Let connections work in the order of their shares, until the turn is over."""
        self.is_turn_scheduled = False
        self.handling.begin_turn()
        self.parsing.begin_turn()
        self._handle_some()
        self._parse_some()
        if self.handling.waiting or self.parsing.waiting:
            self._schedule_turn()

    def _handle_some(self) -> None:
        connection = self.handling.next_member()
        while connection is not None:
            self.handling.charge(connection.receiver.handle())
            connection = self.handling.next_member()

    def _parse_some(self) -> None:
        connection = self.parsing.next_member()
        while connection is not None:
            connection.awaits_turn = False
            if not connection.is_closing:
                self._work(connection)
            connection = self.parsing.next_member()

    def _schedule_check(self) -> None:
        if not self.is_check_scheduled:
            self.is_check_scheduled = True
            asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check_again)

    def _check_again(self) -> None:
        self.is_check_scheduled = False
        self.check()
        if self.waiting or self.slowed:
            self._schedule_check()

    def _close_stalled(self, now: float) -> None:
        """Reject the requests that hold memory and of which nothing arrives."""
        for connection in list(self.connections):
            connection.receiver.reject_if_stalled(now, _STALLED_S)

    async def _wait_until_written(self) -> None:
        """Wait until clients have been sent what is buffered for them, for a short time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + _CLOSE_FLUSH_S
        while loop.time() < ends_at and any(left.unsent_bytes for left in self.connections):
            await asyncio.sleep(_FLUSH_POLL_S)


def _order_of_waiting(connection: HttpConnection) -> tuple[bool, int]:
    """Return the order in which requests get memory: small ones of known clients first."""
    return not connection.is_proven, connection.receiver.held_bytes


def _work_of(connection: HttpConnection) -> float:
    return connection.finished_us


def _progress_of(connection: HttpConnection) -> tuple[bool, int]:
    """Return how much of a request has arrived: nothing, a part of the head, or of the body."""
    receiver = connection.receiver
    return receiver.has_begun, receiver.parser.body_size
