"""Refusals of dispatches by server status and time, and the actor's replies."""

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
    ConfigurationChanged,
    Drain,
    SubmitDispatch,
)
from ringseam.agent.serverstatus import (
    Announcement,
    ServerEstimates,
    ServerStatus,
    time_refusal,
)
from ringseam.clock import PausedClock
from ringseam.config import Configuration, read_part
from ringseam.messages import RefusalReason, StageDone, StageFailed, StageNotRun, Ticket
from ringseam.node import Node
from ringseam.util.actors import ActorRequest
from tests.conftest import PART_FILE
from tests.test_agent.test_agent_execution import dispatch

STALE_GRACE_S = 3
ANNOUNCE_LOST_S = 2
DISPATCH = msgspec.structs.replace(
    dispatch(repeatable=True),
    account='demo/inspector',
    pipeline='demo/two',
    stage='demo/read',
    pool='demo/readers',
)


def configuration(text=PART_FILE, revision=5):
    return Configuration(revision=revision, parts={'demo': read_part(text, path='p')})


def new_status(text=PART_FILE, **own):
    status = ServerStatus(agent='me', stale_grace_s=STALE_GRACE_S, announce_lost_s=ANNOUNCE_LOST_S)
    status.reconfigure(configuration(text), 0)
    status.announcement = Announcement(address='10.0.0.1:1', pool='demo/readers', **own)
    status.announced_at = 0
    return status


DRAINED = PART_FILE.replace('[pool readers]', '[pool readers]\ndrain = other, me')
CASES = (
    ('served', new_status, DISPATCH, 5, 0, None),
    ('drained by file', lambda: new_status(DRAINED), DISPATCH, 5, 0, RefusalReason.draining),
    ('server leaves', lambda: new_status(leaving=True), DISPATCH, 5, 0, RefusalReason.draining),
    ('silent server', new_status, DISPATCH, 5, ANNOUNCE_LOST_S + 0.1, RefusalReason.no_server),
    ('older within the grace', new_status, DISPATCH, 4, STALE_GRACE_S - 1.5, None),
    (
        'another pool',
        new_status,
        msgspec.structs.replace(DISPATCH, pool='demo/signals'),
        5,
        0,
        RefusalReason.no_server,
    ),
    (
        'no grant',
        new_status,
        msgspec.structs.replace(DISPATCH, pipeline='other/two'),
        5,
        0,
        RefusalReason.pool_not_granted,
    ),
)


@pytest.mark.parametrize(
    ('make', 'submitted', 'revision', 'now', 'reason'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_refusals(make, submitted, revision, now, reason):
    assert make().refusal_reason(submitted, revision, now) is reason


def test_older_revision_is_refused_after_the_grace():
    status = new_status()
    status.announced_at = STALE_GRACE_S + 1
    assert status.refusal_reason(DISPATCH, 4, STALE_GRACE_S + 1) is RefusalReason.stale_revision
    assert status.refusal_reason(DISPATCH, 5, STALE_GRACE_S + 1) is None
    assert status.refusal_reason(DISPATCH, 6, STALE_GRACE_S + 1) is None


def test_number_of_remembered_revisions_is_limited():
    status = new_status()
    for revision in range(6, 1000):
        status.reconfigure(configuration(revision=revision), revision)
    assert len(status.revision_times) < 100


TIME_REFUSALS = (
    ('in time', 10, 50, None),
    ('long queue', 300, 50, RefusalReason.queue_full),
    ('too slow', 0, 1001, RefusalReason.deadline),
)


@pytest.mark.parametrize(
    ('wait_ms', 'cost_ms', 'reason'),
    [case[1:] for case in TIME_REFUSALS],
    ids=[case[0] for case in TIME_REFUSALS],
)
def test_time_refusal(wait_ms, cost_ms, reason):
    pool = configuration().pool('demo/readers')
    assert time_refusal(DISPATCH, pool, wait_ms, cost_ms) is reason


def test_failures_do_not_change_the_estimates():
    estimates = ServerEstimates(queue=FairQueue())
    estimates.record('s', StageFailed(detail='', server_ms=1, status=500))
    assert estimates.service_ms == 0


class ReplyWaiter:
    """Receives a reply for which a test waits."""

    def __init__(self):
        self.arrived = threading.Event()
        self.reply = None

    def send(self, reply):
        self.reply = reply
        self.arrived.set()

    def get(self):
        assert self.arrived.wait(10)
        return self.reply


class BlockingAdapter(Adapter):
    """An adapter whose executions finish when the test sets ``release``."""

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
    server_actor = ServerActor.start(
        node=node,
        queue='fair',
        shed=True,
        threads=4,
        retention_s=600,
        stale_grace_s=STALE_GRACE_S,
        announce_lost_s=ANNOUNCE_LOST_S,
    )
    BlockingAdapter.release.clear()
    text = PART_FILE.replace('[pool readers]', '[pool readers]\nmax_in_flight = 1')
    server_actor.tell(ConfigurationChanged(configuration=configuration(text)))
    server_actor.tell(Announcement(address='127.0.0.1:1', pool='demo/readers', kind='held'))
    yield server_actor
    BlockingAdapter.release.set()
    server_actor.stop()


def submit(actor, request):
    waiter = ReplyWaiter()
    submitted = msgspec.structs.replace(
        DISPATCH, request_id=request, ticket=Ticket(incarnation='i', sequence=0)
    )
    actor.tell(ActorRequest(body=SubmitDispatch(dispatch=submitted, revision=5), reply_to=waiter))
    return waiter


def test_queued_work_is_answered_when_its_pool_is_removed(actor):
    running, queued = submit(actor, 'r1'), submit(actor, 'r2')
    other = '[part]\nname = demo\noperator_token_sha256 = ' + 'a' * 64 + '\n'
    actor.tell(ConfigurationChanged(configuration=configuration(other, revision=6)))
    BlockingAdapter.release.set()
    assert isinstance(running.get().reply, StageDone)
    dispatch_reply = queued.get()
    assert isinstance(dispatch_reply.reply, StageNotRun)
    assert dispatch_reply.reply.reason is RefusalReason.no_server


def test_drain_lets_queued_work_end_and_refuses_new(actor):
    first, second, idle = submit(actor, 'r1'), submit(actor, 'r2'), ReplyWaiter()
    actor.tell(ActorRequest(body=Drain(), reply_to=idle))
    refused = submit(actor, 'r3').get()
    assert refused.reply.reason is RefusalReason.draining
    assert refused.state.draining
    assert not idle.arrived.is_set()
    BlockingAdapter.release.set()
    assert isinstance(first.get().reply, StageDone)
    assert isinstance(second.get().reply, StageDone)
    assert idle.get()
