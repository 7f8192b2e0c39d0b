"""Admission at the entry by the time that a request has left."""

from __future__ import annotations

import abc
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.metrics import new_histogram

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

    from ringseam.config import Pipeline, Stage

_US_PER_MS = 1000
_MEDIAN = 50


@dataclass(kw_only=True)
class StageWindow:
    """Durations of a stage in this window and in the one before."""

    current: HdrHistogram = field(default_factory=new_histogram)
    former: HdrHistogram = field(default_factory=new_histogram)
    began: float = 0
    cached: float = 0
    cached_at: float = float('-inf')


@dataclass(kw_only=True)
class StageEstimates:
    """Recent quantiles of each stage's duration, as seen at this entry.

    A stage without enough samples is taken to last what its file says; an
    estimate stays within ``bound`` times of that, so that a wrong one can't
    shut a pipeline for good.
    """

    window_s: float = 10
    refresh_s: float = 0.2
    enough: int = 20
    bound: float = 20
    windows: dict[str, StageWindow] = field(
        default_factory=lambda: defaultdict(StageWindow),
    )

    def record(self, stage: Stage, spent_ms: float, now: float) -> None:
        """Take in how long a stage took, queues and all."""
        window = self.windows[stage.name]
        if now - window.began > self.window_s:
            window.former = window.current
            window.current = new_histogram()
            window.began = now
        window.current.record_value(max(1, int(spent_ms * _US_PER_MS)))

    def estimate_ms(self, stage: Stage, now: float) -> float:
        """Return the median duration to expect."""
        window = self.windows[stage.name]
        if now - window.cached_at >= self.refresh_s:
            window.cached = self._median(stage, window)
            window.cached_at = now
        return window.cached

    def _median(self, stage: Stage, window: StageWindow) -> float:
        for histogram in (window.current, window.former):
            if histogram.total_count >= self.enough:
                measured = histogram.get_value_at_percentile(_MEDIAN) / _US_PER_MS
                return min(measured, self.bound * stage.expected_ms)
        return float(stage.expected_ms)


class Admission(abc.ABC):
    """Decide whether a request may begin; register under ``name``."""

    kinds: dict[str, type[Admission]] = {}  # noqa: RUF012, WPS407 - the registry
    name = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.name] = cls

    def __init__(self, *, estimates: StageEstimates) -> None:
        """Decide by ``estimates``."""
        self.estimates = estimates

    @abc.abstractmethod
    def needed_ms(self, pipeline: Pipeline, first: int, now: float) -> float:
        """Return the time that the stages from ``first`` on will take."""


class OpenAdmission(Admission):
    """Admit all: the naive policy that others are measured against."""

    name = 'none'

    def needed_ms(self, pipeline: Pipeline, first: int, now: float) -> float:
        """Return nothing."""
        return 0


class AdaptiveAdmission(Admission):
    """Admit what the recent medians of the remaining stages leave time for."""

    name = 'adaptive'

    def needed_ms(self, pipeline: Pipeline, first: int, now: float) -> float:
        """Return the sum over the remaining stages."""
        return sum(self.estimates.estimate_ms(stage, now) for stage in pipeline.stages[first:])
