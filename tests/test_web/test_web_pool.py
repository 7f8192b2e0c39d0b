"""Connections of a pool to one server are counted and bounded.

Guards against a gateway that opens more connections than its part, against bounds that count
connections which are closed already, and against requests that get a closed connection, which
looks like a failure of its server.
"""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from ringseam.clock import RuntimeClock
from ringseam.web.client import RefusedError
from ringseam.web.pool import BusyError, HttpChannelPool


@contextlib.asynccontextmanager
async def served_pool():
    """Yield a pool and the address of a server that accepts connections."""
    accepted = []
    server = await asyncio.start_server(
        lambda reader, writer: accepted.append(writer), '127.0.0.1', 0
    )
    pool = HttpChannelPool(clock=RuntimeClock())
    host, port = server.sockets[0].getsockname()
    try:
        yield pool, f'{host}:{port}'
    finally:
        server.close()
        for writer in accepted:
            writer.close()


def test_no_more_connections_are_opened_than_allowed():
    async def run():
        async with served_pool() as (pool, address):
            channels = [await pool.acquire(address, timeout_s=1, max_open=2) for _ in range(2)]
            with pytest.raises(BusyError) as busy:
                await pool.acquire(address, timeout_s=0.05, max_open=2)
            assert not busy.value.sent
            assert pool.opened == 2
            assert await pool.acquire(address, timeout_s=1) not in channels
            pool.close()

    asyncio.run(run())


def test_connections_being_opened_count():
    async def run():
        async with served_pool() as (pool, address):
            opened = await asyncio.gather(
                *(pool.acquire(address, timeout_s=0.1, max_open=3) for _ in range(9)),
                return_exceptions=True,
            )
            assert sum(isinstance(one, BusyError) for one in opened) == 6
            assert pool.open_count(address) == 3

    asyncio.run(run())


def test_request_that_waits_gets_a_connection_when_one_is_closed():
    async def run():
        async with served_pool() as (pool, address):
            first = await pool.acquire(address, timeout_s=1, max_open=1)
            waiting = asyncio.ensure_future(pool.acquire(address, timeout_s=5, max_open=1))
            await asyncio.sleep(0)
            first.close()
            assert await waiting is not first
            pool.close_expired()
            assert pool.open_count(address) == 1

    asyncio.run(run())


def test_refused_connections_do_not_count():
    async def run():
        async with served_pool() as (pool, address):
            pass
        for _ in range(3):
            with pytest.raises(RefusedError):
                await pool.acquire(address, timeout_s=1, max_open=1)
        assert pool.open_count(address) == 0
        pool.close_expired()
        assert not pool.channels

    asyncio.run(run())


def test_free_connections_go_to_waiting_requests_by_their_order():
    """Requests that look for a connection at intervals get one by chance: one that waits for
    long, or is due soon, may find none while others come later and are served."""

    async def run():
        async with served_pool() as (pool, address):
            held = [await pool.acquire(address, timeout_s=1, max_open=2) for _ in range(2)]
            served = []

            async def request(name, order):
                channel = await pool.acquire(address, timeout_s=2, max_open=2, order=order)
                served.append(name)
                await asyncio.sleep(0)
                channel.close()

            requests = []
            for name, order in (
                ('low', (2, 1.0)),
                ('late', (1, 9.0)),
                ('soon', (1, 3.0)),
                ('soon, second', (1, 3.0)),
                ('urgent', (0, 8.0)),
            ):
                requests.append(asyncio.ensure_future(request(name, order)))
                await asyncio.sleep(0.001)
            held[0].close()
            await asyncio.gather(*requests)
            assert served == ['urgent', 'soon', 'soon, second', 'late', 'low']
            held[1].close()

    asyncio.run(run())


def test_waiting_request_gets_a_released_connection_at_once():
    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            waiting = asyncio.ensure_future(pool.acquire(address, timeout_s=5, max_open=1))
            await asyncio.sleep(0)
            # As after a response that was read completely.
            held.prepare_next_request = lambda: True
            held.idle_timeout_s = 5
            pool.release(held)
            for _ in range(3):
                await asyncio.sleep(0)
            assert waiting.done()
            assert waiting.result() is held
            pool.close()

    asyncio.run(run())


def test_request_that_comes_later_does_not_overtake_one_that_waits():
    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            first = asyncio.ensure_future(
                pool.acquire(address, timeout_s=2, max_open=1, order=(1, 1.0))
            )
            await asyncio.sleep(0.001)
            held.close()
            second = asyncio.ensure_future(
                pool.acquire(address, timeout_s=0.1, max_open=1, order=(1, 2.0))
            )
            assert (await first).is_open
            with pytest.raises(BusyError):
                await second

    asyncio.run(run())


def test_request_that_is_cancelled_leaves_its_turn_to_the_next():
    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            first = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            second = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            await asyncio.sleep(0)
            held.close()
            # The connection is granted to the first request, which doesn't run any more.
            await asyncio.sleep(0)
            first.cancel()
            assert (await second).is_open
            assert pool.open_count(address) == 1
            pool.close()
            assert not pool.waiting

    asyncio.run(run())


def test_failed_attempt_to_connect_lets_the_next_request_try():
    async def run():
        async with served_pool() as (pool, address):
            pass
        results = await asyncio.gather(
            *(pool.acquire(address, timeout_s=1, max_open=1) for _ in range(4)),
            return_exceptions=True,
        )
        assert [type(one) for one in results] == [RefusedError] * 4

    asyncio.run(run())


def make_idle(pool, channel):
    """Release a connection as after a response that was read completely."""
    channel.prepare_next_request = lambda: True
    channel.idle_timeout_s = 5
    pool.release(channel)
    del channel.prepare_next_request


def test_connection_that_is_idle_is_taken_without_a_pause():
    """It could be closed in a pause between its check and its use."""

    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            make_idle(pool, held)
            asyncio.get_running_loop().call_soon(held.close)
            taken = await pool.acquire(address, timeout_s=1, max_open=1)
            assert taken is held
            assert taken.is_open

    asyncio.run(run())


def test_connection_that_closes_after_it_was_granted_is_not_used():
    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            first = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            second = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            await asyncio.sleep(0)
            make_idle(pool, held)
            held.close()
            # Its place goes to the next request, and then to the one that had its turn in vain.
            opened = await second
            assert opened.is_open
            third = asyncio.ensure_future(pool.acquire(address, timeout_s=0.2, max_open=1))
            await asyncio.sleep(0)
            assert not first.done()
            assert pool.open_count(address) == 1
            opened.close()
            assert (await first).is_open
            with pytest.raises(BusyError):
                await third

    asyncio.run(run())


def test_request_whose_connections_are_closed_waits_no_longer_than_allowed():
    async def run():
        async with served_pool() as (pool, address):
            held = [await pool.acquire(address, timeout_s=1, max_open=2) for _ in range(2)]
            waiting = asyncio.ensure_future(pool.acquire(address, timeout_s=0.1, max_open=2))
            await asyncio.sleep(0)
            make_idle(pool, held[0])
            held[0].close()
            # Another request opens a connection in its place, which stays in use.
            await pool.acquire(address, timeout_s=1)
            with pytest.raises(BusyError):
                await waiting
            assert not pool.waiting

    asyncio.run(run())


def test_request_that_is_cancelled_leaves_an_idle_connection_to_the_next():
    """To open another one takes a round trip, and the server may refuse it."""

    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            first = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            second = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            await asyncio.sleep(0)
            make_idle(pool, held)
            await asyncio.sleep(0)
            first.cancel()
            assert await second is held
            assert held.is_open
            assert pool.opened == 1

    asyncio.run(run())


def test_cancelled_request_without_a_successor_leaves_its_connection_idle():
    async def run():
        async with served_pool() as (pool, address):
            held = await pool.acquire(address, timeout_s=1, max_open=1)
            waiting = asyncio.ensure_future(pool.acquire(address, timeout_s=2, max_open=1))
            await asyncio.sleep(0)
            make_idle(pool, held)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert pool.used_count(address) == 0
            assert await pool.acquire(address, timeout_s=1, max_open=1) is held

    asyncio.run(run())


@pytest.mark.parametrize('order', [(0, 1.0), (2, 1.0)])
def test_requests_wait_by_the_newest_limit(order):
    """The limit rises after a refusal: a request that came before it may block all others."""

    async def run():
        async with served_pool() as (pool, address):
            await pool.acquire(address, timeout_s=1, max_open=1)
            first = asyncio.ensure_future(
                pool.acquire(address, timeout_s=0.3, max_open=1, order=(1, 1.0))
            )
            await asyncio.sleep(0)
            second = await pool.acquire(address, timeout_s=0.3, max_open=3, order=order)
            assert second.is_open
            assert (await first).is_open
            assert pool.open_count(address) == 3

    asyncio.run(run())


def test_limit_that_has_fallen_holds_for_requests_that_wait():
    async def run():
        async with served_pool() as (pool, address):
            held = [await pool.acquire(address, timeout_s=1, max_open=2) for _ in range(2)]
            waiting = asyncio.ensure_future(pool.acquire(address, timeout_s=0.2, max_open=2))
            await asyncio.sleep(0)
            with pytest.raises(BusyError):
                await pool.acquire(address, timeout_s=0.01, max_open=1)
            held[0].close()
            with pytest.raises(BusyError):
                await waiting
            assert pool.open_count(address) == 1

    asyncio.run(run())
