"""Let this process believe that its host was suspended."""

from __future__ import annotations

import time

from ringseam import clock


class Suspension:
    """Lets the steady clock jump as it does over a suspension; the monotonic one doesn't."""

    def __init__(self, monkeypatch):
        self.slept_s = 0
        real = time.clock_gettime

        def gettime(which):
            skipped = self.slept_s if which == time.CLOCK_BOOTTIME else 0
            return real(which) + skipped

        monkeypatch.setattr(clock.time, 'clock_gettime', gettime)

    def last(self, seconds):
        self.slept_s += seconds
