"""Batches of pieces for the servers of one stage service; a plain class.

A server works on one call at a time whatever its size, so pieces wait while
all servers are busy and leave in full calls: the most urgent request first,
its pieces together.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.piecejobs import Piece, PieceGroup, StageCall
from ringseam.gateway.pieceorder import beyond_next_calls, may_leave, urgency

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.health import HealthBook
    from ringseam.gateway.piecejobs import PieceJob
    from ringseam.routes import BatchSpec, ServiceName


#: Results are a little larger than the routes say; measured: one of 60,000 bytes
#: more than fits by its name doesn't fit in the last twentieth of the room.
_SIZE_MARGIN = 1.05
#: Results differ in size by more than the margin; of a server that is filled up
#: to this share of its room, no piece is refused (quiet day of Voltara: all 53
#: refusals came at 0.91 and more).
_AMPLE_SHARE = 0.85
#: Room that was found taken by unknown results is believed taken this long,
#: seconds; they are kept for 4 s at most, and a try costs a call of 0.2 s.
UNKNOWN_S = 0.5
#: A server that takes this many times longer than expected counts as slow.
_SLOW = 1.8
#: Weight of the newest call in the mean of how full calls are.
_FILL_WEIGHT = 0.1
#: A server that has said that it is full is left alone this long, seconds.
FULL_S = 0.06


@dataclass(frozen=True, kw_only=True)
class UnknownRoom:
    """Bytes of a server's room that others' results take, and until when to believe it."""

    amount: int
    until: float


@dataclass(kw_only=True)
class Batcher:
    """Decide which pieces leave next, and for which server."""

    service: ServiceName
    health: HealthBook
    waiting: list[Piece] = field(default_factory=list)
    calls: dict[BackendId, int] = field(default_factory=dict)
    #: Bytes of results that each server keeps or is about to make.
    kept_bytes: dict[BackendId, int] = field(default_factory=dict)
    #: Until when servers that said so are full.
    full_until: dict[BackendId, float] = field(default_factory=dict)
    #: Room that is taken by results that are not known here.
    unknown: dict[BackendId, UnknownRoom] = field(default_factory=dict)
    #: How full calls are that leave others waiting, as a share of a batch.
    fill: float = 1
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def add(self, job: PieceJob) -> list[Piece]:
        """Let the pieces of a job wait."""
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
        """Let a piece wait that a server had no room for.

        What should have fitted and didn't tells of results that are not known
        here: of a gateway that is gone, say, or larger than named.
        """
        known = self.kept_bytes.get(server, 0)
        unknown = spec.room_bytes - known - piece.job.result_bytes
        self.full_until[server] = now + FULL_S
        self.unknown[server] = UnknownRoom(amount=max(0, unknown), until=now + UNKNOWN_S)
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
                return self._begin(server, pieces, spec)
        return None

    def wait_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        rank: int,
        now: float,
    ) -> float:
        """Return how long a new piece of this rank would wait, seconds."""
        if not servers:
            return 0
        ahead = sum(1 for piece in self.waiting if piece.job.rank <= rank and piece.job.due > now)
        busy = sum(1 for server in servers if self.calls.get(server.instance, 0) >= spec.slots)
        call = spec.call_s + spec.batch * spec.piece_s
        under_way = call / 2 if busy == len(servers) else 0
        return under_way + call * ahead / (self.fill * spec.batch * spec.slots * len(servers))

    def ended(self, call: StageCall) -> None:
        """Hear that a call is over; results that weren't made need no room."""
        instance = call.server.instance
        self.calls[instance] = max(0, self.calls.get(instance, 0) - 1)
        self.freed(instance, sum(piece.job.result_bytes for piece in call.pieces))

    def kept(self, instance: BackendId, amount: int) -> None:
        """Hear that a server keeps a result."""
        self.kept_bytes[instance] = self.kept_bytes.get(instance, 0) + amount

    def freed(self, instance: BackendId, amount: int) -> None:
        """Hear that a server has given up a result."""
        self.kept_bytes[instance] = max(0, self.kept_bytes.get(instance, 0) - amount)

    def has_ample_room(self, server: BackendReport, spec: BatchSpec) -> bool:
        """Return whether a server takes all that it keeps and works on, for sure."""
        return self.kept_bytes.get(server.instance, 0) <= _AMPLE_SHARE * spec.room_bytes

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        for instance in set(self.kept_bytes) - instances:
            self.kept_bytes.pop(instance)
        for instance in set(self.unknown) - instances:
            self.unknown.pop(instance)
        for instance in set(self.calls) - instances:
            if not self.calls[instance]:
                self.calls.pop(instance)

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
            if self.calls.get(server.instance, 0) < spec.slots
            and self.full_until.get(server.instance, 0) <= now
        ]
        sound = [server for server in idle if now >= self.health.of(server.instance).ejected_until]
        all_ejected = all(now < self.health.of(server.instance).ejected_until for server in servers)
        return idle if all_ejected else sound

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
            if now >= self.health.of(other.instance).ejected_until
            and self.health.of(other.instance).slowness_at(now) < _SLOW
        )
        return int((slowness - 1) * spec.batch * spec.slots * faster)

    def _preference(self, server: BackendReport, now: float) -> tuple[float, int, str]:
        standing = self.health.of(server.instance)
        return (
            round(standing.slowness_at(now), 1),
            self.kept_bytes.get(server.instance, 0),
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
        """Return the first pieces that a call and the server's room take."""
        whole = spec.room_bytes / _SIZE_MARGIN
        room = whole - self.kept_bytes.get(server.instance, 0)
        unknown = self.unknown.get(server.instance)
        if unknown is not None and now < unknown.until:
            room -= unknown.amount
        picked: list[Piece] = []
        for piece in pieces:
            if len(picked) == spec.batch:
                break
            if piece.job.result_bytes <= room or (not picked and room >= whole):
                picked.append(piece)
                room -= piece.job.result_bytes
        return picked

    def _begin(self, server: BackendReport, pieces: list[Piece], spec: BatchSpec) -> StageCall:
        instance = server.instance
        self.waiting = [piece for piece in self.waiting if piece not in pieces]
        if self.waiting:
            self.fill += _FILL_WEIGHT * (len(pieces) / spec.batch - self.fill)
        self.calls[instance] = self.calls.get(instance, 0) + 1
        self.kept(instance, sum(piece.job.result_bytes for piece in pieces))
        for piece in pieces:
            piece.group.begun = True
        return StageCall(
            server=server,
            pieces=pieces,
            expected_s=spec.call_s + spec.piece_s * len(pieces),
        )
