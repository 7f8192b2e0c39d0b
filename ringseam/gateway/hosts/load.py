"""What is in use on a host, in levels that change seldom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.hostcapacity import HostLoad, LoadLevel

if TYPE_CHECKING:
    from ringseam.hostcapacity import HostCapacity

#: Shares from which a level is medium, and high.
_SHARES = (0.5, 0.85)
#: Lag of the event loop from which its level is medium, and high, seconds. A host with a
#: processor quota per 0.1 s delays timers by less than the second.
_LAGS_S = (0.05, 0.2)
#: A level falls below this share of the limit that it rose at.
_FALL_FACTOR = 0.8
#: A level rises after this long above its limit, and falls after this long below it, seconds.
_RISE_AFTER_S = 1.0
_FALL_AFTER_S = 10.0
#: Time over which the processor time in use is measured, seconds.
_PROCESSOR_WINDOW_S = 1.0


class LevelTracker:
    """Follow a level with hysteresis."""

    def __init__(self, *, limits: tuple[float, float]) -> None:
        """Start at the lowest level; ``limits`` are those of the medium and the high one."""
        self.limits = limits
        self.level = LoadLevel.low
        #: Since when the figure has been above the level, or below it.
        self.above_since: float | None = None
        self.below_since: float | None = None

    def update(self, figure: float, now: float) -> LoadLevel:
        """Return the level after one more figure."""
        rising = _level_of(figure, self.limits)
        falling = _level_of(figure, tuple(_FALL_FACTOR * limit for limit in self.limits))
        self.above_since = _since(self.above_since, now, holds=rising > self.level)
        self.below_since = _since(self.below_since, now, holds=falling < self.level)
        if self.above_since is not None and now >= self.above_since + _RISE_AFTER_S:
            self.level, self.above_since = rising, None
        elif self.below_since is not None and now >= self.below_since + _FALL_AFTER_S:
            self.level, self.below_since = falling, None
        return self.level


class LoadMeter:
    """Measure what is in use of a host's capacity."""

    def __init__(self, *, capacity: HostCapacity, now: float, processor_s: float) -> None:
        """Start at a time of the clock and at the processor time used until then."""
        self.capacity = capacity
        self.measured_at = now
        self.measured_s = processor_s
        #: Share of the processor in use during the last window; 0: unknown.
        self.processor_share: float = 0
        self.lag = LevelTracker(limits=_LAGS_S)
        self.processor = LevelTracker(limits=_SHARES)
        self.held = LevelTracker(limits=_SHARES)
        self.connections = LevelTracker(limits=_SHARES)

    def measure_processor(self, processor_s: float, now: float) -> None:
        """Measure by the processor time that this process has used since its start."""
        passed_s = now - self.measured_at
        if passed_s < _PROCESSOR_WINDOW_S:
            return
        if self.capacity.processor:
            used_s = processor_s - self.measured_s
            self.processor_share = used_s / passed_s / self.capacity.processor
        self.measured_at, self.measured_s = now, processor_s

    def update(self, *, late_s: float, held: float, connections: float, now: float) -> HostLoad:
        """Return the load of the host.

        :param late_s: by how much a timer was late, seconds.
        :param held: share of the bound of held bytes.
        :param connections: share of the bound of connections that are open.
        """
        return HostLoad(
            lag=self.lag.update(late_s, now),
            processor=self.processor.update(self.processor_share, now),
            held=self.held.update(held, now),
            connections=self.connections.update(connections, now),
        )


def _since(since: float | None, now: float, *, holds: bool) -> float | None:
    """Return since when a condition has held without a break."""
    if not holds:
        return None
    return now if since is None else since


def _level_of(figure: float, limits: tuple[float, ...]) -> LoadLevel:
    return LoadLevel(sum(figure >= limit for limit in limits))
