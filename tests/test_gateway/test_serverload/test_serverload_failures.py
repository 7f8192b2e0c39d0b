"""Load, speeds and connections when the owner of a service changes or a gateway is cut.

Guards against a new owner that knows nothing for long, against reports of requests that it doesn't
know, and against connections beyond what servers accept while a gateway knows an old list.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.engines.messages import PlaceRequest
from ringseam.gateway.engines.placement import Placer
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.serverload.connections import ConnectionShares
from ringseam.gateway.stages.batching import Batcher
from ringseam.routes import BackendService, BatchSpec, EngineSpec, ServiceName

LLM = BackendService(
    name=ServiceName('llm'),
    health_path='/health',
    max_connections=68,
    engine=EngineSpec(slots=64, cache_tokens=500_000),
)
ENGINES = [
    BackendReport(
        instance=BackendId(name), service=LLM.name, address=f'{name}:1', zone='a', sequence=1
    )
    for name in ('slow', 'usual', 'fast')
]
SPEEDS = {'slow': 2.0, 'usual': 1.0, 'fast': 0.8}
SERVER = BackendId('s1')


def new_owner():
    health = HealthTracker()
    return Placer(health=health, pacer=Pacer(health=health), service=LLM.name)


def serve(owner, first, count, *, now):
    """Place requests, report each one's load and first event, and end it; return the time."""
    for number in range(first, first + count):
        request = f'r{number}'
        # Each engine in turn, so that all are measured.
        others = (one.instance for at, one in enumerate(ENGINES) if at != number % 3)
        query = PlaceRequest(
            request=request,
            service='llm',
            prompt_tokens=2000,
            objective_ms=1000,
            left_ms=9000,
            avoid=tuple(others),
        )
        placed = owner.place(query, ENGINES, LLM, now)
        duration_s = owner.requests[request].expected_s * SPEEDS[placed.engine.instance]
        owner.record_load(request, (1, 0, 64, 100), now + duration_s)
        owner.started(request, now + duration_s)
        owner.ended(request)
        now += 0.2
    return now


def test_new_owner_starts_from_the_next_messages_of_gateways():
    former = new_owner()
    now = serve(former, 0, 30, now=0)
    owner = new_owner()
    # It knows nothing, and decides as for equal engines.
    assert owner._time_factors(ENGINES, now) == {}
    # A gateway reports on a request that the former owner has placed.
    owner.record_load('r29', (5, 0, 64, 250), now)
    owner.started('r29', now)
    owner.ended('r29')
    assert not owner.health.speeds.reports.by_server
    now = serve(owner, 30, 3, now=now)
    assert set(owner._time_factors(ENGINES, now)) == {one.instance for one in ENGINES}
    now = serve(owner, 33, 27, now=now)
    factors = owner._time_factors(ENGINES, now)
    assert factors['slow'] / factors['fast'] == pytest.approx(2.5, rel=0.25)


def test_new_owner_of_stage_servers_starts_from_the_mean_of_the_service():
    """Its calls are full ones everywhere until responses tell of the servers."""
    spec = BatchSpec(
        slots=1,
        queue=2,
        batch=4,
        call_s=0.2,
        piece_s=0.05,
        result_capacity_bytes=1_000_000,
        result_retention_s=4,
    )
    batcher = Batcher(service=LLM.name, health=HealthTracker())
    policy = batcher._server_policy(ENGINES, spec, 0)
    assert {policy.expected_factor(one) for one in ENGINES} == {1}


@given(st.integers(2, 60), st.integers(10, 400))
def test_gateway_that_is_cut_keeps_to_its_part(count, max_connections):
    """It knows the gateways of before, the others don't count it any more.

    The room of a gateway that starts holds its part, also when one has started in its place.
    """
    names = [f'g{number}' for number in range(count)]
    cut, others = names[0], names[1:]

    def limit(name, known):
        shares = ConnectionShares(name=name)
        return shares.limit(SERVER, max_connections, frozenset(known), 0)

    before = limit(cut, names)
    assert before + sum(limit(name, others) for name in others) <= max_connections
    present = [*others, 'started']
    assert before + sum(limit(name, present) for name in present) <= max_connections


def test_refusals_of_a_server_end_with_its_lifetime():
    shares = ConnectionShares(name='g0')
    known = frozenset(('g0', 'g1'))
    full = shares.limit(SERVER, 68, known, 0)
    shares.record_refusal(SERVER, 0)
    assert shares.limit(SERVER, 68, known, 0) < full
    # It has ended; the next lifetime has another instance.
    shares.keep_only({BackendId('s2')})
    assert not shares.refusals
    assert shares.limit(BackendId('s2'), 68, known, 0) >= full - 1
