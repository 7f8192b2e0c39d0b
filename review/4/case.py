"""Case 4: a planned replacement of a core machine, and then the loss of two disks."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import TROUBLE, Rig, call, manifest_of, run_case  # noqa: E402

#: The sheet of ncv-thies: five core machines of which two may be lost; ``sync_s``, ``grace_s``,
#: ``recover_s`` and ``contact_ms``.
SYNC_S = 4.0
GRACE_S = 8.0
RECOVER_S = 12.0
CONTACT_S = 3.0
#: How long the machines are down whose disks are lost, as in ``closing`` of that site.
DOWN_S = 1.0
#: Time between the end of the machine that was replaced and the loss.
PAUSE_S = 0.5


def manifest(version: int) -> dict:
    route = {
        'name': 'r-lookup',
        'host': 'a.example',
        'path_prefix': '/lookup/',
        'kind': 'idempotent',
        'timeout_ms': 3000 + version,
        'slo_ms': 600,
        'priority': 1,
        'service': 'gate',
        'max_attempts': 2,
    }
    services = [{'name': 'gate', 'health_path': '/health', 'max_conns': 96}]
    return manifest_of(version, [route], services)


async def read_back(rig: Rig, names: list[str], until: float) -> int:
    """Return the newest version that any node gives until then; 0: none."""
    newest = 0
    while time.monotonic() < until:
        for name in names:
            status, body = await call(rig.control(name), 'GET', '/api/config', b'', timeout_s=2)
            if status == 200:
                newest = max(newest, json.loads(body)['version'])
        await asyncio.sleep(0.3)
    return newest


async def lose_disk(rig: Rig, name: str) -> None:
    """Let a machine lose its disk and start again at its address."""
    program = rig.programs[name]
    program.send(signal.SIGKILL)
    program.process.wait()
    shutil.rmtree(rig.folder / f'{name}.disk')
    rig.note(f'{name} lost its disk')
    await asyncio.sleep(DOWN_S)
    rig.plan(name, is_first_start=False)
    program.start()


async def case(rig: Rig) -> str:
    await rig.open(manifest(1))
    await asyncio.sleep(SYNC_S)
    new, old = rig.spares[0], rig.controls[-1]
    # The new one comes first; then the old one gets SIGTERM.
    rig.programs[new].start()
    await asyncio.sleep(SYNC_S + 2)
    rig.controls.append(new)
    await rig.put_manifest(manifest(2))
    rig.note(f'{new} has had its time; {old} is stopped and is gone for good')
    await rig.programs[old].stop(GRACE_S)
    rig.controls.remove(old)
    await asyncio.sleep(PAUSE_S)
    await rig.put_manifest(manifest(3))
    if TROUBLE:
        await asyncio.gather(*(lose_disk(rig, name) for name in rig.controls[1:3]))
    began = time.monotonic()
    newest = await read_back(rig, rig.controls, began + RECOVER_S + CONTACT_S)
    rig.note(f'read back {RECOVER_S + CONTACT_S:.0f} s after all were back: version {newest}')
    later = await read_back(rig, rig.controls, time.monotonic() + 20) if newest < 3 else newest
    rig.note(f'read back later: version {later}')
    if newest < 3:
        return f'LOST: version 3 was acknowledged; read back: {newest or "nothing"}'
    return ''


run_case(Path(__file__).resolve().parent, case, controls=5, gateways=0, spares=1)
