"""Pacing of requests to backend servers with little capacity, without any I/O.

A server that has just started fails under a request rate that it sustains once it is warm, and
an overloaded server announces the rate that it accepts from all gateways together.
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

#: A server that crashed has been removed from the directory or has reported its restart after
#: this long, seconds.
_RESTART_REPORT_S = 4.5
#: Share of the bound that is used for a server that is not known to be cold: it may have turned
#: cold since its last report, and the requests of one second may arrive within a shorter time.
_UNREPORTED_COLD_SHARE = 0.8
_COLD_WINDOW_S = 1.0
#: Sends are kept for as long as a limit that is announced now looks back, seconds.
_RETENTION_S = WINDOW_S + PRE_LIMIT_S
#: How long a request may wait for a permit at a rate-limited server, seconds, by priority: less
#: urgent requests leave the later permits to more urgent ones.
_MAX_WAITS_S = (1.0, 0.6, 0.3)
_NEVER = float('inf')


def max_wait_s(priority: int) -> float:
    """Return how long a request may wait for a permit at a rate-limited server."""
    return _MAX_WAITS_S[min(priority, len(_MAX_WAITS_S) - 1)]


@dataclass(frozen=True, kw_only=True)
class PacingShare:
    """Share of a cold server that a gateway uses while gateways decide independently."""

    #: Interval between requests, seconds.
    interval_s: float
    #: Delay of the first request after the server is warm, seconds; None: no delay.
    delay_after_warm_s: float | None = None


@dataclass(kw_only=True)
class Pacer:
    """Determines when this gateway may send the next request to a server.

    Requests to a cold server or a rate-limited server are evenly spaced. Any other server gets
    no more per second than it would sustain if it had turned cold since its last report.

    Gateways that decide independently share a cold server evenly. They do not know when the
    others last sent, and each may exceed its share by one request in some second, so only as
    many gateways take part as that allows; the others start one by one once the server is warm.
    The rate limit of a server is enforced by the owner of its service; gateways that cannot
    reach the owner share the part of the limit that the owner does not use.
    """

    #: Name of this gateway, as in ``peers``.
    name: str = ''
    cold_servers: ColdServers = field(default_factory=ColdServers)
    health: HealthTracker = field(default_factory=HealthTracker)
    limits: RateLimitTracker = field(default_factory=RateLimitTracker)
    #: Pauses that servers requested from this gateway; other gateways have their own.
    pauses: PauseTracker = field(default_factory=PauseTracker)
    #: A cold server sustains, in any second, ``overload_factor`` times the rate configured for
    #: its service plus ``burst_allowance`` requests.
    overload_factor: float = 1.5
    burst_allowance: float = 5
    #: Time of the last request to each server.
    last_send_at: dict[BackendId, float] = field(default_factory=dict)
    #: Times of recent requests to each server, in ascending order.
    recent_sends: dict[BackendId, list[float]] = field(default_factory=dict)
    #: Shares of this gateway, valid while ``peers`` is unchanged.
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

        :param peers: names of all gateways that pace this server independently, including this
            one; empty if this gateway decides alone.
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
        """Return how long a request has to wait for the rate limit of a server, seconds.

        Infinity means that this gateway has no share of the limit.

        :param peers: names of all gateways if this one sends without a permit from the owner of
            the service; empty if this one is the owner.
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
        """Return how long a call has to wait if this gateway is the owner, seconds."""
        return max(self.pauses.remaining_s(instance, now), self.limit_wait_s(instance, now))

    def reserve(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Reserve the next send time and return how far ahead it is, seconds."""
        wait_s = max(
            self.cold_wait_s(instance, spec, now, peers=peers),
            self.limit_wait_s(instance, now, peers=peers),
        )
        self.record_send(instance, now + wait_s)
        return wait_s

    def record_send(self, instance: BackendId, at: float) -> None:
        """Record that a request is sent to a server at ``at``, which may be in the future."""
        self.last_send_at[instance] = max(at, self.last_send_at.get(instance, at))
        self.record_requests(instance, at)

    def record_requests(self, instance: BackendId, at: float, requests: int = 1) -> None:
        """Count requests that reserved no send time or were sent by other gateways."""
        sends = self.recent_sends.setdefault(instance, [])
        del sends[: bisect.bisect_left(sends, at - _RETENTION_S)]  # noqa: WPS420 - drops a slice
        for _ in range(requests):
            bisect.insort(sends, at)

    def count_since(self, instance: BackendId, since: float) -> int:
        """Return how many requests were sent since ``since``; see ``PRE_LIMIT_S``."""
        sends = self.recent_sends.get(instance, [])
        return len(sends) - bisect.bisect_left(sends, since)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove other servers, and all shares: the rate of a service may have changed."""
        self.cold_servers.keep_only(instances)
        self.shares.clear()
        for instance in set(self.recent_sends) - instances:
            self.recent_sends.pop(instance)
            self.last_send_at.pop(instance, None)

    def _cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        unreachable_at = self.health.of(instance).unreachable_at
        restarted_cold_until = unreachable_at + _RESTART_REPORT_S + spec.duration_s
        return max(restarted_cold_until, self.cold_servers.cold_until(instance, spec))

    def _next_send_at(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> float:
        """Return when this gateway may next send to a cold server."""
        share = self._share(instance, spec, peers)
        next_send_at = self.last_send_at.get(instance, -_NEVER) + share.interval_s
        if share.delay_after_warm_s is None:
            return next_send_at
        return max(next_send_at, self._cold_until(instance, spec) + share.delay_after_warm_s)

    def _share(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> PacingShare:
        """Return the share of this gateway in a server while it is cold."""
        if not peers:
            return PacingShare(interval_s=1 / spec.requests_per_s)
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
        """Compute the share of this gateway; all peers compute the same order."""
        order = rendezvous_order(instance, peers)
        max_gateways = max(1, int(self._max_per_window(spec) - spec.requests_per_s))
        rank = order.index(self.name)
        if rank < max_gateways:
            return PacingShare(interval_s=min(max_gateways, len(order)) / spec.requests_per_s)
        return PacingShare(
            interval_s=(len(order) - max_gateways) / spec.requests_per_s,
            delay_after_warm_s=(rank - max_gateways + 1) / spec.requests_per_s,
        )

    def _max_per_window(self, spec: ColdSpec) -> float:
        """Return how many requests a cold server sustains in any second."""
        return spec.requests_per_s * self.overload_factor + self.burst_allowance

    def _cold_window_wait_s(self, instance: BackendId, spec: ColdSpec, now: float) -> float:
        """Return how long until the requests of the last second are few enough."""
        max_sends = max(1, int(_UNREPORTED_COLD_SHARE * self._max_per_window(spec)))
        sends = self.recent_sends.get(instance, [])
        return sends[-max_sends] + _COLD_WINDOW_S - now if len(sends) >= max_sends else 0

    def _limit_window_wait_s(self, instance: BackendId, limit: RateLimit, now: float) -> float:
        """Return how long until the window of a rate limit has room, seconds.

        Requests sent before the limit was announced count as far as the enforced windows reach
        back.
        """
        sends = self.recent_sends.get(instance, [])
        max_sends = limit.max_in_window
        window_start = max(now - WINDOW_S, limit.since - PRE_LIMIT_S)
        if len(sends) < max_sends or sends[-max_sends] < window_start:
            return 0
        return sends[-max_sends] + WINDOW_S - now
