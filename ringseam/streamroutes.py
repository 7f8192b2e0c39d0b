"""Which services the routes of streams lead to, and what is known of those before.

A process that has just started knows the present routes alone. What it hasn't observed may
have happened: other routes, or longer time limits.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ringseam.messages import Message
from ringseam.routes import RequestKind, ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ringseam.routes import RouteTable

#: For how long removed routes are remembered, seconds: longer than a client waits for a stream.
_REMOVED_TTL_S = 120.0
#: Time within which a document is in force at all gateways, seconds.
_IN_FORCE_S = 2.0


class RoutePlace(NamedTuple):
    """The requests that a route matches, unless one with a longer prefix does."""

    host: str
    prefix: str


@dataclass(frozen=True, kw_only=True)
class StreamRoutes:
    """The routes of streams in one document."""

    number: int
    services: Mapping[RoutePlace, frozenset[ServiceName]] = field(default_factory=dict)
    #: How long a stream of each service may last with its resumptions, seconds.
    limits_s: Mapping[ServiceName, float] = field(default_factory=dict)

    def services_at(self, place: RoutePlace) -> frozenset[ServiceName]:
        """Return the services that serve the requests of a place; empty: there is no route."""
        for length in range(len(place.prefix), -1, -1):
            services = self.services.get(RoutePlace(place.host, place.prefix[:length]))
            if services is not None:
                return services
        return frozenset()


class ServiceSpan(Message, frozen=True, kw_only=True):
    """What a process knows of the routes that lead to a service."""

    service: ServiceName
    #: For how long these have led nowhere else, seconds.
    alone_s: float
    #: How long a stream that may still go on may last with its resumptions, seconds.
    longest_s: float


class RouteSpans(Message, frozen=True, kw_only=True):
    """What a process knows of the routes of document ``number`` and of those before."""

    number: int
    spans: tuple[ServiceSpan, ...] = ()


class _FormerLimit(NamedTuple):
    """A longer time limit than the present one, and until when streams under it may go on."""

    limit_s: float
    until: float


class _RemovedRoute(NamedTuple):
    services: frozenset[ServiceName]
    removed_at: float


@dataclass(kw_only=True)
class _ServiceHistory:
    """What is known of the routes that lead to a service; times in seconds."""

    alone_since: float
    limits: list[_FormerLimit] = field(default_factory=list)


class RouteHistory:
    """Track since when each service has been the only one of its routes; times in seconds."""

    def __init__(self) -> None:
        """Start without routes."""
        self.routes = StreamRoutes(number=0)
        self.services: dict[ServiceName, _ServiceHistory] = {}
        #: Services that share a route with another one.
        self.shared: frozenset[ServiceName] = frozenset()
        self.removed: dict[RoutePlace, _RemovedRoute] = {}
        #: The document for which another process has told what it knows.
        self.learned_number = 0
        #: What was told of a document that is not in force here yet, and when.
        self.announced: tuple[RouteSpans, float] | None = None

    def observe(self, routes: StreamRoutes, now: float, *, is_next: bool = False) -> None:
        """Record the routes of a newer document.

        :param is_next: whether no document between this one and the last was in force.
        """
        if routes.number <= self.routes.number:
            return
        previous, self.routes = self.routes, routes
        self._keep_limits(previous, now)
        previously_shared = self.shared
        several = (services for services in routes.services.values() if len(services) > 1)
        self.shared = frozenset().union(*several)
        moved = previously_shared
        if is_next:
            moved |= self._moved_services(previous, now)
        for service in routes.limits_s:
            self.services.setdefault(service, _ServiceHistory(alone_since=now))
        for service, history in self.services.items():
            if not is_next or service in moved or service in self.shared:
                history.alone_since = now
        if self.announced is not None:
            self.learn(*self.announced)

    def learn(self, told: RouteSpans, told_at: float) -> None:
        """Extend the history by what another process has observed for longer."""
        if told.number != self.routes.number:
            self.announced = (told, told_at)
            return
        self.announced = None
        self.learned_number = told.number
        for span in told.spans:
            alone_since = told_at - span.alone_s
            history = self.services.setdefault(
                span.service, _ServiceHistory(alone_since=alone_since)
            )
            history.alone_since = min(history.alone_since, alone_since)
            history.limits.append(_former_limit(span.longest_s, told_at))

    def is_alone(self, service: ServiceName, *, duration_s: float, now: float) -> bool:
        """Return whether the routes to a service have led nowhere else for ``duration_s``."""
        history = self.services.get(service)
        if history is None or service in self.shared:
            return False
        return now - history.alone_since >= duration_s + _IN_FORCE_S

    def longest_s(self, service: ServiceName, now: float) -> float:
        """Return how long a stream that may still go on may last with its resumptions."""
        longest_s = self.routes.limits_s.get(service, 0)
        history = self.services.get(service)
        if history is None:
            return longest_s
        history.limits = [limit for limit in history.limits if limit.until > now]
        return max([longest_s, *(limit.limit_s for limit in history.limits)])

    def report(self, now: float) -> RouteSpans:
        """Return what is known, for processes that have observed less."""
        spans = [
            ServiceSpan(
                service=service,
                alone_s=0 if service in self.shared else now - self.services[service].alone_since,
                longest_s=self.longest_s(service, now),
            )
            for service in self.services
        ]
        return RouteSpans(number=self.routes.number, spans=tuple(spans))

    def _keep_limits(self, previous: StreamRoutes, now: float) -> None:
        """Keep the limits that are shorter now, for the streams that began before."""
        for service, limit_s in previous.limits_s.items():
            if limit_s > self.routes.limits_s.get(service, 0):
                self.services[service].limits.append(_former_limit(limit_s, now))

    def _moved_services(self, previous: StreamRoutes, now: float) -> frozenset[ServiceName]:
        """Return the services to or from which a route was led, and keep what was removed."""
        self.removed = {
            place: removed
            for place, removed in self.removed.items()
            if now - removed.removed_at <= _REMOVED_TTL_S
        }
        moved: set[ServiceName] = set()
        for place in previous.services.keys() | self.routes.services.keys():
            before = previous.services_at(place)
            after = self.routes.services_at(place)
            if not after:
                self.removed[place] = _RemovedRoute(before, now)
            elif before != after:
                moved |= before | after
        return frozenset(moved | self._returned_services())

    def _returned_services(self) -> set[ServiceName]:
        """Return the services of routes that were removed and now lead to others."""
        returned: set[ServiceName] = set()
        for place, removed in list(self.removed.items()):
            services = self.routes.services_at(place)
            if services:
                self.removed.pop(place)
            if services and services != removed.services:
                returned |= services | removed.services
        return returned


def _former_limit(limit_s: float, changed_at: float) -> _FormerLimit:
    return _FormerLimit(limit_s, changed_at + _IN_FORCE_S + limit_s)


def stream_routes(table: RouteTable) -> StreamRoutes:
    """Return the routes of streams in a table."""
    return StreamRoutes(
        number=table.number,
        services={
            RoutePlace(route.host, route.prefix): frozenset(
                target.service for target in route.targets
            )
            for route in table.routes
            if route.kind is RequestKind.stream
        },
        limits_s=table.stream_limits_s,
    )
