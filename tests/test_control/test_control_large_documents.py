"""Control under documents of routes that are large, or many.

Seen: after a document had grown to 4,200 routes (784 kB), the leader of control ended,
its memory over the limit, a change was in force late, and after a loss of all power no
gateway got routes again. Gateways were sent the whole document with each answer to a
watch; that was found and mended first (``test_following_documentfetch``). The same cause,
work in proportion to whole documents that nothing bounds, stood in the log as well: its
entries were counted, never their bytes. An entry is a whole document, so 160 changes of
such a document fill a disk of 128 MB, and a follower that came back from a cut was sent
all that it lacked in one message, again with every heartbeat until it answered. What
proved it: these tests, and the bytes that a control host says it holds.
"""

from __future__ import annotations

import pytest

from ringseam.commands import PutDocument
from ringseam.control.raftlog import AppendReply, payload_bytes
from ringseam.control.replicamessages import NotLeading, Propose
from tests.fakes import Network

DOCUMENT_BYTES = 400_000
#: Sixty documents are 24 MB.
DOCUMENTS = 60
#: What a control host may hold for them: a share of a disk of 128 MB that leaves
#: room for a snapshot that is being written beside the log it replaces.
MAX_LOG_BYTES = 16_000_000
#: What one message may carry beside a document: a follower holds it a few times over
#: while it is read, in a process that may use 296 MB.
MAX_MESSAGE_BYTES = 2_000_000


def commit_document(network, number, size=DOCUMENT_BYTES):
    """Put a document in force through whoever leads."""
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


def test_restart_reads_what_was_left_of_a_log_of_large_documents():
    network = Network(snapshot_entries=5000)
    for number in range(1, DOCUMENTS + 1):
        commit_document(network, number)
    for address in network.hosts:
        network.restart(address)
    network.run(3)
    assert {replica.state_machine.state.number for replica in network.running()} == {DOCUMENTS}


@pytest.mark.parametrize('seed', range(3))
def test_follower_that_was_cut_off_is_sent_little_at_a_time(seed):
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


def test_follower_that_does_not_answer_is_not_sent_the_same_again():
    """Heartbeats to a follower that is busy with what it lacks carry nothing more."""
    network = Network(snapshot_entries=5000)
    for number in range(1, 9):
        commit_document(network, number)
    raft = network.await_leader().raft
    follower = next(disk for disk in raft.membership.voters if disk != raft.disk)
    # As a leader that has just been elected, it knows nothing of the follower.
    raft.progress.pop(follower)
    raft.take_ready(network.clock.now())
    raft.step(follower, AppendReply(term=raft.term, accepted=False, match=2), network.clock.now())
    sent = 0
    for _ in range(20):
        network.clock.advance(0.1)
        ready = raft.take_ready(network.clock.now())
        sent += sum(payload_bytes(message) for to, message in ready.messages if to == follower)
    assert sent < MAX_MESSAGE_BYTES
