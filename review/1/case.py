"""Heartbeats of another writer keep all gateways from hearing of manifests."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BROKEN,
    HEARTBEAT_MS,
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

GATEWAYS = 2
CONFIG_APPLY_S = 2.0
#: Requests are sent this much later than a confirmation must be in force.
MARGIN_S = 1.0
REQUESTS = 10
#: The writer's entry: the name of its service is no text, and no service of the manifest.
FOREIGN = (
    b'{"service":"\\ud800","addr":"127.0.0.1:9","zone":"hall-a","version":"v1","slots":1,'
    b'"state":"ready","cold_left_ms":0,"seq":%d}'
)


async def answer(worker, request, writer):
    writer.write(plain(request, worker.service.encode()))
    await writer.drain()


async def write_foreign_heartbeats(deployment) -> None:
    """Send a heartbeat at each interval, to the next node if one does not acknowledge it."""
    sequence = 0
    while True:
        sequence += 1
        for number in range(len(deployment.control_ips)):
            status, _ = await deployment.call_control(
                'PUT', '/api/instances/x-1', FOREIGN % sequence, number, timeout_s=1
            )
            deployment.record.write('writer', f'heartbeat {sequence} to core-{number + 1}: {status}')
            if 200 <= status < 300:
                break
        await asyncio.sleep(HEARTBEAT_MS / 1000)


async def case(record) -> int:
    deployment = Deployment(record, gateways=GATEWAYS)
    services = [
        {'name': name, 'health_path': '/health', 'max_conns': 610} for name in ('old', 'new')
    ]
    workers = {name: Worker(deployment, f'i-{name}1', name, answer) for name in ('old', 'new')}
    writer = None
    try:
        deployment.start()
        await deployment.put_manifest(
            manifest(1, [route('report', 'idempotent', 'old')], services)
        )
        for number, worker in enumerate(workers.values()):
            await worker.start(f'{deployment.net}.{51 + number}')
        for number in range(GATEWAYS):
            await deployment.wait_ready(number + 1)
        await asyncio.sleep(4)
        channels = []
        for number in range(GATEWAYS):
            channels.append(Channel(record, f'client-{number + 1}'))
            await channels[-1].open(deployment.gateway(number + 1))
            before = await channels[-1].request(f'b{number:015x}', '/report/x')
            if before.body != b'old':
                raise NotRunError('the first manifest is not in force')
        if trouble():
            writer = asyncio.create_task(write_foreign_heartbeats(deployment))
            await asyncio.sleep(2 * HEARTBEAT_MS / 1000)
        await deployment.put_manifest(
            manifest(2, [route('report', 'idempotent', 'new')], services)
        )
        acknowledged = time.monotonic()
        await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
        _, held = await deployment.call_control('GET', '/api/config')
        record.write('operator', f'reads back {held[:14]!r}')
        by_old = 0
        for number in range(REQUESTS):
            for gateway, channel in enumerate(channels):
                late_s = time.monotonic() - acknowledged
                response = await channel.request(f'a{gateway}{number:014x}', '/report/x')
                if response.status != 200:
                    raise NotRunError('a request was not served')
                if response.body == b'old':
                    by_old += 1
                    record.write(
                        f'client-{gateway + 1}',
                        f'{late_s:.1f} s after the confirmation: run by the old service',
                    )
            await asyncio.sleep(0.3)
        for channel in channels:
            channel.close()
    finally:
        if writer is not None:
            writer.cancel()
        deployment.close()
    record.write('case', f'{by_old} of {REQUESTS * GATEWAYS} requests were run by the old service')
    return BROKEN if by_old else HELD


if __name__ == '__main__':
    run_case(FOLDER, case)
