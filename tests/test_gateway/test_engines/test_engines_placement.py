"""Placement of requests on engines by cost.

Guards against engines that are chosen without regard to their load: engines of different speed,
on hosts that are slow for some tenths of a second, and engines without a slot or memory left.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.calls import ServerLoad
from ringseam.gateway.engines.messages import PlaceRequest, ProgressReport, PromptPart
from ringseam.gateway.engines.placement import (
    PlacedRequest,
    Placement,
    PlacementCosts,
    Placer,
    _tie_break_key,
)
from ringseam.gateway.following.coldservers import ColdServers
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.priorities import LATE_VALUE_LOSS, response_value
from ringseam.routes import BackendService, EngineSpec, ServiceName
from tests.test_gateway.test_engines.scanningplacer import ScanningPlacer

#: The service that requests are placed for.
LLM = BackendService(
    name=ServiceName('llm'),
    health_path='/health',
    max_connections=100,
    engine=EngineSpec(slots=128, cache_tokens=100_000),
)


def engine(name, zone='a'):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('llm'),
        address=f'{name}:1',
        zone=zone,
        sequence=1,
        slots=128,
    )


ENGINES = [engine('e1'), engine('e2', 'b'), engine('e3', 'c')]


def place_request(request='r', tokens=9000, session='s', **fields):
    prefix = (
        PromptPart(name='common', tokens=2500),
        PromptPart(name=session, tokens=3500),
        PromptPart(name=request, tokens=tokens - 6000),
    )
    known = {'objective_ms': 1600, 'left_ms': 8000, 'prefix': prefix, **fields}
    return PlaceRequest(request=request, service='llm', prompt_tokens=tokens, **known)


def new_placer(kind=Placer):
    health = HealthTracker()
    pacer = Pacer(cold_servers=ColdServers(), health=health)
    return kind(health=health, pacer=pacer, service=LLM.name)


def chosen_engine(placer, request, service=LLM, now=0):
    """Place a request and return its engine."""
    placement = placer.place(request, ENGINES, service, now)
    return placement and placement.engine


def test_prompt_goes_where_its_shared_parts_are_cached():
    placer = new_placer()
    first = chosen_engine(placer, place_request('r1'))
    placer.ended('r1')
    assert chosen_engine(placer, place_request('r2')) is first
    assert placer.prefill_tokens(place_request('r3'), first.instance) == 3000


def test_all_gateways_begin_a_session_at_the_same_engine():
    assert chosen_engine(new_placer(), place_request('r1')) is chosen_engine(
        new_placer(), place_request('r2')
    )


def test_backlog_outweighs_a_cached_prompt():
    placer = new_placer()
    first = chosen_engine(placer, place_request('r0'))
    for number in range(1, 12):
        placer.record(place_request(f'r{number}', 30_000), first.instance, LLM, 0)
    assert chosen_engine(placer, place_request('r99')) is not first


def test_long_prompt_avoids_an_engine_with_a_valuable_stream():
    placer = new_placer()
    first = chosen_engine(placer, place_request('r0', session='t'))
    placer.started('r0', 0)
    long = place_request('r1', 14_000, session='t', objective_ms=8000)
    placer.record(place_request('r2', 9000, session='u'), first.instance, LLM, 0)
    assert chosen_engine(placer, long) is not first


def test_stream_that_has_yet_to_start_is_stalled_by_later_prompts():
    placer = new_placer()
    engine_id = ENGINES[0].instance
    placer.record(place_request('r0', 9000, session='t'), engine_id, LLM, 0)
    placer.record(place_request('r1', 9000, session='u'), engine_id, LLM, 0)
    found = placer.place(
        place_request('r2', 9000, session='v', avoid=('e2', 'e3')), ENGINES, LLM, 0
    )
    # r1 prefills 6,500 tokens after r0, r2 as many after r1.
    assert found.backlog_tokens == 9000 + 6500
    assert found.stalled_value == 1


@pytest.mark.parametrize(
    ('now', 'began', 'backlog'),
    [
        (0, False, 18_000),
        # A tenth of a second of prefill, slowed down by attention.
        (0.1, False, 18_000 - 2492),
        # An engine that has sent nothing is assumed to have prefilled at most one prompt.
        (9, False, 9000),
        (9, True, 9000),
    ],
)
def test_backlog_counts_tokens_not_processed_since_the_last_prefill(now, began, backlog):
    placer = new_placer()
    engine_id = ENGINES[0].instance
    placer.record(place_request('r0', 9000, session='t', left_ms=60_000), engine_id, LLM, 0)
    placer.track(
        'r1', PlacedRequest(instance=engine_id, prefill_tokens=9000, value=1, expires_at=99)
    )
    if began:
        placer.started('r0', now)
    found = placer.place(place_request('r2', avoid=('e2', 'e3'), dry=True), ENGINES, LLM, now)
    assert found.backlog_tokens == backlog


def test_stage_results_attract_a_request_to_their_zone():
    placer = new_placer()
    chosen = chosen_engine(placer, place_request('r', result_bytes={'b': 5_000_000}))
    assert chosen.zone == 'b'


def test_tried_and_ejected_engines_are_avoided():
    placer = new_placer()
    chosen = chosen_engine(placer, place_request('r', avoid=('e1', 'e2')))
    assert chosen.instance == 'e3'
    assert chosen_engine(placer, place_request('r', avoid=('e1', 'e2', 'e3'))) is None
    placer.health.record_failure(BackendId('e3'), 0, hard=True)
    assert chosen_engine(placer, place_request('q', avoid=('e2',))).instance == 'e1'


def test_dry_request_is_not_recorded():
    placer = new_placer()
    chosen_engine(placer, place_request('r', dry=True))
    assert not placer.requests
    assert not placer.caches


def test_cache_evicts_the_least_recently_used_parts():
    placer = new_placer()
    engine_id = BackendId('e1')
    small = replace(LLM, engine=EngineSpec(slots=128, cache_tokens=12_000))
    placer.record(place_request('r1', session='old'), engine_id, small, 0)
    placer.record(place_request('r2', session='new'), engine_id, small, 0)
    assert placer.prefill_tokens(place_request('r3', session='new'), engine_id) < 9000
    assert 'old' not in placer.caches[engine_id].token_counts


def test_request_without_a_reported_end_expires():
    placer = new_placer()
    chosen_engine(placer, place_request('r1'))
    chosen_engine(placer, place_request('r2'), now=100)
    assert set(placer.requests) == {'r2'}


class ReferencePlacer(ScanningPlacer):
    """Reference implementation that scans all requests and all caches."""

    def _requests_on(self, instance):
        return [placed for placed in self.requests.values() if placed.instance == instance]

    def place(self, ask, engines, service, now):
        self._drop_expired(now)
        costs = {}
        for engine in engines:
            if engine.instance in ask.avoid:
                continue
            max_cached_tokens = max(
                (self._cached_tokens(ask, other) for other in self.caches), default=0
            )
            own = self._cached_tokens(ask, engine.instance)
            costs[engine.instance] = self._evaluate(
                ask, engine, now, cached_tokens=own, max_cached_tokens=max_cached_tokens, wait_s=0
            )
        if not costs:
            return None
        best = min(
            costs.values(), key=lambda known: (known.cost, _tie_break_key(ask, known.engine))
        )
        if not ask.dry:
            self.record(ask, best.engine.instance, service, now)
        return best


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.integers(7000, 30_000),
            st.sampled_from('stu'),
            st.sampled_from(['place', 'dry', 'began', 'ended', 'avoid']),
            st.floats(0, 2),
        ),
        max_size=30,
    ),
)
def test_choice_is_that_of_the_reference_implementation(steps):
    placer, reference = new_placer(), new_placer(ReferencePlacer)
    now = 0.0
    for number, tokens, session, step, passed in steps:
        now += passed
        known = place_request(
            f'r{number}',
            tokens,
            session=session,
            dry=step == 'dry',
            avoid=('e1',) if step == 'avoid' else (),
        )
        if step == 'began':
            placer.started(known.request, now)
            reference.started(known.request, now)
        elif step == 'ended':
            placer.ended(known.request)
            reference.ended(known.request)
        else:
            assert placer.place(known, ENGINES, LLM, now) == reference.place(
                known, ENGINES, LLM, now
            )
        assert placer.requests == reference.requests


MANY = [engine(f'e{number}', 'abc'[number % 3]) for number in range(300)]


def test_only_a_sample_of_many_engines_is_compared(monkeypatch):
    """Comparing all of 390 engines takes 4.5 ms per placement on a third of a core, and
    finds no engine of a lower cost than a sample does."""
    placer = new_placer()
    compared = []
    whole = PlacementCosts.cost
    monkeypatch.setattr(
        PlacementCosts,
        'cost',
        lambda self, *args, **fields: compared.append(1) or whole(self, *args, **fields),
    )
    for number in range(200):
        placer.place(place_request(f'r{number}', session=f's{number % 40}'), MANY, LLM, number / 10)
    assert len(compared) <= 200 * 32


def test_cached_prompt_is_found_among_many_engines():
    placer = new_placer()
    first = placer.place(place_request('r1', session='t'), MANY, LLM, 0).engine
    placer.ended('r1')
    for number in range(50):
        placer.place(place_request(f'q{number}', session=f's{number}'), MANY, LLM, 0)
        placer.ended(f'q{number}')
    assert placer.place(place_request('r2', session='t'), MANY, LLM, 0).engine is first


def test_all_engines_are_considered_when_the_sample_was_tried():
    placer = new_placer()
    tried = tuple(one.instance for one in MANY[:-1])
    assert placer.place(place_request('r', avoid=tried), MANY, LLM, 0).engine is MANY[-1]


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from('stuvw'), st.booleans())))
def test_engines_by_part_matches_the_caches(steps):
    placer = new_placer()
    small = replace(LLM, engine=EngineSpec(slots=128, cache_tokens=14_000))
    for number, (which, session, forgets) in enumerate(steps):
        placer.record(place_request(f'r{number}', session=session), MANY[which].instance, small, 0)
        if forgets:
            placer.keep_only({MANY[0].instance, MANY[which].instance})
    kept = {}
    for instance, cache in placer.caches.items():
        for name in cache.token_counts:
            kept.setdefault(name, set()).add(instance)
    assert {name: set(known) for name, known in placer.engines_by_part.items()} == kept


class FormerPlacer(ScanningPlacer):
    """Placement without load, speed, slots and memory of engines."""

    def _evaluate(self, query, engine, now, *, cached_tokens, max_cached_tokens, wait_s, **other):
        requests = self._requests_on(engine.instance)
        prefill = max(0, query.prompt_tokens - cached_tokens)
        waiting = [placed.prefill_tokens for placed in requests if placed.prefill_tokens]
        backlog = sum(waiting)
        if waiting:
            elapsed_s = now - self._cache(engine.instance).last_prefill_at
            backlog -= min(max(waiting), int(elapsed_s * 32_400.0 / 1.3))
        ahead, stalled = backlog + prefill, 0
        for placed in requests:
            ahead -= placed.prefill_tokens
            if ahead > 8192:
                stalled += placed.value
        first_event_s = wait_s + 0.08 + 1.3 * (backlog + prefill) / 32_400.0
        late = min(1, max(0, 1 - (query.objective_ms / 1000 - first_event_s) / 0.6))
        cost = late * LATE_VALUE_LOSS * response_value(query.priority) + first_event_s * 0.05
        cost += LATE_VALUE_LOSS * stalled + (max_cached_tokens - cached_tokens) * 0.055e-3
        return Placement(
            engine=engine,
            cost=cost,
            prefill_tokens=prefill,
            backlog_tokens=backlog,
            stalled_value=stalled,
            wait_s=wait_s,
        )

    def _with_room(self, query, engines, service, factors):
        return engines


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.integers(7000, 60_000),
            st.sampled_from('stu'),
            st.sampled_from(['place', 'began', 'ended', 'load']),
            st.floats(0, 1),
        ),
        max_size=40,
    ),
)
def test_engines_that_report_three_figures_are_chosen_as_before(steps):
    placer, former = new_placer(), new_placer(FormerPlacer)
    now = 0.0
    for number, tokens, session, step, passed in steps:
        now += passed
        request = f'r{number}'
        for either in (placer, former):
            if step == 'began':
                either.started(request, now)
            elif step == 'ended':
                either.ended(request)
            elif step == 'load':
                either.record_load(request, (tokens, 3, 1), now)
        if step == 'place':
            query = place_request(request, tokens, session=session, output=tokens)
            found, wanted = (
                placer.place(query, ENGINES, LLM, now),
                former.place(query, ENGINES, LLM, now),
            )
            assert found.engine is wanted.engine
            assert found.cost == pytest.approx(wanted.cost, rel=1e-12)


def report_loads(placer, now=0.0, **slowdowns):
    for engine_id in ('e1', 'e2', 'e3'):
        load = ServerLoad(running=0, waiting=0, slots=128, slowdown=slowdowns.get(engine_id, 1.0))
        placer.health.speeds.reports.record(BackendId(engine_id), load, now)


def test_prompt_avoids_an_engine_whose_host_is_slow_now():
    placer = new_placer()
    first = chosen_engine(placer, place_request('r1', 30_000, dry=True))
    report_loads(placer, **{first.instance: 2.5})
    assert chosen_engine(placer, place_request('r1', 30_000, dry=True)) is not first


def serve_prompts(placer, factors, *, per_s, seconds):
    """Place prompts; each engine reads one after the other. Return the chosen engines."""
    free_at, first_events, chosen = dict.fromkeys(factors, 0.0), [], []
    for number in range(int(per_s * seconds)):
        now = number / per_s
        for due, request in sorted(first_events):
            if due <= now:
                first_events.remove((due, request))
                placer.started(request, due)
                placer.ended(request)
        request = f'r{number}'
        # Work that takes as long as assumed for prompts of 9,000 tokens, times the factor.
        engine_id = chosen_engine(
            placer, place_request(request, 9000, session=request, objective_ms=9000), now=now
        ).instance
        chosen.append(engine_id)
        prefill_s = 1.3 * placer.requests[request].prefill_tokens / 32_400
        free_at[engine_id] = max(now, free_at[engine_id]) + factors[engine_id] * prefill_s
        first_events.append((free_at[engine_id] + 0.08 * factors[engine_id], request))
    return chosen


def test_speeds_and_prefill_rate_are_learned_and_a_slow_engine_gets_its_share():
    placer = new_placer()
    report_loads(placer)
    actual = {'e1': 1, 'e2': 0.5, 'e3': 0.5}
    chosen = serve_prompts(placer, actual, per_s=9, seconds=30)
    learned = placer._time_factors(ENGINES, 30)
    for engine_id, factor in actual.items():
        assert learned[engine_id] == pytest.approx(factor, rel=0.3)
    # By speed, its share of the work is a fifth; without knowledge it is a third.
    assert chosen[90:].count('e1') / len(chosen[90:]) < 0.25


def test_owner_alone_learns_from_first_events():
    placer = new_placer()
    chosen_engine(placer, place_request('r1'))
    placer.started('r1', 5, learn=False)
    assert not placer.health.speeds.services


@pytest.mark.parametrize(
    'spec',
    [EngineSpec(slots=1, cache_tokens=100_000), EngineSpec(slots=128, cache_tokens=20_000)],
    ids=['slots', 'memory'],
)
def test_engine_without_room_is_passed_over_while_another_has_room(spec):
    small = replace(LLM, engine=spec)
    placer = new_placer()
    report_loads(placer)
    chosen = [
        chosen_engine(placer, place_request(f'r{number}', 9000, output=5000), small)
        for number in range(3)
    ]
    assert len({one.instance for one in chosen}) == 3
    # No engine has room: the request is placed nevertheless.
    assert chosen_engine(placer, place_request('r4', 9000, output=5000), small)
    for number in range(3):
        placer.ended(f'r{number}')
    placer.ended('r4')
    assert not any(placer.held_tokens.values())


def test_cached_prompt_is_not_left_for_a_slight_slowdown():
    """Shared parts of prompts must not be read again because hosts are noisy."""
    placer = new_placer()
    first = chosen_engine(placer, place_request('r1'))
    placer.ended('r1')
    report_loads(placer, now=1, **{first.instance: 1.5})
    assert chosen_engine(placer, place_request('r2', dry=True), now=1) is first
    # By then a large figure is too old to count.
    report_loads(placer, now=2, **{first.instance: 2.5})
    assert chosen_engine(placer, place_request('r2', 30_000, dry=True), now=2) is not first
    assert chosen_engine(placer, place_request('r2', 30_000, dry=True), now=4) is first


@pytest.mark.parametrize('figures', [(), (1, 2), (1, 2, 3, 4, 5), (-1, 0, 1, 100), (1, 2, 3, 0)])
def test_invalid_load_from_another_gateway_is_ignored(figures):
    placer = new_placer()
    chosen = chosen_engine(placer, place_request('r1'))
    placer.record_load('r1', figures, 0)
    placer.record_load('unknown', (1, 2, 3, 100), 0)
    assert placer.health.speeds.reports.newest(chosen.instance) is None


def test_messages_are_readable_by_the_former_version_and_loads_are_short():
    bare = ProgressReport(service='llm', request='r1')
    loaded = ProgressReport(service='llm', request='r1', load=(64, 12, 64, 9999))
    assert len(msgspec.msgpack.encode(loaded)) - len(msgspec.msgpack.encode(bare)) < 20
    unknown = place_request('r1')
    known = place_request('r1', output=3000)
    assert len(msgspec.msgpack.encode(known)) - len(msgspec.msgpack.encode(unknown)) < 20
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(bare)).keys() == {'service', 'request'}


EIGHT = [engine(f'e{number}', 'abc'[number % 3]) for number in range(8)]


@given(
    st.lists(
        st.tuples(
            st.integers(0, 20),
            st.integers(6500, 60_000),
            st.sampled_from('stu'),
            st.sampled_from(['place', 'place', 'dry', 'began', 'ended', 'load', 'eject', 'forget']),
            st.floats(0, 3),
        ),
        max_size=40,
    ),
    st.booleans(),
    st.sampled_from([1, 3, 64]),
    st.sampled_from([40_000, 400_000]),
)
def test_sums_change_no_choice(steps, interfered, slots, memory):
    """Compares with an implementation that scans the requests and prompts of each engine."""
    spec = EngineSpec(slots=slots, cache_tokens=memory)
    service = replace(LLM, engine=spec)
    placers = [new_placer(), new_placer(ScanningPlacer)]
    now = 0.0
    for number, tokens, session, step, passed in steps:
        now += passed
        found = [
            apply_step(placer, service, (number, tokens, session, step), now, interfered)
            for placer in placers
        ]
        assert found[0] == found[1]
        assert placers[0].requests == placers[1].requests
        assert placers[0].caches == placers[1].caches
        assert placers[0].held_tokens == placers[1].held_tokens


def apply_step(placer, service, step, now, interfered):
    number, tokens, session, kind = step
    instance = EIGHT[number % 8].instance
    request = f'r{number}'
    if kind == 'began':
        placer.started(request, now)
    elif kind == 'ended':
        placer.ended(request)
    elif kind == 'eject':
        placer.health.record_failure(instance, now, hard=True)
    elif kind == 'forget':
        placer.keep_only({one.instance for one in EIGHT} - {instance})
    elif kind == 'load':
        slowdown = tokens / 10_000 if interfered else None
        load = ServerLoad(running=number, waiting=0, slots=4, slowdown=slowdown)
        placer.health.speeds.reports.record(instance, load, now)
    else:
        known = place_request(
            request,
            tokens,
            session=session,
            dry=kind == 'dry',
            output=number * 100,
            left_ms=3000,
            avoid=(instance,) if number % 5 == 0 else (),
            result_bytes={'a': 1_000_000, 'b': 2_000_000} if number % 3 else {},
        )
        return placer.place(known, EIGHT, service, now)
    return None
