"""PermitAllocator at servers that name a limit, asked of the owner or taken here."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.clock import PausedClock
from ringseam.errors import UnreachableError
from ringseam.gateway.following.limits import RateLimitTracker
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.following.permitmessages import PermitRequest
from ringseam.gateway.following.turns import PermitAllocator
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

    def __init__(self, permits):
        self.permits = permits
        self.asked = []

    async def call(self, address, method, request, *, timeout_s):
        if self.permits is None:
            raise UnreachableError('cut off')
        assert isinstance(request, PermitRequest)
        self.asked.append(request)
        return SimpleNamespace(
            body=await self.permits.handle_request(SimpleNamespace(body=request))
        )


def allocator_of(name, clock, *, owner=None, address=''):
    node = Node(name=name, role='gateway', address=f'{name}:1', secret=b'', clock=clock)
    return PermitAllocator(
        node=node,
        client=owner,
        follower=SimpleNamespace(gateway_names=frozenset({'g0', 'g1', 'g2'})),
        ownership=SimpleNamespace(owner_of=lambda service: address),
        pacer=Pacer(name=name, limits=RateLimitTracker()),
    )


def acquire(permits, max_wait_s=0.0):
    return asyncio.run(permits.acquire(SERVER, max_wait_s))


def test_server_without_a_limit_needs_no_turn():
    permits = allocator_of('g0', PausedClock())
    assert acquire(permits).granted
    assert permits.pacer.recent_sends == {}


# A request that was counted twice would leave half of a limit unused.
def test_turn_is_counted_once_by_who_takes_it():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    own.limits.record(ONE, 1.0, clock.now())
    assert acquire(own).granted
    assert own.pacer.count_since(ONE, clock.now()) == 0
    own.pacer.record_send(ONE, clock.now())
    assert not acquire(own).granted
    assert acquire(own, max_wait_s=1).wait_s == pytest.approx(1)


def test_owner_counts_the_turns_of_others_and_what_they_sent_before():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    other = allocator_of('g1', clock, owner=Owner(own), address='g0:1')
    for _ in range(3):
        other.pacer.record_send(ONE, clock.now())
    other.limits.record(ONE, 1.0, clock.now())
    assert acquire(other).granted
    assert own.pacer.count_since(ONE, clock.now()) == 4
    assert not acquire(other).granted
    assert own.pacer.count_since(ONE, clock.now()) == 4


def test_owner_that_cannot_be_reached_leaves_a_part_of_the_limit():
    clock = PausedClock()
    permits = allocator_of('g1', clock, owner=Owner(None), address='g0:1')
    permits.limits.record(ONE, 1.0, clock.now())
    assert acquire(permits).granted
    permits.pacer.record_send(ONE, clock.now())
    clock.advance(5)
    assert not acquire(permits).granted


def test_asker_hears_that_the_limit_is_over():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    other = allocator_of('g1', clock, owner=Owner(own), address='g0:1')
    other.limits.record(ONE, 1.0, clock.now())
    acquire(other)
    clock.advance(1)
    own.limits.record(ONE, None, clock.now())
    clock.advance(1)
    assert acquire(other).granted
    assert other.limits.of(ONE) is None
