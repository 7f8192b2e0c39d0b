"""Streams go on at a worker that came back as another version without a gateway's notice."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import OTHER_ZONE, Channel, Worker, main, manifest, route, trouble  # noqa: E402

#: Workers of the new version; two more run the old one.
NEW_WORKERS = 5
STREAMS = 42
EVENTS = 40
INTERVAL_S = 0.15
#: The two old workers crash, one this long after the other, and are back after ``DOWN_S``, seconds.
BETWEEN_S = 1.0
DOWN_S = 0.4
TIMEOUT_MS = 15_000
ALLOWED = 2


class StreamWorker(Worker):
    async def start(self):
        self.channels = set()
        self.born = int(time.time() * 1000)
        await super().start()

    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.channels.add(writer)
        last = int(headers.get('last-event-id', 0))
        self.record.write(self.name, f'{self.version} runs {attempt} after event {last}')
        writer.write(
            self.head(attempt, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        )
        version = self.version
        for number in range(last + 1, EVENTS + 1):
            event = f'id: {number}\ndata: token {number} {version}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        writer.write(b'0\r\n\r\n')

    async def crash(self):
        """Crash, and be back under the same id and address as the new version."""
        self.record.write(self.name, 'crashes')
        self.beats.cancel()
        self.server.close()
        for writer in self.channels:
            sock = writer.get_extra_info('socket')
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                writer.transport.abort()
        self.channels.clear()
        await asyncio.sleep(DOWN_S)
        self.version = 'v2'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        host, port = self.address.split(':')
        self.server = await asyncio.start_server(self._serve, host, int(port), reuse_address=True)
        self.record.write(self.name, 'is back as v2')
        self.beats = asyncio.ensure_future(self._beat_forever())


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=2)
    deployment.start()
    old = [StreamWorker(deployment, f'i-old-{number}', 'talk') for number in (1, 2)]
    # The gateways prefer workers of their own zone, so this one has no streams.
    old[0].zone = OTHER_ZONE
    new = [
        StreamWorker(deployment, f'i-new-{number}', 'talk', version='v2')
        for number in range(1, NEW_WORKERS + 1)
    ]
    streams = route(
        'talk', 'stream', 'talk', timeout_ms=TIMEOUT_MS, slo_ms=2700, gap_aim_ms=500,
        resumable=True, max_attempts=4,
    )
    await deployment.put_manifest(manifest(1, [streams], ['talk']))
    for worker in (*old, *new):
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(4)

    mixed = []
    versions = {}

    async def client(number):
        attempt = f's{number}'
        channel = Channel(record, f'client-{number}')
        seen = versions[attempt] = []

        def on_data(data):
            for line in data.decode().splitlines():
                if line.startswith('data:'):
                    seen.append(line.split()[-1])

        await channel.open(deployment.front('front-1'))
        try:
            await channel.request(
                attempt, '/talk/x', body=attempt.encode(), deadline_ms=TIMEOUT_MS, on_data=on_data
            )
        except (asyncio.IncompleteReadError, OSError, ValueError) as error:
            record.write(channel.name, f'{attempt} ends early: {error!r}')
        channel.close()
        if len(set(seen)) > 1:
            first = seen.index('v2') if seen[0] == 'v1' else seen.index('v1')
            record.write('judge', f'{attempt}: {seen[0]} up to event {first}, then the other version')
            mixed.append(attempt)

    clients = [asyncio.ensure_future(client(number)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    if trouble():
        first = asyncio.ensure_future(old[0].crash())
        await asyncio.sleep(BETWEEN_S)
        second = asyncio.ensure_future(old[1].crash())
        await asyncio.gather(first, second)
    await asyncio.gather(*clients)
    began_old = sum(1 for seen in versions.values() if seen and seen[0] == 'v1')
    record.write(
        'judge', f'{began_old} streams began at v1; {len(mixed)} hold events of both versions'
    )
    return len(mixed) > (ALLOWED if trouble() else 0)


main(case, HERE)
