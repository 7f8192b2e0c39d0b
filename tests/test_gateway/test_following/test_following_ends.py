"""Detection of server crashes over links that lose packets.

A server crashes with requests in flight, and the reset, the refusal of the probe or the call to
the leader is lost. Each loss that is not recovered leaves one crash unreported, and three of
them let a content crash three more servers.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ringseam.backends import BackendReport
from ringseam.errors import UnreachableError
from ringseam.evidence import SAME_CRASH_TOLERANCE_S, RecentAnswers
from ringseam.gateway.following.ends import (
    PROBE_S,
    REPORT_RETRY_S,
    REPROBE_PAUSE_S,
    REPROBES,
    CrashReporter,
)
from ringseam.gateway.following.health import HealthTracker
from ringseam.lifetimes import BackendId
from ringseam.messages import Redirect
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from ringseam.quarantinemessages import EvidenceReply, Heard, Suspect
from ringseam.routes import ServiceName
from ringseam.web.client import ChannelError, RefusedError

SERVER = BackendReport(
    instance=BackendId('a#1'),
    service=ServiceName('s'),
    address='1.1.1.1:1',
    zone='z',
    sequence=1,
)
SUSPECT = Suspect(content='c', account='acme')
HEARD = EvidenceReply(reply=Heard())


class Pool:
    """Return scripted results of connection attempts; the last one repeats."""

    def __init__(self, *results):
        self.results = list(results)
        self.connect_count = 0

    async def connect(self, address, *, timeout_s):
        self.connect_count += 1
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if result == 'listens':
            return SimpleNamespace(close=lambda: None)
        raise {'refused': RefusedError, 'silent': ChannelError}[result](result, sent=False)


class Leader:
    """Return scripted replies; the last one repeats."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.ends = []

    async def call(self, address, method, message, *, timeout_s):
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if reply == 'lost':
            raise UnreachableError('lost')
        self.ends.append(message.ends)
        return SimpleNamespace(body=reply)


def reporter_of(clock, pool, leader, on_crash=lambda crash, at: None):
    return CrashReporter(
        node=Node(name='g', role='gateway', address='', secret=b's', clock=clock),
        client=leader,
        follower=SimpleNamespace(is_connected=True, leader='c1', epoch='e1', crash_listeners=[]),
        health=HealthTracker(),
        pool=pool,
        recent_answers=RecentAnswers(),
        on_crash=on_crash,
    )


def run_crash_check(pool, leader, seconds=5):
    """Return when a retry may continue, and the reporter some seconds later."""

    async def main(clock):
        reporter = reporter_of(clock, pool, leader)
        reporter.request_sent(SERVER, 'r1', SUSPECT)
        await reporter.check_crash(SERVER)
        retried_at = clock.now()
        reporter.request_finished(SERVER, 'r1')
        await run_ticks(clock, reporter, seconds)
        return retried_at, reporter

    return run_virtual(main)


async def run_ticks(clock, reporter, seconds):
    until = clock.now() + seconds
    while clock.now() < until:
        await asyncio.sleep(0.1)
        reporter.tick(clock.now())


@pytest.mark.parametrize('lost', range(REPROBES + 1))
def test_crash_is_reported_when_probes_are_lost(lost):
    leader = Leader(HEARD)
    retried_at, reporter = run_crash_check(Pool(*['silent'] * lost, 'refused'), leader)
    ((crash,),) = leader.ends
    assert crash.suspects == (SUSPECT,)
    assert crash.age_ms < SAME_CRASH_TOLERANCE_S * 1000
    assert retried_at < PROBE_S
    assert not reporter.reprobing


def test_host_that_never_answers_is_not_reported():
    pool = Pool('silent')
    leader = Leader(HEARD)
    run_crash_check(pool, leader)
    assert not leader.ends
    assert pool.connect_count == REPROBES + 1


def test_server_that_answers_after_a_lost_probe_has_not_crashed():
    leader = Leader(HEARD)
    run_crash_check(Pool('silent', 'listens'), leader)
    assert not leader.ends


def test_probes_of_one_crash_finish_before_another_may_be_reported():
    """A report that differs by more than SAME_CRASH_TOLERANCE_S counts as another crash."""
    assert REPROBES * (REPROBE_PAUSE_S + PROBE_S) < SAME_CRASH_TOLERANCE_S


def test_most_crashes_are_detected_when_three_packets_in_ten_are_lost():
    """The connection request and its refusal must both arrive."""
    rng = random.Random(1)

    def probe():
        return 'refused' if min(rng.random(), rng.random()) > 0.3 else 'silent'

    told = 0
    for _ in range(400):
        leader = Leader(HEARD)
        run_crash_check(Pool(*[probe() for _ in range(REPROBES + 1)], 'silent'), leader, seconds=1)
        told += len(leader.ends)
    assert told / 400 > 0.9


@pytest.mark.parametrize(
    'answer',
    ['lost', EvidenceReply(reply=Redirect(leader='c2'))],
    ids=['lost', 'redirect'],
)
def test_crash_that_the_leader_has_not_received_is_reported_again(answer):
    leader = Leader(answer, HEARD)
    _, reporter = run_crash_check(Pool('refused'), leader)
    ((crash,),) = leader.ends[-1:]
    assert crash.suspects == (SUSPECT,)
    assert crash.age_ms >= REPORT_RETRY_S * 1000
    assert all(crash.acknowledged for crash in reporter.observed)


def test_only_unacknowledged_crashes_are_reported_again():
    """The leader may have cleared a content since; reporting it again would raise new suspicion."""

    async def main(clock):
        leader = Leader(HEARD, 'lost', HEARD)
        reporter = reporter_of(clock, Pool('refused'), leader)
        for number in range(2):
            reporter.request_sent(SERVER, f'r{number}', Suspect(content=f'c{number}'))
            await reporter.check_crash(SERVER)
            await run_ticks(clock, reporter, 3)
        return leader.ends

    told = [[one.suspects[0].content for one in ends] for ends in run_virtual(main)]
    assert told == [['c0'], ['c1']]


def test_new_leader_receives_all_crashes_without_cleared_contents():
    async def main(clock):
        leader = Leader(HEARD)
        reporter = reporter_of(clock, Pool('refused'), leader)
        for content in ('bad', 'good'):
            reporter.request_sent(SERVER, content, Suspect(content=content))
        await reporter.check_crash(SERVER)
        reporter.clear_key('good', 'other version')
        reporter.clear_key('good', SERVER.software)
        reporter.leader_changed()
        await run_ticks(clock, reporter, 3)
        return leader.ends

    first, again = run_virtual(main)
    assert {one.content for one in first[0].suspects} == {'bad', 'good'}
    assert [one.content for one in again[0].suspects] == ['bad']


def test_acknowledged_crash_is_reported_once():
    leader = Leader(HEARD)
    run_crash_check(Pool('refused'), leader, seconds=10)
    assert len(leader.ends) == 1


def test_crash_behind_a_timeout_is_found_by_a_probe():
    """The reset is lost: streams are abandoned on a timeout, and no request waits for the probe."""

    async def main(clock):
        leader = Leader(HEARD)
        reporter = reporter_of(clock, Pool('refused'), leader)
        reporter.request_sent(SERVER, 'r1', SUSPECT)
        reporter.server_timed_out(SERVER.instance, SERVER)
        reporter.request_finished(SERVER, 'r1')
        await reporter.check_crash(SERVER)
        retried_at = clock.now()
        await run_ticks(clock, reporter, 2)
        return retried_at, leader.ends

    retried_at, ends = run_virtual(main)
    assert retried_at == 0
    assert [crash.suspects for (crash,) in ends] == [(SUSPECT,)]
