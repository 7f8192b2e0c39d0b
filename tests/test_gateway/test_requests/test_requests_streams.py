"""Streams from servers that break off, stall or send events out of order."""

from __future__ import annotations

import asyncio

from ringseam.backends import BackendId
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


def test_stream_is_forwarded_completely(key_file):
    async def run():
        server = ScriptedServer(stream_script(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            actual, raw = await gateway.fetch('/flow/x')
        assert actual == 200
        assert event_ids(raw) == [1, 2, 3, 4, 5, 6]
        assert raw.endswith(b'0\r\n\r\n')

    asyncio.run(run())


def test_broken_stream_continues_on_another_server_in_the_same_response(key_file):
    async def run():
        broken, second = (
            ScriptedServer(stream_script(1, 3, end=False)),
            ScriptedServer(stream_script(1, 6)),
        )
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await broken.start(), name='a-first')
            gateway.add_server(await second.start(), name='b-second')
            actual, raw = await gateway.fetch('/flow/x')
        assert actual == 200
        assert event_ids(raw) == [1, 2, 3, 4, 5, 6]
        assert raw.endswith(b'0\r\n\r\n')
        assert second.requests[0].header('Last-Event-Id') == '3'

    asyncio.run(run())


def test_broken_stream_that_may_not_resume_does_not_look_complete(key_file):
    async def run():
        broken, second = (
            ScriptedServer(stream_script(1, 3, end=False)),
            ScriptedServer(stream_script(1, 6)),
        )
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await broken.start(), name='a-first')
            gateway.add_server(await second.start(), name='b-second')
            reader, _ = await gateway.open_request('/cut/x')
            raw = b''
            try:
                raw = await reader.read(65536)
                raw += await reader.read()
            except ConnectionResetError:
                pass
        assert not raw.endswith(b'0\r\n\r\n')
        assert not second.requests

    asyncio.run(run())


def test_repeated_and_out_of_order_events_are_not_forwarded(key_file):
    async def out_of_order(request, writer):
        writer.write(stream_head(request))
        for number in (1, 2, 2, 3, 5):
            writer.write(chunk(event(number)))
        writer.write(b'0\r\n\r\n')

    async def run():
        first, second = ScriptedServer(out_of_order), ScriptedServer(stream_script(1, 5))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await first.start(), name='a-first')
            gateway.add_server(await second.start(), name='b-second')
            _, raw = await gateway.fetch('/flow/x')
        assert event_ids(raw) == [1, 2, 3, 4, 5]

    asyncio.run(run())


def test_event_that_was_cut_in_the_middle_is_sent_by_the_next_server(key_file):
    async def cut(request, writer):
        writer.write(stream_head(request) + chunk(event(1)) + chunk(event(2)[:7]))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def run():
        first, second = ScriptedServer(cut), ScriptedServer(stream_script(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await first.start(), name='a-first')
            gateway.add_server(await second.start(), name='b-second')
            _, raw = await gateway.fetch('/flow/x')
        assert event_ids(raw) == [1, 2, 3]
        assert raw.count(b'data: t2\n') == 1

    asyncio.run(run())


def test_stream_leaves_an_unresponsive_engine_before_its_idle_timeout(key_file):
    """Unresponsive engines held streams for 1.8 s, and requests without a first event
    for 3 s."""

    async def run():
        async def stalling(request, writer):
            writer.write(stream_head(request) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(5)

        first, second = ScriptedServer(stalling), ScriptedServer(stream_script(2, 4))
        async with LocalGateway(key_file) as gateway:
            gateway.role.spawn(gateway.role._run_monitor())
            gateway.add_server(await first.start(), name='dark')
            started_at = asyncio.get_running_loop().time()
            request = asyncio.ensure_future(gateway.fetch('/sticky/x'))
            while not first.requests:
                await asyncio.sleep(0.01)
            gateway.add_server(await second.start(), name='sound')
            actual, raw = await request
            took = asyncio.get_running_loop().time() - started_at
            health = gateway.role.health.of(BackendId('dark'))
            assert health.ejected_until > gateway.role.node.clock.now()
        assert actual == 200
        assert event_ids(raw) == [1, 2, 3, 4]
        assert took < 1.5

    asyncio.run(run())
