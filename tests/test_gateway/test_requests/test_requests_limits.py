"""Rate limits that backend servers set for all gateways, on each request path."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendId
from ringseam.calls import ResponseMetadata
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    http_response,
    manifest,
    stream_head,
)

LIMIT = 'Server-Limit: 1\r\n'
#: With a limit of 1 request per second, up to 1.5 times as many plus 5 may arrive in 4 s.
ALLOWED = 11
BURST = 24


async def limited(request, writer):
    writer.write(http_response(request, extra=LIMIT))


async def limited_stream(request, writer):
    head = stream_head(request)
    writer.write(head.replace(b'Content-Type', LIMIT.encode() + b'Content-Type'))
    writer.write(chunk(event(1)) + b'0\r\n\r\n')


async def respond_ok(request, writer):
    writer.write(http_response(request))


async def burst(gateway, path, **headers):
    """Send one request, then many at the same time."""
    await gateway.fetch(path, Attempt_Id='first', **headers)
    requests = (gateway.fetch(path, Attempt_Id=f'r{number}', **headers) for number in range(BURST))
    return await asyncio.gather(*requests)


# Fault: a server that set a limit still got all requests, on each request path.
@pytest.mark.parametrize(
    ('path', 'script'),
    [
        ('/idem/x', limited),
        ('/once/x', limited),
        ('/flow/x', limited_stream),
        ('/sticky/x', limited_stream),
    ],
)
def test_server_gets_no_more_requests_than_its_limit(key_file, path, script):
    async def run():
        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            responses = await burst(gateway, path, Deadline_Ms='600')
        assert len(server.requests) <= ALLOWED
        refused = [raw for status, raw in responses if status == 503]
        assert len(refused) == BURST - (len(server.requests) - 1)
        assert all(b'Retry-After' in raw for raw in refused)

    asyncio.run(run())


# Piece calls are scheduled separately from requests; the limit was ignored there as well.
def test_stage_server_gets_no_more_calls_than_its_limit(key_file):
    async def run():
        addresses = {}

        async def crops_script(request, writer):
            results = []
            if 'stage-run' in request.lines[0]:
                items = json.loads(request.body)['items']
                results = [{'handle': f'{addresses["crops"]}/{item["id"]}'} for item in items]
            body = json.dumps({'items': results}).encode()
            writer.write(http_response(request, body, extra=LIMIT))

        crops, engine = ScriptedServer(crops_script), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            addresses['crops'] = await crops.start()
            gateway.add_server(addresses['crops'], service='crops')
            gateway.add_server(await engine.start())
            await burst(gateway, '/staged/x', Pieces='4', Piece_Key='pk', Deadline_Ms='600')
            await asyncio.sleep(0.1)
        assert len(crops.requests) <= ALLOWED

    asyncio.run(run())


# Gateways place requests through an owner that gets no response of the server itself.
def test_owner_respects_a_limit_that_another_gateway_received(key_file):
    async def run():
        server = ScriptedServer(limited_stream)
        async with LocalGateway(key_file) as owner, LocalGateway(key_file) as informed:
            address = await server.start()
            for gateway in (owner, informed):
                gateway.add_server(address, name='e1')
                gateway.role.ownership.owners['plain'] = ''
            informed.role.ownership.owners['plain'] = owner.role.node.address
            await burst(informed, '/sticky/x', Deadline_Ms='600')
        assert len(server.requests) <= ALLOWED

    asyncio.run(run())


def test_requests_above_the_limit_go_to_other_servers(key_file):
    async def run():
        limited_server, other = ScriptedServer(limited), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await limited_server.start(), name='a')
            responses = await gateway.fetch('/idem/x')
            gateway.add_server(await other.start(), name='b')
            responses = await burst(gateway, '/idem/x')
        assert [status for status, _ in responses] == [200] * BURST
        assert len(limited_server.requests) <= ALLOWED

    asyncio.run(run())


def test_response_of_an_unknown_server_is_ignored(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            metadata = ResponseMetadata(
                attempt_id='',
                authentic=False,
                not_run=True,
                encoded=False,
                load=None,
                rate_limit_per_s=1,
                pause_s=3,
                leaving=True,
            )
            notices = gateway.role.notices
            notices.record(BackendId(''), metadata)
        assert (notices.limits.by_server, notices.pauses.until, notices.leaving) == ({}, {}, set())

    asyncio.run(run())


def test_limit_ends_with_a_response_without_a_limit(key_file):
    async def run():
        headers = {'extra': LIMIT}

        async def script(request, writer):
            writer.write(http_response(request, extra=headers['extra']))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='s')
            await gateway.fetch('/idem/x')
            assert gateway.role.notices.limits.of(BackendId('s')).per_s == 1
            headers['extra'] = ''
            await asyncio.sleep(1)
            responses = await burst(gateway, '/idem/x')
        assert [status for status, _ in responses] == [200] * BURST

    asyncio.run(run())


@pytest.mark.parametrize('value', ['nan', '-1', '1e999', '', 'many', '1, 2', '9' * 400])
def test_invalid_limit_is_ignored(key_file, value):
    async def run():
        async def script(request, writer):
            writer.write(http_response(request, extra=f'Server-Limit: {value}\r\n'))

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(manifest())
            gateway.add_server(await server.start())
            responses = await burst(gateway, '/idem/x')
        assert [status for status, _ in responses] == [200] * BURST

    asyncio.run(run())
