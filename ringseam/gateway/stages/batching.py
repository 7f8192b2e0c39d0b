"""Batch the pieces of one stage service into calls to its servers, without I/O.

A server runs one call per slot at a time whatever the call's size, so pieces are queued
while all servers are busy and then sent in full batches: the most urgent request first,
with all of its pieces together.
"""

from __future__ import annotations

import collections
import functools
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.stages.capacity import ResultCapacity
from ringseam.gateway.stages.jobs import Piece, PieceGroup, StageCall
from ringseam.gateway.stages.order import (
    CallTimes,
    DispatchClass,
    DispatchOrder,
    UrgencyOrder,
    by_job,
    dispatch_class_of,
    overflow_pieces,
)
from ringseam.gateway.stages.serverchoice import (
    CompletionPolicy,
    NextCalls,
    ServerPolicy,
    SlownessPolicy,
)
from ringseam.gateway.stages.shedding import FullCallsPolicy, ShedPolicy
from ringseam.gateway.stages.throughput import Throughput
from ringseam.gateway.stages.waitestimate import WaitEstimate
from ringseam.gateway.stages.zonechoice import LastMomentPolicy, ZoneLoad, ZonePolicy

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.priorities import Precedence
    from ringseam.gateway.stages.jobs import PieceJob
    from ringseam.routes import BatchSpec, ServiceName


#: A server that reported that it is full gets no call for this long, seconds.
FULL_BACKOFF_S = 0.06
#: At most this many idle servers, sampled at random, are considered for a call. The sample
#: is large enough to contain fast servers and servers of each availability zone.
_MAX_COMPARED_SERVERS = 48


@dataclass(kw_only=True)
class QueueSnapshot:
    """The queue at one moment, shared by all servers considered for the next call."""

    servers: Collection[BackendReport]
    spec: BatchSpec
    now: float
    ordered: list[Piece]
    policy: ServerPolicy
    #: Time until a server of a zone has room for a result of a size, seconds.
    available_in_s: dict[tuple[str, int], float] = field(default_factory=dict)
    #: Next calls of busy servers, by the size of a result, bytes.
    next_calls: dict[int, NextCalls] = field(default_factory=dict)

    @functools.cached_property
    def zones(self) -> set[str]:
        """Return the availability zones of all servers."""
        return {server.zone for server in self.servers}

    @functools.cached_property
    def overflow(self) -> set[Piece]:
        """Return the pieces that don't fit into the next calls of their own zones."""
        return overflow_pieces(self.ordered, self.servers, self.spec)

    @functools.cached_property
    def usable(self) -> list[BackendReport]:
        """Return the servers that are not ejected; if all of them are, all."""
        healthy = [server for server in self.servers if self.policy.is_healthy(server, self.now)]
        return healthy or list(self.servers)

    def without_skipped(self, skipped: int) -> list[Piece]:
        """Return the pieces without the first ones, but with those that faster servers failed."""
        faster = {other.instance for other in self.policy.faster_servers(self.servers, self.now)}
        failed = [piece for piece in self.ordered[:skipped] if faster <= piece.failed_servers]
        return failed + self.ordered[skipped:]

    def may_run_at(self, piece: Piece, server: BackendReport) -> bool:
        """Return whether a piece may be sent to a server.

        It returns to a server that failed it only if no other one is usable.
        """
        if not piece.job.may_run_in(server.zone):
            return False
        if server.instance not in piece.failed_servers:
            return True
        return all(
            other.instance in piece.failed_servers
            for other in self.usable
            if piece.job.may_run_in(other.zone)
        )


@dataclass(kw_only=True)
class Batcher:
    """Decide which pieces are sent next, and to which server."""

    service: ServiceName
    health: HealthTracker
    pacer: Pacer = field(default_factory=Pacer)
    order: DispatchOrder = field(default_factory=UrgencyOrder)
    zone_policy: ZonePolicy = field(default_factory=LastMomentPolicy)
    shed_policy: ShedPolicy = field(default_factory=FullCallsPolicy)
    #: Queued pieces, in order of arrival.
    waiting: dict[Piece, None] = field(default_factory=dict)
    capacity: ResultCapacity = field(default_factory=ResultCapacity)
    throughput: Throughput = field(default_factory=Throughput)
    #: Until when servers that reported to be full get no calls.
    full_until: dict[BackendId, float] = field(default_factory=dict)
    #: When a server is expected to be free that pieces are left to; infinite: none are.
    awaited_at: float = math.inf
    arrival_numbers: itertools.count[int] = field(default_factory=itertools.count)
    random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the sampling of idle servers."""
        self.random = random.Random(self.service)  # noqa: S311 - spreads load only

    def add(self, job: PieceJob, now: float) -> list[Piece]:
        """Queue the pieces of a job."""
        if not job.returned:
            self.throughput.arrivals.add(len(job.pieces), now)
        group = PieceGroup()
        pieces = [
            Piece(job=job, number=piece, arrival=next(self.arrival_numbers), group=group)
            for piece in job.pieces
        ]
        self.waiting.update(dict.fromkeys(pieces))
        return pieces

    def requeue_after_failure(self, piece: Piece, server: BackendId) -> None:
        """Queue a piece again after a failure, for another server if there is one."""
        piece.tries += 1
        piece.failed_servers.add(server)
        self.waiting[piece] = None

    def requeue_full(self, piece: Piece, server: BackendId, spec: BatchSpec, now: float) -> None:
        """Queue a piece again that a server had no capacity for."""
        self.full_until[server] = now + FULL_BACKOFF_S
        self.capacity.mark_full(server, piece.job.result_bytes, spec, now)
        self.waiting[piece] = None

    def cancel(self, pieces: Collection[Piece]) -> None:
        """Remove pieces from the queue."""
        for piece in pieces:
            self.waiting.pop(piece, None)

    def next_call(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> StageCall | None:
        """Return the next call, or None if none should be sent now."""
        self.awaited_at = math.inf
        if not self.waiting:
            return None
        idle = self._idle_servers(servers, spec, now)
        if not idle:
            return None
        feasible = [piece for piece in self.waiting if not _is_unmeetable(piece, spec, now)]
        policy = self._server_policy(servers, spec, now)
        snapshot = QueueSnapshot(
            servers=servers,
            spec=spec,
            now=now,
            ordered=self._ordered(feasible, spec, now),
            policy=policy,
        )
        idle.sort(key=lambda server: self._server_preference(server, policy, now))
        zones = collections.Counter(server.zone for server in idle)
        for server in idle:
            zones[server.zone] -= 1
            pieces = self._select_pieces(server, snapshot, +zones)
            zones[server.zone] += 1
            if pieces:
                return self._start_call(server, pieces, snapshot)
        return None

    def pieces_to_shed(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> list[Piece]:
        """Return the pieces to reject, because they can't finish in time.

        Late pieces run only on servers that would otherwise be idle. While other pieces
        fill the next call of every server, that does not happen, so late pieces are
        rejected at once. Jobs that have started are finished.

        Pieces that no call can finish before their deadline are rejected whatever else
        is queued.
        """
        unmeetable = [piece for piece in self.waiting if _is_unmeetable(piece, spec, now)]
        next_calls = self.shed_policy.next_calls(
            servers, spec, self._pieces_per_s(servers, spec, now)
        )
        if len(self.waiting) < next_calls:
            return unmeetable
        estimate = self.wait_estimate(servers, spec, now)
        # The queue is scanned once; the wait is the same for all pieces of a precedence.
        waits = {
            precedence: estimate.wait_s(precedence)
            for precedence in estimate.counts_by_precedence
            if precedence.returned
        }
        earliest_end = now + spec.call_s + spec.piece_s
        late = [
            piece
            for piece in self.waiting
            if not piece.group.started
            and piece.job.due < earliest_end + waits.get(piece.job.precedence, 0)
        ]
        shed = dict.fromkeys(self.shed_policy.hopeless(self.waiting, late, next_calls))
        shed.update(dict.fromkeys(unmeetable))
        return list(shed)

    def wait_estimate(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> WaitEstimate:
        """Estimate how long new pieces would wait."""
        if not servers:
            return WaitEstimate(waiting=len(self.waiting))
        return WaitEstimate(
            until_free_s=max(
                self.throughput.until_free_s(servers, spec, now),
                min(self.pacer.call_wait_s(server.instance, now) for server in servers),
            ),
            departures_per_s=self._pieces_per_s(servers, spec, now),
            arrivals_per_s=self.throughput.arrivals.per_s(now),
            counts_by_precedence=collections.Counter(
                piece.job.precedence for piece in self.waiting if piece.job.due > now
            ),
            waiting=len(self.waiting),
        )

    def call_ended(self, call: StageCall) -> None:
        """Free the slot of a finished call and the capacity reserved for its results."""
        instance = call.server.instance
        self.throughput.call_ended(instance)
        self.capacity.release(instance, sum(piece.job.result_bytes for piece in call.pieces))

    def remove_from_call(self, call: StageCall, piece: Piece) -> None:
        """Remove a piece from a call that has not been sent."""
        call.pieces.remove(piece)
        self.capacity.release(call.server.instance, piece.job.result_bytes)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop the state of servers that are gone."""
        self.capacity.keep_only(instances)
        self.throughput.keep_only(instances)

    # -- helpers ------------------------------------------------------------

    def _idle_servers(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> list[BackendReport]:
        calls = self.throughput.calls
        idle = [
            server
            for server in servers
            if calls.get(server.instance, 0) < spec.slots
            and self.full_until.get(server.instance, 0) <= now
            and not self.pacer.call_wait_s(server.instance, now)
        ]
        if len(idle) > _MAX_COMPARED_SERVERS:
            idle = self.random.sample(idle, _MAX_COMPARED_SERVERS)
        healthy = [server for server in idle if self._is_healthy(server, now)]
        return healthy if any(self._is_healthy(server, now) for server in servers) else idle

    def _ordered(self, pieces: list[Piece], spec: BatchSpec, now: float) -> list[Piece]:
        """Return pieces in the order in which they are sent.

        Certainly late ones go behind the others of their class and precedence.
        """

        def rank_of(piece: Piece) -> tuple[DispatchClass, Precedence]:  # noqa: WPS430
            return dispatch_class_of(piece, now), piece.job.precedence

        def is_late(piece: Piece) -> bool:  # noqa: WPS430
            return self.shed_policy.is_certainly_late(piece, spec, now)

        calls = CallTimes(spec.call_s + spec.piece_s, spec.full_call_s)
        ordered = self.order.order(pieces, now, calls=calls)
        return [
            piece
            for _, equals in itertools.groupby(ordered, key=rank_of)
            for piece in sorted(equals, key=is_late)
        ]

    def _is_healthy(self, server: BackendReport, now: float) -> bool:
        return now >= self.health.of(server.instance).ejected_until

    def _server_policy(
        self, servers: Collection[BackendReport], spec: BatchSpec, now: float
    ) -> ServerPolicy:
        """Return the policy for the servers: by load and speed only if the settings ask for it."""
        speeds = self.health.speeds
        if not speeds.reports.always:
            return SlownessPolicy(health=self.health)
        return CompletionPolicy(
            health=self.health,
            factors=speeds.expected_factors(self.service, servers, now, ahead_s=spec.full_call_s),
        )

    def _server_preference(
        self, server: BackendReport, policy: ServerPolicy, now: float
    ) -> tuple[bool, float, int, str]:
        return (
            self.health.of(server.instance).unresponsive,
            round(policy.duration_factor(server, now), 1),
            self.capacity.used_bytes.get(server.instance, 0),
            server.instance,
        )

    def _select_pieces(
        self,
        server: BackendReport,
        snapshot: QueueSnapshot,
        idle_zones: Collection[str],
    ) -> list[Piece]:
        """Return the pieces for a call to a server: those of its zone, or urgent ones.

        A server that would otherwise stay idle gets late pieces of other zones. One that
        left its last call unanswered is probed with the least urgent piece, because a
        call that it doesn't answer is lost for several times its normal duration.
        """
        spec, now, servers = snapshot.spec, snapshot.now, snapshot.servers
        skipped = snapshot.policy.skipped_pieces(server, servers, spec, now)
        if skipped:
            snapshot = QueueSnapshot(
                servers=servers,
                spec=spec,
                now=now,
                ordered=snapshot.without_skipped(skipped),
                policy=snapshot.policy,
            )
        allowed = [piece for piece in snapshot.ordered if snapshot.may_run_at(piece, server)]
        eligible = [
            piece
            for piece in allowed
            if piece.job.zone == server.zone
            or piece.job.zone not in snapshot.zones
            or piece in snapshot.overflow
            or self.zone_policy.may_leave(
                piece, spec, self._zone_load(piece.job, snapshot, idle_zones), now
            )
        ]
        late = [piece for piece in allowed if piece.job.due <= now]
        if self.health.of(server.instance).unresponsive:
            eligible, late = eligible[-1:], late[-1:]
        return self._pieces_for_call(eligible, server, snapshot) or self._pieces_for_call(
            late, server, snapshot
        )

    def _pieces_for_call(
        self, pieces: list[Piece], server: BackendReport, snapshot: QueueSnapshot
    ) -> list[Piece]:
        """Return the pieces for a call, without those that end sooner elsewhere."""
        if not pieces:
            return []
        spec, now = snapshot.spec, snapshot.now
        size = max(1, pieces[0].job.result_bytes)
        calls = snapshot.next_calls.setdefault(
            size,
            NextCalls(
                policy=snapshot.policy,
                servers=snapshot.servers,
                zones=snapshot.zones,
                overflow=snapshot.overflow,
                throughput=self.throughput,
                room=lambda other: self.capacity.free_bytes(other.instance, spec, now) / size,
                spec=spec,
                now=now,
            ),
        )
        kept = snapshot.policy.sooner_here(server, pieces, calls)
        self.awaited_at = min(self.awaited_at, calls.awaited_at)
        return self._pieces_that_fit(kept, server, spec, now)

    def _zone_load(
        self, job: PieceJob, snapshot: QueueSnapshot, idle_zones: Collection[str]
    ) -> ZoneLoad:
        """Return the load of the zone that a job prefers."""
        return ZoneLoad(
            idle=job.zone in idle_zones,
            available_in_s=lambda: self._zone_available_in_s(job, snapshot),
        )

    def _zone_available_in_s(self, job: PieceJob, snapshot: QueueSnapshot) -> float:
        """Return when a server of a job's zone takes its pieces, the same for all its pieces."""
        key = (job.zone, job.result_bytes)
        if key not in snapshot.available_in_s:
            snapshot.available_in_s[key] = min(
                self._available_in_s(server, job.result_bytes, snapshot)
                for server in snapshot.servers
                if server.zone == job.zone
            )
        return snapshot.available_in_s[key]

    def _available_in_s(self, server: BackendReport, size: int, snapshot: QueueSnapshot) -> float:
        """Return when a server should have a free slot and room for a result, seconds.

        A server without room gets some when the results of its last call are consumed.
        """
        spec, now = snapshot.spec, snapshot.now
        busy_s = self.throughput.until_free_s((server,), spec, now)
        has_room = self.capacity.free_bytes(server.instance, spec, now) >= size
        return busy_s if has_room else busy_s + spec.call_s

    def _pieces_that_fit(
        self,
        pieces: list[Piece],
        server: BackendReport,
        spec: BatchSpec,
        now: float,
    ) -> list[Piece]:
        """Return the first pieces that fit into a batch and the server's free capacity.

        The results of a job are usable only together, so a job that doesn't fit as a whole
        is left to the next call: a part of it would occupy capacity, and the job would
        not finish any sooner.
        """
        free_bytes = self.capacity.free_bytes(server.instance, spec, now)
        if free_bytes >= self.capacity.nominal_bytes(spec):
            # An empty server accepts one piece, whatever its size.
            free_bytes = max(free_bytes, pieces[0].job.result_bytes if pieces else 0)
        selected: list[Piece] = []
        for job_pieces in by_job(pieces):
            free = spec.batch - len(selected)
            splits = free < len(job_pieces) <= spec.batch
            if splits and not job_pieces[0].group.started:
                continue
            size = job_pieces[0].job.result_bytes
            fitting = max(0, int(free_bytes // size)) if size else free
            taken = job_pieces[: min(free, fitting)]
            free_bytes -= size * len(taken)
            selected.extend(taken)
        return selected

    def _pieces_per_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> float:
        working = [
            server
            for server in servers
            if self._is_healthy(server, now)
            and not self.pacer.pauses.remaining_s(server.instance, now)
        ]
        healthy = sum(self._usable_share(server, spec) for server in working)
        return self.throughput.pieces_per_s(healthy, spec)

    def _usable_share(self, server: BackendReport, spec: BatchSpec) -> float:
        """Return the fraction of its time that a server's announced rate limit lets it work."""
        limit = self.pacer.limits.of(server.instance)
        return 1 if limit is None else min(1, limit.send_per_s * spec.full_call_s / spec.slots)

    def _start_call(
        self,
        server: BackendReport,
        pieces: list[Piece],
        snapshot: QueueSnapshot,
    ) -> StageCall:
        spec, now = snapshot.spec, snapshot.now
        self.cancel(pieces)
        self.pacer.record_send(server.instance, now)
        call = StageCall(
            server=server,
            pieces=pieces,
            expected_s=spec.call_s + spec.piece_s * len(pieces),
        )
        self.throughput.call_started(
            call,
            now,
            has_backlog=bool(self.waiting),
            duration_factor=snapshot.policy.expected_factor(server),
        )
        self.order.sent(pieces, now)
        self.capacity.reserve(server.instance, sum(piece.job.result_bytes for piece in pieces))
        for piece in pieces:
            piece.group.started = True
        return call


def _is_unmeetable(piece: Piece, spec: BatchSpec, now: float) -> bool:
    """Return whether no call that starts now can finish a piece before its deadline."""
    return piece.job.deadline < now + spec.call_s
