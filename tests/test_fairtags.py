"""Start-time fair queueing: many accounts with queued work at one server."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import strategies as st

from ringseam.fairtags import FairTags


def serve_backlogged(tags, sizes, weights, until):
    """Serve accounts that always have work until some amount of work is done."""
    done = collections.Counter()
    while done.total() < until:
        account = min(sizes, key=lambda name: (tags.start_of(name), name))
        tags.serve(account, sizes[account], weights[account])
        done[account] += sizes[account]
    return done


@given(
    sizes=st.lists(st.integers(1, 50), min_size=2, max_size=8),
    weights=st.lists(st.integers(1, 5), min_size=8, max_size=8),
    until=st.integers(1, 3000),
)
def test_backlogged_accounts_differ_by_one_request_each(sizes, weights, until):
    sizes = {f'a{number}': size for number, size in enumerate(sizes)}
    weights = dict(zip(sizes, weights, strict=False))
    done = serve_backlogged(FairTags(), sizes, weights, until)
    for one in sizes:
        for other in sizes:
            gap = done[one] / weights[one] - done[other] / weights[other]
            # The bound of Goyal, Vin and Cheng.
            assert abs(gap) <= sizes[one] / weights[one] + sizes[other] / weights[other]


def test_idle_account_saves_nothing_up():
    tags = FairTags()
    for _ in range(100):
        tags.serve('busy', 1)
    tags.serve('idle', 1)
    assert tags.start_of('idle') >= 100 - 1


def test_tags_of_idle_accounts_are_dropped():
    tags = FairTags()
    for number in range(5000):
        tags.serve(f'a{number}', 1)
        tags.serve('busy', 1)
    assert len(tags.next_starts) < 2000


def test_tags_of_sixty_thousand_accounts_that_are_gone_are_dropped():
    """All accounts are active at once; then one is left, which advances the virtual time."""
    tags = FairTags()
    for number in range(60_000):
        tags.charge(f'a{number}', 1)
    assert len(tags.next_starts) == 60_000
    for _ in range(60_002):
        tags.serve('stays', 1)
    assert set(tags.next_starts) == {'stays'}
