"""The waits that owners of stage services report to a gateway."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.clock import PausedClock
from ringseam.errors import UnreachableError
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.stages.client import PieceClient, ReportedWaits
from ringseam.gateway.stages.messages import WAITS, Waits, WaitsReply
from ringseam.routes import ServiceName

CROPS = ServiceName('crops')


class FakeOwner:
    """Fake owner that reports how long pieces wait, or can't be reached."""

    def __init__(self, waits=None):
        self.waits = waits
        self.asked = []

    async def call(self, address, method, request, *, timeout_s):
        assert method is WAITS
        self.asked.append((address, request.services))
        if self.waits is None:
            raise UnreachableError('cut off')
        return SimpleNamespace(body=WaitsReply(waits={CROPS: Waits(first_ms=self.waits)}))


def pieces_of(owner, address='o:1'):
    ownership = SimpleNamespace(owner_of=lambda service: address)
    scheduler = SimpleNamespace(wait_s=lambda service, precedence: 7)
    return PieceClient(clock=PausedClock(), client=owner, scheduler=scheduler, ownership=ownership)


@pytest.mark.parametrize(('age_s', 'asked'), [(0.1, 0), (0.2, 1), (None, 1)])
def test_owner_is_asked_when_its_report_is_old(age_s, asked):
    owner = FakeOwner({0: 300, 1: 900})
    pieces = pieces_of(owner)
    if age_s is not None:
        at = pieces.clock.now() - age_s
        pieces.reported_waits[CROPS] = ReportedWaits(at=at, waits=Waits(first_ms={0: 300, 1: 900}))
    asyncio.run(pieces.refresh_waits({CROPS}))
    assert len(owner.asked) == asked
    assert pieces.wait_s(CROPS, Precedence(rank=0)) == 0.3
    assert pieces.wait_s(CROPS, Precedence(rank=2)) == 0.9


def test_wait_is_unknown_while_the_owner_is_unreachable():
    pieces = pieces_of(FakeOwner())
    asyncio.run(pieces.refresh_waits({CROPS}))
    assert pieces.wait_s(CROPS, Precedence(rank=0)) == 0


def test_own_waits_are_not_requested():
    owner = FakeOwner({})
    pieces = pieces_of(owner, address='')
    asyncio.run(pieces.refresh_waits({CROPS}))
    assert not owner.asked
    assert pieces.wait_s(CROPS, Precedence(rank=0)) == 7
