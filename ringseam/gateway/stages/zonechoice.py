"""Policies on whether a piece may run outside its preferred availability zone."""

from __future__ import annotations

import abc
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.priorities import route_priority
from ringseam.gateway.stages.order import may_leave_zone

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.gateway.stages.jobs import Piece
    from ringseam.routes import BatchSpec


@dataclass(frozen=True, kw_only=True)
class ZoneLoad:
    """The servers of the zone that a piece prefers."""

    #: Whether a server of the zone, other than the one that is considered, has a free slot.
    idle: bool
    #: Returns the time until a server of the zone has a free slot and room for a result, seconds.
    available_in_s: Callable[[], float]


class ZonePolicy(abc.ABC):
    """Base class of policies on leaving a zone.

    Transferring results between zones is costly, so a piece waits for its own zone while
    time remains.
    """

    @abc.abstractmethod
    def may_leave(self, piece: Piece, spec: BatchSpec, load: ZoneLoad, now: float) -> bool:
        """Return whether a piece may run in another zone than the one it prefers."""


class LastMomentPolicy(ZonePolicy):
    """Leave a zone without idle servers when no more than one call fits in before it is due."""

    def may_leave(self, piece: Piece, spec: BatchSpec, load: ZoneLoad, now: float) -> bool:
        """Ignore how long the servers of the zone stay busy."""
        return not load.idle and may_leave_zone(piece, spec, now)


class ExpectedCompletionPolicy(ZonePolicy):
    """Leave when the next call in the preferred zone would end after the piece is due.

    The piece then joins a call that leaves another zone, which would otherwise be less full.
    """

    def may_leave(self, piece: Piece, spec: BatchSpec, load: ZoneLoad, now: float) -> bool:
        """Compare the expected end of the next call in the zone with the due time."""
        available_in_s = load.available_in_s()
        if not available_in_s:
            return False
        if piece.failed_servers or route_priority(piece.job.rank) == 0:
            return True
        ends_at = now + available_in_s + spec.full_call_s
        return now < piece.job.due < ends_at


@dataclass(frozen=True, kw_only=True)
class SwitchedPolicy(ZonePolicy):
    """Decide by expected completion while this is in force, else in the last moment."""

    is_on: Callable[[], bool]
    policy: ZonePolicy = field(default_factory=ExpectedCompletionPolicy)
    former: ZonePolicy = field(default_factory=LastMomentPolicy)

    def may_leave(self, piece: Piece, spec: BatchSpec, load: ZoneLoad, now: float) -> bool:
        """Ask the policy in force."""
        policy = self.policy if self.is_on() else self.former
        return policy.may_leave(piece, spec, load, now)
