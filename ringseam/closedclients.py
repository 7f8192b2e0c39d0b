"""Counts and logs connections that are closed because their clients don't behave."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.util.logratelimit import LogRateLimiter

if TYPE_CHECKING:
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.web.accounting import CloseReason
    from ringseam.web.connection import HttpConnection

logger = logging.getLogger(__name__)

#: Number of closed connections that are logged in a burst, and then per second: a crowd must not
#: fill the log.
_LOG_BURST = 20
_LOGS_PER_S = 1.0


class ClosedClients:
    """The closed connections of one listener."""

    def __init__(self, *, node: Node, metrics: Metrics, listener: str) -> None:
        """Count in ``metrics`` with the label ``listener``, and log through ``node``."""
        self.node = node
        self.metrics = metrics
        self.listener = listener
        self.log_limiter = LogRateLimiter(burst=_LOG_BURST, per_s=_LOGS_PER_S)

    def record(self, connection: HttpConnection, reason: CloseReason) -> None:
        """Record that a connection is closed."""
        self.metrics.add('client_connections_closed', listener=self.listener, reason=reason.value)
        if self.log_limiter.try_acquire(self.node.clock.now()):
            self.node.events.emit(
                logger,
                Event.client_closed,
                listener=self.listener,
                reason=reason.value,
                client=connection.client_address,
                held_bytes=connection.receiver.held_bytes,
                served=connection.is_proven,
            )
