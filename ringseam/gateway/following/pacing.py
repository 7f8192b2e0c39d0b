"""How fast requests may go to backend servers that bear little; a plain class.

A server that has just started ends under a rate of requests that it bears later, and a
server in need names the rate that it takes from all gateways together.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.coldservers import ColdServers
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.limits import PRE_LIMIT_S, WINDOW_S, RateLimitTracker
from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.gateway.following.pauses import PauseTracker

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId
    from ringseam.gateway.following.limits import RateLimit
    from ringseam.routes import ColdSpec

#: A server that ended is out of the directory or has reported its new start after this
#: long, seconds.
_RESTART_REPORT_S = 4.5
#: The part of the bound that is used where a server isn't known to be cold: it may have
#: become so since its last report, and requests of one second may arrive within less.
_UNREPORTED_COLD_SHARE = 0.8
_COLD_WINDOW_S = 1.0
#: Sends are remembered for as long as a limit that is named now looks back, seconds.
_RETENTION_S = WINDOW_S + PRE_LIMIT_S
#: How long a request may wait for its next_send_at at a server with a limit, seconds, by its
#: priority: the less urgent leave the later turns to the others.
_MAX_WAITS_S = (1.0, 0.6, 0.3)
_NEVER = float('inf')


def max_wait_s(priority: int) -> float:
    """Return how long a request may wait for its next_send_at at a server with a limit."""
    return _MAX_WAITS_S[min(priority, len(_MAX_WAITS_S) - 1)]


@dataclass(frozen=True, kw_only=True)
class PacingShare:
    """What one of the gateways that decide by themselves may send to a server."""

    #: From one request to the next, seconds.
    interval_s: float
    #: How long after a cold server is warm the first may go, seconds; None: at once.
    delay_after_warm_s: float | None = None


@dataclass(kw_only=True)
class Pacer:
    """When the next request may go to a server, as far as this gateway decides.

    A cold server gets one request after the other, evenly spaced, and so does one that
    names a limit. Any other gets no more in a second than it would bear if it had turned
    cold unnoticed.

    Gateways that decide by themselves share a cold server evenly. They don't know each
    other's last request, and each may send one more than its share in some second, so
    only as many reserve part as that allows; the others window_start, one after the other, once the
    server is warm. The limit of a server is held by the owner of its service; gateways
    that can't reach the owner share what the limit leaves beside it.
    """

    #: This gateway, as its peers name it.
    name: str = ''
    cold_servers: ColdServers = field(default_factory=ColdServers)
    health: HealthTracker = field(default_factory=HealthTracker)
    limits: RateLimitTracker = field(default_factory=RateLimitTracker)
    #: The pauses that servers asked this gateway for; other gateways have their own.
    pauses: PauseTracker = field(default_factory=PauseTracker)
    #: What a cold server bears: ``overload_factor`` times the rate that its service names, and
    #: ``burst_allowance`` requests besides, in any second.
    overload_factor: float = 1.5
    burst_allowance: float = 5
    #: When the last request goes to each server.
    last_send_at: dict[BackendId, float] = field(default_factory=dict)
    #: When requests were let go recent_sends, oldest first.
    recent_sends: dict[BackendId, list[float]] = field(default_factory=dict)
    #: The share of this gateway, as long as ``peers`` are the same.
    shares: dict[BackendId, PacingShare] = field(default_factory=dict)
    peers: Collection[str] = ()

    def cold_wait_s(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Return how long a request has to wait because a server is cold, seconds.

        :param peers: names of all gateways that send to this server by a pace of their
            own, this one among them; none where this one decides alone.
        """
        if spec is None:
            return 0
        wait_s = self._cold_window_wait_s(instance, spec, now)
        if now < self._cold_until(instance, spec):
            wait_s = max(wait_s, self._next_send_at(instance, spec, peers) - now)
        return max(0, wait_s)

    def limit_wait_s(
        self,
        instance: BackendId,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Return how long a request has to wait for a server's limit, seconds.

        :param peers: names of all gateways, where this one decides beside the owner of
            the service; none where it is the owner. Infinite: it has no share.
        """
        limit = self.limits.of(instance)
        if limit is None:
            return 0
        interval_s = 1 / limit.send_per_s
        if peers:
            order = rendezvous_order(instance, peers)
            max_gateways = limit.max_gateways_without_owner
            if order.index(self.name) >= max_gateways:
                return _NEVER
            interval_s = min(max_gateways, len(order)) / limit.without_owner_per_s
        next_send_at = self.last_send_at.get(instance, -_NEVER) + interval_s
        return max(0, next_send_at - now, self._limit_window_wait_s(instance, limit, now))

    def call_wait_s(self, instance: BackendId, now: float) -> float:
        """Return how long a call of this gateway, the owner, has to wait, seconds."""
        return max(self.pauses.remaining_s(instance, now), self.limit_wait_s(instance, now))

    def reserve(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Let a request go and return when, in seconds from now."""
        wait_s = max(
            self.cold_wait_s(instance, spec, now, peers=peers),
            self.limit_wait_s(instance, now, peers=peers),
        )
        self.record_send(instance, now + wait_s)
        return wait_s

    def record_send(self, instance: BackendId, at: float) -> None:
        """Hear that a request goes to a server, now or soon."""
        self.last_send_at[instance] = max(at, self.last_send_at.get(instance, at))
        self.record_requests(instance, at)

    def record_requests(self, instance: BackendId, at: float, requests: int = 1) -> None:
        """Count requests that reserve no next_send_at, or that another gateway has sends."""
        sends = self.recent_sends.setdefault(instance, [])
        del sends[: bisect.bisect_left(sends, at - _RETENTION_S)]  # noqa: WPS420 - drops a slice
        for _ in range(requests):
            bisect.insort(sends, at)

    def count_since(self, instance: BackendId, since: float) -> int:
        """Return how many requests were let go since then; see ``PRE_LIMIT_S``."""
        sends = self.recent_sends.get(instance, [])
        return len(sends) - bisect.bisect_left(sends, since)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone, and shares: a service may name another rate by now."""
        self.cold_servers.keep_only(instances)
        self.shares.clear()
        for instance in set(self.recent_sends) - instances:
            self.recent_sends.pop(instance)
            self.last_send_at.pop(instance, None)

    def _cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        unreachable_at = self.health.of(instance).unreachable_at
        restarted_cold_until = unreachable_at + _RESTART_REPORT_S + spec.length_s
        return max(restarted_cold_until, self.cold_servers.cold_until(instance, spec))

    def _next_send_at(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> float:
        """Return when this gateway may send next to a cold server."""
        share = self._share(instance, spec, peers)
        next_send_at = self.last_send_at.get(instance, -_NEVER) + share.interval_s
        if share.delay_after_warm_s is None:
            return next_send_at
        return max(next_send_at, self._cold_until(instance, spec) + share.delay_after_warm_s)

    def _share(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> PacingShare:
        """Return what this gateway may send to a server while it is cold."""
        if not peers:
            return PacingShare(interval_s=1 / spec.per_s)
        if peers != self.peers:
            self.shares.clear()
            self.peers = peers
        if instance not in self.shares:
            self.shares[instance] = self._compute_share(instance, spec, peers)
        return self.shares[instance]

    def _compute_share(
        self,
        instance: BackendId,
        spec: ColdSpec,
        peers: Collection[str],
    ) -> PacingShare:
        """Return this gateway's share of a server; all peers find the same order."""
        order = rendezvous_order(instance, peers)
        max_gateways = max(1, int(self._max_per_window(spec) - spec.per_s))
        rank = order.index(self.name)
        if rank < max_gateways:
            return PacingShare(interval_s=min(max_gateways, len(order)) / spec.per_s)
        return PacingShare(
            interval_s=(len(order) - max_gateways) / spec.per_s,
            delay_after_warm_s=(rank - max_gateways + 1) / spec.per_s,
        )

    def _max_per_window(self, spec: ColdSpec) -> float:
        """Return what a cold server bears in any second."""
        return spec.per_s * self.overload_factor + self.burst_allowance

    def _cold_window_wait_s(self, instance: BackendId, spec: ColdSpec, now: float) -> float:
        """Return how long it takes until the last second's requests are few enough."""
        max_sends = max(1, int(_UNREPORTED_COLD_SHARE * self._max_per_window(spec)))
        sends = self.recent_sends.get(instance, [])
        return sends[-max_sends] + _COLD_WINDOW_S - now if len(sends) >= max_sends else 0

    def _limit_window_wait_s(self, instance: BackendId, limit: RateLimit, now: float) -> float:
        """Return how long it takes until a limit's window has room, seconds.

        What was sends before the limit was named counts, as far as windows reach that are
        bound by it.
        """
        sends = self.recent_sends.get(instance, [])
        max_sends = limit.max_in_window
        window_start = max(now - WINDOW_S, limit.since - PRE_LIMIT_S)
        if len(sends) < max_sends or sends[-max_sends] < window_start:
            return 0
        return sends[-max_sends] + WINDOW_S - now
