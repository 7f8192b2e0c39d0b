"""The Raft consensus algorithm as a plain class without I/O.

The caller passes in messages and the current time, and performs what
:class:`Ready` lists.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014: pre-vote
(9.6), check-quorum (6.2), read-index (6.4), single-server membership changes
(4.1-4.3) and leadership transfer (3.10).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.control.raftlog import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    InstallRequest,
    Membership,
    RaftMessage,
    TimeoutNow,
    VoteReply,
    VoteRequest,
    encode_membership,
)
from ringseam.control.raftreplication import Replication
from ringseam.control.raftstate import (
    EARLY_ELECTION_FRACTION,
    Campaign,
    PendingRead,
    RaftRole,
    Ready,
)

if TYPE_CHECKING:
    from collections.abc import Collection


class Raft(Replication):  # noqa: WPS214 - one algorithm, many small rules
    """One replica's instance of the algorithm: elections, proposals and reads."""

    @property
    def can_serve(self) -> bool:
        """Return whether this replica leads and has committed an entry of its own term."""
        return self.is_leader and self.log.term_at(self.commit_index) == self.term

    @property
    def membership_is_committed(self) -> bool:
        """Return whether the latest membership in the log is committed."""
        return self.membership_history[-1][0] <= self.commit_index

    def tick(self, now: float) -> None:
        """Check the leader's quorum, or start an election when the timeout has passed."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self.election_deadline and self._is_voter():
            self._campaign(now, pre=True)

    def step(self, source: str, message: RaftMessage, now: float) -> None:
        """Handle a message from replica ``source``."""
        if isinstance(message, VoteRequest):
            self._on_vote_request(source, message, now)
            return
        if message.term > self.term and not _is_pre_vote_grant(message):
            self._become_follower(message.term, '', now)
        if isinstance(message, VoteReply):
            self._on_vote_reply(source, message, now)
        elif isinstance(message, AppendReply):
            self._on_append_reply(source, message, now)
        elif message.term < self.term:
            self._send(source, AppendReply(term=self.term, accepted=False, match=0))
        else:
            self._on_leader_message(source, message, now)

    def propose(self, payload: bytes) -> int | None:
        """Append a command and return its index.

        Returns None when this replica doesn't lead or is transferring leadership.
        """
        if not self.is_leader or self.transfer_target:
            return None
        return self._append(EntryKind.command, payload)

    def change_membership(self, membership: Membership) -> int | None:
        """Append a change of one member and return its index.

        Returns None when this replica can't serve, while an earlier change is not
        committed, and during a leadership transfer.
        """
        may_change = self.can_serve and self.membership_is_committed
        if not may_change or self.transfer_target:
            return None
        return self._append(EntryKind.membership, encode_membership(membership))

    def read(self, token: int) -> bool:
        """Start a linearizable read; False when this replica can't serve.

        ``token`` appears in ``Ready.reads`` once a quorum has confirmed leadership.
        """
        if not self.can_serve:
            return False
        self.read_round += 1
        self.reads.append(
            PendingRead(token=token, index=self.commit_index, round_number=self.read_round),
        )
        return True

    def transfer_leadership(self, now: float, *, avoid: Collection[str] = ()) -> bool:
        """Start a transfer of leadership to the voter with the longest matching log.

        One of ``avoid`` is chosen only if there is no other. Returns False when this replica
        doesn't lead or there is no other voter.
        """
        peers = [disk for disk in self.membership.voters if disk in self.progress]
        peers = [disk for disk in peers if disk not in avoid] or peers
        if not self.is_leader or not peers:
            return False
        self.transfer_target = max(peers, key=self._match_index)
        self._try_transfer(now)
        return True

    def mark_persisted(self) -> None:
        """Record that all entries of the log are synced to this replica's disk."""
        self.persisted_index = self.log.last_index
        if self.is_leader:
            self._advance_commit()

    def take_ready(self, now: float) -> Ready:
        """Return the work that arose since the last call."""
        if self.is_leader:
            self._replicate(now)
            self._release_reads()
        ready = self.ready
        self.ready = Ready()
        hard_state = HardState(self.term, self.voted_for)
        if hard_state != self.saved_hard_state:
            ready.hard_state = hard_state
            self.saved_hard_state = hard_state
        ready.committed = self.log.entries_between(self.applied_index + 1, self.commit_index)
        self.applied_index = self.commit_index
        return ready

    def _campaign(self, now: float, *, pre: bool, transfer: bool = False) -> None:
        if not self._is_voter():
            return
        self._reset_election_timer(now, fraction=EARLY_ELECTION_FRACTION)
        self.leader = ''
        self.campaign = Campaign(votes={self.disk: True})
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
        for peer in self._voting_peers():
            self._send(peer, request)
        self._count_votes(now)

    def _on_vote_request(self, source: str, request: VoteRequest, now: float) -> None:
        if self._has_recent_leader_contact(now) and not request.transfer:
            self._reject_vote(source, request)
            return
        if request.term > self.term and not request.pre:
            self._become_follower(request.term, '', now)
        current = (self.log.last_term, self.log.last_index)
        granted = (request.last_term, request.last_index) >= current
        if request.pre:
            granted = granted and request.term > self.term
        else:
            may_vote = self.voted_for in {'', source}
            granted = granted and request.term == self.term and may_vote
        if not granted:
            self._reject_vote(source, request)
            return
        if request.pre:
            self._yield_to(source, request, now)
        else:
            self.voted_for = source
            self._reset_election_timer(now)
        self._send(source, VoteReply(term=request.term, granted=True, pre=request.pre))

    def _yield_to(self, source: str, request: VoteRequest, now: float) -> None:
        """Let another replica campaign first.

        Two candidates of one term take votes from each other, and while hosts are missing
        neither may get enough. A replica defers its next campaign once only, as the other
        one may not hear the votes.
        """
        own = (self.log.last_term, self.log.last_index, self.disk)
        if self.role is RaftRole.pre_candidate:
            if own < (request.last_term, request.last_index, source):
                self.role = RaftRole.follower
                self._reset_election_timer(now, fraction=EARLY_ELECTION_FRACTION)
        elif self.role is RaftRole.follower and not self.campaign.next_deferred:
            self.campaign.next_deferred = True
            self._reset_election_timer(now, fraction=EARLY_ELECTION_FRACTION)

    def _reject_vote(self, source: str, request: VoteRequest) -> None:
        self._send(source, VoteReply(term=self.term, granted=False, pre=request.pre))

    def _on_vote_reply(self, source: str, reply: VoteReply, now: float) -> None:
        expected_role = RaftRole.pre_candidate if reply.pre else RaftRole.candidate
        expected_term = self.term + 1 if reply.pre else self.term
        if self.role is expected_role and reply.granted and reply.term == expected_term:
            self.campaign.votes[source] = True
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        voters = self.membership.voters
        granted = sum(1 for disk in voters if self.campaign.votes.get(disk))
        if granted < self.membership.quorum:
            return
        if self.role is RaftRole.pre_candidate:
            self._campaign(now, pre=False)
        elif self.role is RaftRole.candidate:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = RaftRole.leader
        self.leader = self.disk
        self.transfer_target = ''
        self.reads.clear()
        self.progress = {}
        self._update_progress(now)
        self._append(EntryKind.noop, b'')

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ''
        if self.is_leader:
            self.reads.clear()
            self.leader_contact_at = float('-inf')
        self.role = RaftRole.follower
        self.leader = leader
        self.transfer_target = ''
        self._reset_election_timer(now)

    def _record_leader_contact(self, source: str, now: float) -> None:
        if self.role is not RaftRole.follower or self.leader != source:
            self._become_follower(self.term, source, now)
        self.leader_contact_at = now
        self._reset_election_timer(now)

    def _has_recent_leader_contact(self, now: float) -> bool:
        if self.is_leader:
            return True
        return now - self.leader_contact_at < self.election_s

    def _tick_leader(self, now: float) -> None:
        self._update_progress(now)
        reachable = 1 + sum(
            1
            for disk in self.membership.voters
            if disk in self.progress and now - self.progress[disk].last_contact < self.election_s
        )
        if not self._is_voter():
            reachable -= 1
        if reachable < self.membership.quorum:
            self._become_follower(self.term, '', now)
        elif self.transfer_target and now >= self.election_deadline:
            self.transfer_target = ''

    def _on_leader_message(self, source: str, message: RaftMessage, now: float) -> None:
        if isinstance(message, TimeoutNow):
            self._campaign(now, pre=False, transfer=True)
            return
        self._record_leader_contact(source, now)
        if isinstance(message, AppendRequest):
            self._on_append(source, message)
        elif isinstance(message, InstallRequest):
            self._on_install(source, message)


def _is_pre_vote_grant(message: RaftMessage) -> bool:
    return isinstance(message, VoteReply) and message.pre and message.granted
