"""Who may run what on a server, as a table; and the actor around it."""

from __future__ import annotations

import threading

import msgspec
import pytest

from ringseam.agent.adapters import Adapter
from ringseam.agent.queue import FairQueue
from ringseam.agent.server import (
    ServerActor,
)
from ringseam.agent.servermessages import (
    Drain,
    Offer,
    Reconfigured,
)
from ringseam.agent.standing import (
    Announcement,
    ServerEstimates,
    ServerStanding,
    time_refusal,
)
from ringseam.clock import PausedClock
from ringseam.config import Configuration, read_part
from ringseam.messages import RefusalReason, StageDone, StageFailed, StageNotRun, Ticket
from ringseam.node import Node
from ringseam.util.actors import Ask
from tests.conftest import PART_FILE
from tests.test_agent.test_agent_execution import dispatch

GRACE_S = 3
LOST_S = 2
SERVED = msgspec.structs.replace(
    dispatch(repeatable=True),
    account='demo/inspector',
    pipeline='demo/two',
    stage='demo/read',
    pool='demo/readers',
)


def configuration(text=PART_FILE, revision=5):
    return Configuration(revision=revision, parts={'demo': read_part(text, path='p')})


def standing(text=PART_FILE, **own):
    made = ServerStanding(agent='me', stale_grace_s=GRACE_S, announce_lost_s=LOST_S)
    made.reconfigure(configuration(text), 0)
    made.server = Announcement(address='10.0.0.1:1', pool='demo/readers', **own)
    made.announced = 0
    return made


DRAINED = PART_FILE.replace('[pool readers]', '[pool readers]\ndrain = other, me')
CASES = (
    ('served', standing, SERVED, 5, 0, None),
    ('drained by file', lambda: standing(DRAINED), SERVED, 5, 0, RefusalReason.draining),
    ('server leaves', lambda: standing(leaving=True), SERVED, 5, 0, RefusalReason.draining),
    ('silent server', standing, SERVED, 5, LOST_S + 0.1, RefusalReason.no_server),
    ('older within the grace', standing, SERVED, 4, GRACE_S - 1.5, None),
    (
        'another pool',
        standing,
        msgspec.structs.replace(SERVED, pool='demo/signals'),
        5,
        0,
        RefusalReason.no_server,
    ),
    (
        'no grant',
        standing,
        msgspec.structs.replace(SERVED, pipeline='other/two'),
        5,
        0,
        RefusalReason.unauthorised_pool,
    ),
)


@pytest.mark.parametrize(
    ('make', 'offered', 'revision', 'now', 'reason'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_refusals(make, offered, revision, now, reason):
    assert make().refusal(offered, revision, now) is reason


def test_older_revision_is_refused_after_the_grace():
    made = standing()
    made.announced = GRACE_S + 1
    assert made.refusal(SERVED, 4, GRACE_S + 1) is RefusalReason.stale_revision
    assert made.refusal(SERVED, 5, GRACE_S + 1) is None
    assert made.refusal(SERVED, 6, GRACE_S + 1) is None


def test_revisions_are_not_kept_for_ever():
    made = standing()
    for revision in range(6, 1000):
        made.reconfigure(configuration(revision=revision), revision)
    assert len(made.revisions) < 100


TIMES = (
    ('in time', 10, 50, None),
    ('long queue', 300, 50, RefusalReason.queue_full),
    ('too slow', 0, 1001, RefusalReason.deadline),
)


@pytest.mark.parametrize(
    ('wait_ms', 'cost_ms', 'reason'), [case[1:] for case in TIMES], ids=[c[0] for c in TIMES]
)
def test_time(wait_ms, cost_ms, reason):
    pool = configuration().pool('demo/readers')
    assert time_refusal(SERVED, pool, wait_ms, cost_ms) is reason


def test_failures_say_nothing_of_speed():
    estimates = ServerEstimates(queue=FairQueue())
    estimates.learn('s', StageFailed(detail='', server_ms=1, status=500))
    assert estimates.service_ms == 0


class Waiter:
    """A reply that a test waits for."""

    def __init__(self):
        self.arrived = threading.Event()
        self.reply = None

    def send(self, reply):
        self.reply = reply
        self.arrived.set()

    def get(self):
        assert self.arrived.wait(10)
        return self.reply


class HeldAdapter(Adapter):
    """An adapter whose executions end when the test says so."""

    kind = 'held'
    release = threading.Event()

    def attempt(self, call, started):
        assert self.release.wait(10)
        return StageDone(
            request_id=call.dispatch.request_id,
            stage=call.dispatch.stage,
            generation=call.dispatch.generation,
            content_type='t',
            body=b'',
            server_ms=1,
        )


@pytest.fixture
def actor():
    node = Node(
        name='me', role='agent', address='', secret=b'k', clock=PausedClock(), incarnation='i'
    )
    started = ServerActor.start(
        node=node,
        queue='fair',
        shed=True,
        threads=4,
        memory_s=600,
        stale_grace_s=GRACE_S,
        announce_lost_s=LOST_S,
    )
    HeldAdapter.release.clear()
    text = PART_FILE.replace('[pool readers]', '[pool readers]\nmax_in_flight = 1')
    started.tell(Reconfigured(configuration=configuration(text)))
    started.tell(Announcement(address='127.0.0.1:1', pool='demo/readers', kind='held'))
    yield started
    HeldAdapter.release.set()
    started.stop()


def offer(actor, request):
    waiter = Waiter()
    offered = msgspec.structs.replace(
        SERVED, request_id=request, ticket=Ticket(incarnation='i', sequence=0)
    )
    actor.tell(Ask(body=Offer(dispatch=offered, revision=5), reply_to=waiter))
    return waiter


def test_queued_work_is_answered_when_its_pool_is_removed(actor):
    running, queued = offer(actor, 'r1'), offer(actor, 'r2')
    other = '[part]\nname = demo\noperator_token_sha256 = ' + 'a' * 64 + '\n'
    actor.tell(Reconfigured(configuration=configuration(other, revision=6)))
    HeldAdapter.release.set()
    assert isinstance(running.get().reply, StageDone)
    word = queued.get()
    assert isinstance(word.reply, StageNotRun)
    assert word.reply.reason is RefusalReason.no_server


def test_drain_lets_queued_work_end_and_refuses_new(actor):
    first, second, idle = offer(actor, 'r1'), offer(actor, 'r2'), Waiter()
    actor.tell(Ask(body=Drain(), reply_to=idle))
    refused = offer(actor, 'r3').get()
    assert refused.reply.reason is RefusalReason.draining
    assert refused.state.draining
    assert not idle.arrived.is_set()
    HeldAdapter.release.set()
    assert isinstance(first.get().reply, StageDone)
    assert isinstance(second.get().reply, StageDone)
    assert idle.get()
