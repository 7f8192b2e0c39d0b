"""An event loop in virtual time: instead of waiting, it advances to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from ringseam.clock import PausedClock
from ringseam.errors import RingseamError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ResultT = TypeVar('ResultT')
#: Selections without an advance of time after which tasks are taken to run without end.
_MAX_IDLE_SELECTIONS = 100_000


class StuckError(RingseamError):
    """All tasks wait without a pending timer, or run without end at one time."""


class VirtualTimeSelector(selectors.SelectSelector):
    """Advance a clock instead of waiting for I/O; no files are registered."""

    def __init__(self, *, clock: PausedClock) -> None:
        """Advance ``clock``."""
        super().__init__()
        self.clock = clock
        #: Selections since the time has advanced.
        self.idle_selections = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock to the next timer.

        :raises StuckError: if no timer is pending, or tasks run without end at one time.
        """
        if timeout is None:
            raise StuckError('all tasks are waiting and no timer is pending')
        self.idle_selections += 1
        if timeout > 0:
            self.clock.advance(timeout)
            self.idle_selections = 0
        elif self.idle_selections > _MAX_IDLE_SELECTIONS:
            self.idle_selections = 0
            raise StuckError('tasks or timers run without end at one time')
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run tasks in the time of a paused clock."""

    def __init__(self, *, clock: PausedClock) -> None:
        """Create a loop that reads the time from ``clock``."""
        self.clock = clock
        super().__init__(VirtualTimeSelector(clock=clock))

    def time(self) -> float:
        """Return the virtual time, seconds."""
        return self.clock.now()


def run_virtual(main: Callable[[PausedClock], Coroutine[Any, Any, ResultT]]) -> ResultT:
    """Run ``main`` in virtual time until it completes, and return its result."""
    clock = PausedClock()
    loop = VirtualTimeLoop(clock=clock)
    try:
        return loop.run_until_complete(main(clock))
    finally:
        _shut_down(loop)


def _shut_down(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(_await_all(tasks))
    loop.close()


async def _await_all(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
