"""Orders to drain availability zones: acknowledged ones outlive the tolerated losses."""

import asyncio

import pytest

from ringseam.backends import GatewayState
from ringseam.commands import DrainZone, ZoneDrained
from ringseam.control.follow import FollowedState, FollowService
from ringseam.control.openinterface import OpenInterface
from ringseam.control.replicamessages import Leadership, NotLeading, Propose, ReadConfirmed
from ringseam.control.state import StateMachine, encode_command
from ringseam.envelopes import ReceivedMessage
from ringseam.errors import UnreachableError
from ringseam.followmessages import GroupNotReady, WatchRequest, ZoneOrder
from ringseam.gateway.following.follower import Follower
from ringseam.messages import Redirect
from ringseam.metrics import Metrics
from ringseam.node import Node
from ringseam.rpc import CallClient
from ringseam.web.server import HttpLimits, HttpServer
from ringseam.zones import DrainedZones
from tests.fakes import Network

LEADING = Leadership(term=3, leader='c1', can_serve=True, voters=5, members=('c1', 'c2'))
DRAIN = ZoneOrder(zone='a', drained=True)
RESTORE = ZoneOrder(zone='a', drained=False)


def submit_order(network, zone, *, drained):
    """Repeat an order until it is acknowledged, as an operator does."""
    reply = None

    def is_acknowledged():
        nonlocal reply
        if reply is None or isinstance(reply.sent, NotLeading):
            leader = network.leader()
            command = Propose(command=DrainZone(zone=zone, drained=drained))
            reply = network.ask(leader, command) if leader else None
        return reply is not None and isinstance(reply.sent, ZoneDrained)

    network.run_until(is_acknowledged)
    return reply.sent.change


def drained_zones(network):
    return network.await_leader().state_machine.state.zones.names


def test_orders_that_change_nothing_get_no_change_number():
    machine = StateMachine()
    changes = [
        machine.apply(encode_command(DrainZone(zone=zone, drained=is_drained))).change
        for zone, is_drained in (
            ('a', False),
            ('a', True),
            ('a', True),
            ('b', True),
            ('a', False),
            ('a', False),
        )
    ]
    assert changes == [0, 1, 1, 2, 3, 3]
    assert machine.state.zones == DrainedZones(change=3, names=('b',))


def test_snapshot_holds_drained_zones():
    machine = StateMachine()
    machine.apply(encode_command(DrainZone(zone='a', drained=True)))
    before = machine.watched_version
    again = StateMachine(snapshot=machine.snapshot())
    assert again.state.zones == machine.state.zones
    assert again.watched_version == before


def test_all_zones_are_drained_and_restored_twice():
    network = Network(count=3)
    network.await_leader()
    for zone in 'abcd':
        submit_order(network, zone, drained=True)
    assert drained_zones(network) == ('a', 'b', 'c', 'd')
    for zone in 'dacb':
        submit_order(network, zone, drained=False)
        submit_order(network, zone, drained=False)
    assert drained_zones(network) == ()


@pytest.mark.parametrize('seed', range(1, 6))
def test_acknowledged_orders_outlive_restarts_lost_disks_and_snapshots(seed):
    """All hosts restart, then two lose their disks in turn; the log is compacted before."""
    network = Network(count=5, seed=seed, snapshot_entries=5, target_voters=5)
    network.await_leader()
    submit_order(network, 'a', drained=True)
    submit_order(network, 'b', drained=True)
    network.apply_many(12)
    submit_order(network, 'a', drained=False)
    for address in list(network.hosts):
        network.restart(address)
    assert drained_zones(network) == ('b',)
    for address in sorted(network.hosts)[:2]:
        network.lose_disk(address)
        network.run(12)
        assert drained_zones(network) == ('b',)
    network.run(5)
    held = {replica.state_machine.state.zones.names for replica in network.running()}
    assert held == {('b',)}


@pytest.mark.parametrize('seed', range(1, 6))
def test_order_of_an_isolated_leader_does_not_revert_later_ones(seed):
    network = Network(count=3, seed=seed)
    isolated = network.await_leader().node.address
    network.isolate(isolated)
    unconfirmed = network.ask(
        network.hosts[isolated].replica, Propose(command=DrainZone(zone='a', drained=True))
    )
    network.run(3)
    submit_order(network, 'a', drained=True)
    submit_order(network, 'a', drained=False)
    network.cuts.clear()
    network.run(5)
    assert not isinstance(unconfirmed.sent, ZoneDrained)
    assert drained_zones(network) == ()


# -- the leader and its gateways ----------------------------------------------


class Host:
    """A control host whose log commits at once, or not at all."""

    def __init__(self, *, leadership=LEADING, commits=True):
        self.commits = commits
        self.state_machine = StateMachine()
        self.service = FollowService(
            node=Node(name='c1', role='control', address='c1', secret=b'x'),
            submit=self.submit,
            confirm_leadership=self.confirm_leadership,
            target_voters=5,
            report_interval_s=1.2,
        )
        self.service.update_leadership(leadership)

    async def submit(self, command):
        if not self.commits:
            return NotLeading()
        done = self.state_machine.apply(encode_command(command))
        self.service.update_state(FollowedState(zones=self.state_machine.state.zones))
        return done

    async def confirm_leadership(self):
        return ReadConfirmed(term=3) if self.commits else NotLeading()


def received(**fields):
    gateway = GatewayState(name='g1', address='1.1.1.1:1', zone='a')
    return ReceivedMessage('g1', '1.1.1.1:1', '', 0, WatchRequest(gateway=gateway, **fields))


def test_order_is_acknowledged_once_in_force_at_the_gateways():
    async def run():
        service = Host().service
        first = (await service.watch(received())).reply
        held = {'epoch': first.epoch, 'since': first.upto}
        watching = asyncio.ensure_future(service.watch(received(**held)))
        await asyncio.sleep(0.01)
        ordering = asyncio.ensure_future(service.zones.order(DRAIN))
        update = (await watching).reply
        assert update.zones == DrainedZones(change=1, names=('a',))
        assert not ordering.done()
        watching = asyncio.ensure_future(service.watch(received(zones=1, **held)))
        assert await ordering == update.zones
        watching.cancel()

    asyncio.run(run())


def test_order_without_a_quorum_or_a_complete_group_is_not_acknowledged():
    async def run():
        for host, expected in (
            (Host(commits=False), Redirect),
            (Host(leadership=Leadership(term=3, leader='c2')), Redirect),
            (
                Host(leadership=Leadership(term=3, leader='c1', can_serve=True, voters=4)),
                GroupNotReady,
            ),
        ):
            assert isinstance(await host.service.zones.order(DRAIN), expected)
            assert host.state_machine.state.zones == DrainedZones()
        assert isinstance(await Host(commits=False).service.zones.read(), Redirect)

    asyncio.run(run())


def test_follower_ignores_older_orders():
    """A leader that was isolated still sends the older state."""

    async def run():
        node = Node(name='g1', role='gateway', address='', secret=b'x', zone='a')
        follower = Follower(
            node=node,
            client=CallClient(node=node),
            addresses=('c1',),
            on_change=lambda: None,
        )
        host = Host()
        update = (await host.service.watch(received())).reply
        await host.service.zones.order(DRAIN)
        newer = (await host.service.watch(received())).reply
        for received_update in (update, newer, update):
            follower.apply(received_update)
        assert follower.view.drained.names == ('a',)
        await host.service.zones.order(RESTORE)
        follower.apply((await host.service.watch(received())).reply)
        assert follower.view.drained.names == ()

    asyncio.run(run())


# -- the open interface ------------------------------------------------------


class NoLeader:
    """A control client that finds no leader."""

    async def call_leader(self, method, message, *, timeout_s):
        raise UnreachableError('no leader')


async def start_interface(host, zones=frozenset({'a', 'hall b'})):
    """Start the HTTP interface of a host; return its server and port."""
    interface = OpenInterface(
        node=host.service.node,
        follow_service=host.service,
        leader_client=NoLeader(),
        peer_addresses=list,
        metrics=Metrics(),
        document_bytes=1000,
        zones=zones,
    )
    server = HttpServer(handler=interface.handle, limits=HttpLimits())
    return server, await server.start('127.0.0.1', 0)


async def send_request(host, raw_request, **interface_options):
    """Return the status with which a host answers a raw HTTP request."""
    server, port = await start_interface(host, **interface_options)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw_request.encode())
    raw = await reader.readuntil(b'\r\n')
    writer.close()
    await server.close()
    return int(raw.split()[1])


@pytest.mark.parametrize(
    ('line', 'body', 'status'),
    [
        ('POST /api/evacuate/a', '', 200),
        ('DELETE /api/evacuate/a', '', 200),
        ('POST /api/evacuate/hall%20b', '', 200),
        ('POST /api/evacuate/c', '', 404),
        ('DELETE /api/evacuate/c', '', 404),
        ('POST /api/evacuate/a', '{}', 400),
        ('POST /api/evacuate/%zz', '', 400),
        ('POST /api/evacuate/', '', 400),
        ('PUT /api/evacuate/a', '', 405),
    ],
)
def test_open_interface_answers_orders(line, body, status):
    host = Host()
    raw_request = f'{line} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n{body}'
    assert asyncio.run(send_request(host, raw_request)) == status
    changed = host.state_machine.state.zones.change
    assert changed == int(status == 200 and line.startswith('POST'))


def test_open_interface_without_known_zones_accepts_any():
    raw_request = 'POST /api/evacuate/c HTTP/1.1\r\nHost: c\r\n\r\n'
    assert asyncio.run(send_request(Host(), raw_request, zones=frozenset())) == 200


def test_order_that_cannot_be_committed_is_answered_with_503():
    """Operators retry after a 503; a 4xx would make them give up."""
    raw_request = 'POST /api/evacuate/a HTTP/1.1\r\nHost: c\r\n\r\n'
    assert asyncio.run(send_request(Host(commits=False), raw_request)) == 503


def test_order_whose_sender_has_disconnected_is_dropped():
    """After a stall of the host, the order and its sender's disconnect arrive together."""

    async def run():
        host = Host()
        server, port = await start_interface(host)
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'POST /api/evacuate/a HTTP/1.1\r\nHost: c\r\n\r\n')
        writer.close()
        await asyncio.sleep(0.1)
        await server.close()
        return host.state_machine.state.zones.change

    assert asyncio.run(run()) == 0
