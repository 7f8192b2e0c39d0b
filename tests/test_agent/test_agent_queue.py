"""Order, fairness and counters of the queues, compared with a reference list."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.agent.execution import Execution, ExecutionKey, ExecutionState
from ringseam.agent.queue import FairQueue, Job, StageQueue
from tests.test_agent.test_agent_execution import dispatch


def job(number, account='a', priority=1, deadline=10.0, weight=1, cost_ms=10.0):
    submitted = msgspec.structs.replace(dispatch(), account=account, priority=priority)
    execution = Execution(
        key=ExecutionKey(account, str(number), 's'),
        generation=1,
        repeatable=True,
        state=ExecutionState.queued,
        updated_at=0,
    )
    return Job(
        execution=execution,
        dispatch=submitted,
        deadline=deadline,
        queued_at=0,
        cost_ms=cost_ms,
        weight=weight,
    )


def pop_all(queue):
    jobs = []
    while (taken := queue.pop()) is not None:
        jobs.append(taken)
    return jobs


@pytest.mark.parametrize('kind', sorted(StageQueue.kinds))
@given(
    plan=st.lists(
        st.one_of(
            st.none(),
            st.tuples(st.sampled_from('abc'), st.integers(0, 2), st.integers(1, 50)),
        ),
        max_size=60,
    ),
)
def test_nothing_is_lost_doubled_or_miscounted(kind, plan):
    queue = StageQueue.kinds[kind]()
    waiting = []
    for number, step in enumerate(plan):
        if step is None:
            taken = queue.pop()
            assert (taken is None) == (not waiting)
            if taken is not None:
                waiting.remove(taken)
        else:
            account, priority, cost_ms = step
            waiting.append(job(number, account, priority, cost_ms=cost_ms))
            queue.push(waiting[-1])
        assert queue.count == len(waiting)
        assert queue.queued_work_ms == pytest.approx(sum(queued.cost_ms for queued in waiting))
    assert len(pop_all(queue)) == len(waiting)


def test_higher_class_first_and_earliest_deadline_within_an_account():
    queue = FairQueue()
    for number, (priority, deadline) in enumerate([(2, 1), (1, 9), (1, 5), (0, 9)]):
        queue.push(job(number, priority=priority, deadline=deadline))
    assert [taken.execution.key.scope for taken in pop_all(queue)] == ['3', '2', '1', '0']


def test_large_account_does_not_delay_the_small():
    queue = FairQueue()
    for number in range(50):
        queue.push(job(number, account='large'))
    queue.push(job(99, account='small'))
    first = [queue.pop().dispatch.account for _ in range(3)]
    assert 'small' in first


def test_weights_share_a_busy_queue():
    queue = FairQueue()
    for number in range(60):
        queue.push(job(number, account='heavy', weight=3))
        queue.push(job(number, account='light', weight=1))
    served = Counter(queue.pop().dispatch.account for _ in range(40))
    assert served['heavy'] == 30


def test_new_account_expects_a_short_wait_behind_a_long_queue():
    queue = FairQueue()
    for number in range(50):
        queue.push(job(number, account='large'))
    assert queue.work_ahead_ms(1, 'small') < queue.work_ahead_ms(1, 'large')
    assert queue.work_ahead_ms(0, 'large') == 0
