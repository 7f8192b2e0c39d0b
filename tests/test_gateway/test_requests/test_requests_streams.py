"""Streams over broken, silent and disordered servers."""

from __future__ import annotations

import asyncio

from ringseam.backends import BackendId
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    events_of,
    reset,
    stream_head,
    streaming,
)


def test_stream_is_passed_on_whole(key_file):
    async def run():
        server = ScriptedServer(streaming(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add(await server.start())
            found, raw = await gateway.ask('/flow/x')
        assert found == 200
        assert events_of(raw) == [1, 2, 3, 4, 5, 6]
        assert raw.endswith(b'0\r\n\r\n')

    asyncio.run(run())


def test_broken_stream_goes_on_at_another_server_in_the_same_answer(key_file):
    async def run():
        broken, second = ScriptedServer(streaming(1, 3, end=False)), ScriptedServer(streaming(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add(await broken.start(), name='a-first')
            gateway.add(await second.start(), name='b-second')
            found, raw = await gateway.ask('/flow/x')
        assert found == 200
        assert events_of(raw) == [1, 2, 3, 4, 5, 6]
        assert raw.endswith(b'0\r\n\r\n')
        assert second.asked[0].header('Last-Event-Id') == '3'

    asyncio.run(run())


def test_broken_stream_that_may_not_go_on_does_not_look_complete(key_file):
    async def run():
        broken, second = ScriptedServer(streaming(1, 3, end=False)), ScriptedServer(streaming(1, 6))
        async with LocalGateway(key_file) as gateway:
            gateway.add(await broken.start(), name='a-first')
            gateway.add(await second.start(), name='b-second')
            reader, _ = await gateway.open('/cut/x')
            raw = b''
            try:
                raw = await reader.read(65536)
                raw += await reader.read()
            except ConnectionResetError:
                pass
        assert not raw.endswith(b'0\r\n\r\n')
        assert not second.asked

    asyncio.run(run())


def test_events_that_come_twice_or_skip_one_are_not_passed_on(key_file):
    async def odd(asked, writer):
        writer.write(stream_head(asked))
        for number in (1, 2, 2, 3, 5):
            writer.write(chunk(event(number)))
        writer.write(b'0\r\n\r\n')

    async def run():
        first, second = ScriptedServer(odd), ScriptedServer(streaming(1, 5))
        async with LocalGateway(key_file) as gateway:
            gateway.add(await first.start(), name='a-first')
            gateway.add(await second.start(), name='b-second')
            _, raw = await gateway.ask('/flow/x')
        assert events_of(raw) == [1, 2, 3, 4, 5]

    asyncio.run(run())


def test_event_that_was_cut_in_the_middle_is_made_again(key_file):
    async def cut(asked, writer):
        writer.write(stream_head(asked) + chunk(event(1)) + chunk(event(2)[:7]))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def run():
        first, second = ScriptedServer(cut), ScriptedServer(streaming(1, 3))
        async with LocalGateway(key_file) as gateway:
            gateway.add(await first.start(), name='a-first')
            gateway.add(await second.start(), name='b-second')
            _, raw = await gateway.ask('/flow/x')
        assert events_of(raw) == [1, 2, 3]
        assert raw.count(b'data: t2\n') == 1

    asyncio.run(run())


def test_stream_leaves_a_silent_engine_before_its_own_pause_is_too_long(key_file):
    """Seen on the bench: engines that went dark held streams for 1.8 s, and
    requests without a first event for 3 s."""

    async def run():
        async def dark(asked, writer):
            writer.write(stream_head(asked) + chunk(event(1)))
            await writer.drain()
            await asyncio.sleep(5)

        first, second = ScriptedServer(dark), ScriptedServer(streaming(2, 4))
        async with LocalGateway(key_file) as gateway:
            gateway.role.spawn(gateway.role._listen_always())
            gateway.add(await first.start(), name='dark')
            begun = asyncio.get_running_loop().time()
            asked = asyncio.ensure_future(gateway.ask('/sticky/x'))
            while not first.asked:
                await asyncio.sleep(0.01)
            gateway.add(await second.start(), name='sound')
            found, raw = await asked
            took = asyncio.get_running_loop().time() - begun
            standing = gateway.role.health.of(BackendId('dark'))
            assert standing.ejected_until > gateway.role.node.clock.now()
        assert found == 200
        assert events_of(raw) == [1, 2, 3, 4]
        assert took < 1.5

    asyncio.run(run())
