"""Peak memory by size of the document of routes: ``python -m bench.memory``.

For each size a control host and a gateway are started as processes; the document
is changed some times, one route at a time. Printed are the peaks of both, as
the kernel counts them, and least-squares slopes by the document's bytes.
"""

from __future__ import annotations

import asyncio
import json
import re
import tempfile
import time
from pathlib import Path

from bench.slopes import show
from tests.gateways import manifest
from tests.test_system.test_system_platform import Platform

ROUTES = (8, 100, 500, 1500, 4000, 12_000, 24_000)
CHANGES = 30
MB = 2**20
WAIT_S = 20


def document(version: int, count: int) -> bytes:
    """Return a document of ``count`` routes with two stages each, of 310 bytes a route."""
    routes = [
        {
            'name': f'r-{number:06}',
            'host': f'h{number % 50}.example',
            'path_prefix': f'/{number:06}/',
            'kind': 'stream',
            'timeout_ms': 6000 if number else 6000 + version,
            'slo_ms': 3600,
            'priority': 1,
            'service': 'plain',
            'max_attempts': 2,
            'stages': [
                {'service': 'crops', 'after': [], 'bytes': 8000},
                {'service': 'crops', 'after': [0], 'bytes': 60_000},
            ],
        }
        for number in range(count)
    ]
    return json.dumps(
        {**json.loads(manifest()), 'version': version, 'routes': routes},
        separators=(',', ':'),
    ).encode()


def peak_mb(process) -> float:
    """Return the peak of a process's resident memory."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) / 1024


async def in_force(platform: Platform, version: int) -> None:
    """Wait until the gateway serves by a document."""
    wanted = '"event_name":"document_in_force"'
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        lines = (platform.folder / 'gateway.log').read_text().splitlines()
        if any(wanted in line and f'"number":{version},' in line for line in lines):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError(f'document {version} is not in force')


async def measure(platform: Platform, count: int) -> tuple[int, float, float]:
    """Return the document's bytes and both peaks in MB."""
    size = 0
    for version in range(1, CHANGES + 1):
        body = document(version, count)
        size = len(body)
        await platform.call_until(200, 'http', 'PUT', '/api/config', body)
    await in_force(platform, CHANGES)
    return size, peak_mb(platform.running['control']), peak_mb(platform.running['gateway'])


def main() -> None:
    """Print a row for each size, and the slopes."""
    rows = []
    for count in ROUTES:
        with tempfile.TemporaryDirectory() as folder:
            platform = Platform(Path(folder))
            try:
                rows.append((count, *asyncio.run(measure(platform, count))))
            finally:
                platform.close()
        print('{:6} routes {:9} bytes, control {:.1f} MB, gateway {:.1f} MB'.format(*rows[-1]))
    for name, column in (('control', 2), ('gateway', 3)):
        points = [(row[1] / MB, row[column]) for row in rows]
        show(name, points, 'MB a MB')


if __name__ == '__main__':
    main()
