"""Calls to stage servers over connections: what their durations tell.

Guards against servers that count as slow because a connection to them had to be opened first.
"""

from __future__ import annotations

import asyncio
import types

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.clock import PausedClock
from ringseam.gateway.serverload.speeds import ObservedSpeeds
from ringseam.gateway.stages.calls import PieceCalls
from ringseam.gateway.stages.jobs import StageCall
from ringseam.platform.stages import encode_results
from ringseam.routes import ServiceName
from ringseam.web.client import ResponseHead

SERVER = BackendReport(
    instance=BackendId('s1'), service=ServiceName('crops'), address='s1:1', zone='a', sequence=1
)
CONNECT_S = 0.3
CALL_S = 0.2


class SlowlyOpenedPool:
    """A pool that takes a while to open each connection, to a server that takes a while."""

    def __init__(self, clock):
        self.clock = clock
        self.request_count = 1

    async def acquire(self, address, *, timeout_s, is_new=False):
        self.clock.advance(CONNECT_S)
        return self

    async def send(self, method, target, headers, body):
        """Accept the request."""

    async def read_head(self):
        self.clock.advance(CALL_S)
        return ResponseHead(status=200, headers=[])

    async def read_body(self, *, max_bytes):
        return encode_results([])

    def release(self, channel):
        """Accept the connection."""

    def close(self):
        """Accept the end."""


def test_time_of_a_call_does_not_include_connecting(monkeypatch):
    clock = PausedClock()
    observed = []
    speeds = ObservedSpeeds()
    monkeypatch.setattr(
        speeds, 'observe', lambda *_, **fields: observed.append(fields['duration_s'])
    )
    notices = types.SimpleNamespace(speeds=speeds, record=lambda *_: None)
    calls = PieceCalls(pool=SlowlyOpenedPool(clock), clock=clock, notices=notices)
    asyncio.run(calls.run(StageCall(server=SERVER, pieces=[], expected_s=CALL_S)))
    assert observed == [pytest.approx(CALL_S)]
