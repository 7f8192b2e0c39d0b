"""Callers that don't behave at an entry, a real process: its memory stays bounded.

Guards against an entry that ends because anyone may make it hold the largest body at any path.
"""

from __future__ import annotations

import contextlib
import socket
import time
import urllib.request
from pathlib import Path

import pytest

from ringseam.ids import split_address

pytestmark = pytest.mark.processes

CALLERS = 60
BODY_BYTES = 16 * 2**20
#: An entry has some 50 MB without requests. Bodies that nobody asked for may add little.
MAX_MB = 120
#: With a token, callers may hold what the default of ``max_held_body_bytes`` says.
MAX_HELD_MB = 120 + 256 * 2**20 / 10**6
PAGE_BYTES = 4096


def memory_mb(process):
    """Return the memory of a running process."""
    pages = int(Path(f'/proc/{process.pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 10**6


def open_caller(address, target, headers=''):
    """Send a head that declares the largest body; return the connection."""
    caller = socket.create_connection(split_address(address), timeout=5)
    head = f'POST {target} HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {BODY_BYTES}\r\n\r\n'
    caller.sendall(head.encode())
    caller.setblocking(False)
    return caller


def send_some(caller, left):
    """Send what the entry takes of a body but for its last byte; return how much is left."""
    try:
        return left - caller.send(b'x' * min(left, 2**20))
    except BlockingIOError:
        return left
    except OSError:
        return 0


def press(system, target, headers='', seconds=4.0):
    """Send bodies but for their last bytes; return the largest memory of the entry, MB."""
    process = system.running['entry']
    address = system.layout.processes['entry'].http
    peak_mb = 0
    with contextlib.ExitStack() as stack:
        left = {}
        for _ in range(CALLERS):
            left[stack.enter_context(open_caller(address, target, headers))] = BODY_BYTES - 1
        until = time.monotonic() + seconds
        while time.monotonic() < until and peak_mb < 1000:
            left = {caller: send_some(caller, size) if size else 0 for caller, size in left.items()}
            peak_mb = max(peak_mb, memory_mb(process))
            time.sleep(0.01)
    assert process.poll() is None
    return peak_mb


@pytest.mark.parametrize('target', ['/readyz', '/nothing', '/v1/pipelines/two'])
def test_bodies_that_nobody_asked_for_are_not_held(running_system, target):
    assert press(running_system, target) <= MAX_MB
    running_system.post_until_success('two', b'afterwards')


def test_bodies_of_known_callers_are_held_up_to_a_bound(running_system):
    headers = 'Authorization: Bearer caller\r\n'
    assert press(running_system, '/v1/pipelines/two', headers) <= MAX_HELD_MB
    running_system.post_until_success('two', b'afterwards')
    address = running_system.layout.processes['entry'].http
    with urllib.request.urlopen(f'http://{address}/readyz', timeout=2) as response:
        assert response.status == 200


# Fault: each connection took a thread from its first moment, whether it sent anything or not.
def test_entry_is_ready_beside_callers_that_send_nothing(running_system):
    address = running_system.layout.processes['entry'].http
    with contextlib.ExitStack() as stack:
        for _ in range(200):
            idle = socket.create_connection(split_address(address), timeout=5)
            stack.enter_context(contextlib.closing(idle))
        time.sleep(1.0)
        with urllib.request.urlopen(f'http://{address}/readyz', timeout=2) as response:
            assert response.status == 200
