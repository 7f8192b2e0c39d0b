"""Retries in sliding windows against the naive count over all windows."""

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
def test_no_window_has_more_repeats_than_allowed(steps, slack):
    budget = WindowRetries(ratio=0.2, slack=slack, window_s=WINDOW_S)
    now = 0.0
    firsts = []
    granted = []
    for is_repeat, pause in steps:
        now += pause
        if not is_repeat:
            budget.record_request(SERVICE, now)
            firsts.append(now)
        elif budget.may_retry(Retry(service=SERVICE, now=now)):
            granted.append(now)
            begin = now - WINDOW_S
            repeats = sum(1 for at in granted if at >= begin)
            requests = sum(1 for at in firsts if at >= begin)
            assert repeats <= 0.2 * requests + slack


def test_slack_is_shared_by_all_processes():
    budget = WindowRetries(ratio=0, slack=8, window_s=WINDOW_S, processes=4)
    assert [budget.may_retry(Retry(service=SERVICE, now=0)) for _ in range(3)] == [
        True,
        True,
        False,
    ]


def test_services_have_budgets_of_their_own():
    budget = WindowRetries(ratio=0, slack=1, window_s=WINDOW_S)
    assert budget.may_retry(Retry(service=SERVICE, now=0))
    assert budget.may_retry(Retry(service='t', now=0))
    assert not budget.may_retry(Retry(service=SERVICE, now=0))


def test_retry_without_the_time_for_it_takes_nothing():
    budget = WindowRetries(ratio=0, slack=1, window_s=WINDOW_S)
    assert not budget.may_retry(Retry(service=SERVICE, now=0, left_s=0.1, needed_s=0.2))
    assert budget.may_retry(Retry(service=SERVICE, now=0, left_s=0.2, needed_s=0.1))
