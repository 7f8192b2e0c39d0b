"""What may follow a try: a table, a naive version, and the loop over servers."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.tries import NextTry, Tries, TryEnd, TryRecord

UNSENT_TRIES = 4


@pytest.mark.parametrize(
    ('end', 'repeatable', 'most', 'following'),
    [
        (TryEnd.final, True, 3, NextTry.none),
        (TryEnd.unsent, True, 1, NextTry.free),
        (TryEnd.unsent, False, 1, NextTry.free),
        (TryEnd.refused, True, 2, NextTry.drawn),
        (TryEnd.refused, False, 2, NextTry.drawn),
        (TryEnd.refused, False, 1, NextTry.none),
        (TryEnd.lost, True, 2, NextTry.drawn),
        (TryEnd.lost, True, 1, NextTry.none),
        (TryEnd.lost, False, 2, NextTry.none),
    ],
)
def test_first_try(end, repeatable, most, following):
    assert TryRecord(repeatable=repeatable, most=most).count(end) is following


def naive(ends, *, repeatable, most):
    """Return how many of ``ends`` are tried, from all of them at once."""
    for number, end in enumerate(ends, start=1):
        before = ends[:number]
        reached = [one for one in before if one is not TryEnd.unsent]
        if end is TryEnd.final or (TryEnd.lost in before and not repeatable):
            return number
        if len(reached) >= most or before.count(TryEnd.unsent) >= UNSENT_TRIES:
            return number
    return len(ends)


class ScriptedTries(Tries[int]):
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

    def draw(self):
        self.budget -= 1
        return self.budget >= 0


@given(
    st.lists(st.sampled_from(TryEnd), max_size=8),
    st.booleans(),
    st.integers(1, 4),
)
def test_same_as_naive(ends, repeatable, most):
    tries = ScriptedTries(ends, TryRecord(repeatable=repeatable, most=most))
    asyncio.run(tries.run())
    assert tries.asked == list(range(naive(ends, repeatable=repeatable, most=most)))


def test_budget_that_is_used_up_ends_the_tries():
    ends = [TryEnd.refused, TryEnd.refused, TryEnd.final]
    tries = ScriptedTries(ends, TryRecord(repeatable=True, most=9), budget=1)
    asyncio.run(tries.run())
    assert tries.asked == [0, 1]


def test_tries_that_reached_no_server_draw_nothing():
    ends = [TryEnd.unsent, TryEnd.unsent, TryEnd.final]
    tries = ScriptedTries(ends, TryRecord(repeatable=False, most=1), budget=0)
    asyncio.run(tries.run())
    assert tries.asked == [0, 1, 2]
