"""A stream whose worker pauses is cut while its gateway stops as planned."""

from __future__ import annotations

import asyncio
import signal
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
    chunk,
    event,
    manifest,
    route,
    run_case,
    stream_head,
    trouble,
)

REQUESTS = 4
EVENTS = 10
EVENT_S = 0.1
#: A preempted request is read in again. The client abandons a stream after a gap of 14.4 s:
#: four times its objective of 3.6 s.
PAUSE_S = 2.5


async def answer(worker, request, writer):
    """Send ten events; with trouble, the worker is preempted after the fifth one."""
    writer.write(stream_head(request))
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        if trouble() and number == EVENTS // 2 + 1:
            worker.record.write(worker.name, f'{request.attempt} is preempted for {PAUSE_S} s')
            await asyncio.sleep(PAUSE_S)
            worker.record.write(worker.name, f'{request.attempt} goes on')
        writer.write(chunk(event(number)))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()


async def case(record) -> int:
    deployment = Deployment(record)
    workers = [Worker(deployment, f'i-engine{n}', 'engine', answer) for n in (1, 2)]
    try:
        deployment.start()
        await deployment.put_manifest(
            manifest(
                1,
                [route('verdict', 'stream', 'engine', gap_aim_ms=500)],
                [{'name': 'engine', 'health_path': '/health', 'max_conns': 610}],
            )
        )
        for number, worker in enumerate(workers):
            await worker.start(f'{deployment.net}.{51 + number}')
        await deployment.wait_ready()
        await asyncio.sleep(4)
        channels = [Channel(record, f'client-{n}') for n in range(REQUESTS)]
        begun = []
        for channel in channels:
            await channel.open(deployment.gateway())
        calls = [
            asyncio.ensure_future(
                channel.request(
                    f'a{n:015x}', '/verdict/x', on_head=lambda n=n: begun.append(n)
                )
            )
            for n, channel in enumerate(channels)
        ]
        while len(begun) < REQUESTS and not all(call.done() for call in calls):
            await asyncio.sleep(0.01)
        deployment.signal('front-1', signal.SIGTERM)
        responses = await asyncio.gather(*calls)
        for channel in channels:
            channel.close()
    finally:
        deployment.close()
    if any(response.status != 200 for response in responses):
        raise NotRunError('a request was not passed on to a worker')
    cut = [response for response in responses if not response.complete]
    record.write('case', f'{len(cut)} of {REQUESTS} streams ended without a complete answer')
    return BROKEN if cut else HELD


if __name__ == '__main__':
    run_case(FOLDER, case)
