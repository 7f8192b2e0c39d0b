"""Fairness between routes: raises the rank of underserved routes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: Time constant of the exponential decay of counts, seconds: long enough to cover a
#: few dozen requests, short enough to react within a burst.
_DECAY_TIME_S = 10.0
#: A route is removed when its decayed count falls below this.
_MIN_COUNT = 0.01


@dataclass(kw_only=True)
class RouteStats:
    """Decayed counts of a route's completed and on-time requests."""

    service: str
    rank: int
    completed: float = 0
    on_time: float = 0
    updated_at: float = 0

    def decay(self, now: float) -> None:
        """Decay the counts to the current time."""
        factor = math.exp(-(now - self.updated_at) / _DECAY_TIME_S)
        self.completed *= factor
        self.on_time *= factor
        self.updated_at = now


@dataclass(kw_only=True)
class Fairness:
    """Prevent routes from being starved by higher-ranked routes of their service.

    With strict ranks, the lowest-ranked route gets nothing while a service has too
    few servers. A route whose on-time ratio is below ``min_ratio`` times that of the
    higher-ranked routes gets the rank of the next one, until it has caught up.
    """

    min_ratio: float
    #: Counts by route, for routes with recent requests.
    routes: dict[str, RouteStats] = field(default_factory=dict)

    def record(self, route: str, service: str, rank: int, now: float, *, on_time: bool) -> None:
        """Count a completed request."""
        stats = self.routes.setdefault(
            route, RouteStats(service=service, rank=rank, updated_at=now)
        )
        stats.decay(now)
        stats.service = service
        stats.rank = rank
        stats.completed += 1
        stats.on_time += on_time

    def effective_rank(self, route: str, service: str, rank: int, now: float) -> int:
        """Return the rank for the next request of a route."""
        stats = self.routes.get(route)
        higher = self._ranked_before(service, rank, now)
        if stats is None or not higher:
            return rank
        stats.decay(now)
        ratio = sum(other.on_time for other in higher) / sum(other.completed for other in higher)
        if stats.on_time >= self.min_ratio * ratio * stats.completed:
            return rank
        return max(other.rank for other in higher)

    def _ranked_before(self, service: str, rank: int, now: float) -> list[RouteStats]:
        """Return the recently used routes of a service that rank before ``rank``."""
        higher = []
        for route, ratio in list(self.routes.items()):
            ratio.decay(now)
            if ratio.completed < _MIN_COUNT:
                self.routes.pop(route)
            elif ratio.service == service and ratio.rank < rank:
                higher.append(ratio)
        return higher
