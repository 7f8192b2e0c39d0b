"""Slow clients and servers over real connections.

Guards against a response that goes on filling this host after its client was given up, a
server that isn't told, a stream that pauses because of another client, and a server that reads
a request slowly and holds others up.
"""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest

from ringseam.events import Event
from ringseam.gateway.role import GatewayRole
from ringseam.settings import read_settings
from tests.gateways import (
    SETTINGS,
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    http_response,
    stream_head,
)

BOUND = 2_000_000
EVENT = b'id: %d\ndata: ' + b'x' * 60_000 + b'\n\n'
#: More than the buffers of the system hold for a connection.
LARGE_EVENTS = 400


def bound_memory(gateway):
    budget = gateway.role.host.budget
    budget.bound_bytes = budget.limit = BOUND


def test_limits_of_the_settings_reach_the_budget_and_the_other_gateways(key_file):
    async def run():
        limits = 'host_cpu_share = 0.5\nhost_cores = 2\nhost_memory_mb = 160\n'
        text = SETTINGS.format(key=key_file) + limits
        role = GatewayRole(settings=read_settings('gateway', text, path='g.ini'))
        assert role.follower.state.capacity.processor == 1
        assert role.host.budget.bound_bytes == 40_000_000
        role.reload(read_settings('gateway', text.replace('0.5', '0.25'), path='g.ini'))
        assert role.follower.state.capacity.processor == 0.5

    asyncio.run(run())


class LargeStream:
    """Sends large events as quickly as the gateway reads them."""

    def __init__(self):
        self.sent = 0
        self.ended = asyncio.Event()

    async def __call__(self, request, writer):
        try:
            writer.write(stream_head(request))
            for number in range(1, LARGE_EVENTS + 1):
                writer.write(chunk(EVENT % number))
                await writer.drain()
                self.sent = number
        except OSError:
            self.ended.set()
            raise


async def steady_stream(request, writer):
    writer.write(stream_head(request))
    for number in range(1, 21):
        writer.write(chunk(event(number)))
        await asyncio.sleep(0.02)
    writer.write(b'0\r\n\r\n')


async def connect_slowly(port, path):
    """Send a request on a connection with small buffers that is not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ('127.0.0.1', port))
    head = (
        f'POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow\r\nDeadline-Ms: 2500\r\n'
        'Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n'
    )
    await asyncio.get_running_loop().sock_sendall(sock, head.encode())
    return sock


def test_server_of_a_client_given_up_is_told_at_once(key_file, caplog):
    async def run():
        script = LargeStream()
        async with LocalGateway(key_file) as gateway:
            bound_memory(gateway)
            gateway.add_server(await ScriptedServer(script).start())
            sock = await connect_slowly(gateway.port, '/cut/')
            async with asyncio.timeout(4):
                await script.ended.wait()
            budget = gateway.role.host.budget
            assert BOUND < budget.largest < 1.5 * BOUND
            assert script.sent < LARGE_EVENTS
            await asyncio.sleep(0.05)
            assert budget.total == 0
            sock.close()

    with caplog.at_level(logging.WARNING, logger='ringseam'):
        asyncio.run(run())
    lines = [record.msg for record in caplog.records]
    (given_up,) = [line for line in lines if line['event'] == Event.client_given_up.number]
    assert given_up['request'] == 'slow'
    # The spool is part of it: the buffer of a connection is much smaller.
    assert given_up['held_bytes'] > BOUND / 2


def test_other_streams_keep_their_events_beside_a_slow_client(key_file):
    async def run():
        script = LargeStream()

        async def by_route(request, writer):
            is_slow = request.lines[0].startswith('POST /cut/')
            await (script if is_slow else steady_stream)(request, writer)

        async with LocalGateway(key_file) as gateway:
            bound_memory(gateway)
            gateway.add_server(await ScriptedServer(by_route).start())
            steady = asyncio.create_task(gateway.fetch('/flow/'))
            sock = await connect_slowly(gateway.port, '/cut/')
            status, raw = await steady
            assert status == 200
            assert raw.count(b'id:') == 20
            assert script.ended.is_set()
            sock.close()

    asyncio.run(run())


@pytest.mark.parametrize('path', ['/idem/', '/once/'])
def test_server_that_reads_a_body_slowly_ends_with_the_deadline(key_file, path):
    async def never_read(request, writer):
        await asyncio.sleep(10)

    async def answer(request, writer):
        writer.write(http_response(request))

    async def run():
        async with LocalGateway(key_file) as gateway:
            bound_memory(gateway)
            gateway.add_server(await ScriptedServer(never_read).start())
            slow = asyncio.create_task(gateway.fetch(path, Deadline_Ms='400'))
            await asyncio.sleep(0.05)
            gateway.role.follower.view.keep_only(set())
            gateway.add_server(await ScriptedServer(answer).start())
            assert (await gateway.fetch('/idem/'))[0] == 200
            assert (await slow)[0] == 504
            assert gateway.role.host.budget.total == 0

    asyncio.run(run())
