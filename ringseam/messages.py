"""Typed messages between the processes of the system.

All are msgspec structs over msgpack: typed and validated on arrival, without
generated code. Durations are milliseconds; a deadline always travels as time
left, never as wall time.
"""

from __future__ import annotations

from enum import Enum
from typing import Union

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of messages."""


class Tagged(Message, frozen=True, kw_only=True, omit_defaults=True, tag=True):
    """Base of messages that stand in a union, told apart by their name."""


class Empty(Message, frozen=True, kw_only=True):
    """Nothing but the envelope."""


# -- entry to agent ---------------------------------------------------------


class Ticket(Message, frozen=True, kw_only=True):
    """The agent state that the sender had seen when it chose the agent.

    An agent refuses a ticket that is older than what it remembers of
    executions, so a sender that froze for long can't bring old work back.
    """

    incarnation: str
    sequence: int


class Dispatch(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask an agent to execute one stage of one request."""

    request_id: str
    account: str
    key: str
    pipeline: str
    stage: str
    pool: str
    path: str
    generation: int
    ticket: Ticket
    time_left_ms: int
    priority: int
    repeatable: bool
    content_type: str
    body: bytes
    model: str = ''
    #: Server time that the sender expects, from recent executions.
    est_ms: float = 0
    #: Time that the later stages of the pipeline will need of what is left.
    reserve_ms: float = 0


class RefusalReason(Enum):
    """Why a dispatch was not run."""

    draining = 'draining'
    deadline = 'deadline'
    queue_full = 'queue-full'
    stale_revision = 'stale-revision'
    stale_ticket = 'stale-ticket'
    old_generation = 'old-generation'
    tombstoned = 'tombstoned'
    incarnation = 'other-incarnation'
    unreachable = 'unreachable'
    declared = 'declared-not-run'
    cancelled = 'cancelled'
    no_server = 'no-server'
    unauthorised_pool = 'pool-not-granted'
    ledger = 'ledger-unreachable'


class StageDone(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The stage ran and gave a whole answer."""

    request_id: str
    stage: str
    generation: int
    content_type: str
    body: bytes
    server_ms: float = 0
    queue_ms: float = 0
    tokens: int = 0


class StageNotRun(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The stage did not run and, for this generation, never will."""

    reason: RefusalReason
    retry_after_ms: int = 0


class StageFailed(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The stage ran and definitely failed."""

    detail: str
    server_ms: float = 0
    status: int = 0


class StageTimedOut(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Repeatable work passed its deadline and was cancelled."""

    server_ms: float = 0


class StageUnknown(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The stage may have run."""

    detail: str
    server_ms: float = 0


class StageRunning(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The stage is running now for an earlier ask."""

    retry_after_ms: int = 0


StageReply = Union[
    StageDone,
    StageNotRun,
    StageFailed,
    StageTimedOut,
    StageUnknown,
    StageRunning,
]


class Tombstone(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Forbid an execution that never started; else tell how it stands.

    ``ticket`` is the one that the execution was claimed with.
    """

    account: str
    key: str
    stage: str
    generation: int
    ticket: Ticket


# -- agent to control, control to entry -------------------------------------


class AgentState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Soft state that an agent reports; the newest of one incarnation wins."""

    name: str
    address: str
    zone: str
    region: str
    incarnation: str
    sequence: int
    pool: str = ''
    models: tuple[str, ...] = ()
    in_flight: int = 0
    queued: int = 0
    capacity: int = 1
    #: Expected wait in milliseconds of new work, by priority class.
    waits_ms: tuple[float, ...] = ()
    service_ms: float = 0
    draining: bool = False
    serving: bool = False
    revision: int = 0
    started_ms: int = 0


class ProcessState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a process without a backend server tells of itself."""

    name: str
    role: str
    address: str
    incarnation: str
    revision: int = 0


class DispatchReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """An agent's word on a dispatch; a refusal brings the agent's state.

    ``busy`` is the work that runs or waits at the agent as this is said.
    """

    reply: StageReply
    busy: int = 0
    state: Union[AgentState, None] = None


class Piece(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """A part of a streamed answer: as many tokens as came in one interval."""

    text: str


class StreamEnd(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The last frame of a streamed dispatch."""

    reply: DispatchReply


class Frame(Message, frozen=True, kw_only=True, omit_defaults=True):
    """One frame of a streamed dispatch."""

    part: Union[Piece, StreamEnd]


class ReportReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Acknowledgement of a report."""

    accepted: bool = True


class DeltaRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask for directory changes after ``since`` of directory ``epoch``."""

    epoch: str
    since: int
    process: ProcessState


class DeltaReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Directory changes up to ``upto``; ``whole`` replaces the view."""

    epoch: str
    upto: int
    whole: bool
    agents: tuple[AgentState, ...] = ()
    gone: tuple[str, ...] = ()
    #: How many entries this control host hears of; the account limits are
    #: shared among them.
    entries: int = 1
    #: Whether this directory is up long enough to have heard every agent;
    #: before that, a missing agent means nothing.
    warm: bool = True


# -- configuration -----------------------------------------------------------


class AcceptedFile(Message, frozen=True, kw_only=True):
    """One part's file as accepted; ``revision`` is its global number."""

    part: str
    text: str
    apply_id: str
    revision: int


class ConfigRequest(Message, frozen=True, kw_only=True):
    """Ask for the files accepted after revision ``since``."""

    since: int


class ConfigReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Files accepted after ``since``, and the newest revision."""

    revision: int
    files: tuple[AcceptedFile, ...] = ()


class ConfigFiles(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """All accepted files at one revision."""

    revision: int
    files: tuple[AcceptedFile, ...] = ()


class ApplyRequest(Message, frozen=True, kw_only=True):
    """Replace one part's file if its revision is still ``expect``."""

    part: str
    text: str
    expect: int
    operator_token: str
    path: str


class ApplyAccepted(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The file was accepted as ``revision``; a later one may be newest."""

    revision: int
    newest: int
    resent: bool = False


class ApplyConflict(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """Another file was accepted first."""

    revision: int


class FindingLine(Message, frozen=True, kw_only=True):
    """A finding on the wire."""

    path: str
    line: int
    section: str
    key: str
    message: str


class ApplyFindings(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The file has findings and changed nothing."""

    findings: tuple[FindingLine, ...]


class ApplyForbidden(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The operator token is not of this part."""


class Redirect(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """This replica doesn't lead; ``leader`` may, or is empty."""

    leader: str = ''


class ApplyReply(Message, frozen=True, kw_only=True):
    """A control host's word on an apply."""

    reply: Union[ApplyAccepted, ApplyConflict, ApplyFindings, ApplyForbidden, Redirect]


class StatusReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """One control host's view of the system."""

    name: str
    role: str
    term: int
    leader: str
    revision: int
    parts: dict[str, int]
    members: tuple[str, ...]
    processes: tuple[ProcessState, ...]
    agents: tuple[AgentState, ...]
    commit: int = 0
    keys: int = 0
