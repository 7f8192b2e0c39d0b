"""A small deployment for the scripts of the cases 4 to 6: real programs, stand-ins beside them.

Standard library only. The programs are started with the commands of the deploy file, and
their settings are the templates of the deploy file, filled in as the platform does.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = next(
    folder
    for folder in Path(__file__).resolve().parents
    if (folder / 'deploy' / 'system.toml').is_file()
)
HOST = '127.0.0.1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: A case that takes longer couldn't run, seconds.
LIMIT_S = 110


class NotRunError(Exception):
    """The case could not run."""


def free_ports(count: int) -> list[int]:
    """Return free ports below the ephemeral range."""
    ports: list[int] = []
    candidate = 10_000 + (os.getpid() * 37 + int(time.time())) % 15_000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((HOST, candidate))
            ports.append(candidate)
    return ports


def fill_in(template: str, fields: dict) -> str:
    """Fill in a template of settings, as the platform's page on deploying describes."""

    def value_of(name: str, here: object) -> object:
        if name == '.':
            return here
        found: object = fields
        for part in name.split('.'):
            if isinstance(found, dict):
                found = found.get(part)
            elif isinstance(found, list):
                found = found[int(part)]
        return found

    def text_of(value: object) -> str:
        if value is None:
            return ''
        return ','.join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match: re.Match[str]) -> str:
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        value = value_of(name, None)
        if kind == '^':
            return '' if value else inner
        if isinstance(value, dict):
            last = list(value)[-1]
            return ''.join(
                inner.replace('{{@}}', key)
                .replace('{{.}}', str(one))
                .replace('{{,}}', '' if key == last else ',')
                for key, one in value.items()
            )
        return inner if value else ''

    filled = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template, flags=re.DOTALL)
    return re.sub(r'\{\{([\w.]+)\}\}', lambda found: text_of(value_of(found.group(1), None)), filled)


class Program:
    """One process of the system on a machine of its own, as the platform runs it."""

    def __init__(self, rig: Rig, role: str, name: str, settings: Path) -> None:
        self.rig = rig
        self.name = name
        self.settings = settings
        words = rig.deploy['roles'][role]['run'].split()
        self.command = [str(settings) if '/settings.conf' in word else word for word in words]
        self.process: subprocess.Popen | None = None
        self.ends: list[str] = []

    def start(self) -> None:
        variables = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        variables['PYTHONPATH'] = f'{ROOT / "target" / "deps"}'
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.rig.folder / f'{self.name}.out').open('ab') as output:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=variables, stdout=output, stderr=output
            )
        self.rig.note(f'{self.name} started')

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self, grace_s: float) -> None:
        """Stop the process as planned: SIGTERM, and SIGKILL after the grace period."""
        self.rig.note(f'SIGTERM to {self.name}')
        began = time.monotonic()
        self.send(signal.SIGTERM)
        try:
            status = await asyncio.to_thread(self.process.wait, grace_s)
        except subprocess.TimeoutExpired:
            self.rig.note(f'SIGKILL to {self.name}')
            self.process.kill()
            status = await asyncio.to_thread(self.process.wait)
        self.rig.note(f'{self.name} ended with {status} after {time.monotonic() - began:.2f} s')

    def rss_mb(self) -> float:
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+)', text)
        return int(found.group(1)) / 1024 if found else 0

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Rig:
    """Control hosts and gateways, the record, and what the platform does with processes."""

    def __init__(self, folder: Path, *, controls: int, gateways: int, spares: int = 0) -> None:
        """Plan a deployment.

        :param spares: control hosts that are not there at the first start.
        """
        self.case = folder
        self.started_at = time.monotonic()
        self.lines: list[str] = []
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        if not (ROOT / 'target' / 'deps').is_dir():
            raise NotRunError('target/deps is missing: run the build of the deploy file')
        self.zones = ['zone-1', 'zone-2']
        self.programs: dict[str, Program] = {}
        self.tasks: list[asyncio.Task] = []
        # Ports are the same on all machines; a loopback address stands for each of them.
        self.cluster_port, self.http_port, self.ready_port = free_ports(3)
        self.tolerated = controls // 2
        cores = [f'core-{number + 1}' for number in range(controls + spares)]
        self.controls = cores[:controls]
        self.spares = cores[controls:]
        self.gateways = [f'front-{number + 1}' for number in range(gateways)]
        names = [*cores, *self.gateways]
        self.addresses = {name: f'127.0.1.{number + 1}' for number, name in enumerate(names)}
        for name in names:
            self.plan(name, is_first_start=name not in self.spares)

    def plan(self, name: str, *, is_first_start: bool) -> None:
        """Write the settings of a machine's process, as the platform does at each start."""
        ip = self.addresses[name]
        number = int(name.rpartition('-')[2]) - 1
        is_control = name not in self.gateways
        seeds = [f'{self.addresses[one]}:{self.http_port}' for one in self.controls[:3]]
        data = self.folder / f'{name}.disk'
        if is_control:
            data.mkdir(exist_ok=True)
        fields = {
            'node_name': name,
            'ip': ip,
            'zone': self.zones[number % len(self.zones)],
            'region': 'thies',
            'zones': dict.fromkeys(self.zones, 'thies'),
            'listen': {
                'front': f'{ip}:{self.http_port}',
                'ready': f'{ip}:{self.ready_port}',
                'control': f'{ip}:{self.http_port}',
            },
            'port_range': [self.cluster_port, self.cluster_port],
            'seeds': seeds,
            'bootstrap': is_first_start,
            'data_dir': str(data),
            'heartbeat_ms': 1200,
            'limits': {
                'cpu_share': 0.817,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
            },
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,tenants,stages'.split(','),
            'fault_tolerance': {'machines': self.tolerated},
            'bounds': {
                'retry_ratio': 0.2,
                'retry_slack': 52,
                'retry_window_s': 10,
                'grace_s': 8,
                'cold_over': 1.5,
                'cold_slack': 5,
            },
        }
        role = 'control' if is_control else 'gateway'
        template = (ROOT / self.deploy['roles'][role]['template']).read_text()
        settings = self.folder / f'{name}.conf'
        text = fill_in(template, fields)
        # The templates name a fixed port for metrics, which may be in use here.
        settings.write_text(re.sub(r'(?m)^metrics_port = .*$', 'metrics_port = 0', text))
        if name not in self.programs:
            self.programs[name] = Program(self, role, name, settings)

    def front(self, name: str) -> tuple[str, int]:
        return self.addresses[name], self.http_port

    def control(self, name: str) -> tuple[str, int]:
        return self.addresses[name], self.http_port

    def note(self, text: str) -> None:
        self.lines.append(f'{time.monotonic() - self.started_at:8.3f} {text}')

    async def open(self, manifest: dict) -> None:
        for name in (*self.controls, *self.gateways):
            self.programs[name].start()
        await self.put_manifest(manifest, timeout_s=30)

    async def put_manifest(self, manifest: dict, timeout_s: float = 10) -> None:
        body = json.dumps(manifest).encode()
        ends_at = time.monotonic() + timeout_s
        number = 0
        while time.monotonic() < ends_at:
            name = self.controls[number % len(self.controls)]
            number += 1
            status, _ = await call(self.control(name), 'PUT', '/api/config', body, timeout_s=3)
            if status == 200:
                self.note(f'manifest {manifest["version"]} acknowledged by {name}')
                return
            await asyncio.sleep(0.2)
        raise NotRunError('the manifest was not acknowledged')

    async def wait_ready(self, name: str, timeout_s: float = 20) -> None:
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            status, _ = await call((self.addresses[name], self.ready_port), 'GET', '/api/ready', b'')
            if status == 200:
                self.note(f'{name} is ready')
                return
            await asyncio.sleep(0.1)
        raise NotRunError(f'{name} did not get ready')

    def close(self) -> None:
        for program in self.programs.values():
            program.close()
        (self.case / 'record.txt').write_text('\n'.join(self.lines) + '\n')
        self.temporary.cleanup()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2,
) -> tuple[int, bytes]:
    """Make one call on a channel of its own; status 0: it has no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {path} HTTP/1.1', 'Host: control', 'Connection: close']
            lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
            lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head, answer = await read_answer(reader)
            return int(head[0].split()[1]), answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[list[str], bytes]:
    """Return the lines of an answer's head, and its body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    fields = {
        line.partition(':')[0].lower(): line.partition(':')[2].strip() for line in head[1:] if line
    }
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return head, b''.join(parts)
            parts.append(part[:-2])
    return head, await reader.readexactly(int(fields.get('content-length', 0)))


class Worker:
    """A sound worker: it registers, sends heartbeats, and answers whole requests once each."""

    def __init__(self, rig: Rig, *, service: str, name: str, ip: str, work_s: float = 0.02) -> None:
        self.rig = rig
        self.service = service
        self.name = name
        self.ip = ip
        self.work_s = work_s
        self.slots = 64
        self.address = ''
        self.sequence = 0
        self.runs: list[str] = []
        self.zone = rig.zones[0]
        self.extra: dict = {}

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, self.ip, 0, limit=2**20)
        self.address = f'{self.ip}:{server.sockets[0].getsockname()[1]}'
        self.rig.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self) -> None:
        number = 0
        while True:
            self.sequence += 1
            report = {
                'service': self.service,
                'addr': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq': self.sequence,
                **self.extra,
            }
            for _ in self.rig.controls:
                host = self.rig.controls[number % len(self.rig.controls)]
                status, _ = await call(
                    self.rig.control(host),
                    'PUT',
                    f'/api/instances/{self.name}',
                    json.dumps(report).encode(),
                    timeout_s=1,
                )
                if 200 <= status < 300:
                    break
                number += 1
            await asyncio.sleep(1.2)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
                fields = {
                    line.partition(':')[0].lower(): line.partition(':')[2].strip()
                    for line in head[1:]
                    if line
                }
                body = await reader.readexactly(int(fields.get('content-length', 0)))
                expected = fields.get('expect-instance', self.name)
                if expected != self.name:
                    writer.write(
                        b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n'
                        b'Instance-Id: %s\r\nContent-Length: 0\r\n\r\n' % self.name.encode()
                    )
                    continue
                await self.answer(head, fields, body, writer)
                await writer.drain()
        writer.close()

    async def answer(
        self, head: list[str], fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt = fields.get('attempt-id', '')
        self.runs.append(attempt)
        self.rig.note(f'{self.name} runs {attempt}')
        await asyncio.sleep(self.work_s)
        text = f'{self.name} {attempt}'.encode()
        writer.write(
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {self.name}.{attempt}\r\n'
            f'Keep-Alive: timeout=30\r\nContent-Length: {len(text)}\r\n\r\n'.encode()
            + text
        )


def manifest_of(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant-1', 'api_keys': ['key-1'], 'priority': 1}],
    }


def run_case(folder: Path, case, **options) -> None:
    """Run ``case(rig)`` and exit: 1 if it returns what broke, 0 if the rule held, 2 if not run."""
    rig = None

    async def main() -> str:
        # Streams of asyncio log each handler that is cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(rig)
        except asyncio.TimeoutError:
            raise NotRunError(f'not over after {LIMIT_S} s') from None
        finally:
            for task in rig.tasks:
                task.cancel()

    status = 2
    # Ended from outside, it ends what it started as well.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        rig = Rig(folder, **options)
        broken = asyncio.run(main())
        status = 1 if broken else 0
        rig.note(f'broken: {broken}' if broken else 'the rule held')
        print(f'broken: {broken}' if broken else 'the rule held')
    except NotRunError as error:
        if rig is not None:
            rig.note(f'not run: {error}')
        print(f'not run: {error}')
    except Exception:
        # A fault of the script itself says nothing about the rule.
        traceback.print_exc()
    finally:
        if rig is not None:
            rig.close()
    sys.exit(status)
