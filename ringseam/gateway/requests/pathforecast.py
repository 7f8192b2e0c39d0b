"""Expected times of a request's stages, from the forecasts of their owners."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ringseam.gateway.reservations.messages import StageForecast
    from ringseam.gateway.stages.plan import StagePlan


@dataclass(frozen=True, kw_only=True)
class StageTime:
    """When a stage is expected to start and end, seconds from now."""

    start_s: float = 0
    end_s: float = 0
    #: Sum of the squared spreads of the stages up to its end, s^2.
    variance: float = 0

    @property
    def spread_s(self) -> float:
        """Return the spread of the end, seconds; errors of stages count as independent."""
        return math.sqrt(self.variance)


_AT_ONCE = StageTime()


@dataclass(kw_only=True)
class PathForecast:
    """The path of one request through its stages."""

    plan: StagePlan
    #: The wait for a stage whose owner gave no forecast, seconds.
    default_wait_s: Callable[[int], float]
    forecasts: dict[int, StageForecast] = field(default_factory=dict)

    def starts(self) -> dict[int, float]:
        """Return when each stage with pieces is expected to start, seconds from now."""
        times: dict[int, StageTime] = {}
        return {number: self._time(number, times).start_s for number in self._stages()}

    @property
    def end_s(self) -> float:
        """Return the expected time to the end of all stages, seconds."""
        return self._last().end_s

    @property
    def spread_s(self) -> float:
        """Return the spread of that time, seconds."""
        return self._last().spread_s

    @property
    def share_wait_s(self) -> float:
        """Return the longest wait for the account's share at a service, seconds."""
        return _largest(forecast.share_wait_ms for forecast in self.forecasts.values()) / MS_PER_S

    def latest_end_s(self, number: int) -> float | None:
        """Return when a queued stage should end at the latest, seconds from now.

        None: its pieces go with the next calls, so its queue gives up no late piece. Work
        that doesn't fit into the next calls waits for a full one at least.
        """
        forecast = self.forecasts.get(number)
        service = self.plan.services.get(self.plan.stages[number].service)
        if forecast is None or service is None or service.batching is None:
            return None
        spec = service.batching
        if forecast.wait_ms < spec.full_call_s * MS_PER_S:
            return None
        time = self._time(number, {})
        # A queue gives up what a call of one piece couldn't end in time.
        return time.end_s + time.spread_s - (spec.full_call_s - spec.call_s - spec.piece_s)

    def _stages(self) -> list[int]:
        plan = self.plan
        return [number for number in range(len(plan.stages)) if plan.piece_count(number)]

    def _last(self) -> StageTime:
        times: dict[int, StageTime] = {}
        ends = [self._time(number, times) for number in range(len(self.plan.stages))]
        return max(ends, key=_end_of, default=_AT_ONCE)

    def _time(self, number: int, times: dict[int, StageTime]) -> StageTime:
        if number not in times:
            times[number] = self._compute(number, times)
        return times[number]

    def _compute(self, number: int, times: dict[int, StageTime]) -> StageTime:
        counted = self.plan.piece_count(number)
        awaited = self.plan.start_after(number) if counted else ()
        previous = max(
            (self._time(earlier, times) for earlier in (*self.plan.stages[number].after, *awaited)),
            key=_end_of,
            default=_AT_ONCE,
        )
        start_s, variance = previous.end_s, previous.variance
        if not counted:
            return StageTime(start_s=start_s, end_s=start_s, variance=variance)
        forecast = self.forecasts.get(number)
        if forecast is None:
            wait_s = self.default_wait_s(number)
        else:
            wait_s = forecast.wait_ms / MS_PER_S
            variance += (forecast.spread_ms / MS_PER_S) ** 2
        end_s = start_s + wait_s + self.plan.call_s(number)
        return StageTime(start_s=start_s, end_s=end_s, variance=variance)


def _end_of(time: StageTime) -> float:
    return time.end_s


def _largest(amounts: Iterable[float]) -> float:
    return max(amounts, default=0)
