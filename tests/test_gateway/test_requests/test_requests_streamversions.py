"""Streams of services whose servers run several software versions."""

from __future__ import annotations

import asyncio
import contextlib
import logging

import pytest

from ringseam.events import Event
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    event_ids,
    reset,
    stream_head,
    stream_script,
)


class BreakingServer(ScriptedServer):
    """Send three events, then break off once it is allowed to."""

    def __init__(self) -> None:
        super().__init__(self.stream)
        self.running = asyncio.Event()
        self.may_break = asyncio.Event()

    async def stream(self, request, writer):
        writer.write(stream_head(request))
        for number in (1, 2, 3):
            writer.write(chunk(event(number)))
        await writer.drain()
        self.running.set()
        await self.may_break.wait()
        await asyncio.sleep(0.05)
        reset(writer)


async def read_until_closed(gateway, path, **headers):
    """Return what a client receives until its connection ends, also by a reset."""
    reader, writer = await gateway.open_request(path, **headers)
    raw = b''
    with contextlib.suppress(ConnectionResetError):
        while part := await reader.read(65536):
            raw += part
    writer.close()
    return raw


def connect(**gateways):
    """Tell gateways of each other."""
    for name, gateway in gateways.items():
        gateway.role.node.name = name
    states = [gateway.role.follower.state for gateway in gateways.values()]
    for gateway in gateways.values():
        gateway.set_gateways(*states)


# What a request continues, and at which version, could not be told from the lines of its sends.
def test_lines_of_sends_name_the_version_and_the_continued_attempt(key_file, caplog):
    async def run():
        server = ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), software='v1.1')
            await gateway.fetch('/flow/x', Attempt_Id='r1')
            await gateway.fetch('/flow/x', Attempt_Id='r2', Last_Event_Id='3', Resumes='r1')

    with caplog.at_level(logging.INFO, logger='ringseam'):
        asyncio.run(run())
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    sent = [line for line in lines if line['event'] == Event.request_sent.number]
    assert [(line['software'], line['last'], line['resumes']) for line in sent] == [
        ('v1.1', None, ''),
        ('v1.1', 3, 'r1'),
    ]


# A response that goes on at another software version holds events that don't fit together.
@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
def test_broken_stream_continues_only_at_the_version_that_began_it(key_file, path):
    async def run():
        breaking = BreakingServer()
        other, same = ScriptedServer(stream_script(1, 6)), ScriptedServer(stream_script(1, 6))
        other_address = await other.start()
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await breaking.start(), name='first', software='v1')
            request = asyncio.ensure_future(gateway.fetch(path))
            await breaking.running.wait()
            for number in range(8):
                gateway.add_server(other_address, name=f'other-{number}', software='v2')
            gateway.add_server(await same.start(), name='same', software='v1')
            breaking.may_break.set()
            _, raw = await request
        assert event_ids(raw) == [1, 2, 3, 4, 5, 6]
        assert not other.requests

    asyncio.run(run())


# Without a server of the version that began it, a stream ends incomplete, and visibly so.
@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
def test_broken_stream_without_a_server_of_its_version_does_not_look_complete(key_file, path):
    async def run():
        breaking = BreakingServer()
        other = ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await breaking.start(), name='first', software='v1')
            request = asyncio.ensure_future(read_until_closed(gateway, path))
            await breaking.running.wait()
            gateway.add_server(await other.start(), name='other', software='v2')
            breaking.may_break.set()
            raw = await request
        assert event_ids(raw) == [1, 2, 3]
        assert not raw.endswith(b'0\r\n\r\n')
        assert not other.requests

    asyncio.run(run())


# Clients take a stream up at any gateway, which chose a server as for a new stream.
@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
def test_stream_taken_up_at_another_gateway_continues_at_its_version(key_file, path):
    async def run():
        breaking = BreakingServer()
        other, same = ScriptedServer(stream_script(1, 6)), ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as first, LocalGateway(key_file) as second:
            connect(g1=first, g2=second)
            first.add_server(await breaking.start(), name='first', software='v1')
            request = asyncio.ensure_future(read_until_closed(first, path))
            await breaking.running.wait()
            breaking.may_break.set()
            await request
            second.add_server(await other.start(), name='a-other', software='v2')
            second.add_server(await same.start(), name='z-same', software='v1')
            taken_up = [
                await second.fetch(path, Attempt_Id=f'r{attempt}', Last_Event_Id='3', Resumes='r1')
                for attempt in range(2, 10)
            ]
        assert [event_ids(raw) for _, raw in taken_up] == [[4, 5, 6]] * 8
        assert not other.requests

    asyncio.run(run())


# A stream whose version is unknown may have begun at any; the client is told that nothing ran.
@pytest.mark.parametrize('path', ['/flow/x', '/sticky/x'])
def test_stream_of_an_unknown_version_is_not_continued(key_file, path):
    async def run():
        servers = [ScriptedServer(stream_script(1, 6)) for _ in range(2)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                gateway.add_server(await server.start(), name=f's{number}', software=f'v{number}')
            status, raw = await gateway.fetch(path, Last_Event_Id='3', Resumes='r0')
        assert status == 503
        assert b'Retry-After' in raw
        assert not any(server.requests for server in servers)

    asyncio.run(run())
