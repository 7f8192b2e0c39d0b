"""The servers of the soak test: what they run and report when faults meet."""

from __future__ import annotations

import asyncio
import random
import time
from types import SimpleNamespace

import pytest

from bench import soakwords
from bench.soak import PLAIN_PATH, PLAIN_SERVICE, Book, Server, Soak
from bench.soakwords import Words
from ringseam.backends import BackendState
from ringseam.lifetimes import backend_id
from ringseam.routes import ServiceName
from ringseam.web.bodies import find_header


def make_server():
    return Server(
        book=Book(),
        dice=random.Random(1),
        instance=backend_id('i-1', 1),
        service=ServiceName(PLAIN_SERVICE),
        control='',
    )


class Exchange:
    """A call of a gateway that never gives up."""

    def __init__(self, body):
        headers = [('Attempt-Id', 'ends-0-1')]
        self.request = SimpleNamespace(
            path=PLAIN_PATH,
            target=PLAIN_PATH,
            headers=headers,
            body=body,
            header=lambda name: find_header(headers, name),
        )

    async def respond(self, status, headers, body=b''):
        raise AssertionError(f'answered with {status}')


def test_content_that_ends_servers_is_never_run_to_its_end(monkeypatch):
    """The server is away already and its client's gateway is frozen, so that nothing closes."""

    async def run():
        server = make_server()
        server.ended = True
        sleep = asyncio.sleep
        monkeypatch.setattr(asyncio, 'sleep', lambda delay_s: sleep(0))
        call = asyncio.create_task(server.serve(Exchange(b'ends-0')))
        await asyncio.wait([call], timeout=0.1)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        return server

    server = asyncio.run(run())
    assert server.book.broken == []
    assert server.executed == []


def test_server_that_left_while_it_announced_so_does_not_start_again(monkeypatch):
    monkeypatch.setattr(soakwords, 'DRAIN_S', 0.01)

    async def run():
        server = make_server()
        started_again = []

        async def begin_again(one):
            started_again.append(one)

        soak = SimpleNamespace(
            book=server.book, disturbed=0, clients=1, gateways=('g',), begin_again=begin_again
        )
        saying = asyncio.create_task(Words(soak, server).say('say-leaving'))
        await asyncio.sleep(0)
        server.left_at = time.monotonic()
        await saying
        return started_again

    assert asyncio.run(run()) == []


@pytest.mark.parametrize('restarts', [0, 1, 2])
def test_leave_is_reported_for_the_lifetime_that_leaves(restarts, tmp_path):
    """The server starts again while the report of its leave is on the way."""

    async def run():
        soak = Soak(folder=tmp_path, seed=1)
        server = make_server()
        soak.servers.append(server)
        left = []

        async def add_server(service, software=''):
            soak.servers.append(make_server())

        async def report(one, state):
            instance = one.instance
            if state is BackendState.draining:
                if len(left) < restarts:
                    one.instance = backend_id('i-1', len(left) + 2)
                left.append(instance)
            return True

        soak.add_server, soak.report = add_server, report
        soak.a_staying_server = lambda: server
        await soak.leave()
        return server, left

    server, left = asyncio.run(run())
    assert server.left_at is not None
    assert left[-1] == server.instance
