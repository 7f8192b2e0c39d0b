"""``ringseam`` on a host that can be suspended: ``python -m tests.suspendable ROLE ...``.

A suspension is a stop that the monotonic clock doesn't count. The process is stopped by
a signal, and for each tenth of a second of that it is sent :data:`SKIP` before it goes on.
"""

from __future__ import annotations

import signal
import time

SKIP = signal.SIGRTMIN
SKIP_S = 0.1


def install():
    """Take the time of suspensions off the monotonic clock; the boot clock stays true."""
    skipped = [0.0]
    real = time.monotonic

    def skip(*_):
        skipped[0] += SKIP_S

    signal.signal(SKIP, skip)
    time.monotonic = lambda: real() - skipped[0]


if __name__ == '__main__':
    install()
    from ringseam.cmd.main import run

    run()
