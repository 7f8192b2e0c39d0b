"""How fast requests may go to backend servers that bear little; a plain class.

A server that has just started ends under a rate of requests that it bears later, and a
server in need names the rate that it takes from all gateways together.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.coldness import ColdBook
from ringseam.gateway.following.health import HealthBook
from ringseam.gateway.following.limits import UNHEARD_S, WINDOW_S, LimitBook
from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.gateway.following.pauses import PauseBook

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId
    from ringseam.gateway.following.limits import NamedLimit
    from ringseam.routes import ColdSpec

#: A server that ended is out of the directory or has reported its new start after this
#: long, seconds.
_REPORTED_S = 4.5
#: The part of the bound that is used where a server isn't known to be cold: it may have
#: become so since its last report, and requests of one second may arrive within less.
_UNREPORTED_SHARE = 0.8
_COLD_WINDOW_S = 1.0
#: Sends are remembered for as long as a limit that is named now looks back, seconds.
_KEPT_S = WINDOW_S + UNHEARD_S
#: How long a request may wait for its turn at a server with a limit, seconds, by its
#: priority: the less urgent leave the later turns to the others.
_LONGEST_WAITS_S = (1.0, 0.6, 0.3)
_NEVER = float('inf')


def longest_wait_s(priority: int) -> float:
    """Return how long a request may wait for its turn at a server with a limit."""
    return _LONGEST_WAITS_S[min(priority, len(_LONGEST_WAITS_S) - 1)]


@dataclass(frozen=True, kw_only=True)
class Share:
    """What one of the gateways that decide by themselves may send to a server."""

    #: From one request to the next, seconds.
    spacing_s: float
    #: How long after a cold server is warm the first may go, seconds; None: at once.
    after_s: float | None = None


@dataclass(kw_only=True)
class Pace:
    """When the next request may go to a server, as far as this gateway decides.

    A cold server gets one request after the other, evenly spaced, and so does one that
    names a limit. Any other gets no more in a second than it would bear if it had turned
    cold unnoticed.

    Gateways that decide by themselves share a cold server evenly. They don't know each
    other's last request, and each may send one more than its share in some second, so
    only as many take part as that allows; the others begin, one after the other, once the
    server is warm. The limit of a server is held by the owner of its service; gateways
    that can't reach the owner share what the limit leaves beside it.
    """

    #: This gateway, as its peers name it.
    name: str = ''
    book: ColdBook = field(default_factory=ColdBook)
    health: HealthBook = field(default_factory=HealthBook)
    limits: LimitBook = field(default_factory=LimitBook)
    #: The pauses that servers asked this gateway for; other gateways have their own.
    pauses: PauseBook = field(default_factory=PauseBook)
    #: What a cold server bears: ``over`` times the rate that its service names, and
    #: ``slack`` requests besides, in any second.
    over: float = 1.5
    slack: float = 5
    #: When the last request goes to each server.
    last_at: dict[BackendId, float] = field(default_factory=dict)
    #: When requests were let go lately, oldest first.
    lately: dict[BackendId, list[float]] = field(default_factory=dict)
    #: The share of this gateway, as long as ``peers`` are the same.
    shares: dict[BackendId, Share] = field(default_factory=dict)
    peers: Collection[str] = ()

    def wait_s(
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
        wait_s = self._window_wait_s(instance, spec, now)
        if now < self._cold_until(instance, spec):
            wait_s = max(wait_s, self._turn(instance, spec, peers) - now)
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
        spacing_s = 1 / limit.pace_per_s
        if peers:
            order = rendezvous_order(instance, peers)
            most = limit.most_beside_owner
            if order.index(self.name) >= most:
                return _NEVER
            spacing_s = min(most, len(order)) / limit.beside_owner_per_s
        turn = self.last_at.get(instance, -_NEVER) + spacing_s
        return max(0, turn - now, self._limit_window_wait_s(instance, limit, now))

    def call_wait_s(self, instance: BackendId, now: float) -> float:
        """Return how long a call of this gateway, the owner, has to wait, seconds."""
        return max(self.pauses.left_s(instance, now), self.limit_wait_s(instance, now))

    def take(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Let a request go and return when, in seconds from now."""
        wait_s = max(
            self.wait_s(instance, spec, now, peers=peers),
            self.limit_wait_s(instance, now, peers=peers),
        )
        self.sent(instance, now + wait_s)
        return wait_s

    def sent(self, instance: BackendId, at: float) -> None:
        """Hear that a request goes to a server, now or soon."""
        self.last_at[instance] = max(at, self.last_at.get(instance, at))
        self.count(instance, at)

    def count(self, instance: BackendId, at: float, requests: int = 1) -> None:
        """Count requests that take no turn, or that another gateway has sent."""
        sent = self.lately.setdefault(instance, [])
        del sent[: bisect.bisect_left(sent, at - _KEPT_S)]  # noqa: WPS420 - drops a slice
        for _ in range(requests):
            bisect.insort(sent, at)

    def sent_since(self, instance: BackendId, begin: float) -> int:
        """Return how many requests were let go since then; see ``UNHEARD_S``."""
        sent = self.lately.get(instance, [])
        return len(sent) - bisect.bisect_left(sent, begin)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone, and shares: a service may name another rate by now."""
        self.book.keep_only(instances)
        self.shares.clear()
        for instance in set(self.lately) - instances:
            self.lately.pop(instance)
            self.last_at.pop(instance, None)

    def _cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        lost_at = self.health.of(instance).unreachable_at
        returned_until = lost_at + _REPORTED_S + spec.length_s
        return max(returned_until, self.book.cold_until(instance, spec))

    def _turn(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> float:
        """Return when this gateway may send next to a cold server."""
        share = self._share(instance, spec, peers)
        turn = self.last_at.get(instance, -_NEVER) + share.spacing_s
        if share.after_s is None:
            return turn
        return max(turn, self._cold_until(instance, spec) + share.after_s)

    def _share(self, instance: BackendId, spec: ColdSpec, peers: Collection[str]) -> Share:
        """Return what this gateway may send to a server while it is cold."""
        if not peers:
            return Share(spacing_s=1 / spec.per_s)
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
    ) -> Share:
        """Return this gateway's share of a server; all peers find the same order."""
        order = rendezvous_order(instance, peers)
        most = max(1, int(self._bound(spec) - spec.per_s))
        rank = order.index(self.name)
        if rank < most:
            return Share(spacing_s=min(most, len(order)) / spec.per_s)
        return Share(
            spacing_s=(len(order) - most) / spec.per_s,
            after_s=(rank - most + 1) / spec.per_s,
        )

    def _bound(self, spec: ColdSpec) -> float:
        """Return what a cold server bears in any second."""
        return spec.per_s * self.over + self.slack

    def _window_wait_s(self, instance: BackendId, spec: ColdSpec, now: float) -> float:
        """Return how long it takes until the last second's requests are few enough."""
        most = max(1, int(_UNREPORTED_SHARE * self._bound(spec)))
        sent = self.lately.get(instance, [])
        return sent[-most] + _COLD_WINDOW_S - now if len(sent) >= most else 0

    def _limit_window_wait_s(self, instance: BackendId, limit: NamedLimit, now: float) -> float:
        """Return how long it takes until a limit's window has room, seconds.

        What was sent before the limit was named counts, as far as windows reach that are
        bound by it.
        """
        sent = self.lately.get(instance, [])
        most = limit.most_in_window
        begin = max(now - WINDOW_S, limit.since - UNHEARD_S)
        if len(sent) < most or sent[-most] < begin:
            return 0
        return sent[-most] + WINDOW_S - now
