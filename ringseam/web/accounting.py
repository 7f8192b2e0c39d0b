"""What a server counts of its client connections, and the bounds that it keeps."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from ringseam.web.requestbudget import RequestBudget, largest_body

if TYPE_CHECKING:
    from ringseam.closedclients import ClosedClients
    from ringseam.metrics import Metrics
    from ringseam.web.connection import HttpConnection
    from ringseam.web.exchange import Exchange


class Acceptance(enum.Enum):
    """What becomes of a new connection."""

    accept = 'accept'
    #: Its first request is refused as soon as its head is known.
    refuse = 'refuse'
    #: It is closed at once.
    close = 'close'


class CloseReason(enum.Enum):
    """Why a server closes the connection of a client that doesn't behave."""

    #: The request is invalid or exceeds a limit of size.
    invalid = 'invalid'
    #: The request did not arrive in time.
    slow = 'slow'
    #: The connection made room for others.
    idle = 'idle'
    #: The request stalled while others waited for memory.
    stalled = 'stalled'
    #: There was no memory for the request.
    memory = 'memory'
    #: Too much was sent ahead of the response.
    ahead = 'ahead'


class HttpAccounting:
    """Counts what client connections hold, and bounds what they read; here neither."""

    #: Time that a new connection has for its first request before it may have to make room for
    #: another one, seconds.
    unproven_s: float = 0.1
    #: Number of connections; 0: unbounded, or :meth:`accept` knows it alone.
    max_connections = 0
    #: Whether a connection beyond the bound is answered and closed if its request has arrived,
    #: and the connection that made most work makes room if all have been served.
    answers_anyone = False

    def accept(self, clients: int, refused: int) -> Acceptance:
        """Decide on a new connection.

        :param clients: number of open connections that are not refused, the new one included.
        :param refused: number of those that are refused and not closed yet.
        """
        return Acceptance.accept

    def count_request(self, change: int) -> None:
        """Count a change of the bytes held for requests."""

    def count_response(self, change: int) -> None:
        """Count a change of the bytes of responses that clients have not read."""

    def fits(self, size: int, own: int = 0) -> bool:
        """Return whether a request of ``size`` bytes may be held.

        :param own: how many of them are counted already.
        """
        return True

    def largest_body(self) -> int:
        """Return the size above which a body never fits; 0: there is none."""
        return 0

    def record_cancelled(self, exchange: Exchange) -> None:
        """Record that a handler ended without a response although its client is connected."""

    def record_rejected(self, status: int) -> None:
        """Record that a request was rejected before it was read completely."""

    def record_closed(self, connection: HttpConnection, reason: CloseReason) -> None:
        """Record that a connection is closed because its client doesn't behave."""

    def record_unsent(self, unsent_bytes: int) -> None:
        """Record that the server closes while a part of a response is not written."""


class ListenerAccounting(HttpAccounting):
    """Bounds the connections of one listener and what they hold."""

    def __init__(
        self,
        *,
        metrics: Metrics,
        closed: ClosedClients,
        max_connections: int = 0,
        bound_bytes: int = 0,
    ) -> None:
        """Create the accounting of a listener; 0: unbounded."""
        self.metrics = metrics
        self.closed = closed
        self.max_connections = max_connections
        self.budget = RequestBudget(bound_bytes=bound_bytes)

    def accept(self, clients: int, refused: int) -> Acceptance:
        """Close connections beyond the bound."""
        if self.max_connections and clients + refused > self.max_connections:
            self.metrics.add('listener_connections_refused', listener=self.closed.listener)
            return Acceptance.close
        return Acceptance.accept

    def count_request(self, change: int) -> None:
        """Count a change of the bytes held for requests."""
        self.budget.count(change)

    def count_response(self, change: int) -> None:
        """Count a change of the bytes of responses that clients have not read."""
        self.budget.count(change)

    def fits(self, size: int, own: int = 0) -> bool:
        """Return whether a request of ``size`` bytes may be held."""
        return self.budget.fits(size, own)

    def largest_body(self) -> int:
        """Return the size above which a body never fits; 0: there is none."""
        return largest_body(self.budget.bound_bytes)

    def record_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was read."""
        listener = self.closed.listener
        self.metrics.add('listener_requests_rejected', listener=listener, status=str(status))

    def record_closed(self, connection: HttpConnection, reason: CloseReason) -> None:
        """Count and log a connection that is closed because its client doesn't behave."""
        self.closed.record(connection, reason)
