"""Health of each backend server as this gateway observes it: failures, latency and load."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.features import Feature
from ringseam.gateway.serverload.connections import ConnectionLimits, ConnectionShares
from ringseam.gateway.serverload.reports import LoadReports
from ringseam.gateway.serverload.speeds import ObservedSpeeds

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.serverload.connections import ServiceDirectory

#: Recorded successes and failures lose half of their weight in this time, seconds.
_EVIDENCE_HALF_LIFE_S = 4.0
#: A server is ejected for at least this many recent failures that are at least this share of
#: its recent calls.
_MIN_FAILURES_TO_EJECT = 1.6
_MIN_FAILURE_SHARE_TO_EJECT = 0.2
#: Duration of the first ejection and maximum duration, seconds; each consecutive ejection lasts
#: twice as long.
_FIRST_EJECTION_S = 1.5
_MAX_EJECTION_S = 6.0
#: Weight of the newest observation in the moving average of latency.
_MEAN_WEIGHT = 0.25
#: The same for slowness: stage calls are few, so one slow call must have an effect at once.
_SLOWNESS_WEIGHT = 0.5
#: Without further calls the slowness of a server decays by half in this time, seconds, so that
#: the server is tried again.
_SLOWNESS_HALF_LIFE_S = 3.0


@dataclass(kw_only=True)
class ServerHealth:
    """Health of one backend server; ``slowness`` is relative to the expected duration."""

    successes: float = 0
    failures: float = 0
    decayed_at: float = 0
    ejected_until: float = float('-inf')
    #: Whether it left a call unanswered and has answered none since.
    unresponsive: bool = False
    #: When it was last found to be unreachable.
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
        """Return the ratio of actual to expected call duration, decayed towards 1."""
        faded = math.exp2(-(now - self.slowness_updated_at) / _SLOWNESS_HALF_LIFE_S)
        return 1 + (self.slowness - 1) * faded

    def decay(self, now: float) -> None:
        """Decay the weight of recorded successes and failures."""
        factor = math.exp2(-(now - self.decayed_at) / _EVIDENCE_HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at = now


@dataclass(kw_only=True)
class HealthTracker:
    """Health of all backend servers."""

    by_server: dict[BackendId, ServerHealth] = field(default_factory=dict)
    #: Reported loads and observed speeds.
    speeds: ObservedSpeeds = field(default_factory=ObservedSpeeds)

    @classmethod
    def for_features(cls, features: frozenset[Feature]) -> HealthTracker:
        """Return an empty tracker; the features may ask for load and speed of all servers."""
        reports = LoadReports(always=Feature.server_load in features)
        return cls(speeds=ObservedSpeeds(reports=reports))

    def connection_limits(self, directory: ServiceDirectory, name: str) -> ConnectionLimits:
        """Return the limits of connections for the gateway ``name``."""
        return ConnectionLimits(
            directory=directory,
            reports=self.speeds.reports,
            shares=ConnectionShares(name=name),
        )

    def of(self, instance: BackendId) -> ServerHealth:
        """Return the health of a server."""
        if instance not in self.by_server:
            self.by_server[instance] = ServerHealth()
        return self.by_server[instance]

    def record_success(self, instance: BackendId, now: float) -> None:
        """Count a complete response."""
        record = self.of(instance)
        record.decay(now)
        record.successes += 1
        record.unresponsive = False
        if record.successes > 4 * record.failures:
            record.ejections = 0

    def record_timeout(self, instance: BackendId, now: float) -> bool:
        """Count a call that was not answered in time; return whether it ejects the server."""
        self.of(instance).unresponsive = True
        return self.record_failure(instance, now)

    def withdraw_timeout(self, instance: BackendId, timed_out_at: float, now: float) -> None:
        """Count a call as answered that was counted as a timeout before.

        An ejection ends, unless the server was unreachable since.
        """
        record = self.of(instance)
        self.record_success(instance, now)
        weight = math.exp2(-(now - timed_out_at) / _EVIDENCE_HALF_LIFE_S)
        record.failures = max(0, record.failures - weight)
        if now < record.ejected_until and record.unreachable_at < timed_out_at:
            record.ejected_until = now
            record.ejections = max(0, record.ejections - 1)

    def record_failure(self, instance: BackendId, now: float, *, hard: bool = False) -> bool:
        """Count a failure; return whether it ejects the server.

        A hard failure, such as a refused connection, ejects the server immediately.
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

    def restore(self, instance: BackendId, now: float) -> None:
        """End the ejection of a server that has disproved its failure."""
        record = self.of(instance)
        if now < record.ejected_until:
            record.ejected_until = now
            record.ejections = max(0, record.ejections - 1)
            record.failures = max(0, record.failures - 1)

    def record_latency(self, instance: BackendId, latency_s: float) -> None:
        """Update the mean latency with that of a response."""
        record = self.of(instance)
        record.latency_s += _MEAN_WEIGHT * (latency_s - record.latency_s)

    def record_slowness(self, instance: BackendId, ratio: float, now: float) -> None:
        """Update the slowness with the ratio of actual to expected duration of a call."""
        record = self.of(instance)
        current = record.slowness_at(now)
        record.slowness = current + _SLOWNESS_WEIGHT * (ratio - current)
        record.slowness_updated_at = now

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances`` and those with requests in flight."""
        self.speeds.keep_only(instances)
        for instance in set(self.by_server) - instances:
            if not self.by_server[instance].in_flight:
                self.by_server.pop(instance)
