"""Run the stages of one request as a dependency graph."""

from __future__ import annotations

import asyncio
import collections
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.stages.jobs import PieceJob
from ringseam.gateway.stages.plan import FIRST_EVENT_S, StagePlan
from ringseam.platform.stages import PieceFault, server_address_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.clock import Clock
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.platform.stages import PieceResult
    from ringseam.routes import Route, RouteStage, RouteTable, ServiceName

#: Share of a request's objective reserved for the engine after the stages, seconds.
_ENGINE_BUDGET_S = 0.4
#: Results smaller than this may be transferred between availability zones: if a gigabyte
#: costs as much as 200 of the cheapest requests, this much costs a fiftieth of one.
_COSTLY_BYTES = 100_000
#: A service whose backlog takes longer than this to clear is short of servers or of
#: result capacity, seconds: half of the time of a call without pieces.
_CONTENTION_WAIT_S = 0.1
#: A stage graph is run at most this many times if results are lost.
_MAX_GRAPH_RUNS = 2


@dataclass(frozen=True, kw_only=True)
class StageFault:
    """The stages failed; nothing was sent to the final backend server."""

    fault: PieceFault


@dataclass(kw_only=True)
class StageRun:
    """One request's stages and their results, which must be released after use."""

    context: RequestContext
    pieces: PieceClient
    clock: Clock
    table: RouteTable
    #: The expected availability zone of the final backend server; empty: any.
    server_zone: str
    #: Availability zones by the addresses of backend servers.
    zone_by_address: dict[str, str]
    handles: dict[int, tuple[str, ...]] = field(default_factory=dict)
    #: Stages whose pieces were sent to their owner.
    started: set[int] = field(default_factory=set)
    completed: set[int] = field(default_factory=set)
    #: When each stage was completed.
    completed_at: dict[int, float] = field(default_factory=dict)
    plan: StagePlan = field(init=False)

    def __post_init__(self) -> None:
        """Plan the stages that have pieces."""
        self.plan = StagePlan(
            stages=self.stages,
            counts=self.context.request.pieces,
            services=self.table.services,
        )

    @property
    def stages(self) -> tuple[RouteStage, ...]:
        """Return the stages of the request's route."""
        return self.context.route.stages

    @property
    def has_all_inputs(self) -> bool:
        """Return whether all inputs of the final backend server are still available.

        A server would run a request with missing inputs, so all of them are checked.
        """
        return all(
            len(self.handles.get(number, ())) == self.plan.piece_count(number)
            for number in self.plan.final_stages()
        )

    async def run(self) -> StageFault | None:
        """Run all stages; return None on success."""
        for _ in range(_MAX_GRAPH_RUNS):
            self.release()
            self.completed.clear()
            fault = await self._run_once()
            if fault is None:
                return None
            self.release()
            if fault is not PieceFault.input_lost or not self._is_in_time():
                break
        return StageFault(fault=fault)

    def predicted_s(self) -> float:
        """Estimate how long the stages take from now, with the current queues, seconds."""
        stages = self.stages
        ends: list[float] = []
        for number, stage in enumerate(stages):
            start = max((ends[predecessor] for predecessor in stage.after), default=0)
            if self.plan.piece_count(number):
                start += self.pieces.wait_s(stage.service, self.context.precedence)
                start += self.plan.call_s(number)
            ends.append(start)
        return max(ends, default=0)

    def services(self) -> set[ServiceName]:
        """Return the services that the request needs pieces of."""
        return {
            stage.service
            for number, stage in enumerate(self.stages)
            if self.plan.piece_count(number)
        }

    def unstarted_services(self) -> set[ServiceName]:
        """Return the services of stages whose pieces have not been sent to their owner."""
        return {
            stage.service
            for number, stage in enumerate(self.stages)
            if self.plan.piece_count(number) and number not in self.started
        }

    def wait_s(self, number: int) -> float:
        """Return the wait that the owner of a stage's service last reported, seconds."""
        return self.pieces.wait_s(self.stages[number].service, self.context.precedence)

    def due_at(self, number: int) -> float:
        """Return when a stage must finish for the request to meet its objective."""
        remaining_s = self.plan.remaining_s(number)
        return self.context.scheduling_deadline - _ENGINE_BUDGET_S - remaining_s

    def inputs(self) -> tuple[str, ...]:
        """Return the result handles of the final stages."""
        return tuple(
            handle for number in self.plan.final_stages() for handle in self.handles.get(number, ())
        )

    def input_bytes(self) -> dict[str, int]:
        """Return the bytes of the stored results by availability zone."""
        counts: collections.Counter[str] = collections.Counter()
        for number, handles in self.handles.items():
            size = self.stages[number].result_bytes
            for handle in handles:
                counts[self.zone_by_address.get(server_address_of(handle), '')] += size
        return dict(counts)

    def release(self) -> None:
        """Release all results."""
        for number in list(self.handles):
            self._release_stage(number)

    def release_contended(self) -> None:
        """Release the results of services with a backlog, which may lack capacity."""
        for number in list(self.handles):
            if self.pieces.backlog_s(self.stages[number].service) > _CONTENTION_WAIT_S:
                self._release_stage(number)

    def _is_in_time(self) -> bool:
        """Return whether there is time to run the stages from the beginning."""
        return self.clock.now() + self.predicted_s() + FIRST_EVENT_S < self.context.deadline

    async def _run_once(self) -> PieceFault | None:
        stages = self.stages
        tasks: dict[int, asyncio.Task[PieceFault | None]] = {}
        async with asyncio.TaskGroup() as group:
            for number, stage in enumerate(stages):
                tasks[number] = group.create_task(self._run_stage(number, stage, tasks))
            return await _first_fault_of(tasks.values())

    async def _run_stage(
        self,
        number: int,
        stage: RouteStage,
        tasks: dict[int, asyncio.Task[PieceFault | None]],
    ) -> PieceFault | None:
        count = self.plan.piece_count(number)
        awaited = self.plan.start_after(number) if count else ()
        for predecessor in (*stage.after, *awaited):
            fault = await tasks[predecessor]
            if fault is not None:
                return fault
        if not count:
            return None
        inputs = tuple(handle for used in stage.after for handle in self.handles.get(used, ()))
        if len(inputs) < sum(map(self.plan.piece_count, stage.after)):
            # The inputs were released meanwhile, because this run is being cancelled.
            return PieceFault.input_lost
        self.started.add(number)
        piece_results = await self.pieces.run(self._job(number, stage, count, inputs))
        self.handles[number] = tuple(result.handle for result in piece_results if result.handle)
        fault = _first_fault(piece_results)
        if fault is None:
            self.completed.add(number)
            self.completed_at[number] = self.clock.now()
            self._release_consumed()
        return fault

    def _release_consumed(self) -> None:
        """Release results whose consumer stages are all completed."""
        stages = self.stages
        for number in list(self.handles):
            consumers = {
                later
                for later, stage in enumerate(stages)
                if number in stage.after and self.plan.piece_count(later)
            }
            if consumers and consumers <= self.completed:
                self._release_stage(number)

    def _release_stage(self, number: int) -> None:
        handles = self.handles.pop(number, ())
        if handles:
            self.pieces.release(self.stages[number].service, handles)

    def _job(
        self,
        number: int,
        stage: RouteStage,
        count: int,
        inputs: tuple[str, ...],
    ) -> PieceJob:
        context = self.context
        return PieceJob(
            attempt_id=context.request.attempt_id,
            service=stage.service,
            stage=number,
            pieces=tuple(range(count)),
            key='' if inputs else context.request.piece_key,
            inputs=inputs,
            due=self.due_at(number),
            deadline=context.deadline - self.plan.min_remaining_s(number),
            rank=context.precedence.rank,
            returned=context.precedence.returned,
            result_bytes=stage.result_bytes,
            expires=self._expiry_of_inputs(stage),
            zone=self._preferred_zone(number, inputs),
            zones=context.allowed_zones,
            inputs_of=self.plan.sole_input_service(number),
            suspect=context.suspect,
            trial_at=context.trial_at,
        )

    def _preferred_zone(self, number: int, inputs: tuple[str, ...]) -> str:
        """Return the zone in which a stage should run; empty: any.

        That is the zone of its inputs if these are large; else the zone of the final
        backend server if that one reads a large result from it.
        """
        stage = self.stages[number]
        if sum(map(self.plan.total_bytes, stage.after)) >= _COSTLY_BYTES:
            return self._majority_zone(inputs)
        is_last = self.plan.slowest_successor(number) is None
        return (
            self.server_zone if is_last and self.plan.total_bytes(number) >= _COSTLY_BYTES else ''
        )

    def _majority_zone(self, inputs: tuple[str, ...]) -> str:
        """Return the zone of most inputs."""
        counts = collections.Counter(
            self.zone_by_address.get(server_address_of(handle), '') for handle in inputs
        )
        counts.pop('', None)
        return counts.most_common(1)[0][0] if counts else ''

    def _expiry_of_inputs(self, stage: RouteStage) -> float:
        """Return when the inputs of a stage expire; infinite if they are cheap to redo."""
        if sum(map(self.plan.total_bytes, stage.after)) < _COSTLY_BYTES:
            return math.inf
        return min(map(self._expiry_of, stage.after))

    def _expiry_of(self, number: int) -> float:
        """Return when the first result of a stage is discarded by its server."""
        service = self.table.services.get(self.stages[number].service)
        if number not in self.completed_at or service is None or service.batching is None:
            return math.inf
        # The first piece may have finished one call before the last.
        return (
            self.completed_at[number]
            + service.batching.result_retention_s
            - service.batching.call_s
        )


def has_stages(route: Route, pieces: tuple[int, ...]) -> bool:
    """Return whether a request has pieces at any stage."""
    return any(count for count, _ in zip(pieces, route.stages, strict=False))


async def _first_fault_of(
    tasks: Iterable[asyncio.Task[PieceFault | None]],
) -> PieceFault | None:
    """Return the first fault of some stages, or None once all have succeeded.

    After a fault the remaining stages are cancelled, because their results are useless.
    """
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        ended = [task.result() for task in done]
        faults = [fault for fault in ended if fault is not None]
        if faults:
            for task in pending:
                task.cancel()
            return faults[0]
    return None


def _first_fault(piece_results: list[PieceResult]) -> PieceFault | None:
    return next((result.fault for result in piece_results if result.fault is not None), None)
