"""Backend servers that refuse requests and ask for a pause, on each request path."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.gateway.following.pauses import PauseTracker
from tests.gateways import LocalGateway, ScriptedServer, http_response, stream_head

#: Number of requests that may arrive during a pause, from 0.5 s after its start.
ALLOWED = 2
LATER = 8


async def refuse_with_pause(request, writer):
    writer.write(
        b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n',
    )


async def respond_ok(request, writer):
    writer.write(http_response(request))


async def respond_stream(request, writer):
    writer.write(stream_head(request) + b'8\r\nid: 1\n\n\n\r\n0\r\n\r\n')


async def fetch_later(gateway, path, **headers):
    """Send one request and, when earlier requests have ended, several more."""
    await gateway.fetch(path, Attempt_Id='first', **headers)
    await asyncio.sleep(0.5)
    requests = (gateway.fetch(path, Attempt_Id=f'r{number}', **headers) for number in range(LATER))
    return await asyncio.gather(*requests)


# Fault: a server that had asked for a pause still got requests, on each request path.
@pytest.mark.parametrize('path', ['/idem/x', '/once/x', '/flow/x', '/sticky/x'])
def test_paused_server_gets_no_more_requests(key_file, path):
    async def run():
        server = ScriptedServer(refuse_with_pause)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            responses = await fetch_later(gateway, path)
        assert len(server.requests) - 1 <= ALLOWED
        assert [status for status, _ in responses] == [503] * LATER
        for _, raw in responses:
            head = raw.lower()
            retry_after_s = float(head.partition(b'retry-after: ')[2].split(b'\r\n')[0])
            assert 1.5 <= retry_after_s <= 3

    asyncio.run(run())


# Fault: an idle server that refuses all requests was preferred to a working one.
@pytest.mark.parametrize(
    ('path', 'script'),
    [('/idem/x', respond_ok), ('/flow/x', respond_stream), ('/sticky/x', respond_stream)],
)
def test_requests_go_to_other_servers_during_a_pause(key_file, path, script):
    async def run():
        server, other = ScriptedServer(refuse_with_pause), ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), name='a')
            await gateway.fetch(path)
            gateway.add_server(await other.start(), name='b')
            responses = await fetch_later(gateway, path)
        assert [status for status, _ in responses] == [200] * LATER
        assert len(server.requests) - 1 <= ALLOWED

    asyncio.run(run())


# The owner that places requests of other gateways isn't told of a pause by the server.
def test_owner_places_elsewhere_for_a_gateway_that_was_refused(key_file):
    async def run():
        server, other = ScriptedServer(refuse_with_pause), ScriptedServer(respond_stream)
        async with LocalGateway(key_file) as owner, LocalGateway(key_file) as informed:
            address = await server.start()
            for gateway in (owner, informed):
                gateway.add_server(address, name='a')
                gateway.role.ownership.owners['plain'] = ''
            informed.role.ownership.owners['plain'] = owner.role.node.address
            await informed.fetch('/sticky/x')
            address = await other.start()
            for gateway in (owner, informed):
                gateway.add_server(address, name='b')
            responses = await fetch_later(informed, '/sticky/x')
        assert [status for status, _ in responses] == [200] * LATER
        assert len(server.requests) - 1 <= ALLOWED

    asyncio.run(run())


# Fault: piece calls were sent to the server again after milliseconds.
def test_paused_stage_server_gets_no_calls(key_file):
    async def run():
        crops, engine = ScriptedServer(refuse_with_pause), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops')
            gateway.add_server(await engine.start())
            headers = {'Pieces': '2', 'Piece_Key': 'pk', 'Deadline_Ms': '900'}
            await fetch_later(gateway, '/staged/x', **headers)
        assert len(crops.requests) - 1 <= ALLOWED

    asyncio.run(run())


# A request that needs a service whose servers are all paused is refused at once, not at its
# deadline.
def test_request_is_refused_at_once_while_all_stage_servers_are_paused(key_file):
    async def run():
        crops, engine = ScriptedServer(refuse_with_pause), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await crops.start(), service='crops')
            gateway.add_server(await engine.start())
            headers = {'Pieces': '2', 'Piece_Key': 'pk', 'Deadline_Ms': '900'}
            await gateway.fetch('/staged/x', Attempt_Id='first', **headers)
            started_at = gateway.role.node.clock.now()
            status, raw = await gateway.fetch('/staged/x', Attempt_Id='second', **headers)
            took_s = gateway.role.node.clock.now() - started_at
        assert status == 503
        assert b'Retry-After' in raw
        assert took_s < 0.5
        assert len(crops.requests) == 1

    asyncio.run(run())


def test_results_are_not_released_at_a_paused_server(key_file):
    async def run():
        addresses = {}

        async def crops_script(request, writer):
            if 'stage-run' not in request.lines[0]:
                await refuse_with_pause(request, writer)
                return
            items = json.loads(request.body)['items']
            results = [{'handle': f'{addresses["crops"]}/{item["id"]}'} for item in items]
            writer.write(http_response(request, json.dumps({'items': results}).encode()))

        crops, engine = ScriptedServer(crops_script), ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            addresses['crops'] = await crops.start()
            gateway.add_server(addresses['crops'], service='crops')
            gateway.add_server(await engine.start())
            headers = {'Pieces': '2', 'Piece_Key': 'pk', 'Deadline_Ms': '900'}
            await gateway.fetch('/staged/x', Attempt_Id='first', **headers)
            await asyncio.sleep(0.1)
            requests_before = len(crops.requests)
            await fetch_later(gateway, '/staged/x', **headers)
        assert len(crops.requests) - requests_before <= ALLOWED

    asyncio.run(run())


def test_server_is_used_again_after_its_pause(key_file):
    async def run():
        refused = []

        async def script(request, writer):
            if refused:
                await respond_ok(request, writer)
                return
            refused.append(request)
            writer.write(
                b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.4\r\n'
                b'Content-Length: 0\r\n\r\n',
            )

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            await gateway.fetch('/idem/x')
            await asyncio.sleep(0.45)
            status, _ = await gateway.fetch('/idem/x')
        assert status == 200

    asyncio.run(run())


@pytest.mark.parametrize('value', ['nan', '-1', 'Wed, 21 Oct 2026 07:28:00 GMT', '', '1, 2'])
def test_invalid_pause_is_ignored(key_file, value):
    async def run():
        async def script(request, writer):
            head = f'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: {value}\r\n'
            writer.write(f'{head}Content-Length: 0\r\n\r\n'.encode())

        server = ScriptedServer(script)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start())
            await gateway.fetch('/idem/x', Attempt_Id='first')
            await gateway.fetch('/idem/x', Attempt_Id='second')
        assert len(server.requests) == 2

    asyncio.run(run())


def test_pause_is_limited_to_five_minutes():
    tracker = PauseTracker()
    tracker.record('s', 86400, 0)
    assert tracker.remaining_s('s', 0) == 300
    tracker.record('s', 1, 10)
    assert tracker.remaining_s('s', 10) == 290
