"""Errors of the forecasts that the owner of a service gave in the last seconds."""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Errors older than this are forgotten, seconds: several calls, so that the distribution follows
#: a burst, and few enough that it forgets one soon.
_WINDOW_S = 2.5
#: At most this many errors are kept; the oldest are forgotten first.
_MAX_ERRORS = 256
#: With fewer errors than this, forecasts are used as they are.
_MIN_ERRORS = 6
#: A distribution is reused for this long, seconds: much shorter than a call.
_REUSE_S = 0.02
_MIDDLE = 0.5
#: Share of the forecasts that spread and median together should cover.
COVERED_SHARE = 0.8


@dataclass(frozen=True, kw_only=True)
class ErrorSummary:
    """The distribution of recent errors, seconds; positive: it took longer than forecast."""

    median_s: float = 0
    #: Difference between a high quantile and the median.
    spread_s: float = 0


@dataclass(kw_only=True)
class ForecastErrors:
    """A sliding window of forecast errors."""

    errors: collections.deque[tuple[float, float]] = field(
        default_factory=lambda: collections.deque(maxlen=_MAX_ERRORS)
    )
    cached: ErrorSummary = field(default_factory=ErrorSummary)
    cached_until: float = float('-inf')

    def record(self, error_s: float, now: float) -> None:
        """Record the error of a forecast whose outcome is known."""
        self.errors.append((now, error_s))

    def is_outdated(self, now: float) -> bool:
        """Return whether the last summary should be computed again."""
        return now >= self.cached_until

    def summarize(self, overdue_s: Iterable[float], now: float) -> ErrorSummary:
        """Summarize the recent errors.

        :param overdue_s: by how much forecasts are exceeded whose outcome is not known yet. They
            tell of a longer wait before the first work that suffered it is done.
        """
        while self.errors and self.errors[0][0] < now - _WINDOW_S:
            self.errors.popleft()
        ordered = sorted([*(error_s for _, error_s in self.errors), *overdue_s])
        self.cached = ErrorSummary()
        if len(ordered) >= _MIN_ERRORS:
            median_s = quantile(ordered, _MIDDLE)
            spread_s = quantile(ordered, COVERED_SHARE) - median_s
            self.cached = ErrorSummary(median_s=median_s, spread_s=spread_s)
        self.cached_until = now + _REUSE_S
        return self.cached


def quantile(ordered: list[float], share: float) -> float:
    """Return the least of some sorted numbers that at least ``share`` of them don't exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
