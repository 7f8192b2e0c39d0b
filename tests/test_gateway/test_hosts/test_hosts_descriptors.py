"""More clients than a host has descriptors for.

Guards against an accept that fails while the listener goes on to take connections, a host that
has none left for servers, health checks and peers, and a client that is refused without an
answer or a time to return.
"""

from __future__ import annotations

import asyncio
import errno
import resource

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.hosts import descriptors
from ringseam.gateway.hosts.descriptors import (
    DescriptorBudget,
    count_open_descriptors,
    descriptor_limit,
)
from ringseam.web.accounting import Acceptance
from tests.gateways import LocalGateway, ScriptedServer, http_response

LIMIT = 64
#: 64 without a quarter for others and an eighth that stays free.
MOST_CLIENTS = 40
REFUSED = 4


async def answer(request, writer):
    writer.write(http_response(request))


async def open_clients(gateway, count):
    opened = [await asyncio.open_connection('127.0.0.1', gateway.port) for _ in range(count)]
    await asyncio.sleep(0.05)
    return opened


async def close_all(opened):
    for _, writer in opened:
        writer.close()
    await asyncio.sleep(0.05)


def test_client_beyond_the_bound_is_told_when_to_return(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            gateway.role.host.descriptors.limit = LIMIT
            gateway.add_server(await ScriptedServer(answer).start())
            opened = await open_clients(gateway, MOST_CLIENTS)
            begun = asyncio.get_running_loop().time()
            status, raw = await gateway.fetch('/once/', Connection='')
            assert asyncio.get_running_loop().time() < begun + 0.4
            assert status == 503
            head = raw.lower()
            assert b'retry-after:' in head
            assert b'connection: close' in head
            counters = gateway.role.metrics.counters
            refused = {key.name: n for key, n in counters.items() if 'refused' in key.name}
            # Not `connections_refused`, which counts connections to servers.
            assert refused == {'client_connections_refused': 1}
            # Health checks and clients that are connected already are served.
            _, writer = await asyncio.open_connection('127.0.0.1', gateway.ready_port)
            writer.close()
            await close_all(opened[:1])
            assert (await gateway.fetch('/once/'))[0] == 200
            await close_all(opened)

    asyncio.run(run())


def test_client_that_is_connected_is_served_while_others_are_refused(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            gateway.role.host.descriptors.limit = LIMIT
            gateway.add_server(await ScriptedServer(answer).start())
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            opened = await open_clients(gateway, MOST_CLIENTS)
            writer.write(
                b'POST /once/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r\r\nDeadline-Ms: 900\r\n'
                b'Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n'
            )
            assert b' 200 ' in await reader.readline()
            await close_all([*opened, (reader, writer)])

    asyncio.run(run())


def test_body_of_a_refused_request_is_not_held(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            gateway.role.host.descriptors.limit = LIMIT
            gateway.add_server(await ScriptedServer(answer).start())
            opened = await open_clients(gateway, MOST_CLIENTS)
            reader, writer = await gateway.open_request('/once/', Content_Length='3000000')
            writer.write(b'x' * 3_000_000)
            async with asyncio.timeout(1):
                assert b' 503 ' in await reader.readline()
            assert gateway.role.host.budget.largest < 10_000
            await close_all([*opened, (reader, writer)])

    asyncio.run(run())


def test_refused_clients_that_send_nothing_are_closed_and_more_of_them_at_once(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            gateway.role.host.descriptors.limit = LIMIT
            opened = await open_clients(gateway, MOST_CLIENTS + REFUSED + 30)
            assert len(gateway.role.client_server.connections) == MOST_CLIENTS + REFUSED
            await asyncio.sleep(1.1)
            assert len(gateway.role.client_server.connections) == MOST_CLIENTS
            await close_all(opened)

    asyncio.run(run())


def test_refused_clients_that_stay_take_no_place_of_others(key_file):
    """Guards against a service that falls with the rate of refused clients."""

    async def run():
        async with LocalGateway(key_file) as gateway:
            gateway.role.host.descriptors.limit = LIMIT
            gateway.add_server(await ScriptedServer(answer).start())
            opened = await open_clients(gateway, MOST_CLIENTS)
            staying = await open_clients(gateway, REFUSED + 10)
            server = gateway.role.client_server
            assert (server.client_count, server.refused) == (MOST_CLIENTS, REFUSED)
            assert gateway.role.host.client_count == MOST_CLIENTS
            assert gateway.role.host.connection_count == MOST_CLIENTS + REFUSED
            await close_all(opened[:2])
            assert (await gateway.fetch('/once/'))[0] == 200
            opened += await open_clients(gateway, 1)
            assert server.client_count == MOST_CLIENTS - 1
            await close_all([*opened, *staying])
            assert (server.client_count, server.refused) == (0, 0)

    asyncio.run(run())


def test_without_the_key_no_client_is_refused(key_file):
    async def run():
        async with LocalGateway(key_file) as gateway:
            assert gateway.role.host.descriptors.limit == 0
            opened = await open_clients(gateway, 300)
            assert len(gateway.role.client_server.connections) == 300
            assert not any(c.is_refused for c in gateway.role.client_server.connections)
            await close_all(opened)

    asyncio.run(run())


@given(st.integers(1, 5000), st.integers(0, 6000), st.integers(0, 6000), st.integers(0, 800))
def test_descriptors_are_never_exceeded(limit, others, clients, refused):
    """A naive count: whoever is let in, all that is open fits into the limit."""
    budget = DescriptorBudget(limit=limit)
    budget.update(open_descriptors=others + clients + refused, clients=clients + refused)
    if budget.accept(clients + 1, refused) is not Acceptance.close:
        assert others + clients + refused + 1 <= limit
    if budget.accept(clients + 1, refused) is Acceptance.accept:
        assert clients + 1 <= limit - limit // 4
        assert budget.share(clients) <= 1


def test_connections_to_servers_leave_less_for_clients():
    budget = DescriptorBudget(limit=LIMIT)
    assert budget.max_clients == MOST_CLIENTS
    budget.update(open_descriptors=50, clients=20)
    assert budget.max_clients == 26
    budget.update(open_descriptors=64, clients=0)
    assert budget.max_clients == 0
    assert budget.share(0) == 1


def test_host_that_claims_more_than_its_process_may_open(monkeypatch):
    monkeypatch.setattr(resource, 'getrlimit', lambda kind: (1000, 2000))
    assert descriptor_limit(5000) == 1000
    assert descriptor_limit(500) == 500
    assert descriptor_limit(0) == 0
    monkeypatch.setattr(resource, 'getrlimit', lambda kind: (resource.RLIM_INFINITY,) * 2)
    assert descriptor_limit(5000) == 5000


def test_open_descriptors_are_counted_where_the_system_tells(monkeypatch, tmp_path):
    before = count_open_descriptors()
    with (tmp_path / 'f').open('w'):
        assert count_open_descriptors() == before + 1
    monkeypatch.setattr(descriptors, '_OPEN_DESCRIPTORS', str(tmp_path / 'absent'))
    assert count_open_descriptors() is None


def test_bound_holds_while_descriptors_have_run_out(monkeypatch):
    """The count needs a descriptor itself: without one it must not look as if all were free."""

    def fail(path):
        raise OSError(errno.EMFILE, 'Too many open files')

    budget = DescriptorBudget(limit=LIMIT)
    budget.update(open_descriptors=50, clients=20)
    monkeypatch.setattr(descriptors.os, 'listdir', fail)
    budget.update(open_descriptors=count_open_descriptors(), clients=26)
    assert budget.others == 30
    assert budget.max_clients == 26
    assert budget.accept(27) is Acceptance.refuse
    assert budget.share(26) == 1


@pytest.mark.parametrize('clients', [0, 1, 10**6])
def test_unknown_limit_refuses_nobody(clients):
    budget = DescriptorBudget()
    budget.update(open_descriptors=10**6, clients=0)
    assert budget.accept(clients) is Acceptance.accept
    assert budget.share(clients) == 0
