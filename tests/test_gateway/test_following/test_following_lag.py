"""When a process lags too far to decide for others."""

from __future__ import annotations

import logging
from types import SimpleNamespace

import pytest

from ringseam.clock import PausedClock
from ringseam.events import Event
from ringseam.gateway.following.lag import EventLoopLag, LagMonitor
from ringseam.node import Node


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


def test_monitor_announces_each_change_once(caplog):
    node = Node(name='g1', role='gateway', address='', secret=b'x', clock=PausedClock())
    follower = SimpleNamespace(busy=False)
    monitor = LagMonitor(node=node, follower=follower)
    seen = []
    with caplog.at_level(logging.INFO, logger='ringseam'):
        for late_s in (0, 0.3, 0.4, 0.5, *[0] * 60):
            monitor.record(late_s)
            seen.append(follower.busy)
            node.clock.advance(0.1)
    assert seen[:4] == [False, False, True, True]
    assert not seen[-1]
    assert [record.msg['event'] for record in caplog.records] == [
        Event.gateway_behind.number,
        Event.gateway_in_time.number,
    ]
