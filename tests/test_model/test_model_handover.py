"""A service whose owner changes, under more load than its servers can take.

Guards against a new owner that sends calls which are far from full, because it doesn't know what
waits elsewhere or what its predecessor has under way. Callers need full calls again within 1 s
of a planned move and 3 s of a loss: until then each second of overload is lost twice.
"""

from __future__ import annotations

import asyncio
import logging
import statistics

import msgspec
import pytest

from ringseam.model.experiment import Experiment
from ringseam.model.pattern import read_pattern
from ringseam.model.virtualtime import run_virtual

BATCH = 8
#: 8 servers take 174 pieces a second; 264 are asked for, two by each request.
PATTERN = f"""\
[pattern]
seconds = 14
zones = 3
gateways = 6

[service engine]
servers = 40
read_tokens_per_s = 64000
step_s = 0.0036
memory_tokens = 480000

[service reader]
servers = 8
batch = {BATCH}
call_s = 0.2
piece_s = 0.021
room_mb = 40

[route report]
service = engine
per_s = 132
priority = 0
objective_s = 1.8
timeout_s = 6
worth = 4
late_worth = 0.5
events = 5
prompt = 500

[stage report 0]
service = reader
pieces = 2
result_bytes = 10000
"""
MOVED_AT_S = 7.0
#: A control host removes a gateway that it hasn't heard from for this long, seconds.
UNNOTICED_S = 1.6
BEFORE_S = 2.5
AFTER_S = 2.0
#: Part of the fullness before that counts as full again.
LEAST = 0.9


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


class Run:
    """One run in which the owner of the stage service leaves, is killed, or falls silent."""

    def __init__(self, clock, seed, change):
        pattern = read_pattern(PATTERN, path='handover.ini')
        self.clock = clock
        self.experiment = Experiment(pattern=pattern, seed=seed, clock=clock)
        self.change = change
        #: When each call came to a server, with how many pieces.
        self.calls = []
        for server in self.experiment.servers.stages.values():
            self.watch(server)

    def watch(self, server):
        run = server.run

        async def counted(call):
            self.calls.append((self.clock.now() - self.began, len(call.pieces)))
            return await run(call)

        server.run = counted

    async def go(self):
        self.began = self.clock.now()
        moving = asyncio.ensure_future(self.move())
        await self.experiment.run()
        await moving
        return self

    async def move(self):
        await asyncio.sleep(MOVED_AT_S)
        (owner,) = (
            gateway
            for gateway in self.experiment.gateways
            if not gateway.pieces.ownership.owner_of('reader')
        )
        if self.change == 'planned':
            self.publish(msgspec.structs.replace(owner.state, draining=True))
        else:
            self.stop(owner)
            await asyncio.sleep(UNNOTICED_S)
            self.publish(None, without=owner)
        self.owner = owner

    def publish(self, changed, without=None):
        """Let all gateways see the new states; who owned nothing before isn't settled."""
        states = tuple(
            changed if changed is not None and changed.name == gateway.node.name else gateway.state
            for gateway in self.experiment.gateways
            if gateway is not without
        )
        for gateway in self.experiment.gateways:
            if gateway is not without:
                gateway.follower.gateways = states
                gateway.pieces.ownership.sole_since.clear()
                gateway.pieces.ownership.refresh()
                gateway.piece_scheduler.refresh()

    def stop(self, gateway):
        """Let a gateway neither send nor answer anything any more."""

        async def never(*ignored, **more):
            await asyncio.Event().wait()

        gateway.piece_scheduler.calls.run = never
        for key in list(self.experiment.network.handlers):
            if key[0] == gateway.node.address and self.change == 'killed':
                del self.experiment.network.handlers[key]
            elif key[0] == gateway.node.address:
                self.experiment.network.handlers[key] = never

    def fullness(self, begin, end):
        """Return the mean share of a batch in the calls of some time; 0 without calls."""
        counts = [n for at, n in self.calls if begin <= at < end]
        return statistics.mean(counts) / BATCH if counts else 0


@pytest.mark.parametrize(('change', 'within_s'), [('planned', 1), ('killed', 3), ('silent', 3)])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_full_calls_go_on_after_a_change_of_owner(change, within_s, seed):
    run = run_virtual(lambda clock: Run(clock, seed, change).go())
    before = run.fullness(MOVED_AT_S - BEFORE_S, MOVED_AT_S)
    after = run.fullness(MOVED_AT_S + within_s, MOVED_AT_S + within_s + AFTER_S)
    assert before > 0.9
    assert after >= LEAST * before
    own = [
        gateway
        for gateway in run.experiment.gateways
        if gateway is not run.owner and not gateway.pieces.ownership.owner_of('reader')
    ]
    assert len(own) == 1
