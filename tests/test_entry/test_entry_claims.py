"""An entry that dies or freezes at each instant of work that may not be repeated.

Two entries, one ledger and one agent's execution table, all real; only the
network and the server are fakes. A row of the table says where the first entry
stops; then the second entry asks with the same key, and then the first goes on
if it was only frozen.
"""

from __future__ import annotations

import asyncio

import pytest

from ringseam.admission import AdaptiveAdmission, StageEstimates
from ringseam.agent.execution import Admitted, Answered, ExecutionTable
from ringseam.clock import PausedClock
from ringseam.config import Account, Configuration, read_part
from ringseam.control.state import StateMachine, encode_command
from ringseam.costs import CostTotals
from ringseam.entry.guard import ContentGuard
from ringseam.entry.runs import CallerRequest, PipelineRuns
from ringseam.entry.state import EntryState
from ringseam.errors import UnreachableError
from ringseam.limits import AccountLimits
from ringseam.messages import (
    AgentState,
    DispatchReply,
    RefusalReason,
    StageDone,
    StageNotRun,
    StageRunning,
)
from ringseam.metrics import Metrics
from ringseam.node import Node
from ringseam.outcomes import outcome_name
from ringseam.retries import BudgetRetries
from ringseam.routing import AdaptiveRouter, AgentView
from ringseam.sealing import Received
from ringseam.services import DISPATCH, TOMBSTONE
from tests.conftest import PART_FILE

AGENT = 'signaller'
MEMORY_S = 600


class DeadError(Exception):
    """The entry was killed here."""


class World:
    """A ledger and an agent with its server, shared by entries."""

    def __init__(self):
        self.clock = PausedClock(start=1)
        self.machine = StateMachine()
        self.new_agent()
        self.runs = 0
        self.holding = False

    def new_agent(self):
        self.incarnation = f'incarnation-{self.clock.now()}'
        self.table = ExecutionTable(incarnation=self.incarnation, retention_s=MEMORY_S)
        self.table.record_sequence(1, self.clock.now())

    def state(self):
        return AgentState(
            name=AGENT,
            address='10.0.0.1:1',
            zone='',
            region='',
            incarnation=self.incarnation,
            sequence=1,
            pool='demo/signals',
            serving=True,
        )

    def dispatch(self, dispatch):
        decision = self.table.decide(dispatch, self.clock.now())
        if isinstance(decision, Answered):
            return decision.reply
        if not isinstance(decision, Admitted):
            return StageRunning()
        self.table.start(decision.execution, self.clock.now())
        self.runs += 1
        if self.holding:
            return StageRunning()
        reply = StageDone(
            request_id=dispatch.request_id,
            stage=dispatch.stage,
            generation=dispatch.generation,
            content_type='t',
            body=b'answer',
            server_ms=1,
        )
        self.table.finish(decision.execution, reply, self.clock.now())
        return reply


class Entry:
    """One entry whose calls can be stopped at an instant."""

    def __init__(self, world, stop_at='', freeze=False):
        self.world = world
        self.stop_at = stop_at
        self.freeze = freeze
        self.woken = asyncio.Event()
        self.stopped = asyncio.Event()
        view = AgentView()
        view.merge('c', _delta(world.state()), 0)
        estimates = StageEstimates()
        part = read_part(PART_FILE, path='p')
        self.current = Configuration(revision=1, parts={'demo': part})
        node = Node(name='e', role='entry', address='', secret=b'k', clock=world.clock)
        self.runs = PipelineRuns(
            state=EntryState(
                node=node,
                client=self,
                control=self,
                holder=self,
                view=view,
                router=AdaptiveRouter(seed=1),
                limits=AccountLimits(),
                retries=BudgetRetries(),
                estimates=estimates,
                admission=AdaptiveAdmission(estimates=estimates, view=view),
                costs=CostTotals(),
                metrics=Metrics(),
                guard=ContentGuard(node=node),
            ),
        )

    async def instant(self, name):
        if name != self.stop_at:
            return
        self.stopped.set()
        if not self.freeze:
            raise DeadError(name)
        await self.woken.wait()

    async def ask_leader(self, method, request, *, timeout_s):
        kind = type(request.command).__name__
        await self.instant(f'before {kind}')
        outcome = self.world.machine.apply(encode_command(request.command))
        await self.instant(f'after {kind}')
        return outcome

    async def call(self, address, method, message, *, timeout_s):
        if method is DISPATCH:
            await self.instant('before dispatch')
            reply = self.world.dispatch(message)
            await self.instant('after dispatch')
        else:
            assert method is TOMBSTONE
            reply = self.world.table.tombstone(message, self.world.clock.now())
        return Received('a', address, '', 1, DispatchReply(reply=reply))

    async def ask(self, body=b'carton', key='k'):
        request = CallerRequest(
            request_id=f'request-{id(self)}',
            account=Account(
                name='demo/inspector',
                token_sha256='',
                rate_per_s=1000,
                concurrency=100,
                weight=1,
            ),
            pipeline=self.current.pipeline('demo/signal'),
            key=key,
            timeout_ms=5000,
            content_type='t',
            body=body,
            received=self.world.clock.now(),
        )
        try:
            return outcome_name(await self.runs.run(request))
        except DeadError:
            return 'dead'


def _delta(state):
    from ringseam.deltas import DeltaReply

    return DeltaReply(epoch='e', upto=1, whole=True, agents=(state,))


INSTANTS = (
    ('before OpenRun', 'completed', 'completed'),
    ('after OpenRun', 'completed', 'completed'),
    ('before ClaimStage', 'completed', 'completed'),
    ('after ClaimStage', 'completed', 'completed'),
    ('before dispatch', 'completed', 'completed'),
    ('after dispatch', 'completed', 'completed'),
    ('before ConcludeStage', 'completed', 'completed'),
    ('after ConcludeStage', 'completed', 'completed'),
)


@pytest.mark.parametrize(
    ('instant', 'second', 'first'), INSTANTS, ids=[case[0] for case in INSTANTS]
)
@pytest.mark.parametrize('freeze', [False, True], ids=['killed', 'frozen'])
def test_entry_stops_at(instant, second, first, freeze):
    async def run():
        world = World()
        stopping, other = Entry(world, stop_at=instant, freeze=freeze), Entry(world)
        asked = asyncio.create_task(stopping.ask())
        await stopping.stopped.wait()
        assert await other.ask() == second
        assert world.runs == 1
        stopping.woken.set()
        assert await asked == (first if freeze else 'dead')
        assert await Entry(world).ask() == 'completed'
        assert world.runs == 1

    asyncio.run(asyncio.wait_for(run(), 10))


def test_running_for_a_dead_entry_is_in_progress_then_known():
    async def run():
        world = World()
        world.holding = True
        assert await Entry(world, stop_at='after dispatch').ask() == 'dead'
        assert await Entry(world).ask() == 'in-progress'
        assert world.runs == 1

    asyncio.run(run())


def test_agent_replaced_after_the_claim_is_unknown_for_good():
    async def run():
        world = World()
        assert await Entry(world, stop_at='after dispatch').ask() == 'dead'
        world.clock.advance(1)
        world.new_agent()
        assert await Entry(world).ask() == 'unknown'
        assert await Entry(world).ask() == 'unknown'
        assert world.runs == 1

    asyncio.run(run())


def test_agent_out_of_reach_is_unknown_and_not_rerun():
    async def run():
        world = World()
        assert await Entry(world, stop_at='after ClaimStage').ask() == 'dead'
        cut = Entry(world)

        async def unreachable(*call, **named):
            raise UnreachableError('cut')

        cut.call = unreachable
        assert await cut.ask() == 'unknown'
        assert world.runs == 0
        assert await Entry(world).ask() == 'completed'
        assert world.runs == 1

    asyncio.run(run())


def test_frozen_for_longer_than_the_agent_remembers():
    """The ticket is older than the agent's memory: refused, and truly not run."""

    async def run():
        world = World()
        frozen = Entry(world, stop_at='before dispatch', freeze=True)
        asked = asyncio.create_task(frozen.ask())
        await frozen.stopped.wait()
        for second in range(2, 2 * MEMORY_S, 10):
            world.clock.advance(10)
            world.table.record_sequence(second, world.clock.now())
            world.table.expire(world.clock.now())
        frozen.woken.set()
        assert await asked in {'not-run', 'unknown', 'failed'}
        assert world.runs == 0

    asyncio.run(run())


def test_same_key_other_body_is_rejected():
    async def run():
        world = World()
        assert await Entry(world).ask() == 'completed'
        assert await Entry(world).ask(b'another carton') == 'rejected'
        assert world.runs == 1

    asyncio.run(run())


def test_refusal_of_the_agent_is_not_run():
    async def run():
        world = World()
        world.dispatch = lambda message: StageNotRun(reason=RefusalReason.declared)
        assert await Entry(world).ask() == 'not-run'

    asyncio.run(run())
