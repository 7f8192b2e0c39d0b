"""Loads that backend servers report, and the slowdown of their hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.backends import BackendId
    from ringseam.calls import ServerLoad

#: Time constant with which a reported slowdown decays towards the mean of its server, seconds.
#: The figure changes several times a second, so an old one says little about the present.
SLOWDOWN_DECAY_S = 0.3
#: Time constant of the mean slowdown of a server, seconds.
_MEAN_S = 10.0
#: One report counts for at most this much time in the mean, seconds.
_MAX_REPORT_SPAN_S = 1.0
#: The number of requests in a report is used for this time, seconds.
_REQUESTS_TTL_S = 2.0
#: Reported slowdowns are trusted within these bounds, which limits the harm of false ones.
_MIN_SLOWDOWN = 0.5
_MAX_SLOWDOWN = 5.0


@dataclass(kw_only=True)
class ReportedLoad:
    """The newest report of one server, and what is derived from all of them."""

    load: ServerLoad
    at: float
    mean_slowdown: float = 1.0
    #: The reported slowdown within the bounds of trust.
    slowdown: float = field(init=False)
    #: Requests that this process has sent to the server since the report.
    sent_since: int = 0

    def __post_init__(self) -> None:
        """Bound the slowdown."""
        self.slowdown = _trusted(self.load)

    def slowdown_at(self, now: float) -> float:
        """Return the expected slowdown at ``now``."""
        if self.slowdown == self.mean_slowdown:
            return self.slowdown
        fresh = math.exp(-max(0, now - self.at) / SLOWDOWN_DECAY_S)
        return self.mean_slowdown + (self.slowdown - self.mean_slowdown) * fresh

    def slowdown_ahead(self, now: float, duration_s: float) -> float:
        """Return the expected mean slowdown from ``now`` on for ``duration_s`` seconds."""
        expected = self.slowdown_at(now)
        if duration_s <= 0:
            return expected
        return self.mean_slowdown + (expected - self.mean_slowdown) * _mean_share(duration_s)

    def slowdown_over(self, duration_s: float) -> float:
        """Return the expected mean slowdown over the time before the report."""
        share = _mean_share(duration_s)
        return self.mean_slowdown + (self.slowdown - self.mean_slowdown) * share

    def update(self, load: ServerLoad, at: float) -> None:
        """Replace the report by a newer one."""
        span_s = min(at - self.at, _MAX_REPORT_SPAN_S)
        self.load = load
        self.slowdown = _trusted(load)
        self.at = at
        self.sent_since = 0
        self.mean_slowdown -= math.expm1(-span_s / _MEAN_S) * (self.slowdown - self.mean_slowdown)


@dataclass(kw_only=True)
class LoadReports:
    """The newest load of each server, by lifetime."""

    #: Use load and speed even if no server reports interference.
    always: bool = False
    by_server: dict[BackendId, ReportedLoad] = field(default_factory=dict)
    #: Servers whose reports state how long work takes on their hosts.
    interfered: set[BackendId] = field(default_factory=set)

    def record(self, instance: BackendId, load: ServerLoad, at: float) -> None:
        """Record a report that was made at ``at``; an older one than the known is dropped."""
        known = self.by_server.get(instance)
        if load.slowdown is not None:
            self.interfered.add(instance)
        if known is None:
            known = ReportedLoad(load=load, at=at - _MAX_REPORT_SPAN_S)
            self.by_server[instance] = known
        if at >= known.at:
            known.update(load, at)

    def record_send(self, instance: BackendId) -> None:
        """Count a request that this process sends to a server."""
        known = self.by_server.get(instance)
        if known is not None:
            known.sent_since += 1

    def reports_interference(self, instances: Iterable[BackendId]) -> bool:
        """Return whether load and speed are used for a service.

        :param instances: the servers of the service.
        """
        if self.always or not self.interfered:
            return self.always
        return not self.interfered.isdisjoint(instances)

    def newest(self, instance: BackendId) -> ServerLoad | None:
        """Return the newest load of a server."""
        known = self.by_server.get(instance)
        return None if known is None else known.load

    def slowdown_at(self, instance: BackendId, now: float) -> float:
        """Return how many times the usual time work takes on the host of a server now."""
        known = self.by_server.get(instance)
        return 1 if known is None else known.slowdown_at(now)

    def slowdown_over(self, instance: BackendId, duration_s: float, now: float) -> float:
        """Return the mean slowdown of a server over the last ``duration_s`` seconds."""
        known = self.by_server.get(instance)
        if known is None:
            return 1
        if now - known.at > duration_s:
            return known.mean_slowdown
        return known.slowdown_over(duration_s)

    def requests_at(self, instance: BackendId, now: float) -> int:
        """Return how many requests a server has, as reported and as sent since then."""
        known = self.by_server.get(instance)
        if known is None or now - known.at > _REQUESTS_TTL_S:
            return 0
        return known.load.running + known.load.waiting + known.sent_since

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        for instance in set(self.by_server) - instances:
            self.by_server.pop(instance)
        self.interfered &= instances


def _trusted(load: ServerLoad) -> float:
    """Return the slowdown in a report within the bounds of trust."""
    if load.slowdown is None:
        return 1
    return min(max(load.slowdown, _MIN_SLOWDOWN), _MAX_SLOWDOWN)


def _mean_share(duration_s: float) -> float:
    """Return the mean over a time of what decays from 1 during it."""
    if duration_s <= 0:
        return 1
    spans = duration_s / SLOWDOWN_DECAY_S
    return -math.expm1(-spans) / spans
