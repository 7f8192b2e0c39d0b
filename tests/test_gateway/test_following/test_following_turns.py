"""Turns at servers that name a limit, asked of the owner or taken here."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.clock import PausedClock
from ringseam.errors import UnreachableError
from ringseam.gateway.following.limits import LimitBook
from ringseam.gateway.following.pacing import Pace
from ringseam.gateway.following.turnmessages import TurnRequest
from ringseam.gateway.following.turns import Turns
from ringseam.node import Node
from ringseam.routes import ServiceName

ONE = BackendId('s0')
SERVER = BackendReport(
    instance=ONE,
    service=ServiceName('plain'),
    address='s0:1',
    zone='a',
    sequence=1,
)


class Owner:
    """The owner's side of calls; None: it can't be reached."""

    def __init__(self, turns):
        self.turns = turns
        self.asked = []

    async def call(self, address, method, request, *, timeout_s):
        if self.turns is None:
            raise UnreachableError('cut off')
        assert isinstance(request, TurnRequest)
        self.asked.append(request)
        return SimpleNamespace(body=await self.turns.serve(SimpleNamespace(body=request)))


def turns_of(name, clock, *, owner=None, address=''):
    node = Node(name=name, role='gateway', address=f'{name}:1', secret=b'', clock=clock)
    return Turns(
        node=node,
        client=owner,
        follower=SimpleNamespace(gateway_names=frozenset({'g0', 'g1', 'g2'})),
        ownership=SimpleNamespace(owner_of=lambda service: address),
        pace=Pace(name=name, limits=LimitBook()),
    )


def take(turns, longest_s=0.0):
    return asyncio.run(turns.take(SERVER, longest_s))


def test_server_without_a_limit_needs_no_turn():
    turns = turns_of('g0', PausedClock())
    assert take(turns).granted
    assert turns.pace.lately == {}


# A request that was counted twice would leave half of a limit unused.
def test_turn_is_counted_once_by_who_takes_it():
    clock = PausedClock()
    own = turns_of('g0', clock)
    own.limits.heard(ONE, 1.0, clock.now())
    assert take(own).granted
    assert own.pace.sent_since(ONE, clock.now()) == 0
    own.pace.sent(ONE, clock.now())
    assert not take(own).granted
    assert take(own, longest_s=1).wait_s == pytest.approx(1)


def test_owner_counts_the_turns_of_others_and_what_they_sent_before():
    clock = PausedClock()
    own = turns_of('g0', clock)
    other = turns_of('g1', clock, owner=Owner(own), address='g0:1')
    for _ in range(3):
        other.pace.sent(ONE, clock.now())
    other.limits.heard(ONE, 1.0, clock.now())
    assert take(other).granted
    assert own.pace.sent_since(ONE, clock.now()) == 4
    assert not take(other).granted
    assert own.pace.sent_since(ONE, clock.now()) == 4


def test_owner_that_cannot_be_reached_leaves_a_part_of_the_limit():
    clock = PausedClock()
    turns = turns_of('g1', clock, owner=Owner(None), address='g0:1')
    turns.limits.heard(ONE, 1.0, clock.now())
    assert take(turns).granted
    turns.pace.sent(ONE, clock.now())
    clock.advance(5)
    assert not take(turns).granted


def test_asker_hears_that_the_limit_is_over():
    clock = PausedClock()
    own = turns_of('g0', clock)
    other = turns_of('g1', clock, owner=Owner(own), address='g0:1')
    other.limits.heard(ONE, 1.0, clock.now())
    take(other)
    clock.advance(1)
    own.limits.heard(ONE, None, clock.now())
    clock.advance(1)
    assert take(other).granted
    assert other.limits.of(ONE) is None
