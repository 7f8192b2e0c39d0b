"""State of a Raft replica, and the work that it hands to its caller."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.control.raftlog import (
    EntryKind,
    HardState,
    Log,
    LogEntry,
    Membership,
    RaftMessage,
    Snapshot,
    decode_membership,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A replica that has just started, or was not elected, campaigns after this fraction
#: of the election timeout. The pre-vote keeps this from disturbing a working leader.
EARLY_ELECTION_FRACTION = 0.4


class RaftRole(enum.Enum):
    """Role of a replica in its current term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(kw_only=True)
class Progress:
    """What the leader knows about a peer's log; ``probing`` until ``match`` is known."""

    next_index: int
    match: int = 0
    last_contact: float = 0
    read_round: int = 0
    #: The newest read round that was sent; a lost one is sent again with a heartbeat.
    sent_round: int = 0
    sent_at: float = float('-inf')
    snapshot_resend_at: float = float('-inf')
    #: The index of the snapshot that was last sent.
    snapshot_index: int = 0
    probing: bool = True


@dataclass(kw_only=True)
class Ready:
    """Work for the caller, in this order: save, send, apply."""

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: Snapshot | None = None
    messages: list[tuple[str, RaftMessage]] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)
    reads: list[int] = field(default_factory=list)

    @property
    def must_save(self) -> bool:
        """Return whether something must be synced to disk before messages are sent."""
        changed = self.hard_state is not None or self.truncate_from is not None
        return changed or bool(self.entries) or self.snapshot is not None


@dataclass(kw_only=True)
class PendingRead:
    """A linearizable read that waits for a round of heartbeats to be confirmed."""

    token: int
    index: int
    round_number: int


@dataclass(kw_only=True)
class Campaign:
    """A replica's latest campaign, and whether the next one was deferred to another's."""

    votes: dict[str, bool] = field(default_factory=dict)
    next_deferred: bool = False


class RaftState:
    """A replica's term, role and log, and its knowledge of its peers."""

    def __init__(
        self,
        *,
        disk: str,
        log: Log,
        hard_state: HardState,
        election_s: float,
        heartbeat_s: float,
        seed: int,
        now: float,
    ) -> None:
        """Start as a follower with the state that was loaded from the data folder."""
        self.disk = disk
        self.log = log
        self.term = hard_state.term
        self.voted_for = hard_state.voted_for
        self.election_s = election_s
        self.heartbeat_s = heartbeat_s
        self.random = random.Random(seed)  # noqa: S311 - randomizes election timeouts only
        self.role = RaftRole.follower
        self.leader = ''
        self.leader_contact_at = float('-inf')
        self.commit_index = log.snapshot.index
        self.applied_index = log.snapshot.index
        self.persisted_index = log.last_index
        self.membership_history = log.memberships()
        self.campaign = Campaign()
        self.progress: dict[str, Progress] = {}
        self.reads: list[PendingRead] = []
        self.read_round = 0
        self.ready = Ready()
        self.saved_hard_state = hard_state
        self.transfer_target = ''
        self._reset_election_timer(now, fraction=EARLY_ELECTION_FRACTION)

    @property
    def membership(self) -> Membership:
        """Return the latest membership in the log, committed or not."""
        return self.membership_history[-1][1]

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads."""
        return self.role is RaftRole.leader

    def compact_to(self, snapshot: Snapshot) -> None:
        """Replace the entries up to the snapshot's index by the snapshot."""
        self.log.compact(snapshot)
        self.membership_history = self.log.memberships()

    def _is_voter(self) -> bool:
        return self.disk in self.membership.voters

    def _voting_peers(self) -> Iterable[str]:
        return (disk for disk in self.membership.voters if disk != self.disk)

    def _send(self, target: str, message: RaftMessage) -> None:
        self.ready.messages.append((target, message))

    def _reset_election_timer(self, now: float, *, fraction: float = 1) -> None:
        self.election_deadline = now + fraction * self.election_s * (1 + self.random.random())

    def _store(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self.ready.entries.append(entry)
        if entry.kind is EntryKind.membership:
            self.membership_history.append((entry.index, decode_membership(entry.payload)))
