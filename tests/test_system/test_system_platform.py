"""The request path with the platform adapter, over real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import pytest

from ringseam.cmd.demogateway import GatewayDemo
from tests.gateways import ScriptedServer, http_response, manifest

pytestmark = pytest.mark.processes

CONTROL = """\
[process]
name = c1
address = 127.0.0.1:{cluster}
key_file = {key}

[control]
data_dir = {folder}/data
http = 127.0.0.1:{http}
seeds = 127.0.0.1:{http}
cluster_ports = {cluster}, {cluster}
tolerated_losses = 0
metrics_port = {metrics}
"""
GATEWAY = """\
[process]
name = g1
address = 127.0.0.1:{own}
zone = a
key_file = {key}

[gateway]
http = 127.0.0.1:{clients}
ready = 127.0.0.1:{ready}
seeds = 127.0.0.1:{http}
cluster_ports = {cluster}, {cluster}
grace_s = 8
metrics_port = {measures}
"""
WAIT_S = 20


def free_ports(count):
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each_socket in sockets:
            each_socket.bind(('127.0.0.1', 0))
        return [each_socket.getsockname()[1] for each_socket in sockets]


class Platform:
    """One control host and one gateway as processes."""

    def __init__(self, folder):
        self.folder = folder
        names = ('cluster', 'http', 'own', 'clients', 'ready', 'metrics', 'measures')
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        key = folder / 'key'
        key.write_text('0123456789abcdef')
        self.running = {}
        for role, text in (('control', CONTROL), ('gateway', GATEWAY)):
            settings = folder / f'{role}.ini'
            settings.write_text(text.format(folder=folder, key=key, **self.ports))
            self.start(role)

    def start(self, role):
        with (self.folder / f'{role}.log').open('ab') as log:
            self.running[role] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'ringseam',
                    role,
                    '--settings',
                    str(self.folder / f'{role}.ini'),
                ],
                stdout=log,
                stderr=log,
            )

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()

    async def call(self, port, method, path, body=b'', **headers):
        """Return the status and the body of the response; 0 if there is none."""
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ports[port])
        except OSError:
            return 0, b''
        all_headers = {
            'Host': 'h.example',
            'Connection': 'close',
            'Content-Length': str(len(body)),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        lines = ''.join(f'{name}: {text}\r\n' for name, text in all_headers.items())
        writer.write(f'{method} {path} HTTP/1.1\r\n{lines}\r\n'.encode() + body)
        raw = await reader.read()
        writer.close()
        head, _, rest = raw.partition(b'\r\n\r\n')
        return (int(head.split(b' ')[1]) if head else 0), rest

    async def call_until(self, status, *call, **headers):
        started = time.monotonic()
        response = None
        while time.monotonic() - started < WAIT_S:
            response = await self.call(*call, **headers)
            if response[0] == status:
                return response[1]
            await asyncio.sleep(0.05)
        raise AssertionError(f'{call}: {response}')

    async def report_backend(self, address, sequence, state='ready', status=200, **fields):
        body = {
            'service': 'plain',
            'addr': address,
            'zone': 'a',
            'seq': sequence,
            'state': state,
            'slots': 4,
            **fields,
        }
        path = '/api/instances/i-1'
        await self.call_until(status, 'http', 'PUT', path, json.dumps(body).encode())

    async def send_request(self, attempt='r1'):
        return await self.call(
            'clients',
            'POST',
            '/once/x',
            b'body',
            Attempt_Id=attempt,
            Deadline_Ms='5000',
            Authorization='Bearer key-1',
        )


@pytest.fixture(name='platform')
def make_platform(tmp_path):
    platform = Platform(tmp_path)
    yield platform
    platform.close()


async def respond_ok(request, writer):
    writer.write(http_response(request))


def test_request_path_from_first_document_to_drain(platform):
    async def run():
        server = ScriptedServer(respond_ok)
        address = await server.start()
        assert (await platform.call('ready', 'GET', '/api/ready'))[0] in {0, 503}
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=4))
        await platform.report_backend(address, 1)
        await platform.call_until(200, 'ready', 'GET', '/api/ready')
        assert await platform.send_request() == (200, b'ok')
        assert server.requests[0].header('Expect-Instance') == 'i-1'
        await platform.report_backend(address, 2, 'draining')
        # The report is acknowledged only after the gateway knows the state: no wait is needed.
        assert (await platform.send_request('r2'))[0] == 503
        await platform.report_backend(address, 1, 'ready')
        assert (await platform.send_request('r3'))[0] == 503
        assert len(server.requests) == 1

    asyncio.run(run())


def test_both_roles_serve_their_metrics(platform):
    async def run():
        server = ScriptedServer(respond_ok)
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=4))
        await platform.report_backend(await server.start(), 1)
        await platform.call_until(200, 'ready', 'GET', '/api/ready')
        assert await platform.send_request() == (200, b'ok')
        status, page = await platform.call('metrics', 'GET', '/metrics')
        assert status == 200
        assert b'ringseam_calls{call="PUT backend",status="200"} 1' in page
        assert b'ringseam_call_seconds{call="PUT document",quantile="0.99"}' in page
        status, page = await platform.call('measures', 'GET', '/metrics')
        assert status == 200
        assert b'ringseam_requests{route="once",status="200"} 1' in page
        assert (await platform.call('metrics', 'GET', '/other'))[0] == 404

    asyncio.run(run())


def test_documents_over_http(platform):
    async def run():
        document = manifest(version=4)
        await platform.call_until(200, 'http', 'PUT', '/api/config', document)
        status, body = await platform.call('http', 'PUT', '/api/config', document[:-9])
        assert status == 400
        assert json.loads(body)['findings']
        assert (await platform.call('http', 'PUT', '/api/config', manifest(version=3)))[0] == 200
        other = manifest(version=4, routes=[])
        assert (await platform.call('http', 'PUT', '/api/config', other))[0] == 200
        assert await platform.call('http', 'GET', '/api/config') == (200, document)
        platform.running['control'].kill()
        platform.running['control'].wait()
        platform.start('control')
        assert await platform.call_until(200, 'http', 'GET', '/api/config') == document

    asyncio.run(run())


def test_document_above_the_memory_limit_is_refused_with_a_finding(platform):
    async def run():
        document = manifest(version=4)
        await platform.call_until(200, 'http', 'PUT', '/api/config', document)
        large = manifest(version=5, padding='x' * (6 * 2**20))
        status, body = await platform.call('http', 'PUT', '/api/config', large)
        assert status == 413
        assert 'document_bytes' in json.loads(body)['findings'][0]
        assert await platform.call('http', 'GET', '/api/config') == (200, document)

    asyncio.run(run())


@pytest.mark.parametrize('body', [b'', b'{}', b'[1]', b'\xff', b'{"service":3}'])
def test_unreadable_reports_are_refused(platform, body):
    async def run():
        await platform.call_until(400, 'http', 'PUT', '/api/instances/i-1', body)

    asyncio.run(run())


def test_invalid_reports_do_not_change_the_backend_state(platform):
    async def run():
        server = ScriptedServer(respond_ok)
        address = await server.start()
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=4))
        await platform.report_backend(address, 5, born=7)
        await platform.call_until(200, 'ready', 'GET', '/api/ready')
        for invalid in ({'born': 8.5}, {'seq': None}, {'state': 'odd'}, {'x': 'x' * 2**20}, {}):
            await platform.report_backend(address, 6, status=400, **invalid)
        assert await platform.send_request() == (200, b'ok')
        _, page = await platform.call('metrics', 'GET', '/metrics')
        assert b'ringseam_reports_refused 5' in page

    asyncio.run(run())


def test_order_with_a_large_body_is_refused(platform):
    """Guards against an order that is obeyed although its body, which makes it none, is gone."""

    async def run():
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=4))
        status, raw = await platform.call('http', 'POST', '/api/evacuate/a', b'x' * 300_000)
        assert status == 400
        assert b'300000 bytes' in raw

    asyncio.run(run())


def test_restarted_server_is_used_and_reports_of_its_earlier_lifetime_are_ignored(platform):
    async def run():
        server = ScriptedServer(respond_ok)
        address = await server.start()
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=4))
        await platform.report_backend(address, 900, born=7)
        await platform.report_backend(address, 901, 'draining', born=7)
        await platform.call_until(200, 'ready', 'GET', '/api/ready')
        assert (await platform.send_request('r1'))[0] == 503
        await platform.report_backend(address, 1, born=9)
        await platform.report_backend(address, 902, 'draining', born=7)
        assert await platform.send_request('r2') == (200, b'ok')
        assert server.requests[0].header('Expect-Instance') == 'i-1'
        platform.running['control'].kill()
        platform.running['control'].wait()
        platform.start('control')
        await platform.report_backend(address, 903, born=7)
        await platform.report_backend(address, 2, born=9)
        assert await platform.send_request('r3') == (200, b'ok')

    asyncio.run(run())


def test_graceful_stop_of_a_gateway_completes_running_requests(platform):
    async def run():
        async def slow(request, writer):
            await asyncio.sleep(1.5)
            writer.write(http_response(request))

        server = ScriptedServer(slow)
        address = await server.start()
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=1))
        await platform.report_backend(address, 1)
        await platform.call_until(200, 'ready', 'GET', '/api/ready')
        pending = asyncio.ensure_future(platform.send_request())
        while not server.requests:
            await asyncio.sleep(0.01)
        platform.running['gateway'].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        assert (await platform.call('ready', 'GET', '/api/ready'))[0] == 503
        assert await pending == (200, b'ok')
        loop = asyncio.get_running_loop()
        assert await loop.run_in_executor(None, platform.running['gateway'].wait, 8) == 0

    asyncio.run(run())


def test_hangup_reloads_a_changed_settings_file(platform):
    async def run():
        await platform.call_until(200, 'http', 'PUT', '/api/config', manifest(version=1))
        gateway = platform.folder / 'gateway.ini'
        log = platform.folder / 'gateway.log'
        text = gateway.read_text()
        started = time.monotonic()
        # A process that is still starting would read the new settings as its initial ones.
        while b'process_started' not in log.read_bytes():
            assert time.monotonic() - started < WAIT_S
            await asyncio.sleep(0.05)
        gateway.write_text(text.replace('grace_s = 8', 'grace_s = 9'))
        platform.running['gateway'].send_signal(signal.SIGHUP)
        while b'settings_reloaded' not in log.read_bytes():
            assert time.monotonic() - started < WAIT_S
            await asyncio.sleep(0.05)
        gateway.write_text('[process]\n')
        while b'settings_refused' not in log.read_bytes():
            assert time.monotonic() - started < WAIT_S
            await asyncio.sleep(0.05)
        assert platform.running['gateway'].poll() is None

    asyncio.run(run())


def test_demo_shows_complete_responses_and_a_drain(tmp_path, capsys):
    assert asyncio.run(GatewayDemo(folder=tmp_path).run())
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith('plain request: 200')
    assert shown[1] == 'staged stream: 200, 5 events after 3 pieces'
    assert 'acknowledged True; then 503' in shown[2]


def test_hangup_during_start_does_not_terminate_the_process(platform):
    """Guards against a SIGHUP that terminates the gateway before its handler is installed.

    Under load, this ended the gateway with an empty log.
    """
    log = platform.folder / 'gateway.log'
    platform.running['gateway'].kill()
    platform.running['gateway'].wait()
    log.write_bytes(b'')
    platform.start('gateway')
    process = platform.running['gateway']
    started = time.monotonic()
    sent = 0
    while b'process_started' not in log.read_bytes():
        assert process.poll() is None
        assert time.monotonic() - started < WAIT_S
        if ignores_hangup(process.pid):
            process.send_signal(signal.SIGHUP)
            sent += 1
        time.sleep(0.01)
    assert sent
    assert process.poll() is None


def ignores_hangup(pid):
    """Return whether the kernel reports that the process ignores SIGHUP."""
    status = Path(f'/proc/{pid}/status').read_text()
    masks = [line.split()[1] for line in status.splitlines() if line.startswith('SigIgn:')]
    return bool(int(masks[0], 16) >> (signal.SIGHUP - 1) & 1)
