"""A reference implementation of placement that scans all requests for each choice."""

from __future__ import annotations

from ringseam.clock import MS_PER_S
from ringseam.gateway.engines.placement import (
    _CACHE_SHARE,
    _CROSS_ZONE_COST_PER_BYTE,
    _EJECTED_COST,
    _EXPIRY_MARGIN_S,
    _LONG_PREFILL_FACTOR,
    _PREDICTION_SPREAD_S,
    _RECOMPUTE_COST_PER_TOKEN,
    _STALLING_TOKENS,
    _WAIT_COST_PER_S,
    PREFILL_TOKENS_PER_S,
    PlacedRequest,
    Placement,
    Placer,
    _first_event_s,
    _tie_break_key,
)
from ringseam.gateway.priorities import LATE_VALUE_LOSS, response_value


class ScanningPlacer(Placer):
    """Placement that keeps no sums."""

    def place(
        self,
        query,
        engines,
        service,
        now,
        *,
        peers=(),
    ):
        self._drop_expired(now)
        compared = self._select_engines(query, engines)
        cached_tokens = {
            engine.instance: self._cached_tokens(query, engine.instance) for engine in compared
        }
        max_cached_tokens = max(cached_tokens.values(), default=0)
        remaining_s = query.left_ms / MS_PER_S
        factors = self._time_factors(compared, now)
        candidates = [
            self._evaluate(
                query,
                engine,
                now,
                cached_tokens=cached_tokens[engine.instance],
                max_cached_tokens=max_cached_tokens,
                wait_s=wait_s,
                time_factor=factors.get(engine.instance, 1),
            )
            for engine in self._with_room(query, compared, service, factors)
            if engine.instance not in query.avoid
            and (wait_s := self._wait_s(query, engine, service, now, peers)) < remaining_s
        ]
        if not candidates:
            return None
        least = min(candidate.cost for candidate in candidates)
        equal = [candidate for candidate in candidates if candidate.cost == least]
        best = min(equal, key=lambda candidate: _tie_break_key(query, candidate.engine))
        if not query.dry:
            self.pacer.reserve(best.engine.instance, service.cold, now, peers=peers)
            self.record(query, best.engine.instance, service, now, wait_s=best.wait_s)
        return best

    def record(
        self,
        query,
        instance,
        service,
        now,
        *,
        wait_s=0,
    ):
        cache = self._cache(instance)
        # The request may have been placed on another engine before.
        self.ended(query.request)
        if not any(placed.prefill_tokens for placed in self._requests_on(instance)):
            cache.last_prefill_at = now
        prefill_tokens = self.prefill_tokens(query, instance)
        backlog_tokens = self._backlog_tokens(instance, self._requests_on(instance), now)
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

    def _with_room(
        self,
        query,
        engines,
        service,
        factors,
    ):
        if service.engine is None or not factors:
            return engines
        usable = [engine for engine in engines if engine.instance not in query.avoid]
        with_room = [
            engine for engine in usable if self._has_room(query, engine.instance, service.engine)
        ]
        return with_room or engines

    def _has_room(self, query, instance, spec):
        if len(self._requests_on(instance)) >= spec.slots:
            return False
        needed = query.prompt_tokens + query.output
        return self.held_tokens.get(instance, 0) + needed <= spec.cache_tokens

    def _cached_tokens(self, query, instance):
        cache = self.caches.get(instance)
        cached_tokens = 0
        for part in query.prefix:
            if cache is None or part.name not in cache.token_counts:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def _evaluate(
        self,
        query,
        engine,
        now,
        *,
        cached_tokens,
        max_cached_tokens,
        wait_s,
        time_factor=1,
    ):
        instance = engine.instance
        engine_requests = self._requests_on(instance)
        prefill_tokens = max(0, query.prompt_tokens - cached_tokens)
        backlog_tokens = self._backlog_tokens(instance, engine_requests, now, time_factor)
        stalled_value = _stalled_value(
            engine_requests, backlog_tokens + prefill_tokens, _STALLING_TOKENS / time_factor
        )
        first_event_s = _first_event_s(
            backlog_tokens + prefill_tokens, wait_s=wait_s, time_factor=time_factor
        )
        cost = self._lateness_cost(query, first_event_s) + LATE_VALUE_LOSS * stalled_value
        cost += (max_cached_tokens - cached_tokens) * _RECOMPUTE_COST_PER_TOKEN
        cross_zone_bytes = sum(
            amount for zone, amount in query.result_bytes.items() if zone != engine.zone
        )
        cost += cross_zone_bytes * _CROSS_ZONE_COST_PER_BYTE
        if now < self.health.of(instance).ejected_until:
            cost += _EJECTED_COST
        return Placement(
            engine=engine,
            cost=cost,
            prefill_tokens=prefill_tokens,
            backlog_tokens=backlog_tokens,
            stalled_value=stalled_value,
            wait_s=wait_s,
        )

    def _requests_on(self, instance):
        return self.requests_by_engine.get(instance, {}).values()

    def _backlog_tokens(
        self,
        instance,
        engine_requests,
        now,
        time_factor=1,
    ):
        waiting = [placed.prefill_tokens for placed in engine_requests if placed.prefill_tokens]
        if not waiting:
            return 0
        elapsed_s = now - self._cache(instance).last_prefill_at
        tokens_per_s = PREFILL_TOKENS_PER_S / time_factor
        # The time is infinite for an engine that was removed and has been added again.
        done = int(min(max(waiting), elapsed_s * tokens_per_s / _LONG_PREFILL_FACTOR))
        return sum(waiting) - done

    def _lateness_cost(self, query, first_event_s):
        spare_s = query.objective_ms / MS_PER_S - first_event_s
        late = min(1, max(0, 1 - spare_s / _PREDICTION_SPREAD_S))
        return (
            late * LATE_VALUE_LOSS * response_value(query.priority)
            + first_event_s * _WAIT_COST_PER_S
        )

    def _drop_expired(self, now):
        expired = [request for request, placed in self.requests.items() if placed.expires_at < now]
        for request in expired:
            self.ended(request)


def _stalled_value(engine_requests, tokens, stalling_tokens):
    stalled = 0
    for placed in engine_requests:
        tokens -= placed.prefill_tokens
        if tokens > stalling_tokens:
            stalled += placed.value
    return stalled
