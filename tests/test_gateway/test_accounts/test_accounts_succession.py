"""Accounts that are renamed, added or removed, and keys that move, during the day.

Load: a large account has used more than its share when the route table changes. Failures
guarded against: a share that stays with an account that is gone, and an account that gets
a fresh share by another name.
"""

from __future__ import annotations

import math

import pytest

from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad
from ringseam.gateway.accounts.succession import AccountChange, change_between
from ringseam.gateway.priorities import Precedence
from ringseam.routes import Account

LOAD = PlaceLoad(capacity_per_s=4, backlog_s=0.5)
#: Of 10 units that were admitted, 8 are done; 6 are the share of the large account, which
#: used 8. Its use takes this long to decay to the share, seconds.
LARGE_WAIT_S = 1.5 * math.log(8 / 6)


def account(name, *keys):
    return Account(name=name, keys=frozenset(keys))


LARGE, SMALL = account('large', 'k1', 'k3'), account('small', 'k2')


def demand(name, amount=1):
    return AccountDemand(account=name, precedence=Precedence(rank=0), amount=amount)


def busy_shares():
    shares = MaxMinShares()
    for name, amount in (('large', 8), ('small', 1), ('other', 1)):
        shares.asked(demand(name, amount), 0)
        shares.admitted(demand(name, amount), 0)
    return shares


@pytest.mark.parametrize(
    ('after', 'renamed', 'gone'),
    [
        ((LARGE, SMALL), {}, set()),
        ((SMALL, LARGE, account('new', 'k9')), {}, set()),
        ((SMALL,), {}, {'large'}),
        ((account('big', 'k1', 'k3'), SMALL), {'large': 'big'}, set()),
        ((account('big', 'k1'), account('huge', 'k3'), SMALL), {'large': 'big'}, set()),
        ((account('large', 'k1'), account('small', 'k2', 'k3')), {}, set()),
        ((account('small', 'k1', 'k2', 'k3'),), {}, {'large'}),
        ((account('large', 'k7'), SMALL), {}, set()),
        ((), {}, {'large', 'small'}),
    ],
)
def test_change_names_who_is_gone_and_who_succeeds(after, renamed, gone):
    assert change_between((LARGE, SMALL), after) == AccountChange(
        renamed=renamed, gone=frozenset(gone)
    )


def test_renamed_account_waits_as_long_as_before():
    shares = busy_shares()
    before_s = shares.share_wait_s(demand('large'), LOAD, 0)
    change_between((LARGE, SMALL), (account('big', 'k1', 'k3'), SMALL)).apply(shares, 0)
    assert shares.share_wait_s(demand('big'), LOAD, 0) == pytest.approx(before_s)
    assert before_s == pytest.approx(LARGE_WAIT_S)
    assert shares.share_wait_s(demand('small'), LOAD, 0) == 0
    assert 'large' not in shares.ranks[0].accounts


def test_no_share_is_kept_for_an_account_that_is_gone():
    shares, others = busy_shares(), MaxMinShares()
    for name in ('small', 'other'):
        others.asked(demand(name), 0)
        others.admitted(demand(name), 0)
    change_between((LARGE, SMALL), (SMALL,)).apply(shares, 0)
    assert shares.shares(LOAD, 8, 0) == others.shares(LOAD, 8, 0)
    assert shares.used_per_s(0) == pytest.approx(others.used_per_s(0))


def test_account_that_takes_over_a_key_neither_gains_nor_pays():
    shares = busy_shares()
    after = (account('large', 'k1'), account('small', 'k2', 'k3'))
    change_between((LARGE, SMALL), after).apply(shares, 0)
    assert shares.share_wait_s(demand('large'), LOAD, 0) == pytest.approx(LARGE_WAIT_S)
    assert shares.share_wait_s(demand('small'), LOAD, 0) == 0


def test_idle_shares_drop_their_accounts_and_ranks_without_requests():
    """A rank that gets no more requests is never counted in, so nothing else drops them."""
    shares = busy_shares()
    shares.drop_idle(5)
    assert len(shares.ranks[0].accounts) == 3
    shares.drop_idle(12)
    assert not shares.ranks
