"""Decayed demand and use by account: thousands of accounts, and accounts that come and go.

The water level is compared with filling up one unit of water after another.
"""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.accounts.usage import UsageTable

DECAY_S = 1.5
DEMANDS = st.lists(
    st.tuples(st.floats(0.001, 100), st.sampled_from([0.5, 1, 2, 4])), min_size=1, max_size=30
)


def naive_level(demands, available):
    """Return the level at which the capped demands add up to ``available``, by bisection."""
    if sum(demand for demand, _ in demands) <= available:
        return math.inf
    low, high = 0, max(demand / weight for demand, weight in demands)
    for _ in range(100):
        level = (low + high) / 2
        if sum(min(demand, level * weight) for demand, weight in demands) < available:
            low = level
        else:
            high = level
    return high


def table_of(demands, **fields):
    table = UsageTable(decay_s=DECAY_S, **fields)
    for number, (demand, weight) in enumerate(demands):
        table.count(f'a{number}', 0, asked=demand, weight=weight)
    return table


@given(demands=DEMANDS, share=st.floats(0.01, 1.2))
def test_water_level_is_that_of_the_naive_version(demands, share):
    available = share * sum(demand for demand, _ in demands)
    expected = naive_level(demands, available)
    level = table_of(demands).water_level(available, 0)
    if math.isinf(expected):
        assert math.isinf(level)
    else:
        # The stated error: less than the width of a group.
        assert level == pytest.approx(expected, rel=0.091)


@given(demands=DEMANDS, ages=st.lists(st.floats(0, 20), min_size=30, max_size=30))
def test_sums_stay_those_of_the_accounts_over_time(demands, ages):
    table = UsageTable(decay_s=DECAY_S)
    now = 0
    for number, (demand, weight) in enumerate(demands):
        now += ages[number]
        table.count(f'a{number % 7}', now, asked=demand, used=demand / 2, weight=weight)
    kept = table.accounts.values()
    assert table.total_used == pytest.approx(sum(use.used for use in kept))
    assert table.total_demand == pytest.approx(sum(use.demand for use in kept))
    assert sum(group.count for group in table.groups.values()) == len(table.accounts)


def test_use_decays_with_the_stated_time():
    table = UsageTable(decay_s=DECAY_S)
    table.count('a', 0, used=8)
    for seconds in (0.5, 3, 5.9):
        assert table.used_by('a', seconds) == pytest.approx(8 * math.exp(-seconds / DECAY_S))
    assert table.used_by('a', 6.5) <= 0.02 * 8


def test_use_of_an_account_with_requests_survives_renewals():
    table = UsageTable(decay_s=DECAY_S)
    expected = 0
    for step in range(100):
        expected = expected * math.exp(-0.5 / DECAY_S) + 1
        table.count('a', step / 2, used=1)
    assert table.used_by('a', 49.5) == pytest.approx(expected)


def test_account_that_is_gone_keeps_no_share_and_no_memory():
    table = UsageTable(decay_s=DECAY_S)
    table.count('gone', 0, asked=100, used=100)
    for second in range(1, 13):
        table.count('stays', second, asked=1, used=1)
    assert list(table.accounts) == ['stays']
    assert table.used(12) == pytest.approx(table.used_by('stays', 12))


def test_sixty_thousand_accounts_are_bounded_and_the_largest_are_exact():
    table = UsageTable(decay_s=DECAY_S, max_accounts=256)
    for number in range(20):
        table.count(f'large{number}', 0, asked=50, used=50)
    for number in range(60_000):
        table.count(f'small{number}', 0, asked=0.01, used=0.01)
    assert len(table.accounts) < 2 * 256 + 1
    assert all(table.used_by(f'large{number}', 0) == 50 for number in range(20))
    assert table.used(0) == pytest.approx(1600)
    # 600 for the small ones, who ask for no more, and the rest for 20 large ones.
    assert table.water_level(1100, 0) == pytest.approx(25, rel=0.091)
    assert table.largest(1, 0)[0].used == 50


def test_others_decay_too():
    table = UsageTable(decay_s=DECAY_S, max_accounts=2)
    for number in range(20):
        table.count(f'a{number}', 0, asked=1, used=1)
    table.count('b', 7, asked=1, used=1)
    assert table.used(7) == pytest.approx(1 + 20 * math.exp(-7 / DECAY_S), rel=0.2)
    table.count('b', 70, asked=1, used=1)
    assert table.used(70) == pytest.approx(1)


def test_use_taken_back_is_never_below_zero():
    table = UsageTable(decay_s=DECAY_S)
    table.count('a', 0, used=1)
    table.count('a', 3, used=-1)
    assert table.used_by('a', 3) == 0
    assert table.used(3) == 0


def test_renaming_and_dropping_keeps_sums_those_of_the_accounts():
    table = UsageTable(decay_s=DECAY_S)
    for number in range(5):
        table.count(f'a{number}', 0, asked=number, used=number / 2)
    table.change_accounts({'a4': 'new', 'a3': 'a2', 'unknown': 'a1'}, {'a1', 'absent'}, 1)
    assert set(table.accounts) == {'a0', 'a2', 'new'}
    assert table.used_by('new', 0) == pytest.approx(2)
    assert table.used_by('a2', 0) == pytest.approx(2.5)
    assert table.total_used == pytest.approx(4.5)
    assert table.total_demand == pytest.approx(9)
    assert sum(group.count for group in table.groups.values()) == 3


class CountingTable(UsageTable):
    """A table that counts how often all its sums are renewed."""

    replaced = 0

    def _replace(self, accounts):
        self.replaced += 1
        super()._replace(accounts)


def test_thousands_of_changed_accounts_renew_the_sums_once():
    table = CountingTable(decay_s=DECAY_S)
    for number in range(6000):
        table.count(f'a{number}', 0, asked=2, used=1)
    renamed = {f'a{number}': f'b{number // 2}' for number in range(2000)}
    table.change_accounts(renamed, [f'a{number}' for number in range(2000, 5000)], 0)
    assert table.replaced == 1
    assert len(table.accounts) == 2000
    assert {table.used_by(f'b{number}', 0) for number in range(1000)} == {2}
    assert {table.used_by(f'a{number}', 0) for number in range(5000, 6000)} == {1}
    assert table.total_used == pytest.approx(3000)
    assert table.total_demand == pytest.approx(6000)


def test_accounts_that_were_never_counted_renew_nothing():
    table = CountingTable(decay_s=DECAY_S)
    table.count('a', 0, asked=1)
    table.change_accounts({'old': 'new'}, [f'b{number}' for number in range(4000)], 0)
    assert table.replaced == 0
    assert list(table.accounts) == ['a']
