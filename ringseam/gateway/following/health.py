"""What a gateway has seen of each backend server: failures, speed, own load."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId

#: Evidence loses half of its weight in this time, seconds.
_HALF_LIFE_S = 4.0
#: This many recent failures, and this share of them, eject a server.
_FAILURES_TO_EJECT = 1.6
_SHARE_TO_EJECT = 0.2
#: First ejection and the longest one, seconds; each in a row doubles.
_EJECT_S = 1.5
_EJECT_MOST_S = 6.0
#: Weight of the newest observation in a running mean.
_MEAN_WEIGHT = 0.25
#: The same for slowness: calls of stages are few, a slow one must show at once.
_SLOWNESS_WEIGHT = 0.5
#: What a server was slower than expected loses half of its weight in this time
#: without another call, seconds, so that it is tried again.
_SLOWNESS_HALF_LIFE_S = 3.0


@dataclass(kw_only=True)
class Standing:
    """Evidence about one backend server; ``slowness`` is against the expected."""

    good: float = 0
    bad: float = 0
    counted_at: float = 0
    ejected_until: float = float('-inf')
    #: Whether it left a call without an answer and has given none since.
    silent: bool = False
    #: When it could last not be reached at all.
    unreachable_at: float = float('-inf')
    ejections: int = 0
    in_flight: int = 0
    slowness: float = 1.0
    measured_at: float = 0
    latency_s: float = 0
    told_running: int = 0
    told_waiting: int = 0
    told_at: float = float('-inf')

    def slowness_at(self, now: float) -> float:
        """Return how many times longer than expected calls take, by faded evidence."""
        faded = math.exp2(-(now - self.measured_at) / _SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * faded

    def decay(self, now: float) -> None:
        """Let evidence fade."""
        factor = math.exp2(-(now - self.counted_at) / _HALF_LIFE_S)
        self.good *= factor
        self.bad *= factor
        self.counted_at = now


@dataclass(kw_only=True)
class HealthBook:
    """Standings by backend server."""

    standings: dict[BackendId, Standing] = field(default_factory=dict)

    def of(self, instance: BackendId) -> Standing:
        """Return a server's standing."""
        if instance not in self.standings:
            self.standings[instance] = Standing()
        return self.standings[instance]

    def succeeded(self, instance: BackendId, now: float) -> None:
        """Count a whole answer."""
        standing = self.of(instance)
        standing.decay(now)
        standing.good += 1
        standing.silent = False
        if standing.good > 4 * standing.bad:
            standing.ejections = 0

    def fell_silent(self, instance: BackendId, now: float) -> bool:
        """Count a call that was not answered in time; True when it ejects the server."""
        self.of(instance).silent = True
        return self.failed(instance, now)

    def failed(self, instance: BackendId, now: float, *, hard: bool = False) -> bool:
        """Count a failure; True when it ejects the server.

        A hard failure, such as a refused connection, ejects at once.
        """
        standing = self.of(instance)
        standing.decay(now)
        standing.bad += 1
        if hard:
            standing.unreachable_at = now
        share = standing.bad / (standing.bad + standing.good)
        evident = standing.bad >= _FAILURES_TO_EJECT and share >= _SHARE_TO_EJECT
        if not (hard or evident) or now < standing.ejected_until:
            return False
        length = min(_EJECT_S * 2**standing.ejections, _EJECT_MOST_S)
        standing.ejections += 1
        standing.ejected_until = now + length
        return True

    def took(self, instance: BackendId, latency_s: float) -> None:
        """Take in how long an answer took."""
        standing = self.of(instance)
        standing.latency_s += _MEAN_WEIGHT * (latency_s - standing.latency_s)

    def compared(self, instance: BackendId, ratio: float, now: float) -> None:
        """Take in how many times longer than expected a call took."""
        standing = self.of(instance)
        known = standing.slowness_at(now)
        standing.slowness = known + _SLOWNESS_WEIGHT * (ratio - known)
        standing.measured_at = now

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        for instance in set(self.standings) - instances:
            if not self.standings[instance].in_flight:
                self.standings.pop(instance)
