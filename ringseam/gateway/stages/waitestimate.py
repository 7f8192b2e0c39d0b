"""Estimate of how long new pieces of a service would wait."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.priorities import Precedence

#: Clients that retry after a refusal are assumed to get at least this share of the
#: throughput, so that their estimated wait is long but finite.
_MIN_RETRY_SHARE = 0.02


@dataclass(frozen=True, kw_only=True)
class WaitEstimate:
    """State of the queue that new pieces would meet, counted once for all precedences.

    The owner of a service computes it for each reply, so it must be cheap even while many
    pieces are queued.
    """

    #: Time until the next server is free, seconds.
    until_free_s: float = 0
    #: Pieces processed per second; 0: there is no server.
    departures_per_s: float = 0
    #: Arriving pieces of first attempts per second.
    arrivals_per_s: float = 0
    #: Number of queued pieces that are not yet late, by precedence.
    counts_by_precedence: dict[Precedence, int] = field(default_factory=dict)
    #: Number of all queued pieces.
    waiting: int = 0

    def wait_s(self, precedence: Precedence) -> float:
        """Return how long a new piece of this precedence would wait, seconds.

        The pieces ahead of it are processed at the observed rate. Pieces of clients that
        retry after a refusal are served after all others, so their estimate also counts the
        expected new arrivals; otherwise these clients would wait for service that never comes.
        """
        if not self.departures_per_s:
            return 0
        count_ahead = sum(
            count for other, count in self.counts_by_precedence.items() if other <= precedence
        )
        rate = self.retry_departures_per_s if precedence.returned else self.departures_per_s
        return self.until_free_s + count_ahead / rate

    @property
    def retry_departures_per_s(self) -> float:
        """Return how many pieces per second are left for clients that retry."""
        rate = self.departures_per_s
        return max(rate - self.arrivals_per_s, _MIN_RETRY_SHARE * rate)

    @property
    def backlog_s(self) -> float:
        """Return how long it takes to clear the queue, seconds."""
        return self.waiting / self.departures_per_s if self.departures_per_s else 0
