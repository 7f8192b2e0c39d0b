"""A stream over several servers against a naive model of what a client may see."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from ringseam.clock import PausedClock
from ringseam.gateway.requests.relay import StreamEnd, StreamRelay
from ringseam.gateway.work import Answered
from ringseam.web.client import ChannelError, ResponseHead
from tests.gateways import event

LAST = 12
HEAD = ResponseHead(status=200, headers=[('Content-Type', 'text/event-stream')])


@dataclass
class Client:
    """What a client gets."""

    got: bytes = b''
    starts: int = 0

    def start(self, status, headers):
        self.starts += 1

    async def send(self, body):
        self.got += body


@dataclass
class Server:
    """A server's stream, in chunks, and whether it ends as it should."""

    chunks: list
    ends: bool
    heard_at: float = 0
    left: list = field(init=False)

    def __post_init__(self):
        self.left = list(self.chunks)

    async def chunk(self):
        if self.left:
            return self.left.pop(0)
        if self.ends:
            return None
        raise ChannelError('reset', sent=True)


@st.composite
def runs(draw):
    """Servers, each going on after an event with some shift, cut somewhere."""
    found = []
    for _ in range(draw(st.integers(1, 4))):
        found.append(
            (
                # An event is missing, none is, or the last one comes again.
                draw(st.sampled_from([0, 0, 0, 1, -1])),
                draw(st.integers(0, 300)),
                draw(st.integers(1, 40)),
            ),
        )
    return found


def stream_of(after, cut, size):
    """Return the chunks of all events after ``after`` up to byte ``cut``."""
    whole = b''.join(event(number) for number in range(max(1, after + 1), LAST + 1))
    kept = whole[:cut]
    chunks = [kept[begin : begin + size] for begin in range(0, len(kept), size)]
    return Server(chunks, ends=len(kept) == len(whole))


def naive(after, shift, cut):
    """Return the event after which a client stands, judged on the whole bytes."""
    begin = max(1, after + shift + 1)
    sent = b''
    standing = after
    for number in range(begin, LAST + 1):
        sent += event(number)
        if len(sent) > cut or number not in {standing, standing + 1}:
            break
        standing = number
    return standing


@given(runs(), st.integers(0, 3))
def test_client_gets_each_event_once_and_in_order(servers, seen):
    """The client has seen some events before; each server is asked after the last."""

    async def run():
        client = Client()
        work = SimpleNamespace(exchange=client, deadline=1000.0)
        relay = StreamRelay(work=work, clock=PausedClock(), last=seen)
        standing = seen
        end = None
        for shift, cut, size in servers:
            server = stream_of(relay.last + shift, cut, size)
            end = await relay.pass_on(Answered(head=HEAD, marks=None, channel=server))
            standing = naive(standing, shift, cut)
            assert relay.last == standing
            if end is StreamEnd.whole:
                break
        return client, standing, end

    client, standing, end = asyncio.run(run())
    assert client.got == b''.join(event(number) for number in range(seen + 1, standing + 1))
    assert client.starts == 1
    if end is StreamEnd.whole:
        assert standing == LAST
