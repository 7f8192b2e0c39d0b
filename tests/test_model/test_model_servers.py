"""Stage servers and engines of the model behave as real ones are described."""

from __future__ import annotations

import asyncio

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.stages.calls import FullError
from ringseam.gateway.stages.jobs import Piece, PieceJob, StageCall
from ringseam.model.pattern import ServiceLoad
from ringseam.model.stageservers import Results, StageServer
from ringseam.model.virtualtime import run_virtual
from ringseam.platform.stages import PieceFault
from ringseam.routes import ServiceName

LOAD = ServiceLoad(servers=1, batch=4, call_s=0.2, piece_s=0.05, room_mb=1, keep_s=4, queue=1)
REPORT = BackendReport(
    instance=BackendId('s'), service=ServiceName('s'), address='s:1', zone='a', sequence=1
)


def server(clock):
    return StageServer(
        report=REPORT,
        load=LOAD,
        clock=clock,
        others=Results(clock=clock, zone_s=0.001),
        work_of=lambda piece: 1,
    )


def call(pieces=2, *, size=1000, inputs=(), deadline=100.0):
    job = PieceJob(
        attempt_id='r',
        service=ServiceName('s'),
        stage=0,
        pieces=tuple(range(pieces)),
        key='k',
        inputs=inputs,
        due=deadline,
        deadline=deadline,
        rank=0,
        result_bytes=size,
    )
    made = [Piece(job=job, number=number, arrival=number) for number in job.pieces]
    return StageCall(server=REPORT, pieces=made, expected_s=0.3)


def faults(made):
    return [result.fault for result in made]


def test_call_takes_its_time_and_that_of_its_pieces():
    async def main(clock):
        made = await server(clock).run(call(pieces=3))
        return faults(made), clock.now()

    found, took_s = run_virtual(main)
    assert found == [None] * 3
    assert took_s == pytest.approx(0.35)


def test_calls_take_turns_and_a_long_queue_is_refused():
    async def main(clock):
        busy = server(clock)
        calls = [asyncio.ensure_future(busy.run(call())) for _ in range(3)]
        done = await asyncio.gather(*calls, return_exceptions=True)
        return [isinstance(end, FullError) for end in done], clock.now()

    refused, took_s = run_virtual(main)
    assert refused == [False, False, True]
    assert took_s == pytest.approx(0.6)


def test_room_is_taken_until_results_are_given_up():
    async def main(clock):
        only = server(clock)
        first = await only.run(call(pieces=3, size=400_000))
        only.free(first[0].handle)
        second = await only.run(call(pieces=1, size=400_000))
        return faults(first), faults(second)

    first, second = run_virtual(main)
    assert first == [None, None, PieceFault.no_capacity]
    assert second == [None]


def test_results_expire_and_later_calls_miss_them():
    async def main(clock):
        only = server(clock)
        first = await only.run(call(pieces=1))
        await asyncio.sleep(LOAD.keep_s + 0.1)
        return faults(await only.run(call(pieces=1, inputs=(first[0].handle,))))

    assert run_virtual(main) == [PieceFault.input_lost]


def test_piece_whose_time_is_over_at_its_turn_is_not_made():
    async def main(clock):
        only = server(clock)
        return faults(await only.run(call(pieces=1, deadline=-1)))

    assert run_virtual(main) == [PieceFault.late]
