"""Expected durations and dependencies of the stages of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.routes import BackendService, RouteStage, ServiceName

#: Time from a request's arrival at an idle engine to its first event, seconds.
FIRST_EVENT_S = 0.1
#: A stage takes this many times its call, since pieces wait for the call in progress.
_QUEUEING_FACTOR = 1.5
#: A branch of the graph starts when the longest branch has this many times the branch's
#: own duration left. Results that are ready early occupy capacity at their server until
#: the slowest stage is done, and are lost if that takes seconds; so a branch is rather
#: started a little late.
_BRANCH_START_FACTOR = 0.75


@dataclass(frozen=True, kw_only=True)
class StagePlan:  # noqa: WPS214 - short questions on one graph
    """The graph of one request's stages; stages without pieces are ignored."""

    stages: tuple[RouteStage, ...]
    #: Number of pieces of each stage.
    counts: tuple[int, ...]
    services: dict[ServiceName, BackendService]

    def piece_count(self, number: int) -> int:
        """Return the number of pieces of a stage."""
        counts = self.counts
        return counts[number] if number < len(counts) else 0

    def total_bytes(self, number: int) -> int:
        """Return the total size of a stage's results, bytes."""
        return self.stages[number].result_bytes * self.piece_count(number)

    def call_s(self, number: int) -> float:
        """Return the expected duration of a stage's call, seconds."""
        service = self.services.get(self.stages[number].service)
        if service is None or service.batching is None:
            return 0
        spec = service.batching
        return spec.call_s + spec.piece_s * min(spec.batch, self.piece_count(number))

    def stage_s(self, number: int) -> float:
        """Return the expected duration of a stage with the usual queueing, seconds."""
        return _QUEUEING_FACTOR * self.call_s(number)

    def remaining_s(self, number: int) -> float:
        """Return the expected duration of the longest path after a stage, seconds."""
        longest: float = 0
        for later, stage in enumerate(self.stages):
            if number in stage.after and self.piece_count(later):
                longest = max(longest, self.stage_s(later) + self.remaining_s(later))
        return longest

    def path_s(self, number: int) -> float:
        """Return the expected duration of a stage and the longest path after it, seconds."""
        if not self.piece_count(number):
            return 0
        return self.stage_s(number) + self.remaining_s(number)

    def min_remaining_s(self, number: int) -> float:
        """Return the least time that a request needs after a stage, seconds."""
        return self.remaining_s(number) / _QUEUEING_FACTOR + FIRST_EVENT_S

    def slowest_successor(self, number: int) -> int | None:
        """Return the successor of a stage with the longest path to the end."""
        successors = [
            later
            for later, stage in enumerate(self.stages)
            if number in stage.after and self.piece_count(later)
        ]
        return max(successors, key=self.path_s, default=None)

    def final_stages(self) -> list[int]:
        """Return the stages with pieces that have no successor with pieces."""
        return [
            number
            for number in range(len(self.stages))
            if self.piece_count(number) and self.slowest_successor(number) is None
        ]

    def start_after(self, number: int) -> tuple[int, ...]:
        """Return the stages that must finish before a stage without inputs starts.

        Only a branch that is shorter than the longest one is delayed; otherwise its
        results would have to be stored until the longest branch is done.
        """
        if self.stages[number].after:
            return ()
        needed = _BRANCH_START_FACTOR * self.path_s(number)
        slowest = max(range(len(self.stages)), key=self.path_s)
        awaited: tuple[int, ...] = ()
        successor = self.slowest_successor(slowest)
        while successor is not None and self.path_s(successor) >= needed:
            awaited = (slowest,)
            slowest, successor = successor, self.slowest_successor(successor)
        return awaited

    def sole_input_service(self, number: int) -> str:
        """Return the service that produces a stage's inputs if no other stage uses them."""
        stages = self.stages
        stage = stages[number]
        if len(stage.after) != 1:
            return ''
        consumers = [
            later
            for later, other in enumerate(stages)
            if stage.after[0] in other.after and self.piece_count(later)
        ]
        return stages[stage.after[0]].service if consumers == [number] else ''
