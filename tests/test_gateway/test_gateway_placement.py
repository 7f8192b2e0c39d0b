"""Placement of requests on engines by cost."""

from __future__ import annotations

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.health import HealthBook
from ringseam.gateway.placement import PlacedPart, Placer, PlaceRequest
from ringseam.routes import ServiceName

CACHE = 100_000


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


def ask(request='r', tokens=9000, session='s', **fields):
    prefix = (
        PlacedPart(name='common', tokens=2500),
        PlacedPart(name=session, tokens=3500),
        PlacedPart(name=request, tokens=tokens - 6000),
    )
    known = {'objective_ms': 1600, 'left_ms': 8000, 'prefix': prefix, **fields}
    return PlaceRequest(request=request, service='llm', prompt_tokens=tokens, **known)


def placer():
    return Placer(health=HealthBook())


def test_prompt_goes_where_its_shared_parts_are_kept():
    works = placer()
    first = works.place(ask('r1'), ENGINES, CACHE, 0)
    works.ended('r1')
    assert works.place(ask('r2'), ENGINES, CACHE, 0) is first
    assert works.unread(ask('r3'), first.instance) == 3000


def test_all_gateways_begin_a_session_at_the_same_engine():
    assert placer().place(ask('r1'), ENGINES, CACHE, 0) is placer().place(
        ask('r2'), ENGINES, CACHE, 0
    )


def test_backlog_turns_requests_away_from_a_kept_prompt():
    works = placer()
    first = works.place(ask('r0'), ENGINES, CACHE, 0)
    for number in range(1, 12):
        works.note(ask(f'r{number}', 30_000), first.instance, CACHE, 0)
    assert works.place(ask('r99'), ENGINES, CACHE, 0) is not first


def test_long_prompt_is_kept_from_an_engine_with_a_dear_stream():
    works = placer()
    first = works.place(ask('r0', session='t'), ENGINES, CACHE, 0)
    works.began('r0')
    long = ask('r1', 14_000, session='t', objective_ms=8000)
    works.note(ask('r2', 9000, session='u'), first.instance, CACHE, 0)
    assert works.place(long, ENGINES, CACHE, 0) is not first


def test_bytes_of_stage_results_draw_a_request_to_their_zone():
    works = placer()
    chosen = works.place(ask('r', result_bytes={'b': 5_000_000}), ENGINES, CACHE, 0)
    assert chosen.zone == 'b'


def test_tried_and_ejected_engines_are_avoided():
    works = placer()
    chosen = works.place(ask('r', avoid=('e1', 'e2')), ENGINES, CACHE, 0)
    assert chosen.instance == 'e3'
    assert works.place(ask('r', avoid=('e1', 'e2', 'e3')), ENGINES, CACHE, 0) is None
    works.health.failed(BackendId('e3'), 0, hard=True)
    assert works.place(ask('q', avoid=('e2',)), ENGINES, CACHE, 0).instance == 'e1'


def test_dry_question_leaves_no_trace():
    works = placer()
    works.place(ask('r', dry=True), ENGINES, CACHE, 0)
    assert not works.placed
    assert not works.books


def test_memory_drops_the_least_recently_used_parts():
    works = placer()
    engine_id = BackendId('e1')
    works.note(ask('r1', session='old'), engine_id, 12_000, 0)
    works.note(ask('r2', session='new'), engine_id, 12_000, 0)
    assert works.unread(ask('r3', session='new'), engine_id) < 9000
    assert 'old' not in works.books[engine_id].parts


def test_request_whose_end_was_never_heard_of_is_forgotten():
    works = placer()
    works.place(ask('r1'), ENGINES, CACHE, 0)
    works.place(ask('r2'), ENGINES, CACHE, 100)
    assert set(works.placed) == {'r2'}
