"""Orders of an old agent after a new one's, to both kinds of engine."""

from __future__ import annotations

import asyncio
import threading

import pytest

from ringseam.agent.orders import FRESH_S, OrderGiver, OrderOutcome
from ringseam.clock import PausedClock
from ringseam.control.state import StateMachine, encode_command
from ringseam.errors import UnreachableError
from ringseam.standin.backend import Faults, Recorder, ServiceBackend
from ringseam.util.http import HttpServer


class FakeControl:
    """Commit commands to a state machine, as a healthy group would."""

    def __init__(self):
        self.machine = StateMachine()
        self.reached = True

    async def ask_leader(self, method, request, *, timeout_s):
        if not self.reached:
            raise UnreachableError('control is cut off')
        return self.machine.apply(encode_command(request.command))


@pytest.fixture(params=[True, False], ids=['checks tokens', 'ignores tokens'])
def engine(request):
    backend = ServiceBackend(
        faults=Faults(checks_fencing=request.param),
        recorder=Recorder(path=''),
        seed=1,
    )
    server = HttpServer(
        address=('127.0.0.1', 0),
        respond=backend.respond,
        threads=2,
        max_body_bytes=1000,
    )
    server.start()
    backend.address = f'127.0.0.1:{server.port}'
    yield backend
    server.stop()
    assert threading.active_count()


def giver(control, engine):
    return OrderGiver(control=control, clock=PausedClock(), server=engine.address)


def order(agent, *models):
    return asyncio.run(agent.load_models(models))


def test_old_agent_after_the_new_one(engine):
    control = FakeControl()
    old, new = giver(control, engine), giver(control, engine)
    assert order(old, 'a') is OrderOutcome.done
    assert order(new, 'b') is OrderOutcome.done
    assert order(old, 'a') is OrderOutcome.superseded
    assert engine.models == ('b',)


def test_frozen_between_check_and_order(engine):
    control = FakeControl()
    old = giver(control, engine)
    assert order(old, 'a') is OrderOutcome.done
    asked = old.clock.now()
    old.clock.advance(FRESH_S + 1)
    assert asyncio.run(old.send(('x',), asked)) is OrderOutcome.stale
    assert engine.models == ('a',)


def test_no_order_without_control(engine):
    control = FakeControl()
    agent = giver(control, engine)
    control.reached = False
    assert order(agent, 'a') is OrderOutcome.unreachable
    assert engine.models == ()


def test_checking_engine_refuses_an_old_number(engine):
    control = FakeControl()
    old, new = giver(control, engine), giver(control, engine)
    order(old, 'a')
    order(new, 'b')
    late = old.post(('a',))
    if engine.faults.checks_fencing:
        assert late is OrderOutcome.refused
        assert engine.models == ('b',)
    else:
        assert late is OrderOutcome.done  # why the agent must be the guard
