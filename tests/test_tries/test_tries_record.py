"""Whether another try may follow, and the retry loop over servers."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.tries import NextTry, TryLoop, TryRecord, TryResult

UNSENT_TRIES = 4


@pytest.mark.parametrize(
    ('result', 'repeatable', 'max_servers', 'next_try'),
    [
        (TryResult.final, True, 3, NextTry.none),
        (TryResult.unsent, True, 1, NextTry.free),
        (TryResult.unsent, False, 1, NextTry.free),
        (TryResult.refused, True, 2, NextTry.charged),
        (TryResult.refused, False, 2, NextTry.charged),
        (TryResult.refused, False, 1, NextTry.none),
        (TryResult.lost, True, 2, NextTry.charged),
        (TryResult.lost, True, 1, NextTry.none),
        (TryResult.lost, False, 2, NextTry.none),
    ],
)
def test_first_try(result, repeatable, max_servers, next_try):
    assert TryRecord(repeatable=repeatable, max_servers=max_servers).add(result) is next_try


def expected_tries(results, *, repeatable, max_servers):
    """Return how many of the scripted results are reached; a reference implementation."""
    for number, result in enumerate(results, start=1):
        before = results[:number]
        reached = [one for one in before if one is not TryResult.unsent]
        if result is TryResult.final or (TryResult.lost in before and not repeatable):
            return number
        if len(reached) >= max_servers or before.count(TryResult.unsent) >= UNSENT_TRIES:
            return number
    return len(results)


class ScriptedTryLoop(TryLoop[int]):
    """Servers 0, 1, 2, ... with scripted results."""

    def __init__(self, results, record, budget=10**6):
        super().__init__(record=record)
        self.results = results
        self.budget = budget
        self.sent_to = []

    async def choose(self):
        left = [
            number for number in range(len(self.results)) if str(number) not in self.record.tried
        ]
        return left[0] if left else None

    def incarnation_of(self, server):
        return str(server)

    async def send(self, server):
        self.sent_to.append(server)
        return self.results[server]

    def take_retry(self):
        self.budget -= 1
        return self.budget >= 0


@given(
    st.lists(st.sampled_from(TryResult), max_size=8),
    st.booleans(),
    st.integers(1, 4),
)
def test_matches_the_reference_implementation(results, repeatable, max_servers):
    loop = ScriptedTryLoop(results, TryRecord(repeatable=repeatable, max_servers=max_servers))
    asyncio.run(loop.run())
    assert loop.sent_to == list(
        range(expected_tries(results, repeatable=repeatable, max_servers=max_servers))
    )


def test_exhausted_budget_ends_the_loop():
    results = [TryResult.refused, TryResult.refused, TryResult.final]
    loop = ScriptedTryLoop(results, TryRecord(repeatable=True, max_servers=9), budget=1)
    asyncio.run(loop.run())
    assert loop.sent_to == [0, 1]


def test_tries_that_reached_no_server_are_not_charged():
    results = [TryResult.unsent, TryResult.unsent, TryResult.final]
    loop = ScriptedTryLoop(results, TryRecord(repeatable=False, max_servers=1), budget=0)
    asyncio.run(loop.run())
    assert loop.sent_to == [0, 1, 2]
