"""Simulate a suspension of the host within the test process."""

from __future__ import annotations

import time

from ringseam import clock


class SimulatedSuspension:
    """Advances the boot-time clock as a suspension does; the monotonic clock is unchanged."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0
        unmodified = time.clock_gettime

        def gettime(clock_id):
            offset_s = self.suspended_s if clock_id == time.CLOCK_BOOTTIME else 0
            return unmodified(clock_id) + offset_s

        monkeypatch.setattr(clock.time, 'clock_gettime', gettime)

    def advance(self, seconds):
        self.suspended_s += seconds
