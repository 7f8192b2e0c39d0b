"""One replica: Raft, its storage and the state machine."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from ringseam.control.membership import Repair
from ringseam.control.raft import Raft, Ready
from ringseam.control.raftlog import (
    EntryKind,
    HardState,
    Log,
    LogEntry,
    Membership,
    Packet,
    RaftMessage,
    Snapshot,
    payload_bytes,
)
from ringseam.control.replicamessages import (
    BlankSeen,
    Deliver,
    FindApply,
    FormGroup,
    GetReplicaStatus,
    HandOver,
    Leadership,
    Linearizable,
    NotLeading,
    Outlets,
    PendingCommand,
    Propose,
    ReadBarrier,
    ReplicaSettings,
    ReplicaStatus,
    TimePassed,
    Waiting,
)
from ringseam.control.state import StateMachine, encode_command
from ringseam.control.storage import Identity, Storage
from ringseam.errors import StorageError
from ringseam.events import Event
from ringseam.util.actors import ReplyTo

if TYPE_CHECKING:
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class Replica:
    """Drive Raft: save, then send, then apply.

    A plain class: its actor gives it messages, tests give them directly.
    """

    def __init__(
        self,
        *,
        node: Node,
        storage: Storage,
        settings: ReplicaSettings,
        outlets: Outlets,
        seed: int,
    ) -> None:
        """Load the folder and begin as a follower."""
        self.node = node
        self.storage = storage
        self.settings = settings
        self.outlets = outlets
        loaded = storage.load()
        if loaded.tail_cut_bytes:
            node.events.emit(logger, Event.log_tail_cut, cut_bytes=loaded.tail_cut_bytes)
        self.identity = loaded.identity
        node.group = loaded.identity.group
        self.seed = seed
        self.raft = self._new_raft(loaded.log, loaded.hard)
        self.machine = StateMachine(snapshot=loaded.log.snapshot.state)
        self.waiting = Waiting()
        self.repair = Repair(wanted_voters=settings.wanted_voters)
        self.addresses: dict[str, str] = {}
        self.was_leader = False
        self.leadership = Leadership()
        self.outlets.files_changed(self.machine)

    def receive(self, body: Any, reply_to: ReplyTo | None = None) -> None:
        """Take in one message; ``flush`` must follow."""
        _HANDLERS[type(body)](self, body, reply_to)

    # -- messages -----------------------------------------------------------

    def propose(self, ask: Propose, reply_to: ReplyTo) -> None:
        """Append a command to the log."""
        index = self.raft.propose(encode_command(ask.command))
        if index is None:
            reply_to.send(self._not_leading())
        else:
            self.waiting.commands[index] = PendingCommand(
                term=self.raft.term,
                reply_to=reply_to,
            )

    def deliver(self, deliver: Deliver, reply_to: ReplyTo | None) -> None:
        """Step Raft with messages that are meant for this folder."""
        packet = deliver.packet
        if packet.target != self.identity.disk or not packet.group:
            return
        if not self.identity.group:
            self._join(packet.group)
        if packet.group != self.identity.group:
            return
        self.addresses[packet.source] = deliver.address
        now = self.node.clock.now()
        for message in packet.messages:
            self.raft.step(packet.source, message, now)

    def pass_time(self, tick: TimePassed, reply_to: ReplyTo | None) -> None:
        """Tick Raft and repair the membership."""
        if not self.identity.group:
            return
        now = self.node.clock.now()
        self.raft.tick(now)
        if self.raft.can_serve:
            change = self.repair.next_change(self.raft, now)
            if change is not None and self.raft.change_membership(change) is not None:
                self._log_members(change)

    def form_group(self, form: FormGroup, reply_to: ReplyTo | None) -> None:
        """Found the group: its first snapshot names the members."""
        if self.identity.group:
            return
        self._found(Membership(form.members))

    def see_blank(self, seen: BlankSeen, reply_to: ReplyTo | None) -> None:
        """Remember a blank folder at an address, for repair."""
        self.repair.see(seen.disk, seen.address, self.node.clock.now())

    def read_barrier(self, ask: ReadBarrier, reply_to: ReplyTo) -> None:
        """Begin a linearizable read."""
        self.waiting.next_read += 1
        if self.raft.read(self.waiting.next_read):
            self.waiting.reads[self.waiting.next_read] = reply_to
        else:
            reply_to.send(self._not_leading())

    def hand_over(self, ask: HandOver, reply_to: ReplyTo) -> None:
        """Begin to give leadership away."""
        reply_to.send(self.raft.hand_over(self.node.clock.now()))

    def find_apply(self, ask: FindApply, reply_to: ReplyTo) -> None:
        """Tell whether an apply was accepted before."""
        reply_to.send(self.machine.was_accepted(ask.part, ask.expect, ask.apply_id))

    def status(self, ask: GetReplicaStatus, reply_to: ReplyTo) -> None:
        """Tell how this replica stands."""
        reply_to.send(
            ReplicaStatus(
                disk=self.identity.disk,
                group=self.identity.group,
                role=self.raft.role.value,
                term=self.raft.term,
                leader=self._leader_address(),
                commit=self.raft.commit,
                members=self.raft.membership.members,
                keys=len(self.machine.ledger.state.runs),
            ),
        )

    # -- driving ------------------------------------------------------------

    def flush(self) -> None:
        """Save, send and apply until Raft has nothing more to do."""
        if not self.identity.group:
            return
        while True:  # noqa: WPS457 - ends when Raft is at rest
            ready = self.raft.take_ready(self.node.clock.now())
            if ready.must_save:
                self._save(ready)
            self._send(ready.messages)
            self._apply(ready.committed)
            for token in ready.reads:
                self.waiting.reads.pop(token).send(Linearizable(term=self.raft.term))
            if not (ready.must_save or ready.committed):
                break
        self._note_leadership()
        self._compact()
        self.outlets.log_changed(self.raft.log.held_bytes)

    def _save(self, ready: Ready) -> None:
        if ready.snapshot is None:
            self.storage.save(
                hard=ready.hard,
                truncate_from=ready.truncate_from,
                entries=ready.entries,
            )
        else:
            self._install(ready.snapshot)
        self.raft.persisted()

    def _install(self, snapshot: Snapshot) -> None:
        self.storage.save_snapshot(
            snapshot,
            HardState(self.raft.term, self.raft.voted_for),
            self.raft.log.entries,
        )
        self.machine.restore(snapshot.state)
        self.outlets.files_changed(self.machine)
        self.node.events.emit(
            logger,
            Event.snapshot_installed,
            index=snapshot.index,
            state_bytes=len(snapshot.state),
        )

    def _send(self, messages: list[tuple[str, RaftMessage]]) -> None:
        by_target: dict[str, list[RaftMessage]] = {}
        for target, message in messages:
            batch = by_target.setdefault(target, [])
            if payload_bytes(message) and batch:
                # Each large message travels alone, so that no packet outgrows one.
                self._send_packet(target, batch)
                batch.clear()
            batch.append(message)
        for target, batch in by_target.items():
            self._send_packet(target, batch)

    def _send_packet(self, target: str, batch: list[RaftMessage]) -> None:
        address = self._address_of(target)
        if address:
            packet = Packet(
                group=self.identity.group,
                source=self.identity.disk,
                target=target,
                messages=tuple(batch),
            )
            self.outlets.send(address, packet)

    def _apply(self, committed: list[LogEntry]) -> None:
        version = self.machine.version
        for entry in committed:
            outcome: Any = self._not_leading()
            if entry.kind is EntryKind.command:
                outcome = self.machine.apply(entry.payload)
            pending = self.waiting.commands.pop(entry.index, None)
            if pending is not None:
                same = pending.term == entry.term
                pending.reply_to.send(outcome if same else self._not_leading())
        if self.machine.version != version:
            self.outlets.files_changed(self.machine)

    def _compact(self) -> None:
        if not self._is_compaction_due():
            return
        log = self.raft.log
        log_bytes = log.held_bytes
        index = self.raft.applied
        membership = [known for at, known in self.raft.history if at <= index][-1]
        snapshot = Snapshot(
            index=index,
            term=log.term_at(index) or 0,
            membership=membership,
            state=self.machine.snapshot(),
        )
        self.raft.compacted(snapshot)
        self.storage.save_snapshot(
            snapshot,
            HardState(self.raft.term, self.raft.voted_for),
            log.entries,
        )
        self.node.events.emit(
            logger,
            Event.snapshot_written,
            index=index,
            state_bytes=len(snapshot.state),
            log_bytes=log_bytes,
        )

    def _is_compaction_due(self) -> bool:
        """Return whether a snapshot should replace what was applied.

        Entries can be whole documents, so bytes count as well: else 160 changes of a
        document of 0.8 MB fill a disk of 128 MB. A log that has not outgrown the last
        snapshot is kept, so that no more is written than twice what was proposed.
        """
        log = self.raft.log
        first = log.snapshot.index + 1
        if self.raft.applied - log.snapshot.index >= self.settings.snapshot_entries:
            return True
        most_bytes = max(self.settings.snapshot_bytes, len(log.snapshot.state))
        return log.bytes_between(first, self.raft.applied) >= most_bytes

    # -- helpers ------------------------------------------------------------

    def _new_raft(self, log: Log, hard: HardState) -> Raft:
        return Raft(
            disk=self.identity.disk,
            log=log,
            hard=hard,
            election_s=self.settings.election_s,
            heartbeat_s=self.settings.heartbeat_s,
            seed=self.seed,
            now=self.node.clock.now(),
        )

    def _found(self, membership: Membership) -> None:
        group = f'g-{self.identity.disk}'
        snapshot = Snapshot(index=1, term=1, membership=membership)
        hard = HardState(1, '')
        # The snapshot is synced before the identity names the group.
        self.storage.save_snapshot(snapshot, hard, [])
        self._join(group)
        self.raft = self._new_raft(Log(snapshot=snapshot, entries=[]), hard)
        self.node.events.emit(
            logger,
            Event.group_formed,
            group=group,
            members=[member.address for member in membership.members],
        )

    def _join(self, group: str) -> None:
        self.identity = Identity(disk=self.identity.disk, group=group)
        try:
            self.storage.save_identity(self.identity)
        except OSError as error:
            raise StorageError(str(error)) from error
        self.node.group = group

    def _tell_leadership(self) -> None:
        membership = self.raft.membership
        leadership = Leadership(
            term=self.raft.term,
            leader=self._leader_address(),
            serves=self.raft.can_serve,
            voters=len(membership.voters),
            members=tuple(member.address for member in membership.members),
            is_member=membership.find(self.identity.disk) is not None,
        )
        if leadership != self.leadership:
            self.leadership = leadership
            self.outlets.leadership_changed(leadership)

    def _note_leadership(self) -> None:
        self._tell_leadership()
        if self.raft.is_leader == self.was_leader:
            return
        self.was_leader = self.raft.is_leader
        event = Event.became_leader if self.was_leader else Event.became_follower
        self.node.events.emit(logger, event, term=self.raft.term)
        if not self.was_leader:
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        for pending in self.waiting.commands.values():
            pending.reply_to.send(self._not_leading())
        for reply_to in self.waiting.reads.values():
            reply_to.send(self._not_leading())
        self.waiting.commands.clear()
        self.waiting.reads.clear()

    def _not_leading(self) -> NotLeading:
        leader = '' if self.raft.is_leader else self._leader_address()
        return NotLeading(leader=leader)

    def _leader_address(self) -> str:
        return self._address_of(self.raft.leader)

    def _address_of(self, disk: str) -> str:
        member = self.raft.membership.find(disk)
        if member is None:
            # A replica that has just joined doesn't hold the membership yet.
            return self.addresses.get(disk, '')
        return member.address

    def _log_members(self, membership: Membership) -> None:
        self.node.events.emit(
            logger,
            Event.member_changed,
            members=[
                f'{member.address}/{member.disk}/{"voter" if member.voter else "learner"}'
                for member in membership.members
            ],
        )


_HANDLERS = {  # noqa: WPS407 - one per message type
    Propose: Replica.propose,
    Deliver: Replica.deliver,
    TimePassed: Replica.pass_time,
    FormGroup: Replica.form_group,
    BlankSeen: Replica.see_blank,
    ReadBarrier: Replica.read_barrier,
    HandOver: Replica.hand_over,
    FindApply: Replica.find_apply,
    GetReplicaStatus: Replica.status,
}
