"""Which routes are served so much less than others that they go before their rank."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

#: What ended longer ago than this counts for a third, seconds: long enough for a
#: few dozen requests, short enough to act within a burst.
_FORGET_S = 10.0
#: A route of which less than this is left to count is forgotten.
_FORGOTTEN = 0.01


@dataclass(kw_only=True)
class RouteShare:
    """How many requests of a route ended lately, and how many of them in time."""

    service: str
    rank: int
    ended: float = 0
    in_time: float = 0
    at: float = 0

    def fade(self, now: float) -> None:
        """Let what is older weigh less."""
        factor = math.exp(-(now - self.at) / _FORGET_S)
        self.ended *= factor
        self.in_time *= factor
        self.at = now


@dataclass(kw_only=True)
class Fairness:
    """Let no route be starved by those of its service that go before it.

    Strict ranks give the last one what the others leave, which is nothing for as
    long as a service is short of servers. A route whose share in time is below
    ``least`` of the share of the routes before it shares the turn of the next one
    before it, until it has caught up.
    """

    least: float
    #: Shares by route, of those that were asked for lately.
    shares: dict[str, RouteShare] = field(default_factory=dict)

    def note(self, route: str, service: str, rank: int, now: float, *, in_time: bool) -> None:
        """Hear how a request ended."""
        own = self.shares.setdefault(route, RouteShare(service=service, rank=rank, at=now))
        own.fade(now)
        own.service = service
        own.rank = rank
        own.ended += 1
        own.in_time += in_time

    def rank(self, route: str, service: str, rank: int, now: float) -> int:
        """Return the rank by which the next request of a route shall go."""
        own = self.shares.get(route)
        before = self._before(service, rank, now)
        if own is None or not before:
            return rank
        own.fade(now)
        share = sum(other.in_time for other in before) / sum(other.ended for other in before)
        if own.in_time >= self.least * share * own.ended:
            return rank
        return max(other.rank for other in before)

    def _before(self, service: str, rank: int, now: float) -> list[RouteShare]:
        """Return the routes of a service that go before ``rank`` and were asked lately."""
        before = []
        for route, share in list(self.shares.items()):
            share.fade(now)
            if share.ended < _FORGOTTEN:
                self.shares.pop(route)
            elif share.service == service and share.rank < rank:
                before.append(share)
        return before
