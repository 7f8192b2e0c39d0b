"""Errors of the forecasts that the owner of a service gave in the last seconds."""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Outcomes older than this are forgotten, seconds: several calls, so that the distribution follows
#: a burst, and few enough that it forgets one soon.
_WINDOW_S = 2.5
#: At most this many outcomes are kept; the oldest are forgotten first.
_MAX_OUTCOMES = 256
#: With fewer outcomes than this, forecasts are used as they are.
_MIN_OUTCOMES = 6
#: A distribution is reused for this long, seconds: much shorter than a call.
_REUSE_S = 0.02
#: Waits are this much longer in the comparison of sums that gives the factor, seconds: small
#: differences between short waits say nothing about long ones.
_FACTOR_PRIOR_S = 0.1
#: Least factor: a longer expected wait is always a longer one after correction.
_MIN_FACTOR = 0.1
_MIDDLE = 0.5
#: Share of the forecasts that spread and median together should cover.
COVERED_SHARE = 0.7


class Outcome(NamedTuple):
    """An expected wait and the one that came, seconds."""

    expected_s: float
    actual_s: float


@dataclass(frozen=True, kw_only=True)
class ErrorSummary:
    """How expected waits are corrected by recent errors."""

    factor: float = 1
    #: Median of the errors that remain, seconds; positive: it took longer than expected.
    median_s: float = 0
    #: Difference between a high quantile of them and the median, seconds.
    spread_s: float = 0

    def corrected_s(self, expected_s: float) -> float:
        """Return an expected wait after correction, seconds."""
        return max(0, self.factor * expected_s + self.median_s)


@dataclass(kw_only=True)
class ForecastErrors:
    """A sliding window of waits: those expected and those that came."""

    outcomes: collections.deque[tuple[float, Outcome]] = field(
        default_factory=lambda: collections.deque(maxlen=_MAX_OUTCOMES)
    )
    cached: ErrorSummary = field(default_factory=ErrorSummary)
    cached_until: float = float('-inf')

    def record(self, outcome: Outcome, now: float) -> None:
        """Record the wait that came after a forecast."""
        self.outcomes.append((now, outcome))

    def is_outdated(self, now: float) -> bool:
        """Return whether the last summary should be computed again."""
        return now >= self.cached_until

    def summarize(self, overdue: Iterable[Outcome], now: float) -> ErrorSummary:
        """Summarize the recent errors.

        :param overdue: waits that are longer than expected and not over. They tell of a change
            before the first work that suffered it is done.
        """
        while self.outcomes and self.outcomes[0][0] < now - _WINDOW_S:
            self.outcomes.popleft()
        outcomes = [*(outcome for _, outcome in self.outcomes), *overdue]
        enough = len(outcomes) >= _MIN_OUTCOMES
        self.cached = _summary_of(outcomes) if enough else ErrorSummary()
        self.cached_until = now + _REUSE_S
        return self.cached


def _summary_of(outcomes: list[Outcome]) -> ErrorSummary:
    prior_s = _FACTOR_PRIOR_S * len(outcomes)
    factor = (sum(outcome.actual_s for outcome in outcomes) + prior_s) / (
        sum(outcome.expected_s for outcome in outcomes) + prior_s
    )
    # Calls that are faster than usual make actual waits negative.
    factor = max(_MIN_FACTOR, factor)
    errors = sorted(outcome.actual_s - factor * outcome.expected_s for outcome in outcomes)
    median_s = quantile(errors, _MIDDLE)
    return ErrorSummary(
        factor=factor,
        median_s=median_s,
        spread_s=quantile(errors, COVERED_SHARE) - median_s,
    )


def quantile(ordered: list[float], share: float) -> float:
    """Return the least of some sorted numbers that at least ``share`` of them don't exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
