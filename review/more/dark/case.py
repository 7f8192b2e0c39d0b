"""Streams of a gateway that lost power can't go on once a release has begun."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from stand_ins_2 import Channel, Worker, main, manifest, route, trouble  # noqa: E402

STREAMS = 16
EVENTS = 30
INTERVAL_S = 0.2
TIMEOUT_MS = 9000
#: Clients abandon a stream after this gap: two seconds, four times the objective and eight times
#: the pause are all the same here.
GAP_S = 2.0
SLO_MS = 500
GAP_AIM_MS = 250
DARK_S = 3.5
TRIES = 3


class StreamWorker(Worker):
    async def answer(self, line, headers, body, reader, writer):
        attempt = headers['attempt-id']
        self.note_run(attempt)
        writer.write(
            self.head(attempt, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')
        )
        for number in range(int(headers.get('last-event-id', 0)) + 1, EVENTS + 1):
            event = f'id: {number}\ndata: token {number} {self.version}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(INTERVAL_S)
        writer.write(b'0\r\n\r\n')


async def case(record, deploy):
    deployment = deploy(controls=3, gateways=4)
    deployment.start()
    workers = [StreamWorker(deployment, f'i-talk-{number}', 'talk') for number in (1, 2, 3)]
    routes = [
        route(
            'talk', 'stream', 'talk', timeout_ms=TIMEOUT_MS, slo_ms=SLO_MS, gap_aim_ms=GAP_AIM_MS,
            resumable=True, max_attempts=2,
        )
    ]
    await deployment.put_manifest(manifest(1, routes, ['talk']))
    for worker in workers:
        await worker.start()
    await deployment.await_ready()
    await asyncio.sleep(30)

    went_on = []
    not_gone_on = []
    began = []
    not_begun = []

    async def stream(attempt, front, *, last=0, resumes=''):
        """Return the status, the last event and whether the stream is complete."""
        channel = Channel(record, f'client of {attempt}')
        state = {'last': last, 'status': 0, 'complete': False, 'retry': 0.3}

        def on_data(data):
            for line in data.split(b'\n'):
                if line.startswith(b'id:'):
                    state['last'] = int(line[3:])

        async def watch(task):
            known = -1
            while not task.done():
                known, before = state['last'], known
                if known == before:
                    record.write(channel.name, f'abandons it after event {known}')
                    task.cancel()
                    return
                await asyncio.wait({task}, timeout=GAP_S)

        more = {}
        if resumes:
            more = {'Last_Event_Id': str(last), 'Resumes': resumes}
        await channel.open(deployment.front(front))
        task = asyncio.ensure_future(
            channel.request(attempt, '/talk/x', deadline_ms=TIMEOUT_MS, on_data=on_data, **more)
        )
        watcher = asyncio.ensure_future(watch(task))
        try:
            state['status'], headers, _ = await task
            state['complete'] = state['status'] == 200
            state['retry'] = float(headers.get('retry-after', '0.3'))
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        watcher.cancel()
        channel.close()
        return state

    async def client(number):
        first = f's{number}-1'
        state = await stream(first, 'front-1')
        if state['complete']:
            return
        last = state['last']
        for attempt in range(TRIES):
            state = await stream(
                f's{number}-{attempt + 2}', f'front-{2 + (number + attempt) % 3}', last=last, resumes=first
            )
            if state['last'] > last or state['complete']:
                went_on.append(first)
                return
            await asyncio.sleep(min(state['retry'], 1.5))
        record.write('judge', f'{first} did not go on after event {last}')
        not_gone_on.append(first)

    async def new_client(number):
        state = await stream(f'n{number}', f'front-{2 + number % 3}')
        (began if state['last'] else not_begun).append(number)

    clients = [asyncio.ensure_future(client(number)) for number in range(STREAMS)]
    await asyncio.sleep(1.5)
    front = deployment.machines['front-1']
    if trouble():
        front.signal(signal.SIGSTOP)
        record.write('platform', f'front-1 loses power for {DARK_S} s')
    await asyncio.sleep(1)
    record.write('platform', 'a release begins: the new worker starts first')
    new = StreamWorker(deployment, 'i-talk-new-1', 'talk', version='v2')
    await new.start()
    await asyncio.sleep(1.2)
    news = [asyncio.ensure_future(new_client(number)) for number in range(STREAMS)]
    await asyncio.sleep(DARK_S - 2.2)
    if trouble():
        front.kill()
        deployment.restart('front-1')
    await asyncio.gather(*clients, *news)
    record.write(
        'judge',
        f'taken up again: {len(went_on)} went on, {len(not_gone_on)} not; '
        f'new streams: {len(began)} began, {len(not_begun)} not',
    )
    taken = len(went_on) + len(not_gone_on)
    if not trouble():
        return bool(not_gone_on)
    if taken < 12:
        return False
    return len(went_on) / taken < 0.5 * len(began) / max(1, len(began) + len(not_begun))


main(case, HERE)
