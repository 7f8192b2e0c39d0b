"""Connections of a pool to one server are counted and bounded.

Guards against a gateway that opens more connections than its part, and against bounds that count
connections which are closed already.
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
