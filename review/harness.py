"""Small deployment of the real programs with stand-in clients, servers and operator.

The programs run as separate processes with the commands of ``deploy/system.toml`` and settings
filled in from its templates. Each host has a loopback address of its own. Everything else
is a stand-in in the process of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = 'shop.example'
KEY = 'key-of-the-tenant-1'
TENANT = 'tenant1'
ZONE = 'hall-a'
GRACE_S = 8
HEARTBEAT_MS = 1200
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be run."""


def trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside the case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.write('case', f'trouble={int(trouble())}')

    def write(self, who: str, what: str) -> None:
        self.file.write(f'{time.monotonic() - self.started:8.3f} {who}: {what}\n')
        self.file.flush()


def render(template: str, fields: dict) -> str:
    """Fill in a template of settings as the platform's pages describe it."""

    def lookup(path: str, entry, key):
        if path == '.':
            return entry
        if path == '@':
            return key
        value = fields
        for part in path.split('.'):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def text_of(value) -> str:
        if value is None:
            return ''
        if isinstance(value, list):
            return ','.join(map(str, value))
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def section(match: re.Match) -> str:
        kind, name, body = match.groups()
        value = lookup(name, None, None)
        if kind == '^':
            return '' if value else body
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        else:
            return body if value else ''
        parts = []
        for number, (key, entry) in enumerate(items):
            part = body.replace('{{,}}', ',' if number + 1 < len(items) else '')
            part = part.replace('{{@}}', str(key)).replace('{{.}}', text_of(entry))
            parts.append(part)
        return ''.join(parts)

    text = re.sub(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, template, flags=re.S)
    return re.sub(
        r'\{\{([\w.@]+)\}\}', lambda match: text_of(lookup(match.group(1), None, None)), text
    )


def free_ports(host: str, count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]


class Deployment:
    """Control hosts and gateways as processes."""

    def __init__(self, record: Record, *, controls: int = 3, gateways: int = 1) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        # A loopback network of its own, so that other programs' ports don't matter.
        self.net = f'127.{random.randrange(2, 250)}.{random.randrange(2, 250)}'
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, Path] = {}
        ports = free_ports(f'{self.net}.1', 6)
        self.cluster, self.http, self.front, self.ready, self.metrics_c, self.metrics_g = ports
        self.control_ips = [f'{self.net}.{11 + number}' for number in range(controls)]
        self.gateway_ips = [f'{self.net}.{31 + number}' for number in range(gateways)]
        self.seeds = [f'{ip}:{self.http}' for ip in self.control_ips]
        self.losses = (controls - 1) // 2
        for number, ip in enumerate(self.control_ips, start=1):
            self._write('control', f'core-{number}', ip)
        for number, ip in enumerate(self.gateway_ips, start=1):
            self._write('gateway', f'front-{number}', ip)

    def _write(self, role: str, name: str, ip: str) -> None:
        fields = {
            'node_name': name,
            'ip': ip,
            'zone': ZONE,
            'region': 'thies',
            'zones': {ZONE: 'thies'},
            'port_range': [self.cluster, self.cluster + 15],
            'seeds': self.seeds[:3],
            'data_dir': str(self.folder / name),
            'bootstrap': True,
            'fault_tolerance': {'machines': self.losses},
            'heartbeat_ms': HEARTBEAT_MS,
            'listen': {
                'control': f'{ip}:{self.http}',
                'front': f'{ip}:{self.front}',
                'ready': f'{ip}:{self.ready}',
            },
            'bounds': {
                'retry_ratio': 0.2,
                'retry_slack': 52,
                'retry_window_s': 10,
                'grace_s': GRACE_S,
            },
            'contracts': 'base drain config cost retry recover engine stream tenants stages'.split(),
            'limits': {
                'cpu_share': 0.817,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
            },
        }
        template = (ROOT / self.deploy['roles'][role]['template']).read_text()
        port = self.metrics_c if role == 'control' else self.metrics_g
        text = re.sub(r'(?m)^metrics_port = .*$', f'metrics_port = {port}', render(template, fields))
        path = self.folder / f'{name}.ini'
        path.write_text(text)
        self.settings[name] = path

    def start(self, *names: str) -> None:
        for name in names or self.settings:
            role = 'control' if name.startswith('core') else 'gateway'
            command = self.deploy['roles'][role]['run'].split()
            command[-1] = str(self.settings[name])
            environment = {
                key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
            }
            environment['PYTHONPATH'] = str(ROOT / 'target/deps')
            with (self.folder / f'{name}.log').open('ab') as log:
                self.processes[name] = subprocess.Popen(
                    command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            self.record.write('platform', f'{name} started')

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record.write('platform', f'{name} gets {number.name}')
        self.processes[name].send_signal(number)

    def close(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def gateway(self, number: int = 1) -> tuple[str, int]:
        return self.gateway_ips[number - 1], self.front

    async def call_control(
        self, method: str, path: str, body: bytes = b'', number: int = 0, timeout_s: float = 5
    ) -> tuple[int, bytes]:
        """Call the interface of a control host; status 0 if there is no answer."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(self.control_ips[number], self.http)
                writer.write(
                    f'{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n'
                    f'Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                raw = await reader.read()
                writer.close()
        except (OSError, asyncio.TimeoutError):
            return 0, b''
        head, _, rest = raw.partition(b'\r\n\r\n')
        return (int(head.split(b' ')[1]) if head else 0), rest

    async def put_manifest(self, manifest: dict, limit_s: float = 30) -> None:
        """Send a manifest until it is acknowledged, as the operator does."""
        body = json.dumps(manifest).encode()
        ends = time.monotonic() + limit_s
        number = 0
        while time.monotonic() < ends:
            status, answer = await self.call_control(
                'PUT', '/api/config', body, number % len(self.control_ips)
            )
            if status == 200:
                self.record.write('operator', f'manifest {manifest["version"]} acknowledged')
                return
            if status == 400:
                raise NotRunError(f'manifest refused: {answer!r}')
            number += 1
            await asyncio.sleep(0.2)
        raise NotRunError('no manifest was acknowledged')

    async def wait_ready(self, number: int = 1, limit_s: float = 30) -> None:
        """Wait until a gateway says that it is ready."""
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        self.gateway_ips[number - 1], self.ready
                    )
                    writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                    raw = await reader.read()
                    writer.close()
                    if raw.startswith(b'HTTP/1.1 200'):
                        return
            await asyncio.sleep(0.1)
        raise NotRunError('the gateway is not ready')


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
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
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def route(name: str, kind: str, service: str, **more) -> dict:
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 8000,
        'slo_ms': 3600,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'stages': [],
        'public': False,
        'sticky': False,
        'resumable': False,
        **more,
    }


class WorkerRequest:
    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode('latin-1').split('\r\n')
        self.method, self.target, _ = lines[0].split(' ')
        self.headers = [
            (name.strip().lower(), text.strip())
            for name, _, text in (line.partition(':') for line in lines[1:])
        ]
        self.body = body

    def header(self, name: str) -> str:
        return next((text for known, text in self.headers if known == name.lower()), '')

    @property
    def attempt(self) -> str:
        return self.header('Attempt-Id')


class Worker:
    """A sound worker of one service; ``answer`` writes its responses."""

    def __init__(self, deployment: Deployment, name: str, service: str, answer, *, slots: int = 8):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        self.service = service
        self.answer = answer
        self.slots = slots
        self.version = 'v1'
        #: Unix milliseconds of its start; 0: it does not say so.
        self.born = 0
        self.sequence = 0
        self.running: set[str] = set()
        self.server = None
        self.address = ''
        self.beats = None

    async def start(self, ip: str) -> None:
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f'{ip}:{self.server.sockets[0].getsockname()[1]}'
        await self._beat_until_acknowledged()
        self.beats = asyncio.create_task(self._beat())

    async def beat(self, number: int = 0) -> bool:
        self.sequence += 1
        body = {
            'service': self.service,
            'addr': self.address,
            'zone': ZONE,
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'stage': 'colocated',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'seq': self.sequence,
            **({'born': self.born} if self.born else {}),
        }
        status, _ = await self.deployment.call_control(
            'PUT', f'/api/instances/{self.name}', json.dumps(body).encode(), number, timeout_s=1
        )
        return status == 200

    async def _beat_until_acknowledged(self) -> None:
        for attempt in range(60):
            if await self.beat(attempt % len(self.deployment.control_ips)):
                return
            await asyncio.sleep(0.2)
        raise NotRunError('no heartbeat was acknowledged')

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            for number in range(len(self.deployment.control_ips)):
                if await self.beat(number):
                    if self.sequence == 1:
                        self.record.write(self.name, f'first heartbeat as {self.version}: 200')
                    break

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n'))[:-4]
                request = WorkerRequest(head, b'')
                request.body = await reader.readexactly(int(request.header('Content-Length') or 0))
                if request.target == '/health':
                    writer.write(
                        f'HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n'
                        'Content-Length: 0\r\n\r\n'.encode()
                    )
                    continue
                expected = request.header('Expect-Instance')
                if expected and expected != self.name:
                    writer.write(b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n')
                    continue
                self.record.write(self.name, f'runs {request.attempt}')
                self.running.add(request.attempt)
                work = asyncio.ensure_future(self.answer(self, request, writer))
                # A sound worker drops a request when its channel closes.
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                self.running.discard(request.attempt)
                if not work.done():
                    work.cancel()
                    self.record.write(self.name, f'channel closed, {request.attempt} dropped')
                    return
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await closed
                work.result()
                self.record.write(self.name, f'finished {request.attempt}')
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            writer.close()


def head(request: WorkerRequest, extra: str = '', status: str = '200 OK') -> bytes:
    return (
        f'HTTP/1.1 {status}\r\nAttempt-Id: {request.attempt}\r\n'
        f'Server-Seal: 3e1b.07.{request.attempt}\r\nKeep-Alive: timeout=15\r\n{extra}'
    ).encode('utf-8')


def plain(request: WorkerRequest, body: bytes, extra: str = '') -> bytes:
    return head(request, f'{extra}Content-Length: {len(body)}\r\n\r\n') + body


def stream_head(request: WorkerRequest) -> bytes:
    return head(
        request, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    )


def chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


def event(number: int) -> bytes:
    return b'id: %d\ndata: token %d\n\n' % (number, number)


class Response:
    """What a client got on a channel for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.detail = ''

    def __str__(self) -> str:
        state = 'complete' if self.complete else f'INCOMPLETE ({self.detail})'
        return f'status {self.status or "none"}, {len(self.body)} bytes of body, {state}'


class Channel:
    """A client's channel to a gateway, kept for many requests."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.reader = None
        self.writer = None

    async def open(self, address: tuple[str, int], receive_buffer: int = 0, limit: int = 2**16):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)

    async def request(
        self,
        attempt: str,
        path: str,
        *,
        body: bytes = b'x',
        deadline_ms: int = 8000,
        extra: str = '',
        pace=None,
        on_head=None,
        patience_s: float = 20,
    ) -> Response:
        """Send one request and read its response; ``pace`` slows the reading of the body."""
        self.record.write(self.name, f'sends {attempt} POST {path}')
        response = Response()
        self.writer.write(
            f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n'
            f'Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{extra}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        try:
            async with asyncio.timeout(patience_s):
                await self._read(response, pace, on_head)
        except (asyncio.IncompleteReadError, OSError) as error:
            response.detail = f'channel ended: {type(error).__name__}'
        except asyncio.TimeoutError:
            response.detail = 'client stopped waiting'
        self.record.write(self.name, f'got for {attempt}: {response}')
        return response

    async def _read(self, response: Response, pace, on_head) -> None:
        lines = (await self.reader.readuntil(b'\r\n\r\n'))[:-4].decode('latin-1').split('\r\n')
        response.status = int(lines[0].split(' ')[1])
        response.headers = {
            name.strip().lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
        }
        if on_head is not None:
            on_head()
        if response.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await self.reader.readuntil(b'\r\n'), 16)
                part = (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    break
                response.body += part
        else:
            left = int(response.headers.get('content-length', '0'))
            while left:
                part = await self.reader.read(min(left, 65536))
                if not part:
                    raise asyncio.IncompleteReadError(b'', left)
                response.body += part
                left -= len(part)
                if pace is not None:
                    await pace(len(part))
        response.complete = True

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def run_case(folder: Path, case) -> None:
    """Run ``case(record)`` and exit with its verdict."""
    record = Record(folder)

    async def limited() -> int:
        async with asyncio.timeout(110):
            return await case(record)

    try:
        verdict = asyncio.run(limited())
    except Exception as error:  # Any failure of the case itself is no broken rule.
        record.write('case', f'could not run: {type(error).__name__} {error}')
        verdict = NOT_RUN
    record.write('case', {HELD: 'rule held', BROKEN: 'rule broken', NOT_RUN: 'not run'}[verdict])
    sys.exit(verdict)
