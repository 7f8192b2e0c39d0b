"""What may follow a try: a table, a naive version, and the loop over servers."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.tries import NextTry, TryLoop, TryRecord, TryResult

UNSENT_TRIES = 4


@pytest.mark.parametrize(
    ('end', 'repeatable', 'max_servers', 'following'),
    [
        (TryResult.final, True, 3, NextTry.none),
        (TryResult.unsent, True, 1, NextTry.free),
        (TryResult.unsent, False, 1, NextTry.free),
        (TryResult.refused, True, 2, NextTry.drawn),
        (TryResult.refused, False, 2, NextTry.drawn),
        (TryResult.refused, False, 1, NextTry.none),
        (TryResult.lost, True, 2, NextTry.drawn),
        (TryResult.lost, True, 1, NextTry.none),
        (TryResult.lost, False, 2, NextTry.none),
    ],
)
def test_first_try(end, repeatable, max_servers, following):
    assert TryRecord(repeatable=repeatable, max_servers=max_servers).count(end) is following


def naive(ends, *, repeatable, max_servers):
    """Return how many of ``ends`` are tried, from all of them at once."""
    for number, end in enumerate(ends, start=1):
        before = ends[:number]
        reached = [one for one in before if one is not TryResult.unsent]
        if end is TryResult.final or (TryResult.lost in before and not repeatable):
            return number
        if len(reached) >= max_servers or before.count(TryResult.unsent) >= UNSENT_TRIES:
            return number
    return len(ends)


class ScriptedTries(TryLoop[int]):
    """Servers 0, 1, 2, ... whose tries end as scripted."""

    def __init__(self, ends, record, budget=10**6):
        super().__init__(record=record)
        self.ends = ends
        self.budget = budget
        self.asked = []

    async def choose(self):
        left = [number for number in range(len(self.ends)) if str(number) not in self.record.tried]
        return left[0] if left else None

    def incarnation_of(self, server):
        return str(server)

    async def send(self, server):
        self.asked.append(server)
        return self.ends[server]

    def take_retry(self):
        self.budget -= 1
        return self.budget >= 0


@given(
    st.lists(st.sampled_from(TryResult), max_size=8),
    st.booleans(),
    st.integers(1, 4),
)
def test_same_as_naive(ends, repeatable, max_servers):
    tries = ScriptedTries(ends, TryRecord(repeatable=repeatable, max_servers=max_servers))
    asyncio.run(tries.run())
    assert tries.asked == list(range(naive(ends, repeatable=repeatable, max_servers=max_servers)))


def test_budget_that_is_used_up_ends_the_tries():
    ends = [TryResult.refused, TryResult.refused, TryResult.final]
    tries = ScriptedTries(ends, TryRecord(repeatable=True, max_servers=9), budget=1)
    asyncio.run(tries.run())
    assert tries.asked == [0, 1]


def test_tries_that_reached_no_server_draw_nothing():
    ends = [TryResult.unsent, TryResult.unsent, TryResult.final]
    tries = ScriptedTries(ends, TryRecord(repeatable=False, max_servers=1), budget=0)
    asyncio.run(tries.run())
    assert tries.asked == [0, 1, 2]
