"""Requests run only in the regions that their route and account allow."""

import asyncio

import pytest

from ringseam.platform.stages import PieceResult, decode_piece_requests, encode_results
from tests.gateways import LocalGateway, ScriptedServer, http_response


async def respond_ok(request, writer):
    writer.write(http_response(request))


async def run_pieces(request, writer):
    orders = decode_piece_requests(request.body)
    results = [PieceResult(handle=f'a/{order.attempt_id}-{order.piece}') for order in orders]
    writer.write(http_response(request, encode_results(results), attempt_id=''))


@pytest.mark.parametrize(
    ('path', 'key', 'expected'),
    [
        ('/north/x', 'key-1', ['a']),
        ('/idem/x', 'key-2', ['b']),
        # Route and account allow no common region.
        ('/north/x', 'key-2', []),
        # No availability zone is known in the region.
        ('/far/x', 'key-1', []),
    ],
)
def test_request_runs_in_allowed_regions_only(key_file, path, key, expected):
    async def run():
        servers = {zone: ScriptedServer(respond_ok) for zone in 'ab'}
        async with LocalGateway(key_file) as gateway:
            for zone, server in servers.items():
                gateway.add_server(await server.start(), zone=zone)
            for number in range(5):
                bearer = f'Bearer {key}'
                status, raw = await gateway.fetch(
                    path, Attempt_Id=f'r{number}', Authorization=bearer
                )
                assert status == (200 if expected else 503)
                assert expected or b'retry-after' in raw.lower()
        assert [zone for zone, server in servers.items() if server.requests] == expected

    asyncio.run(run())


@pytest.mark.parametrize('zones', ['ab', 'b'])
def test_pieces_run_in_allowed_regions_only(key_file, zones):
    async def run():
        stage_servers = {zone: ScriptedServer(run_pieces) for zone in zones}
        final_server = ScriptedServer(respond_ok)
        async with LocalGateway(key_file) as gateway:
            for zone, server in stage_servers.items():
                gateway.add_server(await server.start(), service='crops', zone=zone)
            gateway.add_server(await final_server.start(), zone='c')
            async with asyncio.timeout(1):
                status, _ = await gateway.fetch('/stagednorth/x', Pieces='3')
        assert status == (200 if 'a' in zones else 503)
        assert not stage_servers['b'].requests

    asyncio.run(run())
