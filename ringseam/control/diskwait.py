"""A start that waits while the data folder takes no bytes."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.control.storage import DiskFiles, Storage
from ringseam.errors import StorageError
from ringseam.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.node import Node

logger = logging.getLogger(__name__)

#: How often a start asks whether a full disk takes bytes again, seconds: a
#: fraction of an election, so that the replica is back soon after.
DISK_RETRY_S = 0.25


class DiskWait:
    """Take no part while the disk is full: a replica that can't save ends at once."""

    def __init__(self, *, node: Node, folder: str) -> None:
        """Wait for ``folder``."""
        self.node = node
        self.storage = Storage(files=DiskFiles(folder=folder))

    async def wait(self, stopped: Callable[[], bool]) -> None:
        """Return once the folder takes bytes.

        :raises StorageError: when ``stopped`` says so meanwhile.
        """
        began = self.node.clock.now()
        if await self._is_writable():
            return
        self.node.events.emit(logger, Event.storage_waited_for)
        while not await self._is_writable():
            if stopped():
                raise StorageError('stopped while the data folder took no bytes')
            await asyncio.sleep(DISK_RETRY_S)
        waited_s = round(self.node.clock.now() - began, 3)
        self.node.events.emit(logger, Event.storage_regained, waited_s=waited_s)

    async def _is_writable(self) -> bool:
        # A disk that stalls must not hold up the signals of this process.
        return await asyncio.to_thread(self.storage.is_writable)
