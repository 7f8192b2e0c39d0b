"""Zones that peak at different times: when pieces leave the zone that they prefer.

Guards against calls that leave a zone nearly empty while pieces of a busy zone wait for a
server of their own that becomes free too late for them.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.stages.jobs import Piece, PieceJob
from ringseam.gateway.stages.order import may_leave_zone
from ringseam.gateway.stages.zonechoice import (
    ExpectedCompletionPolicy,
    LastMomentPolicy,
    ZoneLoad,
)
from ringseam.routes import BatchSpec, ServiceName

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
URGENT, NORMAL = 0, 1


def piece(*, due, rank=NORMAL):
    job = PieceJob(
        attempt_id='a',
        service=ServiceName('s'),
        stage=0,
        pieces=(0,),
        key='k',
        inputs=(),
        due=due,
        deadline=due + 10,
        rank=rank,
        result_bytes=1000,
        zone='home',
    )
    return Piece(job=job, number=0, arrival=0)


def zone(available_in_s, *, idle=False):
    return ZoneLoad(idle=idle, available_in_s=lambda: available_in_s)


@pytest.mark.parametrize(
    ('due', 'available_in_s', 'leaves'),
    [
        (1.0, 0.4, False),  # the next call at home ends in time
        (0.8, 0.4, True),  # it would end 0.1 s late
        (0.8, 0, False),  # a server at home takes it now
        (-0.1, 0.4, False),  # late already: nothing is gained by a transfer
    ],
)
def test_piece_leaves_when_the_next_call_at_home_ends_too_late(due, available_in_s, leaves):
    policy = ExpectedCompletionPolicy()
    assert policy.may_leave(piece(due=due), SPEC, zone(available_in_s), 0) == leaves


def test_most_urgent_pieces_do_not_wait_for_a_busy_zone():
    policy = ExpectedCompletionPolicy()
    urgent = piece(due=5, rank=URGENT)
    assert policy.may_leave(urgent, SPEC, zone(0.1), 0)
    assert not policy.may_leave(urgent, SPEC, zone(0), 0)


@given(
    due=st.floats(-1, 5),
    available_in_s=st.floats(0.01, 2),
    rank=st.integers(0, 2),
    idle=st.booleans(),
)
def test_last_moment_policy_decides_as_the_rule_it_wraps(due, available_in_s, rank, idle):
    one = piece(due=due, rank=rank)
    expected = not idle and may_leave_zone(one, SPEC, 0)
    load = ZoneLoad(idle=idle, available_in_s=pytest.fail)
    assert LastMomentPolicy().may_leave(one, SPEC, load, 0) == expected


@given(due=st.floats(-1, 5), available_in_s=st.floats(0.01, 2))
def test_expected_completion_never_keeps_a_piece_longer_than_the_last_moment(due, available_in_s):
    one = piece(due=due)
    if LastMomentPolicy().may_leave(one, SPEC, zone(available_in_s), 0):
        assert ExpectedCompletionPolicy().may_leave(one, SPEC, zone(available_in_s), 0)
