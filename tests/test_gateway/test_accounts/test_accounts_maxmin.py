"""Shares of a place with too little room for its accounts.

Loads: 16 accounts, a few of them large, in a burst of twice the capacity; a small account
beside a large one; one account at ten times its usual. Failures: a decider that is lost in
the middle of a burst; accounts that are added, renamed or gone.
"""

from __future__ import annotations

import collections
import itertools
import random

import pytest

from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad, UnsharedPolicy
from ringseam.gateway.priorities import Precedence

#: Seconds of work that the place does a second.
CAPACITY = 6.0
#: Work of a request, seconds.
WORK_S = 0.02
#: A request is refused when its wait exceeds this, seconds: what a path of three calls
#: leaves of the time within which callers need a response.
PATIENCE_S = 0.4


def demand(account, amount=WORK_S, rank=0, *, returned=False):
    return AccountDemand(
        account=account, precedence=Precedence(rank=rank, returned=returned), amount=amount
    )


def busy(backlog_s=1.0):
    return PlaceLoad(capacity_per_s=CAPACITY, backlog_s=backlog_s)


class Place:
    """A queue that is served at a constant rate; a request that would wait long is refused."""

    def __init__(self, policy, seed=1):
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self.backlog = 0.0
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.longest_wait_s = collections.Counter()

    def run(self, rates, seconds, sizes=None):
        """Send requests at the given rates, in units of work per second, for some seconds."""
        sizes = sizes or {}
        arrivals = []
        for account, rate in rates.items():
            size = sizes.get(account, WORK_S)
            at = self.now
            while (at := at + self.rng.expovariate(rate / size)) < self.now + seconds:
                arrivals.append((at, account, size))
        for at, account, size in sorted(arrivals):
            self.backlog = max(0, self.backlog - (at - self.now) * CAPACITY)
            self.now = at
            self.offer(account, size)

    def offer(self, account, size):
        load = PlaceLoad(capacity_per_s=CAPACITY, backlog_s=self.backlog / CAPACITY)
        request = demand(account, size)
        self.policy.asked(request, self.now)
        self.asked[account] += size
        share_wait_s = self.policy.share_wait_s(request, load, self.now)
        if load.backlog_s + share_wait_s <= PATIENCE_S:
            self.policy.admitted(request, self.now)
            self.backlog += size
            self.served[account] += size
        self.longest_wait_s[account] = max(self.longest_wait_s[account], share_wait_s)

    def ratio(self, account):
        return self.served[account] / self.asked[account]


def test_burst_of_sixteen_accounts_with_a_few_large_is_paid_by_the_large():
    rates = {f'small{number}': 0.03 * CAPACITY for number in range(13)}
    large = {f'large{number}': CAPACITY * (2 - 0.39) / 3 for number in range(3)}
    shared, unshared = Place(MaxMinShares()), Place(UnsharedPolicy())
    for place in (shared, unshared):
        place.run({**rates, **dict.fromkeys(large, 0.1)}, 5)
        place.asked.clear()
        place.served.clear()
        place.run({**rates, **large}, 8)
    assert min(shared.ratio(account) for account in rates) > 0.98
    assert max(unshared.ratio(account) for account in rates) < 0.8
    # The large ones divide the rest equally.
    ratios = [shared.ratio(account) for account in large]
    assert max(ratios) - min(ratios) < 0.06
    # As much is served in all.
    assert shared.served.total() > 0.97 * unshared.served.total()


def test_small_account_beside_a_large_one_waits_for_no_share():
    place = Place(MaxMinShares())
    place.run({'small': CAPACITY / 8, 'large': 2 * CAPACITY}, 8)
    assert place.longest_wait_s['small'] == 0
    assert place.ratio('small') > 0.98


def test_large_account_uses_whatever_the_others_leave():
    place = Place(MaxMinShares())
    place.run({'small': CAPACITY / 8, 'large': 2 * CAPACITY}, 10)
    assert place.served.total() > 0.97 * 10 * CAPACITY


def test_account_alone_and_accounts_under_short_backlog_never_wait():
    policy = MaxMinShares()
    for _ in range(100):
        policy.asked(demand('alone'), 0)
        policy.admitted(demand('alone'), 0)
    assert policy.share_wait_s(demand('alone'), busy(), 0) == 0
    policy.admitted(demand('other', 10 * WORK_S), 0)
    assert policy.share_wait_s(demand('alone'), busy(), 0) > 0
    assert policy.share_wait_s(demand('alone'), busy(0.1), 0) == 0


def test_wait_changes_little_with_a_small_change_of_the_backlog():
    policy = MaxMinShares()
    policy.admitted(demand('large', 7), 0)
    policy.admitted(demand('small', 1), 0)
    waits = [policy.share_wait_s(demand('large'), busy(ms / 1000), 0) for ms in range(2000)]
    steps = [later - earlier for earlier, later in itertools.pairwise(waits)]
    assert waits[0] == 0
    assert max(map(abs, steps)) < 0.03


def test_wait_is_over_when_use_has_decayed_to_the_share():
    policy = MaxMinShares()
    policy.asked(demand('small', 4), 0)
    policy.admitted(demand('large', 8), 0)
    wait_s = policy.share_wait_s(demand('large'), busy(0.5), 0)
    assert 0.1 < wait_s < 3
    # Meanwhile the others are served.
    policy.admitted(demand('small', 4), wait_s)
    assert policy.share_wait_s(demand('large'), busy(0.15), wait_s) < 0.05


def test_large_and_small_requests_get_the_same_share():
    place = Place(MaxMinShares())
    sizes = {'coarse': 10 * WORK_S, 'fine': WORK_S / 5}
    place.run(dict.fromkeys(sizes, CAPACITY), 20, sizes)
    assert place.served['coarse'] / place.served['fine'] == pytest.approx(1, abs=0.12)
    policy = MaxMinShares()
    policy.admitted(demand('a', 3), 0)
    policy.admitted(demand('b', 1), 0)
    waits = {policy.share_wait_s(demand('a', size), busy(), 0) for size in (0.001, 1, 50)}
    assert len(waits) == 1


def test_weight_gives_an_account_more():
    place = Place(MaxMinShares(weight_of=lambda account: 3 if account == 'heavy' else 1))
    place.run({'heavy': 2 * CAPACITY, 'light': 2 * CAPACITY}, 20)
    assert place.served['heavy'] / place.served['light'] == pytest.approx(3, rel=0.15)


@pytest.mark.parametrize('seed', range(5))
def test_urgent_work_never_waits_longer_than_less_urgent_work_of_the_account(seed):
    rng = random.Random(seed)
    policy = MaxMinShares()
    now = 0.0
    for _ in range(300):
        now += rng.random() / 50
        asked = demand(rng.choice('abcd'), rng.random(), rng.randrange(3))
        policy.asked(asked, now)
        if rng.random() < 0.6:
            policy.admitted(asked, now)
        load = busy(rng.random())
        for account in 'abcd':
            waits = [
                policy.share_wait_s(demand(account, rank=rank), load, now) for rank in (0, 1, 2)
            ]
            assert waits == sorted(waits)


def test_more_urgent_work_takes_nothing_from_its_share_for_less_urgent_work():
    policy = MaxMinShares()
    policy.admitted(demand('urgent', 1, rank=0), 0)
    policy.admitted(demand('other', 0.5, rank=0), 0)
    policy.admitted(demand('bulk', 9, rank=1), 0)
    policy.admitted(demand('mail', 1, rank=1), 0)
    assert policy.share_wait_s(demand('urgent'), busy(), 0) == 0
    assert policy.share_wait_s(demand('bulk', rank=1), busy(), 0) > 0


def test_one_account_at_ten_times_its_usual_harms_no_other():
    usual = {f'a{number}': 0.7 * CAPACITY / 16 for number in range(16)}
    calm, abused = Place(MaxMinShares()), Place(MaxMinShares())
    calm.run(usual, 10)
    abused.run({**usual, 'a0': 10 * usual['a0']}, 10)
    for account in list(usual)[1:]:
        assert calm.ratio(account) - abused.ratio(account) < 0.02


def test_one_account_at_ten_times_its_usual_beside_two_bursts_harms_no_other():
    usual = {f'a{number}': 0.5 * CAPACITY / 16 for number in range(16)}
    bursting = {**usual, 'a1': 6 * usual['a1'], 'a2': 4 * usual['a2']}
    alone, abused = Place(MaxMinShares()), Place(MaxMinShares())
    alone.run(bursting, 10)
    abused.run({**bursting, 'a0': 10 * usual['a0']}, 10)
    for account in list(usual)[3:]:
        assert alone.ratio(account) - abused.ratio(account) < 0.02


@pytest.mark.parametrize('seed', range(3))
def test_nobody_is_served_under_three_quarters_as_often_as_all(seed):
    rng = random.Random(seed)
    weights = [rng.paretovariate(1) for _ in range(16)]
    rates = {
        f'a{number}': 2 * CAPACITY * weight / sum(weights) for number, weight in enumerate(weights)
    }
    place = Place(MaxMinShares(), seed)
    place.run(rates, 10)
    overall = place.served.total() / place.asked.total()
    equal = CAPACITY / 16
    for account, rate in rates.items():
        if rate < equal:
            assert place.ratio(account) > 0.75 * overall
        # By random arrivals an account just below its share is above it for moments.
        if rate < 0.8 * equal:
            assert place.ratio(account) > 0.95


def test_decider_lost_in_a_burst_serves_small_accounts_again_at_once():
    rates = {'small': CAPACITY / 8, 'large': 2 * CAPACITY}
    place = Place(MaxMinShares())
    place.run(rates, 4)
    place.policy = MaxMinShares()
    place.asked.clear()
    place.served.clear()
    place.run(rates, 2)
    assert place.ratio('small') > 0.95
    assert place.served.total() > 0.9 * 2 * CAPACITY


def test_new_decider_makes_nobody_wait_for_a_backlog_that_it_has_not_seen():
    policy = MaxMinShares()
    assert policy.share_wait_s(demand('a'), busy(10), 0) == 0
    policy.admitted(demand('a'), 0)
    assert policy.share_wait_s(demand('a'), busy(10), 0) == 0
    policy.admitted(demand('b'), 0)
    assert policy.share_wait_s(demand('a'), busy(10), 0) <= 1.5


def test_added_and_renamed_accounts_start_within_their_share():
    policy = MaxMinShares()
    policy.admitted(demand('old', 8), 0)
    policy.admitted(demand('other', 4), 0)
    assert policy.share_wait_s(demand('old'), busy(), 0) > 0
    assert policy.share_wait_s(demand('new'), busy(), 0) == 0


def test_return_after_a_refusal_is_no_new_demand():
    policy = MaxMinShares()
    policy.asked(demand('a', 2), 0)
    policy.asked(demand('a', 2, returned=True), 0)
    assert policy.shares(busy(), 1, 0)[0].asked_per_s == pytest.approx(2 / policy.decay_s)


def test_withdrawn_work_is_not_counted_as_used():
    policy = MaxMinShares()
    policy.admitted(demand('a', 2), 0)
    policy.withdrawn(demand('a', 2), 0, admitted_at=0)
    assert policy.shares(busy(), 1, 0)[0].used_per_s == 0


def test_work_taken_back_later_leaves_the_use_of_other_work():
    """An account could otherwise erase its use by reservations that expire."""
    policy, alone = MaxMinShares(), MaxMinShares()
    for shares in (policy, alone):
        shares.admitted(demand('a', 1), 0)
    policy.admitted(demand('a', 1), 0)
    policy.withdrawn(demand('a', 1), 3, admitted_at=0)
    assert policy.used_by('a', 3) == pytest.approx(alone.used_by('a', 3))
