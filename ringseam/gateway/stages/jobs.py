"""Jobs of a stage, their pieces, and the calls that send pieces to servers."""

from __future__ import annotations

import functools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.contents import ContentId
from ringseam.gateway.priorities import Precedence
from ringseam.quarantinemessages import Suspect

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport
    from ringseam.routes import ServiceName


@dataclass(frozen=True, kw_only=True)
class PieceJob:
    """The pieces of one stage of one request; times are absolute seconds."""

    attempt_id: str
    service: ServiceName
    stage: int
    pieces: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    #: When this stage must finish for the request to meet its objective.
    due: float
    deadline: float
    #: Rank in the queue, 0 is first; see :func:`ringseam.gateway.priorities.rank_of`.
    rank: int
    result_bytes: int
    #: Whether the client retries after an earlier refusal.
    returned: bool = False
    #: When the first of its inputs is discarded by the server that stores it.
    expires: float = float('inf')
    #: Preferred availability zone: of its inputs or of the consumer of its results.
    zone: str = ''
    #: Availability zones in which the request may run; None: all.
    zones: frozenset[str] | None = None
    #: The service that produced the inputs, if this stage is their only consumer.
    inputs_of: str = ''
    #: Content and client account of the request, for quarantine checks.
    suspect: Suspect = field(default_factory=lambda: Suspect(content=ContentId('')))
    #: When the single trial run of a suspected content was granted; None: no trial run.
    trial_at: float | None = None

    def may_run_in(self, zone: str) -> bool:
        """Return whether the request may run in an availability zone."""
        return self.zones is None or zone in self.zones

    @functools.cached_property
    def precedence(self) -> Precedence:
        """Return the precedence of the job in the queue."""
        return Precedence(rank=self.rank, returned=self.returned)


@dataclass(kw_only=True, eq=False)
class PieceGroup:
    """State shared by the pieces of one job, whose results are usable only together."""

    #: Whether a piece was sent; its result then occupies capacity until all have run.
    started: bool = False


@dataclass(kw_only=True, eq=False)
class Piece:
    """One piece that is queued or running."""

    job: PieceJob
    number: int
    arrival: int
    group: PieceGroup = field(default_factory=PieceGroup)
    tries: int = 0
    #: Calls without a response yet, those that have timed out among them.
    open_calls: int = 0
    failed_servers: set[BackendId] = field(default_factory=set)


@dataclass(kw_only=True, eq=False)
class StageCall:
    """A batch of pieces that is sent to one server."""

    server: BackendReport
    pieces: list[Piece]
    expected_s: float

    def open(self) -> None:
        """Count the call as one from which its pieces may get results."""
        for piece in self.pieces:
            piece.open_calls += 1

    def close(self) -> None:
        """Count the call no more: it has a response or is closed."""
        for piece in self.pieces:
            piece.open_calls -= 1
