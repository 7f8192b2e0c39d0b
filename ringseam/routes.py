"""The immutable route table used by gateways."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import NewType

#: A stream and its resumption together last at most this many times the time limit of a route:
#: a client may resume it when the first request has reached its limit.
_LIMITS_PER_STREAM = 2
#: Name of a route.
RouteName = NewType('RouteName', str)
#: Name of a service: a group of interchangeable backend servers.
ServiceName = NewType('ServiceName', str)
#: Name of a client account, as sent to backend servers.
AccountName = NewType('AccountName', str)


class RequestKind(enum.Enum):
    """Whether a request may be repeated, and whether its response is a stream."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@dataclass(frozen=True, kw_only=True)
class RouteStage:
    """A stage that runs before the request; ``after`` lists the stages it depends on."""

    service: ServiceName
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Target:
    """A service that serves a route, with its relative share of the requests."""

    service: ServiceName
    weight: float = 1


@dataclass(frozen=True, kw_only=True)
class Route:
    """How requests for a host and path prefix are served."""

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    targets: tuple[Target, ...]
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    #: Requests need no API key.
    public: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_objective_s: float = 0
    #: Regions in which requests of this route may run; empty: all.
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.idempotent or self.resumable


@dataclass(frozen=True, kw_only=True)
class BatchSpec:
    """Batching of pieces at a stage service; limits apply to each backend server.

    A call with ``n`` pieces takes ``call_s + n * piece_s``.
    """

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    result_capacity_bytes: int
    result_retention_s: float

    @property
    def full_call_s(self) -> float:
        """Return the duration of a call with a full batch, in seconds."""
        return self.call_s + self.batch * self.piece_s


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Limits of a model engine."""

    slots: int
    cache_tokens: int


@dataclass(frozen=True, kw_only=True)
class ColdSpec:
    """Reduced request rate of a backend server after its start."""

    #: How long a server is cold after its start.
    duration_s: float
    #: Request rate that a cold server sustains.
    requests_per_s: float


@dataclass(frozen=True, kw_only=True)
class BackendService:
    """A service and the limits that apply to each of its backend servers."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None
    #: None: servers sustain their full load from the start.
    cold: ColdSpec | None = None


@dataclass(frozen=True, kw_only=True)
class Account:
    """A client account; its priority, if set, overrides that of the route."""

    name: AccountName
    keys: frozenset[str]
    priority: int | None = None
    #: Regions in which requests of this account may run; empty: all.
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Size and time limits for requests of clients."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclass(kw_only=True)
class HostRoutes:
    """The routes of a host, indexed by their unique prefixes.

    A route document may have thousands of routes. With 4,200 routes of one host, a lookup for
    each prefix length takes 2 us, a linear search 200 us.
    """

    routes_by_prefix: dict[str, Route] = field(default_factory=dict)
    #: Distinct prefix lengths, longest first.
    prefix_lengths: list[int] = field(default_factory=list)

    def add(self, route: Route) -> None:
        """Add a route, unless its prefix already has one."""
        self.routes_by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self.prefix_lengths:
            self.prefix_lengths.append(length)
            self.prefix_lengths.sort(reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix that matches ``path``."""
        for length in self.prefix_lengths:
            route = self.routes_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class RouteTable:
    """A version of all routes, services and client accounts."""

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, BackendService] = field(default_factory=dict)
    accounts: tuple[Account, ...] = ()
    limits: ClientLimits = ClientLimits()
    by_host: dict[str, HostRoutes] = field(init=False, default_factory=dict)
    by_key: dict[str, Account] = field(init=False, default_factory=dict)
    #: How long a stream of a service may last with its resumptions, seconds.
    stream_limits_s: dict[ServiceName, float] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index routes by host and accounts by key."""
        for route in self.routes:
            self.by_host.setdefault(route.host, HostRoutes()).add(route)
            if route.kind is RequestKind.stream:
                self._index_stream(route)
        for account in self.accounts:
            self.by_key.update(dict.fromkeys(account.keys, account))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches ``path``."""
        routes = self.by_host.get(host)
        return routes.match(path) if routes else None

    def longest_stream_s(self, service: ServiceName) -> float:
        """Return how long a stream of a service may last with its resumptions, seconds."""
        return self.stream_limits_s.get(service, 0)

    def account_by_key(self, key: str) -> Account | None:
        """Return the client account with this API key."""
        return self.by_key.get(key)

    def _index_stream(self, route: Route) -> None:
        limit_s = _LIMITS_PER_STREAM * route.timeout_s
        for target in route.targets:
            known_s = self.longest_stream_s(target.service)
            self.stream_limits_s[target.service] = max(limit_s, known_s)
