"""How much a gateway holds and what it does about it.

Guards against a host that ends by its memory, against one that refuses while it has room, and
against the most valuable requests being refused before the least valuable ones.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.hosts.budget import Holder, HostBudget, budget_for
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity

changes = st.lists(st.tuples(st.sampled_from(Holder), st.integers(-50, 100)), max_size=40)


def budget_at(share, **fields):
    budget = HostBudget(bound_bytes=1000, **fields)
    budget.count(Holder.client_responses, int(1000 * share))
    return budget


@given(changes)
def test_total_is_the_sum_over_holders(counted):
    budget = HostBudget(bound_bytes=200)
    exceeded = []
    budget.on_exceeded = lambda: exceeded.append(budget.total)
    expected, largest = dict.fromkeys(Holder, 0), 0
    crossed = []
    for holder, change in counted:
        budget.counter(holder)(change)
        expected[holder] += change
        largest = max(largest, sum(expected.values()))
        if change > 0 and sum(expected.values()) > 200:
            crossed.append(sum(expected.values()))
    assert budget.held == list(expected.values())
    assert (budget.total, budget.largest) == (sum(expected.values()), largest)
    assert exceeded == crossed


@given(changes, st.integers(0, 300), st.lists(st.integers(0, 300)))
def test_without_a_bound_nothing_is_paused_refused_or_given_up(counted, rank, ranks):
    """Differential: a host whose memory is unknown decides as before."""
    budget = budget_for(UNKNOWN_CAPACITY)
    budget.on_exceeded = lambda: 1 / 0
    for holder, change in counted:
        budget.count(holder, 10**9 * change)
    assert budget.fits(10**12)
    assert not budget.refuses(rank, ranks)
    assert not budget.is_scarce
    assert not budget.excess_bytes
    assert not budget.update()


def test_bound_is_a_part_of_the_memory():
    assert budget_for(HostCapacity(memory_bytes=160_000_000)).bound_bytes == 40_000_000


def test_large_bodies_wait_before_smaller_ones_and_all_before_requests_are_refused():
    """Guards against small requests that suffer for what large ones hold."""

    def held(share):
        budget = HostBudget(bound_bytes=10**8)
        budget.count(Holder.client_responses, int(10**8 * share))
        return budget

    assert held(0.39).fits(10**7)
    assert not held(0.41).fits(10**7)
    assert held(0.69).fits(50_000)
    assert not held(0.7).fits(50_000)
    assert held(0.99).fits(5000)
    assert not held(1.0).fits(5000)
    assert held(1.0).fits(5000, own=5000)
    assert not held(0.79).refuses(300, [0, 300])


def test_lowest_rank_is_refused_first_and_the_highest_last():
    assert [rank for rank in (0, 100, 300) if budget_at(0.81).refuses(rank, [0, 100, 300])] == [300]
    assert [rank for rank in (0, 100) if budget_at(0.88).refuses(rank, [0, 300])] == [100]
    assert not budget_at(0.94).refuses(0, [0, 300])
    assert budget_at(0.95).refuses(0, [0, 300])


def test_single_rank_is_refused_while_room_for_the_rest_remains():
    assert budget_at(0.8).refuses(0, [])


@given(st.floats(0, 2), st.lists(st.integers(0, 400), max_size=8), st.data())
def test_a_higher_rank_is_never_refused_before_a_lower_one(share, ranks, data):
    low = data.draw(st.integers(1, 400))
    high = data.draw(st.integers(0, low))
    budget = budget_at(share)
    if budget.refuses(high, {*ranks, high, low}):
        assert budget.refuses(low, {*ranks, high, low})


def test_near_bound_is_left_only_with_a_margin():
    """Guards against events and reads that switch with each body."""
    budget = budget_at(0.69)
    changes = []
    for change in (0, 10, -20, 20, -90, -11, 50):
        budget.count(Holder.client_responses, change)
        changes.append((budget.update(), budget.is_near))
    assert changes == [
        (False, False),
        (True, True),
        (False, True),
        (False, True),
        (False, True),
        (True, False),
        (False, False),
    ]


def test_clients_are_given_up_until_some_room_is_left():
    assert budget_at(1.0).excess_bytes == 0
    assert budget_at(1.1).excess_bytes == 200


def test_clients_return_when_the_link_has_carried_what_is_held():
    assert budget_at(1.0).retry_after_s() == 0.3
    assert budget_at(1.0, link_bits_per_s=3200).retry_after_s() == 1.0
    assert budget_at(1.0, link_bits_per_s=1).retry_after_s() == 5.0
    assert budget_at(0.1, link_bits_per_s=1).retry_after_s() == 0.3
