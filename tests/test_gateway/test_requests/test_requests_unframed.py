"""Responses with neither a length nor chunks, which end with their connection.

These tests guard against taking a response that was broken off for a complete one, and against
failing one that is complete, on each way on which servers respond.
"""

import asyncio
import functools

import pytest

from ringseam.platform.stages import PieceResult, decode_piece_requests, encode_results
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    event,
    event_ids,
    reset,
    stream_head,
    stream_script,
)

EVENTS = 6
PATHS = ['/flow/x', '/sticky/x']


def unframed_head(request, content_type='text/event-stream'):
    head = stream_head(request).replace(b'Transfer-Encoding: chunked\r\n', b'')
    assert b'hunked' not in head
    return head.replace(b'text/event-stream', content_type.encode())


def unframed_stream(last, *, rest=b'', end=lambda writer: writer.close()):
    """Respond with events up to ``last`` and then ``rest``, and end the connection."""

    async def script(request, writer):
        after = int(request.header('Last-Event-Id') or 0)
        writer.write(unframed_head(request))
        for number in range(after + 1, last + 1):
            writer.write(event(number))
            await writer.drain()
        writer.write(rest)
        await writer.drain()
        await asyncio.sleep(0.05)
        end(writer)

    return script


async def fetch(key_file, path, *scripts, **headers):
    """Return the raw response of a gateway whose servers run these scripts, in turn."""
    servers = [ScriptedServer(script) for script in scripts]
    async with LocalGateway(key_file) as gateway:
        for number, server in enumerate(servers):
            gateway.add_server(await server.start(), name=f's{number}')
            if number == 0:
                request = asyncio.ensure_future(gateway.fetch(path, **headers))
                while not server.requests:
                    await asyncio.sleep(0.005)
        _, raw = await request
    return raw, servers


@pytest.mark.parametrize('path', PATHS)
def test_unframed_stream_that_ends_after_an_event_is_complete(key_file, path):
    raw, _ = asyncio.run(fetch(key_file, path, unframed_stream(EVENTS)))
    assert event_ids(raw) == list(range(1, EVENTS + 1))
    assert raw.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
    'cut',
    [
        unframed_stream(3, rest=b'id: 4\ndata: he'),
        unframed_stream(3, rest=b'id: 4\n'),
        unframed_stream(3, rest=b'id: 4\ndata: x\n'),
        unframed_stream(3, end=reset),
    ],
    ids=['in its data', 'after its id', 'before its blank line', 'reset'],
)
def test_unframed_stream_that_is_broken_off_is_continued(key_file, path, cut):
    raw, (_, other) = asyncio.run(fetch(key_file, path, cut, stream_script(1, EVENTS)))
    assert event_ids(raw) == list(range(1, EVENTS + 1))
    assert raw.endswith(b'0\r\n\r\n')
    assert other.requests[0].header('Last-Event-Id') == '3'


@pytest.mark.parametrize('path', PATHS)
def test_unframed_stream_that_nobody_continues_does_not_look_complete(key_file, path):
    cut = unframed_stream(3, rest=b'id: 4\ndata: he')
    raw, _ = asyncio.run(fetch(key_file, path, cut))
    assert event_ids(raw) == [1, 2, 3]
    assert not raw.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize('path', PATHS)
def test_unframed_stream_may_continue_a_broken_one(key_file, path):
    begun = stream_script(1, 3, end=False)
    raw, _ = asyncio.run(fetch(key_file, path, begun, unframed_stream(EVENTS)))
    assert event_ids(raw) == list(range(1, EVENTS + 1))
    assert raw.endswith(b'0\r\n\r\n')


# A connection without a frame for its response can't carry another one.
def test_connection_of_an_unframed_response_is_not_used_again(key_file):
    async def run():
        server = ScriptedServer(unframed_stream(EVENTS))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            for number in range(3):
                _, raw = await gateway.fetch('/flow/x', Attempt_Id=f'r{number}')
                assert event_ids(raw) == list(range(1, EVENTS + 1))
        # Some more connections only show that the server still listens.
        assert len(server.requests) == 3 <= server.connections

    asyncio.run(run())


def crashing_after(script_of):
    """Return a server that no longer listens when its response ends."""
    server = ScriptedServer(None)

    def crash(writer):
        server.server.close()
        writer.close()

    server.script = script_of(end=crash)
    return server


# The connections of a crashed server are closed as those of a complete response are.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('last', [0, 3])
def test_unframed_stream_of_a_server_that_crashed_is_not_complete(key_file, path, last):
    async def run():
        first = crashing_after(functools.partial(unframed_stream, last))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await first.start(), name='first')
            request = asyncio.ensure_future(gateway.fetch(path, Prompt_Prefix='aa:1,bb:2'))
            while not first.requests:
                await asyncio.sleep(0.005)
            other = ScriptedServer(stream_script(1, EVENTS))
            gateway.add_server(await other.start(), name='other')
            _, raw = await request
            guard = gateway.role.guard
            assert len(guard.crashes.observed) == 1
            assert guard.local_quarantine.evidence.crashes
        assert event_ids(raw) == list(range(1, EVENTS + 1))
        assert len(other.requests) == 1

    asyncio.run(run())


def unframed_body(end):
    async def script(request, writer):
        writer.write(unframed_head(request, 'text/plain') + b'part of it')
        await writer.drain()
        await asyncio.sleep(0.02)
        end(writer)

    return script


def test_unframed_body_of_a_server_that_crashed_is_not_complete(key_file):
    async def run():
        server = crashing_after(unframed_body)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            status, _ = await gateway.fetch('/once/x')
            assert len(gateway.role.guard.crashes.observed) == 1
        return status

    assert asyncio.run(run()) == 502


def unframed_pieces(share, end=lambda writer: writer.close()):
    """Respond to a call for pieces with a share of the body, and end the connection."""

    async def script(request, writer):
        orders = decode_piece_requests(request.body)
        made = [PieceResult(handle=f'a/{order.attempt_id}-{order.piece}') for order in orders]
        body = encode_results(made)
        writer.write(unframed_head(request, 'application/json') + body[: int(share * len(body))])
        await writer.drain()
        end(writer)

    return script


@pytest.mark.parametrize(
    ('script', 'is_served'),
    [
        (unframed_pieces(1), True),
        (unframed_pieces(0.5), False),
        (unframed_pieces(0.5, reset), False),
    ],
    ids=['whole', 'cut', 'reset'],
)
def test_unframed_results_of_pieces_are_used_if_they_are_whole(key_file, script, is_served):
    async def run():
        engine = ScriptedServer(stream_script(1, EVENTS))
        stages = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await engine.start(), name='engine')
            gateway.add_server(await stages.start(), name='stages', service='crops')
            status, raw = await gateway.fetch('/staged/x', Pieces='2', Deadline_Ms='900')
        assert bool(engine.requests) is is_served
        assert (status == 200) is is_served
        assert (event_ids(raw) == list(range(1, EVENTS + 1))) is is_served

    asyncio.run(run())
