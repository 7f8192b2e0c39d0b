"""Rate of the pieces that are sent while others wait: bursts, idle times and lost servers."""

from __future__ import annotations

import math

import pytest

from ringseam.gateway.stages.servicerate import ServiceRate


def send(rate, calls, every_s, start=0.0, pieces=8, servers=4, *, has_backlog=True):
    """Send calls of all servers at a time, and return when the last were sent."""
    for number in range(calls):
        for _ in range(servers):
            rate.sent(pieces, start + number * every_s, has_backlog=has_backlog)
    return start + (calls - 1) * every_s


def test_rate_is_unknown_until_pieces_have_waited_for_a_while():
    rate = ServiceRate()
    send(rate, 1, 0.4)
    assert math.isinf(rate.per_s)


@pytest.mark.parametrize('calls', [2, 3, 50])
def test_rate_is_that_of_all_servers_from_the_second_round_of_calls_on(calls):
    rate = ServiceRate()
    send(rate, calls, 0.4)
    assert rate.per_s == pytest.approx(4 * 8 / 0.4)


def test_time_without_backlog_does_not_lower_the_rate():
    rate = ServiceRate()
    end = send(rate, 5, 0.4)
    send(rate, 50, 1.0, start=end, pieces=1, servers=1, has_backlog=False)
    assert rate.per_s == pytest.approx(80, rel=0.1)


def test_rate_follows_the_loss_of_half_of_the_servers():
    rate = ServiceRate()
    end = send(rate, 10, 0.4)
    send(rate, 10, 0.4, start=end + 0.4, servers=2)
    assert 40 < rate.per_s < 50


@pytest.mark.parametrize('gone_s', [2, 20, 600])
def test_time_without_servers_lowers_the_rate_by_a_few_calls_at_most(gone_s):
    """Pieces wait all the time; the rate is still over a third, and soon as before."""
    rate = ServiceRate()
    end = 0
    for number in range(10):
        end = number * 0.4
        rate.sent(32, end, has_backlog=True, full_call_s=0.4)
    rate.sent(32, end + gone_s, has_backlog=True, full_call_s=0.4)
    assert 80 / 3 < rate.per_s < 80
    for number in range(1, 11):
        rate.sent(32, end + gone_s + number * 0.4, has_backlog=True, full_call_s=0.4)
    assert rate.per_s == pytest.approx(80, rel=0.1)
