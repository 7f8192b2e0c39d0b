"""When a process is too far behind to decide for others."""

from __future__ import annotations

import pytest

from ringseam.gateway.following.lag import EventLoopLag


@pytest.mark.parametrize(
    ('lates', 'busy'),
    [
        ([0.0] * 20, False),
        # A quota that is used up for the rest of each tenth of a second.
        ([0.1] * 20, False),
        # One pause of the host.
        ([0.0, 3.0, 0.0, 0.0], False),
        ([0.0, 0.3, 0.4], True),
        ([0.3, 0.0, 0.3, 0.0], False),
    ],
)
def test_timers_that_are_late_in_a_row_show_it(lates, busy):
    lag = EventLoopLag()
    for number, late_s in enumerate(lates):
        lag.record(late_s, number / 10)
    assert lag.is_busy(len(lates) / 10) is busy


def test_process_decides_again_after_a_while_in_time():
    lag = EventLoopLag()
    lag.record(1, 0)
    lag.record(1, 1)
    lag.record(0, 1.1)
    assert lag.is_busy(5.9)
    assert not lag.is_busy(6)
    lag.record(1, 7)
    assert not lag.is_busy(7)
