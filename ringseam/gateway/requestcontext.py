"""One request in work: its route, its time and how it ended."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Union

from ringseam.gateway.priorities import Precedence, rank_of
from ringseam.quarantinemessages import Suspect
from ringseam.tries import TryRecord

if TYPE_CHECKING:
    from ringseam.calls import AnswerMarks, ClientRequest
    from ringseam.contents import ContentId
    from ringseam.routes import Account, Route, ServiceName
    from ringseam.web.client import Channel, ResponseHead
    from ringseam.web.server import Exchange


class LossCause(enum.Enum):
    """Why an answer that may have been made is not there."""

    connection = 'connection'
    timeout = 'timeout'
    not_whole = 'not-whole'
    not_authentic = 'not-authentic'
    gap = 'gap'
    #: The connection broke within the answer.
    broken = 'broken'


@dataclass(kw_only=True)
class RequestContext:
    """A client's request under one version of the routes; times are absolute."""

    exchange: Exchange
    request: ClientRequest
    route: Route
    service: ServiceName
    account: Account | None
    #: What the request is, whatever its id.
    content_id: ContentId
    arrived: float
    #: The client's time limit and the route's timeout, whichever is earlier.
    deadline: float
    #: The number of the route table that the request is served by.
    table_number: int = 0
    inputs: tuple[str, ...] = ()
    #: Bytes of the inputs by availability zone.
    input_bytes: dict[str, int] = field(default_factory=dict)
    tries: TryRecord = field(init=False)
    #: The rank by which it goes, where that is not its own.
    adjusted_rank: int | None = None
    #: How long before this try its client asked for the first time, seconds.
    since_first_attempt_s: float = 0
    #: Whether it was answered within its objective.
    on_time: bool = False
    #: Availability zones in which it may run; None: all.
    allowed_zones: frozenset[str] | None = None
    #: Whether it was turned away for what it asks for, not for how its route is served.
    rejected_for_content: bool = False
    #: When the only run of a suspected content was granted; None: not on trial.
    trial_at: float | None = None
    #: After how long a server that names a limit or has asked for a pause may take it,
    #: seconds; 0: it has found one, or there is none.
    available_in_s: float = 0
    #: How long the stages took, seconds.
    stages_duration_s: float = 0
    #: How long stages and server were predicted to take, seconds.
    predicted_duration_s: float = 0

    def __post_init__(self) -> None:
        """Begin without a try."""
        self.tries = TryRecord(
            repeatable=self.route.repeatable, max_servers=self.route.max_attempts
        )

    @property
    def suspect(self) -> Suspect:
        """Return what is told of the request if its server ends."""
        account = self.account.name if self.account else ''
        return Suspect(content=self.content_id, account=account)

    @property
    def objective_deadline(self) -> float:
        """Return when an answer stops earning its full worth."""
        return self.arrived - self.since_first_attempt_s + self.route.objective_s

    @property
    def scheduling_deadline(self) -> float:
        """Return until when it is worth being served before others wait.

        A client that was turned away and comes back is served within its limit:
        to refuse it again, or to fail it, is worse than to be late.
        """
        return self.deadline if self.since_first_attempt_s else self.objective_deadline

    @property
    def precedence(self) -> Precedence:
        """Return what it goes by among those that wait."""
        rank = self.rank if self.adjusted_rank is None else self.adjusted_rank
        return Precedence(rank=rank, returned=self.since_first_attempt_s > 0)

    @property
    def rank(self) -> int:
        """Return the rank among all requests by priorities; 0 is first."""
        account = None if self.account is None else self.account.priority
        return rank_of(self.route.priority, account)


@dataclass(frozen=True, kw_only=True)
class Answered:
    """A backend server's authentic head; its body is still to be read."""

    head: ResponseHead
    marks: AnswerMarks
    channel: Channel


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request was certainly not run; ``reached`` a server that said so."""

    detail: str
    refused_by_server: bool = False
    status: int = 0


@dataclass(frozen=True, kw_only=True)
class Lost:
    """The request may have run, and there is no answer."""

    cause: LossCause
    detail: str

    @property
    def is_connection_loss(self) -> bool:
        """Return whether its connection broke, as it does when a server ends."""
        return self.cause in {LossCause.connection, LossCause.broken}


@dataclass(frozen=True, kw_only=True)
class Quarantined:
    """The request may not be sent any more: what it asks for ends servers."""

    detail: str = 'its content ends servers'


TryOutcome = Union[Answered, NotRun, Lost, Quarantined]
