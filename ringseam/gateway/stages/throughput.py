"""How fast pieces come to a service and leave it, as observed; plain classes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.stages.jobs import StageCall
    from ringseam.routes import BatchSpec

#: What came longer ago than this counts for a third, seconds: several calls, so
#: that one clump of requests isn't taken for what will go on.
_DECAY_S = 5.0
#: Weight of the newest call in the mean of how fast pieces leave.
_PACE_WEIGHT = 0.1
#: A call that took this many times its expected length says nothing of the pace:
#: its answer was lost, or its server is ejected.
_OUTLIER_FACTOR = 4.0


@dataclass(kw_only=True)
class DecayingCounter:
    """An amount that came lately, fading."""

    amount: float = 0
    at: float = 0

    def add(self, amount: float, now: float) -> None:
        """Take in what has come."""
        self.amount = self._decayed(now) + amount
        self.at = now

    def per_s(self, now: float) -> float:
        """Return how much came in a second."""
        return self._decayed(now) / _DECAY_S

    def _decayed(self, now: float) -> float:
        return self.amount * math.exp(-(now - self.at) / _DECAY_S)


@dataclass(frozen=True, kw_only=True)
class LastCall:
    """The call that a server got last; ``crowded``: others waited meanwhile."""

    started_at: float
    expected_end: float
    pieces: int
    has_backlog: bool


@dataclass(kw_only=True)
class Throughput:
    """Calls in progress, and the pace of one service's servers.

    The pace is measured from one call's begin to the next one's while pieces
    wait, so it counts what calls are not filled with, and the time for which a
    server waits for room.
    """

    #: Pieces of clients that ask for the first time.
    arrivals: DecayingCounter = field(default_factory=DecayingCounter)
    #: Calls in progress by server.
    calls: dict[BackendId, int] = field(default_factory=dict)
    last_calls: dict[BackendId, LastCall] = field(default_factory=dict)
    #: How long a server takes for a piece while others wait; 0: not observed.
    observed_piece_s: float = 0

    def call_started(self, call: StageCall, now: float, *, has_backlog: bool) -> None:
        """Hear that a call leaves; ``crowded``: pieces are left waiting."""
        instance = call.server.instance
        last = self.last_calls.get(instance)
        if last is not None and last.has_backlog:
            self._record_cycle(last, now)
        self.last_calls[instance] = LastCall(
            started_at=now,
            expected_end=now + call.expected_s,
            pieces=len(call.pieces),
            has_backlog=has_backlog,
        )
        self.calls[instance] = self.calls.get(instance, 0) + 1

    def call_ended(self, instance: BackendId) -> None:
        """Hear that a call is over."""
        self.calls[instance] = max(0, self.calls.get(instance, 0) - 1)

    def is_busy(self, instance: BackendId, spec: BatchSpec) -> bool:
        """Return whether a server has all the calls that it works on at once."""
        return self.calls.get(instance, 0) >= spec.slots

    def pieces_per_s(self, healthy: float, spec: BatchSpec) -> float:
        """Return how many pieces ``sound`` servers take in a second."""
        piece_s = self.observed_piece_s or spec.whole_call_s / spec.batch
        return (healthy or 1) * spec.slots / piece_s

    def until_free_s(
        self,
        servers: Collection[BackendReport],
        spec: BatchSpec,
        now: float,
    ) -> float:
        """Return when the next server should be free, seconds from now."""
        free_at = [
            self.last_calls[server.instance].expected_end
            if self.is_busy(server.instance, spec)
            else now
            for server in servers
        ]
        return max(0, min(free_at) - now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone and owe no answer."""
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
