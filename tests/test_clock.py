"""The clock of the runtime counts the time in which the host is suspended.

The usual monotonic clock stops during a suspension, so deadlines, leases and server states
would look younger than they are to clients and other hosts.
"""

import ast
import asyncio
import time
from pathlib import Path

import pytest

import ringseam
from ringseam.clock import MAX_SELECT_WAIT_S, RuntimeClock, boottime, run_loop
from tests.suspension import SimulatedSuspension

PACKAGE = Path(ringseam.__file__).parent
#: Functions that read a clock that stops while the host is suspended.
SUSPENDABLE_CLOCKS = {'monotonic', 'monotonic_ns', 'perf_counter', 'perf_counter_ns'}


@pytest.fixture
def suspension(monkeypatch):
    return SimulatedSuspension(monkeypatch)


def test_clock_and_loop_both_count_a_suspension(suspension):
    async def times():
        loop = asyncio.get_running_loop()
        before = (RuntimeClock().now(), loop.time(), time.monotonic())
        suspension.advance(5)
        after = (RuntimeClock().now(), loop.time(), time.monotonic())
        return [late - early for early, late in zip(before, after, strict=True)]

    by_clock, by_loop, by_monotonic = run_loop(times())
    assert by_clock == pytest.approx(5, abs=0.1)
    assert by_loop == pytest.approx(5, abs=0.1)
    assert by_monotonic < 0.1


def test_timer_that_expired_in_a_suspension_fires_soon(suspension):
    async def wait():
        suspended = asyncio.get_running_loop().call_later(0.01, suspension.advance, 30)
        started = time.monotonic()
        await asyncio.sleep(30)
        suspended.cancel()
        return time.monotonic() - started

    assert run_loop(wait()) < 0.01 + 2 * MAX_SELECT_WAIT_S


def test_timeout_that_expired_in_a_suspension_ends_the_wait(suspension):
    async def wait():
        asyncio.get_running_loop().call_later(0.01, suspension.advance, 30)
        async with asyncio.timeout(20):
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        run_loop(wait())


def test_package_reads_no_clock_that_stops_in_a_suspension():
    found = [
        f'{path.relative_to(PACKAGE)}: {node.attr}'
        for path in PACKAGE.rglob('*.py')
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and node.attr in SUSPENDABLE_CLOCKS
    ]
    assert not found


def test_programs_run_on_the_boottime_loop():
    found = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob('*.py')
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
        and node.attr in {'run', 'new_event_loop', 'run_until_complete'}
        and isinstance(node.value, ast.Name)
        and node.value.id == 'asyncio'
    ]
    assert not found


def test_boottime_never_goes_backwards():
    readings = [boottime() for _ in range(1000)]
    assert readings == sorted(readings)
