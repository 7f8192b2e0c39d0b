"""Break each safety rule in turn and see which test notices.

``python -m bench.mutations [--only NAME]`` works on a copy of the tree and
prints a row per rule. A rule that no named test notices is printed MISSED.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
CONTROL = 'tests/test_control/test_control_replica.py'
EXECUTION = 'tests/test_agent/test_agent_execution.py'
LEDGER = 'tests/test_ledger/test_ledger_differential.py'
GUARD = 'tests/test_gateway/test_following/test_following_guard.py'
QUARANTINE = 'tests/test_quarantine.py'
ORDERS = 'tests/test_control/test_control_zonedraining.py'
ZONES = 'tests/test_gateway/test_following/test_following_zones.py'
COLDNESS = 'tests/test_gateway/test_following/test_following_coldservers.py'
REGIONS = 'tests/test_gateway/test_requests/test_requests_regions.py'


@dataclass(frozen=True)
class Mutation:
    """One broken rule: replace ``old`` by ``new`` in ``path``."""

    name: str
    path: str
    old: str
    new: str
    tests: str


MUTATIONS = (
    Mutation(
        'servers of drained zones get work',
        'ringseam/backends.py',
        ' and report.zone not in self.drained.names',
        '',
        ZONES,
    ),
    Mutation(
        'gateways take older orders for zones',
        'ringseam/backends.py',
        'if zones.change <= self.drained.change:',
        'if zones.change == self.drained.change:',
        ORDERS,
    ),
    Mutation(
        'orders for zones are acknowledged before gateways obey them',
        'ringseam/control/zonedraining.py',
        'await follow_service.wait(lambda: self._is_confirmed(outcome.change), CONFIRM_TIMEOUT_S)',
        'await asyncio.sleep(0)',
        ORDERS,
    ),
    Mutation(
        'orders whose sender has given up are taken',
        'ringseam/control/openinterface.py',
        'await asyncio.sleep(_DISCONNECT_GRACE_S)',
        'await asyncio.sleep(0)',
        ORDERS,
    ),
    Mutation(
        'requests to a cold server are not spaced',
        'ringseam/gateway/following/pacing.py',
        'self.last_send_at[instance] = max(at, self.last_send_at.get(instance, at))',
        'pass',
        COLDNESS,
    ),
    Mutation(
        'servers of a restored zone count as warm',
        'ringseam/gateway/following/follower.py',
        'self._mark_zones_cold(restored)',
        'pass',
        COLDNESS,
    ),
    Mutation(
        'pieces are made in any region',
        'ringseam/gateway/stages/batching.py',
        'if piece.job.may_run_in(server.zone)',
        'if True',
        REGIONS,
    ),
    Mutation(
        'commit counts entries that are not synced',
        'ringseam/control/storage.py',
        '        self.files.sync(self.segment)\n',
        '        pass\n',
        CONTROL,
    ),
    Mutation(
        'leader serves reads without asking a quorum',
        'ringseam/control/raftreplication.py',
        'self.reads[0].round_number <= quorum_index',
        'self.reads[0].round_number <= self.read_round',
        CONTROL,
    ),
    Mutation(
        'no check of the quorum by the leader',
        'ringseam/control/raft.py',
        'if reachable < self.membership.quorum:',
        'if reachable < 0:',
        CONTROL,
    ),
    Mutation(
        'no pre-vote',
        'ringseam/control/raft.py',
        'self._campaign(now, pre=True)',
        'self._campaign(now, pre=False)',
        CONTROL,
    ),
    Mutation(
        'votes for a shorter log',
        'ringseam/control/raft.py',
        'granted = (request.last_term, request.last_index) >= current',
        'granted = bool(current)',
        CONTROL,
    ),
    Mutation(
        'blank folders are never taken in',
        'ringseam/control/membership.py',
        'if now - non_member.last_seen <= _NON_MEMBER_TTL_S and membership.find(disk) is None',
        'if False',
        CONTROL,
    ),
    Mutation(
        'a lost disk is replaced before the learner caught up',
        'ringseam/control/membership.py',
        'return progress.match >= raft.log.snapshot.index',
        'return True',
        CONTROL,
    ),
    Mutation(
        'a failed sync is tried again',
        'ringseam/control/storage.py',
        'self.failed = True',
        'self.failed = False',
        CONTROL,
    ),
    Mutation(
        'damage in the middle is cut like a torn tail',
        'ringseam/control/storage.py',
        'if bad_offset is not None and (not last or _has_valid_record_after(raw, bad_offset)):',
        'if bad_offset is not None and not last:',
        CONTROL,
    ),
    Mutation(
        'equal expectations are not compared',
        'ringseam/control/state.py',
        'if command.expect != current:',
        'if command.expect > current:',
        CONTROL,
    ),
    Mutation(
        'a late duplicate is judged by its ticket first',
        'ringseam/agent/execution.py',
        'if existing is not None and refusal is not RefusalReason.other_incarnation:',
        'if existing is not None and refusal is None:',
        EXECUTION,
    ),
    Mutation(
        'old tickets are taken',
        'ringseam/agent/execution.py',
        'if ticket.sequence < self.oldest_sequence:',
        'if ticket.sequence < 0:',
        EXECUTION,
    ),
    Mutation(
        'a tombstone leaves no row',
        'ringseam/agent/execution.py',
        '        self.executions[key] = Execution(\n            key=key,\n            generation=',
        '        Execution(\n            key=key,\n            generation=',
        EXECUTION,
    ),
    Mutation(
        'what ran may run again under a newer generation',
        'ringseam/agent/execution.py',
        'if existing.repeatable or existing.state is ExecutionState.not_run:',
        'if existing.state is not ExecutionState.running:',
        EXECUTION,
    ),
    Mutation(
        'a forgotten execution counts as never run',
        'ringseam/agent/execution.py',
        'if existing is None and refusal is not None:',
        'if existing is None and refusal is None and self.executions is None:',
        EXECUTION,
    ),
    Mutation(
        'a claim that may have run is granted again',
        'ringseam/ledger.py',
        'if current is not None and current.state is not StageState.not_run:',
        'if current is not None and current.state is StageState.claimed:',
        LEDGER,
    ),
    Mutation(
        'any generation can be concluded',
        'ringseam/ledger.py',
        'if current is None or current.generation != command.generation:',
        'if current is None:',
        LEDGER,
    ),
    Mutation(
        'the last recorded answer wins',
        'ringseam/ledger.py',
        'if current is None:\n            current = StageRecord(\n                generation=0,',
        'if True:\n            current = StageRecord(\n                generation=0,',
        LEDGER,
    ),
    Mutation(
        'an expired key is forgotten at once',
        'ringseam/ledger.py',
        'self.state.expired_keys[expired_key_id(name)] = until',
        'until += 0',
        LEDGER,
    ),
    Mutation(
        'an order leaves although the check is old',
        'ringseam/agent/orders.py',
        'if self.clock.now() - checked_at > MAX_CHECK_AGE_S:',
        'if checked_at < 0:',
        'tests/test_agent/test_agent_orders.py',
    ),
    Mutation(
        'orders are not checked against the log',
        'ringseam/agent/orders.py',
        'if newest != self.token:',
        'if newest < self.token:',
        'tests/test_agent/test_agent_orders.py',
    ),
    Mutation(
        'the log is compacted by entries, never by bytes',
        'ringseam/control/replica.py',
        'return log.bytes_between(first, self.raft.applied_index) >= max_bytes',
        'return False',
        'tests/test_control',
    ),
    Mutation(
        'entries go out again until a follower answers',
        'ringseam/control/raftreplication.py',
        'if progress.probing or next_index > self.log.last_index:',
        'if next_index > self.log.last_index:',
        'tests/test_control',
    ),
    Mutation(
        'a late report of an earlier lifetime counts at gateways',
        'ringseam/backends.py',
        'return known is not None and start_ms_of(instance) < start_ms_of(known)',
        'return False',
        'tests/test_backends',
    ),
    Mutation(
        'a late report of an earlier lifetime counts at the leader',
        'ringseam/control/backenddirectory.py',
        'if report.instance in self.ended or start_ms_of(report.instance) < start_ms_of(current):',
        'if False:',
        'tests/test_control',
    ),
    Mutation(
        'a stage is asked for though its inputs were given up',
        'ringseam/gateway/stages/graph.py',
        'if len(inputs) < sum(map(self.plan.piece_count, stage.after)):',
        'if len(inputs) < 0:',
        'tests/test_gateway/test_stages/test_stages_graph.py',
    ),
    Mutation(
        'a call that nobody waits for goes on at the other process',
        'ringseam/multiplex.py',
        'self.outbox.put(Frame(call_id, FrameKind.cancel))',
        'pass',
        'tests/test_rpc',
    ),
    Mutation(
        'calls outlive the stream that they came by',
        'ringseam/multiplex.py',
        '            for task in self.running.values():\n                task.cancel()\n',
        '',
        'tests/test_rpc',
    ),
    Mutation(
        'a gateway that is behind goes on deciding',
        'ringseam/gateway/following/ownership.py',
        'if not state.busy]',
        ']',
        'tests/test_gateway/test_following',
    ),
    Mutation(
        'a reset counts as the end of a server',
        'ringseam/gateway/following/ends.py',
        '        channel.close()\n        return ProbeResult.listens\n',
        '        channel.close()\n        return ProbeResult.refused\n',
        GUARD,
    ),
    Mutation(
        'a run on trial whose server ended goes on elsewhere',
        'ringseam/gateway/following/guard.py',
        "self.last_crash_at.get(key, float('-inf')) < trial_at",
        'True',
        GUARD,
    ),
    Mutation(
        'an end that the leader has not heard is forgotten',
        'ringseam/gateway/following/ends.py',
        'if not observed.acknowledged and now',
        'if False and now',
        'tests/test_gateway/test_following/test_following_ends.py',
    ),
    Mutation(
        'reports of a replaced lifetime show that it lives',
        'ringseam/control/follow.py',
        'is_alive=is_alive',
        'is_alive=True',
        'tests/test_control/test_control_quarantining.py',
    ),
    Mutation(
        'an explained end counts against others',
        'ringseam/attribution.py',
        'for verdict in self._causes_of(crash_id)\n',
        'for verdict in ()\n',
        QUARANTINE,
    ),
    Mutation(
        'a suspected content runs more than once at a time',
        'ringseam/quarantine.py',
        '        self.trials[suspect.content] = TrialRun(deadline=now + duration_s, keys=keys)\n',
        '        pass\n',
        QUARANTINE,
    ),
    Mutation(
        'pieces are made after a verdict',
        'ringseam/gateway/stages/scheduler.py',
        '            if self._remove_quarantined(state, call):\n',
        '            if call:\n',
        GUARD,
    ),
    Mutation(
        'a planned end blames what was under way',
        'ringseam/control/quarantining.py',
        '        if not planned:\n',
        '        if True:\n',
        'tests/test_control/test_control_quarantining.py',
    ),
    Mutation(
        'a gateway forgets verdicts with its leader',
        'ringseam/gateway/following/follower.py',
        '        if update.epoch != self.epoch and not update.warm:\n',
        '        if False:\n',
        'tests/test_control/test_control_quarantining.py',
    ),
)


def run(mutation, folder):
    """Return the tests that fail under ``mutation``."""
    copy = Path(folder) / 'tree'
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(
        ROOT, copy, ignore=shutil.ignore_patterns('.git', '.venv', '__pycache__', 'out', 'dist')
    )
    target = copy / mutation.path
    text = target.read_text()
    assert mutation.old in text, f'{mutation.name}: the rule is not found'
    target.write_text(text.replace(mutation.old, mutation.new, 1))
    command = [sys.executable, '-m', 'pytest', '-q', '--tb=no', '-p', 'no:cacheprovider']
    done = subprocess.run(
        [*command, mutation.tests],
        cwd=copy,
        env={'PYTHONPATH': str(copy), 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        text=True,
        timeout=300,
    )
    return sorted(
        {
            line.split('::')[1].split('[')[0].split(' ')[0]
            for line in done.stdout.splitlines()
            if line.startswith('FAILED')
        },
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--only', default='')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for mutation in MUTATIONS:
            if options.only in mutation.name:
                failed = run(mutation, folder)
                print(f'{mutation.name}: {", ".join(failed) or "MISSED"}', flush=True)


if __name__ == '__main__':
    main()
