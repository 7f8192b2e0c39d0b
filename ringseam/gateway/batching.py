"""Batches of pieces for the servers of one stage service; a plain class.

A server works on one call at a time whatever its size, so pieces wait while
all servers are busy and leave in full calls: the most urgent request first,
its pieces together.
"""

from __future__ import annotations

import collections
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.worth import priority_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.health import HealthBook
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
#: A piece whose inputs are given up within this time goes first, seconds: a call
#: under way and one of its own.
_EXPIRY_S = 1.2
#: A server that takes this many times longer than expected counts as slow.
_SLOW = 1.8
#: A piece goes to another zone when fewer whole calls than this fit before it
#: is due.
_PATIENCE_CALLS = 2.0
#: Weight of the newest call in the mean of how full calls are.
_FILL_WEIGHT = 0.1
#: A server that has said that it is full is left alone this long, seconds.
FULL_S = 0.06


#: Turns in which pieces go: what is begun or about to lose its inputs, what can be
#: in time, and what is late, again before it loses its inputs or not.
_FIRST_TURN, _TURN_IN_TIME, _TURN_LATE_AND_EXPIRING, _LAST_TURN = range(4)


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
    #: Who goes first, 0 before all; see :func:`ringseam.gateway.worth.rank_of`.
    rank: int
    result_bytes: int
    #: When the first of its inputs is given up by its maker.
    expires: float = float('inf')
    #: Where its inputs are or its result is wanted.
    zone: str = ''
    #: The service that made the inputs, when nothing else needs them after this.
    inputs_of: str = ''


@dataclass(kw_only=True, eq=False)
class PieceGroup:
    """The pieces of one job; their results are of use together only."""

    #: Whether a piece has left, so that a result takes up room until all have.
    begun: bool = False


@dataclass(kw_only=True, eq=False)
class Piece:
    """One piece that waits or is worked on."""

    job: PieceJob
    number: int
    order: int
    group: PieceGroup = field(default_factory=PieceGroup)
    tries: int = 0
    avoid: set[BackendId] = field(default_factory=set)


@dataclass(kw_only=True, eq=False)
class StageCall:
    """Pieces that leave together for one server."""

    server: BackendReport
    pieces: list[Piece]
    expected_s: float


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
        ordered = sorted(self.waiting, key=lambda waiting: _urgency(waiting, now))
        ordered = ordered[self._spared(server, servers, spec, now) :]
        allowed = [
            piece
            for piece in ordered
            if server.instance not in piece.avoid or len(piece.avoid) >= len(servers)
        ]
        beyond = self._beyond_next_calls(ordered, servers, spec)
        near = [
            piece
            for piece in allowed
            if piece.job.zone == server.zone
            or piece.job.zone not in zones
            or piece in beyond
            or (piece.job.zone not in idle_zones and _may_leave(piece, spec, now))
        ]
        late = [piece for piece in allowed if piece.job.due <= now]
        return self._fit(near, server, spec, now) or self._fit(late, server, spec, now)

    def _beyond_next_calls(
        self,
        ordered: list[Piece],
        servers: Collection[BackendReport],
        spec: BatchSpec,
    ) -> set[Piece]:
        """Return the pieces that the next calls of their zones' servers don't reach.

        They fill calls of other zones: a call takes its time whatever its size.
        """
        reached = collections.Counter(server.zone for server in servers)
        left = {zone: count * spec.slots * spec.batch for zone, count in reached.items()}
        beyond = set()
        for piece in ordered:
            if left.get(piece.job.zone, 1) > 0:
                left[piece.job.zone] = left.get(piece.job.zone, 1) - 1
            else:
                beyond.add(piece)
        return beyond

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


def _may_leave(piece: Piece, spec: BatchSpec, now: float) -> bool:
    """Return whether a piece may leave its zone, whose server is busy.

    Results that cross zones are dear, so a piece waits for its own zone while
    it has the time for some more calls there; the dearest requests don't wait.
    """
    job = piece.job
    if piece.avoid or priority_of(job.rank) == 0:
        return True
    spare = job.due - now - _PATIENCE_CALLS * (spec.call_s + spec.batch * spec.piece_s)
    return spare < 0 < job.due - now


def _urgency(piece: Piece, now: float) -> tuple[int, int, float, str, int]:
    """Order pieces: what is begun first, then what can be on time, by worth.

    A job that is begun holds room for its results until its last piece is made;
    begun jobs that wait for others would fill the room of all servers. A job
    whose inputs are soon given up would have all its stages run again; one that
    is late anyway is not worth making another one late.
    """
    job = piece.job
    return (_turn_of(piece, now), job.rank, job.due, job.attempt_id, piece.number)


def _turn_of(piece: Piece, now: float) -> int:
    """Return in which turn a piece goes, whatever its rank."""
    job = piece.job
    late = job.due < now
    expiring = job.expires - now < _EXPIRY_S
    if piece.group.begun or (expiring and not late):
        return _FIRST_TURN
    if not late:
        return _TURN_IN_TIME
    return _TURN_LATE_AND_EXPIRING if expiring else _LAST_TURN
