"""Control's figures: applies, claims, failover, restart, idle cost.

``python -m bench.control [claims] [failover] [restart] [idle]`` prints them.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path

from ringseam.control.raftlog import HardState, Snapshot
from ringseam.control.state import StateMachine, encode_command
from ringseam.control.storage import DiskFiles, Storage
from ringseam.layout import Layout
from ringseam.ledger import (
    ClaimStage,
    ConcludeStage,
    OpenRun,
    RunOpened,
    StageState,
    kept_answer,
)
from ringseam.services import COMMAND, CommandRequest
from tests.conftest import PART_FILE
from tests.processes import System


def percentile(known, share):
    ordered = sorted(known)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def started(folder, count=3, **own):
    system = System(layout=Layout(folder=Path(folder)))
    system.layout.add_control(count, **own)
    system.start()
    system.apply(PART_FILE, expect=0)
    return system


def open_run(key):
    return OpenRun(
        account='demo/a',
        key=key,
        digest=b'0' * 16,
        pipeline='demo/p',
        now_ms=int(time.time() * 1000),
        retention_ms=86_400_000,
    )


def claim(key):
    return ClaimStage(
        account='demo/a',
        key=key,
        stage='demo/s',
        request_id='0' * 16,
        agent='127.0.0.1:1',
        incarnation='0' * 16,
        sequence=1,
    )


def conclude(key):
    return ConcludeStage(
        account='demo/a',
        key=key,
        stage='demo/s',
        generation=1,
        state=StageState.completed,
        answer=kept_answer('text/plain', b'x' * 200),
    )


async def commit(control, command):
    request = CommandRequest(command=command)
    return await control.call_leader(COMMAND, request, timeout_s=10)


async def many(control, commands, at_once):
    """Commit all commands, ``at_once`` at a time; return the durations."""
    waiting = iter(commands)
    spent = []

    async def work():
        for command in waiting:
            began = time.perf_counter()
            await commit(control, command)
            spent.append(time.perf_counter() - began)

    await asyncio.gather(*(work() for _ in range(at_once)))
    return spent


def claims():
    """Print commands a second with group commit on and off."""
    for group_commit in (True, False):
        with tempfile.TemporaryDirectory() as folder:
            system = started(folder, group_commit=group_commit)
            try:
                for at_once, count in ((1, 200), (16, 1500), (64, 3000)):
                    began = time.perf_counter()
                    keys = [f'{at_once}-{number}' for number in range(count)]
                    spent = system.call(
                        lambda control, keys=keys, at_once=at_once: many(
                            control, [open_run(key) for key in keys], at_once
                        )
                    )
                    rate = count / (time.perf_counter() - began)
                    print(
                        f'claims: group commit {group_commit}, {at_once} at once: '
                        f'{rate:.0f}/s, p50 {percentile(spent, 0.5) * 1e3:.1f} ms, '
                        f'p99 {percentile(spent, 0.99) * 1e3:.1f} ms'
                    )
                began = time.perf_counter()
                for revision in range(1, 101):
                    system.apply(f'{PART_FILE}\n# {revision}\n', expect=revision)
                print(f'applies, one operator: {100 / (time.perf_counter() - began):.0f}/s')
            finally:
                system.close()


def failover():
    """Print the time from a leader's SIGKILL to the next committed command."""
    with tempfile.TemporaryDirectory() as folder:
        system = started(folder)
        spent = []
        try:
            for number in range(20):
                leader = system.leader()
                system.kill(leader)
                began = time.perf_counter()
                system.call(lambda control, number=number: commit(control, open_run(f'{number}')))
                spent.append(time.perf_counter() - began)
                system.start(leader)
                time.sleep(1.5)
        finally:
            system.close()
    print(
        f'failover over {len(spent)} kills: p50 {percentile(spent, 0.5):.2f} s, '
        f'p90 {percentile(spent, 0.9):.2f} s, max {max(spent):.2f} s, '
        f'mean {statistics.mean(spent):.2f} s'
    )


def restart():
    """Print snapshot size, write and load time, and memory per ledger entry."""
    import tracemalloc

    for count in (1000, 10_000, 100_000):
        tracemalloc.start()
        machine = StateMachine()
        for number in range(count):
            for command in (open_run, claim, conclude):
                machine.apply(encode_command(command(f'key-{number:08}')))
        held = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        with tempfile.TemporaryDirectory() as folder:
            storage = Storage(files=DiskFiles(folder=folder))
            storage.load()
            began = time.perf_counter()
            state = machine.snapshot()
            encoded = time.perf_counter()
            snapshot = Snapshot(index=3 * count, term=1, state=state)
            storage.save_snapshot(snapshot, HardState(1, ''), [])
            saved = time.perf_counter()
            storage.close()
            loaded = Storage(files=DiskFiles(folder=folder)).load()
            restored = StateMachine(snapshot=loaded.log.snapshot.state)
            done = time.perf_counter()
            assert isinstance(restored.ledger.open(open_run('key-00000001')), RunOpened)
        print(
            f'{count} entries: {held / count:.0f} bytes each in memory, '
            f'{len(state) / count:.0f} in the snapshot; encode {encoded - began:.2f} s, '
            f'write and sync {saved - encoded:.2f} s, load {done - saved:.2f} s'
        )


def idle():
    """Print processor time and traffic of idle replicas."""
    with tempfile.TemporaryDirectory() as folder:
        system = started(folder)
        try:
            time.sleep(2)
            before = {name: usage(process.pid) for name, process in system.running.items()}
            time.sleep(20)
            leader = system.leader()
            for name, process in system.running.items():
                cpu, resident = usage(process.pid)
                spent = (cpu - before[name][0]) / 20
                kind = 'leader' if name == leader else 'follower'
                print(f'idle {kind}: {spent * 100:.2f}% of a core, {resident / 1024:.0f} MB')
        finally:
            system.close()


def usage(pid):
    """Return processor seconds and resident KiB of a process."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    resident = next(
        int(line.split()[1])
        for line in Path(f'/proc/{pid}/status').read_text().splitlines()
        if line.startswith('VmRSS')
    )
    return (int(fields[11]) + int(fields[12])) / 100, resident


if __name__ == '__main__':
    for name in sys.argv[1:] or ('claims', 'failover', 'restart', 'idle'):
        globals()[name]()
