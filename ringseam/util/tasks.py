"""Background tasks that nobody waits for, held until they end."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

logger = logging.getLogger(__name__)


async def cancel_and_wait(task: asyncio.Future[Any]) -> None:
    """Cancel a task and return when it has ended, however it did."""
    task.cancel()
    await asyncio.wait({task})


class TaskSet:
    """Start tasks, keep them from being collected, and log those that break."""

    def __init__(self) -> None:
        """Begin without tasks."""
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: asyncio._CoroutineLike[Any]) -> None:
        """Run ``coroutine`` in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('background task broke', exc_info=task.exception())
