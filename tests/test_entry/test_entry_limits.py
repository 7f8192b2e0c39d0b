"""Places, account limits, retry budgets and estimates under load."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.admission import StageEstimates
from ringseam.config import Account, Stage
from ringseam.limits import BURST_S, AccountLimits
from ringseam.places import CLASS_SHARES, Places
from ringseam.retries import BlindRetries, BudgetRetries

ACCOUNT = Account(name='p/a', token_sha256='', rate_per_s=10, concurrency=4, weight=1)
STAGE = Stage(
    name='p/s', pool='p/q', path='/', repeatable=True, expected_ms=20, model='', max_tries=3
)


@given(
    entries=st.integers(1, 4),
    gaps=st.lists(st.floats(0, 0.2), max_size=200),
)
def test_rate_over_all_entries_is_bounded(entries, gaps):
    limits = [AccountLimits(entries=entries) for _ in range(entries)]
    now, admitted = 0.0, 0
    for number, gap in enumerate(gaps):
        now += gap
        entry = limits[number % entries]
        if entry.admit(ACCOUNT, now) == 0:
            admitted += 1
            entry.release(ACCOUNT)
    bound = ACCOUNT.rate_per_s * (now + BURST_S) + entries
    assert admitted <= bound


def test_concurrency_is_shared_among_entries():
    limits = AccountLimits(entries=2)
    assert [limits.admit(ACCOUNT, 0) > 0 for _ in range(3)] == [False, False, True]
    limits.release(ACCOUNT)
    assert limits.admit(ACCOUNT, 0) == 0


def test_a_burst_leaves_places_for_others_and_for_high_priority():
    places = Places(total=64)
    assert places.take('small', 1)
    taken = sum(places.take('large', 1) for _ in range(100))
    assert taken < 64 * CLASS_SHARES[1]
    assert places.take('small', 1)
    assert all(places.take('floor', 0) for _ in range(8))


def test_naive_places_go_to_whoever_comes_first():
    places = Places(total=10, fair=False)
    assert sum(places.take('large', 2) for _ in range(20)) == 10
    assert not places.take('floor', 0)


@given(st.lists(st.tuples(st.booleans(), st.sampled_from('abc')), max_size=200))
def test_places_never_leak(steps):
    places, held = Places(total=8), []
    for takes, account in steps:
        if takes and places.take(account, 0):
            held.append(account)
        elif held:
            places.release(held.pop())
        assert places.used == len(held) <= 8
        assert sum(places.by_account.values()) == len(held)


def test_outage_makes_no_retry_storm():
    budget, blind = BudgetRetries(), BlindRetries()
    allowed = [
        sum(policy.may_retry(left_ms=1000, est_ms=10) for _ in range(1000))
        for policy in (budget, blind)
    ]
    assert allowed == [10, 1000]
    for _ in range(100):
        budget.succeeded()
    assert sum(budget.may_retry(left_ms=1000, est_ms=10) for _ in range(100)) in {9, 10}


def test_no_retry_without_time_for_it():
    assert not BudgetRetries().may_retry(left_ms=5, est_ms=10)


@pytest.mark.parametrize(
    ('samples', 'expected'),
    [([], 20), ([50] * 10, 20), ([50] * 30, 50), ([10**6] * 30, 400)],
    ids=['none', 'too few', 'enough', 'bounded'],
)
def test_estimates(samples, expected):
    estimates = StageEstimates()
    for sample in samples:
        estimates.record(STAGE, sample, 0)
    assert estimates.estimate_ms(STAGE, 1) == pytest.approx(expected, rel=0.02)
