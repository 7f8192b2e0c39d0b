"""Patterns of load and failures, read from an INI file.

The sections are ``[pattern]``, ``[service NAME]``, ``[route NAME]``, ``[stage ROUTE N]``,
``[account NAME]``, ``[event NAME]`` and ``[prices]``. Durations are in seconds, sizes in
bytes or tokens unless the name gives another unit. Amounts that vary by request are drawn from a
lognormal distribution given by its mean, the standard deviation of its logarithm
(``_spread``) and an upper bound (``_most``).
"""

from __future__ import annotations

import configparser
import enum
import math
import types
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.errors import Finding, FindingsError
from ringseam.features import Feature
from ringseam.routes import (
    Account,
    AccountName,
    BackendService,
    BatchSpec,
    EngineSpec,
    RequestKind,
    Route,
    RouteStage,
    RouteTable,
    ServiceName,
    Target,
)
from ringseam.util.ini import split_list

if TYPE_CHECKING:
    import random

_MEGABYTE = 1_000_000
#: The host of all routes of a pattern.
HOST = 'model.example'


class Amount(msgspec.Struct, frozen=True, kw_only=True):
    """The distribution of an amount that varies by request."""

    mean: float
    spread: float = 0
    most: float = math.inf

    def draw(self, rng: random.Random) -> float:
        """Draw one amount."""
        if not self.spread:
            return self.mean
        mu = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, rng.lognormvariate(mu, self.spread))


class ServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The backend servers of one service: stage servers if ``batch`` is set, else engines."""

    servers: int
    # -- stage servers
    batch: int = 0
    call_s: float = 0.2
    piece_s: float = 0.03
    room_mb: float = 1000
    keep_s: float = 4
    queue: int = 2
    # -- engines
    read_tokens_per_s: float = 0
    step_s: float = 0.005
    #: Additional duration of a step for each stream.
    step_per_stream_s: float = 4e-6
    #: Duration of attention over a million pairs of tokens in prefill, in addition to the
    #: time for the tokens.
    pairs_s_per_m: float = 0.0006
    chunk_tokens: int = 1024
    memory_tokens: int = 340_000
    tokens_per_event: int = 3
    #: Bounds of the speeds of the servers, relative to the durations above.
    slowest: float = 1
    fastest: float = 1
    #: Share of the hosts that take ``noise_factor`` times as long at a time, for ``noise_s``.
    #: The servers report it if the share is positive.
    noise_share: float = 0
    noise_factor: float = 2.5
    noise_s: float = 0.6


class StageLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One stage of a route."""

    service: str
    after: tuple[int, ...] = ()
    pieces: float = 1
    pieces_spread: float = 0
    pieces_most: float = math.inf
    #: Share of the requests that use the stage.
    share: float = 1
    result_bytes: float = 1000
    #: Duration of a piece relative to ``piece_s`` of the service.
    work: float = 1


class RouteLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of one route.

    A response on time has the value ``worth``, a late one ``late_worth``.
    """

    service: str
    per_s: float
    priority: int = 0
    objective_s: float = 1
    timeout_s: float = 6
    pause_s: float = 0.2
    worth: float = 1
    late_worth: float = 0.15
    resumable: bool = True
    events: float = 10
    events_spread: float = 0
    events_most: float = math.inf
    prompt: float = 1000
    prompt_spread: float = 0
    prompt_most: float = math.inf
    #: A prompt consists of a common part, the part of its subject and a unique part. These
    #: are the tokens of the first two, and how many different ones there are.
    shared: float = 0
    subjects: int = 1
    common: float = 0
    commons: int = 1


class AccountLoad(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of one client account."""

    #: Share of the requests of each route.
    share: float


class EventKind(enum.Enum):
    """An event that affects servers or load."""

    burst = 'burst'
    #: Servers leave as planned: they accept no new requests and finish the running ones.
    leave = 'leave'
    #: Servers break all connections and restart later.
    crash = 'crash'
    slow = 'slow'
    #: Connections stay open, but servers send no responses.
    silent = 'silent'
    #: Servers send nothing until the event ends, then go on with all that has begun.
    stalled = 'stalled'
    #: A client requests, ``factor`` times a second, a content that crashes each engine
    #: that runs it; the engine restarts after two seconds.
    crashing_content = 'ending'
    #: Clients request, ``factor`` times a second, contents that are all different and share a
    #: prompt part that crashes each engine that begins a response on it.
    crashing_part = 'ending-part'
    #: The zone ``of`` is drained: its servers get no new requests until the event ends.
    zone_drained = 'drained'
    #: Servers announce a rate limit of ``factor`` requests per second.
    rate_limited = 'limited'
    #: Servers refuse all requests and ask for a pause.
    paused = 'paused'
    #: Servers announce that they leave in their responses only, not to the control group.
    announced_leave = 'saying'


#: Events of clients whose requests crash engines.
CRASHING_REQUESTS = frozenset((EventKind.crashing_content, EventKind.crashing_part))


class PatternEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event during a pattern."""

    kind: EventKind
    at: float
    for_s: float = math.inf
    #: The affected service; for bursts and crashing requests a route, for drains a zone.
    #: A burst without a name affects all routes.
    of: str = ''
    #: The account whose requests a burst consists of; empty: all accounts.
    account: str = ''
    count: int = 1
    factor: float = 2

    def is_active(self, now: float) -> bool:
        """Return whether the event is in progress."""
        return self.at <= now < self.at + self.for_s

    def is_burst_of(self, route: str, account: str) -> bool:
        """Return whether the event is a burst of an account's requests on a route."""
        burst = self.kind is EventKind.burst
        return burst and self.of in {'', route} and self.account in {'', account}


class Basics(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a whole pattern."""

    seconds: float = 30
    zones: int = 3
    gateways: int = 3
    #: One-way latency between zones, and from clients to gateways.
    zone_s: float = 0.0014
    client_s: float = 0.003
    #: Requests arrive in clumps; this is their mean size.
    clump: float = 2
    #: Features of the gateways that are in force, separated by commas.
    features: str = ''


class Prices(msgspec.Struct, frozen=True, kw_only=True):
    """Prices of resources, in units of the value of requests; set by the operator."""

    #: Per second of stage server time spent on a request that is not served.
    wasted_s: float = 0
    #: Per gigabyte of results transferred between zones.
    crossed_gb: float = 0
    #: Per thousand shared prompt tokens for which prefill is repeated.
    again_k_tokens: float = 0
    #: Share of the value of a request that was refused, retried and still not served.
    refused_again: float = 0


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A pattern of load and events."""

    basics: Basics
    services: dict[str, ServiceLoad]
    routes: dict[str, RouteLoad]
    stages: dict[str, list[StageLoad]]
    events: list[PatternEvent] = []
    prices: Prices = Prices()
    #: Without accounts, requests need no key.
    accounts: dict[str, AccountLoad] = {}

    @property
    def features(self) -> frozenset[Feature]:
        """Return the features that are in force."""
        return frozenset(map(Feature, split_list(self.basics.features)))

    def route_table(self) -> RouteTable:
        """Return the route table for the gateways."""
        return RouteTable(
            number=1,
            routes=tuple(self._route(name, load) for name, load in self.routes.items()),
            services={
                ServiceName(name): _service(name, load) for name, load in self.services.items()
            },
            accounts=tuple(map(_account, self.accounts)),
        )

    def rate_at(self, name: str, now: float, account: str = '') -> float:
        """Return the rate of a route, or of its part of an account, requests per second."""
        rate = self.routes[name].per_s
        if account:
            rate *= self.accounts[account].share
        for event in self.events:
            if event.is_burst_of(name, account) and event.is_active(now):
                rate *= event.factor
        return rate

    def _route(self, name: str, load: RouteLoad) -> Route:
        return Route(
            name=name,
            host=HOST,
            prefix=f'/{name}/',
            kind=RequestKind.stream,
            timeout_s=load.timeout_s,
            objective_s=load.objective_s,
            targets=(Target(service=ServiceName(load.service)),),
            priority=load.priority,
            max_attempts=2 if load.resumable else 1,
            stages=tuple(
                RouteStage(
                    service=ServiceName(stage.service),
                    after=stage.after,
                    result_bytes=int(stage.result_bytes),
                )
                for stage in self.stages.get(name, [])
            ),
            public=not self.accounts,
            affinity=True,
            resumable=load.resumable,
            gap_objective_s=load.pause_s,
        )


def read_pattern(text: str, *, path: str) -> Pattern:
    """Parse the pattern in an INI file.

    :raises FindingsError: if the file is invalid, with all findings.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        raise FindingsError([_finding(path, '', str(error))]) from None
    findings: list[Finding] = []
    sections: dict[str, dict[str, Any]] = {}
    for header in parser.sections():
        kind, _, name = header.partition(' ')
        try:
            sections.setdefault(kind, {})[name] = _convert(kind, dict(parser[header]))
        except (msgspec.ValidationError, KeyError) as error:
            findings.append(_finding(path, header, str(error)))
    if findings:
        raise FindingsError(findings)
    return _assemble(sections, path)


def _assemble(sections: dict[str, dict[str, Any]], path: str) -> Pattern:
    stages: dict[str, list[StageLoad]] = {}
    for name in sorted(sections.get('stage', {})):
        stages.setdefault(name.partition(' ')[0], []).append(sections['stage'][name])
    pattern = Pattern(
        basics=sections.get('pattern', {}).get('', Basics()),
        services=sections.get('service', {}),
        routes=sections.get('route', {}),
        stages=stages,
        events=list(sections.get('event', {}).values()),
        prices=sections.get('prices', {}).get('', Prices()),
        accounts=sections.get('account', {}),
    )
    used = [stage.service for route_stages in stages.values() for stage in route_stages]
    used.extend(route.service for route in pattern.routes.values())
    findings = [
        _finding(path, '', f'unknown service {service!r}')
        for service in sorted(set(used) - set(pattern.services))
    ]
    if findings:
        raise FindingsError(findings)
    return pattern


_SECTIONS = types.MappingProxyType(
    {
        'pattern': Basics,
        'service': ServiceLoad,
        'route': RouteLoad,
        'stage': StageLoad,
        'event': PatternEvent,
        'account': AccountLoad,
        'prices': Prices,
    },
)


def _convert(kind: str, section: dict[str, str]) -> Any:
    settings: dict[str, Any] = dict(section)
    after = section.get('after')
    if after is not None:
        settings['after'] = [stage.strip() for stage in after.split(',')]
    return msgspec.convert(settings, _SECTIONS[kind], strict=False)


def _account(name: str) -> Account:
    return Account(name=AccountName(name), keys=frozenset((name,)))


def _service(name: str, load: ServiceLoad) -> BackendService:
    batching = None
    engine = None
    if load.batch:
        batching = BatchSpec(
            slots=1,
            queue=load.queue,
            batch=load.batch,
            call_s=load.call_s,
            piece_s=load.piece_s,
            result_capacity_bytes=int(load.room_mb * _MEGABYTE),
            result_retention_s=load.keep_s,
        )
    else:
        engine = EngineSpec(slots=64, cache_tokens=load.memory_tokens)
    return BackendService(
        name=ServiceName(name),
        health_path='/health',
        max_connections=1000,
        engine=engine,
        batching=batching,
    )


def _finding(path: str, section: str, message: str) -> Finding:
    return Finding(path=path, line=0, section=section, key='', message=message)
