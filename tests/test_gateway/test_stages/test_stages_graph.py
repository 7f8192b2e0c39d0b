"""Stages of one request: their order, and when short branches start."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.clock import PausedClock
from ringseam.contents import ContentId
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.stages.graph import StageRun
from ringseam.platform.stages import PieceFault, PieceResult
from ringseam.quarantinemessages import Suspect
from ringseam.routes import BackendService, BatchSpec, RouteStage, RouteTable, ServiceName

SPEC = BatchSpec(
    slots=1,
    queue=2,
    batch=4,
    call_s=0.2,
    piece_s=0.02,
    result_capacity_bytes=10**7,
    result_retention_s=4,
)
CROPS = ServiceName('crops')


class FakePieceClient:
    """Runs pieces at once, and records the order in which stages started."""

    def __init__(self, fault_at=None):
        self.started = []
        self.ended = []
        self.zones = {}
        self.waits = {}
        self.jobs = {}
        self.fault = PieceFault.error
        self.fault_at = fault_at

    async def run(self, job):
        self.started.append((job.stage, tuple(self.ended)))
        self.zones[job.stage] = job.zone
        self.jobs[job.stage] = job
        await asyncio.sleep(0)
        self.ended.append(job.stage)
        if job.stage == self.fault_at:
            return [PieceResult(fault=self.fault) for _ in job.pieces]
        return [PieceResult(handle=f'a:1/{job.stage}-{piece}') for piece in job.pieces]

    def release(self, service, handles):
        """Do nothing."""

    def wait_s(self, service, precedence):
        return self.waits.get(service, 0)

    def backlog_s(self, service):
        return self.waits.get(service, 0)


class HangingPieceClient(FakePieceClient):
    """Never completes one of the stages."""

    def __init__(self, *, hanging, fault_at):
        super().__init__(fault_at=fault_at)
        self.hanging = hanging
        self.cancelled = []

    async def run(self, job):
        if job.stage != self.hanging:
            return await super().run(job)
        try:
            return await asyncio.get_running_loop().create_future()
        finally:
            self.cancelled.append(job.stage)


def stage(*after, size=1000):
    return RouteStage(service=CROPS, after=after, result_bytes=size)


def run_of(stages, counts, pieces):
    request = SimpleNamespace(attempt_id='r', pieces=tuple(counts), piece_key='k')
    context = SimpleNamespace(
        route=SimpleNamespace(stages=tuple(stages)),
        request=request,
        scheduling_deadline=10,
        deadline=20,
        precedence=Precedence(rank=1),
        allowed_zones=None,
        suspect=Suspect(content=ContentId('c1')),
        trial_at=None,
    )
    table = RouteTable(
        services={
            CROPS: BackendService(
                name=CROPS,
                health_path='/',
                max_connections=9,
                batching=SPEC,
            )
        }
    )
    return StageRun(
        context=context,
        pieces=pieces,
        clock=PausedClock(),
        table=table,
        server_zone='home',
        zone_by_address={'a:1': 'away'},
    )


def run_stages(stages, counts):
    pieces = FakePieceClient()
    run = run_of(stages, counts, pieces)
    assert asyncio.run(run.run()) is None
    return dict(pieces.started), run


def test_short_branch_starts_with_the_last_stages_of_the_long_one():
    """Guards against large results that wait for three further stages and fill up the
    capacity of their servers."""
    order, run = run_stages([stage(), stage(), stage(1), stage(2)], [1, 1, 1, 1])
    assert order[0] == (1, 2)
    assert run.inputs() == ('a:1/0-0', 'a:1/3-0')


@pytest.mark.parametrize(
    ('counts', 'ended'),
    [([1, 1, 0, 0], ()), ([1, 0, 0, 0], ()), ([8, 1, 1, 1], (1, 2)), ([1, 1, 1, 1], (1, 2))],
)
def test_branch_waits_only_for_a_longer_one(counts, ended):
    order, _ = run_stages([stage(), stage(), stage(1), stage(2)], counts)
    assert order[0] == ended


def test_branch_that_feeds_the_longest_one_starts_at_once():
    order, _ = run_stages([stage(), stage(), stage(0, 1)], [1, 4, 1])
    assert order[0] == ()
    assert order[1] == ()


def test_fault_of_the_long_branch_ends_the_short_one():
    pieces = FakePieceClient(fault_at=1)
    run = run_of([stage(), stage(), stage(1), stage(2)], [1, 1, 1, 1], pieces)
    assert asyncio.run(run.run()).fault is PieceFault.error
    assert [number for number, _ in pieces.started] == [1]


@pytest.mark.parametrize(
    ('sizes', 'zones'),
    [
        # Small inputs and results: any zone.
        ([1000, 1000], ['', '']),
        # Large inputs: the zone of the inputs.
        ([200_000, 1000], ['', 'away']),
        # Large results for the final server: the zone of that server.
        ([1000, 200_000], ['', 'home']),
    ],
)
def test_zone_is_preferred_only_for_large_transfers(sizes, zones):
    pieces = FakePieceClient()
    run = run_of([stage(size=sizes[0]), stage(0, size=sizes[1])], [1, 1], pieces)
    assert asyncio.run(run.run()) is None
    assert [pieces.zones[number] for number in (0, 1)] == zones


def test_partly_released_results_are_recomputed():
    """Guards against incomplete inputs: the results of a stage that is short of capacity
    are released, and the final server gets those of the other stage alone."""
    pieces = FakePieceClient()
    run = run_of([stage(), RouteStage(service=ServiceName('other'))], [2, 1], pieces)
    assert asyncio.run(run.run()) is None
    assert run.has_all_inputs
    pieces.waits[CROPS] = 1
    run.release_contended()
    assert run.inputs() == ('a:1/1-0',)
    assert not run.has_all_inputs
    assert asyncio.run(run.run()) is None
    assert run.has_all_inputs
    assert run.inputs() == ('a:1/0-0', 'a:1/0-1', 'a:1/1-0')


@given(
    st.lists(st.integers(0, 3), min_size=4, max_size=4).filter(any),
    st.sets(st.integers(0, 3)),
)
def test_has_all_inputs_means_that_every_needed_result_is_there(counts, lost):
    """Compares with a reference: all pieces of all stages without successors."""
    stages = [stage(), stage(), stage(1), stage(2)]
    run = run_of(stages, counts, FakePieceClient())
    assert asyncio.run(run.run()) is None
    wanted = {
        number
        for number, count in enumerate(counts)
        if count
        and not any(counts[later] for later, other in enumerate(stages) if number in other.after)
    }
    for number in lost:
        run.handles.pop(number, None)
    assert run.has_all_inputs == (not wanted & lost)


def test_stages_leave_time_for_their_successors():
    pieces = FakePieceClient()
    run = run_of([stage(), stage(0, size=50_000), stage(1)], [4, 4, 4], pieces)
    assert asyncio.run(run.run()) is None
    call = SPEC.call_s + 4 * SPEC.piece_s
    deadlines = [pieces.jobs[number].deadline for number in range(3)]
    assert deadlines == pytest.approx([20 - 0.1 - 2 * call, 20 - 0.1 - call, 20 - 0.1])
    # Small inputs are cheap to recompute.
    assert pieces.jobs[1].expires == float('inf')
    assert pieces.jobs[2].expires == SPEC.result_retention_s - SPEC.call_s


def test_stages_are_not_run_again_without_enough_time():
    pieces = FakePieceClient(fault_at=0)
    pieces.fault = PieceFault.input_lost
    run = run_of([stage()], [1], pieces)
    run.clock.advance(run.context.deadline - 0.2)
    assert asyncio.run(run.run()).fault is PieceFault.input_lost
    assert len(pieces.started) == 1


class GatedPieceClient(FakePieceClient):
    """Runs the pieces of the first stage only after the gate opens."""

    def __init__(self):
        super().__init__()
        self.gate = asyncio.Event()

    async def run(self, job):
        if job.stage == 0:
            await self.gate.wait()
        return await super().run(job)


def test_stage_is_never_requested_without_its_inputs():
    """Guards against stages without inputs: if the client disconnects just as its first
    stage ends, the results are released before the next stage is requested."""

    async def disconnect_as_the_first_stage_ends():
        pieces = GatedPieceClient()
        run = run_of([stage(), stage(0)], [1, 1], pieces)
        running = asyncio.ensure_future(run.run())
        await asyncio.sleep(0.001)
        pieces.gate.set()
        for _ in range(steps):
            await asyncio.sleep(0)
        running.cancel()
        run.release()
        await asyncio.wait({running})
        return pieces.jobs

    for steps in range(12):
        jobs = asyncio.run(disconnect_as_the_first_stage_ends())
        assert 1 not in jobs or jobs[1].inputs == ('a:1/0-0',), steps


@pytest.mark.parametrize(('hanging', 'fault_at'), [(0, 1), (1, 0)])
def test_other_branches_are_cancelled_once_a_stage_fails(hanging, fault_at):
    """If the service of one branch is short of servers, the other branch is useless.

    It is cancelled, so that its servers are free for other requests at once.
    """
    pieces = HangingPieceClient(hanging=hanging, fault_at=fault_at)
    pieces.fault = PieceFault.late
    run = run_of([stage(), stage()], [1, 1], pieces)
    assert asyncio.run(asyncio.wait_for(run.run(), 5)).fault is PieceFault.late
    assert pieces.cancelled == [hanging]
    assert run.handles == {}
