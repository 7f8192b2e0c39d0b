"""Requests that were read and would get no answer, or only a part of it."""

from __future__ import annotations

import asyncio
import socket
import time

from ringseam.web.server import HttpLimits, HttpServer

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
IDLE_S = 0.3
#: Of the sockets on both sides, so that the operating system holds little.
BUFFER_BYTES = 16_384
PART_BYTES = 2**16
PARTS = 64


async def serve(handler, check, idle_s=5.0):
    server = HttpServer(handler=handler, limits=HttpLimits(idle_timeout_s=idle_s))
    port = await server.start('127.0.0.1', 0)
    try:
        await check(port, server)
    finally:
        await server.close()


async def respond(exchange):
    await exchange.respond(200, [], b'ok')


async def read_response(reader):
    async with asyncio.timeout(2):
        head = await reader.readuntil(b'\r\n\r\n')
    return head.split(b' ')[1]


async def connect_slow_reader(port):
    """Connect a client whose operating system buffers little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ('127.0.0.1', port))
    return await asyncio.open_connection(sock=sock, limit=BUFFER_BYTES)


# Fault: a handler that was cancelled from inside left its client without any answer.
def test_cancellation_from_inside_is_answered():
    async def cancelled_inside(exchange):
        inner = asyncio.get_running_loop().create_future()
        inner.cancel()
        await inner

    async def check(port, server):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        assert await read_response(reader) == b'500'
        writer.close()

    asyncio.run(serve(cancelled_inside, check))


# Fault: a handler that ended without a response closed the connection without any answer.
def test_handler_without_a_response_is_answered():
    async def silent(exchange):
        """Return without a response."""

    async def check(port, server):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        assert await read_response(reader) == b'500'
        writer.close()

    asyncio.run(serve(silent, check))


# Fault: a response with a header beyond ASCII was replaced by a closed connection.
def test_header_beyond_ascii_is_forwarded():
    async def named(exchange):
        await exchange.respond(200, [('X-Line', 'Thi\xe8s')], b'ok')

    async def check(port, server):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(REQUEST)
        async with asyncio.timeout(2):
            head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert b'X-Line: Thi\xe8s\r\n' in head
        writer.close()

    asyncio.run(serve(named, check))


# Fault: a server that closed lost the part of a response that its client had not read.
def test_response_is_written_before_the_server_is_closed():
    async def large(exchange):
        exchange.start(200, [('Content-Length', str(PARTS * PART_BYTES))])
        for _ in range(PARTS):
            await exchange.send(bytes(PART_BYTES))
        await exchange.finish()

    async def check(port, server):
        reader, writer = await connect_slow_reader(port)
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        received = 0
        (connection,) = server.connections
        connection.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )
        while server.active:
            received += len(await reader.read(PART_BYTES))
            # The server fills all buffers before the next part is read.
            await asyncio.sleep(0.001)
        assert connection.transport.get_write_buffer_size()
        rest = asyncio.ensure_future(reader.readexactly(PARTS * PART_BYTES - received))
        await server.close()
        # The process ends here, and loses what it has not written.
        for left in server.connections:
            left.transport.abort()
        async with asyncio.timeout(5):
            assert await rest
        writer.close()

    asyncio.run(serve(large, check))


# Fault: an idle connection was closed by the limit that was in force when it became idle,
# while its client relied on the longer one.
def test_idle_connection_follows_a_longer_limit():
    async def check(port, server):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        await asyncio.sleep(IDLE_S / 2)
        server.limits.idle_timeout_s = 10 * IDLE_S
        await asyncio.sleep(2 * IDLE_S)
        writer.write(REQUEST)
        assert await read_response(reader) == b'200'
        writer.close()

    asyncio.run(serve(respond, check, idle_s=IDLE_S))


# Fault: a process that was late closed idle connections whose next request had arrived.
def test_request_that_arrived_before_the_idle_timer_fired_is_answered():
    async def check(port, server):
        loop = asyncio.get_running_loop()
        client = socket.create_connection(('127.0.0.1', port))
        await asyncio.sleep(IDLE_S / 2)
        (connection,) = server.connections
        due = connection.idle_timer.when()
        # The loop is blocked until both this and the idle timer are due.
        loop.call_at(due - 0.02, time.sleep, 0.1)
        loop.call_at(due - 0.01, client.sendall, REQUEST)
        await asyncio.sleep(IDLE_S)
        client.setblocking(False)
        async with asyncio.timeout(2):
            assert (await loop.sock_recv(client, 100)).startswith(b'HTTP/1.1 200')
        client.close()

    asyncio.run(serve(respond, check, idle_s=IDLE_S))


# Fault: a response that was written completely was cut off when its handler was cancelled.
def test_response_that_is_written_survives_the_cancellation_of_its_handler():
    async def large(exchange):
        await exchange.respond(200, [], bytes(PARTS * PART_BYTES))

    async def check(port, server):
        reader, writer = await connect_slow_reader(port)
        writer.write(REQUEST)
        await reader.readuntil(b'\r\n\r\n')
        assert server.active
        server.cancel_handlers()
        async with asyncio.timeout(10):
            assert await reader.readexactly(PARTS * PART_BYTES)
        writer.close()

    asyncio.run(serve(large, check))
