"""What a replica is told, asked and answers with."""

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
    """Durations in seconds."""

    election_s: float
    heartbeat_s: float
    #: A snapshot replaces the log after this many entries or payload bytes.
    snapshot_entries: int
    snapshot_bytes: int = 8 * 2**20
    group_commit: bool = True
    #: How many voters the group grows to; 0 stands for no limit.
    target_voters: int = 0


@dataclass(frozen=True, kw_only=True)
class Propose:
    """Commit a command; the reply is its result or ``NotLeading``."""

    command: Command


@dataclass(frozen=True, kw_only=True)
class NotLeading:
    """This replica can't commit now; ``leader`` may."""

    leader: str = ''


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """Messages arrived from the replica at ``address``."""

    packet: Packet
    address: str


@dataclass(frozen=True, kw_only=True)
class Tick:
    """The timer of the event loop fired."""


@dataclass(frozen=True, kw_only=True)
class FormGroup:
    """Found a new group with these members, all known to be blank."""

    members: tuple[Member, ...]


@dataclass(frozen=True, kw_only=True)
class NonMemberSeen:
    """A blank folder was seen at a configured address."""

    disk: str
    address: str


@dataclass(frozen=True, kw_only=True)
class ReadBarrier:
    """Reply ``ReadConfirmed`` once a read here is so, or ``NotLeading``."""


@dataclass(frozen=True, kw_only=True)
class ReadConfirmed:
    """A quorum confirmed this replica as the leader of ``term``."""

    term: int


@dataclass(frozen=True, kw_only=True)
class TransferLeadership:
    """Give leadership away; the reply says whether it was tried."""


@dataclass(frozen=True, kw_only=True)
class FindApply:
    """Ask whether this apply was accepted before, be it long ago."""

    part: str
    expect: int
    apply_id: str


@dataclass(frozen=True, kw_only=True)
class GetReplicaStatus:
    """Ask for a :class:`ReplicaStatus`."""


@dataclass(frozen=True, kw_only=True)
class ReplicaStatus:
    """How this replica stands."""

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
    """Who leads, as this replica knows; ``can_serve`` when it does so itself."""

    term: int = 0
    leader: str = ''
    can_serve: bool = False
    voters: int = 0
    members: tuple[str, ...] = ()
    #: Whether this replica's folder belongs to the membership it knows.
    is_member: bool = False


@dataclass(kw_only=True)
class ReplicaCallbacks:
    """Where the actor's effects go; each is called on the actor's thread."""

    send: Callable[[str, Packet], None]
    state_changed: Callable[[StateMachine], None]
    failed: Callable[[str], None]
    leadership_changed: Callable[[Leadership], None] = lambda leadership: None
    #: Told the payload bytes of the log after each flush.
    log_changed: Callable[[int], None] = lambda total_bytes: None


@dataclass(frozen=True, kw_only=True)
class PendingCommand:
    """Who waits for the entry at an index, and the term it was given."""

    term: int
    reply_to: ReplyTo


@dataclass(kw_only=True)
class PendingRequests:
    """Askers whose answer needs the quorum."""

    commands: dict[int, PendingCommand] = field(default_factory=dict)
    reads: dict[int, ReplyTo] = field(default_factory=dict)
    next_read: int = 0
