"""The end of a response is lost when its gateway stops as planned."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    Channel,
    Deployment,
    NotRunError,
    Worker,
    manifest,
    plain,
    route,
    run_case,
    trouble,
)

RECEIVE_BUFFER = 65536
#: By how much the responses exceed what the kernel takes from a process for a client that does
#: not read yet.
EXCESS = (64 * 1024, 128 * 1024, 192 * 1024, 240 * 1024)
#: The client reads nothing for this long after the head, then all. Its time limit is 8 s.
PAUSE_S = 4.0
PROBE_BYTES = 32 * 2**20


async def measure_kernel_buffers(ip: str) -> int:
    """Return how many bytes this machine's kernel takes for a client that does not read."""
    accepted: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(lambda _, writer: accepted.set_result(writer), ip, 0)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, server.sockets[0].getsockname())
    writer = await accepted
    writer.write(bytes(PROBE_BYTES))
    await asyncio.sleep(1)
    taken = PROBE_BYTES - writer.transport.get_write_buffer_size()
    writer.transport.abort()
    client.close()
    server.close()
    return taken


async def case(record) -> int:
    deployment = Deployment(record)
    sizes: dict[str, int] = {}

    async def answer(worker, request, writer):
        await asyncio.sleep(0.1)
        writer.write(plain(request, bytes(sizes[request.attempt])))
        await writer.drain()

    worker = Worker(deployment, 'i-report1', 'reports', answer)
    try:
        deployment.start()
        await deployment.put_manifest(
            manifest(
                1,
                [route('report', 'non_idempotent', 'reports')],
                [{'name': 'reports', 'health_path': '/health', 'max_conns': 610}],
            )
        )
        await worker.start(f'{deployment.net}.51')
        await deployment.wait_ready()
        taken = await measure_kernel_buffers(f'{deployment.net}.52')
        record.write('case', f'the kernel takes {taken} bytes for a client that does not read')
        await asyncio.sleep(4)
        channels = []
        calls = []
        for number, excess in enumerate(EXCESS, start=1):
            attempt = f'a{number:015x}'
            sizes[attempt] = taken + excess
            channels.append(Channel(record, f'client-{number}'))
            await channels[-1].open(
                deployment.gateway(), receive_buffer=RECEIVE_BUFFER, limit=1024
            )
            paused: set[str] = set()

            async def pace(count: int, attempt=attempt, paused=paused) -> None:
                if attempt not in paused:
                    paused.add(attempt)
                    await asyncio.sleep(PAUSE_S)

            calls.append(
                asyncio.ensure_future(channels[-1].request(attempt, '/report/x', pace=pace))
            )
        await asyncio.sleep(0.6)
        if trouble():
            deployment.signal('front-1', signal.SIGTERM)
        responses = await asyncio.gather(*calls)
        for channel in channels:
            channel.close()
    finally:
        deployment.close()
    if any(response.status != 200 for response in responses):
        raise NotRunError('a request was not answered with success')
    for (attempt, size), response in zip(sizes.items(), responses, strict=True):
        record.write('case', f'{attempt}: the client got {len(response.body)} of {size} bytes')
    return HELD if all(response.complete for response in responses) else BROKEN


if __name__ == '__main__':
    run_case(FOLDER, case)
