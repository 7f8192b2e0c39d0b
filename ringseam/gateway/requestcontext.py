"""The context of a request being served, and the outcomes of its tries."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Union

from ringseam.gateway.priorities import Precedence, rank_of
from ringseam.gateway.responseactivity import ResponseActivity
from ringseam.quarantinemessages import Suspect
from ringseam.tries import TryRecord

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport
    from ringseam.calls import ClientRequest, ResponseMetadata
    from ringseam.contents import ContentId, PartId
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.streamorigins import StreamOrigin
    from ringseam.web.client import HttpChannel, ResponseHead
    from ringseam.web.exchange import Exchange


class LossCause(enum.Enum):
    """Why the response to a request that may have run is missing."""

    connection = 'connection'
    timeout = 'timeout'
    not_whole = 'not-whole'
    not_authentic = 'not-authentic'
    gap = 'gap'
    #: The connection broke in the middle of the response.
    broken = 'broken'


@dataclass(kw_only=True)
class RequestContext:
    """A client's request, served under one version of the route table; times are absolute."""

    exchange: Exchange
    request: ClientRequest
    route: Route
    service: ServiceName
    account: Account | None
    #: A digest of what the client asks for, independent of the request's id.
    content_id: ContentId
    #: The parts of its prompt, in order.
    part_ids: tuple[PartId, ...] = ()
    arrived: float
    #: The client's deadline or the route's timeout, whichever is earlier.
    deadline: float
    #: Number of the route table that the request is served under.
    table_number: int = 0
    inputs: tuple[str, ...] = ()
    #: Size of the inputs in bytes, by availability zone.
    input_bytes: dict[str, int] = field(default_factory=dict)
    tries: TryRecord = field(init=False)
    #: Rank after the fairness adjustment; None: the request's own rank.
    adjusted_rank: int | None = None
    #: Time since the client's first attempt, seconds; 0: this is the first.
    since_first_attempt_s: float = 0
    #: Whether the response met the route's latency objectives.
    on_time: bool = False
    #: Availability zones in which the request may run; None: all.
    allowed_zones: frozenset[str] | None = None
    #: Whether the request was rejected because of its content, not for lack of capacity.
    rejected_for_content: bool = False
    #: When the trial run of a suspected request was granted; None: not a trial run.
    trial_at: float | None = None
    #: What the request was suspected for when the trial run was granted.
    trial_keys: frozenset[ContentId] = frozenset()
    #: The verdict for which the request was rejected.
    verdict: ContentId | None = None
    #: Time until a server that is rate-limited or paused may accept the request, seconds;
    #: 0: a server was found, or there is none to wait for.
    available_in_s: float = 0
    #: Time that the stages took, seconds.
    stages_duration_s: float = 0
    #: Predicted time for the stages and the final server, seconds.
    predicted_duration_s: float = 0
    #: Spread of recent prediction errors that was added, seconds.
    predicted_spread_s: float = 0
    #: When the first event, or the body, of the response was forwarded; 0: not yet.
    first_event_at: float = 0
    #: The server whose response is awaited or forwarded.
    server: BackendReport | None = None
    #: The responses of the servers that the request was sent to.
    activities: dict[BackendId, ResponseActivity] = field(default_factory=dict)
    #: What a stream must continue at; None: it may begin at any server.
    origin: StreamOrigin | None = None
    #: What decided whether the request was admitted; empty: it has no stages.
    decided_by: str = ''

    def __post_init__(self) -> None:
        """Create an empty record of tries."""
        self.tries = TryRecord(
            repeatable=self.route.repeatable, max_servers=self.route.max_attempts
        )

    def activity_at(self, instance: BackendId) -> ResponseActivity:
        """Return whether a server's response to the request gets data."""
        return self.activities.setdefault(instance, ResponseActivity())

    @property
    def software(self) -> str | None:
        """Return the software version that the server must run; None: any."""
        return None if self.origin is None else self.origin.software

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty: it has none."""
        return self.account.name if self.account else ''

    @property
    def suspect(self) -> Suspect:
        """Return what is reported of the request if its server crashes."""
        return Suspect(content=self.content_id, account=self.account_name, parts=self.part_ids)

    @property
    def objective_deadline(self) -> float:
        """Return the time after which a response loses part of its value."""
        return self.arrived - self.since_first_attempt_s + self.route.objective_s

    @property
    def scheduling_deadline(self) -> float:
        """Return the deadline that scheduling aims for.

        A retry of a refused client is served up to its time limit: refusing it
        again or failing it costs more than a late response.
        """
        return self.deadline if self.since_first_attempt_s else self.objective_deadline

    @property
    def precedence(self) -> Precedence:
        """Return the position of the request among waiting requests."""
        rank = self.rank if self.adjusted_rank is None else self.adjusted_rank
        return Precedence(rank=rank, returned=self.since_first_attempt_s > 0)

    @property
    def rank(self) -> int:
        """Return the rank by account and route priority; 0 is first."""
        account = None if self.account is None else self.account.priority
        return rank_of(self.route.priority, account)


@dataclass(frozen=True, kw_only=True)
class Answered:
    """An authentic response head of a backend server; the body is not read yet."""

    head: ResponseHead
    marks: ResponseMetadata
    channel: HttpChannel


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request was not run; with ``refused_by_server``, a server has said so."""

    detail: str
    refused_by_server: bool = False
    status: int = 0
    #: Name of the server that refused; empty: it didn't tell.
    server: str = ''


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The request may have run, and there is no complete response."""

    cause: LossCause
    detail: str

    @property
    def is_connection_loss(self) -> bool:
        """Return whether the connection broke, as it does when a server crashes."""
        return self.cause in {LossCause.connection, LossCause.broken}


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """The request must not be sent again: its content crashes servers."""

    detail: str = 'content crashes servers'


TryOutcome = Union[Answered, NotRun, Lost, Quarantined]
