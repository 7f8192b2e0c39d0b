"""The table of routes that gateways serve by: typed, validated, immutable."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import NewType

#: Name of a service: backend servers that do the same work.
ServiceName = NewType('ServiceName', str)
#: Name of a client account, as backend servers are told it.
AccountName = NewType('AccountName', str)


class RequestKind(enum.Enum):
    """What may be repeated."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@dataclass(frozen=True, kw_only=True)
class RouteStage:
    """Work to be done before a request can run; ``after`` are stage numbers."""

    service: ServiceName
    after: tuple[int, ...] = ()
    result_bytes: int = 0


@dataclass(frozen=True, kw_only=True)
class Target:
    """A service that may serve a route, and its share of the requests."""

    service: ServiceName
    weight: float = 1


@dataclass(frozen=True, kw_only=True)
class Route:
    """How requests of one host and path prefix are served; seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    targets: tuple[Target, ...]
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[RouteStage, ...] = ()
    public: bool = False
    affinity: bool = False
    resumable: bool = False
    gap_objective_s: float = 0
    #: Regions in which its requests may run; empty: all.
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.idempotent or self.resumable


@dataclass(frozen=True, kw_only=True)
class BatchSpec:
    """How a stage service takes pieces; one backend server's limits."""

    slots: int
    queue: int
    batch: int
    call_s: float
    piece_s: float
    result_capacity_bytes: int
    result_retention_s: float

    @property
    def full_call_s(self) -> float:
        """Return how long a full call takes, seconds."""
        return self.call_s + self.batch * self.piece_s


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """One model engine's limits."""

    slots: int
    cache_tokens: int


@dataclass(frozen=True, kw_only=True)
class ColdSpec:
    """What one backend server bears after it has started."""

    #: How long it is cold, seconds.
    duration_s: float
    #: Requests a second that it bears meanwhile.
    requests_per_s: float


@dataclass(frozen=True, kw_only=True)
class BackendService:
    """A service and the limits of each of its backend servers."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None
    batching: BatchSpec | None = None
    #: None: its servers bear all that they bear later from their start.
    cold: ColdSpec | None = None


@dataclass(frozen=True, kw_only=True)
class Account:
    """A client account; its priority goes before the route's."""

    name: AccountName
    keys: frozenset[str]
    priority: int | None = None
    #: Regions in which its requests may run; empty: all.
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """What clients may send; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclass(kw_only=True)
class HostRoutes:
    """The routes of one host by their prefixes, of which no two are the same.

    A document may have thousands; a look-up for each length of a prefix takes 2 us where
    trying one route after the other took 200, with 4,200 routes of one host.
    """

    routes_by_prefix: dict[str, Route] = field(default_factory=dict)
    #: Lengths of prefixes, longest first.
    prefix_lengths: list[int] = field(default_factory=list)

    def add(self, route: Route) -> None:
        """Add a route; the first with a prefix stays."""
        self.routes_by_prefix.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self.prefix_lengths:
            self.prefix_lengths.append(length)
            self.prefix_lengths.sort(reverse=True)

    def match(self, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        for length in self.prefix_lengths:
            route = self.routes_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, kw_only=True)
class RouteTable:
    """One version of all routes, services and client accounts."""

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, BackendService] = field(default_factory=dict)
    accounts: tuple[Account, ...] = ()
    limits: ClientLimits = ClientLimits()
    by_host: dict[str, HostRoutes] = field(init=False, default_factory=dict)
    by_key: dict[str, Account] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index routes by host and accounts by key."""
        for route in self.routes:
            self.by_host.setdefault(route.host, HostRoutes()).add(route)
        for account in self.accounts:
            self.by_key.update(dict.fromkeys(account.keys, account))

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``."""
        routes = self.by_host.get(host)
        return routes.match(path) if routes else None

    def account_by_key(self, key: str) -> Account | None:
        """Return the client account that holds ``key``."""
        return self.by_key.get(key)
