"""At most once, whatever order claims, dispatches and tombstones come in."""

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

MEMORY_S = 10


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


def fresh_table():
    table = ExecutionTable(incarnation='i', memory_s=MEMORY_S)
    table.note_sequence(1, 0)
    return table


def ended_table(reply):
    table = fresh_table()
    execution = table.offer(dispatch(), 0).execution
    table.start(execution, 0)
    table.end(execution, reply, 1)
    return table


def test_unseen_dispatch_is_admitted():
    assert isinstance(fresh_table().offer(dispatch(), 0), Admitted)


def test_equal_dispatch_attaches_then_gets_the_same_reply():
    table = fresh_table()
    execution = table.offer(dispatch(), 0).execution
    assert isinstance(table.offer(dispatch(), 0), Attached)
    table.start(execution, 0)
    table.end(execution, done(), 1)
    assert table.offer(dispatch(), 1).reply == done()


REFUSALS = (
    ('other incarnation', fresh_table, dispatch(incarnation='j'), RefusalReason.incarnation),
    ('old ticket', lambda: aged_table(), dispatch(sequence=1), RefusalReason.stale_ticket),
    ('tombstoned', lambda: tombstoned_table(), dispatch(), RefusalReason.tombstoned),
)


def aged_table():
    table = fresh_table()
    for second in range(1, MEMORY_S):
        table.note_sequence(second + 1, second)
    return table


def tombstoned_table():
    table = fresh_table()
    assert isinstance(table.tombstone(tombstone(), 0), StageNotRun)
    return table


@pytest.mark.parametrize(
    ('make', 'offered', 'reason'),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refusals(make, offered, reason):
    decision = make().offer(offered, MEMORY_S)
    assert isinstance(decision, Answered)
    assert decision.reply.reason is reason


STANDINGS = (
    ('running', lambda: running_table(), StageRunning),
    ('done', lambda: ended_table(done()), StageDone),
    ('not run', lambda: ended_table(StageNotRun(reason=RefusalReason.declared)), StageNotRun),
    ('unknown', lambda: ended_table(StageUnknown(detail='')), StageUnknown),
    ('forgotten', lambda: forgotten_table(), StageUnknown),
)


def running_table():
    table = fresh_table()
    table.start(table.offer(dispatch(), 0).execution, 0)
    return table


def forgotten_table():
    table = ended_table(done())
    for second in range(1, 3 * MEMORY_S):
        table.note_sequence(second + 1, second)
        table.forget(second)
    assert not table.rows
    return table


@pytest.mark.parametrize(
    ('make', 'reply'),
    [case[1:] for case in STANDINGS],
    ids=[case[0] for case in STANDINGS],
)
def test_tombstone_tells_how_it_stands(make, reply):
    assert isinstance(make().tombstone(tombstone(), 3 * MEMORY_S), reply)


def test_late_duplicate_of_what_ran_is_not_called_not_run():
    table = ended_table(done())
    for second in range(1, MEMORY_S):
        table.note_sequence(second + 1, second)
    assert table.offer(dispatch(), MEMORY_S).reply == done()


def test_newer_generation_of_what_ran_is_not_rerun():
    decision = ended_table(done()).offer(dispatch(generation=2), 2)
    assert decision.reply == done(generation=2)


def test_old_generation_is_refused_after_a_newer():
    table = tombstoned_table()
    assert isinstance(table.offer(dispatch(generation=2), 1), Admitted)
    assert table.offer(dispatch(generation=1), 1).reply.reason is RefusalReason.old_generation


class World:
    """One ledger, two agents that restart, and messages in any order."""

    def __init__(self):
        self.now = 0.0
        self.ledger = Ledger()
        self.ledger.open(
            OpenRun(account='a', key='k', digest=b'', pipeline='p', now_ms=0, retention_ms=10**9),
        )
        self.starts = 0
        self.sequence = 1
        self.restarts = 0
        self.tables = [self.new_table(place) for place in range(2)]
        self.in_transit = []
        self.queued = []
        self.running = []
        self.told_not_run = set()

    def new_table(self, place):
        table = ExecutionTable(incarnation=f'{place}-{self.restarts}', memory_s=MEMORY_S)
        table.note_sequence(self.sequence, self.now)
        return table

    def claim(self, place):
        table = self.tables[place]
        standing = self.ledger.claim(
            ClaimStage(
                account='a',
                key='k',
                stage='p/s',
                request_id=f'r{len(self.in_transit)}-{self.now}',
                agent=str(place),
                incarnation=table.incarnation,
                sequence=self.sequence,
            ),
        )
        record = standing.record
        if standing.granted:
            self.in_transit.append(
                dispatch(
                    record.generation,
                    sequence=record.sequence,
                    incarnation=record.incarnation,
                ),
            )
        elif record.state is StageState.claimed:
            self.settle(record)

    def settle(self, record):
        table = self.tables[int(record.agent)]
        reply = table.tombstone(
            tombstone(record.generation, sequence=record.sequence, incarnation=record.incarnation),
            self.now,
        )
        if isinstance(reply, StageNotRun):
            gone = reply.reason is RefusalReason.incarnation
            self.conclude(record.generation, StageState.unknown if gone else StageState.not_run)
        elif isinstance(reply, StageDone):
            self.conclude(record.generation, StageState.completed)
        elif isinstance(reply, StageUnknown):
            self.conclude(record.generation, StageState.unknown)

    def conclude(self, generation, state):
        self.ledger.conclude(
            ConcludeStage(account='a', key='k', stage='p/s', generation=generation, state=state),
        )
        if state is StageState.not_run:
            self.told_not_run.add(generation)

    def deliver(self, place):
        """Deliver any dispatch in transit, also once more."""
        if not self.in_transit:
            return
        arriving = self.in_transit[place % len(self.in_transit)]
        for table in self.tables:
            decision = table.offer(arriving, self.now)
            if isinstance(decision, Admitted):
                self.queued.append((table, decision.execution))
            elif is_refusal(decision):
                self.conclude(arriving.generation, StageState.not_run)

    def start(self, place):
        if self.queued:
            table, execution = self.queued.pop(place % len(self.queued))
            if table in self.tables and table.start(execution, self.now):
                assert execution.generation not in self.told_not_run
                self.starts += 1
                self.running.append((table, execution))

    def end(self, place):
        if self.running:
            table, execution = self.running.pop(place % len(self.running))
            table.end(execution, done(execution.generation), self.now)

    def restart(self, place):
        self.restarts += 1
        self.tables[place % 2] = self.new_table(place % 2)

    def wait(self, place):
        self.now += place
        self.sequence += 1
        for table in self.tables:
            table.note_sequence(self.sequence, self.now)
            table.forget(self.now)


def is_refusal(decision):
    if not isinstance(decision, Answered) or not isinstance(decision.reply, StageNotRun):
        return False
    return decision.reply.reason is not RefusalReason.incarnation


ACTIONS = ('claim', 'deliver', 'start', 'end', 'restart', 'wait')


@settings(max_examples=2000)
@given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 7)), max_size=60))
def test_at_most_one_start(actions):
    world = World()
    for action, place in actions:
        getattr(world, action)(place % 2 if action == 'claim' else place)
        assert world.starts <= 1


def test_keys_tell_repeatable_requests_apart():
    assert execution_key(dispatch(repeatable=True, request='x')).scope == 'x'
    assert execution_key(dispatch(request='x')).scope == 'k'
