"""Streams go on at a server that has come back with another software version."""

from __future__ import annotations

import asyncio
import re
import sys
import time
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
    chunk,
    manifest,
    route,
    run_case,
    stream_head,
    trouble,
)

STREAMS = 42
#: Near the end of an upgrade: two workers still run v1, and these two restart: 2 of 7.
OLD_WORKERS = 2
NEW_WORKERS = 5
EVENTS = 60
EVENT_S = 0.1
#: How long a worker that crashed is away.
AWAY_S = 0.4
#: The second worker crashes this long after the first one.
BETWEEN_S = 1.0
ALLOWED_STREAMS = 2


class EngineWorker(Worker):
    """A worker that can crash and start again under its id, as another software version."""

    def __init__(self, deployment, name: str, version: str) -> None:
        super().__init__(deployment, name, 'engine', self.write_stream, slots=128)
        self.version = version
        self.born = int(time.time() * 1000)
        self.connections: set = set()
        self.ip = ''

    async def start(self, ip: str) -> None:
        self.ip = ip
        await super().start(ip)

    async def write_stream(self, worker, request, writer) -> None:
        writer.write(stream_head(request))
        last = int(request.header('Last-Event-Id') or 0)
        self.record.write(self.name, f'{self.version} begins {request.attempt} after event {last}')
        for number in range(last + 1, EVENTS + 1):
            writer.write(chunk(f'id: {number}\ndata: token {number} {self.version}\n\n'.encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def crash_and_return(self) -> None:
        """Crash, and start again under the same id and address as version v2."""
        port = int(self.address.rpartition(':')[2])
        self.record.write(self.name, 'crashes')
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(AWAY_S)
        self.version = 'v2'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        self.record.write(self.name, f'is back as {self.version}')
        # It sends a heartbeat at each interval, the first one an interval after its start.
        self.beats = asyncio.create_task(self._beat())


async def case(record) -> int:
    deployment = Deployment(record)
    workers = [
        EngineWorker(deployment, f'i-engine{n}', 'v1' if n <= OLD_WORKERS else 'v2')
        for n in range(1, OLD_WORKERS + NEW_WORKERS + 1)
    ]
    try:
        deployment.start()
        await deployment.put_manifest(
            manifest(
                1,
                [
                    route(
                        'label',
                        'stream',
                        'engine',
                        timeout_ms=20000,
                        max_attempts=2,
                        resumable=True,
                        sticky=True,
                        gap_aim_ms=500,
                    )
                ],
                [
                    {
                        'name': 'engine',
                        'health_path': '/health',
                        'max_conns': 610,
                        'engine': {'slots': 128, 'kv_tokens': 286093},
                    }
                ],
            )
        )
        for number, worker in enumerate(workers):
            await worker.start(f'{deployment.net}.{51 + number}')
        await deployment.wait_ready()
        await asyncio.sleep(4)
        channels = []
        calls = []
        for number in range(STREAMS):
            channels.append(Channel(record, f'client-{number}'))
            await channels[-1].open(deployment.gateway())
            calls.append(
                asyncio.ensure_future(
                    channels[-1].request(
                        f'a{number:015x}',
                        '/label/x',
                        body=f'label {number}'.encode(),
                        deadline_ms=20000,
                        extra=(
                            'Model: m\r\nToken-Counts: 500,300\r\n'
                            f'Prompt-Prefix: {number + 1:08x}:500\r\n'
                        ),
                        patience_s=25,
                    )
                )
            )
        returns = []
        if trouble():
            await asyncio.sleep(1)
            returns.append(asyncio.ensure_future(workers[0].crash_and_return()))
            await asyncio.sleep(BETWEEN_S)
            returns.append(asyncio.ensure_future(workers[1].crash_and_return()))
        responses = await asyncio.gather(*calls)
        await asyncio.gather(*returns)
        for channel in channels:
            channel.close()
    finally:
        deployment.close()
    mixed = 0
    for number, response in enumerate(responses):
        versions = re.findall(rb'token (\d+) (v\d)', response.body)
        kinds = sorted({version.decode() for _, version in versions})
        if len(kinds) > 1:
            mixed += 1
            record.write('case', f'stream {number} holds events of {kinds}: {response}')
    if not any(response.status == 200 for response in responses):
        raise NotRunError('no stream began')
    record.write('case', f'{mixed} of {STREAMS} streams hold events of two versions')
    return BROKEN if mixed > ALLOWED_STREAMS else HELD


if __name__ == '__main__':
    run_case(FOLDER, case)
