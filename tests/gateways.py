"""An in-process gateway, scripted backend servers and a raw HTTP client."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import struct
from collections.abc import Awaitable, Callable

from ringseam.backends import BackendId, BackendReport, GatewayState
from ringseam.gateway.role import GatewayRole
from ringseam.platform.manifest import decode_manifest
from ringseam.routes import ServiceName
from ringseam.settings import Settings, read_settings

SETTINGS = """\
[process]
name = g1
address = 127.0.0.1:0
zone = a
zones = a=north, b=south, c=north
key_file = {key}

[gateway]
http = 127.0.0.1:0
ready = 127.0.0.1:0
seeds = 127.0.0.1:1
cluster_ports = 1, 2
retry_slack = 100
"""
#: Answers a request of a scripted server by writing to the writer.
Script = Callable[['ReceivedRequest', asyncio.StreamWriter], Awaitable[None]]


class ReceivedRequest:
    """A request as received by a scripted server."""

    def __init__(self, head: bytes, reader: asyncio.StreamReader) -> None:
        self.lines = head.decode('latin-1').split('\r\n')
        self.reader = reader
        self.body = b''

    def header(self, name: str) -> str:
        for line in self.lines[1:]:
            key, _, text = line.partition(':')
            if key.lower() == name.lower():
                return text.strip()
        return ''

    @property
    def attempt_id(self) -> str:
        return self.header('Attempt-Id')


class ScriptedServer:
    """A backend server that runs the same script for every request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}'

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n'))[:-4]
                request = ReceivedRequest(head, reader)
                length = int(request.header('Content-Length') or 0)
                request.body = await reader.readexactly(length)
                self.requests.append(request)
                await self.script(request, writer)
                await writer.drain()
        writer.close()


def http_response(
    request: ReceivedRequest,
    body: bytes = b'ok',
    status: str = '200 OK',
    *,
    attempt_id: str | None = None,
    extra: str = '',
) -> bytes:
    """Return a complete response of a backend server."""
    return (
        f'HTTP/1.1 {status}\r\n'
        f'Attempt-Id: {request.attempt_id if attempt_id is None else attempt_id}\r\n'
        f'Server-Seal: seal\r\nKeep-Alive: timeout=5\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()


def event(number: int) -> bytes:
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def stream_head(request: ReceivedRequest) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nAttempt-Id: {request.attempt_id}\r\nServer-Seal: seal\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    ).encode()


def chunk(body: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(body), body)


def manifest(**fields) -> bytes:
    """Return a document with one route for each kind of request."""

    def route(name: str, kind: str, **more) -> dict:
        return {
            'name': name,
            'host': 'h.example',
            'path_prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 3000,
            'slo_ms': 1500,
            'service': 'plain',
            'max_attempts': 2,
            **more,
        }

    return json.dumps(
        {
            'version': 1,
            'routes': [
                route('idem', 'idempotent'),
                route('once', 'non_idempotent'),
                route('flow', 'stream', resumable=True),
                route('cut', 'stream'),
                route('sticky', 'stream', resumable=True, sticky=True),
                route('short', 'idempotent', timeout_ms=200),
                route('open', 'idempotent', public=True),
                route('north', 'idempotent', allowed_regions=['north']),
                route('far', 'idempotent', allowed_regions=['west']),
                route(
                    'staged',
                    'stream',
                    stages=[{'service': 'crops', 'after': [], 'bytes': 1000}],
                ),
                route(
                    'stagednorth',
                    'stream',
                    allowed_regions=['north'],
                    stages=[{'service': 'crops', 'after': [], 'bytes': 1000}],
                ),
            ],
            'services': [
                {'name': 'plain', 'max_conns': 10},
                {
                    'name': 'crops',
                    'pieces': {
                        'slots': 1,
                        'batch': 4,
                        'call_ms': 10,
                        'item_ms': 1,
                        'room_mb': 1,
                        'handle_s': 4,
                    },
                },
            ],
            'tenants': [
                {'name': 'acme', 'api_keys': ['key-1']},
                {'name': 'local', 'api_keys': ['key-2'], 'allowed_regions': ['south']},
            ],
            **fields,
        },
    ).encode()


class LocalGateway:
    """A gateway whose routes and servers are set by the test, without control processes."""

    def __init__(self, key_file) -> None:
        self.settings = SETTINGS.format(key=key_file)
        self.role = GatewayRole(settings=self.read_settings())

    async def __aenter__(self) -> LocalGateway:
        role = self.role
        role._register_methods()
        await role.server.start()
        role.stack.push_async_callback(role.server.close)
        role.stack.callback(role.pool.close)
        role.stack.callback(role.client.close)
        role.stack.push_async_callback(role.client_server.close)
        role.stack.push_async_callback(role.probe_server.close)
        self.port = await role.client_server.start('127.0.0.1', 0)
        self.ready_port = await role.probe_server.start('127.0.0.1', 0)
        self.apply_document(manifest())
        # The servers count as the only ones that have ever served, and their list as current.
        role.follower.updated_at = math.inf
        # What this gateway hasn't seen hasn't happened.
        role.forwarder.origins.started_at = -math.inf
        for history in role.follower.routes.services.values():
            history.alone_since = -math.inf
        return self

    async def __aexit__(self, *failure) -> None:
        await self.role.stack.aclose()

    def read_settings(self, more: str = '') -> Settings:
        """Return the settings, with more lines for the gateway."""
        return read_settings('gateway', self.settings + more, path='g.ini')

    def apply_document(self, document: bytes) -> None:
        self.role.follower.table = decode_manifest(document)
        self.role._apply_changes()

    def add_server(
        self,
        address: str,
        service: str = 'plain',
        name: str = '',
        zone: str = 'a',
        software: str = '',
    ) -> None:
        self.role.follower.view.apply(
            BackendReport(
                instance=BackendId(name or address),
                service=ServiceName(service),
                address=address,
                zone=zone,
                sequence=1,
                software=software,
                slots=4,
            ),
        )
        self.role.piece_scheduler.refresh()
        self.observe_versions()

    def observe_versions(self) -> None:
        """Treat the known servers of a service as long-running while they run one version."""
        follower = self.role.follower
        for service, versions in follower.view.versions.items():
            since = -math.inf if len(versions) == 1 else follower.node.clock.now()
            follower.versions.observe({service: versions}, since)

    def set_gateways(self, *states: GatewayState) -> None:
        self.role.follower.gateways = states

    async def fetch(self, path: str, *, read_s: float = 4, **headers: str) -> tuple[int, bytes]:
        """Send a request; return the status and all bytes until the connection closes."""
        reader, writer = await self.open_request(path, **headers)
        async with asyncio.timeout(read_s):
            raw = await reader.read()
        writer.close()
        return (int(raw.split(b' ')[1]) if raw else 0), raw

    async def open_request(self, path: str, **headers: str):
        """Send a request on a new connection; return the reader and the writer."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        sent = {
            'Host': 'h.example',
            'Attempt-Id': 'r1',
            'Deadline-Ms': '2500',
            'Authorization': 'Bearer key-1',
            'Connection': 'close',
            'Content-Length': '4',
        }
        sent.update({name.replace('_', '-'): text for name, text in headers.items()})
        lines = ''.join(f'{name}: {text}\r\n' for name, text in sent.items() if text)
        writer.write(f'POST {path} HTTP/1.1\r\n{lines}\r\nbody'.encode())
        await writer.drain()
        return reader, writer


def stream_script(first, last, *, end=True):
    async def script(request, writer):
        after = int(request.header('Last-Event-Id') or 0)
        writer.write(stream_head(request))
        for number in range(max(first, after + 1), last + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
        if end:
            writer.write(b'0\r\n\r\n')
        else:
            await asyncio.sleep(0.05)
            reset(writer)

    return script


def event_ids(raw):
    return [int(line[3:]) for line in raw.split(b'\n') if line.startswith(b'id:')]


async def refuse_full(request, writer):
    """Refuse a request like a server without free capacity."""
    writer.write(b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n')
