"""Detection of a gateway process whose event loop runs too late to decide for others."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event

if TYPE_CHECKING:
    from ringseam.gateway.following.follower import Follower
    from ringseam.node import Node

logger = logging.getLogger(__name__)

#: A timer that fires later than this shows that the process lags, seconds. An owner answers a
#: call within milliseconds, and gateways place requests themselves after 0.06 s. A host with a
#: CPU quota per 0.1 s period delays timers by less than this.
_LATE_S = 0.2
#: Number of consecutive late timers that is needed: a single one may be a short pause of the
#: host.
_CONSECUTIVE_LATE = 2
#: A process that lagged decides for others again after this long without late timers, seconds.
#: It spans several calls of a stage service, so that ownership of services does not flap.
_RECOVERY_S = 5.0


@dataclass(kw_only=True)
class EventLoopLag:
    """Measures how late the timers of a process fire."""

    consecutive_late: int = 0
    busy_until: float = float('-inf')

    def record(self, late_s: float, now: float) -> None:
        """Record by how much a timer was late."""
        self.consecutive_late = self.consecutive_late + 1 if late_s > _LATE_S else 0
        if self.consecutive_late >= _CONSECUTIVE_LATE:
            self.busy_until = now + _RECOVERY_S

    def is_busy(self, now: float) -> bool:
        """Return whether the process lags and other gateways should decide."""
        return now < self.busy_until


class LagMonitor:
    """Announces whether the event loop of this gateway lags."""

    def __init__(self, *, node: Node, follower: Follower) -> None:
        """Create a monitor that sets the state of ``follower``."""
        self.node = node
        self.follower = follower
        self.lag = EventLoopLag()

    def record(self, late_s: float) -> None:
        """Record by how much a timer was late."""
        now = self.node.clock.now()
        self.lag.record(late_s, now)
        busy = self.lag.is_busy(now)
        if busy == self.follower.busy:
            return
        self.follower.busy = busy
        self.node.events.emit(
            logger,
            Event.gateway_behind if busy else Event.gateway_in_time,
            late_ms=round(MS_PER_S * late_s),
        )
