"""Permits for rate-limited servers, from the owner of a service or granted locally."""

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

SERVER_ID = BackendId('s0')
SERVER = BackendReport(
    instance=SERVER_ID,
    service=ServiceName('plain'),
    address='s0:1',
    zone='a',
    sequence=1,
)


class Owner:
    """Calls to the owner; it is unreachable if ``allocator`` is None."""

    def __init__(self, allocator):
        self.allocator = allocator
        self.requests = []

    async def call(self, address, method, request, *, timeout_s):
        if self.allocator is None:
            raise UnreachableError('cut off')
        assert isinstance(request, PermitRequest)
        self.requests.append(request)
        return SimpleNamespace(
            body=await self.allocator.handle_request(SimpleNamespace(body=request))
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


def acquire(allocator, max_wait_s=0.0):
    return asyncio.run(allocator.acquire(SERVER, max_wait_s))


def test_server_without_a_limit_needs_no_permit():
    allocator = allocator_of('g0', PausedClock())
    assert acquire(allocator).granted
    assert allocator.pacer.recent_sends == {}


# Counting a request twice would leave half of the limit unused.
def test_permit_is_counted_once_by_its_holder():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    own.limits.record(SERVER_ID, 1.0, clock.now())
    assert acquire(own).granted
    assert own.pacer.count_since(SERVER_ID, clock.now()) == 0
    own.pacer.record_send(SERVER_ID, clock.now())
    assert not acquire(own).granted
    assert acquire(own, max_wait_s=1).wait_s == pytest.approx(1)


def test_owner_counts_the_permits_of_others_and_their_earlier_requests():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    other = allocator_of('g1', clock, owner=Owner(own), address='g0:1')
    for _ in range(3):
        other.pacer.record_send(SERVER_ID, clock.now())
    other.limits.record(SERVER_ID, 1.0, clock.now())
    assert acquire(other).granted
    assert own.pacer.count_since(SERVER_ID, clock.now()) == 4
    assert not acquire(other).granted
    assert own.pacer.count_since(SERVER_ID, clock.now()) == 4


def test_part_of_the_limit_is_available_while_the_owner_is_unreachable():
    clock = PausedClock()
    allocator = allocator_of('g1', clock, owner=Owner(None), address='g0:1')
    allocator.limits.record(SERVER_ID, 1.0, clock.now())
    assert acquire(allocator).granted
    allocator.pacer.record_send(SERVER_ID, clock.now())
    clock.advance(5)
    assert not acquire(allocator).granted


def test_requesting_gateway_learns_that_the_limit_is_lifted():
    clock = PausedClock()
    own = allocator_of('g0', clock)
    other = allocator_of('g1', clock, owner=Owner(own), address='g0:1')
    other.limits.record(SERVER_ID, 1.0, clock.now())
    acquire(other)
    clock.advance(1)
    own.limits.record(SERVER_ID, None, clock.now())
    clock.advance(1)
    assert acquire(other).granted
    assert other.limits.of(SERVER_ID) is None
