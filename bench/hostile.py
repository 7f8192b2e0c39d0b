"""Clients that don't behave, beside ordinary ones: ``python -m bench.hostile --seed 1``.

Real processes (three control hosts and a gateway) on loopback addresses; hostile clients in a
process of their own attack any address, ordinary clients ask another route on kept and on new
connections, and readiness is asked twice a second. The memory of each process, with what has
arrived and isn't read, is watched all the while: a process that exceeds its host is stopped.
``--table`` plays one shape after the other; else shapes, addresses, numbers and mixtures are
drawn by the seed.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import random
import re
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from bench.hostileclients import SHAPES, Attack
from bench.hostileservers import LARGE_PATH
from ringseam.layout import Layout, free_address
from ringseam.platform.example import HOST, KEY, PLAIN_PATH, example_manifest
from ringseam.platform.registration import CONFIG_PATH, READY_PATH
from tests.processes import System

CONTROL = ('control-1', 'control-2', 'control-3')
GATEWAY = 'gateway-1'
#: Services of ordinary and of hostile clients, and a path of the latter.
ORDINARY = 'ordinary'
ATTACKED = 'attacked'
ATTACKED_PATH = '/attacked/'
CLIENTS = 10
#: An ordinary client waits so long for a response, and a readiness check for its answer, seconds.
PATIENCE_S = 4.0
READY_PATIENCE_S = 1.0
READY_INTERVAL_S = 0.5
WATCH_INTERVAL_S = 0.02
#: Every so many looks at the memory of processes, unread bytes are counted as well.
QUEUES_EACH = 10
PAGE_BYTES = 4096
BYTES_PER_MB = 10**6
#: Memory of the hosts in MB, and what the settings say of them.
GATEWAY_MB = 300
CONTROL_MB = 296
DESCRIPTORS = 4100
#: The aims: the share of ordinary requests that are served, the 99th percentile of their times in
#: seconds, readiness checks missed in a row, and when all are served again, seconds.
SERVED_SHARE = 0.95
P99_S = 0.5
MISSES = 1
RECOVERED_S = 2.0


class Memory(threading.Thread):
    """Watch the memory of processes; stop one that exceeds its host."""

    def __init__(self, system, limits_mb):
        super().__init__(daemon=True)
        self.system = system
        self.limits_mb = limits_mb
        self.peaks_mb = collections.Counter()
        self.queues_mb = collections.Counter()
        #: How much of the peak lay unread in the system.
        self.unread_at_peak_mb = collections.Counter()
        self.exceeded = {}
        self.done = threading.Event()

    def run(self):
        number = 0
        while not self.done.wait(WATCH_INTERVAL_S):
            number += 1
            if not number % QUEUES_EACH:
                self.count_queues()
            for name, limit_mb in self.limits_mb.items():
                process = self.system.running.get(name)
                if process is not None and process.poll() is None:
                    self.look(name, process, limit_mb)

    def look(self, name, process, limit_mb):
        try:
            pages = int(Path(f'/proc/{process.pid}/statm').read_text().split()[1])
        except (OSError, IndexError):
            return
        used_mb = pages * PAGE_BYTES / BYTES_PER_MB + self.queues_mb[name]
        if used_mb > self.peaks_mb[name]:
            self.peaks_mb[name] = used_mb
            self.unread_at_peak_mb[name] = self.queues_mb[name]
        if used_mb > limit_mb and name not in self.exceeded:
            self.exceeded[name] = round(used_mb)
            process.kill()

    def count_queues(self):
        """Count what has arrived at the ports of each process and isn't read."""
        unread = collections.Counter()
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
            fields = line.split()
            unread[fields[1]] += int(fields[4].partition(':')[2], 16)
        self.queues_mb = collections.Counter(
            {
                name: sum(unread[hexadecimal(address)] for address in addresses) / BYTES_PER_MB
                for name, addresses in self.addresses().items()
            }
        )

    def addresses(self):
        return {
            name: [address for address in (planned.address, planned.http) if address]
            for name, planned in self.system.layout.processes.items()
        }


def hexadecimal(address):
    """Return an address as the kernel lists it."""
    host, _, port = address.rpartition(':')
    octets = ''.join(f'{int(octet):02X}' for octet in reversed(host.split('.')))
    return f'{octets}:{int(port):04X}'


@dataclass
class Outcomes:
    """What ordinary clients got."""

    statuses: collections.Counter = field(default_factory=collections.Counter)
    times: list = field(default_factory=list)

    def record(self, status, took_s):
        self.statuses[status] += 1
        self.times.append(took_s)

    @property
    def served_share(self):
        return self.statuses[200] / max(1, self.statuses.total())

    def percentile(self, share):
        ordered = sorted(self.times)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


@dataclass(kw_only=True)
class Report:
    """What one play showed."""

    outcomes: Outcomes
    after: Outcomes
    ready: list
    control: Outcomes
    peaks_mb: dict
    unread_mb: dict
    exceeded: dict
    ended: list
    attackers: list

    @property
    def misses(self):
        """Return the most readiness checks that were missed in a row."""
        longest = current = 0
        for is_ready in self.ready:
            current = 0 if is_ready else current + 1
            longest = max(longest, current)
        return longest

    def broken(self):
        """Return what the aims say should not have been."""
        found = [f'MEMORY {name}: {used} MB' for name, used in self.exceeded.items()]
        found += [f'ENDED {name}' for name in self.ended if name not in self.exceeded]
        for name, outcomes in (('ordinary', self.outcomes), ('control', self.control)):
            if outcomes.served_share < SERVED_SHARE:
                found.append(f'SERVED {name}: {dict(outcomes.statuses)}')
        if self.outcomes.percentile(0.99) > P99_S:
            found.append(f'LATE p99 {self.outcomes.percentile(0.99):.2f} s')
        if self.misses > MISSES:
            found.append(f'READY {self.misses} missed in a row')
        if self.after.served_share < 1:
            found.append(f'RECOVERED {dict(self.after.statuses)}')
        return found

    def row(self):
        served = self.outcomes.statuses
        return (
            f'gateway {self.peaks_mb.get(GATEWAY, 0):4.0f} MB, control '
            f'{max(self.peaks_mb.get(name, 0) for name in CONTROL):4.0f} MB (of these unread '
            f'{self.unread_mb.get(GATEWAY, 0):.0f} and '
            f'{max(self.unread_mb.get(name, 0) for name in CONTROL):.0f}), ordinary '
            f'{served[200]}/{served.total()} p50 {self.outcomes.percentile(0.5):.3f} '
            f'p99 {self.outcomes.percentile(0.99):.3f} worst '
            f'{max(self.outcomes.times, default=0):.3f} s, control '
            f'{self.control.statuses[200]}/{self.control.statuses.total()}, ready '
            f'{sum(self.ready)}/{len(self.ready)}, after '
            f'{self.after.statuses[200]}/{self.after.statuses.total()}'
        )


def manifest():
    document = json.loads(example_manifest())
    plain = {**document['routes'][0], 'kind': 'idempotent'}
    document['routes'] = [
        {**plain, 'service': ORDINARY},
        *(
            {**plain, 'name': path.strip('/'), 'path_prefix': path, 'service': ATTACKED}
            for path in (ATTACKED_PATH, LARGE_PATH)
        ),
    ]
    document['services'] = [{'name': ORDINARY}, {'name': ATTACKED, 'max_conns': 2000}]
    return json.dumps(document).encode()


class Arena:
    """Control hosts and a gateway as processes, servers, and ordinary clients."""

    def __init__(self, folder, *, gateway_mb=GATEWAY_MB):
        self.system = System(layout=Layout(folder=Path(folder)))
        self.gateway_mb = gateway_mb
        self.plan()
        self.number = 0
        self.memory = Memory(
            self.system, {GATEWAY: gateway_mb, **dict.fromkeys(CONTROL, CONTROL_MB)}
        )

    def plan(self):
        cluster, http, metrics = (free_address().rpartition(':')[2] for _ in range(3))
        hosts = [f'127.0.1.{number}' for number in (1, 2, 3)]
        shared = {
            'seeds': ', '.join(f'{host}:{http}' for host in hosts),
            'cluster_ports': f'{cluster}, {cluster}',
        }
        for name, host in zip(CONTROL, hosts, strict=True):
            self.system.layout.add(
                'control',
                name,
                address=f'{host}:{cluster}',
                http=f'{host}:{http}',
                data_dir=str(self.system.layout.folder / name),
                tolerated_losses=1,
                metrics_port=metrics,
                **control_limits(),
                **shared,
            )
        self.ready = free_address()
        self.metrics = free_address()
        self.system.layout.add(
            'gateway',
            GATEWAY,
            http=free_address(),
            ready=self.ready,
            metrics_port=self.metrics.rpartition(':')[2],
            host_memory_mb=self.gateway_mb,
            host_descriptors=DESCRIPTORS,
            host_cpu_share=0.817,
            host_cores=1,
            host_link_mbps=1000,
            retry_slack=1000,
            **shared,
        )
        self.control_metrics = f'{hosts[0]}:{metrics}'

    def http_of(self, name):
        return self.system.layout.processes[name].http

    async def __aenter__(self):
        self.stack = contextlib.AsyncExitStack()
        self.stack.callback(self.system.close)
        self.system.start()
        for service in (ORDINARY, ATTACKED):
            await self.start_servers(service)
        await self.submit()
        await self.wait_until_served()
        self.memory.start()
        self.stack.callback(self.memory.done.set)
        return self

    async def __aexit__(self, *failure):
        await self.stack.aclose()

    async def start_servers(self, service):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.hostileservers',
            service,
            *(self.http_of(name) for name in CONTROL),
        )
        self.stack.push_async_callback(process.wait)
        self.stack.callback(process.kill)

    async def submit(self):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            status = await ask(self.http_of(CONTROL[0]), 'PUT', CONFIG_PATH, manifest(), ())
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise AssertionError('the document was not accepted')

    async def wait_until_served(self):
        until = time.monotonic() + 20
        streak = 0
        while time.monotonic() < until and streak < 5:
            status = await self.ask_ordinary(Connection(self.http_of(GATEWAY)))
            streak = streak + 1 if status == 200 else 0
            await asyncio.sleep(0.05)
        assert streak == 5, 'the gateway serves nothing'

    # -- ordinary clients -----------------------------------------------------

    async def ask_ordinary(self, connection, body=b'ok'):
        self.number += 1
        headers = (f'Host: {HOST}', f'Attempt-Id: {self.number:x}', f'Authorization: Bearer {KEY}')
        return await connection.ask('POST', PLAIN_PATH, body, (*headers, 'Deadline-Ms: 4000'))

    async def ask_always(self, outcomes, until, *, keeps):
        """Ask until the time is up, on one connection or on a new one each time."""
        connection = Connection(self.http_of(GATEWAY))
        while time.monotonic() < until and self.is_running(GATEWAY):
            if not keeps:
                connection.close()
            begun = time.monotonic()
            status = await self.ask_ordinary(connection)
            outcomes.record(status, time.monotonic() - begun)
            await asyncio.sleep(0.05)
        connection.close()

    async def ask_together(self, seconds):
        """Return what ordinary clients get within so many seconds."""
        outcomes = Outcomes()
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(self.ask_always(outcomes, until, keeps=number % 2) for number in range(CLIENTS))
        )
        return outcomes

    async def check_readiness(self, until):
        answers = []
        while time.monotonic() < until:
            status = await ask(self.ready, 'GET', READY_PATH, b'', (), READY_PATIENCE_S)
            answers.append(status == 200)
            await asyncio.sleep(READY_INTERVAL_S)
        return answers

    async def operate(self, until):
        """Read the document at each control host in turn."""
        outcomes = Outcomes()
        number = 0
        while time.monotonic() < until:
            name = CONTROL[number % len(CONTROL)]
            number += 1
            begun = time.monotonic()
            status = await ask(self.http_of(name), 'GET', CONFIG_PATH, b'', ())
            outcomes.record(status, time.monotonic() - begun)
            await asyncio.sleep(0.1)
        return outcomes

    def is_running(self, name):
        return self.system.running[name].poll() is None

    # -- attacks --------------------------------------------------------------

    def attack(self, shape, address, count, seconds, *, seed=1):
        """Return an attack on one of the addresses by their names."""
        at, method, target = self.addresses()[address]
        host, _, port = at.rpartition(':')
        headers = [f'Host: {HOST}', 'Deadline-Ms: 8000']
        if address != 'no-route':
            headers.append(f'Authorization: Bearer {KEY}')
        return Attack(
            shape=shape,
            host=host,
            port=int(port),
            method=method,
            target=target,
            headers=tuple(headers),
            count=count,
            seconds=seconds,
            seed=seed,
        )

    def addresses(self):
        gateway = self.http_of(GATEWAY)
        control = self.http_of(CONTROL[0])
        return {
            'route': (gateway, 'POST', ATTACKED_PATH),
            'large': (gateway, 'POST', LARGE_PATH),
            'no-route': (gateway, 'POST', '/nothing/here/'),
            'ready': (self.ready, 'GET', READY_PATH),
            'metrics': (self.metrics, 'GET', '/metrics'),
            'control': (control, 'PUT', CONFIG_PATH),
            'control-report': (control, 'PUT', '/api/instances/i-hostile'),
            'control-no-path': (control, 'POST', '/nothing'),
            'control-metrics': (self.control_metrics, 'GET', '/metrics'),
            'peer-gateway': (self.system.layout.processes[GATEWAY].address, 'POST', '/x'),
            'peer-control': (self.system.layout.processes[CONTROL[0]].address, 'POST', '/x'),
        }

    async def play(self, attacks, seconds):
        """Play attacks beside ordinary clients; return a report."""
        playing = [
            await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bench.hostileclients',
                *attack.arguments(),
                stdout=asyncio.subprocess.PIPE,
            )
            for attack in attacks
        ]
        until = time.monotonic() + seconds
        outcomes, ready, control = await asyncio.gather(
            self.ask_together(seconds), self.check_readiness(until), self.operate(until)
        )
        attackers = [json.loads((await process.communicate())[0] or b'{}') for process in playing]
        await asyncio.sleep(RECOVERED_S)
        after = await self.ask_together(1.0)
        return Report(
            outcomes=outcomes,
            after=after,
            ready=ready,
            control=control,
            peaks_mb=dict(self.memory.peaks_mb),
            unread_mb=dict(self.memory.unread_at_peak_mb),
            exceeded=dict(self.memory.exceeded),
            ended=[name for name in self.system.running if not self.is_running(name)],
            attackers=attackers,
        )


def control_limits():
    """Return what the settings of control hosts say of their host, where they know the keys."""
    from ringseam.settings import CONTROL_KEYS

    known = {key.name for key in CONTROL_KEYS}
    stated = {'host_memory_mb': CONTROL_MB, 'host_descriptors': DESCRIPTORS}
    return {name: value for name, value in stated.items() if name in known}


class Connection:
    """A connection of an ordinary client, opened when needed."""

    def __init__(self, address):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.reader = self.writer = None

    async def ask(self, method, path, body, headers, patience_s=PATIENCE_S):
        """Return the status of a response; 0: there is none in time."""
        try:
            async with asyncio.timeout(patience_s):
                return await self._ask(method, path, body, headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 0

    async def _ask(self, method, path, body, headers):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        lines = [f'{method} {path} HTTP/1.1', *headers, f'Content-Length: {len(body)}', '', '']
        if not any(line.startswith('Host:') for line in headers):
            lines.insert(1, 'Host: h')
        self.writer.write('\r\n'.join(lines).encode() + body)
        head = (await self.reader.readuntil(b'\r\n\r\n')).lower()
        length = re.search(rb'content-length: (\d+)', head)
        await self.reader.readexactly(int(length[1]) if length else 0)
        if b'connection: close' in head:
            self.close()
        return int(head.split(b' ', 2)[1])

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask(address, method, path, body, headers, patience_s=PATIENCE_S):
    connection = Connection(address)
    try:
        return await connection.ask(method, path, body, headers, patience_s)
    finally:
        connection.close()


#: Shapes with an address and a number of connections, one row of the table each.
TABLE = (
    ('ahead', 'route', 4),
    ('ahead-bodies', 'route', 4),
    ('ahead', 'no-route', 4),
    ('ahead', 'ready', 4),
    ('ahead', 'metrics', 4),
    ('ahead', 'control', 4),
    ('ahead-reading', 'no-route', 60),
    ('ahead-reading', 'ready', 60),
    ('ahead-bodies', 'control', 12),
    ('fields-stop', 'route', 1500),
    ('fields-stop', 'ready', 1500),
    ('fields-stop', 'control', 1500),
    ('fields', 'route', 150),
    ('fields', 'ready', 150),
    ('fields', 'control', 150),
    ('body-stop', 'route', 150),
    ('body-stop', 'ready', 150),
    ('body-stop', 'control', 150),
    ('body-stop', 'metrics', 150),
    ('body', 'route', 150),
    ('body', 'no-route', 150),
    ('body', 'ready', 100),
    ('body', 'control', 100),
    ('over-chunked', 'route', 60),
    ('over-chunked', 'ready', 60),
    ('over-declared', 'route', 60),
    ('over-length', 'route', 200),
    ('chunks-1', 'route', 1),
    ('chunks-1', 'route', 12),
    ('chunks-2', 'no-route', 8),
    ('chunks-2', 'ready', 8),
    ('chunks-1', 'control', 8),
    ('idle', 'route', 4500),
    ('idle', 'ready', 4500),
    ('idle', 'control', 4500),
    ('head-stop', 'route', 4500),
    ('drip', 'route', 3000),
    ('drip', 'ready', 3000),
    ('body-drip', 'route', 1000),
    ('body-pieces', 'route', 100),
    ('unread', 'large', 200),
    ('unread', 'large', 1200),
    ('come-and-go', 'route', 300),
    ('garbage', 'route', 300),
    ('garbage', 'peer-gateway', 300),
    ('idle', 'peer-gateway', 4500),
    ('ahead', 'peer-control', 20),
    ('trailers', 'route', 40),
    ('extensions', 'route', 40),
)
#: Numbers of connections that drawn attacks have.
COUNTS = (1, 4, 20, 100, 500, 2000)


def draw_attacks(arena, seed, seconds):
    """Draw some attacks: shapes, addresses and numbers; heavier shapes come in lower numbers."""
    dice = random.Random(f'hostile clients {seed}')
    attacks = []
    for number in range(dice.randint(1, 3)):
        shape = dice.choice(sorted(SHAPES))
        address = dice.choice(sorted(arena.addresses()))
        count = dice.choice(COUNTS)
        attacks.append(
            arena.attack(shape, address, count, seconds, seed=dice.randint(1, 10**6) + number)
        )
    return attacks


async def run(attacks_of, seconds, gateway_mb):
    with tempfile.TemporaryDirectory() as folder:
        async with Arena(folder, gateway_mb=gateway_mb) as arena:
            return await arena.play(attacks_of(arena), seconds)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=6)
    parser.add_argument('--gateway-mb', type=float, default=GATEWAY_MB)
    parser.add_argument('--table', action='store_true')
    parser.add_argument('--only', default='', help='rows of the table that contain this text')
    options = parser.parse_args()
    failed = 0
    if options.table:
        cases = [
            (f'{shape} {address} x{count}', (shape, address, count))
            for shape, address, count in TABLE
            if options.only in f'{shape} {address} x{count}'
        ]
    else:
        cases = [
            (f'seed {seed}', seed) for seed in range(options.seed, options.seed + options.seeds)
        ]
    for name, case in cases:
        if options.table:
            shape, address, count = case
            attacks_of = lambda arena: [  # noqa: E731
                arena.attack(shape, address, count, options.seconds)  # noqa: B023
            ]
        else:
            attacks_of = lambda arena: draw_attacks(arena, case, options.seconds)  # noqa: E731,B023
        drawn = []

        def drawing(arena):
            drawn.extend(attacks_of(arena))  # noqa: B023
            return drawn  # noqa: B023

        report = asyncio.run(run(drawing, options.seconds, options.gateway_mb))
        broken = report.broken()
        failed += bool(broken)
        shown = [f'{attack.shape} {attack.target} x{attack.count}' for attack in drawn]
        print(f'{name}: {report.row()}', flush=True)
        if not options.table:
            print(f'  {"; ".join(shown)}', flush=True)
        for detail in broken:
            print(f'  BROKEN {detail}', flush=True)
        print(f'  {report.attackers}', flush=True)
    raise SystemExit(1 if failed else 0)


if __name__ == '__main__':
    main()
