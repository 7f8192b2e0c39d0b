"""Notices of crashed servers: who tells whom, and how many calls that takes."""

from __future__ import annotations

import asyncio
import json

import pytest

from ringseam.backends import BackendReport, GatewayState
from ringseam.clock import PausedClock
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.gateway.following.crashmessages import CrashNotice
from ringseam.gateway.following.crashsharing import RELAYS, CrashSharing
from ringseam.gateway.following.follower import Follower
from ringseam.lifetimes import BackendId
from ringseam.node import Node
from ringseam.platform.manifest import decode_manifest
from ringseam.routes import ServiceName
from tests.gateways import manifest

SERVER = BackendReport(
    instance=BackendId('a#1000'),
    service=ServiceName('plain'),
    address='1.1.1.1:1',
    zone='z',
    sequence=1,
    software='v1',
)


class Network:
    """Calls between gateways in one process; ``lost`` gateways don't answer."""

    def __init__(self, count: int) -> None:
        self.calls = 0
        self.lost: set[str] = set()
        self.gateways = {f'g{number}': self.new_gateway(f'g{number}') for number in range(count)}
        states = tuple(GatewayState(name=name, address=name, zone='z') for name in self.gateways)
        for sharing in self.gateways.values():
            sharing.follower.gateways = states
            sharing.follower.view.apply(SERVER)

    def new_gateway(self, name: str) -> CrashSharing:
        node = Node(name=name, role='gateway', address=name, secret=b'x', clock=PausedClock())
        follower = Follower(node=node, client=None, addresses=(), on_change=lambda: None)
        follower.table = decode_manifest(manifest())
        return CrashSharing(node=node, client=self, follower=follower)

    async def call(self, address, method, message, *, timeout_s):
        self.calls += 1
        if address in self.lost:
            raise UnreachableError(address)
        received = ReceivedMessage(sender='', address='', group='', revision=0, body=message)
        return await self.gateways[address].serve(received)

    async def settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    @property
    def informed(self) -> set[str]:
        return {
            name
            for name, sharing in self.gateways.items()
            if SERVER.instance in sharing.follower.crashed
        }


async def crash(network, *observers):
    for name in observers:
        network.gateways[name].follower.record_refused(SERVER.address, accepted_ms=2000)
    await network.settle()


# Fault: a gateway without a connection to a server learnt of its crash from nobody.
@pytest.mark.parametrize('observer', range(12))
def test_crash_that_one_gateway_sees_is_known_to_all(observer):
    async def run():
        network = Network(12)
        await crash(network, f'g{observer}')
        assert network.informed == set(network.gateways)

    asyncio.run(run())


def test_calls_grow_with_the_number_of_gateways_and_not_with_its_square():
    async def run():
        network = Network(30)
        await crash(network, *network.gateways)
        assert network.informed == set(network.gateways)
        assert network.calls <= 2 * RELAYS * len(network.gateways)

    asyncio.run(run())


def test_loss_of_a_relay_keeps_no_notice_from_the_others():
    async def run():
        for lost in range(8):
            network = Network(8)
            network.lost = {f'g{lost}'}
            await crash(network, f'g{(lost + 1) % 8}')
            assert network.informed == set(network.gateways) - network.lost

    asyncio.run(run())


# A relay that has learnt of a crash in another way still passes the notice on.
def test_relay_that_knows_of_the_crash_passes_its_notice_on():
    async def run():
        network = Network(8)
        for sharing in network.gateways.values():
            sharing.follower.learn_crash(CrashNotice(ended=SERVER.instance, latest_start_ms=1000))
        network.gateways['g0'].follower.crashed.seen.clear()
        await crash(network, 'g0')
        assert network.calls >= len(network.gateways) - 1

    asyncio.run(run())


def test_crashes_of_services_without_streams_are_not_shared():
    async def run():
        network = Network(4)
        document = json.loads(manifest())
        document['routes'] = [one for one in document['routes'] if one['kind'] != 'stream']
        for sharing in network.gateways.values():
            sharing.follower.table = decode_manifest(json.dumps(document).encode())
        await crash(network, 'g0')
        assert network.calls == 0

    asyncio.run(run())
