"""Which routes are served so much less than others that they go before their rank."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: What ended longer ago than this counts for a third, seconds: long enough for a
#: few dozen requests, short enough to act within a burst.
_DECAY_TIME_S = 10.0
#: A route of which less than this is left to count is forgotten.
_MIN_COUNT = 0.01


@dataclass(kw_only=True)
class RouteStats:
    """How many requests of a route ended lately, and how many of them in time."""

    service: str
    rank: int
    completed: float = 0
    on_time: float = 0
    updated_at: float = 0

    def decay(self, now: float) -> None:
        """Let what is older weigh less."""
        factor = math.exp(-(now - self.updated_at) / _DECAY_TIME_S)
        self.completed *= factor
        self.on_time *= factor
        self.updated_at = now


@dataclass(kw_only=True)
class Fairness:
    """Let no route be starved by those of its service that go before it.

    Strict ranks give the last one what the others leave, which is nothing for as
    long as a service is short of servers. A route whose share in time is below
    ``least`` of the share of the routes before it shares the turn of the next one
    before it, until it has caught up.
    """

    min_ratio: float
    #: Shares by route, of those that were asked for lately.
    routes: dict[str, RouteStats] = field(default_factory=dict)

    def record(self, route: str, service: str, rank: int, now: float, *, on_time: bool) -> None:
        """Hear how a request ended."""
        stats = self.routes.setdefault(
            route, RouteStats(service=service, rank=rank, updated_at=now)
        )
        stats.decay(now)
        stats.service = service
        stats.rank = rank
        stats.completed += 1
        stats.on_time += on_time

    def effective_rank(self, route: str, service: str, rank: int, now: float) -> int:
        """Return the rank by which the next request of a route shall go."""
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
        """Return the routes of a service that go before ``rank`` and were asked lately."""
        higher = []
        for route, ratio in list(self.routes.items()):
            ratio.decay(now)
            if ratio.completed < _MIN_COUNT:
                self.routes.pop(route)
            elif ratio.service == service and ratio.rank < rank:
                higher.append(ratio)
        return higher
