"""Choice of a backend server: a scored minimum over what is known of each."""

from __future__ import annotations

import abc
import types
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.health import HealthBook, Standing

_NO_WAITS: Mapping[BackendId, float] = types.MappingProxyType({})
#: A request in another availability zone costs this, seconds: the way there
#: and back, and the price of its bytes.
_CROSS_ZONE_COST_S = 0.004
#: A request takes this long where nothing was measured, seconds.
_DEFAULT_LATENCY_S = 0.02
#: What a server has told of its load is believed for this long, seconds.
_REPORTED_LOAD_TTL_S = 2.0
#: What an ejected server costs, seconds: it is taken only when all are.
_EJECTED_COST_S = 1000.0
#: Between servers of equal cost the less loaded one is taken, seconds.
_COST_PER_REQUEST_S = 1e-4


class BalancingPolicy(abc.ABC):
    """Choose one of the servers that may serve a request."""

    def __init__(self, *, health: HealthBook, zone: str) -> None:
        """Judge servers by ``health``, as seen from ``zone``."""
        self.health = health
        self.zone = zone

    def choose(
        self,
        servers: Collection[BackendReport],
        now: float,
        waits: Mapping[BackendId, float] = _NO_WAITS,
    ) -> BackendReport | None:
        """Return the best of ``servers``, or None when there is none.

        :param waits: how long a request has to wait for some of them, seconds.
        """
        if not servers:
            return None

        def sort_key(server: BackendReport) -> tuple[float, str]:  # noqa: WPS430
            return (self.cost(server, now) + waits.get(server.instance, 0), server.instance)

        return min(servers, key=sort_key)

    @abc.abstractmethod
    def cost(self, server: BackendReport, now: float) -> float:
        """Return the expected seconds until an answer."""


class LatencyPolicy(BalancingPolicy):
    """For services whose requests are short and alike: measured latency."""

    def cost(self, server: BackendReport, now: float) -> float:
        """Return the measured latency, stretched by the load."""
        standing = self.health.of(server.instance)
        load = max(standing.in_flight, _reported_load(standing, now))
        overload = max(0, load + 1 - server.slots / 2) / server.slots
        cost = (standing.latency_s or _DEFAULT_LATENCY_S) * (
            1 + overload
        ) + load * _COST_PER_REQUEST_S
        if server.zone != self.zone:
            cost += _CROSS_ZONE_COST_S
        if now < standing.ejected_until:
            cost += _EJECTED_COST_S
        return cost


class LocalZonePolicy(BalancingPolicy):
    """The naive choice, for comparison: the first server of the own zone."""

    def cost(self, server: BackendReport, now: float) -> float:
        """Return whether the server is in another zone."""
        return float(server.zone != self.zone)


def _reported_load(standing: Standing, now: float) -> float:
    if now - standing.told_at > _REPORTED_LOAD_TTL_S:
        return 0
    return standing.told_running + standing.told_waiting
