"""A worker's endless body with a declared length costs clients of sound workers their answers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from stand_ins_2 import Channel, Worker, main, manifest, route, trouble  # noqa: E402

#: Clients of the sound service and of the one with a worker in trouble.
CLIENTS = 8
OTHER_CLIENTS = 2
DURATION_S = 12.0
#: The sound workers send an answer in two parts, this long apart, seconds.
PART_PAUSE_S = 0.2
BODY = b'y' * 8000
DECLARED = 10**12
#: Cut requests that the rule allows.
ALLOWED = 3


class SoundWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        writer.write(self.head(attempt, f'Content-Length: {len(BODY)}\r\n') + BODY[: len(BODY) // 2])
        await writer.drain()
        await asyncio.sleep(PART_PAUSE_S)
        writer.write(BODY[len(BODY) // 2 :])
        await writer.drain()


class EndlessWorker(Worker):
    """Answers whole, or, in trouble, with bytes without end until its caller closes."""

    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        if not trouble():
            writer.write(self.head(attempt, f'Content-Length: {len(BODY)}\r\n') + BODY)
            return
        writer.write(self.head(attempt, f'Content-Length: {DECLARED}\r\n'))
        sent = 0
        try:
            while True:
                writer.write(b'z' * 65536)
                await writer.drain()
                sent += 65536
        finally:
            self.record.write(self.name, f'{attempt}: the caller closed after {sent} bytes')


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=2)
    deployment.start()
    sound = [SoundWorker(deployment, f'i-sound-{number}', 'sound') for number in (1, 2)]
    other = EndlessWorker(deployment, 'i-other-1', 'other')
    routes = [
        route('sound', 'idempotent', 'sound', priority=1, max_attempts=1),
        route('other', 'idempotent', 'other', priority=0, max_attempts=1),
    ]
    await deployment.put_manifest(manifest(1, routes, ['sound', 'other']))
    for worker in (*sound, other):
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(4)  # contact_ms: every machine is in touch.

    cut = []
    served = 0
    until = record.now() + DURATION_S

    async def client(number):
        nonlocal served
        name = f'client-{number}'
        channel = Channel(record, name)
        sent = 0
        while record.now() < until:
            sent += 1
            attempt = f'c{number}-{sent}'
            if channel.writer is None:
                channel = Channel(record, name)
                await channel.open(deployment.front('front-1'))
            kept = channel.requests > 0
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
            if status == 200 and data == BODY:
                served += 1
            elif status == 503:
                await asyncio.sleep(float(headers.get('retry-after', '0.3')))
            if headers.get('connection', '').lower() == 'close':
                channel.close()
                channel = Channel(record, name)
        channel.close()

    async def other_client(number):
        name = f'other-client-{number}'
        sent = 0
        while record.now() < until:
            sent += 1
            channel = Channel(record, name)
            try:
                await channel.open(deployment.front('front-1'))
                await channel.request(f'o{number}-{sent}', '/other/x')
            except (asyncio.IncompleteReadError, OSError) as error:
                record.write(name, f'o{number}-{sent} ends without an answer: {error!r}')
            channel.close()
            await asyncio.sleep(0.5)

    await asyncio.gather(
        *(client(number) for number in range(CLIENTS)),
        *(other_client(number) for number in range(OTHER_CLIENTS)),
    )
    record.write('judge', f'{served} requests of the sound service served, {len(cut)} cut')
    if not trouble() and cut:
        return True
    return len(cut) > ALLOWED


main(case, HERE)
