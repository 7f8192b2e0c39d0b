"""``ringseam`` on a host that can be suspended: ``python -m tests.suspendable ROLE ...``.

A suspension is a stop that the monotonic clock doesn't count. The process is stopped by
a signal and sent SUSPEND_SIGNAL for each tenth of a second before it goes on.
"""

from __future__ import annotations

import signal
import time

SUSPEND_SIGNAL = signal.SIGRTMIN
SUSPEND_STEP_S = 0.1


def simulate_suspensions():
    """Take the time of suspensions off the monotonic clock; the boot clock stays true."""
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
