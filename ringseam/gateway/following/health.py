"""What a gateway has seen of each backend server: failures, speed, own load."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId

#: Evidence loses half of its weight in this time, seconds.
_EVIDENCE_HALF_LIFE_S = 4.0
#: This many recent failures, and this failure_share of them, eject a server.
_MIN_FAILURES_TO_EJECT = 1.6
_MIN_FAILURE_SHARE_TO_EJECT = 0.2
#: First ejection and the longest one, seconds; each in a row doubles.
_FIRST_EJECTION_S = 1.5
_MAX_EJECTION_S = 6.0
#: Weight of the newest observation in a running mean.
_MEAN_WEIGHT = 0.25
#: The same for slowness: calls of stages are few, a slow one must show at once.
_SLOWNESS_WEIGHT = 0.5
#: What a server was slower than expected loses half of its weight in this time
#: without another call, seconds, so that it is tried again.
_SLOWNESS_HALF_LIFE_S = 3.0


@dataclass(kw_only=True)
class ServerHealth:
    """Evidence about one backend server; ``slowness`` is against the expected."""

    successes: float = 0
    failures: float = 0
    decayed_at: float = 0
    ejected_until: float = float('-inf')
    #: Whether it left a call without an answer and has given none since.
    unresponsive: bool = False
    #: When it could last not be reached at all.
    unreachable_at: float = float('-inf')
    ejections: int = 0
    in_flight: int = 0
    slowness: float = 1.0
    slowness_updated_at: float = 0
    latency_s: float = 0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_at: float = float('-inf')

    def slowness_at(self, now: float) -> float:
        """Return how many times longer than expected calls take, by faded evidence."""
        faded = math.exp2(-(now - self.slowness_updated_at) / _SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * faded

    def decay(self, now: float) -> None:
        """Let evidence fade."""
        factor = math.exp2(-(now - self.decayed_at) / _EVIDENCE_HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at = now


@dataclass(kw_only=True)
class HealthTracker:
    """Standings by backend server."""

    by_server: dict[BackendId, ServerHealth] = field(default_factory=dict)

    def of(self, instance: BackendId) -> ServerHealth:
        """Return a server's record."""
        if instance not in self.by_server:
            self.by_server[instance] = ServerHealth()
        return self.by_server[instance]

    def record_success(self, instance: BackendId, now: float) -> None:
        """Count a whole answer."""
        record = self.of(instance)
        record.decay(now)
        record.successes += 1
        record.unresponsive = False
        if record.successes > 4 * record.failures:
            record.ejections = 0

    def record_timeout(self, instance: BackendId, now: float) -> bool:
        """Count a call that was not answered in time; True when it ejects the server."""
        self.of(instance).unresponsive = True
        return self.record_failure(instance, now)

    def record_failure(self, instance: BackendId, now: float, *, hard: bool = False) -> bool:
        """Count a failure; True when it ejects the server.

        A hard failure, such as a refused connection, ejects at once.
        """
        record = self.of(instance)
        record.decay(now)
        record.failures += 1
        if hard:
            record.unreachable_at = now
        failure_share = record.failures / (record.failures + record.successes)
        enough_evidence = (
            record.failures >= _MIN_FAILURES_TO_EJECT
            and failure_share >= _MIN_FAILURE_SHARE_TO_EJECT
        )
        if not (hard or enough_evidence) or now < record.ejected_until:
            return False
        ejection_s = min(_FIRST_EJECTION_S * 2**record.ejections, _MAX_EJECTION_S)
        record.ejections += 1
        record.ejected_until = now + ejection_s
        return True

    def record_latency(self, instance: BackendId, latency_s: float) -> None:
        """Take in how long an answer record_latency."""
        record = self.of(instance)
        record.latency_s += _MEAN_WEIGHT * (latency_s - record.latency_s)

    def record_slowness(self, instance: BackendId, ratio: float, now: float) -> None:
        """Take in how many times longer than expected a call record_latency."""
        record = self.of(instance)
        current = record.slowness_at(now)
        record.slowness = current + _SLOWNESS_WEIGHT * (ratio - current)
        record.slowness_updated_at = now

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        for instance in set(self.by_server) - instances:
            if not self.by_server[instance].in_flight:
                self.by_server.pop(instance)
