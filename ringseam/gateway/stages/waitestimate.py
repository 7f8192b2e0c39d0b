"""How long new pieces of a service would wait, seen at one moment; a plain class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.priorities import Precedence

#: Clients that came back are left this share of a service at least, so that the
#: time until their turn is long and not endless.
_LEAST_SHARE = 0.02


@dataclass(frozen=True, kw_only=True)
class WaitEstimate:
    """What new pieces find before them, counted once for all precedences.

    The gateway that decides for a service tells it with each answer, so it must be cheap
    while many wait.
    """

    #: When the next server is free, seconds from now.
    until_free_s: float = 0
    #: Pieces that leave in a second; 0: there is no server.
    departures_per_s: float = 0
    #: Pieces of clients that ask for the first time, that come in a second.
    arrivals_per_s: float = 0
    #: Pieces that wait and have the time, by precedence.
    counts_by_precedence: dict[Precedence, int] = field(default_factory=dict)
    #: All pieces that wait.
    waiting: int = 0

    def wait_s(self, precedence: Precedence) -> float:
        """Return how long a new piece of this precedence would wait, seconds.

        What goes before it leaves at the observed pace. Pieces of clients that
        came back go after all others, so what is expected to come meanwhile
        counts for them as well: without it they wait for a turn that never comes.
        """
        if not self.departures_per_s:
            return 0
        count_ahead = sum(
            count for other, count in self.counts_by_precedence.items() if other <= precedence
        )
        rate = self.departures_per_s
        if precedence.returned:
            rate = max(rate - self.arrivals_per_s, _LEAST_SHARE * rate)
        return self.until_free_s + count_ahead / rate

    @property
    def backlog_s(self) -> float:
        """Return how long all that waits takes to leave, seconds."""
        return self.waiting / self.departures_per_s if self.departures_per_s else 0
