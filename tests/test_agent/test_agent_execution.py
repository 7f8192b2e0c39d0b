"""At most one execution, in whatever order claims, dispatches and tombstones arrive."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringseam.agent.execution import (
    Admitted,
    Answered,
    Attached,
    ExecutionTable,
    execution_key,
)
from ringseam.ledger import ClaimStage, ConcludeStage, Ledger, OpenRun, StageState
from ringseam.messages import (
    Dispatch,
    RefusalReason,
    StageDone,
    StageNotRun,
    StageRunning,
    StageUnknown,
    Ticket,
    Tombstone,
)

RETENTION_S = 10


def dispatch(generation=1, *, sequence=1, incarnation='i', repeatable=False, request='r'):
    return Dispatch(
        request_id=request,
        account='a',
        key='k',
        pipeline='p/p',
        stage='p/s',
        pool='p/pool',
        path='/',
        generation=generation,
        ticket=Ticket(incarnation=incarnation, sequence=sequence),
        time_left_ms=1000,
        priority=1,
        repeatable=repeatable,
        content_type='t',
        body=b'',
    )


def tombstone(generation=1, *, sequence=1, incarnation='i'):
    return Tombstone(
        account='a',
        key='k',
        stage='p/s',
        generation=generation,
        ticket=Ticket(incarnation=incarnation, sequence=sequence),
    )


def done(generation=1):
    return StageDone(
        request_id='r', stage='p/s', generation=generation, content_type='t', body=b'answer'
    )


def empty_table():
    table = ExecutionTable(incarnation='i', retention_s=RETENTION_S)
    table.record_sequence(1, 0)
    return table


def finished_table(reply):
    table = empty_table()
    execution = table.decide(dispatch(), 0).execution
    table.start(execution, 0)
    table.finish(execution, reply, 1)
    return table


def test_unseen_dispatch_is_admitted():
    assert isinstance(empty_table().decide(dispatch(), 0), Admitted)


def test_equal_dispatch_attaches_then_gets_the_same_reply():
    table = empty_table()
    execution = table.decide(dispatch(), 0).execution
    assert isinstance(table.decide(dispatch(), 0), Attached)
    table.start(execution, 0)
    table.finish(execution, done(), 1)
    assert table.decide(dispatch(), 1).reply == done()


REFUSALS = (
    ('other incarnation', empty_table, dispatch(incarnation='j'), RefusalReason.other_incarnation),
    ('old ticket', lambda: aged_table(), dispatch(sequence=1), RefusalReason.stale_ticket),
    ('tombstoned', lambda: tombstoned_table(), dispatch(), RefusalReason.tombstoned),
)


def aged_table():
    table = empty_table()
    for second in range(1, RETENTION_S):
        table.record_sequence(second + 1, second)
    return table


def tombstoned_table():
    table = empty_table()
    assert isinstance(table.tombstone(tombstone(), 0), StageNotRun)
    return table


@pytest.mark.parametrize(
    ('make', 'submitted', 'reason'),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refusals(make, submitted, reason):
    decision = make().decide(submitted, RETENTION_S)
    assert isinstance(decision, Answered)
    assert decision.reply.reason is reason


TOMBSTONE_REPLIES = (
    ('running', lambda: running_table(), StageRunning),
    ('done', lambda: finished_table(done()), StageDone),
    (
        'not run',
        lambda: finished_table(StageNotRun(reason=RefusalReason.declared_not_run)),
        StageNotRun,
    ),
    ('unknown', lambda: finished_table(StageUnknown(detail='')), StageUnknown),
    ('forgotten', lambda: expired_table(), StageUnknown),
)


def running_table():
    table = empty_table()
    table.start(table.decide(dispatch(), 0).execution, 0)
    return table


def expired_table():
    table = finished_table(done())
    for second in range(1, 3 * RETENTION_S):
        table.record_sequence(second + 1, second)
        table.expire(second)
    assert not table.executions
    return table


@pytest.mark.parametrize(
    ('make', 'reply'),
    [case[1:] for case in TOMBSTONE_REPLIES],
    ids=[case[0] for case in TOMBSTONE_REPLIES],
)
def test_tombstone_reply_by_execution_state(make, reply):
    assert isinstance(make().tombstone(tombstone(), 3 * RETENTION_S), reply)


def test_late_duplicate_of_a_finished_execution_gets_its_reply():
    table = finished_table(done())
    for second in range(1, RETENTION_S):
        table.record_sequence(second + 1, second)
    assert table.decide(dispatch(), RETENTION_S).reply == done()


def test_newer_generation_of_a_finished_execution_is_not_rerun():
    decision = finished_table(done()).decide(dispatch(generation=2), 2)
    assert decision.reply == done(generation=2)


def test_old_generation_is_refused_after_a_newer():
    table = tombstoned_table()
    assert isinstance(table.decide(dispatch(generation=2), 1), Admitted)
    assert table.decide(dispatch(generation=1), 1).reply.reason is RefusalReason.old_generation


class LedgerAndAgents:
    """A ledger and two restarting agents that exchange messages in any order."""

    def __init__(self):
        self.now = 0.0
        self.ledger = Ledger()
        self.ledger.open(
            OpenRun(account='a', key='k', digest=b'', pipeline='p', now_ms=0, retention_ms=10**9),
        )
        self.starts = 0
        self.sequence = 1
        self.restarts = 0
        self.tables = [self.new_table(agent) for agent in range(2)]
        self.in_transit = []
        self.queued = []
        self.running = []
        self.concluded_not_run = set()

    def new_table(self, agent):
        table = ExecutionTable(incarnation=f'{agent}-{self.restarts}', retention_s=RETENTION_S)
        table.record_sequence(self.sequence, self.now)
        return table

    def claim(self, agent):
        table = self.tables[agent]
        claim_reply = self.ledger.claim(
            ClaimStage(
                account='a',
                key='k',
                stage='p/s',
                request_id=f'r{len(self.in_transit)}-{self.now}',
                agent=str(agent),
                incarnation=table.incarnation,
                sequence=self.sequence,
            ),
        )
        record = claim_reply.record
        if claim_reply.granted:
            self.in_transit.append(
                dispatch(
                    record.generation,
                    sequence=record.sequence,
                    incarnation=record.incarnation,
                ),
            )
        elif record.state is StageState.claimed:
            self.tombstone_claim(record)

    def tombstone_claim(self, record):
        table = self.tables[int(record.agent)]
        reply = table.tombstone(
            tombstone(record.generation, sequence=record.sequence, incarnation=record.incarnation),
            self.now,
        )
        if isinstance(reply, StageNotRun):
            restarted = reply.reason is RefusalReason.other_incarnation
            self.conclude(
                record.generation, StageState.unknown if restarted else StageState.not_run
            )
        elif isinstance(reply, StageDone):
            self.conclude(record.generation, StageState.completed)
        elif isinstance(reply, StageUnknown):
            self.conclude(record.generation, StageState.unknown)

    def conclude(self, generation, state):
        self.ledger.conclude(
            ConcludeStage(account='a', key='k', stage='p/s', generation=generation, state=state),
        )
        if state is StageState.not_run:
            self.concluded_not_run.add(generation)

    def deliver(self, choice):
        """Deliver a dispatch in transit, which may have been delivered before."""
        if not self.in_transit:
            return
        arriving = self.in_transit[choice % len(self.in_transit)]
        for table in self.tables:
            decision = table.decide(arriving, self.now)
            if isinstance(decision, Admitted):
                self.queued.append((table, decision.execution))
            elif is_refusal(decision):
                self.conclude(arriving.generation, StageState.not_run)

    def start(self, choice):
        if self.queued:
            table, execution = self.queued.pop(choice % len(self.queued))
            if table in self.tables and table.start(execution, self.now):
                assert execution.generation not in self.concluded_not_run
                self.starts += 1
                self.running.append((table, execution))

    def end(self, choice):
        if self.running:
            table, execution = self.running.pop(choice % len(self.running))
            table.finish(execution, done(execution.generation), self.now)

    def restart(self, choice):
        self.restarts += 1
        self.tables[choice % 2] = self.new_table(choice % 2)

    def wait(self, seconds):
        self.now += seconds
        self.sequence += 1
        for table in self.tables:
            table.record_sequence(self.sequence, self.now)
            table.expire(self.now)


def is_refusal(decision):
    if not isinstance(decision, Answered) or not isinstance(decision.reply, StageNotRun):
        return False
    return decision.reply.reason is not RefusalReason.other_incarnation


ACTIONS = ('claim', 'deliver', 'start', 'end', 'restart', 'wait')


@settings(max_examples=2000)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7)), max_size=60))
def test_at_most_one_start(actions):
    model = LedgerAndAgents()
    for action, choice in actions:
        getattr(model, action)(choice % 2 if action == 'claim' else choice)
        assert model.starts <= 1


def test_keys_tell_repeatable_requests_apart():
    assert execution_key(dispatch(repeatable=True, request='x')).scope == 'x'
    assert execution_key(dispatch(request='x')).scope == 'k'
