"""Backend servers beside hostile clients: ``python -m bench.hostileservers SERVICE CONTROL...``.

They run in a process of their own, so that what hostile clients make them do doesn't count as the
time of ordinary clients.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time

from ringseam.lifetimes import backend_id
from ringseam.platform.requests import decode_request, identity_headers
from ringseam.routes import ServiceName
from ringseam.standin.direct import DirectServer

SERVERS = 3
#: Requests to this path get a large response.
LARGE_PATH = '/large/'
LARGE_BYTES = 4_000_000
WORK_S = 0.05
REPORT_S = 0.5


class Server(DirectServer):
    """A stand-in that takes a while, and answers some paths with a large body."""

    def __init__(self, **known):
        super().__init__(**known)
        # The gateway adds headers of its own to the largest heads.
        self.http.limits.header_bytes *= 2

    async def _respond(self, exchange):
        request = decode_request(exchange.request)
        if exchange.request.path.startswith(LARGE_PATH):
            body = b'x' * LARGE_BYTES
        else:
            await asyncio.sleep(WORK_S)
            body = f'{request.attempt_id} has {len(exchange.request.body)} bytes\n'.encode()
        await exchange.respond(200, identity_headers(request.attempt_id), body)


async def serve(service, control):
    """Serve and report until the process is killed."""
    servers = []
    for number in range(SERVERS):
        server = Server(
            instance=backend_id(f'i-{service}-{number}', int(time.time() * 1000)),
            service=ServiceName(service),
            control=control[number % len(control)],
        )
        await server.start('127.0.0.1')
        servers.append(server)
    while True:
        for server in servers:
            with contextlib.suppress(Exception):
                await server.report()
        await asyncio.sleep(REPORT_S)


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('service')
    parser.add_argument('control', nargs='+')
    options = parser.parse_args()
    asyncio.run(serve(options.service, options.control))
