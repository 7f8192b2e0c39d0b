"""The HTTP server: invalid input yields an error response or a closed connection."""

from __future__ import annotations

import asyncio
import random

import pytest

from ringseam.web.accounting import Acceptance, HttpAccounting
from ringseam.web.server import HttpLimits, HttpServer

LIMITS = HttpLimits(header_bytes=2000, body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.4)


async def serve(handler, check):
    server = HttpServer(handler=handler, limits=LIMITS)
    port = await server.start('127.0.0.1', 0)
    try:
        return await check(port, server)
    finally:
        await server.close()


async def echo(exchange):
    await exchange.respond(200, [('X-Length', str(len(exchange.request.body)))], b'ok')


async def send(port, *parts, pause=0.0, read_s=2):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause)
    async with asyncio.timeout(read_s):
        try:
            raw = await reader.read()
        except ConnectionResetError:
            raw = b''
    writer.close()
    return raw


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'nonsense\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n', b'400'),
        (
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
            b'400',
        ),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'y' * 4000, b'431'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n' + b'z' * 5000, b'413'),
        (b'GET / HTTP/1.1\r\nHost: h\r\n', b'408'),
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc', b'408'),
    ],
)
def test_bad_requests(sent, status):
    async def check(port, server):
        raw = await send(port, sent)
        assert raw.split(b' ')[1] == status

    asyncio.run(serve(echo, check))


@pytest.mark.parametrize('seed', range(20))
def test_random_bytes_never_reach_a_handler(seed):
    async def never(exchange):
        raise AssertionError('handler was called')

    async def check(port, server):
        raw = await send(port, random.Random(seed).randbytes(600))
        assert raw == b'' or raw.split(b' ')[1] in {b'400', b'408', b'431'}
        await asyncio.sleep(0.6)
        assert not server.connections

    asyncio.run(serve(never, check))


def test_chunked_body_and_pipelined_requests():
    async def check(port, server):
        chunked = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        body = b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        last = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
        raw = await send(port, chunked, body + last, pause=0.05)
        assert raw.count(b'200') == 2
        assert b'X-Length: 5' in raw
        assert b'X-Length: 0' in raw

    asyncio.run(serve(echo, check))


def test_idle_connection_is_closed_and_removed():
    async def check(port, server):
        assert await send(port) == b''
        assert not server.connections

    asyncio.run(serve(echo, check))


class Refusing(HttpAccounting):
    """Accepts one client, refuses one and closes the rest."""

    def accept(self, clients, refused):
        self.asked = [*getattr(self, 'asked', ()), (clients, refused)]
        if clients == 1:
            return Acceptance.accept
        return Acceptance.close if refused else Acceptance.refuse


def test_refused_connections_count_apart_until_they_are_closed():
    """Guards against refused connections that count for the bound, or stay counted."""

    async def check(port, server):
        server.accounting = Refusing()
        writers = []
        for _ in range(4):
            writers.append((await asyncio.open_connection('127.0.0.1', port))[1])
            await asyncio.sleep(0.02)
        assert server.accounting.asked == [(1, 0), (2, 0), (2, 1), (2, 1)]
        assert (server.client_count, server.refused) == (1, 1)
        writers[0].close()
        await asyncio.sleep(0.02)
        assert (server.client_count, server.refused) == (0, 1)
        for writer in writers[1:]:
            writer.close()
        await asyncio.sleep(0.02)
        assert (server.client_count, server.refused) == (0, 0)
        assert not server.connections

    asyncio.run(serve(echo, check))


def test_closed_connection_cancels_the_handler():
    async def check(port, server):
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(1):
            await cancelled.wait()
        assert server.active == 0

    cancelled = asyncio.Event()

    async def slow(exchange):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    asyncio.run(serve(slow, check))


def test_failing_handler_is_answered_with_500():
    async def broken(exchange):
        raise ValueError('oops')

    async def check(port, server):
        raw = await send(port, b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n')
        assert raw.split(b' ')[1] == b'500'

    asyncio.run(serve(broken, check))


def test_closing_server_sends_connection_close():
    async def check(port, server):
        server.closing = True
        raw = await send(port, b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert b'Connection: close' in raw

    asyncio.run(serve(echo, check))


class Recording(HttpAccounting):
    """Records requests and responses that were lost."""

    def __init__(self):
        self.cancelled = []
        self.unsent = []

    def record_cancelled(self, exchange):
        self.cancelled.append(exchange.request.target)

    def record_unsent(self, unsent_bytes):
        self.unsent.append(unsent_bytes)


def test_cancelled_handlers_are_recorded_unless_their_client_left():
    """Guards against requests that end inside the server and look as if their client had left."""

    async def check(port, server):
        server.accounting = Recording()
        for target in ('inside', 'outside'):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(f'GET /{target} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
        assert server.accounting.cancelled == ['/inside']

    async def cancelled(exchange):
        waiting = asyncio.get_running_loop().create_future()
        if exchange.request.target == '/inside':
            waiting.cancel()
        await waiting

    asyncio.run(serve(cancelled, check))


def test_response_that_is_lost_as_the_server_closes_is_recorded():
    """Guards against a stop that loses a response without a trace."""

    async def large(exchange):
        await exchange.respond(200, [], bytes(32 * 2**20))

    async def check(port, server):
        server.accounting = Recording()
        _, writer = await asyncio.open_connection('127.0.0.1', port, limit=1)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.1)
        await server.close()
        assert len(server.accounting.unsent) == 1
        writer.close()

    asyncio.run(serve(large, check))
