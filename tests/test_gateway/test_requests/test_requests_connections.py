"""Connections to servers that accept few, through a whole gateway.

Guards against requests that fail because one server has no free connection, and against servers
that are taken for broken because they have reset a connection too many.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json

import pytest

from ringseam.clock import PausedClock, boottime
from ringseam.settings import Settings
from tests.gateways import LocalGateway, ScriptedServer, http_response, manifest, reset

LOAD = 'Worker-Load: 1,0,4,{}\r\n'
USUAL_S = 0.01


class InterferedServer:
    """A server whose work takes as many times as long as it reports, on a paused clock."""

    def __init__(self, clock, *, slowdown):
        self.clock = clock
        self.slowdown = slowdown
        #: Durations of the next requests without slowdown, seconds; then the usual one.
        self.next_s = []
        self.server = ScriptedServer(self._respond)

    @property
    def request_count(self):
        return len(self.server.requests)

    async def _respond(self, request, writer):
        duration_s = self.next_s.pop(0) if self.next_s else USUAL_S
        self.clock.advance(duration_s * self.slowdown / 100)
        writer.write(http_response(request, extra=LOAD.format(self.slowdown)))


@pytest.fixture(name='clock')
def paused_clock(monkeypatch):
    """Pause the clock of the gateway; requests arrive by the clock of the event loop."""
    clock = PausedClock(start=boottime())
    new_node = Settings.node

    def paused_node(settings):
        return dataclasses.replace(new_node(settings), clock=clock)

    monkeypatch.setattr(Settings, 'node', paused_node)
    return clock


@pytest.mark.parametrize('delayed_s', [USUAL_S, 4 * USUAL_S, 10 * USUAL_S])
def test_host_that_reports_a_slowdown_gets_no_request_while_it_lasts(key_file, clock, delayed_s):
    async def run():
        slow = InterferedServer(clock, slowdown=400)
        calm = InterferedServer(clock, slowdown=100)
        async with LocalGateway(key_file) as gateway:
            for server in (slow, calm):
                gateway.add_server(await server.server.start())
            # Both are known after some requests.
            for number in range(6):
                await gateway.fetch('/idem/x', Attempt_Id=f'first{number}')
            before = calm.request_count
            # One response of the server without a slowdown is late.
            calm.next_s = [USUAL_S, USUAL_S, delayed_s]
            for number in range(12):
                status, _ = await gateway.fetch('/idem/x', Attempt_Id=f'r{number}')
                assert status == 200
        assert slow.request_count >= 1
        assert calm.request_count - before >= 11

    asyncio.run(run())


def test_connection_too_many_is_no_failure_of_the_server(key_file):
    async def run():
        accepted = []

        async def respond(request, writer):
            if request.attempt_id.startswith('first'):
                writer.write(http_response(request, extra=LOAD.format(100)))
                return
            accepted.append(request.attempt_id)
            if len(accepted) > 2:
                reset(writer)
                return
            await asyncio.sleep(0.3)
            writer.write(http_response(request, extra=LOAD.format(100)))

        server = ScriptedServer(respond)
        document = json.loads(manifest())
        document['services'][0]['max_conns'] = 60
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(json.dumps(document).encode())
            address = await server.start()
            gateway.add_server(address)
            await gateway.fetch('/once/x', Attempt_Id='first')
            await asyncio.gather(
                *(gateway.fetch('/once/x', Attempt_Id=f'r{number}') for number in range(4))
            )
            health = next(iter(gateway.role.health.by_server.values()))
            assert health.failures == 0
            assert gateway.role.connection_limits.shares.refusals
            assert gateway.role.pool.open_count(address) <= 4

    asyncio.run(run())


@pytest.mark.parametrize('streams', [1, 2])
def test_server_that_resets_each_new_connection_is_ejected_beside_open_streams(key_file, streams):
    """Older requests may go on for minutes without an answer, and the server isn't full but
    broken."""

    async def run():
        async def respond(request, writer):
            if request.attempt_id.startswith('r'):
                reset(writer)
                return
            if request.attempt_id.startswith('long'):
                await asyncio.sleep(60)
            writer.write(http_response(request, extra=LOAD.format(100)))

        server = ScriptedServer(respond)
        document = json.loads(manifest())
        document['services'][0]['max_conns'] = 60
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(json.dumps(document).encode())
            address = await server.start()
            gateway.add_server(address)
            await gateway.fetch('/once/x', Attempt_Id='first')
            long = [
                asyncio.ensure_future(gateway.fetch('/once/x', Attempt_Id=f'long{number}'))
                for number in range(streams)
            ]
            while len(server.requests) < 1 + streams:
                await asyncio.sleep(0.01)
            health = next(iter(gateway.role.health.by_server.values()))
            for number in range(12):
                await gateway.fetch('/once/x', Attempt_Id=f'r{number}')
                await asyncio.sleep(0.1)
                if health.ejections:
                    break
            assert health.ejections
            assert gateway.role.pool.open_count(address) >= streams
            for one in long:
                one.cancel()

    asyncio.run(run())


def test_connections_that_carry_a_request_are_counted_by_service(key_file):
    async def run():
        async def respond(request, writer):
            if request.attempt_id == 'long':
                await asyncio.sleep(60)
            writer.write(http_response(request, extra=LOAD.format(100)))

        server = ScriptedServer(respond)
        async with LocalGateway(key_file) as gateway:
            address = await server.start()
            gateway.add_server(address)
            limits, pool = gateway.role.connection_limits, gateway.role.pool
            assert limits.used_by_service(pool) == {}
            await gateway.fetch('/once/x', Attempt_Id='first')
            assert limits.used_by_service(pool) == {'plain': 0}
            long = asyncio.ensure_future(gateway.fetch('/once/x', Attempt_Id='long'))
            while len(server.requests) < 2:
                await asyncio.sleep(0.01)
            assert limits.used_by_service(pool) == {'plain': 1}
            long.cancel()

    asyncio.run(run())


def test_full_server_that_answers_over_kept_connections_is_not_ejected(key_file):
    """It resets all new connections for 2 s, which says nothing against those that it has."""

    async def run():
        kept, resets = set(), []
        full = False

        async def respond(request, writer):
            if full and writer not in kept:
                resets.append(request.attempt_id)
                reset(writer)
                return
            kept.add(writer)
            await asyncio.sleep(0.03)
            extra = f'{LOAD.format(100)}Keep-Alive: timeout=30\r\n'
            writer.write(http_response(request, extra=extra))

        server = ScriptedServer(respond)
        document = json.loads(manifest())
        document['services'][0]['max_conns'] = 60
        async with LocalGateway(key_file) as gateway:
            gateway.apply_document(json.dumps(document).encode())
            gateway.add_server(await server.start())
            await gateway.fetch('/once/x', Attempt_Id='first')
            await asyncio.gather(
                *(gateway.fetch('/once/x', Attempt_Id=f'kept{number}') for number in range(3))
            )
            full = True
            health = next(iter(gateway.role.health.by_server.values()))
            ends_at = asyncio.get_running_loop().time() + 2
            answered, ejections = [], []

            async def load(client):
                while asyncio.get_running_loop().time() < ends_at:
                    name = f'{client}-{len(answered)}'
                    status, _ = await gateway.fetch('/once/x', Attempt_Id=name)
                    answered.append(status)
                    ejections.append(health.ejections)
                    await asyncio.sleep(0.01)

            await asyncio.gather(*(load(client) for client in range(12)))
            assert len(resets) > 3
            assert not any(ejections)
            assert answered.count(200) > 40

    asyncio.run(run())
