"""Arrival rate and throughput of the pieces of one service, as observed, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.util.decay import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.stages.jobs import StageCall
    from ringseam.routes import BatchSpec

#: Time constant of the exponential decay of arrivals, seconds. It spans several calls, so
#: that a single burst isn't taken for the arrival rate.
_ARRIVALS_DECAY_S = 5.0
#: Weight of the newest call in the moving average of the time per piece.
_PACE_WEIGHT = 0.1
#: A call that took more than this many times its expected time is no sample of the
#: throughput: its response was lost, or its server is ejected.
_OUTLIER_FACTOR = 4.0


@dataclass(frozen=True, kw_only=True)
class LastCall:
    """The last call sent to a server; ``has_backlog``: pieces stayed in the queue."""

    started_at: float
    expected_end: float
    pieces: int
    has_backlog: bool


def _new_counter() -> DecayingCounter:
    return DecayingCounter(decay_s=_ARRIVALS_DECAY_S)


@dataclass(kw_only=True)
class Throughput:
    """Calls in progress, and the throughput of one service's servers.

    The throughput is measured from the start of one call to the start of the next while
    pieces are queued, so it accounts for batches that are not full and for the time that
    a server waits for free capacity.
    """

    #: Arrivals of pieces of first attempts; clients that retry after a refusal not counted.
    arrivals: DecayingCounter = field(default_factory=_new_counter)
    #: Pieces of first attempts that a reservation was asked for, whether admitted or not.
    asked: DecayingCounter = field(default_factory=_new_counter)
    #: Number of calls in progress by server.
    calls: dict[BackendId, int] = field(default_factory=dict)
    last_calls: dict[BackendId, LastCall] = field(default_factory=dict)
    #: Observed time of a server per piece while pieces are queued; 0: not observed yet.
    observed_piece_s: float = 0
    #: Moving average of the durations of calls; 0: not observed yet.
    observed_call_s: float = 0
    #: The same per piece of calls after which pieces stayed in the queue; unlike
    #: :attr:`observed_piece_s` without the time that a server is idle after its call.
    busy_piece_s: float = 0

    def call_started(
        self, call: StageCall, now: float, *, has_backlog: bool, duration_factor: float = 1
    ) -> None:
        """Record that a call is sent.

        :param has_backlog: whether pieces stay in the queue.
        :param duration_factor: how many times its expected duration the server takes.
        """
        instance = call.server.instance
        last = self.last_calls.get(instance)
        if last is not None and last.has_backlog:
            self._record_cycle(last, now)
        self.last_calls[instance] = LastCall(
            started_at=now,
            expected_end=now + call.expected_s * duration_factor,
            pieces=len(call.pieces),
            has_backlog=has_backlog,
        )
        self.calls[instance] = self.calls.get(instance, 0) + 1

    def call_ended(self, instance: BackendId) -> None:
        """Record that a call is over."""
        self.calls[instance] = max(0, self.calls.get(instance, 0) - 1)

    def record_duration(self, call: StageCall, duration_s: float) -> None:
        """Record how long a call took that returned results."""
        self.observed_call_s = _moved(self.observed_call_s, duration_s)
        last = self.last_calls.get(call.server.instance)
        if last is not None and last.has_backlog:
            self.busy_piece_s = _moved(self.busy_piece_s, duration_s / len(call.pieces))

    def busy_pieces_per_s(self, pieces_per_s: float, spec: BatchSpec) -> float:
        """Return how many pieces the servers process per second while all of them are busy.

        :param pieces_per_s: the result of :meth:`pieces_per_s`.
        """
        full_piece_s = spec.full_call_s / spec.batch
        return (
            pieces_per_s
            * (self.observed_piece_s or full_piece_s)
            / (self.busy_piece_s or full_piece_s)
        )

    def is_busy(self, instance: BackendId, spec: BatchSpec) -> bool:
        """Return whether all slots of a server are in use."""
        return self.calls.get(instance, 0) >= spec.slots

    def pieces_per_s(self, healthy: float, spec: BatchSpec) -> float:
        """Return how many pieces ``healthy`` servers process per second."""
        piece_s = self.observed_piece_s or spec.full_call_s / spec.batch
        return (healthy or 1) * spec.slots / piece_s

    def until_free_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> float:
        """Return in how many seconds the next server should be free."""
        free_at = [
            self.last_calls[server.instance].expected_end
            if self.is_busy(server.instance, spec)
            else now
            for server in servers
        ]
        return max(0, min(free_at) - now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop servers that are gone and have no call in progress."""
        for instance in set(self.calls) - instances:
            if not self.calls[instance]:
                self.calls.pop(instance)
                self.last_calls.pop(instance, None)

    def _record_cycle(self, last: LastCall, now: float) -> None:
        cycle_s = now - last.started_at
        if cycle_s > _OUTLIER_FACTOR * (last.expected_end - last.started_at):
            return
        sample_s = cycle_s / last.pieces
        if not self.observed_piece_s:
            self.observed_piece_s = sample_s
        self.observed_piece_s += _PACE_WEIGHT * (sample_s - self.observed_piece_s)


def _moved(average: float, sample: float) -> float:
    """Return a moving average after a sample; an average of 0 has no sample yet."""
    return average + _PACE_WEIGHT * (sample - average) if average else sample
