"""A gateway sends to a worker whose leave was acknowledged before it froze and control changed."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from stand_ins_2 import BOUNDS, CannotRun, Channel, Worker, main, manifest, route, trouble  # noqa: E402


class PlainWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        extra = 'Server-Leaving: 1\r\n' if self.state == 'gone' else ''
        writer.write(self.head(attempt, f'{extra}Content-Length: 2\r\n') + b'ok')

    async def leave(self):
        self.beats.cancel()
        self.state = 'gone'
        for _ in range(50):
            status, _ = await self.deployment.control_call('DELETE', f'/api/instances/{self.name}')
            if status == 200:
                self.record.write(self.name, 'its leave is acknowledged; it serves on for a while')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the leave was not acknowledged')


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=2)
    deployment.start()
    workers = [PlainWorker(deployment, f'i-pay-{number}', 'pay') for number in (1, 2)]
    routes = [route('pay', 'idempotent', 'pay', max_attempts=1)]
    await deployment.put_manifest(manifest(1, routes, ['pay']))
    for worker in workers:
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(4)
    leaver = workers[0]
    loop = asyncio.get_running_loop()
    leader = next(m for m in deployment.controls() if 'became_leader' in (m.folder / (m.name + '.log')).read_text() or 'raft.leader' in (m.folder / (m.name + '.log')).read_text())
    record.write('platform', f'leader is {leader.name}')
    front = deployment.machines['front-1']
    if trouble():
        front.signal(signal.SIGSTOP)
        record.write('platform', 'front-1 freezes')
    await asyncio.sleep(0.2)
    await leaver.leave()
    acked = loop.time()
    if trouble():
        leader.kill()
        record.write('platform', f'{leader.name} is killed')
        front.signal(signal.SIGCONT)
        record.write('platform', 'front-1 wakes')
        await asyncio.sleep(0.3)
        deployment.restart(leader.name)
    started = loop.time()
    await asyncio.sleep(BOUNDS['contact_ms'] / 1000 + 0.2)
    before = set(leaver.run)
    for number in range(12):
        channel = Channel(record, 'client')
        await channel.open(deployment.front('front-1'))
        await channel.request(f'r{number}', '/pay/x')
        record.write('judge', f'r{number}: {loop.time() - started:.2f} s after the last disturbance, {loop.time() - acked:.2f} s after ack')
        channel.close()
    late = [a for a in leaver.run if a not in before]
    record.write('judge', f'sent to the worker that has left: {late}')
    return bool(late)


main(case, HERE)
