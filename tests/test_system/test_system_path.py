"""The request path over separate processes."""

from __future__ import annotations

import os
from concurrent.futures import ThreadPoolExecutor

import pytest

pytestmark = pytest.mark.processes

REQUESTS = 64
BODY_BYTES = 8 * 2**20


def test_two_stages_return_the_complete_response(running_system):
    reply = running_system.post('two', b'lot 17')
    assert reply.status == 200
    assert reply.data == b'lot 17'
    assert reply.headers['Ringseam-Outcome'] == 'completed'
    assert len(running_system.executions('reader', reply.headers['Ringseam-Request-Id'])) == 2


def test_non_repeatable_request_runs_once_across_entries(running_system):
    first = running_system.post('signal', b'reject 1', key='carton-1')
    again = running_system.post('signal', b'reject 1', key='carton-1', entry='other')
    assert (first.status, again.status) == (200, 200)
    assert first.data == again.data
    warm_ups = 2
    assert len(running_system.executions('signaller')) == 1 + warm_ups


def test_same_key_other_body(running_system):
    running_system.post('signal', b'reject 1', key='carton-2')
    other = running_system.post('signal', b'reject 2', key='carton-2')
    assert other.status == 422
    assert other.headers['Content-Type'] == 'application/problem+json'


def test_large_bodies_are_not_mixed_up(running_system):
    bodies = [os.urandom(BODY_BYTES // 8) for _ in range(REQUESTS)]
    bodies[0] = os.urandom(BODY_BYTES)
    with ThreadPoolExecutor(16) as pool:
        replies = list(pool.map(lambda body: running_system.post('two', body), bodies))
    assert [reply.status for reply in replies] == [200] * REQUESTS
    assert all(reply.data == body for reply, body in zip(replies, bodies, strict=True))
