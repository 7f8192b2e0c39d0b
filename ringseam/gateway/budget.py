"""The budget of repeats, by service, in sliding windows."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.routes import ServiceName


@dataclass(kw_only=True)
class ServiceUse:
    """When requests and repeats of one service were sent, seconds."""

    firsts: collections.deque[float] = field(default_factory=collections.deque)
    repeats: collections.deque[float] = field(default_factory=collections.deque)

    def forget(self, before: float) -> None:
        """Drop what is older."""
        for times in (self.firsts, self.repeats):
            while times and times[0] < before:
                times.popleft()


@dataclass(kw_only=True)
class RetryBudget:
    """Allow repeats up to a share of the requests and a slack.

    The bound holds for all gateways together: each takes its own requests and
    an equal part of the slack.
    """

    ratio: float
    slack: float
    window_s: float
    gateways: int = 1
    uses: dict[ServiceName, ServiceUse] = field(default_factory=dict)

    def request(self, service: ServiceName, now: float) -> None:
        """Count a request for a service."""
        self._use(service, now).firsts.append(now)

    def take(self, service: ServiceName, now: float) -> bool:
        """Take a repeat from the budget; False when it is used up."""
        use = self._use(service, now)
        allowed = self.ratio * len(use.firsts) + self.slack / max(1, self.gateways)
        if len(use.repeats) + 1 > allowed:
            return False
        use.repeats.append(now)
        return True

    def _use(self, service: ServiceName, now: float) -> ServiceUse:
        use = self.uses.setdefault(service, ServiceUse())
        use.forget(now - self.window_s)
        return use
