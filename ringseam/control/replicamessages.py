"""Messages to a replica, its replies, and its settings and callbacks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.commands import Command
    from ringseam.control.raftlog import Member, Packet
    from ringseam.control.state import StateMachine
    from ringseam.util.actors import ReplyTo


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of a replica; durations are in seconds."""

    election_s: float
    heartbeat_s: float
    #: The log is replaced by a snapshot after this many entries or payload bytes.
    snapshot_entries: int
    snapshot_bytes: int = 8 * 2**20
    group_commit: bool = True
    #: Number of voters that the group grows to; 0 means no limit.
    target_voters: int = 0


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Commit a command; the reply is its result or :class:`NotLeading`."""

    command: Command


@dataclass(frozen=True, kw_only=True)
class NotLeading:
    """Reply of a replica that can't commit now; ``leader`` may be able to."""

    leader: str = ''


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """Deliver a packet from the replica at ``address``."""

    packet: Packet
    address: str


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Advance the replica's timers."""


@dataclass(frozen=True, kw_only=True)
class CreateGroup:
    """Create a group with these members, whose data folders all have no group yet."""

    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class NonMemberSeen:
    """Report a data folder that asks to join, at an address that may do so."""

    disk: str
    address: str


@dataclass(frozen=True, kw_only=True)
class ReadBarrier:
    """Start a linearizable read; the reply is ``ReadConfirmed`` or ``NotLeading``."""


@dataclass(frozen=True, kw_only=True)
class ReadConfirmed:
    """A quorum confirmed this replica as leader of ``term``: reads are linearizable."""

    term: int


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Transfer leadership; the reply says whether a transfer was started."""


@dataclass(frozen=True, kw_only=True)
class AnnounceLeave:
    """Announce that a member's process ends; the reply is ``LeaveStatus`` or ``NotLeading``."""

    disk: str


@dataclass(frozen=True, kw_only=True)
class FindApply:
    """Ask whether this apply was accepted, now or earlier."""

    part: str
    expect: int
    apply_id: str


@dataclass(frozen=True, kw_only=True)
class GetReplicaStatus:
    """Ask for a :class:`ReplicaStatus`."""


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """State of a replica, for status queries."""

    disk: str
    group: str
    role: str
    term: int
    leader: str
    commit: int
    members: tuple[Member, ...]
    keys: int


@dataclass(frozen=True, kw_only=True)
class Leadership:
    """The leader that this replica knows of.

    ``can_serve`` is true when this replica leads and may serve requests.
    """

    term: int = 0
    leader: str = ''
    can_serve: bool = False
    voters: int = 0
    members: tuple[str, ...] = ()
    #: Whether this replica's data folder is in the latest membership that it knows.
    is_member: bool = False


@dataclass(kw_only=True)
class ReplicaCallbacks:
    """Functions through which a replica acts; all are called on its actor's thread."""

    send: Callable[[str, Packet], None]
    state_changed: Callable[[StateMachine], None]
    failed: Callable[[str], None]
    leadership_changed: Callable[[Leadership], None] = lambda leadership: None
    #: Called with the payload size of the log after each flush.
    log_changed: Callable[[int], None] = lambda total_bytes: None


@dataclass(frozen=True, kw_only=True)
class PendingCommand:
    """The request that waits for a log entry, and the entry's term when proposed."""

    term: int
    reply_to: ReplyTo


@dataclass(kw_only=True)
class PendingRequests:
    """Requests that wait for a quorum: commands by index, reads by token."""

    commands: dict[int, PendingCommand] = field(default_factory=dict)
    reads: dict[int, ReplyTo] = field(default_factory=dict)
    next_read: int = 0
