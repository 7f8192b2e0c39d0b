"""Errors of the forecasts of the last seconds.

Guards against forecasts that stay wrong: by a factor at the start, while a burst grows, and after
it has ended.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.reservations.accuracy import (
    COVERED_SHARE,
    ErrorSummary,
    ForecastErrors,
    Outcome,
    quantile,
)


def record_waits(errors, actual_s, now, *, expected_s=0.0, count=10):
    for _ in range(count):
        errors.record(Outcome(expected_s, actual_s), now)


def test_few_outcomes_do_not_correct_forecasts():
    errors = ForecastErrors()
    record_waits(errors, 1.0, 0, count=3)
    assert errors.summarize((), 0) == ErrorSummary()


def test_median_and_spread_cover_the_stated_share():
    errors = ForecastErrors()
    for tenth in range(100):
        errors.record(Outcome(0.0, tenth / 10), 1)
    found = errors.summarize((), 1)
    limit_s = found.corrected_s(0) + found.spread_s
    assert sum(tenth / 10 <= limit_s for tenth in range(100)) >= 100 * COVERED_SHARE
    assert found.median_s == pytest.approx(4.9)


@pytest.mark.parametrize('factor', [1 / 3, 3])
def test_waits_that_are_wrong_by_a_factor_are_corrected_at_any_length(factor):
    errors = ForecastErrors()
    for tenth in range(1, 20):
        errors.record(Outcome(tenth / 10, factor * tenth / 10), 0)
    found = errors.summarize((), 0)
    for expected_s in (0.5, 1.0, 2.0):
        assert found.corrected_s(expected_s) == pytest.approx(factor * expected_s, abs=0.2)


def test_errors_of_a_burst_are_forgotten_after_it():
    errors = ForecastErrors()
    record_waits(errors, 2.0, 0, count=50)
    record_waits(errors, 0.1, 3)
    assert errors.summarize((), 3).corrected_s(0) == pytest.approx(0.1)


def test_overdue_work_counts_before_it_is_done():
    """A growing burst: nothing that suffered it is done yet."""
    errors = ForecastErrors()
    record_waits(errors, 0.0, 0)
    found = errors.summarize([Outcome(0.0, 0.8)] * 30, 0.1)
    assert found.corrected_s(0) == pytest.approx(0.8)


@given(st.lists(st.floats(-10, 10), min_size=1), st.floats(0.01, 1))
def test_quantile_is_the_least_covering_number(numbers, share):
    ordered = sorted(numbers)
    covering = [
        number
        for number in ordered
        if sum(other <= number for other in ordered) >= share * len(ordered)
    ]
    assert quantile(ordered, share) == covering[0]


def test_calls_faster_than_usual_do_not_hide_a_queue():
    """With a negative factor, a long expected wait became none."""
    errors = ForecastErrors()
    for number in range(20):
        errors.record(Outcome(0.0, -0.3), number / 20)
    assert errors.summarize((), 1).factor >= 0
    assert errors.summarize((), 1).corrected_s(3) > 0
