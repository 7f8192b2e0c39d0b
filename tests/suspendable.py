"""Run ``ringseam`` with simulated host suspension: ``python -m tests.suspendable ROLE ...``.

The monotonic clock doesn't advance during a suspension. The test stops the process by a
signal and sends it :data:`SUSPEND_SIGNAL` once per :data:`SUSPEND_STEP_S` of the pause
before it continues.
"""

from __future__ import annotations

import signal
import time

SUSPEND_SIGNAL = signal.SIGRTMIN
SUSPEND_STEP_S = 0.1


def simulate_suspensions():
    """Subtract suspended time from the monotonic clock; the boot-time clock is unchanged."""
    suspended_s = [0.0]
    unmodified = time.monotonic

    def record_suspension(*_):
        suspended_s[0] += SUSPEND_STEP_S

    signal.signal(SUSPEND_SIGNAL, record_suspension)
    time.monotonic = lambda: unmodified() - suspended_s[0]


if __name__ == '__main__':
    simulate_suspensions()
    from ringseam.cmd.main import run

    run()
