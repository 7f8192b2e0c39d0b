"""Order in which pieces are sent, and rules on leaving their preferred zone."""

from __future__ import annotations

import abc
import collections
import enum
from typing import TYPE_CHECKING, NamedTuple

from ringseam.gateway.priorities import route_priority

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.gateway.priorities import Precedence
    from ringseam.gateway.stages.jobs import Piece, PieceGroup
    from ringseam.routes import BatchSpec

#: A piece whose inputs expire within this time is sent first, seconds: the time of a call in
#: progress and of the piece's own call.
_EXPIRY_MARGIN_S = 1.2
#: A piece may go to another zone when fewer full calls than this fit in before it is due:
#: just its own call.
_MIN_SPARE_CALLS = 1.0


class DispatchClass(enum.IntEnum):
    """Dispatch class of a piece; it takes precedence over the rank."""

    #: Its job has started, or its inputs are about to expire.
    first = 0
    in_time = 1
    late_and_expiring = 2
    late = 3


def overflow_pieces(
    ordered: list[Piece],
    servers: Collection[BackendReport],
    spec: BatchSpec,
) -> set[Piece]:
    """Return the pieces that don't fit into the next calls of their own zone's servers.

    They may fill up calls in other zones, since most of a call's time is independent of
    its size.
    """
    servers_by_zone = collections.Counter(server.zone for server in servers)
    remaining = {zone: count * spec.slots * spec.batch for zone, count in servers_by_zone.items()}
    overflow = set()
    for piece in ordered:
        zone = piece.job.zone
        if zone not in remaining:
            continue
        if remaining[zone] > 0:
            remaining[zone] -= 1
        else:
            overflow.add(piece)
    return overflow


def may_leave_zone(piece: Piece, spec: BatchSpec, now: float) -> bool:
    """Return whether a piece may leave its zone, whose servers are busy.

    Transferring results between zones is costly, so a piece waits for its own zone while
    time remains for more calls there. Requests of the highest priority don't wait.
    """
    job = piece.job
    if piece.failed_servers or route_priority(job.rank) == 0:
        return True
    spare = job.due - now - _MIN_SPARE_CALLS * spec.full_call_s
    return spare < 0 < job.due - now


class CallTimes(NamedTuple):
    """Durations of the calls of a service, seconds."""

    #: With a single piece.
    shortest_s: float
    #: With as many pieces as fit.
    full_s: float


#: Calls that end at once: every job that isn't late can still be in time.
NO_TIME = CallTimes(0, 0)


class DispatchOrder(abc.ABC):
    """Base class of orders in which queued pieces are sent."""

    @abc.abstractmethod
    def order(
        self, waiting: Collection[Piece], now: float, *, calls: CallTimes = NO_TIME
    ) -> list[Piece]:
        """Return the pieces in the order in which they are sent.

        :param calls: how long calls of the service take.
        """

    def sent(self, pieces: Collection[Piece], now: float) -> None:  # noqa: B027 - optional
        """Record that pieces have left the queue in a call."""


class UrgencyOrder(DispatchOrder):
    """Order by dispatch class, precedence and due time, whatever the account."""

    def order(
        self, waiting: Collection[Piece], now: float, *, calls: CallTimes = NO_TIME
    ) -> list[Piece]:
        """Return the pieces, the most urgent job first."""
        return dispatch_order(waiting, now)


def dispatch_order(waiting: Collection[Piece], now: float) -> list[Piece]:
    """Return pieces in the order in which they are sent.

    Started jobs come first, then jobs that can be on time, by precedence. A started job
    occupies result capacity until its last piece has run; started jobs that wait behind
    others would fill up the capacity of all servers. A job whose inputs are about to expire
    would have to run all its stages again; a job that is late anyway must not delay
    another one.

    The pieces of a job stay together, so jobs are sorted instead of pieces, which takes a
    third of the time at six pieces per job.
    """
    ordered = sorted(by_job(waiting), key=lambda pieces: urgency(pieces[0], now))
    return in_piece_order(ordered)


def by_job(pieces: Collection[Piece]) -> list[list[Piece]]:
    """Group pieces by job, in the order of the first piece of each job."""
    groups: dict[PieceGroup, list[Piece]] = {}
    for piece in pieces:
        groups.setdefault(piece.group, []).append(piece)
    return list(groups.values())


def in_piece_order(jobs: list[list[Piece]]) -> list[Piece]:
    """Return the pieces of jobs, those of each job by their numbers."""
    return [piece for pieces in jobs for piece in sorted(pieces, key=_piece_number)]


def _piece_number(piece: Piece) -> int:
    return piece.number


def urgency(piece: Piece, now: float) -> tuple[DispatchClass, Precedence, float, str, int]:
    """Return the sort key of a job: dispatch class, precedence and due time."""
    job = piece.job
    return (dispatch_class_of(piece, now), job.precedence, job.due, job.attempt_id, piece.arrival)


def dispatch_class_of(piece: Piece, now: float) -> DispatchClass:
    """Return the dispatch class of a piece, whatever its rank."""
    job = piece.job
    late = job.due < now
    expiring = job.expires - now < _EXPIRY_MARGIN_S
    if piece.group.started or (expiring and not late):
        return DispatchClass.first
    if not late:
        return DispatchClass.in_time
    return DispatchClass.late_and_expiring if expiring else DispatchClass.late
