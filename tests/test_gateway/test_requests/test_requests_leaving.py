"""Backend servers that announce in their responses that they are shutting down."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendId, BackendReport, BackendView
from ringseam.routes import ServiceName
from tests.gateways import LocalGateway, ScriptedServer, chunk, event, http_response, stream_head

LEAVING = 'Server-Leaving: 1\r\n'


async def leaving(request, writer):
    writer.write(http_response(request, extra=LEAVING))


async def leaving_stream(request, writer):
    head = stream_head(request)
    writer.write(head.replace(b'Content-Type', LEAVING.encode() + b'Content-Type'))
    writer.write(chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.2)
    writer.write(chunk(event(2)) + b'0\r\n\r\n')


async def respond_ok(request, writer):
    writer.write(http_response(request))


async def respond_stream(request, writer):
    writer.write(stream_head(request) + chunk(event(1)) + b'0\r\n\r\n')


# Fault: a server that announced it only in its responses got new requests until its report
# arrived.
@pytest.mark.parametrize(
    ('path', 'script', 'other_script'),
    [
        ('/idem/x', leaving, respond_ok),
        ('/once/x', leaving, respond_ok),
        ('/flow/x', leaving_stream, respond_stream),
        ('/sticky/x', leaving_stream, respond_stream),
    ],
)
def test_leaving_server_gets_no_new_requests_and_finishes_running_ones(
    key_file,
    path,
    script,
    other_script,
):
    async def run():
        server, other = ScriptedServer(script), ScriptedServer(other_script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            status, raw = await gateway.fetch(path)
            gateway.add_server(await other.start(), name='b')
            responses = [await gateway.fetch(path, Attempt_Id=f'r{number}') for number in range(6)]
        assert status == 200
        assert 'stream' not in raw.decode() or b'id: 2' in raw
        assert len(server.requests) == 1
        assert [status for status, _ in responses] == [200] * 6

    asyncio.run(run())


# Stage servers announce it in their responses to piece calls.
def test_leaving_stage_server_gets_no_new_calls(key_file):
    async def run():
        addresses = {}

        def crops_script(name, extra):
            async def script(request, writer):
                results = []
                if 'stage-run' in request.lines[0]:
                    items = json.loads(request.body)['items']
                    results = [{'handle': f'{addresses[name]}/{item["id"]}'} for item in items]
                writer.write(
                    http_response(request, json.dumps({'items': results}).encode(), extra=extra)
                )

            return script

        crops = ScriptedServer(crops_script('a', LEAVING))
        other, engine = ScriptedServer(crops_script('b', '')), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            addresses['a'] = await crops.start()
            gateway.add_server(addresses['a'], service='crops', name='a')
            gateway.add_server(await engine.start(), name='e')
            headers = {'Pieces': '2', 'Piece_Key': 'pk'}
            await gateway.fetch('/staged/x', Attempt_Id='first', **headers)
            addresses['b'] = await other.start()
            gateway.add_server(addresses['b'], service='crops', name='b')
            for number in range(4):
                status, _ = await gateway.fetch('/staged/x', Attempt_Id=f'r{number}', **headers)
                assert status == 200
        assert sum('stage-run' in request.lines[0] for request in crops.requests) == 1

    asyncio.run(run())


# Fault: an owner that does not know of the announcement still places requests on the server.
def test_informed_gateway_has_its_requests_placed_elsewhere(key_file):
    async def run():
        server, other = ScriptedServer(leaving_stream), ScriptedServer(respond_stream)
        async with LocalGateway(key_file) as owner, LocalGateway(key_file) as informed:
            address = await server.start()
            for gateway in (owner, informed):
                gateway.add_server(address, name='a')
                gateway.role.ownership.owners['plain'] = ''
            informed.role.ownership.owners['plain'] = owner.role.node.address
            await informed.fetch('/sticky/x', Attempt_Id='first')
            address = await other.start()
            for gateway in (owner, informed):
                gateway.add_server(address, name='b')
            for number in range(6):
                status, _ = await informed.fetch('/sticky/x', Attempt_Id=f'r{number}')
                assert status == 200
        assert len(server.requests) == 1

    asyncio.run(run())


def test_ready_report_does_not_restore_a_leaving_server():
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
    # Running requests still use its channels and its cache.
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


def test_server_that_left_is_used_again_after_a_restart():
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
def test_other_header_values_do_not_mark_a_server_as_leaving(key_file, value):
    async def run():
        async def script(request, writer):
            writer.write(http_response(request, extra=f'Server-Leaving: {value}\r\n'))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            for number in range(2):
                status, _ = await gateway.fetch('/idem/x', Attempt_Id=f'r{number}')
                assert status == 200

    asyncio.run(run())
