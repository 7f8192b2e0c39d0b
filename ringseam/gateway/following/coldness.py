"""Cold backend servers, and how fast requests may go to them; plain classes.

A server that has just started ends under a rate of requests that it bears later. Its
reports tell until when it is cold. What they can't tell in time is assumed: a server
that could not be reached may have started again, and so may those of a zone that was
drained.
"""

from __future__ import annotations

import collections
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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

    def is_cold(self, instance: BackendId, spec: ColdSpec, now: float) -> bool:
        """Return whether a server is cold, or may be."""
        latest = max(self.until.get(instance, float('-inf')), self.heard_since + spec.length_s)
        return now < latest

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.until = {name: until for name, until in self.until.items() if name in instances}


@dataclass(kw_only=True)
class ColdPace:
    """When the next request may go to a server, as far as this process decides.

    A cold server gets one request after the other, evenly spaced. Any other gets no more
    in a second than it would bear if it had turned cold unnoticed.
    """

    book: ColdBook
    health: HealthBook
    #: What a cold server bears: ``over`` times the rate that its service names, and
    #: ``slack`` requests besides, in any second.
    over: float = 1.5
    slack: float = 5
    next_at: dict[BackendId, float] = field(default_factory=dict)
    #: When requests of the last second were let go, oldest first.
    lately: dict[BackendId, collections.deque[float]] = field(default_factory=dict)
    random: random.Random = field(default_factory=random.Random)

    def wait_s(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        deciders: int = 1,
    ) -> float:
        """Return how long a request to a server has to wait, seconds.

        :param deciders: how many processes send to this server by a pace of their own.
        """
        if spec is None:
            return 0
        wait_s = self._window_wait_s(instance, spec, now)
        if self._is_cold(instance, spec, now):
            wait_s = max(wait_s, self._turn(instance, spec, now, deciders) - now)
        return max(0, wait_s)

    def take(
        self,
        instance: BackendId,
        spec: ColdSpec | None,
        now: float,
        *,
        deciders: int = 1,
    ) -> float:
        """Let a request go and return when, in seconds from now; see :meth:`wait_s`."""
        if spec is None:
            return 0
        wait_s = self.wait_s(instance, spec, now, deciders=deciders)
        self.next_at[instance] = now + wait_s + deciders / spec.per_s
        self._sent_lately(instance, now).append(now + wait_s)
        return wait_s

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.book.keep_only(instances)
        for instance in set(self.lately) - instances:
            self.lately.pop(instance)
            self.next_at.pop(instance, None)

    def _is_cold(self, instance: BackendId, spec: ColdSpec, now: float) -> bool:
        lost_at = self.health.of(instance).unreachable_at
        returned = now < lost_at + _REPORTED_S + spec.length_s
        return returned or self.book.is_cold(instance, spec, now)

    def _turn(self, instance: BackendId, spec: ColdSpec, now: float, deciders: int) -> float:
        """Return when this process may send next to a cold server.

        The first time is drawn, so that processes that begin at once don't send at once.
        """
        spacing_s = deciders / spec.per_s
        known = self.next_at.get(instance, float('-inf'))
        if deciders > 1 and known < now - spacing_s:
            known = now + self.random.random() * spacing_s
            self.next_at[instance] = known
        return known

    def _window_wait_s(self, instance: BackendId, spec: ColdSpec, now: float) -> float:
        """Return how long it takes until the last second's requests are few enough."""
        sent = self._sent_lately(instance, now)
        most = max(1, int(_UNREPORTED_SHARE * (spec.per_s * self.over + self.slack)))
        return sent[-most] + _WINDOW_S - now if len(sent) >= most else 0

    def _sent_lately(self, instance: BackendId, now: float) -> collections.deque[float]:
        sent = self.lately.setdefault(instance, collections.deque())
        while sent and sent[0] <= now - _WINDOW_S:
            sent.popleft()
        return sent
