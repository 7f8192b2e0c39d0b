"""Load balancing policies: each picks the backend server of lowest cost."""

from __future__ import annotations

import abc
import random
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.health import HealthTracker, ServerHealth

_NO_WAITS: Mapping[BackendId, float] = types.MappingProxyType({})
#: Cost of sending to another availability zone, seconds: the round trip and the
#: price of the traffic.
_CROSS_ZONE_COST_S = 0.004
#: Assumed latency of a server without measurements, seconds.
_DEFAULT_LATENCY_S = 0.02
#: Unit of the learned durations of requests, seconds; their mean is a multiple of it.
USUAL_REQUEST_S = 0.02
#: Additional duration at a server all of whose slots are in use, as a share.
_FULL_SLOWDOWN = 0.5
#: A load that a server has reported is used for this time, seconds.
_REPORTED_LOAD_TTL_S = 2.0
#: Cost of an ejected server, seconds: it is chosen only if all are ejected.
_EJECTED_COST_S = 1000.0
#: Cost per request in progress, seconds: prefers the less loaded of two equal servers.
_REQUEST_COST_S = 1e-4


class BalancingPolicy(abc.ABC):
    """Base class of policies that choose a server for a request."""

    def __init__(self, *, health: HealthTracker, zone: str) -> None:
        """Create a policy that uses ``health``, for a gateway in ``zone``."""
        self.health = health
        self.zone = zone

    def choose(
        self,
        servers: Collection[BackendReport],
        now: float,
        waits: Mapping[BackendId, float] = _NO_WAITS,
    ) -> BackendReport | None:
        """Return the server of lowest cost, or None if ``servers`` is empty.

        :param waits: additional waiting time by server, seconds.
        """
        if not servers:
            return None

        def sort_key(server: BackendReport) -> tuple[float, str]:  # noqa: WPS430
            return (self.cost(server, now) + waits.get(server.instance, 0), server.instance)

        return min(servers, key=sort_key)

    @abc.abstractmethod
    def cost(self, server: BackendReport, now: float) -> float:
        """Return the expected time until a response, seconds."""


class LatencyPolicy(BalancingPolicy):
    """Choose by measured latency, for services with short and similar requests."""

    def cost(self, server: BackendReport, now: float) -> float:
        """Return the measured latency, scaled by the load."""
        health = self.health.of(server.instance)
        load = max(health.in_flight, _reported_load(health, now))
        overload = max(0, load + 1 - server.slots / 2) / server.slots
        cost = (health.latency_s or _DEFAULT_LATENCY_S) * (1 + overload) + load * _REQUEST_COST_S
        if server.zone != self.zone:
            cost += _CROSS_ZONE_COST_S
        if now < health.ejected_until:
            cost += _EJECTED_COST_S
        return cost


class CompletionPolicy(BalancingPolicy):
    """Choose by the expected completion, from the load and speed of each server."""

    def cost(self, server: BackendReport, now: float) -> float:
        """Return the expected duration of a request that is sent now."""
        health = self.health.of(server.instance)
        speeds = self.health.speeds
        duration_s = USUAL_REQUEST_S * speeds.service_factor(server.service)
        duration_s *= speeds.duration_factor(server, now)
        ahead = max(health.in_flight, speeds.reports.requests_at(server.instance, now))
        slots = max(1, server.slots)
        queued = max(0, ahead + 1 - slots) / slots
        # Many servers slow down when they are nearly full.
        cost = duration_s * (1 + queued + _FULL_SLOWDOWN * min(1, ahead / slots))
        if server.zone != self.zone:
            cost += _CROSS_ZONE_COST_S
        if now < health.ejected_until:
            cost += _EJECTED_COST_S
        return cost


class LeastCompletionPolicy(CompletionPolicy):
    """Choose the server with the earliest expected completion.

    Equal servers are ordered at random, so that gateways which know equally little do not all
    choose the same one.
    """

    def __init__(self, *, health: HealthTracker, zone: str, name: str) -> None:
        """Create a policy of the gateway ``name``."""
        super().__init__(health=health, zone=zone)
        self.random = random.Random(name)  # noqa: S311 - spreads load only

    def choose(
        self,
        servers: Collection[BackendReport],
        now: float,
        waits: Mapping[BackendId, float] = _NO_WAITS,
    ) -> BackendReport | None:
        """Return the server of lowest cost, or None if ``servers`` is empty."""
        shuffled = self.random.sample(list(servers), len(servers))
        costs = [self.cost(server, now) + waits.get(server.instance, 0) for server in shuffled]
        return shuffled[costs.index(min(costs))] if costs else None


class TwoChoicesPolicy(LeastCompletionPolicy):
    """Choose the better of two servers drawn at random.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def choose(
        self,
        servers: Collection[BackendReport],
        now: float,
        waits: Mapping[BackendId, float] = _NO_WAITS,
    ) -> BackendReport | None:
        """Return the better of two servers, or None if ``servers`` is empty."""
        drawn = self.random.sample(list(servers), min(2, len(servers)))
        return super().choose(drawn, now, waits)


class ReportedLoadPolicy(BalancingPolicy):
    """Use one policy for services whose servers report interference, another for the rest."""

    def __init__(self, *, reported: BalancingPolicy, other: BalancingPolicy) -> None:
        """Create a policy from two of the same gateway."""
        super().__init__(health=other.health, zone=other.zone)
        self.reported = reported
        self.other = other

    def choose(
        self,
        servers: Collection[BackendReport],
        now: float,
        waits: Mapping[BackendId, float] = _NO_WAITS,
    ) -> BackendReport | None:
        """Return the choice of the policy that applies to ``servers``."""
        return self._policy(servers).choose(servers, now, waits)

    def cost(self, server: BackendReport, now: float) -> float:
        """Return the cost by the policy that applies to ``server``."""
        return self._policy([server]).cost(server, now)

    def _policy(self, servers: Collection[BackendReport]) -> BalancingPolicy:
        reports = self.health.speeds.reports
        in_force = reports.reports_interference(server.instance for server in servers)
        return self.reported if in_force else self.other


class LocalZonePolicy(BalancingPolicy):
    """Choose the first server of the local zone; a baseline for comparison."""

    def cost(self, server: BackendReport, now: float) -> float:
        """Return 1 for a server in another zone, else 0."""
        return float(server.zone != self.zone)


def _reported_load(health: ServerHealth, now: float) -> float:
    if now - health.reported_at > _REPORTED_LOAD_TTL_S:
        return 0
    return health.reported_running + health.reported_waiting
