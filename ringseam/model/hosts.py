"""Simulated hosts of different speeds, some of which are slow at a time."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.calls import ServerLoad

if TYPE_CHECKING:
    from ringseam.model.pattern import ServiceLoad


@dataclass(kw_only=True)
class ModelHost:
    """The host of one server; its speed and its slow times are the same in all runs."""

    name: str
    load: ServiceLoad
    #: Relative to the durations of the service.
    speed: float = field(init=False)

    def __post_init__(self) -> None:
        """Draw the speed."""
        drawn = random.Random(self.name)  # noqa: S311 - simulation
        self.speed = drawn.uniform(self.load.slowest, self.load.fastest)

    def slowdown_at(self, now: float) -> float:
        """Return how many times the usual time work takes now."""
        return self._slowdown_in(int(now / self.load.noise_s))

    def end_of(self, work_s: float, start: float) -> float:
        """Return when work ends that starts at ``start``.

        :param work_s: its duration at speed 1 without slowdown, seconds.
        """
        if not self.load.noise_share:
            return start + work_s / self.speed
        left_s = work_s / self.speed
        window = int(start / self.load.noise_s)
        now = start
        while True:  # noqa: WPS457 - ends with the work
            slowdown = self._slowdown_in(window)
            window += 1
            end = window * self.load.noise_s
            if left_s * slowdown <= end - now:
                return now + left_s * slowdown
            left_s -= (end - now) / slowdown
            now = end

    def reported_load(
        self, now: float, *, running: int, waiting: int, slots: int
    ) -> ServerLoad | None:
        """Return the load in a response sent now; None: the servers report none."""
        if not self.load.noise_share:
            return None
        return ServerLoad(
            running=running, waiting=waiting, slots=slots, slowdown=self.slowdown_at(now)
        )

    def _slowdown_in(self, window: int) -> float:
        if not self.load.noise_share:
            return 1
        drawn = random.Random(f'{self.name} {window}')  # noqa: S311 - simulation
        return self.load.noise_factor if drawn.random() < self.load.noise_share else 1
