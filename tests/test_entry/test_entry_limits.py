"""Request slots, account limits, retry budgets and estimates under load."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.admission import StageEstimates
from ringseam.config import Account, Stage
from ringseam.limits import BURST_S, AccountLimits
from ringseam.requestslots import PRIORITY_SHARES, RequestSlots
from ringseam.retries import BlindRetries, BudgetRetries, Retry
from ringseam.shares import LEASE_S, LEASED_PART, ShareLeases

RETRY = Retry(service='p/q', now=0, remaining_s=1, needed_s=0.01)
ACCOUNT = Account(name='p/a', token_sha256='', rate_per_s=10, concurrency=4, weight=1)
STAGE = Stage(
    name='p/s', pool='p/q', path='/', repeatable=True, expected_ms=20, model='', max_tries=3
)


@given(
    entries=st.integers(1, 4),
    gaps=st.lists(st.floats(0, 0.2), max_size=200),
)
def test_rate_over_all_entries_is_bounded(entries, gaps):
    limits = [AccountLimits(planned_entries=entries) for _ in range(entries)]
    for entry in limits:
        entry.apply_lease({ACCOUNT.name: LEASED_PART / entries}, float('inf'))
    now, admitted = 0.0, 0
    for number, gap in enumerate(gaps):
        now += gap
        entry = limits[number % entries]
        if entry.admit(ACCOUNT, now) == 0:
            admitted += 1
            entry.release(ACCOUNT)
    bound = ACCOUNT.rate_per_s * (now + BURST_S) + entries
    assert admitted <= bound


def test_concurrency_follows_the_lease_and_falls_back_without_it():
    limits = AccountLimits(planned_entries=2)
    limits.apply_lease({ACCOUNT.name: 0.25}, 1)
    assert [limits.admit(ACCOUNT, 0) > 0 for _ in range(3)] == [False, False, True]
    limits.release(ACCOUNT)
    assert limits.admit(ACCOUNT, 2) > 0
    limits.release(ACCOUNT)
    assert limits.admit(ACCOUNT, 2) == 0


def test_burst_leaves_slots_for_other_accounts_and_high_priority():
    slots = RequestSlots(total=64)
    assert slots.take('small', 1)
    taken = sum(slots.take('large', 1) for _ in range(100))
    assert taken < 64 * PRIORITY_SHARES[1]
    assert slots.take('small', 1)
    assert all(slots.take('floor', 0) for _ in range(8))


def test_unfair_slots_go_to_whoever_comes_first():
    slots = RequestSlots(total=10, fair=False)
    assert sum(slots.take('large', 2) for _ in range(20)) == 10
    assert not slots.take('floor', 0)


@given(st.lists(st.tuples(st.booleans(), st.sampled_from('abc')), max_size=200))
def test_places_never_leak(steps):
    slots, held = RequestSlots(total=8), []
    for takes, account in steps:
        if takes and slots.take(account, 0):
            held.append(account)
        elif held:
            slots.release(held.pop())
        assert slots.used == len(held) <= 8
        assert sum(slots.by_account.values()) == len(held)


def test_outage_causes_no_retry_storm():
    budgeted, blind = BudgetRetries(), BlindRetries()
    allowed = [sum(policy.may_retry(RETRY) for _ in range(1000)) for policy in (budgeted, blind)]
    assert allowed == [10, 1000]
    for _ in range(100):
        budgeted.record_success()
    assert sum(budgeted.may_retry(RETRY) for _ in range(100)) in {9, 10}


def test_no_retry_without_time_for_it():
    assert not BudgetRetries().may_retry(
        Retry(service='s', now=0, remaining_s=0.005, needed_s=0.01)
    )


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


leases = st.lists(
    st.tuples(st.sampled_from('abc'), st.floats(0, 100), st.floats(0, 2)),
    max_size=60,
)


@given(leases)
def test_leased_shares_never_exceed_the_leased_part(demands):
    """Compare with the sum of all leases that may still be in use."""
    shares, now, leases_in_force = ShareLeases(term=1, leading_since=-100), 0.0, []
    for entry, demand, gap in demands:
        now += gap
        share = shares.grant(entry, {'p/a': demand}, now)['p/a']
        leases_in_force = [
            lease for lease in leases_in_force if lease[1] > now and lease[0] != entry
        ]
        leases_in_force.append((entry, now + LEASE_S, share))
        assert sum(lease[2] for lease in leases_in_force) <= LEASED_PART + 1e-9


def test_shares_move_to_the_demand():
    shares = ShareLeases(term=1, leading_since=-100)
    shares.grant('a', {'p/a': 1}, 0)
    for now in range(1, 20):
        busy = shares.grant('b', {'p/a': 99}, now)['p/a']
        idle = shares.grant('a', {'p/a': 1}, now)['p/a']
    assert busy > 0.45
    assert idle < 0.02


def test_new_leader_waits_for_the_old_ones_leases():
    shares = ShareLeases(term=1, leading_since=10)
    assert shares.grant('a', {'p/a': 1}, 10 + LEASE_S) == {}
    assert shares.grant('a', {'p/a': 1}, 20) == {'p/a': LEASED_PART}


@pytest.mark.parametrize(('leased', 'refused'), [(0, 186), (LEASED_PART, 0)])
def test_entry_refuses_requests_beyond_its_share(leased, refused):
    """Without a leased share an entry refuses part of a load within the account's limit.

    The load is 800 requests at 548 requests/s from an account with the default limit.
    """
    account = Account(name='p/a', token_sha256='', rate_per_s=1000, concurrency=256, weight=1)
    limits = AccountLimits(planned_entries=2)
    limits.apply_lease({account.name: leased}, float('inf'))
    refusals = 0
    for number in range(800):
        if limits.admit(account, number / 548):
            refusals += 1
        else:
            limits.release(account)
    assert refusals == refused
