"""In which order pieces leave, and which may leave their zone; plain functions."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from ringseam.gateway.priorities import route_priority

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.gateway.priorities import Precedence
    from ringseam.gateway.stages.jobs import Piece, PieceGroup
    from ringseam.routes import BatchSpec

#: A piece whose inputs are given up within this time goes first, seconds: a call
#: under way and one of its own.
_EXPIRY_MARGIN_S = 1.2
#: A piece goes to another zone when fewer whole calls than this fit before it is
#: due: its own.
_MIN_SPARE_CALLS = 1.0


class DispatchClass(enum.IntEnum):
    """In which turn a piece goes, whatever its rank."""

    #: It is begun, or about to lose its inputs.
    first = 0
    in_time = 1
    late_and_expiring = 2
    late = 3


def overflow_pieces(
    ordered: list[Piece],
    servers: Collection[BackendReport],
    spec: BatchSpec,
) -> set[Piece]:
    """Return the pieces that the next calls of their zones' servers don't reach.

    They fill calls of other zones: a call takes its time whatever its size.
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
    """Return whether a piece may leave its zone, whose server is busy.

    Results that cross zones are dear, so a piece waits for its own zone while
    it has the time for some more calls there; the dearest requests don't wait.
    """
    job = piece.job
    if piece.failed_servers or route_priority(job.rank) == 0:
        return True
    spare = job.due - now - _MIN_SPARE_CALLS * spec.whole_call_s
    return spare < 0 < job.due - now


def dispatch_order(waiting: Collection[Piece], now: float) -> list[Piece]:
    """Return pieces in the order in which they leave.

    What is begun goes first, then what can be on time, by worth. A job that is begun
    holds room for its results until its last piece is made; begun jobs that wait for
    others would fill the room of all servers. A job whose inputs are soon given up
    would have all its stages run again; one that is late anyway is not worth making
    another one late.

    The pieces of a job go together, so jobs are put in order and not their pieces: a
    third of the time at six pieces a job.
    """
    groups: dict[PieceGroup, list[Piece]] = {}
    for one in waiting:
        groups.setdefault(one.group, []).append(one)
    ordered = sorted(groups.values(), key=lambda pieces: _urgency(pieces[0], now))
    return [piece for pieces in ordered for piece in sorted(pieces, key=_piece_number)]


def _piece_number(piece: Piece) -> int:
    return piece.number


def _urgency(piece: Piece, now: float) -> tuple[int, Precedence, float, str, int]:
    job = piece.job
    return (dispatch_class_of(piece, now), job.precedence, job.due, job.attempt_id, piece.arrival)


def dispatch_class_of(piece: Piece, now: float) -> DispatchClass:
    """Return in which turn a piece goes, whatever its rank."""
    job = piece.job
    late = job.due < now
    expiring = job.expires - now < _EXPIRY_MARGIN_S
    if piece.group.started or (expiring and not late):
        return DispatchClass.first
    if not late:
        return DispatchClass.in_time
    return DispatchClass.late_and_expiring if expiring else DispatchClass.late
