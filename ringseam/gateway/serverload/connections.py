"""Shares of the connections that each server accepts from all gateways together."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport, BackendView
    from ringseam.gateway.serverload.reports import LoadReports
    from ringseam.metrics import Metrics
    from ringseam.routes import RouteTable, ServiceName
    from ringseam.web.pool import HttpChannelPool

#: Share of the connections of a server that is kept for health checks, and the least number.
_RESERVED_SHARE = 0.1
_MIN_RESERVED = 2
#: A refused connection halves the use of a share. It returns to the full share in this time,
#: seconds, as a server accepts fewer connections only while its queue is long.
_RECOVERY_S = 4.0
#: Refusals within this time count as one: they are answers to the same use, seconds.
_ONE_REFUSAL_S = 0.2
#: A server that refuses more connections than this one after the other, and answers no request
#: between them, is broken. Refusals longer ago than the recovery aren't counted.
_MAX_REFUSALS = 2


class ServiceDirectory(Protocol):
    """What a gateway knows of services, servers and other gateways."""

    table: RouteTable
    view: BackendView

    @property
    def gateway_names(self) -> Collection[str]:
        """Return the names of all gateways, including this one."""


@dataclass(kw_only=True)
class Refusals:
    """The part of a share that is used after refusals, and since when."""

    used: float
    at: float
    #: Number of refusals since a request was answered.
    count: int = 1

    def used_at(self, now: float) -> float:
        """Return the part that is used at ``now``."""
        return min(1, self.used + (now - self.at) / _RECOVERY_S)


@dataclass(kw_only=True)
class ConnectionShares:
    """Even parts of the connections of each server, computed alike by all gateways.

    One part more than there are gateways is kept free: a gateway that starts uses its part
    before the others know of it. What doesn't divide goes to some gateways, which differ by
    server, so that each has a connection to some server even if there are too few for all.
    """

    #: Name of this gateway.
    name: str
    refusals: dict[BackendId, Refusals] = field(default_factory=dict)
    #: Computed shares, valid for these gateways.
    shares: dict[tuple[BackendId, int], int] = field(default_factory=dict)
    gateways: frozenset[str] = frozenset()

    def limit(
        self, instance: BackendId, max_connections: int, gateways: Collection[str], now: float
    ) -> int:
        """Return how many connections this gateway may have to a server now."""
        share = self._share(instance, max_connections, frozenset(gateways))
        refused = self.refusals.get(instance)
        if refused is None or not share:
            return share
        return max(1, int(share * refused.used_at(now)))

    def record_refusal(self, instance: BackendId, now: float) -> bool:
        """Use half as many connections to a server that has refused one.

        :returns: whether there may have been too many; False: the server accepts none.
        """
        known = self.refusals.get(instance)
        if known is None:
            self.refusals[instance] = Refusals(used=0.5, at=now)
            return True
        if now - known.at >= _ONE_REFUSAL_S:
            count = known.count + 1 if now - known.at < _RECOVERY_S else 1
            self.refusals[instance] = Refusals(used=known.used_at(now) / 2, at=now, count=count)
        return self.refusals[instance].count <= _MAX_REFUSALS

    def record_accepted(self, instance: BackendId) -> None:
        """Record that a server has answered, also over a kept connection.

        A full server resets new connections and answers over those that it has accepted.
        """
        known = self.refusals.get(instance)
        if known is not None:
            known.count = 0

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.shares.clear()
        for instance in set(self.refusals) - instances:
            self.refusals.pop(instance)

    def _share(self, instance: BackendId, max_connections: int, gateways: frozenset[str]) -> int:
        if gateways != self.gateways:
            self.shares.clear()
            self.gateways = gateways
        key = (instance, max_connections)
        if key not in self.shares:
            self.shares[key] = self._compute_share(instance, max_connections)
        return self.shares[key]

    def _compute_share(self, instance: BackendId, max_connections: int) -> int:
        reserved = max(_MIN_RESERVED, int(max_connections * _RESERVED_SHARE))
        usable = max(0, max_connections - reserved)
        share, rest = divmod(usable, len(self.gateways | {self.name}) + 1)
        own = _weight(instance, self.name)
        rank = sum(_weight(instance, name) > own for name in self.gateways if name != self.name)
        return share + (rank < rest)


@dataclass(kw_only=True)
class ConnectionLimits:
    """Limits of connections for the services whose servers report interference."""

    directory: ServiceDirectory
    reports: LoadReports
    shares: ConnectionShares
    #: Services whose used connections are exported.
    exported: set[ServiceName] = field(default_factory=set)

    def limit(self, server: BackendReport, now: float) -> int | None:
        """Return how many connections this gateway may have to a server; None: any number."""
        service = self.directory.table.services.get(server.service)
        if service is None or not self._is_in_force(server.service):
            return None
        names = self.directory.gateway_names
        return self.shares.limit(server.instance, service.max_connections, names, now)

    def record_reset(self, server: BackendReport, now: float, *, others_open: bool) -> bool:
        """Record that a new connection was reset; return whether there were too many.

        :param others_open: whether other connections to the server are open. A server that has
            crashed has none, and its crash is found by probing it.
        """
        if not others_open or not self._is_in_force(server.service):
            return False
        return self.shares.record_refusal(server.instance, now)

    def used_by_service(self, pool: HttpChannelPool) -> dict[ServiceName, int]:
        """Return how many connections of each service in force are in use."""
        servers = self.directory.view.backends.values()
        services = {server.service for server in servers}
        in_force = set(filter(self._is_in_force, services))
        used = dict.fromkeys(in_force, 0)
        for server in servers:
            if server.service in in_force:
                used[server.service] += pool.used_count(server.address)
        return used

    def export(self, pool: HttpChannelPool, metrics: Metrics) -> None:
        """Export the used connections of each service in force, and remove those of others."""
        used = self.used_by_service(pool)
        for service in self.exported - set(used):
            metrics.remove('connections_used', service=service)
        for service, count in used.items():
            metrics.put('connections_used', count, service=service)
        self.exported = set(used)

    def _is_in_force(self, service: ServiceName) -> bool:
        serving = self.directory.view.serving(service)
        return self.reports.reports_interference(known.instance for known in serving)


def _weight(instance: BackendId, name: str) -> bytes:
    return hashlib.blake2b(f'{instance}/{name}'.encode(), digest_size=8).digest()
