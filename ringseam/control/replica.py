"""One replica: connects Raft, storage and the state machine."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from ringseam.control.membership import MembershipRepair
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
    AnnounceLeave,
    CreateGroup,
    Deliver,
    FindApply,
    GetReplicaStatus,
    Leadership,
    NonMemberSeen,
    NotLeading,
    PendingCommand,
    PendingRequests,
    Propose,
    ReadBarrier,
    ReadConfirmed,
    ReplicaCallbacks,
    ReplicaSettings,
    ReplicaStatus,
    Tick,
    TransferLeadership,
)
from ringseam.control.state import StateMachine, encode_command
from ringseam.control.storage import Identity, Storage
from ringseam.errors import StorageError
from ringseam.events import Event
from ringseam.util.actors import ReplyTo

if TYPE_CHECKING:
    from ringseam.commands import Command
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class Replica:
    """Run Raft: persist its state, then send messages, then apply entries.

    A plain class without a thread: messages come from :class:`ReplicaActor`, or
    from a test directly.
    """

    def __init__(
        self,
        *,
        node: Node,
        storage: Storage,
        settings: ReplicaSettings,
        callbacks: ReplicaCallbacks,
        seed: int,
    ) -> None:
        """Load the data folder and start as a follower."""
        self.node = node
        self.storage = storage
        self.settings = settings
        self.callbacks = callbacks
        loaded = storage.load()
        if loaded.truncated_bytes:
            node.events.emit(logger, Event.log_tail_cut, cut_bytes=loaded.truncated_bytes)
        self.identity = loaded.identity
        node.group = loaded.identity.group
        self.seed = seed
        self.raft = self._new_raft(loaded.log, loaded.hard_state)
        self.state_machine = StateMachine(snapshot=loaded.log.snapshot.state)
        self.pending = PendingRequests()
        self.repair = MembershipRepair(target_voters=settings.target_voters)
        self.learned_addresses: dict[str, str] = {}
        self.was_leader = False
        self.leadership = Leadership()
        self.callbacks.state_changed(self.state_machine)

    def receive(self, body: Any, reply_to: ReplyTo | None = None) -> None:
        """Handle one message; the caller must call ``flush`` afterwards."""
        _HANDLERS[type(body)](self, body, reply_to)

    # -- messages -----------------------------------------------------------

    def propose(self, request: Propose, reply_to: ReplyTo) -> None:
        """Append a command to the log; the reply follows once it is applied."""
        payload = self._encode(request.command)
        index = None if payload is None else self.raft.propose(payload)
        if index is None:
            reply_to.send(self._not_leading())
        else:
            self.pending.commands[index] = PendingCommand(
                term=self.raft.term,
                reply_to=reply_to,
            )

    def deliver(self, deliver: Deliver, reply_to: ReplyTo | None) -> None:
        """Pass a packet's messages to Raft if they are for this data folder and group.

        A replica without a group joins the group of the first packet.
        """
        packet = deliver.packet
        if packet.target != self.identity.disk or not packet.group:
            return
        if not self.identity.group:
            self._join(packet.group)
        if packet.group != self.identity.group:
            return
        self.learned_addresses[packet.source] = deliver.address
        now = self.node.clock.now()
        for message in packet.messages:
            self.raft.step(packet.source, message, now)

    def tick(self, tick: Tick, reply_to: ReplyTo | None) -> None:
        """Advance Raft's timers and propose a membership change if one is due."""
        if not self.identity.group:
            return
        now = self.node.clock.now()
        self.raft.tick(now)
        if self.raft.can_serve:
            change = self.repair.next_change(self.raft, now)
            if change is not None and self.raft.change_membership(change) is not None:
                self._log_members(change)

    def create_group(self, request: CreateGroup, reply_to: ReplyTo | None) -> None:
        """Create a group whose first snapshot holds the members; no-op within a group."""
        if self.identity.group:
            return
        self._initialize_group(Membership(request.members))

    def record_non_member(self, report: NonMemberSeen, reply_to: ReplyTo | None) -> None:
        """Record a data folder outside the group, as a candidate for membership."""
        self.repair.record(report.disk, report.address, self.node.clock.now())

    def read_barrier(self, request: ReadBarrier, reply_to: ReplyTo) -> None:
        """Start a linearizable read."""
        self.pending.next_read += 1
        if self.raft.read(self.pending.next_read):
            self.pending.reads[self.pending.next_read] = reply_to
        else:
            reply_to.send(self._not_leading())

    def transfer_leadership(self, request: TransferLeadership, reply_to: ReplyTo) -> None:
        """Start a transfer of leadership to another voter, if possible one that stays."""
        now = self.node.clock.now()
        reply_to.send(
            self.raft.transfer_leadership(now, avoid=self.repair.leaving_voters(self.raft, now))
        )

    def record_leave(self, request: AnnounceLeave, reply_to: ReplyTo) -> None:
        """Reply what becomes of the vote of a member whose process is about to end."""
        if self.raft.can_serve:
            now = self.node.clock.now()
            reply_to.send(self.repair.record_leave(self.raft, request.disk, now))
        else:
            reply_to.send(self._not_leading())

    def find_apply(self, request: FindApply, reply_to: ReplyTo) -> None:
        """Reply whether an apply was accepted, now or earlier."""
        reply_to.send(
            self.state_machine.was_accepted(request.part, request.expect, request.apply_id)
        )

    def status(self, request: GetReplicaStatus, reply_to: ReplyTo) -> None:
        """Reply with a :class:`ReplicaStatus`."""
        reply_to.send(
            ReplicaStatus(
                disk=self.identity.disk,
                group=self.identity.group,
                role=self.raft.role.value,
                term=self.raft.term,
                leader=self._leader_address(),
                commit=self.raft.commit_index,
                members=self.raft.membership.members,
                keys=len(self.state_machine.ledger.state.runs),
            ),
        )

    # -- work from Raft ------------------------------------------------------

    def flush(self) -> None:
        """Save, send and apply until Raft has no more work."""
        if not self.identity.group:
            return
        while True:  # noqa: WPS457 - ends when Raft has no more work
            ready = self.raft.take_ready(self.node.clock.now())
            if ready.must_save:
                self._save(ready)
            self._send(ready.messages)
            self._apply(ready.committed)
            for token in ready.reads:
                self.pending.reads.pop(token).send(ReadConfirmed(term=self.raft.term))
            if not (ready.must_save or ready.committed):
                break
        self._update_leadership()
        self._compact()
        self.callbacks.log_changed(self.raft.log.total_bytes)

    def _save(self, ready: Ready) -> None:
        if ready.snapshot is None:
            self.storage.save(
                hard_state=ready.hard_state,
                truncate_from=ready.truncate_from,
                entries=ready.entries,
            )
        else:
            self._install(ready.snapshot)
        self.raft.mark_persisted()

    def _install(self, snapshot: Snapshot) -> None:
        self.storage.save_snapshot(
            snapshot,
            HardState(self.raft.term, self.raft.voted_for),
            self.raft.log.entries,
        )
        self.state_machine.restore(snapshot.state)
        self.callbacks.state_changed(self.state_machine)
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
                # A packet has at most one message with a payload, which bounds its size.
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
            self.callbacks.send(address, packet)

    def _apply(self, committed: list[LogEntry]) -> None:
        watched_version = self.state_machine.watched_version
        for entry in committed:
            outcome: Any = self._not_leading()
            if entry.kind is EntryKind.command:
                outcome = self.state_machine.apply(entry.payload)
            pending = self.pending.commands.pop(entry.index, None)
            if pending is not None:
                same_term = pending.term == entry.term
                pending.reply_to.send(outcome if same_term else self._not_leading())
        if self.state_machine.watched_version != watched_version:
            self.callbacks.state_changed(self.state_machine)

    def _compact(self) -> None:
        if not self._is_compaction_due():
            return
        log = self.raft.log
        log_bytes = log.total_bytes
        index = self.raft.applied_index
        membership = [past for at, past in self.raft.membership_history if at <= index][-1]
        snapshot = Snapshot(
            index=index,
            term=log.term_at(index) or 0,
            membership=membership,
            state=self.state_machine.snapshot(),
        )
        self.raft.compact_to(snapshot)
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
        """Return whether a snapshot should replace the applied entries.

        An entry can be a whole document, so the size counts as well: otherwise 160
        changes of a document of 0.8 MB would fill a disk of 128 MB. A log smaller
        than the last snapshot is kept, which limits the bytes written to twice the
        bytes proposed.
        """
        log = self.raft.log
        first = log.snapshot.index + 1
        if self.raft.applied_index - log.snapshot.index >= self.settings.snapshot_entries:
            return True
        max_bytes = max(self.settings.snapshot_bytes, len(log.snapshot.state))
        return log.bytes_between(first, self.raft.applied_index) >= max_bytes

    # -- helpers ------------------------------------------------------------

    def _new_raft(self, log: Log, hard_state: HardState) -> Raft:
        return Raft(
            disk=self.identity.disk,
            log=log,
            hard_state=hard_state,
            election_s=self.settings.election_s,
            heartbeat_s=self.settings.heartbeat_s,
            seed=self.seed,
            now=self.node.clock.now(),
        )

    def _initialize_group(self, membership: Membership) -> None:
        group = f'g-{self.identity.disk}'
        snapshot = Snapshot(index=1, term=1, membership=membership)
        hard_state = HardState(1, '')
        # Sync the snapshot first, so that a crash can't leave a group without members.
        self.storage.save_snapshot(snapshot, hard_state, [])
        self._join(group)
        self.raft = self._new_raft(Log(snapshot=snapshot, entries=[]), hard_state)
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

    def _publish_leadership(self) -> None:
        membership = self.raft.membership
        leadership = Leadership(
            term=self.raft.term,
            leader=self._leader_address(),
            can_serve=self.raft.can_serve,
            voters=len(membership.voters),
            members=tuple(member.address for member in membership.members),
            is_member=membership.find(self.identity.disk) is not None,
        )
        if leadership != self.leadership:
            self.leadership = leadership
            self.callbacks.leadership_changed(leadership)

    def _update_leadership(self) -> None:
        self._publish_leadership()
        if self.raft.is_leader == self.was_leader:
            return
        self.was_leader = self.raft.is_leader
        event = Event.became_leader if self.was_leader else Event.became_follower
        self.node.events.emit(logger, event, term=self.raft.term)
        if not self.was_leader:
            self._reject_pending()

    def _reject_pending(self) -> None:
        for pending in self.pending.commands.values():
            pending.reply_to.send(self._not_leading())
        for reply_to in self.pending.reads.values():
            reply_to.send(self._not_leading())
        self.pending.commands.clear()
        self.pending.reads.clear()

    def _not_leading(self) -> NotLeading:
        leader = '' if self.raft.is_leader else self._leader_address()
        return NotLeading(leader=leader)

    def _leader_address(self) -> str:
        return self._address_of(self.raft.leader)

    def _address_of(self, disk: str) -> str:
        member = self.raft.membership.find(disk)
        if member is None:
            # A replica that has just joined has no membership in its log yet.
            return self.learned_addresses.get(disk, '')
        return member.address

    def _encode(self, command: Command) -> bytes | None:
        """Return the payload of a command; None if it can't be encoded.

        Requests are checked when they are decoded. One that gets past must not stop the
        replica, nor the next one to which its sender turns.
        """
        try:
            return encode_command(command)
        except (UnicodeEncodeError, OverflowError) as error:
            logger.warning('a command that cannot be encoded was refused: %s', error)
            return None

    def _log_members(self, membership: Membership) -> None:
        self.node.events.emit(
            logger,
            Event.member_changed,
            members=[
                f'{member.address}/{member.disk}/{"voter" if member.voter else "learner"}'
                for member in membership.members
            ],
        )


_HANDLERS = {  # noqa: WPS407 - one for each message type
    Propose: Replica.propose,
    Deliver: Replica.deliver,
    Tick: Replica.tick,
    CreateGroup: Replica.create_group,
    NonMemberSeen: Replica.record_non_member,
    ReadBarrier: Replica.read_barrier,
    TransferLeadership: Replica.transfer_leadership,
    AnnounceLeave: Replica.record_leave,
    FindApply: Replica.find_apply,
    GetReplicaStatus: Replica.status,
}
