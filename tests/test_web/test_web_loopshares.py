"""Shares of the event loop: little work isn't kept waiting by much of others."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.web.loopshares import LoopShares

TURN_US = 1000


class Busy:
    """A connection that always has more work."""

    def __init__(self, name, work_us):
        self.name = name
        self.work_us = work_us
        self.finished_us = 0
        self.done_us = 0


def run_turn(shares, members):
    """Let connections work for one turn; return the names of those that did."""
    worked = []
    shares.begin_turn()
    member = shares.next_member()
    while member is not None:
        worked.append(member.name)
        member.finished_us = shares.charge(member.work_us)
        member.done_us += member.work_us
        if member in members:
            shares.wait(member, member.finished_us, member.work_us)
        member = shares.next_member()
    return worked


def busy_shares(*works_us):
    shares = LoopShares(turn_us=TURN_US)
    members = [Busy(str(number), work_us) for number, work_us in enumerate(works_us)]
    for member in members:
        shares.wait(member, member.finished_us, member.work_us)
    return shares, members


@given(st.lists(st.integers(50, 400), min_size=2, max_size=8))
def test_busy_connections_get_about_equal_shares_of_time(works_us):
    """Differential: a naive fair share is an equal part of all work."""
    shares, members = busy_shares(*works_us)
    for _ in range(200):
        run_turn(shares, members)
    fair_us = sum(member.done_us for member in members) / len(members)
    for member in members:
        assert abs(member.done_us - fair_us) <= 0.1 * fair_us


def test_small_work_comes_before_large_work_that_waits_longer():
    """Guards against ordinary requests behind hundreds of heads of many fields."""
    shares, members = busy_shares(*[30_000] * 200)
    run_turn(shares, members)
    newcomer = Busy('new', 50)
    shares.wait(newcomer, 0, 50)
    assert run_turn(shares, members)[0] == 'new'


def test_connection_of_many_requests_comes_behind_one_of_few():
    """Guards against requests sent ahead without end that take all turns."""
    shares, members = busy_shares(*[100] * 50)
    for _ in range(30):
        run_turn(shares, members)
    newcomer = Busy('new', 100)
    shares.wait(newcomer, newcomer.finished_us, 100)
    turns = 0
    while 'new' not in run_turn(shares, members):
        turns += 1
    assert turns <= 50 * 100 / TURN_US


def test_idle_time_is_not_saved_up():
    shares, members = busy_shares(100)
    for _ in range(100):
        run_turn(shares, members)
    newcomer = Busy('new', 100)
    members.append(newcomer)
    shares.wait(newcomer, 0, 100)
    for _ in range(10):
        run_turn(shares, members)
    assert newcomer.done_us <= 10 * TURN_US / 2 + 200


def test_turn_ends_when_its_time_is_used():
    shares, members = busy_shares(*[300] * 20)
    assert len(run_turn(shares, members)) == 4
    assert not shares.may_work_now()
    assert shares.next_member() is None


def flow_order(counts, work_us=1000):
    """Return the flows in the order in which their work is done; all of it waits at first."""
    shares = LoopShares(turn_us=TURN_US)
    for flow, count in counts.items():
        for _ in range(count):
            shares.wait_in_flow(flow, flow, work_us)
    order = []
    while shares.waiting:
        shares.begin_turn()
        flow = shares.next_member()
        while flow is not None:
            order.append(flow)
            shares.charge(work_us)
            flow = shares.next_member()
    return order


@given(
    st.dictionaries(st.sampled_from('abcdefgh'), st.integers(1, 30), min_size=1), st.integers(1, 9)
)
def test_flows_have_their_turns_one_after_the_other(counts, work_units):
    """Differential: a naive round robin over the flows that still have work."""
    left = dict(counts)
    rounds = []
    while left:
        rounds.extend(left)
        left = {flow: count - 1 for flow, count in left.items() if count > 1}
    assert flow_order(counts, 100 * work_units) == rounds


def test_flow_without_waiting_work_is_forgotten():
    """Guards against a state that grows with each flow that ever was."""
    shares = LoopShares(turn_us=TURN_US)
    for number in range(10_000):
        shares.wait_in_flow('member', str(number), 100)
        shares.begin_turn()
        shares.next_member()
        shares.charge(100)
    assert len(shares.flows) <= 1000
