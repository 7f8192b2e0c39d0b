"""How many requests all gateways together send to a rate-limited server."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId
from ringseam.gateway.following.limits import RateLimitTracker
from ringseam.gateway.following.pacing import Pacer

SERVER = BackendId('s0')
#: A limit is enforced from this long after its first announcement, seconds.
ENFORCED_AFTER_S = 3.0
WINDOW_S = 4.0


def allowed(per_s):
    return 1.5 * WINDOW_S * per_s + 5


def most_in_enforced_windows(times, announced_at):
    """Return the most requests in a window that ends once the limit is enforced."""
    ordered = sorted(times)
    return max(
        (
            sum(1 for other in ordered if at - WINDOW_S <= other <= at)
            for at in ordered
            if at >= announced_at + ENFORCED_AFTER_S
        ),
        default=0,
    )


def limited(per_s, now=0.0):
    tracker = RateLimitTracker()
    tracker.record(SERVER, per_s, now)
    return tracker


def send_all(pacer, times, *, peers=(), max_wait_s=0.0):
    """Send requests whose permits are available soon enough; return the send times."""
    sent = []
    for at in times:
        wait_s = pacer.limit_wait_s(SERVER, at, peers=peers)
        if wait_s <= max_wait_s:
            sent.append(at + pacer.reserve(SERVER, None, at, peers=peers))
    return sent


# A burst before the limit is announced and a steady overload after it.
@given(
    st.floats(0, 30),
    st.integers(0, 30),
    st.floats(0.3, 40),
    st.floats(0, 1),
)
def test_owner_keeps_a_limit_that_is_named_within_a_burst(per_s, before, rate, max_wait_s):
    pacer = Pacer(name='g')
    sent_before = [-1 + number / max(1, before) for number in range(before)]
    for at in sent_before:
        pacer.reserve(SERVER, None, at)
    pacer.limits.record(SERVER, per_s, 0)
    after = send_all(
        pacer, [number / rate for number in range(int(12 * rate))], max_wait_s=max_wait_s
    )
    # Requests sent before the announcement may exceed the bound on their own.
    bound = max(allowed(per_s), 0)
    late = [at for at in after if at >= ENFORCED_AFTER_S]
    for at in late:
        window = [other for other in sent_before + after if at - WINDOW_S <= other <= at]
        assert len(window) <= bound


@pytest.mark.parametrize('per_s', [0.2, 1, 5, 20])
def test_limit_is_fully_used_when_requests_may_wait(per_s):
    pacer = Pacer(name='g', limits=limited(per_s))
    times = [number / 100 for number in range(2000)]
    sent = send_all(pacer, times, max_wait_s=0.3)
    assert len(sent) >= 0.9 * 20 * max(per_s, 0.25)


# The rates of the owner and of the gateways that cannot reach it add up.
@pytest.mark.parametrize('gateways', [3, 30, 68, 300])
@pytest.mark.parametrize('per_s', [0, 0.2, 1, 20])
def test_owner_and_gateways_that_cannot_reach_it_stay_within_the_limit(gateways, per_s):
    rng = random.Random(gateways)
    gateway_names = frozenset(f'g{number}' for number in range(gateways))
    sent = []
    for name in gateway_names:
        pacer = Pacer(name=name, limits=limited(per_s))
        begin = rng.random()
        times = [begin + number / 10 for number in range(200)]
        sent.extend(send_all(pacer, times, peers=gateway_names, max_wait_s=0.5))
    owner = Pacer(name='g0', limits=limited(per_s))
    sent.extend(send_all(owner, [number / 50 for number in range(1000)], max_wait_s=0.5))
    assert most_in_enforced_windows(sent, 0) <= allowed(per_s)


def test_server_with_a_limit_near_zero_still_gets_occasional_requests():
    pacer = Pacer(name='g', limits=limited(0.0001))
    sent = send_all(pacer, [number / 10 for number in range(400)])
    assert 9 <= len(sent) <= 11


def test_latest_announcement_of_a_limit_wins():
    tracker = limited(2.0, now=10)
    tracker.merge(SERVER, None, stated_at=9, now=11)
    assert tracker.of(SERVER).per_s == 2
    tracker.merge(SERVER, None, stated_at=10.5, now=11)
    assert tracker.of(SERVER) is None
    tracker.merge(SERVER, 2.0, stated_at=10.2, now=12)
    assert tracker.of(SERVER) is None


def test_changed_limit_keeps_the_time_of_its_first_announcement():
    tracker = limited(2.0, now=10)
    tracker.record(SERVER, 3.0, 11)
    assert (tracker.of(SERVER).since, tracker.of(SERVER).per_s) == (10, 3)
    tracker.record(SERVER, None, 12)
    tracker.record(SERVER, 3.0, 13)
    assert tracker.of(SERVER).since == 13


def test_servers_that_are_gone_are_removed():
    pacer = Pacer(name='g', limits=limited(1.0))
    pacer.reserve(SERVER, None, 0)
    pacer.limits.keep_only(set())
    pacer.keep_only(set())
    assert (pacer.limits.by_server, pacer.recent_sends, pacer.last_send_at) == ({}, {}, {})
