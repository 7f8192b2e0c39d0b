"""Rate at which the capacity of a service is asked for."""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Time constant of the exponential decay, seconds: a few calls, so that the rate is that of a
#: burst before its queue is full.
_DECAY_S = 1.5


@dataclass(kw_only=True)
class AskedRate:
    """Pieces of first attempts that a reservation was asked for lately, admitted or not."""

    pieces: float = 0
    at: float = 0

    def add(self, pieces: int, now: float) -> None:
        """Count pieces."""
        self.pieces = self._decayed(now) + pieces
        self.at = now

    def per_s(self, now: float) -> float:
        """Return the recent rate, pieces per second."""
        return self._decayed(now) / _DECAY_S

    def _decayed(self, now: float) -> float:
        return self.pieces * math.exp(-(now - self.at) / _DECAY_S)
