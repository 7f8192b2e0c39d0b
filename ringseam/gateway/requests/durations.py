"""How long recent responses of each route took."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.routes import RouteName

#: Number of responses of a route that are remembered.
_REMEMBERED = 64
#: Share of the remembered responses that took no longer than the estimate.
_QUANTILE = 0.95


@dataclass(kw_only=True)
class ResponseDurations:
    """Estimates how long the next response of a route takes."""

    recent: dict[RouteName, deque[float]] = field(default_factory=dict)

    def record(self, route: RouteName, duration_s: float) -> None:
        """Record the time from a request's arrival to the end of its response, seconds."""
        if route not in self.recent:
            self.recent[route] = deque(maxlen=_REMEMBERED)
        self.recent[route].append(duration_s)

    def estimate_s(self, route: RouteName) -> float:
        """Return what nearly all recent responses took at most, seconds; 0: none is known."""
        durations = sorted(self.recent.get(route, ()))
        if not durations:
            return 0
        return durations[math.ceil(_QUANTILE * len(durations)) - 1]
