"""Requests on connections that clients keep while their gateway stops.

Failure: a stopping gateway read further requests on connections whose last response had begun
before the stop, and broke their responses off at the end of its grace period.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.gateways import LocalGateway, ScriptedServer, chunk, event, http_response, stream_head

GRACE = 'grace_s = 3\n'
#: Time that clients need to go on after a response, seconds.
ONE_WAY_S = 0.003


def slow_stream(events, interval_s):
    async def script(request, writer):
        writer.write(stream_head(request))
        for number in range(1, events + 1):
            await asyncio.sleep(interval_s)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    return script


async def read_to_end(reader):
    """Read the rest of a chunked response; return whether it is whole."""
    try:
        async with asyncio.timeout(8):
            await reader.readuntil(b'\r\n0\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return False
    return True


def request_bytes(path, attempt, deadline_ms=20_000):
    return (
        f'POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\n'
        f'Authorization: Bearer key-1\r\nDeadline-Ms: {deadline_ms}\r\n'
        'Content-Length: 4\r\n\r\nbody'
    ).encode()


async def stopping_gateway(gateway):
    """Begin to stop a gateway; return the task."""
    gateway.role.settings = gateway.read_settings(GRACE)
    stopping = asyncio.create_task(gateway.role.stop())
    await asyncio.sleep(0)
    return stopping


# Guards against responses that a planned stop breaks off, of requests that it could have left.
@pytest.mark.parametrize('path', ['/cut/x', '/flow/x'])
def test_kept_connection_ends_with_the_response_that_began_before_the_stop(key_file, path):
    async def run():
        server = ScriptedServer(slow_stream(5, 0.1))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            writer.write(request_bytes(path, 'first'))
            await reader.readuntil(b'id: 1')
            stopping = await stopping_gateway(gateway)
            server.script = slow_stream(100, 0.1)
            assert await read_to_end(reader)
            await asyncio.sleep(ONE_WAY_S)
            writer.write(request_bytes(path, 'second'))
            begun = time.monotonic()
            assert not await read_to_end(reader)
            took_s = time.monotonic() - begun
            writer.close()
            await stopping
        assert [request.attempt_id for request in server.requests] == ['first']
        assert took_s < 0.5

    asyncio.run(run())


# A request that was sent before the response has ended is read, and answered.
def test_request_that_was_sent_ahead_is_answered_by_a_gateway_that_stops(key_file):
    async def run():
        server = ScriptedServer(slow_stream(5, 0.05))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            writer.write(request_bytes('/cut/x', 'first'))
            await reader.readuntil(b'id: 1')
            stopping = await stopping_gateway(gateway)
            writer.write(request_bytes('/cut/x', 'second', deadline_ms=1000))
            assert await read_to_end(reader)
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'Connection: close' in head
            assert b'id: 5' in await reader.read()
            writer.close()
            await stopping
        assert [request.attempt_id for request in server.requests] == ['first', 'second']

    asyncio.run(run())


def test_plain_response_asks_for_the_close_of_its_connection(key_file):
    async def respond(request, writer):
        writer.write(http_response(request))

    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            stopping = await stopping_gateway(gateway)
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            writer.write(request_bytes('/once/x', 'first'))
            assert b'Connection: close' in await reader.read()
            writer.close()
            await stopping

    asyncio.run(run())


async def send_slowly(gateway, path, pause_s):
    """Send a request whose body comes after a pause; return the reader and the writer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    head, _, body = request_bytes(path, 'late').partition(b'\r\n\r\n')
    writer.write(head + b'\r\n\r\n')
    await asyncio.sleep(pause_s)
    writer.write(body)
    return reader, writer


# Guards against requests that are read late in the grace period, passed on, and broken off.
@pytest.mark.parametrize(('path', 'status'), [('/cut/x', 503), ('/idem/x', 200)])
def test_request_that_a_stop_would_break_off_is_refused_at_once(key_file, path, status):
    async def respond(request, writer):
        if 'cut' in request.lines[0]:
            await slow_stream(8, 0.1)(request, writer)
        else:
            writer.write(http_response(request))

    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            for known in ('/cut/x', '/idem/x'):
                assert (await gateway.fetch(known, Attempt_Id='known'))[0] == 200
            stopping = await stopping_gateway(gateway)
            reader, writer = await send_slowly(gateway, path, pause_s=1.8)
            begun = time.monotonic()
            head = await reader.readuntil(b'\r\n\r\n')
            took_s = time.monotonic() - begun
            writer.close()
            await stopping
        assert head.startswith(b'HTTP/1.1 %d' % status)
        assert b'Connection: close' in head
        assert took_s < 0.3
        sent = [request for request in server.requests if request.attempt_id == 'late']
        assert len(sent) == (status == 200)

    asyncio.run(run())
