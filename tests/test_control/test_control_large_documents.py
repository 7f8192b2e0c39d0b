"""Memory and disk use of control hosts with large or many documents.

Guards against unbounded use in proportion to whole documents. When gateways received the
whole document with each watch reply, a document of 4,200 routes (784 kB) made the leader
exceed its memory limit, put a change in force late, and left gateways without routes after
a power failure of all hosts; ``test_following_documentfetch`` covers that part. Log entries
that are limited by number but not by size have the same cause: 160 changes of such a document
fill a disk of 128 MB, and a lagging follower receives all missing entries in one message,
again with each heartbeat until it answers.
"""

from __future__ import annotations

import pytest

from ringseam.commands import PutDocument
from ringseam.control.raftlog import AppendReply, payload_bytes
from ringseam.control.replicamessages import NotLeading, Propose
from tests.fakes import Network

DOCUMENT_BYTES = 400_000
#: Number of documents committed: 24 MB in total.
DOCUMENTS = 60
#: Maximum size of the log of a control host: leaves room on a disk of 128 MB for a
#: snapshot that is written while the log it replaces still exists.
MAX_LOG_BYTES = 16_000_000
#: Maximum payload of one message: a follower holds several copies of it while reading it,
#: in a process limited to 296 MB.
MAX_MESSAGE_BYTES = 2_000_000


def commit_document(network, number, size=DOCUMENT_BYTES):
    """Commit a document through the current leader."""
    command = PutDocument(number=number, document=bytes([number % 256]) * size)
    reply = None

    def settled():
        nonlocal reply
        if reply is None or isinstance(reply.sent, NotLeading):
            leader = network.leader()
            reply = network.ask(leader, Propose(command=command)) if leader else None
        return reply is not None and reply.sent not in {None, NotLeading()}

    network.run_until(settled)


def test_log_of_many_large_documents_stays_small():
    network = Network(snapshot_entries=5000)
    for number in range(1, DOCUMENTS + 1):
        commit_document(network, number)
    network.run(1)
    for host in network.hosts.values():
        assert sum(map(len, host.files.written.values())) < MAX_LOG_BYTES
        assert host.replica.raft.log.total_bytes < MAX_LOG_BYTES
        assert host.replica.state_machine.state.number == DOCUMENTS


def test_restart_reads_a_compacted_log_of_large_documents():
    network = Network(snapshot_entries=5000)
    for number in range(1, DOCUMENTS + 1):
        commit_document(network, number)
    for address in network.hosts:
        network.restart(address)
    network.run(3)
    assert {replica.state_machine.state.number for replica in network.running()} == {DOCUMENTS}


@pytest.mark.parametrize('seed', range(3))
def test_follower_that_was_isolated_is_sent_small_messages(seed):
    network = Network(snapshot_entries=5000, seed=seed)
    commit_document(network, 1)
    leader = network.await_leader()
    isolated = next(replica for replica in network.running() if replica is not leader)
    network.isolate(isolated.node.address)
    for number in range(2, 18):
        commit_document(network, number)
    network.cuts.clear()
    largest = 0
    for _ in range(100):
        network.step()
        sent = [packet.messages for _, target, packet in network.packets]
        largest = max([largest, *(sum(map(payload_bytes, batch)) for batch in sent)])
    assert isolated.state_machine.state.number == 17
    assert largest < MAX_MESSAGE_BYTES


def test_follower_that_does_not_answer_is_not_sent_entries_again():
    """Heartbeats to a follower that is still processing entries carry no entries."""
    network = Network(snapshot_entries=5000)
    for number in range(1, 9):
        commit_document(network, number)
    raft = network.await_leader().raft
    follower = next(disk for disk in raft.membership.voters if disk != raft.disk)
    # A leader that has just been elected has no progress of the follower.
    raft.progress.pop(follower)
    raft.take_ready(network.clock.now())
    raft.step(follower, AppendReply(term=raft.term, accepted=False, match=2), network.clock.now())
    sent = 0
    for _ in range(20):
        network.clock.advance(0.1)
        ready = raft.take_ready(network.clock.now())
        sent += sum(payload_bytes(message) for to, message in ready.messages if to == follower)
    assert sent < MAX_MESSAGE_BYTES
