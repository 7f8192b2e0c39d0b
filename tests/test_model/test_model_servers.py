"""Simulated stage servers: call duration, queue, result capacity and expiry."""

from __future__ import annotations

import asyncio

import pytest

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.stages.calls import FullError
from ringseam.gateway.stages.jobs import Piece, PieceJob, StageCall
from ringseam.model.pattern import ServiceLoad
from ringseam.model.stageservers import ResultStore, StageServer
from ringseam.model.virtualtime import run_virtual
from ringseam.platform.stages import PieceFault
from ringseam.routes import ServiceName

LOAD = ServiceLoad(servers=1, batch=4, call_s=0.2, piece_s=0.05, room_mb=1, keep_s=4, queue=1)
REPORT = BackendReport(
    instance=BackendId('s'), service=ServiceName('s'), address='s:1', zone='a', sequence=1
)


def create_server(clock):
    return StageServer(
        report=REPORT,
        load=LOAD,
        clock=clock,
        result_store=ResultStore(clock=clock, zone_s=0.001),
        relative_cost_of=lambda piece: 1,
    )


def create_call(pieces=2, *, size=1000, inputs=(), deadline=100.0):
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
    batch = [Piece(job=job, number=number, arrival=number) for number in job.pieces]
    return StageCall(server=REPORT, pieces=batch, expected_s=0.3)


def faults(results):
    return [result.fault for result in results]


def test_call_duration_has_a_fixed_part_and_one_per_piece():
    async def main(clock):
        results = await create_server(clock).run(create_call(pieces=3))
        return faults(results), clock.now()

    found, took_s = run_virtual(main)
    assert found == [None] * 3
    assert took_s == pytest.approx(0.35)


def test_calls_run_one_at_a_time_and_a_full_queue_refuses():
    async def main(clock):
        busy = create_server(clock)
        calls = [asyncio.ensure_future(busy.run(create_call())) for _ in range(3)]
        done = await asyncio.gather(*calls, return_exceptions=True)
        return [isinstance(end, FullError) for end in done], clock.now()

    refused, took_s = run_virtual(main)
    assert refused == [False, False, True]
    assert took_s == pytest.approx(0.6)


def test_capacity_is_used_until_results_are_released():
    async def main(clock):
        stage_server = create_server(clock)
        first = await stage_server.run(create_call(pieces=3, size=400_000))
        stage_server.release(first[0].handle)
        second = await stage_server.run(create_call(pieces=1, size=400_000))
        return faults(first), faults(second)

    first, second = run_virtual(main)
    assert first == [None, None, PieceFault.no_capacity]
    assert second == [None]


def test_results_expire_and_later_calls_fail_without_them():
    async def main(clock):
        stage_server = create_server(clock)
        first = await stage_server.run(create_call(pieces=1))
        await asyncio.sleep(LOAD.keep_s + 0.1)
        return faults(await stage_server.run(create_call(pieces=1, inputs=(first[0].handle,))))

    assert run_virtual(main) == [PieceFault.input_lost]


def test_piece_past_its_deadline_is_not_run():
    async def main(clock):
        stage_server = create_server(clock)
        return faults(await stage_server.run(create_call(pieces=1, deadline=-1)))

    assert run_virtual(main) == [PieceFault.late]
