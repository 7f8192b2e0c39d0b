"""Cancellation of tasks, and background tasks that are not awaited."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Collection

logger = logging.getLogger(__name__)


async def cancel_and_wait(task: asyncio.Future[Any]) -> None:
    """Cancel a task and wait until it has ended; its result or exception is ignored."""
    task.cancel()
    await asyncio.wait({task})


async def wait_for_all(futures: Collection[asyncio.Future[Any]]) -> None:
    """Wait until all of some futures are done; cancelling this leaves them alone."""
    if futures:
        await asyncio.wait(futures)


def cancellation_requests() -> int:
    """Return how often the running task was asked to end and has not refused.

    At 0, a :class:`asyncio.CancelledError` comes from something that the task awaits.
    """
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


class LoopTurns:
    """Let one task after the other do its work, and the event loop handle other events between."""

    def __init__(self) -> None:
        """Create turns that nobody waits for."""
        self.waiting: collections.deque[asyncio.Future[None]] = collections.deque()
        self.is_taken = False

    async def take(self) -> None:
        """Wait until no other task has had a turn in this iteration of the event loop."""
        loop = asyncio.get_running_loop()
        if self.is_taken:
            turn = loop.create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.is_taken = True
            loop.call_soon(self._give_next)

    def _give_next(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                asyncio.get_running_loop().call_soon(self._give_next)
                return
        self.is_taken = False


class TaskSet:
    """Start background tasks, hold references to them until they end, and log failures.

    The event loop holds weak references only, so an unreferenced task may be garbage-collected.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: asyncio._CoroutineLike[Any]) -> None:
        """Run ``coroutine`` in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('background task failed', exc_info=task.exception())
