"""Contents that end the servers beside agents, as an entry sees it.

The load: a caller asks for the same body under new keys, again and again; each run ends
the backend server, and the agent says so.
"""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from ringseam.agent.adapters import ServiceAdapter
from ringseam.agent.execution import Admitted
from ringseam.clock import PausedClock
from ringseam.entry.guard import ContentGuard
from ringseam.messages import StageUnknown
from ringseam.node import Node
from ringseam.quarantine import REPORT_SETTLE_S, TrialState
from tests.test_entry.test_entry_claims import Entry, World

ENDING = b'ends its server'


class EndingWorld(World):
    """An agent whose server ends under one body, and is back for the next ask."""

    def __init__(self, ended=True):
        super().__init__()
        self.ended = ended

    def dispatch(self, dispatch):
        if dispatch.body != ENDING:
            return super().dispatch(dispatch)
        decision = self.table.decide(dispatch, self.clock.now())
        if not isinstance(decision, Admitted):
            return decision.reply
        self.table.start(decision.execution, self.clock.now())
        self.runs += 1
        reply = StageUnknown(detail='connection lost', server_ended=self.ended)
        self.table.finish(decision.execution, reply, self.clock.now())
        return reply


async def ask_often(world, body, times):
    entry = Entry(world)
    outcomes = []
    for number in range(times):
        outcomes.append(await entry.ask(body, key=f'{body}-{number}'))
        world.clock.advance(1 + REPORT_SETTLE_S)
    return outcomes


def test_content_ends_three_servers_and_is_rejected():
    world = EndingWorld()
    outcomes = asyncio.run(ask_often(world, ENDING, 8))
    assert outcomes == ['unknown'] * 3 + ['rejected'] * 5
    assert world.runs == 3


def test_lost_answer_of_a_server_that_goes_on_blames_nobody():
    world = EndingWorld(ended=False)
    assert asyncio.run(ask_often(world, ENDING, 8)) == ['unknown'] * 8


def test_others_are_served_meanwhile():
    async def run():
        world = EndingWorld()
        await ask_often(world, ENDING, 5)
        return await Entry(world).ask(b'carton', key='other')

    assert asyncio.run(run()) == 'completed'


def test_key_that_may_have_run_is_told_so_after_the_verdict():
    """A rejection says that nothing ran; of this key that isn't known."""

    async def run():
        world = EndingWorld()
        entry = Entry(world)
        for number in range(3):
            await entry.ask(ENDING, key=f'k{number}')
            world.clock.advance(1 + REPORT_SETTLE_S)
        assert await entry.ask(ENDING, key='new') == 'rejected'
        return await entry.ask(ENDING, key='k0')

    assert asyncio.run(run()) == 'unknown'


def test_run_on_trial_whose_server_ends_is_not_tried_at_another_agent():
    """Its third end is told by then; a retry would only cost a fourth server."""
    clock = PausedClock(start=1)
    guard = ContentGuard(node=Node(name='e', role='entry', address='', secret=b's', clock=clock))
    stage = SimpleNamespace(pool='demo/signals', model='m1')
    ended = StageUnknown(detail='connection lost', server_ended=True)
    known = {'content_id': 'c', 'account': SimpleNamespace(name='acme'), 'left_s': lambda _: 5}
    for server in 'abc':
        ask = SimpleNamespace(**known, on_trial=False)
        assert guard.admit(ask) is TrialState.granted
        guard.note(ask, stage, SimpleNamespace(name=server), ended)
        if server != 'c':
            clock.advance(2 * REPORT_SETTLE_S)
    assert guard.admit(ask) is TrialState.busy


@pytest.mark.parametrize('listens', [True, False])
def test_agent_tells_a_server_that_ended_from_a_broken_connection(listens):
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = f'127.0.0.1:{server.getsockname()[1]}'
        adapter = ServiceAdapter(address=address, connections=1)
        if listens:
            assert not adapter.refuses_connections()
    if not listens:
        assert adapter.refuses_connections()
