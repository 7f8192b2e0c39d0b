"""Work that may not be repeated, and answers, under failure."""

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


def ask_until_settled(system, pipeline, body, *, entry, key):
    """Ask with the key until it is no longer in progress."""
    return eventually(
        lambda: _settled(system.post(pipeline, body, entry=entry, key=key)),
        what='a settled outcome',
    )


def _settled(reply):
    return None if outcome(reply) == 'in-progress' else reply


def runs_of(system, server, body):
    """Return how often ``body`` was executed at ``server``."""
    import hashlib

    digest = hashlib.sha256(body).hexdigest()
    return len(system.executions(server, digest))


def send_slowly(system, pool, pipeline, body, **named):
    """Send a request that takes ``SLOW_MS`` and wait until it runs."""
    pending = pool.submit(system.post, pipeline, body, **named)
    eventually(lambda: runs_of(system, 'signaller', body), what='the execution to start')
    return pending


@pytest.fixture
def slow(whole_system):
    """Return a whole system whose signaller takes a while."""
    whole_system.faults('signaller', latency_ms=SLOW_MS)
    with ThreadPoolExecutor(8) as pool:
        yield whole_system, pool


def test_entry_killed_after_dispatch(slow):
    system, pool = slow
    pending = send_slowly(system, pool, 'signal', b'carton', key='c')
    system.kill('entry')
    assert pending.exception() is not None
    first = system.post('signal', b'carton', entry='other', key='c')
    assert (first.status, outcome(first)) == (409, 'in-progress')
    assert 'Retry-After' in first.headers
    settled = ask_until_settled(system, 'signal', b'carton', entry='other', key='c')
    assert (settled.status, settled.data) == (200, b'carton')
    assert runs_of(system, 'signaller', b'carton') == 1


def test_agent_killed_while_running(slow):
    system, pool = slow
    pending = send_slowly(system, pool, 'signal', b'carton', key='c')
    system.kill('signaller')
    assert outcome(pending.result()) == 'unknown'
    system.start('signaller')
    settled = eventually(
        lambda: _with(system.post('signal', b'carton', entry='other', key='c'), 'restarted'),
        what='the new incarnation to settle it',
    )
    assert outcome(settled) == 'unknown'
    assert runs_of(system, 'signaller', b'carton') == 1


def _with(reply, text):
    return reply if text in reply.data.decode() else None


def test_backend_killed_mid_answer(slow):
    system, pool = slow
    pending = send_slowly(system, pool, 'signal', b'carton', key='c')
    system.kill('signaller-server')
    assert (pending.result().status, outcome(pending.result())) == (504, 'unknown')
    system.start('signaller-server')
    time.sleep(1)
    assert outcome(system.post('signal', b'carton', entry='other', key='c')) == 'unknown'
    assert runs_of(system, 'signaller', b'carton') == 1


def test_same_key_raced_on_entries(slow):
    system, pool = slow
    asks = [
        pool.submit(system.post, 'signal', b'carton', entry=entry, key='c')
        for entry in ('entry', 'other') * 3
    ]
    outcomes = [outcome(ask.result()) for ask in asks]
    assert 'completed' in outcomes
    assert set(outcomes) <= {'completed', 'in-progress'}
    assert runs_of(system, 'signaller', b'carton') == 1


def test_recorded_pipeline_resumes_elsewhere(slow):
    system, pool = slow
    pending = send_slowly(system, pool, 'verdict', b'photo', key='p')
    system.kill('entry')
    assert pending.exception() is not None
    settled = ask_until_settled(system, 'verdict', b'photo', entry='other', key='p')
    again = system.post('verdict', b'photo', entry='other', key='p')
    assert settled.data == again.data == b'photo'
    assert runs_of(system, 'reader', b'photo') == 1
    assert runs_of(system, 'signaller', b'photo') == 1


def test_frozen_agent_then_woken(slow):
    import signal

    system, pool = slow
    system.send('signaller', signal.SIGSTOP)
    pending = pool.submit(system.post, 'signal', b'carton', key='c', timeout=60)
    time.sleep(2)
    assert outcome(system.post('signal', b'carton', entry='other', key='c')) in {
        'unknown',
        'in-progress',
    }
    system.send('signaller', signal.SIGCONT)
    pending.result()
    system.post_whole('signal', b'carton', entry='other', key='c')
    assert runs_of(system, 'signaller', b'carton') == 1


def test_status_that_declares_nothing_is_no_proof(whole_system):
    whole_system.faults('signaller', failure_percent=100, failure_status=503)
    reply = whole_system.post('signal', b'carton', key='c')
    assert (reply.status, outcome(reply)) == (502, 'failed')
    whole_system.faults('signaller', failure_percent=0)
    again = whole_system.post('signal', b'carton', key='c', entry='other')
    assert outcome(again) == 'failed'
    assert runs_of(whole_system, 'signaller', b'carton') == 1


def test_declared_status_is_proof(whole_system, part_file):
    declared = part_file.replace('[pool signals]', '[pool signals]\nnot_run_statuses = 503')
    whole_system.apply(declared, expect=1)
    eventually(lambda: whole_system.events('signaller', 'in_force')[-1]['revision'] == 2)
    whole_system.faults('signaller', failure_percent=100, failure_status=503)
    reply = whole_system.post('signal', b'carton', key='c')
    assert (reply.status, outcome(reply)) == (503, 'not-run')
    whole_system.faults('signaller', failure_percent=0)
    again = whole_system.post('signal', b'carton', key='c', entry='other')
    assert (again.status, again.data) == (200, b'carton')


BROKEN = (
    ('truncated, once only', {'truncate_percent': 100}, 'signal', 'unknown'),
    ('truncated, repeatable', {'truncate_percent': 100}, 'two', 'failed'),
    ('for another request, repeatable', {'wrong_echo_percent': 100}, 'two', 'failed'),
    ('for another request, once only', {'wrong_echo_percent': 100}, 'signal', 'unknown'),
)


@pytest.mark.parametrize(
    ('faults', 'pipeline', 'expected'),
    [case[1:] for case in BROKEN],
    ids=[case[0] for case in BROKEN],
)
def test_broken_answers_never_leave_as_whole(whole_system, faults, pipeline, expected):
    whole_system.faults('reader', **faults)
    whole_system.faults('signaller', **faults)
    reply = whole_system.post(pipeline, b'broken body', key='c')
    assert outcome(reply) == expected
    problem = json.loads(reply.data)
    assert problem['outcome'] == expected
    assert problem['request_id'] == reply.headers['Ringseam-Request-Id']


def test_ledger_lost_claims_nothing(whole_system):
    whole_system.kill('control-1', 'control-2')
    reply = whole_system.post('signal', b'carton', key='c', timeout=60)
    assert outcome(reply) == 'unknown'
    assert runs_of(whole_system, 'signaller', b'carton') == 0
