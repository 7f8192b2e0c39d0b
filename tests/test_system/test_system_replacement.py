"""Planned replacement of control hosts, with real processes.

Failure: the group counted the vote of a host that had ended as planned until it had been
silent for seconds, and the loss of as many disks as it tolerates then ended it for good.
"""

from __future__ import annotations

import json
import shutil
import socket

import pytest
import urllib3

from tests.processes import eventually

pytestmark = pytest.mark.processes

HOSTS = 5
SPARE = f'control-{HOSTS + 1}'


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.3.1', 0))
        return probe.getsockname()[1]


@pytest.fixture
def group(system):
    """Start a group that tolerates two losses; a sixth host is planned."""
    cluster, http = free_port(), free_port()
    seeds = ', '.join(f'127.0.3.{number}:{http}' for number in (1, 2, 3))
    for number in range(1, HOSTS + 2):
        system.layout.add(
            'control',
            f'control-{number}',
            address=f'127.0.3.{number}:{cluster}',
            data_dir=str(system.layout.folder / f'control-{number}'),
            http=f'127.0.3.{number}:{http}',
            seeds=seeds,
            cluster_ports=f'{cluster}, {cluster}',
            may_found=number <= HOSTS,
            tolerated_losses=2,
            heartbeat_ms=150,
            election_ms=600,
        )
    system.start(*(f'control-{number}' for number in range(1, HOSTS + 1)))
    return system


def put_document(system, number, names):
    body = json.dumps({'version': number, 'routes': [], 'services': []}).encode()
    eventually(
        lambda: any(call(system, name, 'PUT', body).status == 200 for name in names),
        what=f'the acknowledgement of document {number}',
    )


def read_version(system, names):
    """Return the newest version that any host returns; 0: none."""
    replies = [call(system, name, 'GET') for name in names]
    versions = [json.loads(reply.data)['version'] for reply in replies if reply.status == 200]
    return max(versions, default=0)


def call(system, name, method, body=None):
    address = system.layout.processes[name].http
    try:
        return urllib3.request(
            method, f'http://{address}/api/config', body=body, retries=False, timeout=2
        )
    except urllib3.exceptions.HTTPError:
        return urllib3.HTTPResponse(status=0)


def has_joined(system, name):
    address = system.layout.processes[name].address
    changes = [
        event['members']
        for number in range(1, HOSTS + 1)
        for event in system.events(f'control-{number}', 'member_changed')
    ]
    return any(member.startswith(f'{address}/') for members in changes for member in members)


# Guards against a group that is lost when disks are lost right after a planned replacement.
@pytest.mark.parametrize('replaced', ['control-1', 'control-5'])
def test_disks_that_are_lost_right_after_a_planned_replacement_end_no_group(group, replaced):
    names = [f'control-{number}' for number in range(1, HOSTS + 1)]
    put_document(group, 1, names)
    group.start(SPARE)
    eventually(lambda: has_joined(group, SPARE), what='the sixth host as a learner')
    put_document(group, 2, names)
    assert group.stop(replaced, timeout_s=8) == 0
    names = [name for name in [*names, SPARE] if name != replaced]
    put_document(group, 3, names)
    group.kill(*names[1:3])
    for name in names[1:3]:
        shutil.rmtree(group.layout.processes[name].data_dir)
    group.start(*names[1:3])
    eventually(lambda: read_version(group, names) == 3, timeout_s=15, what='document 3')
