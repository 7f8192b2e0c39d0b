"""Servers and processes that leave, lost servers, and bad input."""

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
NOTHING_NEW_S = 3
CALLERS = 6


class Load:
    """Callers behind a balancer that leaves an entry once it isn't ready."""

    def __init__(self, system, pipeline='two', entries=('entry', 'other'), keyed=False):
        self.system = system
        self.pipeline = pipeline
        self.entries = list(entries)
        self.keyed = keyed
        self.ready = set(entries)
        self.outcomes = []
        self.ending = threading.Event()
        self.threads = [
            threading.Thread(target=self.call_always, args=(number,)) for number in range(CALLERS)
        ]
        self.threads.append(threading.Thread(target=self.watch))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *failure):
        self.ending.set()
        for thread in self.threads:
            thread.join()

    def watch(self):
        while not self.ending.is_set():
            for entry in self.entries:
                if self.system.get(entry, '/readyz').status == 200:
                    self.ready.add(entry)
                else:
                    self.ready.discard(entry)
            time.sleep(0.05)

    def call_always(self, number):
        sent = 0
        while not self.ending.is_set():
            sent += 1
            ready = sorted(self.ready)
            if not ready:
                continue
            entry = ready[(number + sent) % len(ready)]
            body = f'{number}-{sent}'.encode()
            key = f'{number}-{sent}' if self.keyed else ''
            try:
                reply = self.system.post(self.pipeline, body, entry=entry, key=key)
            except urllib3.exceptions.NewConnectionError:
                continue  # never sent: a balancer goes elsewhere
            except urllib3.exceptions.HTTPError as error:
                self.outcomes.append(f'cut: {error!r}')
            else:
                whole = reply.status != 200 or reply.data == body
                named = reply.headers.get('Ringseam-Outcome')
                self.outcomes.append(named if whole else 'mixed')


def reaches(system, entry, server):
    """Post at an entry and return whether a server ran a stage of it."""
    before = len(system.executions(server))
    served = system.post('two', entry=entry).status == 200
    return served and len(system.executions(server)) > before


def test_drain_by_file_with_an_entry_cut_off(whole_system, part_file):
    whole_system.layout.add_server('second', pool='demo/readers')
    whole_system.start('second', 'second-server')
    whole_system.await_agents(3)
    # Each entry hears by itself that the second server serves.
    for entry in ('entry', 'other'):
        eventually(
            functools.partial(reaches, whole_system, entry, 'second'),
            what=f'work at the second server from {entry}',
        )
    whole_system.cut('entry', *CONTROL)
    with Load(whole_system) as load:
        drained = part_file.replace(
            '[pool readers]',
            '[pool readers]\ndrain = reader',
        )
        whole_system.apply(drained, expect=1)
        time.sleep(NOTHING_NEW_S)
        before = len(whole_system.executions('reader'))
        time.sleep(1)
        after = len(whole_system.executions('reader'))
    assert after == before
    assert set(load.outcomes) == {'completed'}


@pytest.mark.parametrize('name', ['entry', 'reader', 'leader'])
def test_planned_stop_cuts_nothing(whole_system, name):
    whole_system.layout.add_server('second', pool='demo/readers')
    whole_system.start('second', 'second-server')
    whole_system.await_agents(3)
    time.sleep(0.5)
    victim = whole_system.leader() if name == 'leader' else name
    whole_system.faults('reader', latency_ms=100)
    whole_system.faults('second', latency_ms=100)
    with Load(whole_system) as load:
        time.sleep(1)
        whole_system.send(victim, signal.SIGTERM)
        time.sleep(0.1)
        assert whole_system.stop(victim) == 0
        time.sleep(1)
    assert set(load.outcomes) == {'completed'}
    assert len(load.outcomes) > 20


def test_leader_stops_under_claims(whole_system):
    with Load(whole_system, pipeline='signal', keyed=True) as load:
        time.sleep(1)
        assert whole_system.stop(whole_system.leader()) == 0
        time.sleep(2)
    assert 'completed' in load.outcomes
    assert set(load.outcomes) <= {'completed', 'unknown', 'not-run'}
    bodies = [line.split()[1] for line in whole_system.executions('signaller')]
    assert len(bodies) - len(set(bodies)) == 1  # both warm-ups have one body


def test_agent_killed_repeatable_work_is_retried(whole_system):
    whole_system.layout.add_server('second', pool='demo/readers', zone='zone-2')
    whole_system.start('second', 'second-server')
    whole_system.await_agents(3)
    time.sleep(0.5)
    with Load(whole_system) as load:
        time.sleep(0.5)
        whole_system.kill('reader', 'reader-server')
        time.sleep(2)
    assert set(load.outcomes) == {'completed'}


def test_directory_lost_traffic_goes_on(whole_system):
    whole_system.kill(*CONTROL)
    until = time.monotonic() + 5
    with Load(whole_system) as load:
        time.sleep(max(0, until - time.monotonic()))
    assert set(load.outcomes) == {'completed'}


def test_hanging_server_times_out_and_is_left(whole_system):
    whole_system.faults('reader', hang_percent=100)
    began = time.monotonic()
    reply = urllib3.request(
        'POST',
        f'http://{whole_system.layout.processes["entry"].http}/v1/pipelines/two',
        body=b'x',
        headers={'Authorization': 'Bearer caller', 'Ringseam-Timeout-Ms': '700'},
        retries=False,
    )
    assert (reply.status, reply.headers['Ringseam-Outcome']) == (504, 'timed-out')
    assert time.monotonic() - began < 2


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


def test_rejected_requests(whole_system):
    base = f'http://{whole_system.layout.processes["entry"].http}/v1/pipelines'
    for name, headers, pipeline, status in REJECTED:
        reply = urllib3.request(
            'POST', f'{base}/{pipeline}', body=b'x', headers=headers, retries=False
        )
        assert reply.status == status, name
        assert reply.headers['Ringseam-Outcome'] == 'rejected', name


def test_random_bytes_on_every_port(whole_system):
    dice = random.Random(7)
    planned = whole_system.layout.processes
    ports = [planned[name].address for name in (*CONTROL, 'entry', 'reader')]
    ports += [planned[name].http for name in ('entry', 'reader')]
    slow = []
    for address in ports:
        host, _, port = address.partition(':')
        for size in (1, 100, 10_000, 100_000):
            with socket.create_connection((host, int(port)), timeout=5) as link:
                noise = dice.randbytes(size)
                http2 = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' if dice.random() < 0.5 else b''
                try:
                    link.sendall(http2 + noise)
                except OSError:
                    continue
        sender = socket.create_connection((host, int(port)), timeout=5)
        sender.sendall(b'POST /v1/pipelines/two HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf')
        slow.append(sender)
    oversized = urllib3.request(
        'POST',
        f'http://{planned["entry"].http}/v1/pipelines/two',
        body=bytes(17 * 2**20),
        headers={'Authorization': 'Bearer caller'},
        retries=False,
    )
    assert oversized.status == 413
    assert whole_system.post('two', b'still well').data == b'still well'
    assert all(process.poll() is None for process in whole_system.running.values())
    for sender in slow:
        sender.close()


def test_stranger_without_the_key_is_refused(whole_system):
    whole_system.layout.key_file.write_text('another-key-of-16-bytes-or-more')
    assert whole_system.statuses() == {}
    eventually(
        lambda: whole_system.events('control-1', 'stranger_refused'),
        what='the refusal in the log',
    )
