"""Backend servers that say in their answers that they leave."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendId, BackendReport, BackendView
from ringseam.routes import ServiceName
from tests.gateways import LocalGateway, ScriptedServer, answer, chunk, event, stream_head

LEAVING = 'Server-Leaving: 1\r\n'


async def leaving(asked, writer):
    writer.write(answer(asked, extra=LEAVING))


async def leaving_stream(asked, writer):
    head = stream_head(asked)
    writer.write(head.replace(b'Content-Type', LEAVING.encode() + b'Content-Type'))
    writer.write(chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.write(chunk(event(2)) + b'0\r\n\r\n')


async def free(asked, writer):
    writer.write(answer(asked))


async def free_stream(asked, writer):
    writer.write(stream_head(asked) + chunk(event(1)) + b'0\r\n\r\n')


# A server that said so only in its answers got new work until its report came.
@pytest.mark.parametrize(
    ('path', 'script', 'other_script'),
    [
        ('/idem/x', leaving, free),
        ('/once/x', leaving, free),
        ('/flow/x', leaving_stream, free_stream),
        ('/sticky/x', leaving_stream, free_stream),
    ],
)
def test_server_that_leaves_gets_nothing_new_and_ends_what_it_runs(
    key_file,
    path,
    script,
    other_script,
):
    async def run():
        server, other = ScriptedServer(script), ScriptedServer(other_script)
        async with LocalGateway(key_file) as gateway:
            gateway.add(await server.start(), name='a')
            status, raw = await gateway.ask(path)
            gateway.add(await other.start(), name='b')
            answers = [await gateway.ask(path, Attempt_Id=f'r{number}') for number in range(6)]
        assert status == 200
        assert 'stream' not in raw.decode() or b'id: 2' in raw
        assert len(server.asked) == 1
        assert [status for status, _ in answers] == [200] * 6

    asyncio.run(run())


# Stage servers say it in the answers to calls for pieces.
def test_stage_server_that_leaves_gets_no_new_calls(key_file):
    async def run():
        place = {}

        def crops_script(name, extra):
            async def script(asked, writer):
                made = []
                if 'stage-run' in asked.lines[0]:
                    items = json.loads(asked.body)['items']
                    made = [{'handle': f'{place[name]}/{item["id"]}'} for item in items]
                writer.write(answer(asked, json.dumps({'items': made}).encode(), extra=extra))

            return script

        crops = ScriptedServer(crops_script('a', LEAVING))
        other, engine = ScriptedServer(crops_script('b', '')), ScriptedServer(free)
        async with LocalGateway(key_file) as gateway:
            place['a'] = await crops.start()
            gateway.add(place['a'], service='crops', name='a')
            gateway.add(await engine.start(), name='e')
            headers = {'Pieces': '2', 'Piece_Key': 'pk'}
            await gateway.ask('/staged/x', Attempt_Id='first', **headers)
            place['b'] = await other.start()
            gateway.add(place['b'], service='crops', name='b')
            for number in range(4):
                status, _ = await gateway.ask('/staged/x', Attempt_Id=f'r{number}', **headers)
                assert status == 200
        assert sum('stage-run' in asked.lines[0] for asked in crops.asked) == 1

    asyncio.run(run())


# An owner that has not heard of it places on the server all the same.
def test_gateway_that_was_told_has_its_requests_placed_elsewhere(key_file):
    async def run():
        server, other = ScriptedServer(leaving_stream), ScriptedServer(free_stream)
        async with LocalGateway(key_file) as owner, LocalGateway(key_file) as teller:
            address = await server.start()
            for gateway in (owner, teller):
                gateway.add(address, name='a')
                gateway.role.ownership.owners['plain'] = ''
            teller.role.ownership.owners['plain'] = owner.role.node.address
            await teller.ask('/sticky/x', Attempt_Id='first')
            address = await other.start()
            for gateway in (owner, teller):
                gateway.add(address, name='b')
            for number in range(6):
                status, _ = await teller.ask('/sticky/x', Attempt_Id=f'r{number}')
                assert status == 200
        assert len(server.asked) == 1

    asyncio.run(run())


def test_report_that_calls_it_ready_does_not_bring_a_leaving_server_back():
    view = BackendView()
    report = BackendReport(
        instance=BackendId('a'),
        service=ServiceName('plain'),
        address='a:1',
        zone='a',
        sequence=1,
    )
    view.apply(report)
    view.mark_leaving(BackendId('a'))
    assert view.serving(ServiceName('plain')) == []
    # Its channels and what it keeps are still used by what runs there.
    assert view.zones == {'a:1': 'a'}
    view.remove(BackendId('a'))
    view.apply(
        BackendReport(
            instance=BackendId('a'),
            service=ServiceName('plain'),
            address='a:1',
            zone='a',
            sequence=9,
        ),
    )
    assert view.serving(ServiceName('plain')) == []


def test_next_lifetime_of_a_server_that_left_is_used():
    view = BackendView()
    view.mark_leaving(BackendId('a#1000'))
    report = BackendReport(
        instance=BackendId('a#2000'),
        service=ServiceName('plain'),
        address='a:1',
        zone='a',
        sequence=1,
    )
    view.apply(report)
    assert view.serving(ServiceName('plain')) == [report]


@pytest.mark.parametrize('value', ['0', '', 'no', '11'])
def test_other_values_do_not_say_that_it_leaves(key_file, value):
    async def run():
        async def script(asked, writer):
            writer.write(answer(asked, extra=f'Server-Leaving: {value}\r\n'))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add(await server.start())
            for number in range(2):
                status, _ = await gateway.ask('/idem/x', Attempt_Id=f'r{number}')
                assert status == 200

    asyncio.run(run())
