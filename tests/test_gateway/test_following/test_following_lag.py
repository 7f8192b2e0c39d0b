"""When a process lags too far to decide for others."""

from __future__ import annotations

import pytest

from ringseam.gateway.following.lag import EventLoopLag


@pytest.mark.parametrize(
    ('delays', 'busy'),
    [
        ([0.0] * 20, False),
        # A CPU quota that is used up for the rest of each period of 0.1 s.
        ([0.1] * 20, False),
        # A single pause of the host.
        ([0.0, 3.0, 0.0, 0.0], False),
        ([0.0, 0.3, 0.4], True),
        ([0.3, 0.0, 0.3, 0.0], False),
    ],
)
def test_process_lags_after_consecutive_late_timers(delays, busy):
    lag = EventLoopLag()
    for number, late_s in enumerate(delays):
        lag.record(late_s, number / 10)
    assert lag.is_busy(len(delays) / 10) is busy


def test_process_recovers_after_some_time_without_late_timers():
    lag = EventLoopLag()
    lag.record(1, 0)
    lag.record(1, 1)
    lag.record(0, 1.1)
    assert lag.is_busy(5.9)
    assert not lag.is_busy(6)
    lag.record(1, 7)
    assert not lag.is_busy(7)
