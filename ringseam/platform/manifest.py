"""Decode the provider's manifest into a route table."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.errors import Finding, FindingsError
from ringseam.routes import (
    Account,
    AccountName,
    BackendService,
    BatchSpec,
    ClientLimits,
    ColdSpec,
    EngineSpec,
    RequestKind,
    Route,
    RouteName,
    RouteStage,
    RouteTable,
    ServiceName,
    Target,
)
from ringseam.routevalidation import validated
from ringseam.util.bounds import BoundedInt, NonNegativeFloat, NonNegativeInt

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


class _Stage(msgspec.Struct):
    service: str
    after: tuple[BoundedInt, ...] = ()
    bytes: NonNegativeFloat = 0  # size of one piece's result


class _Share(msgspec.Struct):
    service: str
    weight: NonNegativeFloat


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: NonNegativeFloat
    slo_ms: NonNegativeFloat = 0  # latency objective; 0: none
    priority: BoundedInt = 0
    service: str = ''
    split: tuple[_Share, ...] = ()
    max_attempts: BoundedInt = 1
    stages: tuple[_Stage, ...] = ()
    public: bool = False
    sticky: bool = False  # route requests with a common prompt prefix to the same server
    resumable: bool = False
    gap_aim_ms: NonNegativeFloat = 0
    allowed_regions: Optional[tuple[str, ...]] = None


class _Engine(msgspec.Struct):
    slots: BoundedInt = 1
    kv_tokens: BoundedInt = 0


class _Pieces(msgspec.Struct):
    slots: BoundedInt = 1
    queue: BoundedInt = 0
    batch: BoundedInt = 1
    call_ms: NonNegativeFloat = 0
    item_ms: NonNegativeFloat = 0
    room_mb: NonNegativeFloat = 0
    handle_s: NonNegativeFloat = 0


class _Service(msgspec.Struct):
    name: str
    health_path: str = '/health'
    max_conns: BoundedInt = 1
    engine: Optional[_Engine] = None
    pieces: Optional[_Pieces] = None
    cold_s: NonNegativeFloat = 0  # how long a server stays cold after its start
    cold_per_s: NonNegativeFloat = 0  # requests per second that a cold server sustains


class _Limits(msgspec.Struct):
    max_header_bytes: BoundedInt = 16_384
    max_body_bytes: BoundedInt = 4_194_304
    header_timeout_ms: NonNegativeFloat = 3000
    idle_timeout_ms: NonNegativeFloat = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Optional[BoundedInt] = None
    allowed_regions: Optional[tuple[str, ...]] = None


class _Manifest(msgspec.Struct):
    version: NonNegativeInt
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


_DECODER = msgspec.json.Decoder(_Manifest)


def decode_manifest(document: bytes) -> RouteTable:
    """Decode a manifest and return its route table.

    :raises FindingsError: if the manifest is invalid; lists every finding.
    """
    try:
        manifest = _DECODER.decode(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        finding = Finding(path='manifest', line=0, section='', key='', message=str(error))
        raise FindingsError([finding]) from None
    table = RouteTable(
        number=manifest.version,
        routes=tuple(_route(route) for route in manifest.routes),
        services={ServiceName(service.name): _service(service) for service in manifest.services},
        accounts=tuple(_account(tenant) for tenant in manifest.tenants),
        limits=ClientLimits(
            header_bytes=manifest.limits.max_header_bytes,
            body_bytes=manifest.limits.max_body_bytes,
            header_timeout_s=manifest.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=manifest.limits.idle_timeout_ms / _MS_PER_S,
        ),
    )
    return validated(table, path='manifest')


def _route(route: _Route) -> Route:
    shares = route.split or (_Share(service=route.service, weight=1),)
    return Route(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=route.kind,
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.slo_ms / _MS_PER_S,
        targets=tuple(
            Target(service=ServiceName(share.service), weight=share.weight) for share in shares
        ),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        stages=tuple(
            RouteStage(
                service=ServiceName(stage.service),
                after=stage.after,
                result_bytes=int(stage.bytes),
            )
            for stage in route.stages
        ),
        public=route.public,
        affinity=route.sticky,
        resumable=route.resumable,
        gap_objective_s=route.gap_aim_ms / _MS_PER_S,
        regions=frozenset(route.allowed_regions or ()),
    )


def _service(service: _Service) -> BackendService:
    engine = service.engine
    pieces = service.pieces
    return BackendService(
        name=ServiceName(service.name),
        health_path=service.health_path,
        max_connections=service.max_conns,
        engine=EngineSpec(slots=engine.slots, cache_tokens=engine.kv_tokens) if engine else None,
        batching=_batch_spec(pieces) if pieces else None,
        cold=_cold_spec(service),
    )


def _cold_spec(service: _Service) -> ColdSpec | None:
    if service.cold_s <= 0 or service.cold_per_s <= 0:
        return None
    return ColdSpec(duration_s=service.cold_s, requests_per_s=service.cold_per_s)


def _batch_spec(pieces: _Pieces) -> BatchSpec:
    return BatchSpec(
        slots=max(1, pieces.slots),
        queue=pieces.queue,
        batch=max(1, pieces.batch),
        call_s=pieces.call_ms / _MS_PER_S,
        piece_s=pieces.item_ms / _MS_PER_S,
        result_capacity_bytes=int(pieces.room_mb * _BYTES_PER_MB),
        result_retention_s=pieces.handle_s,
    )


def _account(tenant: _Tenant) -> Account:
    return Account(
        name=AccountName(tenant.name),
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        regions=frozenset(tenant.allowed_regions or ()),
    )
