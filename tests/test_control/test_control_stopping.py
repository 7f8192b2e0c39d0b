"""Changes that reach a control host while its process stops."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from ringseam.backends import GatewayState
from ringseam.control.role import ControlRole
from ringseam.followmessages import WatchRequest
from ringseam.ids import split_address
from ringseam.layout import LOOPBACK, Layout, free_address
from ringseam.settings import read_settings

DOCUMENT = json.dumps({'version': 3, 'routes': [], 'services': []}).encode()
REPORT = json.dumps(
    {'service': 's', 'addr': '1.2.3.4:5', 'zone': 'z', 'seq': 1, 'state': 'draining'}
)
CHANGES = {
    'document': ('PUT', '/api/config', DOCUMENT),
    'zone': ('POST', '/api/evacuate/a', b''),
    'leave': ('PUT', '/api/instances/i-1', REPORT.encode()),
}


def new_role(folder, address, port):
    process = Layout(folder=folder).add(
        'control',
        'control-1',
        address=f'{LOOPBACK}:{port}',
        http=address,
        data_dir=str(folder / 'control-1'),
        seeds=address,
        cluster_ports=f'{port}, {port}',
    )
    text = process.settings.read_text()
    return ControlRole(settings=read_settings(process.role, text, path=str(process.settings)))


async def call(address, method, path, body):
    """Return the status of a call; 0 if the connection ended without an answer."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    head = f'{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n'
    writer.write(head.encode() + body)
    line = await reader.readline()
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return int(line.split()[1]) if line else 0


async def until_ready(role):
    while not role.follow_service.leadership.can_serve:
        await asyncio.sleep(0.02)


def follow_silently(role):
    """Let a gateway watch that confirms nothing, so that each change waits for it."""
    request = WatchRequest(gateway=GatewayState(name='g', address='a', zone='z'))
    role.follow_service.directory.record_watch(request, role.node.clock.now())


# Fault: a change that waited for the gateways ended with a closed connection when the
# control host was stopped.
@pytest.mark.parametrize('change', CHANGES)
def test_change_in_progress_is_answered_by_a_host_that_stops(tmp_path, change):
    async def run():
        address = free_address()
        port = split_address(free_address())[1]
        role = new_role(tmp_path, address, port)
        await role.start()
        await until_ready(role)
        follow_silently(role)
        asked = asyncio.create_task(call(address, *CHANGES[change]))
        await asyncio.sleep(0.3)
        await role.stop()
        await role.close()
        return await asked

    assert asyncio.run(run()) == 200


@pytest.mark.parametrize('change', CHANGES)
def test_change_whose_answer_was_lost_is_acknowledged_again(tmp_path, change):
    async def run():
        address = free_address()
        port = split_address(free_address())[1]
        role = new_role(tmp_path, address, port)
        await role.start()
        await until_ready(role)
        _, writer = await asyncio.open_connection(*split_address(address))
        method, path, body = CHANGES[change]
        head = f'{method} {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await role.close()
        role = new_role(tmp_path, address, port)
        await role.start()
        await until_ready(role)
        statuses = [await call(address, *CHANGES[change]) for _ in range(2)]
        await role.stop()
        await role.close()
        return statuses

    assert asyncio.run(run()) == [200, 200]


# Guards against a request that is read after the last one was answered, and gets no answer.
def test_stopped_control_host_has_no_connection_that_may_carry_a_request(tmp_path):
    async def run():
        address = free_address()
        role = new_role(tmp_path, address, split_address(free_address())[1])
        await role.start()
        await until_ready(role)
        reader, writer = await asyncio.open_connection(*split_address(address))
        writer.write(b'GET /api/config HTTP/1.1\r\nHost: c\r\n\r\n')
        assert await reader.readline()
        await role.stop()
        connections = len(role.web.connections)
        await role.close()
        writer.close()
        return connections

    assert asyncio.run(run()) == 0
