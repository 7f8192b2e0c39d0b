"""Non-repeatable requests and responses under failure."""

from __future__ import annotations

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.processes import eventually

pytestmark = pytest.mark.processes

SLOW_MS = 1500
STARTED = 0.5


def outcome(reply):
    return reply.headers.get('Ringseam-Outcome')


def post_until_settled(system, pipeline, body, *, entry, key):
    """Repeat the request with its key until it is no longer in progress."""
    return eventually(
        lambda: _settled(system.post(pipeline, body, entry=entry, key=key)),
        what='a settled outcome',
    )


def _settled(reply):
    return None if outcome(reply) == 'in-progress' else reply


def count_executions(system, server, body):
    """Return how often ``body`` was executed at ``server``."""
    import hashlib

    digest = hashlib.sha256(body).hexdigest()
    return len(system.executions(server, digest))


def submit_and_wait_for_start(system, pool, pipeline, body, **options):
    """Send a request that takes ``SLOW_MS`` and wait until its execution has started."""
    pending = pool.submit(system.post, pipeline, body, **options)
    eventually(lambda: count_executions(system, 'signaller', body), what='the execution to start')
    return pending


@pytest.fixture
def slow_system(running_system):
    """Return a running system whose signaller takes ``SLOW_MS``, and a thread pool."""
    running_system.set_faults('signaller', latency_ms=SLOW_MS)
    with ThreadPoolExecutor(8) as pool:
        yield running_system, pool


def test_entry_killed_after_dispatch(slow_system):
    system, pool = slow_system
    pending = submit_and_wait_for_start(system, pool, 'signal', b'carton', key='c')
    system.kill('entry')
    assert pending.exception() is not None
    first = system.post('signal', b'carton', entry='other', key='c')
    assert (first.status, outcome(first)) == (409, 'in-progress')
    assert 'Retry-After' in first.headers
    settled = post_until_settled(system, 'signal', b'carton', entry='other', key='c')
    assert (settled.status, settled.data) == (200, b'carton')
    assert count_executions(system, 'signaller', b'carton') == 1


def test_agent_killed_while_running(slow_system):
    system, pool = slow_system
    pending = submit_and_wait_for_start(system, pool, 'signal', b'carton', key='c')
    system.kill('signaller')
    assert outcome(pending.result()) == 'unknown'
    system.start('signaller')
    settled = eventually(
        lambda: _containing(system.post('signal', b'carton', entry='other', key='c'), 'restarted'),
        what='the new incarnation to settle the request',
    )
    assert outcome(settled) == 'unknown'
    assert count_executions(system, 'signaller', b'carton') == 1


def _containing(reply, text):
    return reply if text in reply.data.decode() else None


def test_backend_server_killed_during_execution(slow_system):
    system, pool = slow_system
    pending = submit_and_wait_for_start(system, pool, 'signal', b'carton', key='c')
    system.kill('signaller-server')
    assert (pending.result().status, outcome(pending.result())) == (504, 'unknown')
    system.start('signaller-server')
    time.sleep(1)
    assert outcome(system.post('signal', b'carton', entry='other', key='c')) == 'unknown'
    assert count_executions(system, 'signaller', b'carton') == 1


def test_concurrent_requests_with_one_key_execute_once(slow_system):
    system, pool = slow_system
    pending = [
        pool.submit(system.post, 'signal', b'carton', entry=entry, key='c')
        for entry in ('entry', 'other') * 3
    ]
    outcomes = [outcome(request.result()) for request in pending]
    assert 'completed' in outcomes
    assert set(outcomes) <= {'completed', 'in-progress'}
    assert count_executions(system, 'signaller', b'carton') == 1


def test_recorded_pipeline_resumes_elsewhere(slow_system):
    system, pool = slow_system
    pending = submit_and_wait_for_start(system, pool, 'verdict', b'photo', key='p')
    system.kill('entry')
    assert pending.exception() is not None
    settled = post_until_settled(system, 'verdict', b'photo', entry='other', key='p')
    again = system.post('verdict', b'photo', entry='other', key='p')
    assert settled.data == again.data == b'photo'
    assert count_executions(system, 'reader', b'photo') == 1
    assert count_executions(system, 'signaller', b'photo') == 1


def test_resumed_agent_executes_once(slow_system):
    import signal

    system, pool = slow_system
    system.send_signal('signaller', signal.SIGSTOP)
    pending = pool.submit(system.post, 'signal', b'carton', key='c', timeout=60)
    time.sleep(2)
    assert outcome(system.post('signal', b'carton', entry='other', key='c')) in {
        'unknown',
        'in-progress',
    }
    system.send_signal('signaller', signal.SIGCONT)
    pending.result()
    system.post_until_success('signal', b'carton', entry='other', key='c')
    assert count_executions(system, 'signaller', b'carton') == 1


def test_undeclared_status_does_not_prove_not_run(running_system):
    running_system.set_faults('signaller', failure_percent=100, failure_status=503)
    reply = running_system.post('signal', b'carton', key='c')
    assert (reply.status, outcome(reply)) == (502, 'failed')
    running_system.set_faults('signaller', failure_percent=0)
    again = running_system.post('signal', b'carton', key='c', entry='other')
    assert outcome(again) == 'failed'
    assert count_executions(running_system, 'signaller', b'carton') == 1


def test_declared_status_proves_not_run(running_system, part_file):
    declared = part_file.replace('[pool signals]', '[pool signals]\nnot_run_statuses = 503')
    running_system.apply(declared, expect=1)
    eventually(lambda: running_system.events('signaller', 'in_force')[-1]['revision'] == 2)
    running_system.set_faults('signaller', failure_percent=100, failure_status=503)
    reply = running_system.post('signal', b'carton', key='c')
    assert (reply.status, outcome(reply)) == (503, 'not-run')
    running_system.set_faults('signaller', failure_percent=0)
    again = running_system.post('signal', b'carton', key='c', entry='other')
    assert (again.status, again.data) == (200, b'carton')


CORRUPTIONS = (
    ('truncated, once only', {'truncate_percent': 100}, 'signal', 'unknown'),
    ('truncated, repeatable', {'truncate_percent': 100}, 'two', 'failed'),
    ('for another request, repeatable', {'wrong_echo_percent': 100}, 'two', 'failed'),
    ('for another request, once only', {'wrong_echo_percent': 100}, 'signal', 'unknown'),
)


@pytest.mark.parametrize(
    ('faults', 'pipeline', 'expected'),
    [case[1:] for case in CORRUPTIONS],
    ids=[case[0] for case in CORRUPTIONS],
)
def test_corrupt_responses_are_never_returned_as_complete(
    running_system, faults, pipeline, expected
):
    running_system.set_faults('reader', **faults)
    running_system.set_faults('signaller', **faults)
    reply = running_system.post(pipeline, b'broken body', key='c')
    assert outcome(reply) == expected
    problem = json.loads(reply.data)
    assert problem['outcome'] == expected
    assert problem['request_id'] == reply.headers['Ringseam-Request-Id']


def test_nothing_is_claimed_without_the_ledger(running_system):
    running_system.kill('control-1', 'control-2')
    reply = running_system.post('signal', b'carton', key='c', timeout=60)
    assert outcome(reply) == 'unknown'
    assert count_executions(running_system, 'signaller', b'carton') == 0
