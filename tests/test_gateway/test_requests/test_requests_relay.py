"""Compares a stream over several servers with a reference model of the client's view."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from ringseam.clock import PausedClock
from ringseam.gateway.requestcontext import Answered
from ringseam.gateway.requests.relay import StreamOutcome, StreamRelay
from ringseam.web.client import ChannelError, ResponseHead
from tests.gateways import event

LAST_EVENT = 12
HEAD = ResponseHead(status=200, headers=[('Content-Type', 'text/event-stream')])


@dataclass
class Client:
    """Records what a client receives."""

    received: bytes = b''
    starts: int = 0

    def start(self, status, headers):
        self.starts += 1

    async def send(self, body):
        self.received += body


@dataclass
class Server:
    """A server's stream in chunks; it ends properly or breaks."""

    chunks: list
    ends: bool
    received_at: float = 0
    remaining: list = field(init=False)

    def __post_init__(self):
        self.remaining = list(self.chunks)

    async def read_chunk(self):
        if self.remaining:
            return self.remaining.pop(0)
        if self.ends:
            return None
        raise ChannelError('reset', sent=True)


@st.composite
def server_plans(draw):
    """Draw servers: offset from the requested event, length of the stream, chunk size."""
    plans = []
    for _ in range(draw(st.integers(1, 4))):
        plans.append(
            (
                # The stream continues as requested, skips an event or repeats the last one.
                draw(st.sampled_from([0, 0, 0, 1, -1])),
                draw(st.integers(0, 300)),
                draw(st.integers(1, 40)),
            ),
        )
    return plans


def server_after(after, cut, size):
    """Return a server that streams the events after ``after``, up to byte ``cut``."""
    whole = b''.join(event(number) for number in range(max(1, after + 1), LAST_EVENT + 1))
    kept = whole[:cut]
    chunks = [kept[begin : begin + size] for begin in range(0, len(kept), size)]
    return Server(chunks, ends=len(kept) == len(whole))


def expected_last_event(after, offset, cut):
    """Return the last event that a client has received, computed on the full stream."""
    begin = max(1, after + offset + 1)
    sent = b''
    last_event = after
    for number in range(begin, LAST_EVENT + 1):
        sent += event(number)
        if len(sent) > cut or number not in {last_event, last_event + 1}:
            break
        last_event = number
    return last_event


@given(server_plans(), st.integers(0, 3))
def test_client_gets_each_event_once_and_in_order(servers, first_seen):
    """The client has some events already; each server continues after the last one."""

    async def run():
        client = Client()
        context = SimpleNamespace(exchange=client, deadline=1000.0)
        relay = StreamRelay(context=context, clock=PausedClock(), last_event=first_seen)
        last_event = first_seen
        end = None
        for offset, cut, size in servers:
            server = server_after(relay.last_event + offset, cut, size)
            end = await relay.forward(Answered(head=HEAD, marks=None, channel=server))
            last_event = expected_last_event(last_event, offset, cut)
            assert relay.last_event == last_event
            if end is StreamOutcome.complete:
                break
        return client, last_event, end

    client, last_event, end = asyncio.run(run())
    assert client.received == b''.join(
        event(number) for number in range(first_seen + 1, last_event + 1)
    )
    assert client.starts == 1
    if end is StreamOutcome.complete:
        assert last_event == LAST_EVENT


def test_empty_resumed_stream_before_the_last_event_is_not_complete():
    """The second server skips the last event: its stream is empty and ends properly."""
    check = test_client_gets_each_event_once_and_in_order.hypothesis.inner_test
    check(servers=[(0, 164, 1), (1, 0, 1)], first_seen=1)
