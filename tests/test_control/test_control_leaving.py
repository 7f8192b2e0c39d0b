"""Voters that announce the end of their process, in virtual time.

Failure: a group counted the vote of a host that had ended as planned, and tolerated one
loss less until that host had been silent for seconds.
"""

from __future__ import annotations

import random

import pytest

from ringseam.control.membership import LeaveStatus
from ringseam.control.replicamessages import AnnounceLeave, TransferLeadership
from tests.fakes import Network
from tests.test_control.test_control_membership import (
    commit_document,
    document_in_force,
    voters,
)

SPARES = ('10.0.0.8:1', '10.0.0.9:1', '10.0.0.10:1')
#: Longest time for which a leaving host waits for its successor, seconds.
LEAVE_S = 3.0
ANNOUNCE_S = 0.1


def started(count, *, seed, spares=1):
    """Return a group of ``count`` voters beside ``spares`` learners."""
    network = Network(count=count, seed=seed, founders=3, target_voters=count)
    network.run_until(lambda: len(voters(network)) == count)
    commit_document(network, 1, b'kept')
    for address in SPARES[:spares]:
        network.add(address)
    network.run_until(lambda: len(members(network)) == count + spares)
    network.run(0.5)
    return network


def members(network):
    leader = network.leader()
    return () if leader is None else leader.raft.membership.members


class Departure:
    """A host that leaves, with the steps of ``GroupDeparture``, which is a process's."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.disk = network.hosts[address].replica.identity.disk
        self.ends_at = network.clock.now() + LEAVE_S
        self.outcome = None
        network.hosts[address].is_leaving = True

    def announce(self):
        """Announce the end once; the process ends as soon as the leader lets it."""
        host = self.network.hosts[self.address]
        if host.replica is None:
            return
        leader = self.network.leader()
        if leader is host.replica:
            self.network.ask(leader, TransferLeadership())
        elif leader is not None:
            reply = self.network.ask(leader, AnnounceLeave(disk=self.disk)).sent
            if isinstance(reply, LeaveStatus) and reply is not LeaveStatus.pending:
                self.outcome = reply
        if self.outcome is not None or self.network.clock.now() >= self.ends_at:
            self.network.crash(self.address)


def run(network, departures, seconds):
    """Advance until all departures have ended, for ``seconds`` at most."""
    until = network.clock.now() + seconds
    while network.clock.now() < until:
        for departure in departures:
            departure.announce()
        if all(network.hosts[one.address].replica is None for one in departures):
            return
        network.run(ANNOUNCE_S)


def lose_disks(network, addresses):
    for address in addresses:
        network.lose_disk(address)


# Guards against a group that tolerates fewer losses at some step of a planned replacement.
@pytest.mark.parametrize('count', [3, 5])
@pytest.mark.parametrize('seed', range(30))
def test_disks_may_be_lost_at_any_step_of_a_replacement(seed, count):
    network = started(count, seed=seed)
    drawn = random.Random(seed)
    leaving = drawn.choice(sorted(voters(network)))
    departure = Departure(network, leaving)
    run(network, [departure], drawn.uniform(0, 0.8))
    others = sorted(set(network.hosts) - {leaving})
    lose_disks(network, drawn.sample(others, count // 2))
    run(network, [departure], LEAVE_S)
    assert document_in_force(network) == (1, b'kept')
    network.run_until(lambda: len(voters(network)) == count and leaving not in voters(network))


@pytest.mark.parametrize('count', [3, 5])
@pytest.mark.parametrize('seed', range(6))
def test_host_ends_within_a_second_if_a_successor_has_caught_up(seed, count):
    network = started(count, seed=seed)
    leaving = sorted(voters(network))[seed % count]
    departure = Departure(network, leaving)
    begun = network.clock.now()
    run(network, [departure], LEAVE_S)
    assert departure.outcome is LeaveStatus.released
    assert network.clock.now() - begun < 1
    assert len(voters(network)) == count
    assert leaving not in voters(network)


@pytest.mark.parametrize('seed', range(4))
def test_three_replacements_in_a_row(seed):
    network = started(5, seed=seed, spares=3)
    for _ in range(3):
        departure = Departure(network, sorted(set(voters(network)) - set(SPARES))[0])
        run(network, [departure], LEAVE_S)
        assert departure.outcome is LeaveStatus.released
    assert set(SPARES) <= set(voters(network))
    lose_disks(network, SPARES[:2])
    assert document_in_force(network) == (1, b'kept')


@pytest.mark.parametrize('seed', range(4))
def test_two_replacements_at_once_with_one_successor(seed):
    network = started(5, seed=seed)
    departures = [Departure(network, address) for address in sorted(voters(network))[:2]]
    run(network, departures, LEAVE_S)
    outcomes = {departure.outcome for departure in departures}
    assert outcomes == {LeaveStatus.released, LeaveStatus.no_successor}
    # One voter is gone without a successor, so one more loss is tolerated.
    running = [replica.node.address for replica in network.running()]
    lose_disks(network, running[:1])
    assert document_in_force(network) == (1, b'kept')


@pytest.mark.parametrize('seed', range(8))
def test_leader_that_is_lost_during_a_replacement(seed):
    network = started(5, seed=seed)
    leaving = next(
        address for address in voters(network) if address != network.leader().node.address
    )
    departure = Departure(network, leaving)
    run(network, [departure], 0.05 * seed)
    network.crash(network.leader().node.address)
    run(network, [departure], LEAVE_S)
    assert departure.outcome in {LeaveStatus.released, LeaveStatus.no_successor}
    assert document_in_force(network) == (1, b'kept')


def test_silent_successor_takes_over_no_vote():
    network = started(5, seed=1)
    network.crash(SPARES[0])
    network.run(1)
    departure = Departure(network, sorted(voters(network))[0])
    run(network, [departure], LEAVE_S)
    assert departure.outcome is LeaveStatus.no_successor
    assert SPARES[0] not in voters(network)
    commit_document(network, 2)


def test_host_without_a_successor_keeps_its_vote_over_a_restart():
    network = started(5, seed=1, spares=0)
    before = voters(network)
    departure = Departure(network, before[0])
    run(network, [departure], LEAVE_S)
    assert departure.outcome is LeaveStatus.no_successor
    network.start(before[0])
    network.run(3)
    assert voters(network) == before


def test_host_that_gives_up_waiting_keeps_its_vote():
    network = started(5, seed=1)
    leaving = sorted(voters(network))[0]
    departure = Departure(network, leaving)
    departure.announce()
    # The announcement lapses while the successor can't be reached.
    network.isolate(SPARES[0])
    network.run(1.5)
    network.cuts.clear()
    network.run(1)
    assert leaving in voters(network)


@pytest.mark.parametrize('seed', range(4))
def test_host_that_ends_without_an_announcement_is_replaced_once_it_is_silent(seed):
    network = started(5, seed=seed)
    gone = sorted(voters(network))[seed]
    network.crash(gone)
    begun = network.clock.now()
    network.run_until(lambda: SPARES[0] in voters(network))
    assert network.clock.now() - begun < 4
    assert gone not in voters(network)
