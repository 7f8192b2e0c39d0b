"""Clients that don't behave, against real processes on loopback, beside ordinary clients.

Guards against a process that ends by its memory or hangs, and against ordinary clients, readiness
checks and calls to control that are no longer served.
"""

from __future__ import annotations

import asyncio

import pytest

from bench.hostile import CONTROL, GATEWAY, HOST, KEY, Arena, Connection, draw_attacks
from bench.hostileclients import BODY_BYTES, chunked

pytestmark = pytest.mark.processes

SECONDS = 3.0
#: Memory of the smallest gateway host, MB.
SMALL_GATEWAY_MB = 200
GATEWAY_ATTACKS = (
    ('ahead', 'route', 4),
    ('ahead-bodies', 'no-route', 6),
    ('ahead-reading', 'ready', 40),
    ('ahead', 'metrics', 4),
    ('fields-stop', 'route', 700),
    ('fields', 'route', 60),
    ('body-stop', 'ready', 80),
    ('body', 'route', 80),
    ('over-chunked', 'metrics', 30),
    ('chunks-1', 'route', 4),
    ('chunks-2', 'ready', 6),
    ('idle', 'route', 3500),
    ('drip', 'ready', 600),
    ('unread', 'large', 120),
    ('unread', 'large', 700),
    ('body-pieces', 'route', 1500),
    ('over-chunked', 'no-route', 1000),
    ('come-and-go', 'route', 300),
)
CONTROL_ATTACKS = (
    ('ahead', 'control', 4),
    ('body-stop', 'control', 80),
    ('fields-stop', 'control', 500),
    ('chunks-1', 'control-report', 4),
    ('idle', 'control', 2500),
)
SEEDS = (1, 2)


def play(folder, attacks_of, *, gateway_mb=SMALL_GATEWAY_MB, times=1):
    """Play attacks, some times in a row; return a report of each."""

    async def run():
        async with Arena(folder, gateway_mb=gateway_mb) as arena:
            return [await arena.play(attacks_of(arena), SECONDS) for _ in range(times)]

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('shape', 'address', 'count'),
    [*GATEWAY_ATTACKS, *CONTROL_ATTACKS],
    ids=[
        f'{shape}-{address}-{count}'
        for shape, address, count in (*GATEWAY_ATTACKS, *CONTROL_ATTACKS)
    ],
)
def test_ordinary_clients_are_served_beside(tmp_path, shape, address, count):
    (report,) = play(tmp_path, lambda arena: [arena.attack(shape, address, count, SECONDS)])
    assert not report.broken(), report.row()


@pytest.mark.parametrize('seed', SEEDS)
def test_ordinary_clients_are_served_beside_a_drawn_mixture(tmp_path, seed):
    (report,) = play(tmp_path, lambda arena: draw_attacks(arena, seed, SECONDS))
    assert not report.broken(), report.row()


def test_memory_does_not_grow_from_attack_to_attack(tmp_path):
    """Guards against a process that keeps a part of what each attack has made it hold."""

    def attacks(arena):
        arena.memory.peaks_mb.clear()
        return [
            arena.attack('fields-stop', 'route', 300, SECONDS),
            arena.attack('body-stop', 'ready', 40, SECONDS),
            arena.attack('body', 'control', 20, SECONDS),
        ]

    reports = play(tmp_path, attacks, times=4)
    for report in reports:
        assert not report.broken(), report.row()
    for name in (GATEWAY, CONTROL[0]):
        peaks = [report.peaks_mb[name] for report in reports]
        assert max(peaks[2:]) <= 1.15 * max(peaks[:2]), peaks


def legal_requests(method, target, headers):
    """Return the parts of one legal request of each shape."""
    head = '\r\n'.join((f'{method} {target} HTTP/1.1', *headers)).encode() + b'\r\n'
    body = b'x' * BODY_BYTES
    chunks = head + b'Transfer-Encoding: chunked\r\n\r\n'
    return {
        'fields': head + b'a:\r\n' * ((16_384 - len(head)) // 4) + b'\r\n',
        'largest body': head + b'Content-Length: %d\r\n\r\n' % BODY_BYTES + body,
        'chunks of one byte': chunks + chunked(body, 1) + b'0\r\n\r\n',
        'one chunk': chunks + chunked(body, BODY_BYTES) + b'0\r\n\r\n',
    }


async def send_legal(address, raw):
    connection = Connection(address)
    reader, writer = await asyncio.open_connection(connection.host, connection.port)
    writer.write(raw)
    async with asyncio.timeout(20):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return int(head.split(b' ')[1])


def test_single_legal_request_of_each_shape_is_answered_at_every_address(tmp_path):
    """Guards against a limit that a client within the limits of the document meets in calm."""
    expected = {
        'route': 200,
        'no-route': 404,
        'ready': 200,
        'metrics': 200,
        'control': 400,
        'control-report': 400,
        'control-no-path': 404,
    }
    headers = (f'Host: {HOST}', f'Authorization: Bearer {KEY}', 'Attempt-Id: 1')

    async def run():
        found = {}
        async with Arena(tmp_path, gateway_mb=SMALL_GATEWAY_MB) as arena:
            for name, (address, method, target) in arena.addresses().items():
                if name not in expected:
                    continue
                for shape, raw in legal_requests(method, target, headers).items():
                    found[name, shape] = await send_legal(address, raw)
        return found

    found = asyncio.run(run())
    # A report has a limit of its own.
    statuses = {status for (name, _), status in found.items() if name == 'control-report'}
    assert statuses <= {400, 413}
    for (name, shape), status in found.items():
        if name != 'control-report':
            assert status == expected[name], (name, shape)
