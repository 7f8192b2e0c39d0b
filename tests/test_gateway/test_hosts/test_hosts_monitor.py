"""Clients that read slowly, on the smallest host.

Guards against a gateway that ends by its memory: a thousand clients that never read, clients
that read a byte a second or stop midway, bodies that arrive while much is held. And against
harm to others: clients that read get all of their response, and the least valuable requests
make room for the most valuable ones.
"""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import h11
import pytest

from ringseam.clock import PausedClock
from ringseam.gateway.hosts.budget import Holder
from ringseam.gateway.hosts.monitor import HostMonitor
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity
from ringseam.metrics import Metrics
from ringseam.node import Node
from ringseam.web import connection as web_connection
from ringseam.web import receiver as web_receiver
from ringseam.web import server as web_server
from ringseam.web.client import HttpChannel
from ringseam.web.server import HttpLimits, HttpServer

#: The smallest host: 160 MB, of which 40 MB may be held.
SMALLEST = HostCapacity(memory_bytes=160_000_000)
BOUND = 40_000_000
#: Bound and responses of the tests that need no large numbers.
TINY = HostCapacity(memory_bytes=400_000)
TINY_BOUND = 100_000


class FakeTransport:
    """A connection whose client reads only when the test says so."""

    def __init__(self, protocol):
        self.protocol = protocol
        self.size = 0
        self.received = 0
        self.high = 0
        self.closing = False
        self.aborted = False
        self.reading = True

    def set_write_buffer_limits(self, high):
        self.high = high

    def get_extra_info(self, name):
        return SimpleNamespace(setsockopt=lambda *option: None)

    def get_write_buffer_size(self):
        return self.size

    def is_closing(self):
        return self.closing

    def write(self, sent):
        self.size += len(sent)
        if self.size > self.high:
            self.protocol.pause_writing()

    def read(self, size):
        """Let the client read some bytes."""
        taken = min(size, self.size)
        self.size -= taken
        self.received += taken
        if self.size <= self.high // 4:
            self.protocol.resume_writing()

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def can_write_eof(self):
        return False

    def close(self):
        self.closing = True

    def abort(self):
        if not self.aborted:
            self.closing = self.aborted = True
            self.size = 0
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


class Gateway:
    """A host monitor over an HTTP server with fake connections."""

    def __init__(self, handler, capacity, monkeypatch):
        self.clock = PausedClock()
        for module in (web_connection, web_receiver, web_server):
            monkeypatch.setattr(module, 'boottime', self.clock.now)
        self.metrics = Metrics()
        node = Node(name='g1', role='gateway', address='', secret=b'x', clock=self.clock)
        self.monitor = HostMonitor(node=node, metrics=self.metrics, capacity=capacity)
        self.budget = self.monitor.budget
        self.server = HttpServer(handler=handler, limits=HttpLimits())
        self.monitor.watch(self.server)
        self.channels = []

    def connect(self):
        connection = self.server.admit_socket(None)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        return connection, transport

    def request(self, rank=0, body=b'', length=None):
        connection, transport = self.connect()
        length = len(body) if length is None else length
        head = f'POST / HTTP/1.1\r\nHost: h\r\nRank: {rank}\r\nContent-Length: {length}\r\n\r\n'
        connection.data_received(head.encode() + body)
        return connection, transport

    def open_channel(self):
        """Return a connection to a server that counts as those of the pool do."""
        channel = HttpChannel(address='s')
        channel.count_request = self.budget.counter(Holder.server_requests)
        channel.count_response = self.budget.counter(Holder.server_responses)
        transport = FakeTransport(channel)
        channel.connection_made(transport)
        transport.high = 10**9
        self.channels.append(transport)
        return channel

    def counter(self, name):
        return sum(amount for key, amount in self.metrics.counters.items() if key.name == name)

    def tick(self, passed_s=0.1):
        self.clock.advance(passed_s)
        self.monitor.check()


async def settle():
    """Let all that can happen now happen: each iteration begins only a few requests."""
    for _ in range(30):
        await asyncio.sleep(0)


def context_of(exchange, deadline=1e9):
    return SimpleNamespace(
        exchange=exchange,
        request=SimpleNamespace(attempt_id='r'),
        route=SimpleNamespace(name=exchange.request.header('Route')),
        precedence=SimpleNamespace(rank=int(exchange.request.header('Rank'))),
        deadline=deadline,
    )


class StreamHandler:
    """Admits a request, then forwards a server's response, as the relay does."""

    def __init__(self, chunk, deadline=1e9):
        self.gateway = None
        self.chunk = chunk
        self.deadline = deadline
        self.retry_after = []
        self.cancelled = 0

    async def __call__(self, exchange):
        retry_after_s = self.gateway.monitor.admit(context_of(exchange, self.deadline))
        if retry_after_s is not None:
            self.retry_after.append(retry_after_s)
            await exchange.respond(503, [('Retry-After', '1')])
            return
        channel = self.gateway.open_channel()
        await channel.send('GET', '/', [('Host', 's')], b'')
        channel.data_received(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        await channel.read_head()
        exchange.start(200, [])
        exchange.source = channel
        try:
            while True:
                await exchange.send(await channel.read_chunk())
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            exchange.source = None
            channel.close()

    def server_sends(self, count=1):
        """Let all servers that are still connected send a chunk."""
        for transport in self.gateway.channels:
            if not transport.aborted:
                part = b'%x\r\n%s\r\n' % (len(self.chunk), self.chunk)
                for _ in range(count):
                    transport.protocol.data_received(part)


class CollectingHandler(StreamHandler):
    """Collects a response, and answers once it is complete."""

    async def __call__(self, exchange):
        self.gateway.monitor.admit(context_of(exchange))
        channel = self.gateway.open_channel()
        await channel.send('GET', '/', [('Host', 's')], b'')
        channel.data_received(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        await channel.read_head()
        exchange.source = channel
        try:
            body = await channel.read_body()
        finally:
            exchange.source = None
        await exchange.respond(200, [], body)


def streaming(monkeypatch, *, chunk=b'x' * 1000, capacity=TINY, deadline=1e9):
    handler = StreamHandler(chunk, deadline)
    handler.gateway = Gateway(handler, capacity, monkeypatch)
    return handler, handler.gateway


def held_by(gateway):
    """Return what is really held, counted without the budget."""
    unread = sum(connection.transport.size for connection in gateway.server.connections)
    spooled = sum(
        len(event.data)
        for transport in gateway.channels
        if not transport.aborted
        for event in transport.protocol.events
        if isinstance(event, h11.Data)
    )
    return unread + spooled


def test_a_thousand_clients_that_never_read_stay_within_the_bound(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch, chunk=b'x' * 20_000, capacity=SMALLEST)
        for _ in range(1000):
            gateway.request(rank=300)
        await settle()
        served = 1000
        for _ in range(40):
            handler.server_sends()
            await settle()
            gateway.tick()
            await settle()
            assert held_by(gateway) <= gateway.budget.total <= BOUND
            # What exceeds the bound is one part of one response.
            assert gateway.budget.largest <= BOUND + 21_000
        given_up = gateway.counter('clients_given_up')
        assert 0 < given_up < served
        assert handler.cancelled == given_up
        # The servers of the clients given up were told, those of the others were not.
        assert sum(transport.aborted for transport in gateway.channels) == given_up

    asyncio.run(run())


@pytest.mark.parametrize('reads', ['never', 'a byte a second', 'stops midway'])
def test_clients_that_read_get_everything_beside_slow_ones(monkeypatch, reads):
    async def run():
        handler, gateway = streaming(monkeypatch)
        slow = [gateway.request()[1] for _ in range(20)]
        quick = [gateway.request(rank=300)[1] for _ in range(20)]
        await settle()
        for number in range(100):
            handler.server_sends()
            await settle()
            for transport in quick:
                transport.read(10**9)
            for transport in slow:
                if reads == 'a byte a second' and not number % 10:
                    transport.read(1)
                elif reads == 'stops midway' and number < 4:
                    transport.read(10**9)
            gateway.tick()
            await settle()
            assert gateway.budget.total <= TINY_BOUND
        assert not any(transport.aborted for transport in quick)
        assert {transport.received // 1000 for transport in quick} == {100}
        assert any(transport.aborted for transport in slow)

    asyncio.run(run())


def test_slow_client_is_read_for_until_the_bound(monkeypatch):
    """A server cuts off a response that stays unread, so its data goes into the spool."""

    async def run():
        handler, gateway = streaming(monkeypatch)
        monkeypatch.setattr(web_connection, '_MAX_WRITE_BUFFER_BYTES', 5000)
        connection, transport = gateway.request()
        await settle()
        for _ in range(30):
            handler.server_sends()
            await settle()
            gateway.tick()
        exchange = connection.exchange
        assert exchange.source.spooled_bytes > 20_000
        assert exchange.held_bytes == transport.size + exchange.source.spooled_bytes
        assert transport.size < 8000
        assert not transport.aborted
        for _ in range(30):
            transport.read(10**9)
            await settle()
        assert transport.received > 30_000
        assert gateway.budget.held[Holder.server_responses] == 0

    asyncio.run(run())


def test_least_valuable_stalled_clients_make_room(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch)
        ranks = {rank: [gateway.request(rank=rank)[1] for _ in range(10)] for rank in (0, 300)}
        await settle()
        for _ in range(8):
            handler.server_sends()
            await settle()
            gateway.tick(0.5)
            await settle()
        assert not any(transport.aborted for transport in ranks[0])
        assert any(transport.aborted for transport in ranks[300])

    asyncio.run(run())


def test_server_is_told_and_its_spool_released_in_the_same_step(monkeypatch):
    """Guards against more clients given up than needed while the spool of the first is counted."""

    async def run():
        handler, gateway = streaming(monkeypatch)
        for _ in range(4):
            gateway.request()
        await settle()
        handler.server_sends()
        await settle()
        # With the requests this exceeds the bound by less than what one client holds.
        handler.server_sends(23)
        assert [transport.aborted for transport in gateway.channels].count(True) == 1
        assert gateway.budget.total <= TINY_BOUND

    asyncio.run(run())


def test_client_that_stalls_beyond_its_deadline_is_given_up(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch, deadline=3)
        _, transport = gateway.request()
        await settle()
        handler.server_sends()
        await settle()
        gateway.tick(2.5)
        assert not transport.aborted
        gateway.tick(1)
        await settle()
        assert transport.aborted
        assert gateway.channels[0].aborted
        assert gateway.budget.total == 0

    asyncio.run(run())


def test_new_requests_are_refused_near_the_bound_and_admitted_again(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch, chunk=b'x' * 950)
        transports = [gateway.request()[1] for _ in range(10)]
        await settle()
        handler.server_sends(8)
        await settle()
        gateway.tick()
        assert 0.8 <= gateway.budget.share < 0.95
        _, refused = gateway.request(rank=300)
        _, valuable = gateway.request(rank=0)
        await settle()
        assert handler.retry_after == [0.3]
        assert len(gateway.channels) == 11
        for transport in (*transports, valuable, refused):
            transport.read(10**9)
        gateway.tick()
        gateway.request(rank=300)
        await settle()
        assert len(handler.retry_after) == 1
        assert len(gateway.channels) == 12

    asyncio.run(run())


async def fill(handler, gateway, chunks):
    """Hold ``chunks`` for each of ten clients that don't read."""
    transports = [gateway.request()[1] for _ in range(10)]
    await settle()
    handler.server_sends(chunks)
    await settle()
    gateway.tick()
    return transports


def test_large_bodies_wait_while_much_is_held_and_smaller_ones_do_not(monkeypatch):
    """Guards against small requests that suffer for what large ones hold."""

    async def run():
        handler, gateway = streaming(monkeypatch, chunk=b'x' * 500_000, capacity=SMALLEST)
        transports = await fill(handler, gateway, 5)
        assert 0.6 < gateway.budget.share < 0.65
        connection, transport = gateway.request(body=b'a' * 60_000, length=120_000)
        assert not transport.reading
        gateway.tick()
        await settle()
        assert not transport.reading
        _, small_transport = gateway.request(body=b'a' * 30_000, length=60_000)
        assert small_transport.reading
        small_transport.abort()
        for _ in range(10):
            for other in transports:
                other.read(10**9)
            await settle()
        gateway.tick()
        await settle()
        assert transport.reading
        connection.data_received(b'b' * 60_000)
        await settle()
        assert connection.exchange.request.body == b'a' * 60_000 + b'b' * 60_000
        held = gateway.budget.held[Holder.client_requests]
        assert held == sum(each.receiver.held_bytes for each in gateway.server.connections)
        assert connection.receiver.held_bytes >= 120_000

    asyncio.run(run())


def test_body_that_waits_too_long_is_refused_as_not_run(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch, chunk=b'x' * 500_000, capacity=SMALLEST)
        await fill(handler, gateway, 5)
        held = gateway.budget.held[Holder.client_requests]
        _, transport = gateway.request(body=b'a' * 60_000, length=120_000)
        gateway.tick(0.9)
        await settle()
        assert not transport.size
        gateway.tick(0.2)
        await settle()
        assert handler.retry_after == [0.3]
        assert transport.size > 0
        assert gateway.budget.held[Holder.client_requests] == held
        assert len(gateway.channels) == 10

    asyncio.run(run())


def test_bodies_that_all_arrive_at_once_are_refused_at_the_bound(monkeypatch):
    """Guards against a thousand large bodies whose first parts alone exceed the memory."""

    async def run():
        handler, gateway = streaming(monkeypatch)
        opened = []
        for _ in range(100):
            opened += [gateway.request(body=b'a' * 2000, length=4000) for _ in range(10)]
            await settle()
            for _, transport in opened:
                transport.read(10**9)
            gateway.monitor.check()
        # What is read at once from ten connections may exceed the bound for an instant.
        assert gateway.budget.largest <= TINY_BOUND + 10 * 2500
        assert 900 < len(handler.retry_after) < 1000
        # The bodies for which the bound has room are read.
        read = [each for each in opened if each[0].receiver.is_receiving]
        assert len(read) + len(handler.retry_after) == 1000
        assert TINY_BOUND / 2 < 4000 * len(read) <= TINY_BOUND
        for connection, _ in read:
            connection.data_received(b'a' * 2000)
        await settle()
        # Some of them are refused by their rank.
        assert len(gateway.channels) + len(handler.retry_after) == 1000
        for _, transport in opened:
            transport.read(10**9)
        gateway.tick()
        assert not gateway.server.waiting

    asyncio.run(run())


def test_route_of_large_responses_leaves_room_for_one_of_small_responses(monkeypatch):
    """Guards against ordinary requests that are refused for the unread responses of others."""

    async def run():
        _, gateway = streaming(monkeypatch, capacity=SMALLEST)
        monitor = gateway.monitor
        monitor.response_sizes.record('', 4_000_000)
        monitor.response_sizes.record('small', 100)
        gateway.budget.count(Holder.client_responses, BOUND // 2)
        connection, _ = gateway.connect()
        head = b'POST / HTTP/1.1\r\nHost: h\r\nRank: 0\r\n%sContent-Length: 0\r\n\r\n'
        admitted = []

        async def admit(exchange):
            admitted.append(monitor.admit(context_of(exchange)) is None)
            await exchange.respond(200, [])

        gateway.server.handler = admit
        for route in (b'', b'Route: small\r\n'):
            connection.data_received(head % route)
            await settle()
        assert admitted == [False, True]

    asyncio.run(run())


def test_responses_that_are_collected_keep_the_bound(monkeypatch):
    """Guards against many large responses at once, none of which has begun to reach a client."""

    async def run():
        handler = CollectingHandler(b'x' * 1000)
        gateway = Gateway(handler, TINY, monkeypatch)
        handler.gateway = gateway
        ranks = {rank: [gateway.request(rank=rank)[1] for _ in range(10)] for rank in (0, 300)}
        await settle()
        for _ in range(8):
            handler.server_sends()
            await settle()
            assert gateway.budget.total <= TINY_BOUND
        assert not any(transport.aborted for transport in ranks[0])
        assert any(transport.aborted for transport in ranks[300])
        for channel in gateway.channels:
            if not channel.aborted:
                channel.protocol.data_received(b'0\r\n\r\n')
        await settle()
        assert all(transport.size > 8000 for transport in ranks[0])

    asyncio.run(run())


@pytest.mark.parametrize('seed', range(5))
def test_nothing_is_counted_once_all_connections_are_closed(monkeypatch, seed):
    """Guards against a count that drifts until everything is refused."""

    async def run():
        random_source = random.Random(seed)
        handler, gateway = streaming(monkeypatch)
        connections = []
        for _ in range(60):
            connections.append(gateway.request(body=b'a' * random_source.randint(0, 50), length=50))
            if random_source.random() < 0.5:
                await settle()
            handler.server_sends()
            for connection, transport in connections:
                action = random_source.random()
                if action < 0.1:
                    transport.abort()
                elif action < 0.2 and connection.receiver.is_receiving and not transport.closing:
                    missing = 50 - connection.receiver.parser.body_size
                    connection.data_received(b'b' * missing)
                elif action < 0.6:
                    transport.read(random_source.randint(0, 3000))
            gateway.tick()
        for _, transport in connections:
            transport.abort()
        await settle()
        assert gateway.budget.held == [0, 0, 0, 0]

    asyncio.run(run())


def test_without_a_known_memory_nothing_is_given_up_or_refused(monkeypatch):
    async def run():
        handler, gateway = streaming(monkeypatch, capacity=UNKNOWN_CAPACITY)
        transports = await fill(handler, gateway, 1000)
        gateway.tick(100)
        await settle()
        assert not any(transport.aborted for transport in transports)
        _, transport = gateway.request(rank=300, body=b'a', length=2)
        assert transport.reading
        assert not handler.retry_after

    asyncio.run(run())


def test_slow_server_holds_its_request_in_the_count(monkeypatch):
    """A server that reads a body slowly: the rest of the body is counted until it answers."""

    async def run():
        _, gateway = streaming(monkeypatch)
        channel = gateway.open_channel()
        await channel.send('POST', '/', [('Host', 's')], b'x' * 5000)
        assert gateway.budget.held[Holder.server_requests] > 5000
        channel.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
        await channel.read_head()
        assert gateway.budget.held[Holder.server_requests] == 0
        assert await channel.read_body() == b'ok'
        assert gateway.budget.total == 0

    asyncio.run(run())


def test_small_responses_are_admitted_until_the_bound_is_exceeded(monkeypatch):
    """Guards against ordinary requests that are refused while other clients can be given up."""

    async def run():
        _, gateway = streaming(monkeypatch, capacity=SMALLEST)
        gateway.monitor.response_sizes.record('small', 100)
        connection, _ = gateway.connect()
        admitted = []

        async def admit(exchange):
            admitted.append(gateway.monitor.admit(context_of(exchange)) is None)
            await exchange.respond(200, [])

        gateway.server.handler = admit
        gateway.monitor.response_sizes.record('large', 100_000)
        gateway.budget.count(Holder.client_responses, int(0.97 * BOUND))
        for route in (b'small', b'large'):
            head = b'POST / HTTP/1.1\r\nHost: h\r\nRank: 0\r\nRoute: %s\r\n' % route
            connection.data_received(head + b'Content-Length: 0\r\n\r\n')
            await settle()
        assert admitted == [True, False]

    asyncio.run(run())


def test_route_that_holds_little_is_served_beside_one_that_holds_much(monkeypatch):
    """Guards against requests that are refused for the slow readers of another route."""

    async def run():
        handler, gateway = streaming(monkeypatch)
        slow = [gateway.request() for _ in range(20)]
        await settle()
        while not gateway.budget.is_scarce:
            handler.server_sends()
            await settle()
        refused = len(handler.retry_after)
        gateway.request()
        await settle()
        assert len(handler.retry_after) == refused + 1
        connection, _ = gateway.connect()
        connection.data_received(
            b'POST / HTTP/1.1\r\nHost: h\r\nRank: 0\r\nRoute: other\r\nContent-Length: 0\r\n\r\n'
        )
        await settle()
        assert len(handler.retry_after) == refused + 1
        assert connection.exchange is not None
        assert not all(transport.aborted for _, transport in slow)

    asyncio.run(run())
