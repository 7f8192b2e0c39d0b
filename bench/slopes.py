"""Slopes for docs/CAPACITY.rst: cost per message and per unit of state.

``python -m bench.slopes [directory] [config] [dispatch] [frames] [fleet]``
prints points and least-squares fits.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import resource
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

import msgspec

from ringseam.config import Configuration
from ringseam.control.directory import Directory
from ringseam.directorymessages import DirectoryDeltaReply
from ringseam.envelopes import AuthenticatedCodec
from ringseam.messages import AcceptedFile, AgentState, DispatchFrame, TextChunk
from ringseam.node import Node
from ringseam.routing import AgentView
from ringseam.rpc import CallClient, CallServer
from ringseam.services import DELTA, DISPATCH_STREAM, REPORT
from ringseam.zones import DrainedZones
from tests.conftest import PART_FILE


def fit(points):
    """Return slope and offset of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def show(name, points, unit):
    slope, offset = fit(points)
    listed = ', '.join(f'({x:g}, {y:.4g})' for x, y in points)
    print(f'{name}: points {listed}; fit {slope:.4g} {unit}, offset {offset:.4g}')


def agent_state(number, sequence=1):
    return AgentState(
        name=f'agent-{number:05}',
        address=f'10.1.{number // 250}.{number % 250}:7100',
        zone=f'zone-{number % 6}',
        region=f'region-{number % 3}',
        incarnation=f'{number:016x}',
        sequence=sequence,
        pool='thies/photo-readers',
        models=('photo-reader',),
        in_flight=7,
        queued=3,
        capacity=16,
        waits_ms=(1.5, 20.25, 300.5),
        service_ms=400.5,
        serving=True,
        revision=33_000,
    )


def cpu():
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def directory():
    """Memory per agent at control and entry; processor time of deltas."""
    memory, deltas, merges, sizes = [], [], [], []
    for count in (500, 1000, 2000, 4000):
        tracemalloc.start()
        rows = Directory(epoch='e', expiry_s=3)
        for number in range(count):
            state = msgspec.msgpack.encode(agent_state(number))
            rows.report(msgspec.msgpack.decode(state, type=AgentState), 0)
        memory.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        began = cpu()
        for _ in range(5):
            raw = msgspec.msgpack.encode(rows.delta('', 0, 9, zones=DrainedZones()))
        deltas.append((count, (cpu() - began) / 5 * 1e6))
        sizes.append((count, len(raw)))
        view = AgentView()
        began = cpu()
        view.merge('a', msgspec.msgpack.decode(raw, type=DirectoryDeltaReply), 0)
        merges.append((count, (cpu() - began) * 1e6))
    show('directory memory', memory, 'bytes an agent')
    show('delta encode', deltas, 'us an agent')
    show('delta size', sizes, 'bytes an agent')
    show('entry merge', merges, 'us an agent')


def config():
    """Bytes of a pull and time to take a change in, by accounts of a file."""
    sizes, parses = [], []
    for count in (10, 50, 100, 260):
        accounts = ''.join(
            f'\n[account a{number}]\ntoken_sha256 = {"0" * 64}\n' for number in range(count)
        )
        accepted = AcceptedFile(
            part='demo', text=PART_FILE + accounts, apply_id='0' * 64, revision=1
        )
        sizes.append((count, len(msgspec.msgpack.encode(accepted))))
        began = cpu()
        for _ in range(5):
            Configuration().updated(1, [accepted])
        parses.append((count, (cpu() - began) / 5 * 1e3))
    show('configuration pull', sizes, 'bytes an account of the part')
    show('configuration parse', parses, 'ms an account of the part')


@contextlib.asynccontextmanager
async def pair(method, respond, frames=False):
    """Yield a client and the address of a server of one method."""
    server_node = Node(name='s', role='x', address='127.0.0.1:0', secret=b'k' * 32)
    client_node = Node(name='c', role='x', address='', secret=b'k' * 32)
    server = CallServer(node=server_node)
    (server.add_server_stream if frames else server.add)(method, respond)
    await server.start()
    client = CallClient(node=client_node)
    try:
        yield client, server_node.address
    finally:
        client.close()
        await server.close()


def dispatch():
    """Processor time of reports and deltas as calls, both sides together."""
    asyncio.run(_dispatch())


async def _dispatch():
    rows = Directory(epoch='e', expiry_s=3)

    async def report(received):
        rows.report(received.body, 0)
        from ringseam.messages import ReportReply

        return ReportReply()

    points = []
    async with pair(REPORT, report) as (client, address):
        for count in (200, 400, 800):
            began = cpu()
            for number in range(count):
                state = agent_state(number, sequence=count)
                await client.call(address, REPORT, state, timeout_s=5)
            points.append((count, (cpu() - began) * 1e3))
    show('report call, both sides', points, 'ms a call')
    codec = AuthenticatedCodec(node=Node(name='n', role='x', address='', secret=b'k' * 32))
    print(f'report on the wire: {len(codec.encode(agent_state(1), AgentState))} bytes')
    assert DELTA


def frames():
    """Processor time of streamed frames, by frames and by tokens in each."""
    asyncio.run(_frames())


async def _frames():
    from ringseam.messages import Dispatch, Ticket

    ask = Dispatch(
        request_id='r',
        account='a',
        key='',
        pipeline='p/p',
        stage='p/s',
        pool='p/q',
        path='/',
        generation=1,
        ticket=Ticket(incarnation='i', sequence=1),
        time_left_ms=1000,
        priority=1,
        repeatable=True,
        content_type='t',
        body=b'',
    )
    for tokens in (1, 50):
        points = []
        text = 'word ' * tokens
        for count in (500, 1000, 2000):

            async def respond(received, send, count=count, text=text):
                for _ in range(count):
                    await send(DispatchFrame(part=TextChunk(text=text)))

            async with pair(DISPATCH_STREAM, respond, frames=True) as (client, address):
                began = cpu()
                seen = []
                await client.call_server_stream(
                    address, DISPATCH_STREAM, ask, seen.append, timeout_s=60
                )
                points.append((len(seen), (cpu() - began) * 1e6))
        show(f'frames of {tokens} tokens, both sides', points, 'us a frame')


def fleet():
    """A control host's processor time by the number of real agents reporting."""
    asyncio.run(_fleet())


async def _fleet():
    from ringseam.layout import Layout
    from ringseam.role import Role
    from ringseam.settings import read_settings
    from tests.processes import System

    importlib.import_module('ringseam.agent.role')
    points, traffic = [], []
    with tempfile.TemporaryDirectory() as folder:
        system = System(layout=Layout(folder=Path(folder)))
        layout = system.layout
        layout.add_control(1)
        system.start()
        roles = []
        try:
            await asyncio.to_thread(system.apply, PART_FILE, expect=0)
            for count in (25, 50, 100, 200):
                while len(roles) < count:
                    name = f'agent-{len(roles)}'
                    planned = layout.add('agent', name, threads=1, report_ms=1000)
                    text = planned.settings.read_text()
                    role = Role.kinds['agent'](settings=read_settings('agent', text, path=name))
                    await role.start()
                    roles.append(role)
                await asyncio.sleep(3)
                pid = system.running['control-1'].pid
                before = process_cpu(pid)
                await asyncio.sleep(8)
                points.append((count, (process_cpu(pid) - before) / 8 * 100))
        finally:
            for role in roles:
                await role.close()
            system.close()
    show('control host, agents that report each second', points, '% of a core an agent')
    assert not traffic


def process_cpu(pid):
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == '__main__':
    began = time.time()
    for name in sys.argv[1:] or ('directory', 'config', 'dispatch', 'frames', 'fleet'):
        globals()[name]()
    print(f'took {time.time() - began:.0f} s')
