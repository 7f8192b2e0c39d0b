"""Batches of pieces for the servers of one stage service; a plain class.

A server works on one call at a time whatever its size, so pieces wait while
all servers are busy and leave in full calls: the most urgent request first,
its pieces together.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.flow import Flow
from ringseam.gateway.piecejobs import Piece, PieceGroup, StageCall
from ringseam.gateway.pieceorder import beyond_next_calls, may_leave, urgency
from ringseam.gateway.rooms import Rooms

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.health import HealthBook
    from ringseam.gateway.piecejobs import PieceJob, Precedence
    from ringseam.routes import BatchSpec, ServiceName


#: A server that takes this many times longer than expected counts as slow.
_SLOW = 1.8
#: A server that has said that it is full is left alone this long, seconds.
FULL_S = 0.06
#: Clients that came back are left this share of a service at least, so that the
#: time until their turn is long and not endless.
_LEAST_SHARE = 0.02


@dataclass(kw_only=True)
class Batcher:
    """Decide which pieces leave next, and for which server."""

    service: ServiceName
    health: HealthBook
    waiting: list[Piece] = field(default_factory=list)
    rooms: Rooms = field(default_factory=Rooms)
    flow: Flow = field(default_factory=Flow)
    #: Until when servers that said so are full.
    full_until: dict[BackendId, float] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def add(self, job: PieceJob, now: float) -> list[Piece]:
        """Let the pieces of a job wait."""
        if not job.returned:
            self.flow.coming.add(len(job.pieces), now)
        group = PieceGroup()
        pieces = [
            Piece(job=job, number=piece, order=next(self.numbers), group=group)
            for piece in job.pieces
        ]
        self.waiting.extend(pieces)
        return pieces

    def again(self, piece: Piece, server: BackendId) -> None:
        """Let a piece wait once more, for another server if there is one."""
        piece.tries += 1
        piece.avoid.add(server)
        self.waiting.append(piece)

    def found_full(self, piece: Piece, server: BackendId, spec: BatchSpec, now: float) -> None:
        """Let a piece wait that a server had no room for."""
        self.full_until[server] = now + FULL_S
        self.rooms.found_full(server, piece.job.result_bytes, spec, now)
        self.waiting.append(piece)

    def cancel(self, pieces: Collection[Piece]) -> None:
        """Drop pieces that nobody waits for."""
        self.waiting = [piece for piece in self.waiting if piece not in pieces]

    def next_call(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> StageCall | None:
        """Return the next call, or None while it is better to wait."""
        if not self.waiting:
            return None
        idle = sorted(
            self._idle(servers, spec, now),
            key=lambda server: self._preference(server, now),
        )
        for server in idle:
            elsewhere = frozenset(other.zone for other in idle if other is not server)
            pieces = self._pick(server, servers, spec, now, elsewhere)
            if pieces:
                return self._begin(server, pieces, spec, now)
        return None

    def hopeless(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> list[Piece]:
        """Return the pieces that can't be in time, while all servers have better to do.

        Pieces that are late are worked on when a server would be idle. While
        others fill the next call of each server that doesn't come, so who waits
        for them is better told at once. What is begun is finished.

        Together with later tries being ranked by their limit it bought 0.03 of the
        worth (standard error 0.01) over five days with lost servers.
        """
        next_calls = len(servers) * spec.slots * spec.batch
        if len(self.waiting) < next_calls:
            return []
        # A wait counts all that is before it, so it is worked out once for its equals.
        returned = {piece.job.precedence for piece in self.waiting if piece.job.returned}
        waits = {known: self.wait_s(servers, spec, known, now) for known in returned}
        latest = now + spec.call_s + spec.piece_s
        late = [
            piece
            for piece in self.waiting
            if not piece.group.begun and piece.job.due < latest + waits.get(piece.job.precedence, 0)
        ]
        return late if len(self.waiting) - len(late) >= next_calls else []

    def wait_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        precedence: Precedence,
        now: float,
    ) -> float:
        """Return how long a new piece of this precedence would wait, seconds.

        What goes before it leaves at the observed pace. Pieces of clients that
        came back go after all others, so what is expected to come meanwhile
        counts for them as well: without it they wait for a turn that never
        comes, which costs 0.14 of the worth where a service is short of servers.
        """
        if not servers:
            return 0
        ahead = sum(
            1
            for piece in self.waiting
            if piece.job.precedence <= precedence and piece.job.due > now
        )
        leaving = self._pieces_per_s(servers, spec, now)
        left = leaving
        if precedence.returned:
            left = max(leaving - self.flow.coming.per_s(now), _LEAST_SHARE * leaving)
        return self.flow.until_free_s(servers, spec, now) + ahead / left

    def backlog_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> float:
        """Return how long all that waits here takes to leave, seconds."""
        return len(self.waiting) / self._pieces_per_s(servers, spec, now) if servers else 0

    def ended(self, call: StageCall) -> None:
        """Hear that a call is over; results that weren't made need no room."""
        instance = call.server.instance
        self.flow.ended(instance)
        self.rooms.freed(instance, sum(piece.job.result_bytes for piece in call.pieces))

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.rooms.keep_only(instances)
        self.flow.keep_only(instances)

    # -- helpers ------------------------------------------------------------

    def _idle(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> list[BackendReport]:
        idle = [
            server
            for server in servers
            if not self.flow.is_busy(server.instance, spec)
            and self.full_until.get(server.instance, 0) <= now
        ]
        sound = [server for server in idle if self._is_sound(server, now)]
        return sound if any(self._is_sound(server, now) for server in servers) else idle

    def _is_sound(self, server: BackendReport, now: float) -> bool:
        return now >= self.health.of(server.instance).ejected_until

    def _spared(
        self,
        server: BackendReport,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> int:
        """Return how many pieces at the head a slow server leaves to the others.

        Those pieces are done sooner by waiting for one of the others than by
        a call that takes ``slowness`` times as long.
        """
        slowness = self.health.of(server.instance).slowness_at(now)
        if slowness < _SLOW:
            return 0
        faster = sum(
            1
            for other in servers
            if self._is_sound(other, now)
            and self.health.of(other.instance).slowness_at(now) < _SLOW
        )
        return int((slowness - 1) * spec.batch * spec.slots * faster)

    def _preference(self, server: BackendReport, now: float) -> tuple[float, int, str]:
        standing = self.health.of(server.instance)
        return (
            round(standing.slowness_at(now), 1),
            self.rooms.kept_bytes.get(server.instance, 0),
            server.instance,
        )

    def _pick(
        self,
        server: BackendReport,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
        idle_zones: frozenset[str],
    ) -> list[Piece]:
        """Return the pieces of a call: those of its zone or in a hurry.

        A server that would stay idle takes late pieces of other zones.
        """
        zones = {other.zone for other in servers}
        ordered = sorted(self.waiting, key=lambda waiting: urgency(waiting, now))
        ordered = ordered[self._spared(server, servers, spec, now) :]
        allowed = [
            piece
            for piece in ordered
            if server.instance not in piece.avoid or len(piece.avoid) >= len(servers)
        ]
        beyond = beyond_next_calls(ordered, servers, spec)
        near = [
            piece
            for piece in allowed
            if piece.job.zone == server.zone
            or piece.job.zone not in zones
            or piece in beyond
            or (piece.job.zone not in idle_zones and may_leave(piece, spec, now))
        ]
        late = [piece for piece in allowed if piece.job.due <= now]
        return self._fit(near, server, spec, now) or self._fit(late, server, spec, now)

    def _fit(
        self,
        pieces: list[Piece],
        server: BackendReport,
        spec: BatchSpec,
        now: float,
    ) -> list[Piece]:
        """Return the first pieces that a call and the server's room take.

        The results of one job are of use together, so a job that a call doesn't
        take whole is left to the next one: a part of it would hold room, and all
        of it would be as late. Bought 0.01 to 0.04 of the worth (standard error
        0.008), the more the fewer servers there are.
        """
        room = self.rooms.left(server.instance, spec, now)
        if room >= self.rooms.whole(spec):
            # An empty server takes one piece, whatever its size.
            room = max(room, pieces[0].job.result_bytes if pieces else 0)
        picked: list[Piece] = []
        for job_pieces in _by_job(pieces):
            free = spec.batch - len(picked)
            splits = free < len(job_pieces) <= spec.batch
            if splits and not job_pieces[0].group.begun:
                continue
            size = job_pieces[0].job.result_bytes
            fitting = max(0, int(room // size)) if size else free
            taken = job_pieces[: min(free, fitting)]
            room -= size * len(taken)
            picked.extend(taken)
        return picked

    def _pieces_per_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> float:
        sound = sum(1 for server in servers if self._is_sound(server, now))
        return self.flow.pieces_per_s(sound, spec)

    def _begin(
        self,
        server: BackendReport,
        pieces: list[Piece],
        spec: BatchSpec,
        now: float,
    ) -> StageCall:
        taken = set(pieces)
        self.waiting = [piece for piece in self.waiting if piece not in taken]
        call = StageCall(
            server=server,
            pieces=pieces,
            expected_s=spec.call_s + spec.piece_s * len(pieces),
        )
        self.flow.begun(call, now, crowded=bool(self.waiting))
        self.rooms.kept(server.instance, sum(piece.job.result_bytes for piece in pieces))
        for piece in pieces:
            piece.group.begun = True
        return call


def _by_job(pieces: list[Piece]) -> list[list[Piece]]:
    """Return the pieces of each job together, in the order of the first of each."""
    jobs: dict[PieceGroup, list[Piece]] = {}
    for piece in pieces:
        jobs.setdefault(piece.group, []).append(piece)
    return list(jobs.values())
