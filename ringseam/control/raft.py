"""The Raft algorithm as a plain class: messages and time in, a Ready out.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014: pre-vote
(9.6), check-quorum (6.2), read-index (6.4), one-server membership changes
(4.1-4.3) and leadership transfer (3.10).
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.control.raftlog import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    InstallRequest,
    Log,
    LogEntry,
    Membership,
    RaftMessage,
    Snapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    decode_membership,
    encode_membership,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A replica that has just started, or was not elected, asks for votes after this
#: share of the usual time: asking first (pre-vote) disturbs no leader.
_FIRST_ELECTION = 0.4
_BATCH_ENTRIES = 256
_WINDOW_ENTRIES = 4096
_SNAPSHOT_AGAIN_S = 2.0


class RaftRole(enum.Enum):
    """What a replica does in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(kw_only=True)
class Progress:
    """What the leader knows of one peer."""

    next_index: int
    match: int = 0
    heard: float = 0
    read_round: int = 0
    sent_at: float = float('-inf')
    snapshot_due: float = float('-inf')
    probing: bool = True


@dataclass(kw_only=True)
class Ready:
    """What must be done now, in this order: save, send, apply."""

    hard: HardState | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    messages: list[tuple[str, RaftMessage]] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)
    reads: list[int] = field(default_factory=list)

    @property
    def must_save(self) -> bool:
        """Return whether anything must be synced before sending."""
        changed = self.hard is not None or self.truncate_from is not None
        return changed or bool(self.entries) or self.snapshot is not None


@dataclass(kw_only=True)
class PendingRead:
    """A read that waits for a round of heartbeats."""

    token: int
    index: int
    round_number: int


class Raft:  # noqa: WPS214 - one algorithm, many small rules
    """One replica's part in the agreement."""

    def __init__(
        self,
        *,
        disk: str,
        log: Log,
        hard: HardState,
        election_s: float,
        heartbeat_s: float,
        seed: int,
        now: float,
    ) -> None:
        """Begin as a follower with what the data folder holds."""
        self.disk = disk
        self.log = log
        self.term = hard.term
        self.voted_for = hard.voted_for
        self.election_s = election_s
        self.heartbeat_s = heartbeat_s
        self.random = random.Random(seed)  # noqa: S311 - spreads elections only
        self.role = RaftRole.follower
        self.leader = ''
        self.leader_heard = float('-inf')
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self.stable = log.last_index
        self.history = log.memberships()
        self.votes: dict[str, bool] = {}
        self.progress: dict[str, Progress] = {}
        self.reads: list[PendingRead] = []
        self.read_round = 0
        self.ready = Ready()
        self.saved_hard = hard
        self.handing_over = ''
        self._postpone(now, share=_FIRST_ELECTION)

    # -- what the driver calls ----------------------------------------------

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self.history[-1][1]

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.role is RaftRole.leader

    @property
    def can_serve(self) -> bool:
        """Return whether a leader's own first entry is committed."""
        return self.is_leader and self.log.term_at(self.commit) == self.term

    def tick(self, now: float) -> None:
        """Let time pass: campaign, or keep and check the quorum."""
        if self.is_leader:
            self._lead(now)
        elif now >= self.election_due and self._is_voter():
            self._campaign(now, pre=True)

    def step(self, source: str, message: RaftMessage, now: float) -> None:
        """Take in a message from replica ``source``."""
        if isinstance(message, VoteRequest):
            self._on_vote_request(source, message, now)
            return
        if message.term > self.term and not _is_pre_grant(message):
            self._follow(message.term, '', now)
        if isinstance(message, VoteReply):
            self._on_vote_reply(source, message, now)
        elif isinstance(message, AppendReply):
            self._on_append_reply(source, message, now)
        elif message.term < self.term:
            self._send(source, AppendReply(term=self.term, accepted=False, match=0))
        else:
            self._obey(source, message, now)

    def propose(self, payload: bytes) -> int | None:
        """Append a command; None when this replica doesn't lead."""
        if not self.is_leader or self.handing_over:
            return None
        return self._append(EntryKind.command, payload)

    def change_membership(self, membership: Membership) -> int | None:
        """Append a change of one member; None when it can't be now."""
        settled = self.history[-1][0] <= self.commit
        if not (self.can_serve and settled) or self.handing_over:
            return None
        return self._append(EntryKind.membership, encode_membership(membership))

    def read(self, token: int) -> bool:
        """Ask that ``token`` comes back once a read here is linearizable."""
        if not self.can_serve:
            return False
        self.read_round += 1
        self.reads.append(
            PendingRead(token=token, index=self.commit, round_number=self.read_round),
        )
        return True

    def hand_over(self, now: float) -> bool:
        """Give leadership to the most advanced voter; False when nobody can."""
        peers = [disk for disk in self.membership.voters if disk in self.progress]
        if not self.is_leader or not peers:
            return False
        self.handing_over = max(peers, key=self._match_of)
        self._try_hand_over(now)
        return True

    def persisted(self) -> None:
        """Hear that all taken entries are synced here."""
        self.stable = self.log.last_index
        if self.is_leader:
            self._advance_commit()

    def take_ready(self, now: float) -> Ready:
        """Return what must be done since the last call."""
        if self.is_leader:
            self._replicate(now)
            self._release_reads()
        ready = self.ready
        self.ready = Ready()
        hard = HardState(self.term, self.voted_for)
        if hard != self.saved_hard:
            ready.hard = hard
            self.saved_hard = hard
        ready.committed = self.log.between(self.applied + 1, self.commit)
        self.applied = self.commit
        return ready

    def compacted(self, snapshot: Snapshot) -> None:
        """Hear that entries up to the snapshot's index were replaced by it."""
        self.log.compact(snapshot)
        self.history = self.log.memberships()

    # -- elections ----------------------------------------------------------

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False) -> None:
        if not self._is_voter():
            return
        self._postpone(now, share=_FIRST_ELECTION)
        self.leader = ''
        self.votes = {self.disk: True}
        if pre:
            self.role = RaftRole.pre_candidate
        else:
            self.role = RaftRole.candidate
            self.term += 1
            self.voted_for = self.disk
        request = VoteRequest(
            term=self.term + 1 if pre else self.term,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre=pre,
            transfer=transfer,
        )
        for peer in self._peers():
            self._send(peer, request)
        self._count_votes(now)

    def _on_vote_request(self, source: str, request: VoteRequest, now: float) -> None:
        if self._hears_leader(now) and not request.transfer:
            self._refuse_vote(source, request)
            return
        if request.term > self.term and not request.pre:
            self._follow(request.term, '', now)
        current = (self.log.last_term, self.log.last_index)
        granted = (request.last_term, request.last_index) >= current
        if request.pre:
            granted = granted and request.term > self.term
        else:
            free = self.voted_for in {'', source}
            granted = granted and request.term == self.term and free
        if not granted:
            self._refuse_vote(source, request)
            return
        if not request.pre:
            self.voted_for = source
            self._postpone(now)
        self._send(source, VoteReply(term=request.term, granted=True, pre=request.pre))

    def _refuse_vote(self, source: str, request: VoteRequest) -> None:
        self._send(source, VoteReply(term=self.term, granted=False, pre=request.pre))

    def _on_vote_reply(self, source: str, reply: VoteReply, now: float) -> None:
        expected = RaftRole.pre_candidate if reply.pre else RaftRole.candidate
        wanted = self.term + 1 if reply.pre else self.term
        if self.role is expected and reply.granted and reply.term == wanted:
            self.votes[source] = True
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = self.membership.voters
        granted = sum(1 for disk in voters if self.votes.get(disk))
        if granted < self.membership.quorum:
            return
        if self.role is RaftRole.pre_candidate:
            self._campaign(now, pre=False)
        elif self.role is RaftRole.candidate:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = RaftRole.leader
        self.leader = self.disk
        self.handing_over = ''
        self.reads.clear()
        self.progress = {}
        self._track(now)
        self._append(EntryKind.noop, b'')

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ''
        if self.is_leader:
            self.reads.clear()
            self.leader_heard = float('-inf')
        self.role = RaftRole.follower
        self.leader = leader
        self.handing_over = ''
        self._postpone(now)

    def _hear_leader(self, source: str, now: float) -> None:
        if self.role is not RaftRole.follower or self.leader != source:
            self._follow(self.term, source, now)
        self.leader_heard = now
        self._postpone(now)

    def _hears_leader(self, now: float) -> bool:
        if self.is_leader:
            return True
        return now - self.leader_heard < self.election_s

    def _postpone(self, now: float, *, share: float = 1) -> None:
        self.election_due = now + share * self.election_s * (1 + self.random.random())

    # -- leading ------------------------------------------------------------

    def _lead(self, now: float) -> None:
        self._track(now)
        heard = 1 + sum(
            1
            for disk in self.membership.voters
            if disk in self.progress and now - self.progress[disk].heard < self.election_s
        )
        if not self._is_voter():
            heard -= 1
        if heard < self.membership.quorum:
            self._follow(self.term, '', now)
        elif self.handing_over and now >= self.election_due:
            self.handing_over = ''

    def _track(self, now: float) -> None:
        members = {member.disk for member in self.membership.members} - {self.disk}
        for disk in members - set(self.progress):
            self.progress[disk] = Progress(next_index=self.log.last_index + 1, heard=now)
        for disk in set(self.progress) - members:
            self.progress.pop(disk)

    def _append(self, kind: EntryKind, payload: bytes) -> int:
        entry = LogEntry(self.log.last_index + 1, self.term, kind, payload)
        self._store(entry)
        return entry.index

    def _store(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self.ready.entries.append(entry)
        if entry.kind is EntryKind.membership:
            self.history.append((entry.index, decode_membership(entry.payload)))

    def _replicate(self, now: float) -> None:
        self._track(now)
        for disk, progress in self.progress.items():
            self._replicate_to(disk, progress, now)

    def _replicate_to(self, disk: str, progress: Progress, now: float) -> None:
        due = now - progress.sent_at >= self.heartbeat_s
        if not due and (progress.probing or not self._has_news(progress)):
            return
        if self.log.term_at(progress.next_index - 1) is None:
            self._send_snapshot(disk, progress, now)
            return
        window = progress.match + _WINDOW_ENTRIES
        self._send_entries(disk, progress, now)
        while progress.next_index <= min(self.log.last_index, window) and not progress.probing:
            self._send_entries(disk, progress, now)

    def _has_news(self, progress: Progress) -> bool:
        if progress.next_index <= self.log.last_index:
            return True
        return bool(self.reads) and progress.read_round < self.read_round

    def _send_entries(self, disk: str, progress: Progress, now: float) -> None:
        first = progress.next_index
        entries = self.log.between(first, first + _BATCH_ENTRIES - 1)
        self._send(
            disk,
            AppendRequest(
                term=self.term,
                prev_index=first - 1,
                prev_term=self.log.term_at(first - 1) or 0,
                commit=self.commit,
                read_round=self.read_round,
                entries=tuple(entries),
            ),
        )
        progress.sent_at = now
        if entries and not progress.probing:
            progress.next_index = entries[-1].index + 1

    def _send_snapshot(self, disk: str, progress: Progress, now: float) -> None:
        progress.sent_at = now
        if now < progress.snapshot_due:
            # The follower is busy taking it: a heartbeat that any log accepts.
            self._send(
                disk,
                AppendRequest(
                    term=self.term,
                    prev_index=0,
                    prev_term=0,
                    commit=0,
                    read_round=self.read_round,
                ),
            )
            return
        progress.snapshot_due = now + _SNAPSHOT_AGAIN_S
        self._send(
            disk,
            InstallRequest(
                term=self.term,
                snapshot=self.log.snapshot,
                read_round=self.read_round,
            ),
        )

    def _on_append_reply(self, source: str, reply: AppendReply, now: float) -> None:
        progress = self.progress.get(source)
        if not self.is_leader or progress is None or reply.term != self.term:
            return
        progress.heard = now
        progress.read_round = max(progress.read_round, reply.read_round)
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.probing = False
            self._advance_commit()
            self._try_hand_over(now)
        else:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match + 1))
            progress.next_index = max(progress.next_index, progress.match + 1)
            progress.probing = True
            progress.sent_at = float('-inf')

    def _advance_commit(self) -> None:
        matches = sorted(self._match_of(disk) for disk in self.membership.voters)
        agreed = matches[-self.membership.quorum]
        if agreed > self.commit and self.log.term_at(agreed) == self.term:
            self.commit = agreed

    def _match_of(self, disk: str) -> int:
        if disk == self.disk:
            return self.stable
        progress = self.progress.get(disk)
        return progress.match if progress else 0

    def _release_reads(self) -> None:
        voters = self.membership.voters
        rounds = sorted(
            self.read_round if disk == self.disk else self._round_of(disk) for disk in voters
        )
        agreed = rounds[-self.membership.quorum]
        while self.reads and self.reads[0].round_number <= agreed:
            self.ready.reads.append(self.reads.pop(0).token)

    def _round_of(self, disk: str) -> int:
        progress = self.progress.get(disk)
        return progress.read_round if progress else 0

    def _try_hand_over(self, now: float) -> None:
        if self.handing_over and self._match_of(self.handing_over) == self.log.last_index:
            self._send(self.handing_over, TimeoutNow(term=self.term))
            self._postpone(now)

    # -- following ----------------------------------------------------------

    def _obey(self, source: str, message: RaftMessage, now: float) -> None:
        if isinstance(message, TimeoutNow):
            self._campaign(now, pre=False, transfer=True)
            return
        self._hear_leader(source, now)
        if isinstance(message, AppendRequest):
            self._on_append(source, message)
        elif isinstance(message, InstallRequest):
            self._on_install(source, message)

    def _on_append(self, source: str, request: AppendRequest) -> None:
        if request.prev_index < self.log.snapshot.index:
            self._reply_append(source, request, accepted=True, match=self.log.snapshot.index)
            return
        if self.log.term_at(request.prev_index) != request.prev_term:
            hint = min(self.log.last_index, request.prev_index - 1)
            self._reply_append(source, request, accepted=False, match=max(hint, self.commit))
            return
        for entry in request.entries:
            self._take_entry(entry)
        match = request.prev_index + len(request.entries)
        self.commit = max(self.commit, min(request.commit, match))
        self._reply_append(source, request, accepted=True, match=match)

    def _take_entry(self, entry: LogEntry) -> None:
        held = self.log.term_at(entry.index)
        if held == entry.term:
            return
        if held is not None:
            self.log.truncate(entry.index)
            self._forget_from(entry.index)
        self._store(entry)

    def _forget_from(self, index: int) -> None:
        earliest = self.ready.truncate_from
        self.ready.truncate_from = index if earliest is None else min(index, earliest)
        self.ready.entries = [kept for kept in self.ready.entries if kept.index < index]
        self.history = [known for known in self.history if known[0] < index]
        self.stable = min(self.stable, index - 1)

    def _reply_append(
        self,
        source: str,
        request: AppendRequest | InstallRequest,
        *,
        accepted: bool,
        match: int,
    ) -> None:
        reply = AppendReply(
            term=self.term,
            accepted=accepted,
            match=match,
            read_round=request.read_round,
        )
        self._send(source, reply)

    def _on_install(self, source: str, request: InstallRequest) -> None:
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self.compacted(snapshot)
            self.commit = snapshot.index
            self.applied = snapshot.index
            self.ready.snapshot = snapshot
            self.ready.entries = [
                kept for kept in self.ready.entries if kept.index > snapshot.index
            ]
        self._reply_append(source, request, accepted=True, match=self.commit)

    # -- helpers ------------------------------------------------------------

    def _is_voter(self) -> bool:
        return self.disk in self.membership.voters

    def _peers(self) -> Iterable[str]:
        return (disk for disk in self.membership.voters if disk != self.disk)

    def _send(self, target: str, message: RaftMessage) -> None:
        self.ready.messages.append((target, message))


def _is_pre_grant(message: RaftMessage) -> bool:
    return isinstance(message, VoteReply) and message.pre and message.granted
