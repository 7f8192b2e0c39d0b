"""Cold backend servers, and how fast requests may go to them; plain classes.

A server that has just started ends under a rate of requests that it bears later. Its
reports tell until when it is cold. What they can't tell in time is assumed: a server
that could not be reached may have started again, and so may those of a zone that was
drained.
"""

from __future__ import annotations

import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.ownership import rendezvous_order

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId
    from ringseam.gateway.following.health import HealthBook
    from ringseam.routes import ColdSpec

#: A server that ended is out of the directory or has reported its new start after this
#: long, seconds.
_REPORTED_S = 4.5
#: The part of the bound that is used where a server isn't known to be cold: it may have
#: become so since its last report, and requests of one second may arrive within less.
_UNREPORTED_SHARE = 0.8
_WINDOW_S = 1.0


@dataclass(kw_only=True)
class ColdBook:
    """Until when backend servers have said that they are cold."""

    until: dict[BackendId, float] = field(default_factory=dict)
    #: Since when servers are heard; one that became cold before may not say so again.
    heard_since: float = float('-inf')

    def note(self, instance: BackendId, until: float) -> None:
        """Take a server for cold at least until then."""
        if until > self.until.get(instance, float('-inf')):
            self.until[instance] = until

    def cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        """Return until when a server is cold, or may be."""
        return max(self.until.get(instance, float('-inf')), self.heard_since + spec.length_s)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.until = {name: until for name, until in self.until.items() if name in instances}


@dataclass(frozen=True, kw_only=True)
class ColdShare:
    """What one of the processes that decide by themselves may send to a cold server."""

    #: From one request to the next, seconds.
    spacing_s: float
    #: How long after the server is warm the first may go, seconds; None: at once.
    after_s: float | None = None


@dataclass(kw_only=True)
class ColdPace:
    """When the next request may go to a server, as far as this process decides.

    A cold server gets one request after the other, evenly spaced. Any other gets no more
    in a second than it would bear if it had turned cold unnoticed.

    Processes that decide by themselves share a cold server evenly. They don't know each
    other's last request, and each may send one more than its share in some second, so
    only as many take part as that allows; the others begin, one after the other, once the
    server is warm.
    """

    #: This process, as its peers name it.
    name: str = ''
    book: ColdBook
    health: HealthBook
    #: What a cold server bears: ``over`` times the rate that its service names, and
    #: ``slack`` requests besides, in any second.
    over: float = 1.5
    slack: float = 5
    next_at: dict[BackendId, float] = field(default_factory=dict)
    #: When requests of the last second were let go, oldest first.
    lately: dict[BackendId, collections.deque[float]] = field(default_factory=dict)
    #: The share of this process, as long as ``peers`` are the same.
    shares: dict[BackendId, ColdShare] = field(default_factory=dict)
    peers: Collection[str] = ()

    def wait_s(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Return how long a request to a server has to wait, seconds.

        :param peers: names of all processes that send to this server by a pace of their
            own, this one among them; none where this one decides alone.
        """
        if spec is None:
            return 0
        wait_s = self._window_wait_s(instance, spec, now)
        if now < self._cold_until(instance, spec):
            wait_s = max(wait_s, self._turn(instance, spec, peers) - now)
        return max(0, wait_s)

    def take(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Let a request go and return when, in seconds from now; see :meth:`wait_s`."""
        if spec is None:
            return 0
        wait_s = self.wait_s(instance, spec, now, peers=peers)
        share = self._share(instance, spec, peers)
        self.next_at[instance] = now + wait_s + share.spacing_s
        self._sent_lately(instance, now).append(now + wait_s)
        return wait_s

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone, and shares: a service may name another rate by now."""
        self.book.keep_only(instances)
        self.shares.clear()
        for instance in set(self.lately) - instances:
            self.lately.pop(instance)
            self.next_at.pop(instance, None)

    def _cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        lost_at = self.health.of(instance).unreachable_at
        returned_until = lost_at + _REPORTED_S + spec.length_s
        return max(returned_until, self.book.cold_until(instance, spec))

    def _turn(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> float:
        """Return when this process may send next to a cold server."""
        known = self.next_at.get(instance, float('-inf'))
        share = self._share(instance, spec, peers)
        if share.after_s is None:
            return known
        return max(known, self._cold_until(instance, spec) + share.after_s)

    def _share(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> ColdShare:
        """Return what this process may send to a server while it is cold."""
        if not peers:
            return ColdShare(spacing_s=1 / spec.per_s)
        if peers != self.peers:
            self.shares.clear()
            self.peers = peers
        if instance not in self.shares:
            self.shares[instance] = self._share_among(instance, spec, peers)
        return self.shares[instance]

    def _share_among(
        self,
        instance: BackendId,
        spec: ColdSpec,
        peers: Collection[str],
    ) -> ColdShare:
        """Return this process's share of a server; all peers find the same order."""
        order = rendezvous_order(instance, peers)
        most = max(1, int(self._bound(spec) - spec.per_s))
        rank = order.index(self.name)
        if rank < most:
            return ColdShare(spacing_s=min(most, len(order)) / spec.per_s)
        return ColdShare(
            spacing_s=(len(order) - most) / spec.per_s,
            after_s=(rank - most + 1) / spec.per_s,
        )

    def _bound(self, spec: ColdSpec) -> float:
        """Return what a cold server bears in any second."""
        return spec.per_s * self.over + self.slack

    def _window_wait_s(self, instance: BackendId, spec: ColdSpec, now: float) -> float:
        """Return how long it takes until the last second's requests are few enough."""
        sent = self._sent_lately(instance, now)
        most = max(1, int(_UNREPORTED_SHARE * self._bound(spec)))
        return sent[-most] + _WINDOW_S - now if len(sent) >= most else 0

    def _sent_lately(self, instance: BackendId, now: float) -> collections.deque[float]:
        sent = self.lately.setdefault(instance, collections.deque())
        while sent and sent[0] <= now - _WINDOW_S:
            sent.popleft()
        return sent
