"""Virtual time: timers fire in order, without real waiting."""

from __future__ import annotations

import asyncio
import time

import pytest

from ringseam.model.virtualtime import StuckError, run_virtual


def test_an_hour_passes_at_once():
    async def main(clock):
        await asyncio.sleep(3600)
        return clock.now()

    started = time.perf_counter()
    assert run_virtual(main) == pytest.approx(3600)
    assert time.perf_counter() - started < 5


def test_timers_fire_in_order():
    async def main(clock):
        fired = []

        async def fire(delay):
            await asyncio.sleep(delay)
            fired.append((delay, round(clock.now(), 6)))

        await asyncio.gather(fire(3), fire(1), fire(2))
        return fired

    assert run_virtual(main) == [(1, 1), (2, 2), (3, 3)]


def test_tasks_waiting_without_a_timer_raise_an_error():
    async def main(clock):
        await asyncio.Event().wait()

    with pytest.raises(StuckError):
        run_virtual(main)
