"""Two owners of one service at once, while the views of gateways differ.

Guards against a piece that runs twice because its service has moved: a job stays with the owner
that accepted it for as long as that gateway is present, and only a job whose owner is lost is
sent to the next one. New jobs go to the new owner, so that both decide for a while, each for
its own jobs.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from ringseam.backends import GatewayState
from ringseam.clock import PausedClock
from ringseam.gateway.following.ownership import Ownership
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.jobs import PieceJob
from ringseam.gateway.stages.messages import PieceReply
from ringseam.hostcapacity import HostCapacity
from ringseam.routes import ServiceName

CROPS = ServiceName('crops')
SHARES = [1.0] * 2 + [0.25] * 6


class FakeOwners:
    """Other gateways, which answer when the test says so; records what each was sent."""

    def __init__(self):
        self.sent = []
        self.answers = {}

    async def call(self, address, method, request, *, timeout_s):
        self.sent.append((address, request.attempt_id))
        return SimpleNamespace(body=await self.answers.setdefault(address, asyncio.Future()))

    def answer(self, address):
        self.answers[address].set_result(PieceReply(handles=(address,)))


class Client:
    """A gateway that is no owner, and the pieces that it sends."""

    def __init__(self):
        self.follower = SimpleNamespace(gateways=gateways())
        self.ownership = Ownership(follower=self.follower, name='observer')
        self.owners = FakeOwners()
        self.scheduler = SimpleNamespace(changed=asyncio.Event())
        self.pieces = PieceClient(
            clock=PausedClock(),
            client=self.owners,
            scheduler=self.scheduler,
            ownership=self.ownership,
        )

    def start(self, name):
        now = self.pieces.clock.now()
        job = PieceJob(
            attempt_id=name,
            service=CROPS,
            stage=0,
            pieces=(0,),
            key='k',
            inputs=(),
            due=now + 1,
            deadline=now + 10,
            rank=0,
            result_bytes=1,
        )
        return asyncio.ensure_future(self.pieces.run(job))

    async def see(self, states):
        """Learn of other gateways, as by a watch."""
        self.follower.gateways = states
        self.scheduler.changed.set()
        self.scheduler.changed = asyncio.Event()
        await settle()


def gateways(lost=(), **of_owner):
    return tuple(
        GatewayState(
            name=f'g{number}',
            address=f'g{number}:1',
            zone='z',
            capacity=HostCapacity(cpu_share=share, cores=1),
            **(of_owner if f'g{number}:1' == OWNER else {}),
        )
        for number, share in enumerate(SHARES)
        if f'g{number}:1' not in lost
    )


#: The owner of the service while all gateways are as usual.
OWNER = ''
OWNER = Ownership(follower=SimpleNamespace(gateways=gateways()), name='o').owner_of(CROPS)


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize('change', ['draining', 'busy'])
def test_job_stays_with_its_owner_while_new_ones_go_to_the_next(change):
    async def run():
        client = Client()
        first = client.start('first')
        await settle()
        await client.see(gateways(**{change: True}))
        second = client.start('second')
        await settle()
        (old, _), (new, _) = client.owners.sent
        assert [name for _, name in client.owners.sent] == ['first', 'second']
        assert (old, new != old) == (OWNER, True)
        client.owners.answer(new)
        client.owners.answer(old)
        assert [piece.handle for piece in await first] == [old]
        assert [piece.handle for piece in await second] == [new]
        assert len(client.owners.sent) == 2

    asyncio.run(run())


def test_job_of_a_lost_owner_runs_once_more_at_the_next():
    async def run():
        client = Client()
        job = client.start('first')
        await settle()
        await client.see(gateways(lost={OWNER}))
        assert len(client.owners.sent) == 2
        new = client.owners.sent[1][0]
        assert new != OWNER
        # The lost owner returns: the job stays where it is.
        await client.see(gateways())
        client.owners.answer(new)
        assert [piece.handle for piece in await job] == [new]
        assert len(client.owners.sent) == 2

    asyncio.run(run())
