"""A counter whose past amounts fade."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(kw_only=True)
class DecayingCounter:
    """A sum of recent amounts that decays exponentially."""

    #: Time constant of the decay, seconds.
    decay_s: float
    amount: float = 0
    at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.amount = self._decayed(now) + amount
        self.at = now

    def per_s(self, now: float) -> float:
        """Return the recent rate per second."""
        return self._decayed(now) / self.decay_s

    def _decayed(self, now: float) -> float:
        return self.amount * math.exp(-(now - self.at) / self.decay_s)
