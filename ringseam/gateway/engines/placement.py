"""Placement of requests on model engines by cost, without I/O.

Costs are fractions of the value of one request of the highest priority, so that late
responses, repeated prefill of cached prompts, stalled streams and traffic between
availability zones can be compared with each other.
"""

from __future__ import annotations

import hashlib
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.calls import ServerLoad
from ringseam.clock import MS_PER_S
from ringseam.gateway.engines.enginesums import NO_REQUESTS, EngineSums
from ringseam.gateway.engines.prefixcache import PrefixCache
from ringseam.gateway.following.pacing import max_wait_s
from ringseam.gateway.priorities import LATE_VALUE_LOSS, response_value
from ringseam.routes import ServiceName

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.engines.messages import PlaceRequest, PromptPart
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.following.pacing import Pacer
    from ringseam.routes import BackendService

#: Assumed prefill rate of an engine, prompt tokens per second.
PREFILL_TOKENS_PER_S = 32_400.0
#: Prefill of long prompts is slower by about this factor, due to attention over earlier tokens.
_LONG_PREFILL_FACTOR = 1.3
#: Time from a request's arrival at an idle engine to its first event, seconds.
_FIRST_EVENT_S = 0.08
#: Prefill of more tokens than this takes three steps or more. An event of a running stream
#: takes three steps, so it is then delayed by more than half a second.
_STALLING_TOKENS = 8192
#: Uncertainty of the predicted time of the first token, seconds: the probability of being
#: late rises from 0 to 1 over this span.
_PREDICTION_SPREAD_S = 0.6
#: Cost of the repeated prefill of a token that another engine has cached.
_RECOMPUTE_COST_PER_TOKEN = 0.055e-3
#: Cost of a byte transferred between availability zones.
_CROSS_ZONE_COST_PER_BYTE = 0.016e-6
#: Cost of a second of waiting, even if the response is not late.
_WAIT_COST_PER_S = 0.05
#: Added cost of an ejected engine, so that it is chosen only if all are ejected.
_EJECTED_COST = 1000.0
#: Share of an engine's memory that holds cached prompts; running requests use the rest.
_CACHE_SHARE = 0.7
#: A request whose end was not reported is dropped this long after its deadline, seconds.
_EXPIRY_MARGIN_S = 1.0
_UNNAMED = ServiceName('')
#: Up to this many engines are all compared; of more, only a sample is.
_MAX_COMPARED = 48
#: Size of the sample: engines that cache the longest prefix of the prompt, most recent first,
#: and engines drawn from all.
_CACHING_SAMPLE = 16
_RANDOM_SAMPLE = 16


@dataclass(kw_only=True)
class PlacedRequest:
    """A request that was placed on an engine."""

    instance: BackendId
    prefill_tokens: int
    value: float
    expires_at: float
    streaming: bool = False
    #: When it is sent, and the expected time until its first event without slowdown.
    sent_at: float = 0
    expected_s: float = 0
    #: Tokens of memory that it needs and shares with no other request.
    held_tokens: int = 0


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The engine for a request, and the quantities that decided it."""

    engine: BackendReport
    cost: float
    #: Prompt tokens of the request that the engine has to prefill.
    prefill_tokens: int
    #: Prompt tokens queued for prefill there before it.
    backlog_tokens: int
    #: Value of the streams there that would pause for too long.
    stalled_value: float
    #: How long the request must wait before it may be sent, seconds.
    wait_s: float = 0


@dataclass(kw_only=True)
class Placer:
    """Place requests on the engines of one service."""

    health: HealthTracker
    pacer: Pacer
    #: Name of the service, under which the speeds of its engines are learned.
    service: ServiceName = _UNNAMED
    caches: dict[BackendId, PrefixCache] = field(default_factory=dict)
    requests: dict[str, PlacedRequest] = field(default_factory=dict)
    #: The same requests by engine, in order of arrival.
    requests_by_engine: dict[BackendId, dict[str, PlacedRequest]] = field(default_factory=dict)
    #: Engines that cache each prompt part, most recent last.
    engines_by_part: dict[str, dict[BackendId, None]] = field(default_factory=dict)
    #: Sum of the memory that the requests on each engine need.
    held_tokens: dict[BackendId, int] = field(default_factory=dict)
    #: Sums over the requests on each engine.
    sums: dict[BackendId, EngineSums] = field(default_factory=dict)
    #: No request expires before.
    next_expiry: float = math.inf

    def place(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
        service: BackendService,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> Placement | None:
        """Choose the engine with the least cost, and record the request there.

        :param peers: all gateways that place requests on these engines independently,
            including this one; empty if this gateway is the only one.
        """
        self._drop_expired(now)
        compared = self._select_engines(query, engines)
        factors = self._time_factors(compared, now)
        costs = self._costs(query, compared, factors, now)
        waits = self._waits(query, compared, service, now, peers)
        remaining_s = query.left_ms / MS_PER_S
        candidates = [
            (costs.cost(engine, wait_s), wait_s, engine)
            for engine in self._with_room(query, compared, service, factors)
            if engine.instance not in query.avoid
            and (wait_s := waits.get(engine.instance, 0)) < remaining_s
        ]
        if not candidates:
            return None
        best = costs.placement(*_cheapest(query, candidates))
        if not query.dry:
            self.pacer.reserve(best.engine.instance, service.cold, now, peers=peers)
            self.record(query, best.engine.instance, service, now, wait_s=best.wait_s)
        return best

    def record(
        self,
        query: PlaceRequest,
        instance: BackendId,
        service: BackendService,
        now: float,
        *,
        wait_s: float = 0,
    ) -> None:
        """Record that a request was placed on an engine, and its effect on the cache."""
        cache = self._cache(instance)
        # The request may have been placed on another engine before.
        self.ended(query.request)
        if not self._sums(instance).queued_tokens:
            cache.last_prefill_at = now
        prefill_tokens = self.prefill_tokens(query, instance)
        backlog_tokens = self.backlog_tokens(instance, now)
        self.track(
            query.request,
            PlacedRequest(
                instance=instance,
                sent_at=now + wait_s,
                expected_s=_first_event_s(backlog_tokens + prefill_tokens),
                held_tokens=prefill_tokens + query.output,
                prefill_tokens=prefill_tokens,
                value=response_value(query.priority),
                expires_at=now + query.left_ms / MS_PER_S + _EXPIRY_MARGIN_S,
            ),
        )
        capacity = service.engine.cache_tokens * _CACHE_SHARE if service.engine else 0
        for part in reversed(query.prefix):
            self._record_part(instance, part, capacity)

    def track(self, request: str, placed: PlacedRequest) -> None:
        """Count a request as running on an engine."""
        self.requests[request] = placed
        self.requests_by_engine.setdefault(placed.instance, {})[request] = placed
        held = self.held_tokens.get(placed.instance, 0)
        self.held_tokens[placed.instance] = held + placed.held_tokens
        self.next_expiry = min(self.next_expiry, placed.expires_at)
        self._update_sums(placed.instance)

    def record_load(self, request: str, figures: tuple[int, ...], now: float) -> None:
        """Record the load that the engine of a request reported; invalid ones are ignored."""
        placed = self.requests.get(request)
        load = ServerLoad.from_figures(figures)
        if placed is not None and load is not None:
            self.health.speeds.reports.record(placed.instance, load, now)

    def started(self, request: str, now: float, *, learn: bool = True) -> None:
        """Record that the first event of a request has arrived.

        :param learn: whether its time tells the speed of the engine.
        """
        placed = self.requests.get(request)
        if placed is not None:
            if learn and not placed.streaming:
                self.health.speeds.observe(
                    self.service,
                    placed.instance,
                    expected_s=placed.expected_s,
                    duration_s=now - placed.sent_at,
                    now=now,
                )
            placed.streaming = True
            placed.prefill_tokens = 0
            self._update_sums(placed.instance)
            self._cache(placed.instance).last_prefill_at = now

    def ended(self, request: str) -> None:
        """Record that a request is over."""
        placed = self.requests.pop(request, None)
        if placed is not None:
            self.requests_by_engine[placed.instance].pop(request)
            self.held_tokens[placed.instance] -= placed.held_tokens
            self._update_sums(placed.instance)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop the cached prompts of engines that are gone."""
        for instance in set(self.caches) - instances:
            for name in self.caches.pop(instance).token_counts:
                self._evict_part(name, instance)

    def prefill_tokens(self, query: PlaceRequest, instance: BackendId) -> int:
        """Return how many prompt tokens an engine would have to prefill."""
        return max(0, query.prompt_tokens - self._cached_tokens(query, instance))

    def permit_in_s(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Return the least time until a rate-limited engine has a send permit, or 0."""
        waits = [
            self.pacer.limit_wait_s(engine.instance, now, peers=peers)
            for engine in engines
            if engine.instance not in query.avoid
        ]
        return min(waits, default=0)

    def backlog_tokens(self, instance: BackendId, now: float, time_factor: float = 1) -> int:
        """Return the number of prompt tokens that an engine has yet to prefill.

        The tokens processed since its last finished prefill are estimated from the usual
        rate, and are never more than those of the longest queued prompt.
        """
        sums = self._sums(instance)
        if not sums.queued_tokens:
            return 0
        elapsed_s = now - self._cache(instance).last_prefill_at
        tokens_per_s = PREFILL_TOKENS_PER_S / time_factor
        # The time is infinite for an engine that was removed and has been added again.
        done = int(min(sums.longest_tokens, elapsed_s * tokens_per_s / _LONG_PREFILL_FACTOR))
        return sums.queued_tokens - done

    # -- helpers ------------------------------------------------------------

    def _time_factors(
        self, engines: Collection[BackendReport], now: float
    ) -> dict[BackendId, float]:
        """Return the durations at engines relative to the assumed ones; empty: all are 1."""
        speeds = self.health.speeds
        if not speeds.reports.reports_interference(engine.instance for engine in engines):
            return {}
        return speeds.expected_factors(self.service, engines, now)

    def _costs(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
        factors: Mapping[BackendId, float],
        now: float,
    ) -> PlacementCosts:
        cached_tokens = self._cached_by_engine(query)
        return PlacementCosts(
            placer=self,
            query=query,
            now=now,
            cached_tokens=cached_tokens,
            max_cached_tokens=max(
                (cached_tokens.get(engine.instance, 0) for engine in engines), default=0
            ),
            time_factors=factors,
        )

    def _with_room(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
        service: BackendService,
        factors: Collection[BackendId],
    ) -> Collection[BackendReport]:
        """Return the engines that can hold a request now, or all if none can."""
        if service.engine is None or not factors:
            return engines
        # Cached parts that no running request uses yield, so they take no memory here.
        most_held = service.engine.cache_tokens - query.prompt_tokens - query.output
        slots = service.engine.slots
        requests, held_tokens = self.requests_by_engine, self.held_tokens
        with_room = [
            engine
            for engine in engines
            if held_tokens.get(engine.instance, 0) <= most_held
            and len(requests.get(engine.instance, ())) < slots
            and engine.instance not in query.avoid
        ]
        return with_room or engines

    def _waits(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
        service: BackendService,
        now: float,
        peers: Collection[str],
    ) -> dict[BackendId, float]:
        """Return how long a request must wait for each engine; empty: for none."""
        if service.cold is None and not self.pacer.limits.count:
            return {}
        return {
            engine.instance: self._wait_s(query, engine, service, now, peers) for engine in engines
        }

    def _wait_s(
        self,
        query: PlaceRequest,
        engine: BackendReport,
        service: BackendService,
        now: float,
        peers: Collection[str],
    ) -> float:
        """Return how long a request must wait for an engine; infinite: it may not use it."""
        limit_wait_s = self.pacer.limit_wait_s(engine.instance, now, peers=peers)
        if limit_wait_s > max_wait_s(query.priority):
            return float('inf')
        return max(
            limit_wait_s, self.pacer.cold_wait_s(engine.instance, service.cold, now, peers=peers)
        )

    def _select_engines(
        self,
        query: PlaceRequest,
        engines: Collection[BackendReport],
    ) -> Collection[BackendReport]:
        """Return the engines to compare: all of a small fleet, a sample of a large one.

        Requests with the same shared prompt parts get the same random sample, so that
        they can use each other's cached prompts.
        """
        if len(engines) <= _MAX_COMPARED:
            return engines
        caching = self._caching_engines(query)
        sampler = random.Random(_shared_key(query))  # noqa: S311 - spreads load only
        others = sampler.sample(list(engines), _RANDOM_SAMPLE)
        found = {engine.instance: engine for engine in engines if engine.instance in caching}
        allowed = {engine.instance: engine for engine in others} | found
        remaining = [engine for name, engine in allowed.items() if name not in query.avoid]
        return remaining or engines

    def _caching_engines(self, query: PlaceRequest) -> set[BackendId]:
        """Return some engines that cache the longest known prefix of a prompt."""
        for part in reversed(query.prefix):
            engines = self.engines_by_part.get(part.name)
            if engines:
                return set(itertools.islice(reversed(engines), _CACHING_SAMPLE))
        return set()

    def _record_part(self, instance: BackendId, part: PromptPart, capacity: float) -> None:
        engines = self.engines_by_part.setdefault(part.name, {})
        engines.pop(instance, None)
        engines[instance] = None
        for name in self._cache(instance).touch(part, capacity):
            self._evict_part(name, instance)

    def _evict_part(self, name: str, instance: BackendId) -> None:
        engines = self.engines_by_part.get(name, {})
        engines.pop(instance, None)
        if not engines:
            self.engines_by_part.pop(name, None)

    def _cache(self, instance: BackendId) -> PrefixCache:
        return self.caches.setdefault(instance, PrefixCache())

    def _cached_tokens(self, query: PlaceRequest, instance: BackendId) -> int:
        cache = self.caches.get(instance)
        cached_tokens = 0
        for part in query.prefix:
            if cache is None or part.name not in cache.token_counts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def _cached_by_engine(self, query: PlaceRequest) -> dict[BackendId, int]:
        """Return the tokens of a prompt that engines have cached, of those that have some."""
        cached: dict[BackendId, int] = {}
        holders: Collection[BackendId] | None = None
        for part in query.prefix:
            caching = self.engines_by_part.get(part.name, {})
            if holders is None:
                holders = caching
            else:
                holders = [instance for instance in holders if instance in caching]
            for instance in holders:
                cached[instance] = cached.get(instance, 0) + part.tokens
        return cached

    def _sums(self, instance: BackendId) -> EngineSums:
        return self.sums.get(instance, NO_REQUESTS)

    def _update_sums(self, instance: BackendId) -> None:
        """Update the sums after a change of the requests on an engine."""
        requests = self.requests_by_engine[instance]
        if requests:
            self.sums[instance] = EngineSums.of(requests.values())
        else:
            self.sums.pop(instance, None)

    def _drop_expired(self, now: float) -> None:
        if now <= self.next_expiry:
            return
        expired = [request for request, placed in self.requests.items() if placed.expires_at < now]
        for request in expired:
            self.ended(request)
        self.next_expiry = min(
            (placed.expires_at for placed in self.requests.values()), default=math.inf
        )


class PlacementCosts:
    """The costs of one request on each engine."""

    def __init__(
        self,
        *,
        placer: Placer,
        query: PlaceRequest,
        now: float,
        cached_tokens: Mapping[BackendId, int],
        max_cached_tokens: int,
        time_factors: Mapping[BackendId, float],
    ) -> None:
        """Compute what doesn't depend on the engine.

        :param cached_tokens: tokens of the prompt that engines have cached; others have none.
        :param max_cached_tokens: the largest such number among the compared engines.
        :param time_factors: durations at engines relative to the assumed ones; others have 1.
        """
        self.time_factors = time_factors
        self.placer = placer
        self.query = query
        self.now = now
        self.cached_tokens = cached_tokens
        self.max_cached_tokens = max_cached_tokens
        self.objective_s = query.objective_ms / MS_PER_S
        self.late_cost = response_value(query.priority)
        self.result_bytes = sum(query.result_bytes.values())
        self.health = placer.health.by_server
        self.sums = placer.sums

    def cost(self, engine: BackendReport, wait_s: float) -> float:
        """Return the cost of the request on an engine.

        :param wait_s: how long the request must wait before it may be sent.
        """
        instance = engine.instance
        time_factor = self.time_factors.get(instance, 1)
        cached_tokens = self.cached_tokens.get(instance, 0)
        tokens = max(0, self.query.prompt_tokens - cached_tokens)
        sums = self.sums.get(instance, NO_REQUESTS)
        if sums.queued_tokens:
            tokens += self.placer.backlog_tokens(instance, self.now, time_factor)
        first_event_s = _first_event_s(tokens, wait_s=wait_s, time_factor=time_factor)
        cost = self._lateness_cost(first_event_s)
        stalling_tokens = _STALLING_TOKENS / time_factor
        if tokens > stalling_tokens:
            cost += LATE_VALUE_LOSS * sums.stalled_value(tokens, stalling_tokens)
        cost += (self.max_cached_tokens - cached_tokens) * _RECOMPUTE_COST_PER_TOKEN
        if self.result_bytes:
            local_bytes = self.query.result_bytes.get(engine.zone, 0)
            cost += (self.result_bytes - local_bytes) * _CROSS_ZONE_COST_PER_BYTE
        health = self.health.get(instance)
        if health is not None and self.now < health.ejected_until:
            cost += _EJECTED_COST
        return cost

    def placement(self, cost: float, wait_s: float, engine: BackendReport) -> Placement:
        """Return the placement on an engine and the quantities that decided it."""
        instance = engine.instance
        time_factor = self.time_factors.get(instance, 1)
        prefill_tokens = max(0, self.query.prompt_tokens - self.cached_tokens.get(instance, 0))
        backlog_tokens = self.placer.backlog_tokens(instance, self.now, time_factor)
        return Placement(
            engine=engine,
            cost=cost,
            prefill_tokens=prefill_tokens,
            backlog_tokens=backlog_tokens,
            stalled_value=self.sums.get(instance, NO_REQUESTS).stalled_value(
                backlog_tokens + prefill_tokens, _STALLING_TOKENS / time_factor
            ),
            wait_s=wait_s,
        )

    def _lateness_cost(self, first_event_s: float) -> float:
        """Return the expected cost of a first event in ``first_event_s`` seconds."""
        late = 1 - (self.objective_s - first_event_s) / _PREDICTION_SPREAD_S
        wait_cost = first_event_s * _WAIT_COST_PER_S
        if late <= 0:
            return wait_cost
        return min(1, late) * LATE_VALUE_LOSS * self.late_cost + wait_cost


def _first_event_s(tokens: int, *, wait_s: float = 0, time_factor: float = 1) -> float:
    """Return the expected time until a first event after the prefill of ``tokens``."""
    tokens_per_s = PREFILL_TOKENS_PER_S / time_factor
    return wait_s + time_factor * _FIRST_EVENT_S + _LONG_PREFILL_FACTOR * tokens / tokens_per_s


def _cheapest(
    query: PlaceRequest, candidates: list[tuple[float, float, BackendReport]]
) -> tuple[float, float, BackendReport]:
    """Return the candidate of least cost: its cost, wait and engine."""
    least = min(cost for cost, _, _ in candidates)
    equal = [candidate for candidate in candidates if candidate[0] == least]
    return min(equal, key=lambda found: _tie_break_key(query, found[2]))


def _tie_break_key(query: PlaceRequest, engine: BackendReport) -> bytes:
    """Return a sort key that orders engines of equal cost alike at all gateways."""
    key = f'{_shared_key(query)}/{engine.instance}'
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


def _shared_key(query: PlaceRequest) -> str:
    """Return the name of the last prompt part that other requests may share."""
    return query.prefix[-2].name if len(query.prefix) > 1 else query.request
