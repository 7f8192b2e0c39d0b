"""Pieces that wait or are worked on, and the calls in which they leave."""

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
    """Pieces of one stage of one request; times are absolute seconds."""

    attempt_id: str
    service: ServiceName
    stage: int
    pieces: tuple[int, ...]
    key: str
    inputs: tuple[str, ...]
    #: When the whole request stops earning its full worth, less later work.
    due: float
    deadline: float
    #: Who goes first, 0 before all; see :func:`ringseam.gateway.priorities.rank_of`.
    rank: int
    result_bytes: int
    #: Whether its client was turned away before.
    returned: bool = False
    #: When the first of its inputs is given up by its maker.
    expires: float = float('inf')
    #: Where its inputs are or its result is wanted.
    zone: str = ''
    #: Availability zones in which its request may run; None: all.
    zones: frozenset[str] | None = None
    #: The service that made the inputs, when nothing else needs them after this.
    inputs_of: str = ''
    #: What its request asks for, and for whom.
    suspect: Suspect = field(default_factory=lambda: Suspect(content=ContentId('')))
    #: When the only run of a suspected content was granted; None: not on trial.
    trial_at: float | None = None

    def may_run_in(self, zone: str) -> bool:
        """Return whether its request may run in an availability zone."""
        return self.zones is None or zone in self.zones

    @functools.cached_property
    def precedence(self) -> Precedence:
        """Return what the job goes by among those that wait."""
        return Precedence(rank=self.rank, returned=self.returned)


@dataclass(kw_only=True, eq=False)
class PieceGroup:
    """The pieces of one job; their results are of use together only."""

    #: Whether a piece has left, so that a result takes up room until all have.
    started: bool = False


@dataclass(kw_only=True, eq=False)
class Piece:
    """One piece that waits or is worked on."""

    job: PieceJob
    number: int
    arrival: int
    group: PieceGroup = field(default_factory=PieceGroup)
    tries: int = 0
    failed_servers: set[BackendId] = field(default_factory=set)


@dataclass(kw_only=True, eq=False)
class StageCall:
    """Pieces that leave together for one server."""

    server: BackendReport
    pieces: list[Piece]
    expected_s: float
