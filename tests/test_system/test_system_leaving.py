"""Draining, graceful stops, lost servers and invalid input."""

from __future__ import annotations

import functools
import random
import signal
import socket
import threading
import time

import pytest
import urllib3

from tests.processes import eventually

pytestmark = pytest.mark.processes

CONTROL = ('control-1', 'control-2', 'control-3')
DRAIN_PROPAGATION_S = 3
CALLERS = 6


class CallerLoad:
    """Callers behind a load balancer that skips entries that aren't ready."""

    def __init__(self, system, pipeline='two', entries=('entry', 'other'), use_keys=False):
        self.system = system
        self.pipeline = pipeline
        self.entries = list(entries)
        self.use_keys = use_keys
        self.ready = set(entries)
        self.outcomes = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.call_repeatedly, args=(number,))
            for number in range(CALLERS)
        ]
        self.threads.append(threading.Thread(target=self.poll_readiness))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *failure):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def poll_readiness(self):
        while not self.stopping.is_set():
            for entry in self.entries:
                if self.system.get(entry, '/readyz').status == 200:
                    self.ready.add(entry)
                else:
                    self.ready.discard(entry)
            time.sleep(0.05)

    def call_repeatedly(self, number):
        sent = 0
        while not self.stopping.is_set():
            sent += 1
            ready = sorted(self.ready)
            if not ready:
                continue
            entry = ready[(number + sent) % len(ready)]
            body = f'{number}-{sent}'.encode()
            key = f'{number}-{sent}' if self.use_keys else ''
            try:
                reply = self.system.post(self.pipeline, body, entry=entry, key=key)
            except urllib3.exceptions.NewConnectionError:
                continue  # never sent: a load balancer would try another entry
            except urllib3.exceptions.HTTPError as error:
                self.outcomes.append(f'cut: {error!r}')
            else:
                is_correct = reply.status != 200 or reply.data == body
                outcome = reply.headers.get('Ringseam-Outcome')
                self.outcomes.append(outcome if is_correct else 'mixed')


def is_executed_at(system, entry, server):
    """Post to an entry and return whether ``server`` executed a stage of the request."""
    before = len(system.executions(server))
    served = system.post('two', entry=entry).status == 200
    return served and len(system.executions(server)) > before


def test_drain_by_file_with_a_partitioned_entry(running_system, part_file):
    running_system.layout.add_server('second', pool='demo/readers')
    running_system.start('second', 'second-server')
    running_system.wait_for_agents(3)
    # Each entry discovers the second server independently.
    for entry in ('entry', 'other'):
        eventually(
            functools.partial(is_executed_at, running_system, entry, 'second'),
            what=f'an execution at the second server for {entry}',
        )
    running_system.partition('entry', *CONTROL)
    with CallerLoad(running_system) as load:
        drained = part_file.replace(
            '[pool readers]',
            '[pool readers]\ndrain = reader',
        )
        running_system.apply(drained, expect=1)
        time.sleep(DRAIN_PROPAGATION_S)
        before = len(running_system.executions('reader'))
        time.sleep(1)
        after = len(running_system.executions('reader'))
    assert after == before
    assert set(load.outcomes) == {'completed'}


@pytest.mark.parametrize('name', ['entry', 'reader', 'leader'])
def test_graceful_stop_interrupts_no_request(running_system, name):
    running_system.layout.add_server('second', pool='demo/readers')
    running_system.start('second', 'second-server')
    running_system.wait_for_agents(3)
    time.sleep(0.5)
    victim = running_system.leader() if name == 'leader' else name
    running_system.set_faults('reader', latency_ms=100)
    running_system.set_faults('second', latency_ms=100)
    with CallerLoad(running_system) as load:
        time.sleep(1)
        running_system.send_signal(victim, signal.SIGTERM)
        time.sleep(0.1)
        assert running_system.stop(victim) == 0
        time.sleep(1)
    assert set(load.outcomes) == {'completed'}
    assert len(load.outcomes) > 20


def test_leader_stops_while_claims_are_made(running_system):
    with CallerLoad(running_system, pipeline='signal', use_keys=True) as load:
        time.sleep(1)
        assert running_system.stop(running_system.leader()) == 0
        time.sleep(2)
    assert 'completed' in load.outcomes
    assert set(load.outcomes) <= {'completed', 'unknown', 'not-run'}
    bodies = [line.split()[1] for line in running_system.executions('signaller')]
    assert len(bodies) - len(set(bodies)) == 1  # both warm-up requests have the same body


def test_agent_killed_repeatable_work_is_retried(running_system):
    running_system.layout.add_server('second', pool='demo/readers', zone='zone-2')
    running_system.start('second', 'second-server')
    running_system.wait_for_agents(3)
    time.sleep(0.5)
    with CallerLoad(running_system) as load:
        time.sleep(0.5)
        running_system.kill('reader', 'reader-server')
        time.sleep(2)
    assert set(load.outcomes) == {'completed'}


def test_traffic_continues_without_control_hosts(running_system):
    running_system.kill(*CONTROL)
    deadline = time.monotonic() + 5
    with CallerLoad(running_system) as load:
        time.sleep(max(0, deadline - time.monotonic()))
    assert set(load.outcomes) == {'completed'}


def test_hanging_server_times_out(running_system):
    running_system.set_faults('reader', hang_percent=100)
    started = time.monotonic()
    reply = urllib3.request(
        'POST',
        f'http://{running_system.layout.processes["entry"].http}/v1/pipelines/two',
        body=b'x',
        headers={'Authorization': 'Bearer caller', 'Ringseam-Timeout-Ms': '700'},
        retries=False,
    )
    assert (reply.status, reply.headers['Ringseam-Outcome']) == (504, 'timed-out')
    assert time.monotonic() - started < 2


REJECTED = (
    ('no token', {}, 'two', 401),
    ('wrong token', {'Authorization': 'Bearer stranger'}, 'two', 401),
    ('no such pipeline', {'Authorization': 'Bearer caller'}, 'tow', 404),
    ('no key', {'Authorization': 'Bearer caller'}, 'signal', 400),
    (
        'bad timeout',
        {'Authorization': 'Bearer caller', 'Ringseam-Timeout-Ms': 'soon'},
        'two',
        400,
    ),
)


def test_rejected_requests(running_system):
    base = f'http://{running_system.layout.processes["entry"].http}/v1/pipelines'
    for name, headers, pipeline, status in REJECTED:
        reply = urllib3.request(
            'POST', f'{base}/{pipeline}', body=b'x', headers=headers, retries=False
        )
        assert reply.status == status, name
        assert reply.headers['Ringseam-Outcome'] == 'rejected', name


def test_random_bytes_on_every_port(running_system):
    random_source = random.Random(7)
    processes = running_system.layout.processes
    ports = [processes[name].address for name in (*CONTROL, 'entry', 'reader')]
    ports += [processes[name].http for name in ('entry', 'reader')]
    stalled = []
    for address in ports:
        host, _, port = address.partition(':')
        for size in (1, 100, 10_000, 100_000):
            with socket.create_connection((host, int(port)), timeout=5) as connection:
                noise = random_source.randbytes(size)
                http2 = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' if random_source.random() < 0.5 else b''
                try:
                    connection.sendall(http2 + noise)
                except OSError:
                    continue
        sender = socket.create_connection((host, int(port)), timeout=5)
        sender.sendall(b'POST /v1/pipelines/two HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf')
        stalled.append(sender)
    oversized = urllib3.request(
        'POST',
        f'http://{processes["entry"].http}/v1/pipelines/two',
        body=bytes(17 * 2**20),
        headers={'Authorization': 'Bearer caller'},
        retries=False,
    )
    assert oversized.status == 413
    assert running_system.post('two', b'still well').data == b'still well'
    assert all(process.poll() is None for process in running_system.running.values())
    for sender in stalled:
        sender.close()


def test_peer_without_the_key_is_refused(running_system):
    running_system.layout.key_file.write_text('another-key-of-16-bytes-or-more')
    assert running_system.statuses() == {}
    eventually(
        lambda: running_system.events('control-1', 'stranger_refused'),
        what='the refusal in the log',
    )
