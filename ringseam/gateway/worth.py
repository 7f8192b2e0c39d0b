"""What an answer is worth, by priority and by whether it is on time."""

from __future__ import annotations

#: Each step of priority is worth this much less; the sheets' kinds of request
#: are worth 5.1, 1.1 and 0.36.
WORTH_RATIO = 0.25
#: A late answer loses this share of its worth, by the same sheets.
LATE_LOSS = 0.85


def worth_of(priority: int, *, late: bool = False) -> float:
    """Return the worth against one of the highest priority that is on time."""
    whole = WORTH_RATIO**priority
    return whole * (1 - LATE_LOSS) if late else whole
