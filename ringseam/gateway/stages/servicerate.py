"""Rate at which pieces leave a queue while others wait in it."""

from __future__ import annotations

import math
from dataclasses import dataclass

#: Time constant of the decay of the rate, seconds in which pieces waited.
_DECAY_S = 2.0
#: The time until the next call counts as at most this many full calls: servers were missing.
_MAX_CALLS = 3


@dataclass(kw_only=True)
class ServiceRate:
    """Decayed mean of the pieces that are sent per second while others wait.

    Calls count for the time until the next one, those sent at once together. Time in which
    nothing waited after a call doesn't count, so a service that has little to do isn't taken
    for a slow one. Of a longer time without calls, only that of a few calls counts, so one
    whose servers were gone for a while isn't either.
    """

    #: Pieces that were sent, and the time that it took, both decayed.
    pieces: float = 0
    elapsed_s: float = 0
    #: Pieces of the last calls, and when they were sent.
    last_pieces: int = 0
    last_at: float = 0
    #: Whether pieces waited after the last call.
    has_backlog: bool = False

    def sent(
        self, pieces: int, now: float, *, has_backlog: bool, full_call_s: float = math.inf
    ) -> None:
        """Record a call.

        :param has_backlog: pieces stay in the queue.
        :param full_call_s: duration of a full call, seconds.
        """
        took_s = min(now - self.last_at, _MAX_CALLS * full_call_s)
        if self.has_backlog and took_s > 0:
            decay = math.exp(-took_s / _DECAY_S)
            self.pieces = (self.pieces + self.last_pieces) * decay
            self.elapsed_s = (self.elapsed_s + took_s) * decay
        if not self.has_backlog or took_s > 0:
            self.last_pieces = 0
        self.last_pieces += pieces
        self.last_at = now
        self.has_backlog = has_backlog

    @property
    def per_s(self) -> float:
        """Return the pieces per second; infinite until it is known."""
        return self.pieces / self.elapsed_s if self.elapsed_s else math.inf
