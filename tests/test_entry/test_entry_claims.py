"""An entry is killed or frozen at each step of a request that must not run twice.

Two entries, the ledger and an agent's execution table are real; the network and the backend
server are fakes. The first entry stops at the given step, the second one then serves a request
with the same key, and finally the first one resumes if it was only frozen.
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
from ringseam.entry.guard import QuarantineGuard
from ringseam.entry.runs import CallerRequest, PipelineRunner
from ringseam.entry.state import EntryState
from ringseam.envelopes import ReceivedMessage
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
from ringseam.services import DISPATCH, TOMBSTONE
from tests.conftest import PART_FILE

AGENT = 'signaller'
RETENTION_S = 600


class DeadError(Exception):
    """The entry is killed at this step."""


class Cluster:
    """A ledger and an agent with its backend server, shared by several entries."""

    def __init__(self):
        self.clock = PausedClock(start=1)
        self.state_machine = StateMachine()
        self.restart_agent()
        self.executions = 0
        self.keeps_running = False

    def restart_agent(self):
        self.incarnation = f'incarnation-{self.clock.now()}'
        self.table = ExecutionTable(incarnation=self.incarnation, retention_s=RETENTION_S)
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
        self.executions += 1
        if self.keeps_running:
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


class StoppableEntry:
    """An entry that is killed or frozen when its calls reach the step ``stop_at``."""

    def __init__(self, cluster, stop_at='', freeze=False):
        self.cluster = cluster
        self.stop_at = stop_at
        self.freeze = freeze
        self.resumed = asyncio.Event()
        self.stopped = asyncio.Event()
        view = AgentView()
        view.merge('c', _delta(cluster.state()), 0)
        estimates = StageEstimates()
        part = read_part(PART_FILE, path='p')
        self.current = Configuration(revision=1, parts={'demo': part})
        node = Node(name='e', role='entry', address='', secret=b'k', clock=cluster.clock)
        self.runner = PipelineRunner(
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
                guard=QuarantineGuard(node=node),
            ),
        )

    async def reach(self, step):
        if step != self.stop_at:
            return
        self.stopped.set()
        if not self.freeze:
            raise DeadError(step)
        await self.resumed.wait()

    async def call_leader(self, method, request, *, timeout_s):
        command_name = type(request.command).__name__
        await self.reach(f'before {command_name}')
        outcome = self.cluster.state_machine.apply(encode_command(request.command))
        await self.reach(f'after {command_name}')
        return outcome

    async def call(self, address, method, message, *, timeout_s):
        if method is DISPATCH:
            await self.reach('before dispatch')
            reply = self.cluster.dispatch(message)
            await self.reach('after dispatch')
        else:
            assert method is TOMBSTONE
            reply = self.cluster.table.tombstone(message, self.cluster.clock.now())
        return ReceivedMessage('a', address, '', 1, DispatchReply(reply=reply))

    async def send_request(self, body=b'carton', key='k'):
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
            received_at=self.cluster.clock.now(),
        )
        try:
            return outcome_name(await self.runner.run(request))
        except DeadError:
            return 'dead'


def _delta(state):
    from ringseam.directorymessages import DirectoryDeltaReply

    return DirectoryDeltaReply(epoch='e', upto=1, whole=True, agents=(state,))


STOP_POINTS = (
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
    ('stop_point', 'second', 'first'), STOP_POINTS, ids=[case[0] for case in STOP_POINTS]
)
@pytest.mark.parametrize('freeze', [False, True], ids=['killed', 'frozen'])
def test_entry_stops_at(stop_point, second, first, freeze):
    async def run():
        cluster = Cluster()
        stopping, other = (
            StoppableEntry(cluster, stop_at=stop_point, freeze=freeze),
            StoppableEntry(cluster),
        )
        pending = asyncio.create_task(stopping.send_request())
        await stopping.stopped.wait()
        assert await other.send_request() == second
        assert cluster.executions == 1
        stopping.resumed.set()
        assert await pending == (first if freeze else 'dead')
        assert await StoppableEntry(cluster).send_request() == 'completed'
        assert cluster.executions == 1

    asyncio.run(asyncio.wait_for(run(), 10))


def test_execution_of_a_killed_entry_is_in_progress_for_its_successor():
    async def run():
        cluster = Cluster()
        cluster.keeps_running = True
        assert await StoppableEntry(cluster, stop_at='after dispatch').send_request() == 'dead'
        assert await StoppableEntry(cluster).send_request() == 'in-progress'
        assert cluster.executions == 1

    asyncio.run(run())


def test_agent_replaced_after_the_claim_is_unknown_for_good():
    async def run():
        cluster = Cluster()
        assert await StoppableEntry(cluster, stop_at='after dispatch').send_request() == 'dead'
        cluster.clock.advance(1)
        cluster.restart_agent()
        assert await StoppableEntry(cluster).send_request() == 'unknown'
        assert await StoppableEntry(cluster).send_request() == 'unknown'
        assert cluster.executions == 1

    asyncio.run(run())


def test_unreachable_agent_is_unknown_and_not_rerun():
    async def run():
        cluster = Cluster()
        assert await StoppableEntry(cluster, stop_at='after ClaimStage').send_request() == 'dead'
        partitioned = StoppableEntry(cluster)

        async def unreachable(*call, **named):
            raise UnreachableError('cut')

        partitioned.call = unreachable
        assert await partitioned.send_request() == 'unknown'
        assert cluster.executions == 0
        assert await StoppableEntry(cluster).send_request() == 'completed'
        assert cluster.executions == 1

    asyncio.run(run())


def test_entry_frozen_for_longer_than_the_agent_retains_executions():
    """The ticket predates what the agent retains: it is refused and the stage does not run."""

    async def run():
        cluster = Cluster()
        frozen = StoppableEntry(cluster, stop_at='before dispatch', freeze=True)
        pending = asyncio.create_task(frozen.send_request())
        await frozen.stopped.wait()
        for second in range(2, 2 * RETENTION_S, 10):
            cluster.clock.advance(10)
            cluster.table.record_sequence(second, cluster.clock.now())
            cluster.table.expire(cluster.clock.now())
        frozen.resumed.set()
        assert await pending in {'not-run', 'unknown', 'failed'}
        assert cluster.executions == 0

    asyncio.run(run())


def test_same_key_other_body_is_rejected():
    async def run():
        cluster = Cluster()
        assert await StoppableEntry(cluster).send_request() == 'completed'
        assert await StoppableEntry(cluster).send_request(b'another carton') == 'rejected'
        assert cluster.executions == 1

    asyncio.run(run())


def test_refusal_of_the_agent_is_not_run():
    async def run():
        cluster = Cluster()
        cluster.dispatch = lambda message: StageNotRun(reason=RefusalReason.declared_not_run)
        assert await StoppableEntry(cluster).send_request() == 'not-run'

    asyncio.run(run())
