"""Retry budgets in sliding windows, compared with a count over every window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.retries import Retry, WindowRetries

SERVICE = 's'
WINDOW_S = 10


@given(
    st.lists(st.tuples(st.booleans(), st.floats(0, 2, allow_nan=False)), max_size=120),
    st.integers(0, 6),
)
def test_no_window_has_more_retries_than_allowed(steps, slack):
    budget = WindowRetries(ratio=0.2, slack=slack, window_s=WINDOW_S)
    now = 0.0
    request_times = []
    retry_times = []
    for is_retry, pause in steps:
        now += pause
        if not is_retry:
            budget.record_request(SERVICE, now)
            request_times.append(now)
        elif budget.may_retry(Retry(service=SERVICE, now=now)):
            retry_times.append(now)
            window_start = now - WINDOW_S
            retries = sum(1 for at in retry_times if at >= window_start)
            requests = sum(1 for at in request_times if at >= window_start)
            assert retries <= 0.2 * requests + slack


def test_slack_is_divided_among_processes():
    budget = WindowRetries(ratio=0, slack=8, window_s=WINDOW_S, processes=4)
    assert [budget.may_retry(Retry(service=SERVICE, now=0)) for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_budgets_are_per_service():
    budget = WindowRetries(ratio=0, slack=1, window_s=WINDOW_S)
    assert budget.may_retry(Retry(service=SERVICE, now=0))
    assert budget.may_retry(Retry(service='t', now=0))
    assert not budget.may_retry(Retry(service=SERVICE, now=0))


def test_retry_that_exceeds_the_time_left_is_not_counted():
    budget = WindowRetries(ratio=0, slack=1, window_s=WINDOW_S)
    assert not budget.may_retry(Retry(service=SERVICE, now=0, remaining_s=0.1, needed_s=0.2))
    assert budget.may_retry(Retry(service=SERVICE, now=0, remaining_s=0.2, needed_s=0.1))
