"""An old agent's orders are stopped, whether or not the engine checks tokens."""

from __future__ import annotations

import asyncio
import threading

import pytest

from ringseam.agent.orders import MAX_CHECK_AGE_S, OrderOutcome, OrderSender
from ringseam.clock import PausedClock
from ringseam.control.state import StateMachine, encode_command
from ringseam.errors import UnreachableError
from ringseam.standin.backend import Faults, Recorder, ServiceBackend
from ringseam.util.http import BodyLimits, WsgiServer


class FakeControl:
    """Applies commands to a state machine, as a healthy control group does."""

    def __init__(self):
        self.state_machine = StateMachine()
        self.is_reachable = True

    async def call_leader(self, method, request, *, timeout_s):
        if not self.is_reachable:
            raise UnreachableError('control is unreachable')
        return self.state_machine.apply(encode_command(request.command))


@pytest.fixture(params=[True, False], ids=['checks tokens', 'ignores tokens'])
def engine(request):
    backend = ServiceBackend(
        faults=Faults(checks_fencing=request.param),
        recorder=Recorder(path=''),
        seed=1,
    )
    server = WsgiServer(
        address=('127.0.0.1', 0),
        respond=backend.respond,
        threads=2,
        bodies=BodyLimits(max_bytes=1000),
    )
    server.start()
    backend.address = f'127.0.0.1:{server.port}'
    yield backend
    server.stop()
    assert threading.active_count()


def new_sender(control, engine):
    return OrderSender(control=control, clock=PausedClock(), server=engine.address)


def load_models(sender, *models):
    return asyncio.run(sender.load_models(models))


def test_old_agent_is_superseded_by_the_new_one(engine):
    control = FakeControl()
    old, new = new_sender(control, engine), new_sender(control, engine)
    assert load_models(old, 'a') is OrderOutcome.done
    assert load_models(new, 'b') is OrderOutcome.done
    assert load_models(old, 'a') is OrderOutcome.superseded
    assert engine.models == ('b',)


def test_frozen_between_check_and_order(engine):
    control = FakeControl()
    old = new_sender(control, engine)
    assert load_models(old, 'a') is OrderOutcome.done
    checked_at = old.clock.now()
    old.clock.advance(MAX_CHECK_AGE_S + 1)
    assert asyncio.run(old.send_if_fresh(('x',), checked_at)) is OrderOutcome.stale
    assert engine.models == ('a',)


def test_no_order_without_control(engine):
    control = FakeControl()
    sender = new_sender(control, engine)
    control.is_reachable = False
    assert load_models(sender, 'a') is OrderOutcome.unreachable
    assert engine.models == ()


def test_checking_engine_refuses_an_old_token(engine):
    control = FakeControl()
    old, new = new_sender(control, engine), new_sender(control, engine)
    load_models(old, 'a')
    load_models(new, 'b')
    late = old.post(('a',))
    if engine.faults.checks_fencing:
        assert late is OrderOutcome.refused
        assert engine.models == ('b',)
    else:
        assert late is OrderOutcome.done  # so the agent has to check the token
