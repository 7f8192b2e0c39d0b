"""A bound on the log lines of one kind that others can cause."""

from __future__ import annotations


class LineBudget:
    """How many lines may be logged: a burst, then some each second."""

    def __init__(self, *, lines: int, per_s: float) -> None:
        """Allow ``lines`` at once."""
        self.most = float(lines)
        self.per_s = per_s
        self.left = self.most
        self.counted_at = float('-inf')

    def allows(self, now: float) -> bool:
        """Return whether a line may be logged now, and count it."""
        self.left = min(self.most, self.left + (now - self.counted_at) * self.per_s)
        self.counted_at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True
