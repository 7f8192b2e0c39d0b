"""Servers that were seen to have crashed, and sound ones that refused a connection."""

from __future__ import annotations

import pytest

from ringseam.backends import BackendReport
from ringseam.clock import MS_PER_S, PausedClock
from ringseam.followmessages import WatchUpdate
from ringseam.gateway.following.crashedservers import (
    REPORT_DELAY_S,
    STARTED_AFTER_S,
    STARTUP_S,
    CrashedServers,
)
from ringseam.gateway.following.crashmessages import CrashNotice
from ringseam.gateway.following.follower import Follower
from ringseam.lifetimes import BackendId, backend_id
from ringseam.node import Node
from ringseam.routes import ServiceName

#: After how long without a report the leader of these tests removes a server, seconds.
SILENCE_S = 6.0


def server(start_ms: int = 1000, software: str = 'v1') -> BackendReport:
    return BackendReport(
        instance=backend_id('a', start_ms),
        service=ServiceName('plain'),
        address='1.1.1.1:1',
        zone='z',
        sequence=1,
        software=software,
    )


SERVER = server()


def update(*, warm=True, silent=()):
    return WatchUpdate(
        epoch='e1', upto=1, whole=False, warm=warm, silent=silent, silence_s=SILENCE_S
    )


@pytest.fixture(name='follower')
def make_follower():
    clock = PausedClock()
    clock.advance(100)
    node = Node(name='g', role='gateway', address='g:1', secret=b'x', clock=clock)
    follower = Follower(node=node, client=None, addresses=('c:1',), on_change=lambda: None)
    follower.view.apply(SERVER)
    follower.apply(update())
    return follower


def refuse(follower, *, accepted_ms=0):
    follower.record_refused(SERVER.address, accepted_ms=accepted_ms)


def advance(follower, duration_s, *, warm=True):
    """Let time pass, at the end of which control still lists the server."""
    follower.node.clock.advance(duration_s)
    follower.apply(update(warm=warm))


def continuing(follower):
    """Return the servers that may continue a stream of the first version."""
    return follower.serving(SERVER.service, '', None, 'v1')


def test_only_the_lifetime_at_the_address_is_recorded(follower):
    follower.record_refused('1.1.1.1:2', accepted_ms=0)
    assert continuing(follower) == [SERVER]
    refuse(follower)
    assert continuing(follower) == []
    assert follower.serving(SERVER.service, '') == [SERVER]
    assert not follower.is_serving(SERVER, 'v1')
    assert follower.is_serving(SERVER)


# Fault: a crashed server was taken to run its old version while its last reports could count.
def test_crashed_server_continues_no_stream_while_control_may_list_it(follower):
    refuse(follower, accepted_ms=2000)
    advance(follower, SILENCE_S + REPORT_DELAY_S - 0.1)
    assert not continuing(follower)


# Fault: one refused connection kept a sound server from continuing streams for good.
def test_server_that_control_still_lists_continues_streams_again(follower):
    refuse(follower, accepted_ms=2000)
    advance(follower, SILENCE_S + REPORT_DELAY_S)
    assert continuing(follower) == [SERVER]


def test_leader_that_has_not_heard_of_all_servers_confirms_none(follower):
    refuse(follower)
    advance(follower, 2 * (SILENCE_S + REPORT_DELAY_S), warm=False)
    assert not continuing(follower)


# Fault: servers that report before they listen were kept from streams as crashed ones are.
@pytest.mark.parametrize('accepted_ms', [0, 'before its start'])
def test_server_that_does_not_listen_yet_continues_streams_soon(follower, accepted_ms):
    wall_ms = follower.node.clock.wall_ms()
    starting = server(start_ms=wall_ms - 500)
    follower.view.apply(starting)
    refuse(follower, accepted_ms=wall_ms - 1000 if accepted_ms else 0)
    assert not continuing(follower)
    advance(follower, STARTED_AFTER_S)
    assert continuing(follower) == [starting]


@pytest.mark.parametrize(
    ('age_s', 'accepted_before_s'), [(1, 0.5), (STARTUP_S, STARTUP_S + 1), (STARTUP_S, 0.5)]
)
def test_server_that_has_listened_or_had_the_time_to_has_crashed(
    follower, age_s, accepted_before_s
):
    wall_ms = follower.node.clock.wall_ms()
    follower.view.apply(server(start_ms=wall_ms - int(age_s * MS_PER_S)))
    refuse(follower, accepted_ms=wall_ms - int(accepted_before_s * MS_PER_S))
    advance(follower, STARTED_AFTER_S)
    assert not continuing(follower)


def test_next_lifetime_that_had_started_by_the_crash_continues_streams_soon(follower):
    refuse(follower, accepted_ms=2000)
    restarted = server(start_ms=follower.node.clock.wall_ms() - 1)
    follower.view.apply(restarted)
    assert not continuing(follower)
    advance(follower, STARTED_AFTER_S)
    assert continuing(follower) == [restarted]


def test_crashed_servers_are_bounded():
    crashed = CrashedServers(capacity=3)
    for number in range(1000):
        crashed.add(BackendId(f'a{number}#1'), number, wall_ms=number)
    assert list(crashed.seen) == ['a997', 'a998', 'a999']


# Fault: a late report of a lifetime that had crashed too counted as one of a new start.
def test_lifetimes_that_started_before_the_crash_have_ended():
    crashed = CrashedServers()
    crashed.add(BackendId('a#1000'), 0, wall_ms=3000)
    assert BackendId('a#1000') in crashed
    assert BackendId('a#2000') in crashed
    assert BackendId('a') in crashed
    assert BackendId('a#3001') not in crashed
    assert BackendId('b#1000') not in crashed


def test_server_whose_clock_is_ahead_has_ended_too():
    crashed = CrashedServers()
    crashed.add(BackendId('a#9000'), 0, wall_ms=3000)
    assert BackendId('a#9000') in crashed
    assert BackendId('a#9001') not in crashed


def test_notice_of_an_earlier_crash_changes_nothing():
    crashed = CrashedServers()
    crashed.add(BackendId('a#2000'), 5, wall_ms=3000)
    known = dict(crashed.seen)
    crashed.learn(CrashNotice(ended=BackendId('a#1000'), latest_start_ms=1500), 6)
    crashed.learn(CrashNotice(ended=BackendId('a#2000'), latest_start_ms=3100), 6)
    assert crashed.seen == known


def test_servers_that_may_just_be_starting_are_no_news_for_others():
    crashed = CrashedServers()
    assert not crashed.add(BackendId('a#1000'), 0, wall_ms=3000, has_listened=False)
    assert crashed.notices == ()
    assert crashed.add(BackendId('a#1000'), 0, wall_ms=3000)
    assert not crashed.add(BackendId('a#1000'), 0, wall_ms=3500)
    assert crashed.notices == (CrashNotice(ended=BackendId('a#1000'), latest_start_ms=3500),)
