"""Patterns of load and trouble as data, read from an INI file.

Sections: ``[pattern]``, ``[service NAME]``, ``[route NAME]``, ``[stage ROUTE N]`` and
``[event NAME]``. Durations are seconds, sizes bytes and tokens unless a name says
otherwise. Amounts that differ by request are drawn from a lognormal distribution
with the given mean, the spread of its logarithm and a highest value.
"""

from __future__ import annotations

import configparser
import enum
import math
import types
from typing import TYPE_CHECKING, Any

import msgspec

from ringseam.errors import Finding, FindingsError
from ringseam.routes import (
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

if TYPE_CHECKING:
    import random

_MEGABYTE = 1_000_000
#: All routes of a pattern belong to one host.
HOST = 'model.example'


class Amount(msgspec.Struct, frozen=True, kw_only=True):
    """An amount that differs by request."""

    mean: float
    spread: float = 0
    most: float = math.inf

    def draw(self, dice: random.Random) -> float:
        """Return one amount."""
        if not self.spread:
            return self.mean
        middle = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, dice.lognormvariate(middle, self.spread))


class ServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Backend servers of one service; those of engines read prompts."""

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
    #: A step takes this much longer for each stream.
    step_per_stream_s: float = 4e-6
    #: Reading a million pairs of tokens takes this long beside the tokens.
    pairs_s_per_m: float = 0.0006
    chunk_tokens: int = 1024
    memory_tokens: int = 340_000
    tokens_per_event: int = 3


class StageLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One stage of a route."""

    service: str
    after: tuple[int, ...] = ()
    pieces: float = 1
    pieces_spread: float = 0
    pieces_most: float = math.inf
    #: Share of the requests that need the stage.
    share: float = 1
    result_bytes: float = 1000
    #: A piece takes this share of what the service says.
    work: float = 1


class RouteLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one kind."""

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
    #: Tokens of parts that requests share, and how many such parts there are.
    shared: float = 0
    subjects: int = 1
    common: float = 0
    commons: int = 1


class EventKind(enum.Enum):
    """What happens to servers or load."""

    burst = 'burst'
    #: Servers leave as planned: they take nothing new and finish what they have.
    leave = 'leave'
    #: Servers reset all they have and are back later.
    crash = 'crash'
    slow = 'slow'
    #: Connections stay open and nothing is answered.
    silent = 'silent'
    #: A client asks for one content, ``factor`` times a second, that ends each engine
    #: that runs it; the engine is back after two seconds.
    ending = 'ending'
    #: The servers of the zone ``of`` get nothing new, and are used again later.
    drained = 'drained'
    #: Servers name a limit of ``factor`` requests a second.
    limited = 'limited'
    #: Servers turn all away and ask for a pause.
    paused = 'paused'
    #: Servers say in their answers alone that they leave.
    saying = 'saying'


class PatternEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Something that happens during a pattern."""

    kind: EventKind
    at: float
    for_s: float = math.inf
    #: A service, for bursts and endings a route, for drains a zone; none: all routes.
    of: str = ''
    count: int = 1
    factor: float = 2

    def covers(self, now: float) -> bool:
        """Return whether it is under way."""
        return self.at <= now < self.at + self.for_s


class Basics(msgspec.Struct, frozen=True, kw_only=True):
    """What holds for a whole pattern."""

    seconds: float = 30
    zones: int = 3
    gateways: int = 3
    #: One way between zones, and from clients.
    zone_s: float = 0.0014
    client_s: float = 0.003
    #: Requests come in clumps of this many in the mean.
    clump: float = 2


class Prices(msgspec.Struct, frozen=True, kw_only=True):
    """What resources cost, in the worth of requests; an operator's to set."""

    #: A second of a stage server on a request that is not served.
    wasted_s: float = 0
    #: A gigabyte of results between zones.
    crossed_gb: float = 0
    #: A thousand shared tokens that are read again.
    again_k_tokens: float = 0
    #: A share of the worth of a request that was refused, came back and isn't served.
    refused_again: float = 0


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A whole pattern."""

    basics: Basics
    services: dict[str, ServiceLoad]
    routes: dict[str, RouteLoad]
    stages: dict[str, list[StageLoad]]
    events: list[PatternEvent] = []
    prices: Prices = Prices()

    def table(self) -> RouteTable:
        """Return the routes as gateways hold them."""
        return RouteTable(
            number=1,
            routes=tuple(self._route(name, load) for name, load in self.routes.items()),
            services={
                ServiceName(name): _service(name, load) for name, load in self.services.items()
            },
        )

    def rate(self, name: str, now: float) -> float:
        """Return the requests of a route a second at a moment."""
        rate = self.routes[name].per_s
        for event in self.events:
            if event.kind is EventKind.burst and event.of in {'', name} and event.covers(now):
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
            public=True,
            affinity=True,
            resumable=load.resumable,
            gap_objective_s=load.pause_s,
        )


def read_pattern(text: str, *, path: str) -> Pattern:
    """Return the pattern of an INI file.

    :raises FindingsError: when it is wrong, with all findings.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        raise FindingsError([_finding(path, '', str(error))]) from None
    findings: list[Finding] = []
    found: dict[str, dict[str, Any]] = {}
    for section in parser.sections():
        kind, _, name = section.partition(' ')
        try:
            found.setdefault(kind, {})[name] = _convert(kind, dict(parser[section]))
        except (msgspec.ValidationError, KeyError) as error:
            findings.append(_finding(path, section, str(error)))
    if findings:
        raise FindingsError(findings)
    return _assemble(found, path)


def _assemble(found: dict[str, dict[str, Any]], path: str) -> Pattern:
    stages: dict[str, list[StageLoad]] = {}
    for name in sorted(found.get('stage', {})):
        stages.setdefault(name.partition(' ')[0], []).append(found['stage'][name])
    pattern = Pattern(
        basics=found.get('pattern', {}).get('', Basics()),
        services=found.get('service', {}),
        routes=found.get('route', {}),
        stages=stages,
        events=list(found.get('event', {}).values()),
        prices=found.get('prices', {}).get('', Prices()),
    )
    used = [stage.service for parts in stages.values() for stage in parts]
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
        'prices': Prices,
    },
)


def _convert(kind: str, section: dict[str, str]) -> Any:
    parts: dict[str, Any] = dict(section)
    after = section.get('after')
    if after is not None:
        parts['after'] = [piece.strip() for piece in after.split(',')]
    return msgspec.convert(parts, _SECTIONS[kind], strict=False)


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
