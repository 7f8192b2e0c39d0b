"""Fakes: files in memory, and control replicas on a simulated network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ringseam.clock import PausedClock
from ringseam.commands import ApplyFile, FileAccepted
from ringseam.control.raftlog import Member
from ringseam.control.replica import (
    Replica,
)
from ringseam.control.replicamessages import (
    CreateGroup,
    Deliver,
    NonMemberSeen,
    NotLeading,
    Propose,
    ReadBarrier,
    ReplicaCallbacks,
    ReplicaSettings,
    Tick,
)
from ringseam.control.storage import Files, Storage
from ringseam.node import Node

STEP_S = 0.05


class MemoryFiles(Files):
    """Files in memory that track separately what was written and what was synced."""

    def __init__(self):
        self.written = {}
        self.synced = {}
        self.synced_names = set()
        self.fail_sync = False
        self.full = False

    def names(self):
        return sorted(self.written)

    def read(self, name):
        return bytes(self.written[name])

    def append(self, name, chunk):
        if self.full:
            self.written.setdefault(name, bytearray()).extend(chunk[: len(chunk) // 2])
            raise OSError(28, 'No space left on device')
        self.written.setdefault(name, bytearray()).extend(chunk)

    def sync(self, name):
        if self.fail_sync:
            raise OSError(5, 'Input/output error')
        self.synced[name] = bytes(self.written[name])

    def sync_folder(self):
        self.synced_names = set(self.written)

    def rename(self, source, target):
        self.written[target] = self.written.pop(source)
        self.synced[target] = self.synced.pop(source, b'')

    def remove(self, name):
        self.written.pop(name, None)

    def truncate(self, name, size):
        del self.written[name][size:]

    def close(self):
        """Do nothing: there are no open files."""

    def crash(self):
        """Discard everything that was not synced."""
        self.written = {
            name: bytearray(self.synced.get(name, b'')) for name in sorted(self.synced_names)
        }
        self.synced = {name: bytes(raw) for name, raw in self.written.items()}
        self.fail_sync = False
        self.full = False


class Reply:
    """Stands in for ``ReplyTo``; records the first reply."""

    def __init__(self):
        self.sent = None

    def send(self, reply):
        if self.sent is None:
            self.sent = reply


@dataclass
class Host:
    """A control host: an address, a data folder and, while it runs, a replica."""

    address: str
    files: MemoryFiles = field(default_factory=MemoryFiles)
    replica: Replica | None = None
    #: Whether the process is about to end.
    is_leaving: bool = False


class Network:
    """Replicas on a simulated network that delays, reorders and drops packets.

    All randomness comes from ``seed``. ``cuts`` holds the pairs (source, target)
    between which nothing is delivered.
    """

    def __init__(self, count=3, seed=1, snapshot_entries=20, founders=0, target_voters=0):
        self.random = random.Random(seed)
        self.clock = PausedClock()
        self.settings = ReplicaSettings(
            election_s=0.6,
            heartbeat_s=0.1,
            snapshot_entries=snapshot_entries,
            target_voters=target_voters,
        )
        self.hosts = {f'10.0.0.{number}:1': None for number in range(1, count + 1)}
        self.hosts = {address: Host(address=address) for address in self.hosts}
        #: Hosts that create the group; the others join it.
        self.founders = sorted(self.hosts)[: founders or count]
        self.packets = []
        self.cuts = set()
        self.drop_rate = 0.0
        self.replies = []
        for address in self.hosts:
            self.start(address)

    # -- hosts ---------------------------------------------------------------

    def start(self, address):
        host = self.hosts[address]
        host.is_leaving = False
        node = Node(name=address, role='control', address=address, secret=b'x', clock=self.clock)

        def send(target, packet):
            self.packets.append((address, target, packet))

        host.replica = Replica(
            node=node,
            storage=Storage(files=host.files),
            settings=self.settings,
            callbacks=ReplicaCallbacks(send=send, state_changed=lambda machine: None, failed=print),
            seed=self.random.randrange(2**30),
        )

    def crash(self, address):
        """Stop a replica and discard what it did not sync."""
        self.hosts[address].replica = None
        self.hosts[address].files.crash()

    def restart(self, address):
        self.crash(address)
        self.start(address)

    def lose_disk(self, address):
        """Restart a host with an empty data folder."""
        self.hosts[address].files = MemoryFiles()
        self.start(address)

    def add(self, address):
        """Start a new host with an empty data folder at a new address."""
        self.hosts[address] = Host(address=address)
        self.start(address)

    def running(self):
        return [host.replica for host in self.hosts.values() if host.replica is not None]

    def isolate(self, address):
        """Block packets between a host and all others, in both directions."""
        for other in self.hosts:
            if other != address:
                self.cuts |= {(address, other), (other, address)}

    # -- time ----------------------------------------------------------------

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def step(self):
        self.clock.advance(STEP_S)
        self._exchange_hellos()
        for replica in self.running():
            replica.receive(Tick())
            replica.flush()
        for source, target, packet in self.in_transit():
            host = self.hosts.get(target)
            replica = host.replica if host is not None else None
            if replica is None or (source, target) in self.cuts:
                continue
            if self.random.random() < self.drop_rate:
                continue
            replica.receive(Deliver(packet=packet, address=source))
            replica.flush()

    def in_transit(self):
        """Return the packets that were sent, in order of arrival."""
        packets, self.packets = self.packets, []
        self.random.shuffle(packets)
        return packets

    def run_until(self, check, within_s=30):
        for _ in range(int(within_s / STEP_S)):
            if check():
                return
            self.step()
        raise AssertionError('condition not met within the simulated time limit')

    def _exchange_hellos(self):
        """Simulate group discovery: announce non-members, and create the group."""
        for address, host in self.hosts.items():
            if host.replica is None or host.is_leaving or _is_member(host.replica):
                continue
            peers = [other for other in self.hosts.values() if other is not host]
            reached = [
                peer
                for peer in peers
                if peer.replica is not None and (address, peer.address) not in self.cuts
            ]
            disk = host.replica.identity.disk
            for peer in reached:
                peer.replica.receive(NonMemberSeen(disk=disk, address=address))
            without_group = {
                peer.address for peer in [host, *reached] if not peer.replica.identity.group
            }
            if without_group >= set(self.founders) and address == min(self.founders):
                members = [
                    Member(
                        disk=self.hosts[founder].replica.identity.disk,
                        address=founder,
                    )
                    for founder in self.founders
                ]
                host.replica.receive(CreateGroup(members=tuple(members)))

    # -- requests ------------------------------------------------------------

    def leader(self):
        leading = [replica for replica in self.running() if replica.raft.can_serve]
        return max(leading, key=lambda replica: replica.raft.term) if leading else None

    def await_leader(self):
        self.run_until(self.leader)
        return self.leader()

    def ask(self, replica, body):
        reply = Reply()
        replica.receive(body, reply)
        replica.flush()
        return reply

    def apply(self, expect, text='file', part='demo'):
        """Apply a file, asking the current leader until one answers."""
        command = ApplyFile(part=part, text=text, expect=expect, apply_id=f'{expect}-{text}')
        reply = None

        def accepted():
            nonlocal reply
            if reply is None or isinstance(reply.sent, NotLeading):
                leader = self.leader()
                reply = self.ask(leader, Propose(command=command)) if leader else None
            return reply is not None and reply.sent is not None

        def settled():
            return accepted() and not isinstance(reply.sent, NotLeading)

        self.run_until(settled)
        return reply.sent

    def apply_many(self, count, first=0):
        """Apply ``count`` files one after another; return the last revision."""
        revision = first
        for number in range(count):
            outcome = self.apply(revision, text=f'file {number}')
            assert isinstance(outcome, FileAccepted), outcome
            revision = outcome.revision
        return revision

    def read_revision(self):
        """Return the revision after a linearizable read; None if it was refused."""
        reply = self.ask(self.await_leader(), ReadBarrier())
        self.run_until(lambda: reply.sent is not None)
        return (
            None
            if isinstance(reply.sent, NotLeading)
            else self.leader().state_machine.state.revision
        )


def _is_member(replica):
    """Return whether a replica is in its own membership and knows a leader."""
    member = replica.raft.membership.find(replica.identity.disk)
    return bool(replica.identity.group and member and replica.raft.leader)


__all__ = ('Host', 'MemoryFiles', 'Network', 'Reply')
