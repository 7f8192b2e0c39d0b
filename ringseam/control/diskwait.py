"""Delays the start of a replica while its data folder is not writable."""

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

#: Seconds between two checks of a full disk: a fraction of an election timeout, so
#: that the replica is back soon after space is free.
DISK_RETRY_S = 0.25


class DiskWait:
    """Wait until the disk has space: a replica that can't write stops at once."""

    def __init__(self, *, node: Node, folder: str) -> None:
        """Prepare to wait for ``folder``."""
        self.node = node
        self.storage = Storage(files=DiskFiles(folder=folder))

    async def wait(self, stopped: Callable[[], bool]) -> None:
        """Return once the folder is writable.

        :raises StorageError: when ``stopped`` returns true before that.
        """
        began = self.node.clock.now()
        if await self._is_writable():
            return
        self.node.events.emit(logger, Event.storage_waited_for)
        while not await self._is_writable():
            if stopped():
                raise StorageError('stopped while the data folder was not writable')
            await asyncio.sleep(DISK_RETRY_S)
        waited_s = round(self.node.clock.now() - began, 3)
        self.node.events.emit(logger, Event.storage_regained, waited_s=waited_s)

    async def _is_writable(self) -> bool:
        # In a thread, so that a stalled disk doesn't block the handling of signals.
        return await asyncio.to_thread(self.storage.is_writable)
