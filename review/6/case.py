"""Case 6: a planned stop takes new streams over kept channels and then cuts them off."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import HOST, TROUBLE, Rig, Worker, manifest_of, run_case  # noqa: E402

#: The sheet of ncv-thies: ``label-check`` has 78 events, pauses of up to 500 ms and a time
#: limit of 20 s; ``grace_s``; 3 ms one way between clients and machines.
EVENTS = 78
EVENT_S = 0.06
LIMIT_MS = 20_000
GRACE_S = 8.0
ONE_WAY_S = 0.003
CLIENTS = 40
#: Requests that a client sent later than this after the SIGTERM are never excused.
EXCUSED_S = 3.0
#: The provider asks once a second and takes a machine out after two misses.
OUT_AFTER_S = 2.0


@dataclass
class Sent:
    """One request of a client, and how its answer ended."""

    attempt: str
    machine: str
    at: float
    is_reused: bool
    ended: str = ''
    ended_at: float = 0


class ModelWorker(Worker):
    """A model worker that sends whole streams."""

    async def answer(self, head, fields, body, writer):
        attempt = fields.get('attempt-id', '')
        self.runs.append(attempt)
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {self.name}.{attempt}\r\n'
            'Content-Type: text/event-stream\r\nKeep-Alive: timeout=30\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = b'id: %d\ndata: t%d\n\n' % (number, number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')


class Provider:
    """Hands new channels to the machines that are in; when a machine was stopped, and which."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.stopped = ''
        self.stopped_at = float('inf')

    def pick(self, number: int) -> str:
        names = self.rig.gateways
        if time.monotonic() > self.stopped_at + OUT_AFTER_S:
            names = [name for name in names if name != self.stopped]
        return names[number % len(names)]


async def client(rig: Rig, provider: Provider, number: int, until: float, sent: list[Sent]) -> None:
    """Ask for one stream after the other, over a channel that is kept as long as it may be."""
    count = 0
    await asyncio.sleep(number * 0.12)
    while time.monotonic() < until:
        machine = provider.pick(number)
        try:
            reader, writer = await asyncio.open_connection(*rig.front(machine))
        except OSError:
            await asyncio.sleep(0.2)
            continue
        is_reused = False
        while time.monotonic() < until:
            count += 1
            one = Sent(f'c{number}-{count}', machine, time.monotonic(), is_reused)
            sent.append(one)
            await asyncio.sleep(ONE_WAY_S)
            may_go_on = await ask(one, reader, writer)
            one.ended_at = time.monotonic()
            rig.note(
                f'{one.attempt} at {machine}{" over a kept channel" if is_reused else ""}: '
                f'{one.ended} after {one.ended_at - one.at:.2f} s'
            )
            await asyncio.sleep(ONE_WAY_S)
            is_reused = True
            if not may_go_on:
                break
        writer.close()


async def ask(one: Sent, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Send a request and read its answer; return whether the channel may be used again."""
    writer.write(
        f'POST /label/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {one.attempt}\r\n'
        f'Authorization: Bearer key-1\r\nDeadline-Ms: {LIMIT_MS}\r\nModel: m\r\n'
        f'Token-Counts: 715,240\r\nPrompt-Prefix: 5eed:172,{one.attempt.encode().hex()}:543\r\n'
        'Content-Length: 2\r\n\r\nok'.encode()
    )
    events = 0
    status = 0
    try:
        async with asyncio.timeout(LIMIT_MS / 1000):
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
            status = int(head.split()[1])
            closes = '\r\nconnection: close' in head
            if 'chunked' not in head:
                one.ended = f'answered {status}'
                return not closes
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                part = await reader.readexactly(size + 2)
                events += part.count(b'id: ')
                if not size:
                    one.ended = f'whole, {events} events'
                    return not closes
    except (OSError, asyncio.IncompleteReadError):
        one.ended = f'cut after {events} events' if status else 'closed without an answer'
    except asyncio.TimeoutError:
        one.ended = 'time limit'
    return False


async def case(rig: Rig) -> str:
    route = {
        'name': 'r-label',
        'host': 'a.example',
        'path_prefix': '/label/',
        'kind': 'stream',
        'timeout_ms': LIMIT_MS,
        'slo_ms': 3600,
        'priority': 1,
        'service': 'model',
        'max_attempts': 1,
        'stages': [],
        'public': False,
        'sticky': True,
        'resumable': False,
        'gap_aim_ms': 500,
    }
    engine = {'slots': 128, 'kv_tokens': 286093, 'models': [{'name': 'm'}]}
    services = [{'name': 'model', 'health_path': '/health', 'max_conns': 610, 'engine': engine}]
    workers = [ModelWorker(rig, service='model', name=f'i-model-{n}', ip=HOST) for n in range(3)]
    await rig.open(manifest_of(1, [route], services))
    for worker in workers:
        await worker.start()
    for name in rig.gateways:
        await rig.wait_ready(name)
    await asyncio.sleep(4)
    provider = Provider(rig)
    sent: list[Sent] = []
    until = time.monotonic() + 22
    running = [
        asyncio.create_task(client(rig, provider, number, until, sent))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(9)
    machine = rig.gateways[0]
    if TROUBLE:
        provider.stopped, provider.stopped_at = machine, time.monotonic()
        await rig.programs[machine].stop(GRACE_S)
    await asyncio.wait(running)
    ran = {attempt for worker in workers for attempt in worker.runs}
    later = [
        one
        for one in sent
        if one.machine == machine and one.at > provider.stopped_at + EXCUSED_S
    ]
    lost = [
        one
        for one in later
        if one.attempt in ran and one.ended.startswith(('cut', 'closed'))
    ]
    for one in lost:
        rig.note(
            f'LOST {one.attempt}: sent {one.at - provider.stopped_at:.2f} s after the SIGTERM, '
            f'{one.ended}, {one.ended_at - provider.stopped_at:.2f} s after it'
        )
    rig.note(f'{len(sent)} requests, {len(later)} at the stopped machine later than 3 s after it')
    if lost:
        return f'LOST: {len(lost)} requests were passed on and cut off by the planned stop'
    return ''


run_case(Path(__file__).resolve().parent, case, controls=3, gateways=2)
