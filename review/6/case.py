"""An event of a stream that never ends makes a gateway grow beyond its memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import Channel, Worker, main, manifest, route, trouble  # noqa: E402

CLIENTS = 12
STREAM_CLIENTS = 24
DURATION_S = 30.0
#: Time limit of the streams, as that of the site's longest ones.
STREAM_TIMEOUT_MS = 15_000
BODY = b'y' * 800
ALLOWED = 3
MEMORY_MB = 300


class SoundWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        await asyncio.sleep(0.1)
        writer.write(self.head(attempt, f'Content-Length: {len(BODY)}\r\n') + BODY)


class StreamWorker(Worker):
    is_bad = False

    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        writer.write(
            self.head(attempt, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        )
        if self.is_bad:
            sent = 0
            part = b'%x\r\n%s\r\n' % (65536, b'z' * 65536)
            try:
                while True:
                    writer.write(part)
                    await writer.drain()
                    sent += 65536
            finally:
                self.record.write(self.name, f'{attempt}: the caller closed after {sent} bytes')
        for number in range(1, 9):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b'0\r\n\r\n')


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=2)
    deployment.start()
    sound = [SoundWorker(deployment, f'i-sound-{number}', 'sound') for number in (1, 2)]
    talk = [StreamWorker(deployment, f'i-talk-{number}', 'talk') for number in (1, 2, 3)]
    talk[0].is_bad = trouble()
    routes = [
        route('sound', 'idempotent', 'sound', max_attempts=1),
        route('talk', 'stream', 'talk', timeout_ms=STREAM_TIMEOUT_MS, slo_ms=3600, max_attempts=1),
    ]
    await deployment.put_manifest(manifest(1, routes, ['sound', 'talk']))
    for worker in (*sound, *talk):
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(4)

    cut = []
    served = 0
    killed = 0
    slowest = 0.0
    largest = 0
    until = record.now() + DURATION_S
    front = deployment.machines['front-1']

    async def watch_memory():
        nonlocal killed, largest
        while True:
            await asyncio.sleep(0.05)
            try:
                text = Path(f'/proc/{front.process.pid}/status').read_text()
            except OSError:
                continue
            found = [line for line in text.splitlines() if line.startswith('VmRSS')]
            if not found:
                continue
            used = int(found[0].split()[1]) // 1024
            largest = max(largest, used)
            if used > MEMORY_MB:
                killed += 1
                record.write('platform', f'front-1 uses {used} MB of {MEMORY_MB}: killed')
                front.kill()
                await asyncio.sleep(0.3)
                deployment.restart('front-1')

    async def client(number):
        nonlocal served, slowest
        name = f'client-{number}'
        channel = Channel(record, name)
        sent = 0
        while record.now() < until:
            sent += 1
            attempt = f'c{number}-{sent}'
            try:
                if channel.writer is None:
                    channel = Channel(record, name)
                    await channel.open(deployment.front('front-1'))
                kept = channel.requests > 0
            except OSError:
                await asyncio.sleep(0.3)
                continue
            began = record.now()
            try:
                status, headers, data = await channel.request(attempt, '/sound/x')
            except (asyncio.IncompleteReadError, OSError) as error:
                was_run = any(attempt in worker.run for worker in sound)
                record.write(name, f'{attempt} ends without an answer: {error!r}')
                if kept and was_run:
                    record.write('judge', f'{attempt}: kept channel, sound worker, no answer: LOST')
                    cut.append(attempt)
                channel.close()
                channel = Channel(record, name)
                continue
            slowest = max(slowest, record.now() - began)
            served += status == 200 and data == BODY
            if status == 503:
                await asyncio.sleep(float(headers.get('retry-after', '0.3')))
        channel.close()

    async def stream_client(number):
        sent = 0
        while record.now() < until:
            sent += 1
            channel = Channel(record, f'stream-client-{number}')
            try:
                await channel.open(deployment.front('front-1'))
                await channel.request(f's{number}-{sent}', '/talk/x', deadline_ms=STREAM_TIMEOUT_MS)
            except (asyncio.IncompleteReadError, OSError, ValueError) as error:
                record.write(channel.name, f's{number}-{sent} ends without an answer: {error!r}')
            channel.close()
            await asyncio.sleep(0.5)

    watcher = asyncio.ensure_future(watch_memory())
    await asyncio.gather(
        *(client(number) for number in range(CLIENTS)),
        *(stream_client(number) for number in range(STREAM_CLIENTS)),
    )
    watcher.cancel()
    record.write(
        'judge',
        f'{served} served, {len(cut)} cut, killed {killed} times, slowest {slowest:.2f} s, '
        f'largest {largest} MB',
    )
    return len(cut) > (ALLOWED if trouble() else 0)


main(case, HERE)
