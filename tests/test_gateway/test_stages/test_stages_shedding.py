"""Late pieces in a queue whose calls aren't full: when they are rejected.

Guards against late pieces that wait for idle servers that never come, because the results
that servers store leave no room for full calls: the pieces before them wait longer, and their
callers learn of the rejection after seconds. Guards as well against an overload in which each
piece is sent when it can no longer be in time, so that all of them are a little late.
"""

from __future__ import annotations

import dataclasses
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.stages.batching import Batcher
from ringseam.gateway.stages.jobs import PieceJob
from ringseam.gateway.stages.order import dispatch_class_of, dispatch_order
from ringseam.gateway.stages.shedding import (
    FullCallsPolicy,
    ObservedCallsPolicy,
    SwitchedShedPolicy,
)
from ringseam.routes import BatchSpec, ServiceName

SERVICE = ServiceName('crops')
#: A full call takes 0.5 s.
SPEC = BatchSpec(
    slots=1,
    queue=2,
    batch=10,
    call_s=0.3,
    piece_s=0.02,
    result_capacity_bytes=10**6,
    result_retention_s=4,
)
SERVERS = [
    BackendReport(
        instance=BackendId(name), service=SERVICE, address=f'{name}:1', zone='a', sequence=1
    )
    for name in ('s1', 's2')
]


def job(name, pieces, due):
    return PieceJob(
        attempt_id=name,
        service=SERVICE,
        stage=0,
        pieces=tuple(range(pieces)),
        key='k',
        inputs=(),
        due=due,
        deadline=due + 10,
        rank=1,
        result_bytes=1000,
        zone='a',
    )


def queue(policy, *, piece_s):
    """Return a queue of 12 pieces in time, 1 late one, and a throughput per server."""
    batcher = Batcher(service=SERVICE, health=HealthTracker(), shed_policy=policy)
    batcher.throughput.observed_piece_s = piece_s
    batcher.add(job('in time', 12, due=60), 0)
    batcher.add(job('late', 1, due=0.1), 0)
    return batcher


@pytest.mark.parametrize(
    ('policy', 'piece_s', 'shed'),
    [
        (FullCallsPolicy(), 0.1, False),  # calls of 5 pieces, the next ones taken as full
        (ObservedCallsPolicy(), 0.1, True),  # 12 pieces fill two calls of 5
        (ObservedCallsPolicy(), 0.05, False),  # but not two calls of 10
        (ObservedCallsPolicy(), 0, False),  # nothing observed yet
    ],
)
def test_late_piece_is_rejected_when_others_fill_calls_of_the_recent_size(policy, piece_s, shed):
    rejected = queue(policy, piece_s=piece_s).pieces_to_shed(SERVERS, SPEC, 0)
    assert {piece.job.attempt_id for piece in rejected} == ({'late'} if shed else set())


@pytest.mark.parametrize(
    ('policy', 'first'), [(FullCallsPolicy(), 'late'), (ObservedCallsPolicy(), 'in time')]
)
def test_piece_that_no_call_finishes_in_time_is_sent_last(policy, first):
    batcher = Batcher(service=SERVICE, health=HealthTracker(), shed_policy=policy)
    # The shortest call takes 0.32 s, so the second job would be 0.02 s late.
    batcher.add(job('in time', 10, due=0.6), 0)
    batcher.add(job('late', 10, due=0.3), 0)
    call = batcher.next_call(SERVERS, SPEC, 0)
    assert {piece.job.attempt_id for piece in call.pieces} == {first}


def test_started_job_is_finished_first_though_it_is_late():
    batcher = Batcher(service=SERVICE, health=HealthTracker(), shed_policy=ObservedCallsPolicy())
    batcher.add(job('started', 12, due=0.4), 0)
    started = batcher.next_call(SERVERS, SPEC, 0)
    batcher.add(job('in time', 10, due=60), 0.3)
    call = batcher.next_call(SERVERS, SPEC, 0.3)
    assert len(started.pieces) == 10
    assert [piece.job.attempt_id for piece in call.pieces[:2]] == ['started', 'started']


@given(
    st.lists(
        st.tuples(st.integers(1, 4), st.floats(-1, 2), st.integers(0, 2)),
        min_size=1,
        max_size=12,
    )
)
def test_order_is_that_of_a_naive_sort_and_unchanged_without_the_feature(drawn):
    _assert_order(drawn, SwitchedShedPolicy(is_on=lambda: False), late_before=-math.inf)
    _assert_order(drawn, ObservedCallsPolicy(), late_before=0.32)


def _assert_order(drawn, policy, late_before):
    batcher = Batcher(service=SERVICE, health=HealthTracker(), shed_policy=policy)
    for number, (pieces, due, rank) in enumerate(drawn):
        batcher.add(dataclasses.replace(job(f'r{number:02}', pieces, due), rank=rank), 0)
    waiting = list(batcher.waiting)
    by_urgency = dispatch_order(waiting, 0)

    def key(piece):
        group = (dispatch_class_of(piece, 0), piece.job.precedence)
        return (*group, piece.job.due < late_before, by_urgency.index(piece))

    assert batcher._ordered(waiting, SPEC, 0) == sorted(waiting, key=key)


@pytest.mark.parametrize(
    ('policy', 'shed'), [(FullCallsPolicy(), True), (ObservedCallsPolicy(), False)]
)
def test_urgent_piece_is_not_rejected_for_less_urgent_ones(policy, shed):
    batcher = Batcher(service=SERVICE, health=HealthTracker(), shed_policy=policy)
    batcher.add(dataclasses.replace(job('urgent', 1, due=0.1), rank=0), 0)
    batcher.add(job('less urgent', 30, due=60), 0)
    rejected = {piece.job.attempt_id for piece in batcher.pieces_to_shed(SERVERS, SPEC, 0)}
    assert rejected == ({'urgent'} if shed else set())


@given(st.floats(0, 1000), st.integers(1, 4))
def test_next_calls_are_never_taken_for_larger_than_full_ones(pieces_per_s, slots):
    spec = BatchSpec(
        slots=slots,
        queue=2,
        batch=10,
        call_s=0.3,
        piece_s=0.02,
        result_capacity_bytes=10**6,
        result_retention_s=4,
    )
    observed = ObservedCallsPolicy().next_calls(SERVERS, spec, pieces_per_s)
    assert observed == min(2 * slots * 10, pieces_per_s * 0.5)


@given(st.floats(0, 1000))
def test_without_the_feature_calls_are_taken_as_full(pieces_per_s):
    switched = SwitchedShedPolicy(is_on=lambda: False)
    expected = FullCallsPolicy().next_calls(SERVERS, SPEC, pieces_per_s)
    assert switched.next_calls(SERVERS, SPEC, pieces_per_s) == expected == 20
