"""Rate limit for log lines that remote peers can trigger."""

from __future__ import annotations


class LogRateLimiter:
    """Token bucket that allows a burst of log lines, then ``per_s`` lines per second."""

    def __init__(self, *, burst: int, per_s: float) -> None:
        """Create a full bucket of ``burst`` lines."""
        self.burst = float(burst)
        self.per_s = per_s
        self.available = self.burst
        self.updated_at = float('-inf')

    def try_acquire(self, now: float) -> bool:
        """Return whether a line may be logged now; if so, count it."""
        self.available = min(self.burst, self.available + (now - self.updated_at) * self.per_s)
        self.updated_at = now
        if self.available < 1:
            return False
        self.available -= 1
        return True
