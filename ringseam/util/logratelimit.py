"""A bound on the log lines of one kind that others can cause."""

from __future__ import annotations


class LogRateLimiter:
    """How many lines may be logged: a burst, then some each second."""

    def __init__(self, *, burst: int, per_s: float) -> None:
        """Allow ``lines`` at once."""
        self.burst = float(burst)
        self.per_s = per_s
        self.available = self.burst
        self.updated_at = float('-inf')

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be logged now, and count it."""
        self.available = min(self.burst, self.available + (now - self.updated_at) * self.per_s)
        self.updated_at = now
        if self.available < 1:
            return False
        self.available -= 1
        return True
