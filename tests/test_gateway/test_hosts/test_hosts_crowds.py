"""Several hundred slow readers of streams at one gateway with little memory for them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from ringseam.events import Event
from tests.gateways import LocalGateway, ScriptedServer, chunk, event_ids, manifest, stream_head

READERS = 300
BOUND_BYTES = 4_000_000
#: How much more than the bound may be counted for an instant: parts that arrive in one step.
EXCEEDED_FACTOR = 1.2
#: More than the bound and the buffers of the system hold for all readers.
EVENT = b'id: %d\ndata: ' + b'x' * 20_000 + b'\n\n'
EVENTS = 100
#: Streams that are read at once, one after the other, while the others are there.
STEADY = 20
STEADY_EVENTS = 20
#: Time between two readers that come one by one, seconds.
ARRIVAL_S = 0.005
#: All of them have begun to read by then, seconds.
BEGUN_S = 0.5
#: How long the slow readers stay, seconds.
STAYED_S = 3.0
#: The interval at which a gateway checks what its host holds, seconds.
CHECK_INTERVAL_S = 0.1


async def large_stream(request, writer):
    with contextlib.suppress(OSError):
        writer.write(stream_head(request))
        for number in range(1, EVENTS + 1):
            writer.write(chunk(EVENT % number))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


async def steady_stream(request, writer):
    writer.write(stream_head(request))
    for number in range(1, STEADY_EVENTS + 1):
        writer.write(chunk(b'id: %d\ndata: x\n\n' % number))
        await asyncio.sleep(0.01)
    writer.write(b'0\r\n\r\n')


async def by_route(request, writer):
    is_slow = request.lines[0].startswith('POST /cut/')
    await (large_stream if is_slow else steady_stream)(request, writer)


async def read_slowly(port, name):
    """Read a byte at a time for a while; return whether the connection was cut meanwhile."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    with contextlib.closing(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        sock.setblocking(False)
        await loop.sock_connect(sock, ('127.0.0.1', port))
        head = (
            f'POST /cut/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {name}\r\n'
            'Deadline-Ms: 20000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n'
        )
        await loop.sock_sendall(sock, head.encode())
        until = loop.time() + STAYED_S
        try:
            while loop.time() < until:
                async with asyncio.timeout_at(until):
                    if not await loop.sock_recv(sock, 1):
                        return True
                await asyncio.sleep(0.2)
        except ConnectionError:
            return True
        except TimeoutError:
            return False
        return False


async def check_always(gateway):
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        gateway.role.host.check()


async def run_crowd(gateway, arrival_s):
    """Return the ids of slow readers that were cut, and the responses of others."""
    names = [f'slow{number}' for number in range(READERS)]
    reading = []
    for name in names:
        reading.append(asyncio.create_task(read_slowly(gateway.port, name)))
        if arrival_s:
            await asyncio.sleep(arrival_s)
    await asyncio.sleep(BEGUN_S)
    steady = []
    for number in range(STEADY):
        steady.append(await gateway.fetch('/flow/', Attempt_Id=f'steady{number}'))
    were_cut = await asyncio.gather(*reading)
    return {name for name, was_cut in zip(names, were_cut, strict=True) if was_cut}, steady


async def run(key_file, arrival_s):
    """Return the most bytes held, and what :func:`run_crowd` does."""
    services = [{'name': 'plain', 'max_conns': 2 * READERS}, {'name': 'crops', 'pieces': {}}]
    async with LocalGateway(key_file) as gateway:
        gateway.apply_document(manifest(services=services))
        budget = gateway.role.host.budget
        budget.bound_bytes = budget.limit = BOUND_BYTES
        gateway.add_server(await ScriptedServer(by_route).start())
        monitor = asyncio.create_task(check_always(gateway))
        were_cut, steady = await run_crowd(gateway, arrival_s)
        monitor.cancel()
        return budget.largest, were_cut, steady


def check_crowd(key_file, caplog, arrival_s):
    with caplog.at_level(logging.WARNING, logger='ringseam'):
        largest, were_cut, steady = asyncio.run(run(key_file, arrival_s))
    for status, raw in steady:
        assert status == 200
        assert event_ids(raw) == list(range(1, STEADY_EVENTS + 1))
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    given_up = {line['request'] for line in lines if line['event'] == Event.client_given_up.number}
    assert were_cut <= given_up
    assert largest <= EXCEEDED_FACTOR * BOUND_BYTES


def test_crowd_of_slow_readers_stays_within_the_bound_and_others_are_served(key_file, caplog):
    check_crowd(key_file, caplog, ARRIVAL_S)


# Fault: what was held for responses that had just begun belonged to no client, so that none of
# them was given up and the bound was exceeded.
def test_crowd_that_arrives_at_once_stays_within_the_bound(key_file, caplog):
    check_crowd(key_file, caplog, 0)


class Gathering:
    """Answers all requests at the same moment, each with a large part of a stream."""

    def __init__(self):
        self.waiting = 0
        self.all_here = asyncio.Event()

    async def __call__(self, request, writer):
        self.waiting += 1
        if self.waiting == GATHERED:
            self.all_here.set()
        await self.all_here.wait()
        with contextlib.suppress(OSError):
            writer.write(stream_head(request) + chunk(b'id: 1\ndata: ' + b'x' * 200_000 + b'\n\n'))
            await writer.drain()


GATHERED = 60


# Fault: what had arrived with the head of a response belonged to no client until it was
# forwarded, so that none of them was given up when the responses of many arrived at once.
def test_responses_that_arrive_at_the_same_moment_stay_within_the_bound(key_file):
    async def run():
        services = [{'name': 'plain', 'max_conns': 2 * GATHERED}, {'name': 'crops', 'pieces': {}}]
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(manifest(services=services))
            budget = gateway.role.host.budget
            budget.bound_bytes = budget.limit = BOUND_BYTES
            gateway.add_server(await ScriptedServer(Gathering()).start())
            reading = [
                asyncio.create_task(read_slowly(gateway.port, f'slow{number}'))
                for number in range(GATHERED)
            ]
            await asyncio.sleep(1.5)
            for task in reading:
                task.cancel()
            return budget.largest

    assert asyncio.run(run()) <= EXCEEDED_FACTOR * BOUND_BYTES
