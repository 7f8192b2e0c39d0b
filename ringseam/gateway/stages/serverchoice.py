"""Policies on which servers of a stage service get the next calls, and with how many pieces."""

from __future__ import annotations

import abc
import functools
import heapq
import itertools
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.stages.order import by_job

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.stages.jobs import Piece
    from ringseam.gateway.stages.throughput import Throughput
    from ringseam.routes import BatchSpec

#: A server whose calls take this many times the expected time counts as slow.
_SLOW_FACTOR = 1.8
#: A server that is waited for is looked at again after this time at the earliest, seconds.
_MIN_WAIT_S = 0.02


@dataclass(frozen=True, kw_only=True)
class BusyServer:
    """When a busy server takes its next call, and with how many pieces."""

    server: BackendReport
    free_at: float
    places: int
    duration_s: float


@dataclass(kw_only=True, eq=False)
class NextCall:
    """The next call of a busy server, with the places that are left for pieces."""

    server: BackendReport
    ends_at: float
    places: int


@dataclass(kw_only=True)
class ServerPolicy(abc.ABC):
    """Base class of policies on the servers for the next call."""

    health: HealthTracker

    @abc.abstractmethod
    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return how many times the expected time a call takes at a server."""

    def expected_factor(self, server: BackendReport) -> float:
        """Return the same as far as it tells when a call ends."""
        return 1

    def skipped_pieces(
        self, server: BackendReport, servers: Collection[BackendReport], spec: BatchSpec, now: float
    ) -> int:
        """Return how many pieces at the head of the queue a server leaves to faster ones."""
        return 0

    def faster_servers(self, servers: Collection[BackendReport], now: float) -> list[BackendReport]:
        """Return the servers to which slower ones leave pieces."""
        return []

    def sooner_here(
        self, server: BackendReport, pieces: list[Piece], calls: NextCalls
    ) -> list[Piece]:
        """Return the pieces that end sooner in a call to a server than in another's next call.

        :param pieces: those that the server may run, in order.
        :param calls: of the other servers.
        """
        return pieces

    def is_healthy(self, server: BackendReport, now: float) -> bool:
        """Return whether a server is not ejected."""
        return now >= self.health.of(server.instance).ejected_until


class SlownessPolicy(ServerPolicy):
    """Leave to faster servers what they finish before a call that takes much too long ends."""

    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return the slowness of a server's recent calls."""
        return self.health.of(server.instance).slowness_at(now)

    def skipped_pieces(
        self, server: BackendReport, servers: Collection[BackendReport], spec: BatchSpec, now: float
    ) -> int:
        """Return how many pieces finish sooner if they wait for a faster server."""
        slowness = self.duration_factor(server, now)
        if slowness < _SLOW_FACTOR:
            return 0
        faster = len(self.faster_servers(servers, now))
        return int((slowness - 1) * spec.batch * spec.slots * faster)

    def faster_servers(self, servers: Collection[BackendReport], now: float) -> list[BackendReport]:
        """Return the healthy servers that aren't slow."""
        return [
            other
            for other in servers
            if self.is_healthy(other, now) and self.duration_factor(other, now) < _SLOW_FACTOR
        ]


@dataclass(kw_only=True)
class CompletionPolicy(ServerPolicy):
    """Send each piece where it is expected to end first, by observed speeds and reported loads."""

    factors: Mapping[BackendId, float]

    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return the observed speed of a server times the slowdown of its host."""
        return self.factors.get(server.instance, 1)

    def expected_factor(self, server: BackendReport) -> float:
        """Return the duration factor, by which calls are expected to end."""
        return self.factors.get(server.instance, 1)

    def sooner_here(
        self, server: BackendReport, pieces: list[Piece], calls: NextCalls
    ) -> list[Piece]:
        """Leave out the jobs that end sooner in the next calls of other servers.

        Those are the first ones, so that a call here has fewer pieces, or none yet.
        """
        spec, now = calls.spec, calls.now
        factor = self.duration_factor(server, now)
        latest = now + factor * spec.full_call_s
        assigned = calls.assign(by_job(pieces), latest)
        left = len(pieces)
        for job_size, ends_at in assigned:
            size = min(spec.batch, left)
            if ends_at >= now + factor * (spec.call_s + spec.piece_s * size):
                break
            left -= job_size
        return pieces[len(pieces) - left :] if left else []


@dataclass(kw_only=True)
class NextCalls:
    """The next calls of the busy servers of a service."""

    policy: ServerPolicy
    servers: Collection[BackendReport]
    zones: Collection[str]
    #: Pieces that may run in any zone.
    overflow: Collection[Piece]
    throughput: Throughput
    #: Returns for how many results a server has room.
    room: Callable[[BackendReport], float]
    spec: BatchSpec
    now: float
    #: When the first server that is waited for should be free.
    awaited_at: float = field(default=math.inf)

    @functools.cached_property
    def busy(self) -> list[BusyServer]:
        """Return the servers that are busy and answer.

        An idle server counts for nothing: it is asked on its own.
        """
        return [
            self._busy_server(server)
            for server in self.servers
            if self.throughput.is_busy(server.instance, self.spec) and self._answers(server)
        ]

    @property
    def batch(self) -> int:
        """Return how many pieces a server without results takes at a time."""
        return self.spec.batch * self.spec.slots

    def assign(self, jobs: list[list[Piece]], latest: float) -> Iterator[tuple[int, float]]:
        """Yield the size of each job and when it would end in calls of busy servers.

        A job that no call which ends before ``latest`` has places for ends at infinity.
        """
        upcoming = heapq.merge(*(self._calls(one, latest) for one in self.busy), key=_end_of)
        opened: list[NextCall] = []
        for job in jobs:
            ends_at: float = 0
            for piece in job:
                ends_at = max(ends_at, self._take_place(piece, opened, upcoming))
                if ends_at == math.inf:
                    break
            yield len(job), ends_at

    def _take_place(
        self, piece: Piece, opened: list[NextCall], upcoming: Iterator[NextCall]
    ) -> float:
        """Return the end of the first call that has a place for a piece, which is taken.

        :param opened: the calls with places that others didn't take; those that come are added.
        """
        for call in itertools.chain(tuple(opened), self._open(opened, upcoming)):
            if self._may_run(piece, call.server):
                call.places -= 1
                if not call.places:
                    opened.remove(call)
                return call.ends_at
        return math.inf

    def _open(self, opened: list[NextCall], upcoming: Iterator[NextCall]) -> Iterator[NextCall]:
        for call in upcoming:
            opened.append(call)
            yield call

    def _may_run(self, piece: Piece, server: BackendReport) -> bool:
        """Return whether a piece would be part of the next call of a server."""
        zone = piece.job.zone
        return (
            piece.job.may_run_in(server.zone)
            and server.instance not in piece.failed_servers
            and (zone == server.zone or zone not in self.zones or piece in self.overflow)
        )

    def _busy_server(self, server: BackendReport) -> BusyServer:
        last = self.throughput.last_calls[server.instance]
        # A call that is overdue is expected to take as long again.
        free_at = self.now + abs(last.expected_end - self.now)
        places = min(self.batch, int(self.room(server)))
        if places <= 0:
            # It gets some room when the results of its last call are consumed.
            places = self.batch
            free_at += self.spec.call_s
        duration_s = self.policy.duration_factor(server, self.now) * self.spec.full_call_s
        return BusyServer(server=server, free_at=free_at, places=places, duration_s=duration_s)

    def _calls(self, busy: BusyServer, latest: float) -> Iterator[NextCall]:
        """Yield the next calls of a busy server that end in time."""
        batch = self.batch
        places, ends_at = busy.places, busy.free_at + busy.duration_s
        if ends_at < latest:
            self.awaited_at = min(self.awaited_at, max(busy.free_at, self.now + _MIN_WAIT_S))
        while ends_at < latest:
            yield NextCall(server=busy.server, ends_at=ends_at, places=places)
            places = batch
            ends_at += busy.duration_s

    def _answers(self, server: BackendReport) -> bool:
        health = self.policy.health.of(server.instance)
        return self.policy.is_healthy(server, self.now) and not health.unresponsive


def _end_of(call: NextCall) -> float:
    return call.ends_at
