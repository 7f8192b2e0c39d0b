"""No new request reaches the servers of a drained availability zone by any path."""

import asyncio
from dataclasses import replace

import pytest

from ringseam.backends import BackendId, GatewayState
from ringseam.platform.stages import PieceResult, decode_piece_requests, encode_results
from ringseam.routes import ColdSpec, ServiceName
from ringseam.zones import DrainedZones
from tests.gateways import (
    LocalGateway,
    ScriptedServer,
    chunk,
    event,
    http_response,
    reset,
    stream_head,
)

PROMPT = {'Prompt_Prefix': 'aa:100,bb:20', 'Token_Counts': '120,10'}


async def respond(request, writer):
    writer.write(http_response(request))


async def process_pieces(request, writer):
    orders = decode_piece_requests(request.body)
    made = [PieceResult(handle=f'a/{order.attempt_id}-{order.piece}') for order in orders]
    writer.write(http_response(request, encode_results(made), attempt_id=''))


async def break_stream(request, writer):
    writer.write(stream_head(request) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset(writer)


def drain(gateway, change, *names):
    gateway.role.follower.view.drain_zones(DrainedZones(change=change, names=names))
    gateway.role.piece_scheduler.refresh()


@pytest.mark.parametrize(
    ('path', 'headers'),
    [('/idem/x', {}), ('/once/x', {}), ('/flow/x', {}), ('/sticky/x', PROMPT)],
)
def test_requests_go_to_the_other_zones_and_return(key_file, path, headers):
    async def run():
        servers = {zone: ScriptedServer(respond) for zone in 'ab'}
        async with LocalGateway(key_file) as gateway:
            for zone, server in servers.items():
                gateway.add_server(await server.start(), zone=zone)
            drain(gateway, 1, 'a')
            statuses = [(await gateway.fetch(path, **headers))[0] for _ in range(6)]
            assert statuses == [200] * 6
            assert (len(servers['a'].requests), len(servers['b'].requests)) == (0, 6)
            drain(gateway, 2, 'b')
            assert (await gateway.fetch(path, **headers))[0] == 200
            assert len(servers['a'].requests) == 1

    asyncio.run(run())


def test_request_is_refused_at_once_when_all_zones_are_drained(key_file):
    async def run():
        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), zone='a')
            drain(gateway, 1, 'a')
            async with asyncio.timeout(1):
                status, raw = await gateway.fetch('/idem/x')
        assert status == 503
        assert b'retry-after' in raw.lower()
        assert not server.requests

    asyncio.run(run())


def test_broken_stream_is_not_resumed_in_a_drained_zone(key_file):
    async def run():
        server = ScriptedServer(break_stream)
        other = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            gateway.add_server(await server.start(), zone='b')
            gateway.add_server(await other.start(), zone='a', name='a')
            # The stream starts while both zones are in service.
            gateway.role.health.of('a').latency_s = 9
            asking = asyncio.create_task(gateway.fetch('/flow/x'))
            await asyncio.sleep(0.03)
            drain(gateway, 1, 'a')
            await asking
        assert len(server.requests) == 1
        assert not other.requests

    asyncio.run(run())


def test_pieces_are_processed_in_the_other_zones(key_file):
    async def run():
        servers = {zone: ScriptedServer(process_pieces) for zone in 'ab'}
        last = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            for zone, server in servers.items():
                gateway.add_server(await server.start(), service='crops', zone=zone)
            gateway.add_server(await last.start(), zone='b')
            drain(gateway, 1, 'a')
            asks = [gateway.fetch('/staged/x', Attempt_Id=f'r{n}', Pieces='3') for n in range(5)]
            found = await asyncio.gather(*asks)
        assert [status for status, _ in found] == [200] * 5
        assert not servers['a'].requests
        assert servers['b'].requests

    asyncio.run(run())


def test_server_in_a_drained_zone_selected_by_an_outdated_owner_is_not_used(key_file):
    """The owner has lost its leader and selects a server in the drained zone."""

    async def run():
        servers = {zone: ScriptedServer(respond) for zone in 'ab'}
        async with LocalGateway(key_file) as gateway, LocalGateway(key_file) as owner:
            for zone, server in servers.items():
                address = await server.start()
                gateway.add_server(address, zone=zone, name=zone)
                if zone == 'a':
                    owner.add_server(address, zone=zone, name=zone)
            address = owner.role.node.address
            gateway.set_gateways(GatewayState(name='g2', address=address, zone='a'))
            drain(gateway, 1, 'a')
            status, _ = await gateway.fetch('/sticky/x', **PROMPT)
        assert status == 200
        assert not servers['a'].requests

    asyncio.run(run())


@pytest.mark.parametrize(('path', 'headers'), [('/idem/x', {}), ('/sticky/x', PROMPT)])
def test_paced_request_goes_elsewhere_when_the_zone_is_drained(key_file, path, headers):
    """The server is cold, and its zone is drained before the request may be sent to it."""

    async def run():
        servers = {zone: ScriptedServer(respond) for zone in 'ab'}
        async with LocalGateway(key_file) as gateway:
            services = gateway.role.follower.table.services
            cold = ColdSpec(duration_s=60, requests_per_s=4)
            services[ServiceName('plain')] = replace(services[ServiceName('plain')], cold=cold)
            gateway.add_server(await servers['a'].start(), zone='a', name='a')
            gateway.role.follower.cold_servers.mark_cold(
                BackendId('a'), gateway.role.node.clock.now() + 60
            )
            assert (await gateway.fetch(path, Attempt_Id='first', **headers))[0] == 200
            waiting = asyncio.create_task(gateway.fetch(path, Attempt_Id='second', **headers))
            await asyncio.sleep(0.05)
            gateway.add_server(await servers['b'].start(), zone='b', name='b')
            drain(gateway, 1, 'a')
            status, _ = await waiting
        assert status == 200
        assert [len(server.requests) for server in servers.values()] == [1, 1]

    asyncio.run(run())
