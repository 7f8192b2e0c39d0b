"""What a gateway publishes of its host, and its readiness check.

Guards against a load balancer that sends clients to a host which must refuse them, an operator
who can't see why, and a gateway without limits in its settings that behaves otherwise than
before.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest

from ringseam.backends import GatewayState
from ringseam.clock import PausedClock
from ringseam.events import Event
from ringseam.gateway.following import hostannouncing
from ringseam.gateway.hosts.budget import Holder
from ringseam.gateway.role import GatewayRole
from ringseam.hostcapacity import HostLoad, LoadLevel
from ringseam.settings import read_settings
from tests.gateways import SETTINGS, LocalGateway, ScriptedServer, http_response

LIMITS = 'host_cpu_share = 0.5\nhost_cores = 2\nhost_memory_mb = 40\nhost_descriptors = 64\n'
BOUND = 10_000_000
STEP_S = 0.1


async def answer(request, writer):
    writer.write(http_response(request))


class Host(LocalGateway):
    """A gateway whose clock the test advances in steps of its checks."""

    def __init__(self, key_file, clock, limits=LIMITS):
        text = SETTINGS.format(key=key_file) + limits
        self.role = GatewayRole(settings=read_settings('gateway', text, path='g.ini'))
        self.clock = self.role.node.clock = clock
        self.others = ()
        #: Whether the gateway reaches control.
        self.is_connected = True

    def pass_time(self, seconds, late_s=0.0):
        """Check as often as the role does; the directory returns each announcement."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.role.follower.is_connected = self.is_connected
            self.role.announcer.record(late_s)
            self.set_gateways(self.role.follower.state, *self.others)

    async def is_ready(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.ready_port)
        writer.write(b'GET /api/ready HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n')
        status = (await reader.read()).split()[1]
        writer.close()
        return status == b'200'


@pytest.fixture
def clock(monkeypatch):
    paused = PausedClock()
    monkeypatch.setattr(hostannouncing.time, 'process_time', lambda: 0.0)
    return paused


def other(name='g2', **more):
    return GatewayState(name=name, address=f'{name}:1', zone='a', **more)


def test_full_host_is_not_ready_until_it_has_room_again(key_file, clock, caplog):
    async def run():
        async with Host(key_file, clock) as host:
            host.add_server(await ScriptedServer(answer).start())
            host.others = (other(),)
            assert await host.is_ready()
            host.role.host.budget.count(Holder.client_responses, 9 * BOUND // 10)
            host.pass_time(0.5)
            assert await host.is_ready()
            host.pass_time(2)
            assert host.role.follower.state.full
            assert not await host.is_ready()
            host.role.host.budget.count(Holder.client_responses, -9 * BOUND // 10)
            host.pass_time(1.5)
            assert not await host.is_ready()
            host.pass_time(1)
            assert await host.is_ready()
            assert not host.role.follower.state.full

    with caplog.at_level(logging.INFO, logger='ringseam'):
        asyncio.run(run())
    numbers = [record.msg['event'] for record in caplog.records if isinstance(record.msg, dict)]
    wanted = [Event.host_out.number, Event.host_ready.number]
    assert [number for number in numbers if number in wanted] == wanted


def test_full_host_that_is_cut_from_control_is_ready(key_file, clock):
    async def run():
        async with Host(key_file, clock) as host:
            host.add_server(await ScriptedServer(answer).start())
            host.others = (other(),)
            host.role.host.budget.count(Holder.client_responses, 9 * BOUND // 10)
            host.pass_time(3)
            assert not await host.is_ready()
            host.is_connected = False
            host.pass_time(STEP_S)
            assert await host.is_ready()
            host.is_connected = True
            host.pass_time(2)
            assert not await host.is_ready()

    asyncio.run(run())


def test_full_host_stays_ready_while_half_of_its_zone_is_out(key_file, clock):
    async def run():
        async with Host(key_file, clock) as host:
            host.add_server(await ScriptedServer(answer).start())
            host.others = (other('g0', full=True),)
            host.role.host.budget.count(Holder.client_responses, 9 * BOUND // 10)
            host.pass_time(20)
            assert host.role.follower.state.full
            assert await host.is_ready()

    asyncio.run(run())


def test_host_is_full_by_its_connections(key_file, clock):
    async def run():
        async with Host(key_file, clock) as host:
            host.others = (other(),)
            host.pass_time(1)
            bound = host.role.host.descriptors.max_clients
            assert 0 < bound <= 40
            opened = [await asyncio.open_connection('127.0.0.1', host.port) for _ in range(bound)]
            await asyncio.sleep(0.05)
            host.pass_time(3)
            assert host.role.follower.state.full
            assert host.role.announcer.load.connections is LoadLevel.high
            for _, writer in opened:
                writer.close()

    asyncio.run(run())


def test_host_without_a_descriptor_left_stays_full(key_file, clock, monkeypatch, caplog):
    async def run():
        async with Host(key_file, clock) as host:
            host.others = (other(),)
            monkeypatch.setattr(hostannouncing, 'count_open_descriptors', lambda: 64)
            host.pass_time(3)
            assert host.role.follower.state.full
            monkeypatch.setattr(hostannouncing, 'count_open_descriptors', lambda: None)
            host.pass_time(5)
            assert host.role.host.descriptors.max_clients == 0
            assert host.role.follower.state.full
            assert caplog.text.count('not counted, 64 others') == 1
            monkeypatch.setattr(hostannouncing, 'count_open_descriptors', lambda: 10)
            host.pass_time(5)
            assert not host.role.follower.state.full

    with caplog.at_level(logging.WARNING, logger='ringseam'):
        asyncio.run(run())


def test_without_limits_nothing_is_published(key_file, clock):
    async def run():
        async with Host(key_file, clock, limits='') as host:
            host.add_server(await ScriptedServer(answer).start())
            host.others = (other(),)
            host.role.host.budget.count(Holder.client_responses, 10**9)
            before = host.role.follower.state
            host.pass_time(30, late_s=1)
            assert host.role.follower.state is not before
            assert msgspec.msgpack.encode(host.role.follower.state) == (
                msgspec.msgpack.encode(before)
            )
            assert host.role.announcer.load == HostLoad()
            assert await host.is_ready()

    asyncio.run(run())


def test_changed_load_changes_no_state_and_discards_no_owner(key_file, clock):
    """Guards against a push to all gateways, and a dispatch of all services, for each level."""

    async def run():
        async with Host(key_file, clock) as host:
            host.others = (other(),)
            host.pass_time(1)
            before = host.role.follower.state
            host.role.ownership.owner_of('crops')
            computed = dict(host.role.ownership.owners)
            assert computed
            host.pass_time(3, late_s=0.3)
            assert host.role.announcer.load.lag is LoadLevel.high
            assert host.role.follower.state == before
            host.role.ownership.refresh()
            assert host.role.ownership.owners == computed

    asyncio.run(run())


def test_lag_is_exported(key_file, clock):
    async def run():
        async with Host(key_file, clock) as host:
            host.pass_time(2, late_s=0.3)
            assert host.role.announcer.load.lag is LoadLevel.high
            page = host.role.metrics.render()
            assert 'ringseam_host_load{kind="lag"} 2' in page
            assert 'ringseam_event_loop_late_seconds 0.3' in page

    asyncio.run(run())
