"""Control hosts and configuration changes under failure, with real processes."""

from __future__ import annotations

import importlib
import json
import shutil
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from typer.testing import CliRunner

from ringseam.cmd.main import app
from ringseam.messages import ApplyAccepted, ApplyConflict
from tests.processes import eventually

pytestmark = pytest.mark.processes

for module in ('operate', 'zones'):
    importlib.import_module(f'ringseam.cmd.{module}')
CONTROL = ('control-1', 'control-2', 'control-3')


@pytest.fixture
def control(system, part_file):
    """Start three control hosts and apply revision 1."""
    system.layout.add_control(3, snapshot_entries=200)
    system.start()
    assert system.apply(part_file, expect=0).revision == 1
    eventually(
        lambda: [status.revision for status in system.statuses().values()] == [1, 1, 1],
        what='revision 1 on all three control hosts',
    )
    return system


def voters(system):
    """Return the ``address/disk`` of each voter as the leader reports them."""
    for status in system.statuses().values():
        if status.role == 'leader':
            return sorted(
                member.removesuffix('/voter')
                for member in status.members
                if member.endswith('/voter')
            )
    return []


def wait_for_repair(system, before):
    """Wait until the group has three voters again, one of them new."""
    eventually(
        lambda: len(now := voters(system)) == 3 and now != before,
        what='the replacement of the lost voter',
    )


def restart_without_data(system, name):
    system.kill(name)
    shutil.rmtree(system.layout.processes[name].data_dir)
    system.start(name)


def test_concurrent_applies_accept_exactly_one(control, part_file):
    texts = [f'{part_file}\n# operator {number}\n' for number in range(4)]
    with ThreadPoolExecutor(4) as pool:
        replies = list(pool.map(lambda text: control.apply(text, expect=1), texts))
    accepted = [reply for reply in replies if isinstance(reply, ApplyAccepted)]
    conflicts = [reply for reply in replies if isinstance(reply, ApplyConflict)]
    assert [reply.revision for reply in accepted] == [2]
    assert [reply.revision for reply in conflicts] == [2, 2, 2]


def test_resend_after_restart_and_newer_versions(control, part_file):
    second = f'{part_file}\n# second\n'
    first_reply = control.apply(second, expect=1)
    control.apply(f'{part_file}\n# third\n', expect=2)
    control.kill(*CONTROL)
    control.start(*CONTROL)
    again = control.apply(second, expect=1)
    assert (again.revision, again.resent, again.newest) == (first_reply.revision, True, 3)
    # A restarted host applies committed entries once the leader has contacted it.
    eventually(
        lambda: [status.parts.get('demo') for status in control.statuses().values()] == [3] * 3,
        what='the newest revision on all three control hosts',
    )


def test_leader_killed_with_applies_in_flight(control, part_file):
    leader = control.leader()
    with ThreadPoolExecutor(2) as pool:
        pending = pool.submit(control.apply, f'{part_file}\n# a\n', expect=1)
        control.kill(leader)
        reply = pending.result()
    assert reply.revision == 2
    control.start(leader)
    assert control.apply(f'{part_file}\n# b\n', expect=2).revision == 3


def test_resumed_leader_becomes_follower(control, part_file):
    paused = control.leader()
    control.send_signal(paused, signal.SIGSTOP)
    assert control.apply(f'{part_file}\n# while frozen\n', expect=1, timeout_s=20).revision == 2
    control.send_signal(paused, signal.SIGCONT)
    eventually(
        lambda: (
            control.statuses()[paused].role == 'follower'
            and control.statuses()[paused].revision == 2
        ),
        what='the resumed leader to become a follower',
    )


def test_silently_partitioned_replica_catches_up(control, part_file):
    leader = control.leader()
    isolated = next(name for name in CONTROL if name != leader)
    control.partition(isolated, *(name for name in CONTROL if name != isolated))
    term = control.statuses()[leader].term
    for number in range(1, 6):
        control.apply(f'{part_file}\n# {number}\n', expect=number)
    time.sleep(2)  # the partition lasts several election timeouts
    stale = control.statuses()[isolated]
    assert (stale.role != 'leader', stale.revision) == (True, 1)
    control.heal()
    eventually(lambda: control.statuses()[isolated].revision == 6, what='the replica to catch up')
    after = control.statuses()[leader]
    assert (after.role, after.term) == ('leader', term)


def test_group_recovers_from_successive_lost_folders(control, part_file):
    for number in range(1, 4):
        control.apply(f'{part_file}\n# {number}\n', expect=number)
    for victim in ('control-1', 'control-2'):
        before = voters(control)
        restart_without_data(control, victim)
        wait_for_repair(control, before)
    assert control.apply(f'{part_file}\n# after\n', expect=4).revision == 5


def test_two_lost_folders_form_no_group_and_traffic_continues(running_system):
    for victim in ('control-1', 'control-2'):
        running_system.kill(victim)
        shutil.rmtree(running_system.layout.processes[victim].data_dir)
    running_system.start('control-1', 'control-2')
    until = time.monotonic() + 4
    while time.monotonic() < until:
        assert running_system.post('two', b'still').status == 200
    roles = {status.role for status in running_system.statuses().values()}
    assert 'leader' not in roles


def test_restart_after_500_changes(control, part_file):
    for number in range(1, 500):
        control.apply(f'{part_file}\n# {number}\n', expect=number)
    control.kill('control-2')
    control.start('control-2')
    eventually(
        lambda: 'control-2' in (seen := control.statuses()) and seen['control-2'].revision == 500,
        what='revision 500',
    )


def test_applied_revision_takes_effect_everywhere(running_system, part_file):
    started = time.monotonic()
    running_system.apply(f'{part_file}\n# newer\n', expect=1)

    def in_force():
        return all(
            status.revision == 2
            and all(process.revision == 2 for process in status.processes)
            and all(state.revision == 2 for state in status.agents)
            for status in running_system.statuses().values()
        )

    eventually(in_force, timeout_s=10, what='revision 2 everywhere')
    assert time.monotonic() - started < 10


def test_entry_partitioned_from_control_updates_through_agents(running_system, part_file):
    running_system.partition('entry', *CONTROL)
    running_system.apply(f'{part_file}\n# newer\n', expect=1)
    until = time.monotonic() + 10
    while time.monotonic() < until:
        running_system.post('two', b'x')
        if any(row['revision'] == 2 for row in running_system.events('entry', 'in_force')):
            return
        time.sleep(0.05)
    raise AssertionError('the entry did not receive revision 2 through the agents')


def test_starting_entry_that_reaches_only_a_stale_replica(running_system, part_file):
    leader = running_system.leader()
    stale = next(name for name in CONTROL if name != leader)
    others = [name for name in CONTROL if name != stale]
    running_system.partition(stale, *others, *('reader', 'signaller'), both=False)
    for other in others:
        address = running_system.layout.processes[stale].address
        (running_system.layout.folder / f'{other}.drill').write_text(address)
    running_system.apply(f'{part_file}\n# newer\n', expect=1)
    running_system.kill('other')
    running_system.partition('other', *others, both=False)
    running_system.start('other')
    eventually(
        lambda: len(running_system.events('other', 'first_revision')) == 2,
        what='the first revision of the second start',
    )
    assert running_system.events('other', 'first_revision')[-1]['revision'] == 1
    running_system.heal()
    eventually(
        lambda: running_system.events('other', 'in_force')[-1]['revision'] == 2,
        what='revision 2 after the partition has healed',
    )


@pytest.mark.parametrize('seed', range(2))
def test_system_recovers_from_restart_in_random_order(running_system, seed, part_file):
    import random

    order = list(running_system.layout.processes)
    first = running_system.post('signal', b'reject 9', key='night')
    running_system.apply(f'{part_file}\n# before the night\n', expect=1)
    running_system.kill(*order)
    random.Random(seed).shuffle(order)
    running_system.start(*order)
    running_system.wait_until_ready()
    assert running_system.post_until_success('two', b'morning').data == b'morning'
    again = eventually(
        lambda: (
            (reply := running_system.post('signal', b'reject 9', key='night')).status == 200
            and reply
        ),
        what='the recorded response',
    )
    assert again.data == first.data
    assert len(running_system.executions('signaller', '.demo/reject')) == 3
    assert {status.parts['demo'] for status in running_system.statuses().values()} == {2}


def test_drained_zone_survives_kill_of_all_control_hosts(control):
    """Drain a zone with the operator commands, twice, and restart all control hosts."""
    processes = control.layout.processes
    connection_options = [
        '--control',
        ','.join(processes[name].address for name in CONTROL),
        '--key-file',
        str(control.layout.key_file),
    ]

    def run(*command):
        done = CliRunner().invoke(app, [*command, *connection_options, '--json'])
        assert done.exit_code == 0, done.output
        return json.loads(done.output)

    for _ in range(2):
        assert run('drain-zone', 'hall a')['names'] == ['hall a']
    for name in CONTROL:
        control.kill(name)
    for name in CONTROL:
        control.start(name)
    found = run('zones')
    assert (found['change'], found['names']) == (1, ['hall a'])
    assert run('restore-zone', 'hall a').get('names', []) == []
