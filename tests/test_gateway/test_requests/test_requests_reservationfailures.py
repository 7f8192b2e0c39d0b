"""Reservations while gateways and messages are lost, one failure at a time, in virtual time.

Guards against a new owner that admits what others have reserved, against capacity that stays
reserved for a gateway that died or whose withdrawal was lost, and against gateways that end each
other's reservations.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from ringseam.errors import UnreachableError
from ringseam.gateway.requests.reservationclient import ReservationClient
from ringseam.gateway.reservations.messages import (
    RESERVE,
    WITHDRAW,
    ReserveRequest,
    StageDemand,
    WithdrawRequest,
)
from ringseam.gateway.reservations.work import StageKey
from ringseam.messages import Message
from ringseam.model.experiment import Experiment
from ringseam.model.pattern import read_pattern
from ringseam.model.virtualtime import run_virtual
from ringseam.routes import ServiceName
from ringseam.util.tasks import cancel_and_wait
from tests.test_gateway.test_requests.test_requests_reservedloads import PATTERN

SERVICE = ServiceName('crops')
STAGE = 0
#: Pieces of one reservation, and about how long the servers take for them, seconds.
PIECES = 60
TAKES_S = 1.5
#: Reservations of this test start so much later that none ends by itself within 2 s.
STARTS_MS = 4000
DUE_MS = 9000
FREE_AGAIN_S = 2.0


def demand_of(starts_ms, due_ms=DUE_MS):
    return StageDemand(
        stage=STAGE, service=SERVICE, pieces=PIECES, starts_ms=starts_ms, due_ms=due_ms
    )


class FaultyNetwork:
    """Loses or repeats the calls of some methods."""

    def __init__(self, network):
        self.network = network
        self.lost = set()
        self.repeated = set()

    async def call(self, address, method, message, *, timeout_s):
        if method in self.lost:
            raise UnreachableError('lost')
        reply = await self.network.call(address, method, message, timeout_s=timeout_s)
        if method in self.repeated:
            await self.network.call(address, method, message, timeout_s=timeout_s)
        return reply


class Cluster:
    """Gateways of the model, each with a client for reservations; no other load."""

    def __init__(self, clock):
        self.experiment = Experiment(
            pattern=read_pattern(PATTERN.format(seconds=1), path='p.ini'), seed=1, clock=clock
        )
        self.clock = clock
        self.network = FaultyNetwork(self.experiment.network)
        self.clients = {}
        self.set_gateways(self.experiment.gateways)
        for gateway in self.experiment.gateways:
            for report in self.experiment._reports():
                gateway.follower.view.apply(report)
            gateway.pieces.client = self.network
            self.clients[gateway] = ReservationClient(pieces=gateway.pieces)

    @property
    def owner(self):
        """Return the gateway that owns the service, as the others see it."""
        return next(
            gateway
            for gateway in self.experiment.gateways
            if not gateway.pieces.ownership.owner_of(SERVICE)
        )

    @property
    def others(self):
        return [gateway for gateway in self.experiment.gateways if gateway is not self.owner]

    def set_gateways(self, gateways, draining=None):
        states = tuple(
            msgspec.structs.replace(gateway.state, draining=gateway is draining)
            for gateway in gateways
        )
        for gateway in gateways:
            gateway.set_gateways(states)
            gateway.piece_scheduler.refresh()

    async def kill(self, gateway):
        """End a gateway: no message of it, none to it, and the others learn of it."""
        for task in list(self.clients[gateway].tasks.tasks):
            await cancel_and_wait(task)
        for address, path in list(self.experiment.network.handlers):
            if address == gateway.node.address:
                self.experiment.network.handlers.pop((address, path))
        self.experiment.gateways.remove(gateway)
        self.set_gateways(self.experiment.gateways)

    async def reserve(
        self, gateway, attempt_id='r', *, starts_ms=STARTS_MS, due_ms=DUE_MS, started=()
    ):
        """Reserve a stage, and return the wait that is forecast for it, seconds."""
        request = ReserveRequest(
            attempt_id=attempt_id,
            rank=1,
            demands=(demand_of(starts_ms, due_ms),),
        )
        forecasts = await self.clients[gateway].reserve(request, started)
        return forecasts[STAGE].wait_ms / 1000

    async def wait_of_another(self, *, starts_s=STARTS_MS / 1000):
        """Return what a request that would start with the reserved ones is told, seconds."""
        gateway = self.others[0]
        wait_s = await self.reserve(gateway, 'other', starts_ms=round(1000 * starts_s) + 50)
        self.clients[gateway].withdraw('other', {SERVICE})
        await asyncio.sleep(0.05)
        return wait_s

    def book_of(self, gateway):
        return gateway.piece_scheduler.state_of(SERVICE).book

    def asked_per_s(self, gateway):
        """Return both recent rates at which the service is asked for, pieces per second."""
        state = gateway.piece_scheduler.state_of(SERVICE)
        now = self.clock.now()
        return state.book.asked.per_s(now), state.batcher.throughput.asked.per_s(now)

    def reserved(self, gateway=None):
        """Return the requests whose reservations an owner counts."""
        owner = gateway or self.owner
        owner.pieces.reservations.expire()
        return {(key.gateway, key.attempt_id) for key in self.book_of(owner).reserved}


def in_cluster(test):
    """Run an asynchronous test in virtual time."""

    def run():
        async def main(clock):
            await test(Cluster(clock))

        run_virtual(main)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@in_cluster
async def test_new_owner_counts_reservations_after_the_owner_was_killed(cluster):
    holder = cluster.others[0]
    await cluster.reserve(holder)
    assert await cluster.wait_of_another() > TAKES_S / 2
    await cluster.kill(cluster.owner)
    assert not cluster.reserved()
    await asyncio.sleep(0.6)
    assert cluster.reserved() == {(holder.node.name, 'r')}
    assert await cluster.wait_of_another(starts_s=STARTS_MS / 1000 - 0.7) > TAKES_S / 2


@in_cluster
async def test_new_owner_counts_what_is_held_as_reserved_and_not_as_asked_for_now(cluster):
    """Else a change of owner would look like a burst, which leaves nothing to retries."""
    for number in range(5):
        await cluster.reserve(cluster.others[0], f'r{number}')
    assert cluster.asked_per_s(cluster.owner) != (0, 0)
    await cluster.kill(cluster.owner)
    await asyncio.sleep(0.6)
    assert len(cluster.reserved()) == 5
    assert cluster.asked_per_s(cluster.owner) == (0, 0)


@in_cluster
async def test_overdue_stage_is_counted_once_while_it_is_held(cluster):
    holder = cluster.others[0]
    await cluster.reserve(holder, starts_ms=100, due_ms=400)
    book = cluster.book_of(cluster.owner)
    await asyncio.sleep(6)
    assert cluster.reserved() == {(holder.node.name, 'r')}
    assert not book.ended
    assert sum(cluster.asked_per_s(cluster.owner)) < PIECES / 6


@in_cluster
async def test_reservations_move_to_the_new_owner_while_the_former_one_drains(cluster):
    former, holder = cluster.owner, cluster.others[0]
    await cluster.reserve(holder)
    cluster.set_gateways(cluster.experiment.gateways, draining=former)
    assert cluster.owner is not former
    await asyncio.sleep(FREE_AGAIN_S)
    assert cluster.reserved() == {(holder.node.name, 'r')}
    assert not cluster.reserved(former)


@in_cluster
async def test_reservations_of_the_killed_owner_itself_are_gone(cluster):
    await cluster.reserve(cluster.owner)
    await cluster.kill(cluster.owner)
    await asyncio.sleep(FREE_AGAIN_S)
    assert not cluster.reserved()


@in_cluster
async def test_reservations_of_a_killed_gateway_are_free_again_within_two_seconds(cluster):
    killed, alive = cluster.others[:2]
    await cluster.reserve(killed, 'lost')
    await cluster.reserve(alive, 'kept')
    await asyncio.sleep(1.2)
    await cluster.kill(killed)
    await asyncio.sleep(FREE_AGAIN_S)
    assert cluster.reserved() == {(alive.node.name, 'kept')}


@in_cluster
async def test_lost_withdrawal_leaves_nothing_reserved_for_more_than_two_seconds(cluster):
    holder = cluster.others[0]
    await cluster.reserve(holder)
    cluster.network.lost.add(WITHDRAW)
    cluster.clients[holder].withdraw('r', {SERVICE})
    await asyncio.sleep(FREE_AGAIN_S)
    assert not cluster.reserved()


@in_cluster
async def test_one_lost_renewal_ends_no_reservation(cluster):
    holder = cluster.others[0]
    await cluster.reserve(holder)
    await asyncio.sleep(0.4)
    cluster.network.lost.add(RESERVE)
    await asyncio.sleep(0.5)
    cluster.network.lost.clear()
    for _ in range(6):
        await asyncio.sleep(0.5)
        assert cluster.reserved() == {(holder.node.name, 'r')}


@in_cluster
async def test_message_that_comes_twice_reserves_once_and_ends_once(cluster):
    holder, other = cluster.others[:2]
    cluster.network.repeated.update((RESERVE, WITHDRAW))
    await cluster.reserve(holder)
    await cluster.reserve(other)
    await asyncio.sleep(1.1)
    assert cluster.book_of(cluster.owner).reserved_pieces == 2 * PIECES
    cluster.clients[holder].withdraw('r', {SERVICE})
    await asyncio.sleep(0.1)
    assert cluster.reserved() == {(other.node.name, 'r')}


@in_cluster
async def test_message_that_comes_again_after_the_pieces_reserves_nothing(cluster):
    holder = cluster.others[0]
    await cluster.reserve(holder)
    assert cluster.book_of(cluster.owner).arrive(StageKey('r', STAGE), cluster.clock.now())
    # The same message again, and renewals of a gateway that doesn't know of the arrival.
    await cluster.reserve(holder)
    await asyncio.sleep(1.1)
    assert not cluster.reserved()


@in_cluster
async def test_gateways_with_the_same_attempt_of_a_client_keep_their_own_reservations(cluster):
    """A client, or two with one ID, sends an attempt to two gateways; one refuses it."""
    first, second = cluster.others[:2]
    await cluster.reserve(first)
    await cluster.reserve(second)
    assert len(cluster.reserved()) == 2
    cluster.clients[first].withdraw('r', {SERVICE})
    await asyncio.sleep(0.1)
    assert cluster.reserved() == {(second.node.name, 'r')}


class FormerMessage(Message, frozen=True, kw_only=True):
    """The withdrawal of the former version."""

    attempt_id: str
    services: tuple[ServiceName, ...] = ()


def test_owner_of_the_former_version_is_told_the_plain_id_of_the_attempt():
    message = WithdrawRequest(gateway='g1', attempt_id='r', services=(SERVICE,))
    former = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=FormerMessage)
    assert former == FormerMessage(attempt_id='r', services=(SERVICE,))


@in_cluster
async def test_gateway_of_the_former_version_withdraws_what_it_reserved(cluster):
    """Neither of its messages names the gateway; a reservation of another one stays."""
    holder, owner = cluster.others[0], cluster.owner
    await cluster.reserve(holder)
    owner.pieces.reservations.reserve(
        ReserveRequest(attempt_id='r', rank=1, demands=(demand_of(STARTS_MS),))
    )
    assert cluster.reserved() == {(holder.node.name, 'r'), ('', 'r')}
    former = FormerMessage(attempt_id='r', services=(SERVICE,))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=WithdrawRequest)
    await cluster.network.call(owner.node.address, WITHDRAW, received, timeout_s=1)
    assert cluster.reserved() == {(holder.node.name, 'r')}


@in_cluster
async def test_arrival_at_one_of_two_gateways_uses_one_reservation(cluster):
    first, second = cluster.others[:2]
    await cluster.reserve(first)
    await cluster.reserve(second)
    book = cluster.book_of(cluster.owner)
    assert book.arrive(StageKey('r', STAGE), cluster.clock.now())
    assert len(cluster.reserved()) == 1
    assert book.arrive(StageKey('r', STAGE), cluster.clock.now())
    assert not book.arrive(StageKey('r', STAGE), cluster.clock.now())


@in_cluster
async def test_withdrawal_at_the_own_owner_is_not_overtaken_by_a_renewal(cluster):
    """The request ends between the turn of the renewals and any task that they start."""
    owner = cluster.owner
    client, reservations = cluster.clients[owner], owner.pieces.reservations
    await cluster.reserve(owner)
    by_owner = client.held.by_owner
    withdrawn = []

    def withdraw_after(owner_of, now):
        loop = asyncio.get_running_loop()
        loop.call_soon(client.withdraw, 'r', {SERVICE})
        loop.call_soon(withdrawn.append, now)
        return by_owner(owner_of, now)

    client.held.by_owner = withdraw_after
    await asyncio.sleep(0.7)
    assert withdrawn
    assert reservations is client.own
    assert not cluster.reserved()


@in_cluster
async def test_renewals_end_when_nothing_is_held(cluster):
    holder = cluster.others[0]
    started = set()
    await cluster.reserve(holder, started=started)
    started.add(STAGE)
    await asyncio.sleep(FREE_AGAIN_S)
    assert not cluster.reserved()
    cluster.clients[holder].withdraw('r', ())
    await asyncio.sleep(0.6)
    assert not cluster.clients[holder].tasks.tasks


@pytest.mark.parametrize('late_s', [0.5, 3.0])
def test_stage_that_is_delayed_stays_reserved_until_its_pieces_come(late_s):
    """The stages before it take longer than forecast, as in a burst."""

    async def main(clock):
        cluster = Cluster(clock)
        holder = cluster.others[0]
        await cluster.reserve(holder, starts_ms=500)
        await asyncio.sleep(0.5 + late_s)
        assert cluster.reserved() == {(holder.node.name, 'r')}

    run_virtual(main)
