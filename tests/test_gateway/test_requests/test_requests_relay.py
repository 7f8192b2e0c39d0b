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
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    event,
    event_ids,
    stream_head,
    stream_script,
)

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

    def count_held(self, change):
        """Count nothing."""


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


@given(server_plans(), st.integers(1, 3))
def test_end_is_complete_only_with_the_last_event(servers, first_seen):
    """The servers continue where the relay asks; one that repeats the last event confirms it."""

    async def run():
        context = SimpleNamespace(exchange=Client(), deadline=1000.0)
        relay = StreamRelay(context=context, clock=PausedClock(), last_event=first_seen)
        for offset, cut, size in [*servers, (0, 300, 9), (0, 300, 9)]:
            after = first_seen if relay.resume_after is None else relay.resume_after
            server = server_after(after + offset, cut, size)
            end = await relay.forward(Answered(head=HEAD, marks=None, channel=server))
            if end is StreamOutcome.complete:
                return relay.last_event
        return None

    assert asyncio.run(run()) == LAST_EVENT


async def end_at_once(request, writer):
    """Answer with a stream that has no event and ends properly."""
    writer.write(stream_head(request) + b'0\r\n\r\n')
    await writer.drain()


def answers_of_two_servers(key_file, first_script, second_script, **headers):
    """Return the client's bytes and the Last-Event-Id that each server was sent."""

    async def run():
        first, second = ScriptedServer(first_script), ScriptedServer(second_script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await first.start(), name='a-first')
            gateway.add_server(await second.start(), name='b-second')
            reader, _ = await gateway.open_request('/flow/x', **headers)
            raw = b''
            try:
                while data := await reader.read(65536):
                    raw += data
            except ConnectionResetError:
                pass
        asked = [server.requests[0].header('Last-Event-Id') for server in (first, second)]
        return raw, asked

    return asyncio.run(run())


def test_server_that_skips_the_last_event_does_not_end_the_response(key_file):
    raw, asked = answers_of_two_servers(
        key_file, end_at_once, stream_script(1, 6), Last_Event_Id='5'
    )
    assert asked == ['5', '4']
    assert event_ids(raw) == [6]
    assert raw.endswith(b'0\r\n\r\n')


def test_repeated_last_event_confirms_the_end(key_file):
    """The client lost its connection after the last event and before the end of the stream."""
    raw, asked = answers_of_two_servers(
        key_file, stream_script(1, 6), stream_script(1, 6), Last_Event_Id='6'
    )
    assert asked == ['6', '5']
    assert event_ids(raw) == []
    assert raw.endswith(b'0\r\n\r\n')


def test_unconfirmed_end_does_not_look_complete(key_file):
    raw, _ = answers_of_two_servers(key_file, end_at_once, end_at_once, Last_Event_Id='5')
    assert not raw.endswith(b'0\r\n\r\n')


def test_empty_stream_after_a_broken_one_does_not_look_complete(key_file):
    broken = stream_script(1, 2, end=False)
    raw, asked = answers_of_two_servers(key_file, broken, end_at_once)
    assert asked == ['', '2']
    assert event_ids(raw) == [1, 2]
    assert not raw.endswith(b'0\r\n\r\n')
