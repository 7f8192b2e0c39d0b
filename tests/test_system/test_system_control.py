"""Control and configuration under failure, with real processes and signals."""

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
    """Return a system of three control hosts with revision 1 accepted."""
    system.layout.add_control(3, snapshot_entries=200)
    system.start()
    assert system.apply(part_file, expect=0).revision == 1
    eventually(
        lambda: [status.revision for status in system.statuses().values()] == [1, 1, 1],
        what='revision 1 at all three',
    )
    return system


def voters(system):
    """Return the voters' ``address/disk`` as the leader sees them."""
    for status in system.statuses().values():
        if status.role == 'leader':
            return sorted(
                member.removesuffix('/voter')
                for member in status.members
                if member.endswith('/voter')
            )
    return []


def await_repair(system, before):
    """Wait until three voters stand again, one of them new."""
    eventually(
        lambda: len(now := voters(system)) == 3 and now != before,
        what='the repair',
    )


def lose_folder(system, name):
    system.kill(name)
    shutil.rmtree(system.layout.processes[name].data_dir)
    system.start(name)


def test_racing_operators_one_wins(control, part_file):
    texts = [f'{part_file}\n# operator {number}\n' for number in range(4)]
    with ThreadPoolExecutor(4) as pool:
        replies = list(pool.map(lambda text: control.apply(text, expect=1), texts))
    accepted = [reply for reply in replies if isinstance(reply, ApplyAccepted)]
    conflicts = [reply for reply in replies if isinstance(reply, ApplyConflict)]
    assert [reply.revision for reply in accepted] == [2]
    assert [reply.revision for reply in conflicts] == [2, 2, 2]


def test_resend_after_restart_and_newer_versions(control, part_file):
    second = f'{part_file}\n# second\n'
    first_answer = control.apply(second, expect=1)
    control.apply(f'{part_file}\n# third\n', expect=2)
    control.kill(*CONTROL)
    control.start(*CONTROL)
    again = control.apply(second, expect=1)
    assert (again.revision, again.resent, again.newest) == (first_answer.revision, True, 3)
    # A host that has just started applies what is committed once it hears the leader.
    eventually(
        lambda: [status.parts.get('demo') for status in control.statuses().values()] == [3] * 3,
        what='the newest revision at all three',
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


def test_frozen_leader_wakes(control, part_file):
    frozen = control.leader()
    control.send(frozen, signal.SIGSTOP)
    assert control.apply(f'{part_file}\n# while frozen\n', expect=1, timeout_s=20).revision == 2
    control.send(frozen, signal.SIGCONT)
    eventually(
        lambda: (
            control.statuses()[frozen].role == 'follower'
            and control.statuses()[frozen].revision == 2
        ),
        what='the woken leader to follow',
    )


def test_silent_cut_of_a_replica(control, part_file):
    leader = control.leader()
    cut = next(name for name in CONTROL if name != leader)
    control.cut(cut, *(name for name in CONTROL if name != cut))
    term = control.statuses()[leader].term
    for number in range(1, 6):
        control.apply(f'{part_file}\n# {number}\n', expect=number)
    time.sleep(2)  # the cut lasts several election timeouts
    stale = control.statuses()[cut]
    assert (stale.role != 'leader', stale.revision) == (True, 1)
    control.heal()
    eventually(lambda: control.statuses()[cut].revision == 6, what='catching up')
    after = control.statuses()[leader]
    assert (after.role, after.term) == ('leader', term)


def test_lost_folder_repaired_then_second_lost(control, part_file):
    for number in range(1, 4):
        control.apply(f'{part_file}\n# {number}\n', expect=number)
    for victim in ('control-1', 'control-2'):
        before = voters(control)
        lose_folder(control, victim)
        await_repair(control, before)
    assert control.apply(f'{part_file}\n# after\n', expect=4).revision == 5


def test_two_lost_folders_form_no_group_and_traffic_goes_on(whole_system):
    for victim in ('control-1', 'control-2'):
        whole_system.kill(victim)
        shutil.rmtree(whole_system.layout.processes[victim].data_dir)
    whole_system.start('control-1', 'control-2')
    until = time.monotonic() + 4
    while time.monotonic() < until:
        assert whole_system.post('two', b'still').status == 200
    roles = {status.role for status in whole_system.statuses().values()}
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


def test_applied_is_in_force_everywhere(whole_system, part_file):
    began = time.monotonic()
    whole_system.apply(f'{part_file}\n# newer\n', expect=1)

    def in_force():
        return all(
            status.revision == 2
            and all(process.revision == 2 for process in status.processes)
            and all(state.revision == 2 for state in status.agents)
            for status in whole_system.statuses().values()
        )

    eventually(in_force, within_s=10, what='revision 2 everywhere')
    assert time.monotonic() - began < 10


def test_entry_cut_off_from_control_learns_from_agents(whole_system, part_file):
    whole_system.cut('entry', *CONTROL)
    whole_system.apply(f'{part_file}\n# newer\n', expect=1)
    until = time.monotonic() + 10
    while time.monotonic() < until:
        whole_system.post('two', b'x')
        if any(row['revision'] == 2 for row in whole_system.events('entry', 'in_force')):
            return
        time.sleep(0.05)
    raise AssertionError('the entry did not learn of revision 2 through the agents')


def test_starting_entry_that_reaches_only_a_stale_replica(whole_system, part_file):
    leader = whole_system.leader()
    stale = next(name for name in CONTROL if name != leader)
    others = [name for name in CONTROL if name != stale]
    whole_system.cut(stale, *others, *('reader', 'signaller'), both=False)
    for other in others:
        address = whole_system.layout.processes[stale].address
        (whole_system.layout.folder / f'{other}.drill').write_text(address)
    whole_system.apply(f'{part_file}\n# newer\n', expect=1)
    whole_system.kill('other')
    whole_system.cut('other', *others, both=False)
    whole_system.start('other')
    eventually(
        lambda: len(whole_system.events('other', 'first_revision')) == 2,
        what='the first revision of the second start',
    )
    assert whole_system.events('other', 'first_revision')[-1]['revision'] == 1
    whole_system.heal()
    eventually(
        lambda: whole_system.events('other', 'in_force')[-1]['revision'] == 2,
        what='revision 2 once it is seen',
    )


@pytest.mark.parametrize('seed', range(2))
def test_everything_down_at_night_comes_back(whole_system, seed, part_file):
    import random

    order = list(whole_system.layout.processes)
    first = whole_system.post('signal', b'reject 9', key='night')
    whole_system.apply(f'{part_file}\n# before the night\n', expect=1)
    whole_system.kill(*order)
    random.Random(seed).shuffle(order)
    whole_system.start(*order)
    whole_system.await_ready()
    assert whole_system.post_whole('two', b'morning').data == b'morning'
    again = eventually(
        lambda: (
            (reply := whole_system.post('signal', b'reject 9', key='night')).status == 200 and reply
        ),
        what='the recorded answer',
    )
    assert again.data == first.data
    assert len(whole_system.executions('signaller', '.demo/reject')) == 3
    assert {status.parts['demo'] for status in whole_system.statuses().values()} == {2}


def test_drained_zone_outlives_the_kill_of_all_hosts(control):
    """By the commands of operators, also twice."""
    planned = control.layout.processes
    where = [
        '--control',
        ','.join(planned[name].address for name in CONTROL),
        '--key-file',
        str(control.layout.key_file),
    ]

    def run(*command):
        done = CliRunner().invoke(app, [*command, *where, '--json'])
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
