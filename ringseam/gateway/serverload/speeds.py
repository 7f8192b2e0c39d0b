"""Speed of each backend server, learned from the durations of its work."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.serverload.policy import SpeedEstimate
from ringseam.gateway.serverload.reports import LoadReports

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.routes import ServiceName

#: Least weight of a new observation. The first ones weigh more; the mean of the service counts
#: as one earlier observation.
_MIN_WEIGHT = 0.2
#: An observation that took long counts more, as there are few of them: time constant, seconds.
_DURATION_WEIGHT_S = 2.0
#: Without observations the deviation of a server from its service halves in this time, seconds.
_IDLE_HALF_LIFE_S = 15.0
#: Bounds of the deviation of a server, and of one observation, from the service (logarithms).
_MAX_DEVIATION = math.log(4)
_MAX_OBSERVED_DEVIATION = math.log(8)


@dataclass(kw_only=True)
class ObservedDuration:
    """Durations of a server relative to the expected ones, as a mean logarithm."""

    log_ratio: float
    observations: int
    at: float


@dataclass(kw_only=True)
class ServiceDurations:
    """Durations of the servers of one service."""

    by_server: dict[BackendId, ObservedDuration] = field(default_factory=dict)
    total: float = 0

    @property
    def mean(self) -> float:
        """Return the mean logarithm over the servers."""
        return self.total / len(self.by_server) if self.by_server else 0

    def deviation(self, instance: BackendId, now: float, mean: float) -> float:
        """Return the deviation of a server from ``mean``, decayed while it is idle."""
        known = self.by_server.get(instance)
        if known is None:
            return 0
        idle_s = now - known.at
        deviation = known.log_ratio - mean
        if idle_s > 0:
            deviation *= math.exp2(-idle_s / _IDLE_HALF_LIFE_S)
        if -_MAX_DEVIATION <= deviation <= _MAX_DEVIATION:
            return deviation
        return _bounded(deviation, _MAX_DEVIATION)

    def observe(
        self, instance: BackendId, log_ratio: float, now: float, *, duration_s: float
    ) -> None:
        """Update the mean of a server."""
        if not self.by_server:
            self._set(instance, log_ratio, observations=1, now=now)
            return
        observations = 1
        known = self.by_server.get(instance)
        if known is not None:
            observations += known.observations
        mean = self.mean
        current = mean + self.deviation(instance, now, mean)
        observed = mean + _bounded(log_ratio - mean, _MAX_OBSERVED_DEVIATION)
        steady_weight = max(_MIN_WEIGHT, -math.expm1(-duration_s / _DURATION_WEIGHT_S))
        weight = max(steady_weight, 1 / (observations + 1))
        updated = current + weight * (observed - current)
        self._set(instance, updated, observations=observations, now=now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        for instance in set(self.by_server) - instances:
            self.by_server.pop(instance)
        self.total = math.fsum(known.log_ratio for known in self.by_server.values())

    def _set(self, instance: BackendId, log_ratio: float, *, observations: int, now: float) -> None:
        known = self.by_server.get(instance)
        if known is not None:
            self.total -= known.log_ratio
        self.total += log_ratio
        self.by_server[instance] = ObservedDuration(
            log_ratio=log_ratio, observations=observations, at=now
        )


@dataclass(kw_only=True)
class ObservedSpeeds(SpeedEstimate):
    """Durations relative to the mean of the service, times the slowdown of the host.

    The durations are divided by the slowdown that the server reported for their time. A
    constant error of the reports therefore cancels out; the speed and the slowdown are bounded
    each, which bounds the harm of reports that change at the wrong times.
    """

    reports: LoadReports = field(default_factory=LoadReports)
    services: dict[ServiceName, ServiceDurations] = field(default_factory=dict)

    def observe(
        self,
        service: ServiceName,
        instance: BackendId,
        *,
        expected_s: float,
        duration_s: float,
        now: float,
    ) -> None:
        """Record how long work took that has just ended.

        :param expected_s: its duration without slowdown, by the constants of its kind.
        """
        if expected_s <= 0 or duration_s <= 0:
            return
        usual_s = duration_s / self.reports.slowdown_over(instance, duration_s, now)
        durations = self.services.setdefault(service, ServiceDurations())
        durations.observe(instance, math.log(usual_s / expected_s), now, duration_s=duration_s)

    def service_factor(self, service: ServiceName) -> float:
        """Return the mean ratio of actual to expected durations, without slowdown."""
        durations = self.services.get(service)
        return 1 if durations is None else math.exp(durations.mean)

    def own_factor(self, server: BackendReport, now: float) -> float:
        """Return how many times the usual time of its service a server takes by itself."""
        durations = self.services.get(server.service)
        if durations is None:
            return 1
        return math.exp(durations.deviation(server.instance, now, durations.mean))

    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return how many times the usual time work takes at a server now."""
        return self.own_factor(server, now) * self.reports.slowdown_at(server.instance, now)

    def expected_factors(
        self,
        service: ServiceName,
        servers: Collection[BackendReport],
        now: float,
        *,
        ahead_s: float = 0,
    ) -> dict[BackendId, float]:
        """Return the ratios of actual to expected durations for servers of one service.

        :param ahead_s: how long the work takes that starts now, seconds.
        """
        durations = self.services.get(service) or ServiceDurations()
        mean = durations.mean
        factor = math.exp(mean)
        known = durations.by_server
        reports = self.reports.by_server
        factors = {}
        for server in servers:
            instance = server.instance
            own = factor
            if instance in known:
                own *= math.exp(durations.deviation(instance, now, mean))
            reported = reports.get(instance)
            if reported is not None:
                own *= reported.slowdown_ahead(now, ahead_s)
            factors[instance] = own
        return factors

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.reports.keep_only(instances)
        for service, durations in list(self.services.items()):
            durations.keep_only(instances)
            if not durations.by_server:
                self.services.pop(service)


def _bounded(deviation: float, bound: float) -> float:
    return min(max(deviation, -bound), bound)
