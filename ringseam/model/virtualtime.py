"""An event loop whose time jumps to the next timer instead of passing."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from ringseam.clock import PausedClock
from ringseam.errors import RingseamError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

ResultT = TypeVar('ResultT')


class StuckError(RingseamError):
    """All tasks wait, and no timer will wake one."""


class JumpingSelector(selectors.SelectSelector):
    """Advance a clock instead of waiting for files; there are none."""

    def __init__(self, *, clock: PausedClock) -> None:
        """Advance ``clock``."""
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time pass until the next timer.

        :raises StuckError: when there is none.
        """
        if timeout is None:
            raise StuckError('nothing is left that could wake a task')
        if timeout > 0:
            self.clock.advance(timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks in the time of a paused clock."""

    def __init__(self, *, clock: PausedClock) -> None:
        """Take the time from ``clock``."""
        self.clock = clock
        super().__init__(JumpingSelector(clock=clock))

    def time(self) -> float:
        """Return virtual seconds."""
        return self.clock.now()


def run_virtual(main: Callable[[PausedClock], Coroutine[Any, Any, ResultT]]) -> ResultT:
    """Run ``main`` to its end in virtual time and return its result."""
    clock = PausedClock()
    loop = VirtualLoop(clock=clock)
    try:
        return loop.run_until_complete(main(clock))
    finally:
        _end(loop)


def _end(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(_await_all(tasks))
    loop.close()


async def _await_all(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)
