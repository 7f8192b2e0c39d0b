"""Let this process believe that its host was suspended."""

from __future__ import annotations

import time

from ringseam import clock


class SimulatedSuspension:
    """Lets the steady clock jump as it does over a suspension; the monotonic one doesn't."""

    def __init__(self, monkeypatch):
        self.suspended_s = 0
        unmodified = time.clock_gettime

        def gettime(clock_id):
            offset_s = self.suspended_s if clock_id == time.CLOCK_BOOTTIME else 0
            return unmodified(clock_id) + offset_s

        monkeypatch.setattr(clock.time, 'clock_gettime', gettime)

    def advance(self, seconds):
        self.suspended_s += seconds
