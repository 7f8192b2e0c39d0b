"""Connections to servers that send without end: what is read, and when it is given up."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from ringseam.clock import RuntimeClock
from ringseam.web.client import ChannelError, EndlessResponseError
from ringseam.web.pool import HttpChannelPool
from tests.endlessservers import FORMS, EndlessServer

#: The longest time that one connection may keep others from their turn, seconds.
MAX_TURN_S = 0.1
MAX_BODY_BYTES = 1_000_000
#: What one connection may hold: its queue, what is received at once, and the collected body.
MAX_HELD_BYTES = 6_000_000


@contextlib.asynccontextmanager
async def request_to(form):
    """Yield a connection on which a request has been sent, and its server."""
    server = EndlessServer(FORMS[form])
    pool = HttpChannelPool(clock=RuntimeClock())
    try:
        channel = await pool.acquire(server.address, timeout_s=1)
        await channel.send('GET', '/', [('Host', 'h'), ('Attempt-Id', 'a1')], b'')
        yield channel, server
        channel.close()
    finally:
        server.close()
        pool.close()


async def longest_turn_s(until):
    """Return the longest time for which the event loop was kept until a task ends."""
    longest = 0.0
    while not until.done():
        started = time.monotonic()
        await asyncio.sleep(0)
        longest = max(longest, time.monotonic() - started)
    return longest


async def read_response(channel):
    await channel.read_head()
    return await channel.read_body(max_bytes=MAX_BODY_BYTES)


# Fault: informational responses without end kept the event loop of a gateway.
# Fault: bodies without end were collected until the memory of the host was used up.
@pytest.mark.parametrize(
    'form', ['informational', 'refusal', 'chunks', 'tiny chunks', 'until closed', 'failure']
)
def test_response_without_end_is_given_up(form):
    async def run():
        async with request_to(form) as (channel, _):
            reading = asyncio.ensure_future(read_response(channel))
            async with asyncio.timeout(5):
                turn_s = await longest_turn_s(reading)
            with pytest.raises(EndlessResponseError):
                await reading
            assert turn_s < MAX_TURN_S
            assert not channel.is_open
            assert channel.spooled_bytes == 0

    asyncio.run(run())


def test_head_without_end_is_given_up():
    async def run():
        async with request_to('head') as (channel, _):
            async with asyncio.timeout(5):
                with pytest.raises(ChannelError):
                    await channel.read_head()

    asyncio.run(run())


# Fault: what no reader had taken yet, and what came after a response, was read without bound.
@pytest.mark.parametrize('form', ['chunks', 'tiny chunks', 'until closed', 'surplus'])
def test_connection_is_not_read_while_much_waits_for_its_reader(form):
    async def run():
        async with request_to(form) as (channel, server):
            await channel.read_head()
            await asyncio.sleep(0.3)
            held = channel.spooled_bytes + len(channel.parser.trailing_data[0])
            assert held < MAX_HELD_BYTES
            sent = server.sent_bytes
            await asyncio.sleep(0.2)
            assert server.sent_bytes - sent < MAX_HELD_BYTES

    asyncio.run(run())


@pytest.mark.parametrize('size', [0, 1, 100_000, 9_000_000])
@pytest.mark.parametrize('part', [1000, 70_000])
@pytest.mark.parametrize('framing', ['length', 'chunks', 'until closed'])
@pytest.mark.parametrize('pause_s', [0, 0.3])
def test_whole_response_arrives_however_late_it_is_read(size, part, framing, pause_s):
    body = bytes(number % 251 for number in range(size))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n')
        if framing == 'length':
            writer.write(b'Content-Length: %d\r\n' % size)
        elif framing == 'chunks':
            writer.write(b'Transfer-Encoding: chunked\r\n')
        writer.write(b'\r\n')
        for start in range(0, size, part):
            sent = body[start : start + part]
            is_chunk = framing == 'chunks'
            writer.write(b'%x\r\n%s\r\n' % (len(sent), sent) if is_chunk else sent)
            await writer.drain()
        if framing == 'chunks':
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        pool = HttpChannelPool(clock=RuntimeClock())
        port = server.sockets[0].getsockname()[1]
        channel = await pool.acquire(f'127.0.0.1:{port}', timeout_s=1)
        await channel.send('GET', '/', [('Host', 'h')], b'')
        await channel.read_head()
        await asyncio.sleep(pause_s)
        async with asyncio.timeout(5):
            received = await channel.read_body()
        channel.close()
        server.close()
        return received

    assert asyncio.run(run()) == body
