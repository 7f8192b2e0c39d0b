"""A gateway that is asked to stop takes a request on a kept channel and cuts it."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from stand_ins_2 import BOUNDS, Channel, Worker, main, manifest, route, trouble  # noqa: E402

CLIENTS = 6
#: Events of the first and of the second stream of each client, and their interval, seconds.
FIRST_EVENTS = 18
SECOND_EVENTS = 24
INTERVAL_S = 0.25
#: The first streams have run for so long when the signal comes, seconds.
BEFORE_STOP_S = 0.5
DEADLINE_MS = 15_000


class StreamWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        writer.write(
            self.head(attempt, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        )
        for number in range(1, int(body) + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record.write(self.name, f'has finished {attempt}')


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=2)
    deployment.start()
    workers = [StreamWorker(deployment, f'i-talk-{number}', 'talk') for number in (1, 2)]
    streams = route(
        'read',
        'stream',
        'talk',
        timeout_ms=DEADLINE_MS,
        slo_ms=3600,
        gap_aim_ms=500,
        max_attempts=1,
    )
    await deployment.put_manifest(manifest(1, [streams], ['talk']))
    for worker in workers:
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(4)  # contact_ms: every machine is in touch.

    stopped_at = asyncio.get_running_loop().create_future()
    broken = []

    async def client(number):
        channel = Channel(record, f'client-{number}')
        await channel.open(deployment.front('front-1'))
        status, headers, _ = await channel.request(
            f'c{number}-first', '/read/x', body=str(FIRST_EVENTS).encode(), deadline_ms=DEADLINE_MS
        )
        if status != 200 or headers.get('connection', '').lower() == 'close':
            record.write(channel.name, 'the channel is not kept')
            channel.close()
            return
        sent_at = record.now()
        attempt = f'c{number}-second'
        try:
            await channel.request(
                attempt, '/read/x', body=str(SECOND_EVENTS).encode(), deadline_ms=DEADLINE_MS
            )
        except (asyncio.IncompleteReadError, OSError, ValueError) as error:
            ended_at = record.now()
            record.write(channel.name, f'{attempt} ends without a complete answer: {error!r}')
            was_run = any(attempt in worker.run for worker in workers)
            if not was_run or not trouble():
                if not trouble():
                    broken.append(attempt)
                return
            after_s = sent_at - await stopped_at
            # Excused: sent within 3 s of the signal, or the client's time limit was reached.
            if after_s > 3 and ended_at - sent_at < DEADLINE_MS / 1000:
                record.write(
                    'judge', f'{attempt}: sent {after_s:.2f} s after SIGTERM, run, cut: LOST'
                )
                broken.append(attempt)
        finally:
            channel.close()

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE_STOP_S)
    if trouble():
        deployment.machines['front-1'].signal(signal.SIGTERM)
        stopped_at.set_result(record.now())
        record.write('platform', f'SIGTERM to front-1; SIGKILL after {BOUNDS["grace_s"]} s')

        def end():
            if deployment.machines['front-1'].process.poll() is None:
                record.write('platform', 'SIGKILL to front-1')
                deployment.machines['front-1'].kill()
            else:
                record.write('platform', 'front-1 has ended')

        asyncio.get_running_loop().call_later(BOUNDS['grace_s'], end)
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    record.write('judge', f'{len(broken)} requests lost: {", ".join(broken)}')
    return bool(broken)


main(case, HERE)
