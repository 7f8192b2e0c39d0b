"""Small deployment of real processes, with stand-in clients, workers and platform.

All addresses are loopback addresses: each machine has one of its own (127.A.B.N), so that the
ports can be the same on all machines, as on the platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PORTS = {'front': 8625, 'ready': 8621, 'control': 8628}
PORT_RANGE = (7740, 7755)
#: Bounds of the platform, as on the sheet of the site voltara-swap.
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
}
HEARTBEAT_MS = 1200
ZONE = 'zone-a'
OTHER_ZONE = 'zone-b'
HOST = 'app.example'
KEY = 'key-of-the-tenant'
TENANT = 'tenant-1'


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open('w')

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, who: str, text: str) -> None:
        self.file.write(f'{self.now():8.3f} {who}: {text}\n')
        self.file.flush()


def render(template: str, fields: dict) -> str:
    """Fill in a settings template of ``deploy/``, as the platform does."""

    def value(name: str, scope: dict):
        if name in scope:
            return scope[name]
        found = scope
        for part in name.split('.'):
            if isinstance(found, (list, tuple)):
                found = found[int(part)]
            elif isinstance(found, dict) and part in found:
                found = found[part]
            else:
                return None
        return found

    def text(item) -> str:
        if item is None:
            return ''
        if isinstance(item, (list, tuple)):
            return ','.join(map(str, item))
        return str(item)

    def section(match) -> str:
        kind, name, body = match.groups()
        held = value(name, fields)
        if kind == '^':
            return '' if held else body
        if isinstance(held, dict):
            parts = []
            for number, (key, item) in enumerate(held.items()):
                comma = ',' if number < len(held) - 1 else ''
                part = body.replace('{{@}}', key).replace('{{.}}', text(item))
                parts.append(part.replace('{{,}}', comma))
            return ''.join(parts)
        return body if held else ''

    filled = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template, flags=re.S)
    return re.sub(r'\{\{([\w.]+)\}\}', lambda match: text(value(match[1], fields)), filled)


class Machine:
    """One machine with one process."""

    def __init__(self, name: str, role: str, address: str, fields: dict, folder: Path) -> None:
        self.name = name
        self.role = role
        self.address = address
        self.fields = fields
        self.folder = folder
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        template = (ROOT / 'deploy' / f'{self.role}.ini').read_text()
        settings = self.folder / f'{self.name}.ini'
        settings.write_text(render(template, self.fields))
        kept = ('PATH', 'HOME', 'LANG')
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (self.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            ['python3', '-m', 'ringseam', self.role, '--settings', str(settings)],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.signal(signal.SIGCONT)
            self.process.wait()


class Deployment:
    """Control hosts and gateways as processes, with settings as the platform writes them."""

    def __init__(self, record: Record, *, controls: int = 3, gateways: int = 2, losses: int = 1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        base = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
        names = [f'core-{n}' for n in range(1, controls + 1)]
        addresses = {name: f'{base}.{n}' for n, name in enumerate(names, start=10)}
        seeds = [f'{addresses[name]}:{PORTS["control"]}' for name in names[:3]]
        self.machines: dict[str, Machine] = {}
        for name in names:
            self._add(name, 'control', addresses[name], seeds, losses)
        for number in range(1, gateways + 1):
            self._add(f'front-{number}', 'gateway', f'{base}.{100 + number}', seeds, losses)
        self.worker_base = base
        self.workers = 0

    def _add(self, name: str, role: str, ip: str, seeds: list[str], losses: int) -> None:
        data = self.folder / f'{name}-data'
        if role == 'control':
            data.mkdir()
            listen = {'control': f'{ip}:{PORTS["control"]}'}
        else:
            listen = {kind: f'{ip}:{PORTS[kind]}' for kind in ('front', 'ready')}
        fields = {
            'node_name': name,
            'ip': ip,
            'zone': ZONE,
            'region': 'region-1',
            'zones': {ZONE: 'region-1', OTHER_ZONE: 'region-1'},
            'listen': listen,
            'port_range': PORT_RANGE,
            'seeds': seeds,
            'bootstrap': True,
            'data_dir': str(data),
            'limits': {
                'cpu_share': 0.817,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
            },
            'heartbeat_ms': HEARTBEAT_MS,
            'contracts': 'base,drain,config,cost,retry,recover,engine,stream,tenants,stages',
            'fault_tolerance': {'machines': losses},
            'bounds': BOUNDS,
        }
        self.machines[name] = Machine(name, role, ip, fields, self.folder)

    def start(self) -> None:
        for machine in self.machines.values():
            machine.start()
            self.record.write('platform', f'{machine.name} started')

    def restart(self, name: str) -> None:
        machine = self.machines[name]
        machine.fields['bootstrap'] = False
        machine.start()
        self.record.write('platform', f'{name} started again')

    def worker_address(self) -> str:
        self.workers += 1
        return f'{self.worker_base}.{200 + self.workers}'

    def controls(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if machine.role == 'control']

    def front(self, name: str) -> tuple[str, int]:
        return self.machines[name].address, PORTS['front']

    def close(self) -> None:
        for machine in self.machines.values():
            machine.kill()

    async def control_call(self, method: str, path: str, body: bytes = b'') -> tuple[int, bytes]:
        """Call the control interface as workers and operators do; the first answer counts."""
        for machine in self.controls():
            if machine.process is None or machine.process.poll() is not None:
                continue
            try:
                async with asyncio.timeout(3.5):
                    status, answer = await http_call(
                        (machine.address, PORTS['control']), method, path, body
                    )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if status and status < 500:
                return status, answer
        return 0, b''

    async def put_manifest(self, manifest: dict) -> None:
        body = json.dumps(manifest).encode()
        for _ in range(200):
            status, _ = await self.control_call('PUT', '/api/config', body)
            if status == 200:
                self.record.write('operator', f'manifest {manifest["version"]} acknowledged')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('manifest was not acknowledged')

    async def await_ready(self) -> None:
        for machine in self.machines.values():
            if machine.role != 'gateway':
                continue
            for _ in range(300):
                try:
                    status, _ = await http_call(
                        (machine.address, PORTS['ready']), 'GET', '/api/ready', b''
                    )
                except (OSError, asyncio.IncompleteReadError, ValueError):
                    status = 0
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f'{machine.name} is not ready')
        self.record.write('platform', 'all gateways are ready')


class CannotRun(Exception):
    """The case could not be run."""


async def http_call(address, method: str, path: str, body: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n'
            f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        raw = await reader.read()
    finally:
        writer.close()
    start, _, rest = raw.partition(b'\r\n\r\n')
    return (int(start.split(b' ')[1]) if start else 0), rest


async def read_head(reader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers: dict[str, str], on_data=None) -> bytes:
    """Read a body with a length or in chunks; raise if it is not complete."""
    parts = []
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).strip() or b'x', 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
            parts.append(data)
            if on_data is not None:
                on_data(data)
    return await reader.readexactly(int(headers.get('content-length', '0')))


class Worker:
    """A stand-in worker: announces itself, serves one request at a time on a channel."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        *,
        slots: int = 64,
        version: str = 'v1',
    ) -> None:
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.service = service
        self.slots = slots
        self.version = version
        self.zone = ZONE
        #: Unix milliseconds of its start; 0: it doesn't say.
        self.born = 0
        self.state = 'ready'
        self.sequence = 0
        self.run: list[str] = []
        self.server = None
        self.address = ''
        self.beats: asyncio.Task | None = None

    async def start(self) -> None:
        ip = self.deployment.worker_address()
        self.server = await asyncio.start_server(self._serve, ip, 8080)
        self.address = f'{ip}:8080'
        for _ in range(200):
            if await self.beat():
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun('no heartbeat was acknowledged')
        self.beats = asyncio.ensure_future(self._beat_forever())

    async def beat(self) -> bool:
        self.sequence += 1
        body = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self.sequence,
        }
        if self.born:
            body['born'] = self.born
        status, _ = await self.deployment.control_call(
            'PUT', f'/api/instances/{self.name}', json.dumps(body).encode()
        )
        return status == 200

    async def _beat_forever(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self.beat()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if headers.get('expect-instance') not in (None, self.name):
                    writer.write(
                        b'HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n'
                        + f'Attempt-Id: {headers.get("attempt-id", "")}\r\n'.encode()
                        + b'Content-Length: 0\r\n\r\n'
                    )
                    continue
                await self.answer(line, headers, body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has left, or the case ends.
        finally:
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def answer(self, line, headers, body, reader, writer) -> None:
        """Run a request; subclasses say how."""
        raise NotImplementedError

    def note_run(self, attempt: str) -> None:
        self.run.append(attempt)
        self.record.write(self.name, f'runs {attempt}')

    def head(self, attempt: str, extra: str, status: str = '200 OK') -> bytes:
        return (
            f'HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nServer-Seal: seal-{attempt}\r\n'
            f'Keep-Alive: timeout=15\r\n{extra}\r\n'
        ).encode()


class Channel:
    """A client's channel, kept for several requests."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.reader = None
        self.writer = None
        self.requests = 0

    async def open(self, address) -> None:
        self.reader, self.writer = await asyncio.open_connection(*address)

    async def request(
        self,
        attempt: str,
        path: str,
        *,
        method: str = 'POST',
        body: bytes = b'x',
        deadline_ms: int = 3000,
        on_data=None,
        **headers,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return its complete answer; raise if there is none."""
        sent = {
            'Host': HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
            'Content-Length': str(len(body)),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        lines = ''.join(f'{name}: {text}\r\n' for name, text in sent.items())
        self.requests += 1
        self.writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        self.record.write(self.name, f'sends {attempt} (request {self.requests} on its channel)')
        line, answer = await read_head(self.reader)
        status = int(line.split(' ')[1])
        data = await read_body(self.reader, answer, on_data)
        self.record.write(self.name, f'{attempt} is answered with {status}, {len(data)} bytes')
        return status, answer, data

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def route(name: str, kind: str, service: str, **more) -> dict:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 3000,
        'slo_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


def manifest(version: int, routes: list[dict], services: list[str]) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 200,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def main(case, folder: Path) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder / 'record.txt')
    deployments: list[Deployment] = []

    def deploy(**options) -> Deployment:
        deployments.append(Deployment(record, **options))
        return deployments[-1]

    async def run() -> bool:
        try:
            async with asyncio.timeout(float(os.environ.get('CASE_LIMIT_S', '110'))):
                return await case(record, deploy)
        finally:
            # Channels that are being accepted become tasks while others end.
            for _ in range(3):
                others = asyncio.all_tasks() - {asyncio.current_task()}
                for task in others:
                    task.cancel()
                if others:
                    await asyncio.wait(others, timeout=1)

    code = 2
    # The processes of the case are ended also if the script itself is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
        record.write('verdict', 'the rule was broken' if broken else 'the rule held')
    except Exception as error:  # An error of the stand-ins must not look like a broken rule.
        record.write('verdict', f'the case could not run: {type(error).__name__} {error}')
    finally:
        for deployment in deployments:
            deployment.close()
    sys.exit(code)
