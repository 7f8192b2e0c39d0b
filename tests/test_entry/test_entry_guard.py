"""Quarantine of contents that crash backend servers, as decided by an entry.

A caller repeatedly sends the same body under new keys. Each run crashes the backend server,
and the agent reports the crash.
"""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from ringseam.agent.adapters import ServiceAdapter
from ringseam.agent.execution import Admitted
from ringseam.attribution import REPORT_SETTLE_S
from ringseam.clock import PausedClock
from ringseam.entry.guard import QuarantineGuard
from ringseam.messages import StageUnknown
from ringseam.node import Node
from ringseam.quarantine import TrialState
from tests.test_entry.test_entry_claims import Cluster, StoppableEntry

CRASHING_BODY = b'ends its server'


class CrashingCluster(Cluster):
    """An agent whose server crashes on one body and has restarted by the next request."""

    def __init__(self, server_ended=True):
        super().__init__()
        self.server_ended = server_ended

    def dispatch(self, dispatch):
        if dispatch.body != CRASHING_BODY:
            return super().dispatch(dispatch)
        decision = self.table.decide(dispatch, self.clock.now())
        if not isinstance(decision, Admitted):
            return decision.reply
        self.table.start(decision.execution, self.clock.now())
        self.executions += 1
        reply = StageUnknown(detail='connection lost', server_ended=self.server_ended)
        self.table.finish(decision.execution, reply, self.clock.now())
        return reply


async def send_repeatedly(cluster, body, times):
    entry = StoppableEntry(cluster)
    outcomes = []
    for number in range(times):
        outcomes.append(await entry.send_request(body, key=f'{body}-{number}'))
        cluster.clock.advance(1 + REPORT_SETTLE_S)
    return outcomes


def test_content_is_rejected_after_it_crashed_three_servers():
    cluster = CrashingCluster()
    outcomes = asyncio.run(send_repeatedly(cluster, CRASHING_BODY, 8))
    assert outcomes == ['unknown'] * 3 + ['rejected'] * 5
    assert cluster.executions == 3


def test_lost_answer_of_a_running_server_is_no_evidence():
    cluster = CrashingCluster(server_ended=False)
    assert asyncio.run(send_repeatedly(cluster, CRASHING_BODY, 8)) == ['unknown'] * 8


def test_other_contents_are_served_after_the_verdict():
    async def run():
        cluster = CrashingCluster()
        await send_repeatedly(cluster, CRASHING_BODY, 5)
        return await StoppableEntry(cluster).send_request(b'carton', key='other')

    assert asyncio.run(run()) == 'completed'


def test_key_that_may_have_run_stays_unknown_after_the_verdict():
    """A rejection would claim that nothing ran, which is not known for this key."""

    async def run():
        cluster = CrashingCluster()
        entry = StoppableEntry(cluster)
        for number in range(3):
            await entry.send_request(CRASHING_BODY, key=f'k{number}')
            cluster.clock.advance(1 + REPORT_SETTLE_S)
        assert await entry.send_request(CRASHING_BODY, key='new') == 'rejected'
        return await entry.send_request(CRASHING_BODY, key='k0')

    assert asyncio.run(run()) == 'unknown'


def test_trial_run_whose_server_crashes_is_not_tried_at_another_agent():
    """The third crash is already recorded; a retry would only crash a fourth server."""
    clock = PausedClock(start=1)
    guard = QuarantineGuard(node=Node(name='e', role='entry', address='', secret=b's', clock=clock))
    stage = SimpleNamespace(pool='demo/signals', model='m1')
    crash_reply = StageUnknown(detail='connection lost', server_ended=True)
    common = {
        'content_id': 'c',
        'account': SimpleNamespace(name='acme'),
        'remaining_s': lambda _: 5,
    }
    for server in 'abc':
        context = SimpleNamespace(**common, is_trial_run=False)
        assert guard.admit(context) is TrialState.granted
        guard.record_reply(context, stage, SimpleNamespace(name=server), crash_reply)
        if server != 'c':
            clock.advance(2 * REPORT_SETTLE_S)
    assert guard.admit(context) is TrialState.busy


@pytest.mark.parametrize('listens', [True, False])
def test_agent_tells_a_crashed_server_from_a_broken_connection(listens):
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = f'127.0.0.1:{server.getsockname()[1]}'
        adapter = ServiceAdapter(address=address, connections=1)
        if listens:
            assert not adapter.refuses_connections()
    if not listens:
        assert adapter.refuses_connections()
