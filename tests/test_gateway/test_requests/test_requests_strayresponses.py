"""Servers that repeat refusals of earlier requests, late, before they respond to the next one.

Failure: after three of them the last one was taken for the response to the request, which was sent
to another server although it ran at the first.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.gateways import LocalGateway, ScriptedServer, http_response

REFUSAL = (
    'HTTP/1.1 503 Full\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nServer-Seal: seal\r\n'
    'Content-Length: 0\r\n\r\n'
)


def repeating(strays):
    """Return a script that repeats refusals and then runs the request."""

    async def script(request, writer):
        for number in range(strays):
            writer.write(REFUSAL.format(f'earlier-{number}').encode())
        writer.write(http_response(request))

    return script


# Guards against a request that runs twice, by a refusal that belongs to another request.
@pytest.mark.parametrize(('strays', 'status'), [(1, 200), (2, 200), (3, 502), (4, 502), (40, 502)])
def test_late_refusals_of_other_requests_do_not_say_that_a_request_has_not_run(
    key_file, strays, status
):
    async def run():
        servers = [ScriptedServer(repeating(strays)) for _ in range(2)]
        async with LocalGateway(key_file) as gateway:
            for number, server in enumerate(servers):
                gateway.add_server(await server.start(), name=f's{number}')
            found, raw = await gateway.fetch('/once/x')
        assert found == status
        assert len(servers[0].requests) + len(servers[1].requests) == 1
        assert b'ok' in raw or found != 200

    asyncio.run(run())
