"""Log lines through a bounded queue, so that no reader ever blocks a process."""

from __future__ import annotations

import logging
import os
import queue
import time
from logging.handlers import QueueHandler, QueueListener
from typing import TYPE_CHECKING

from ringseam.clock import boottime

if TYPE_CHECKING:
    from collections.abc import Callable

#: Lines that may wait for a slow reader; some seconds of a busy gateway, under
#: ten megabytes.
MAX_QUEUED_LINES = 10_000
_POLL_S = 0.005


class DescriptorHandler(logging.Handler):
    """Write lines to a file descriptor, without a buffer that exit must flush."""

    def __init__(self, *, descriptor: int) -> None:
        """Write to ``descriptor``."""
        super().__init__()
        self.descriptor = descriptor

    def createLock(self) -> None:
        """Take no lock: one thread writes, and at exit nobody may wait for it."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, waiting for its reader."""
        line = memoryview(f'{self.format(record)}\n'.encode())
        while line:
            try:
                line = line[os.write(self.descriptor, line) :]
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                return


class DroppingHandler(QueueHandler):
    """Hand records to a listener; drop and count them while the queue is full."""

    def __init__(self, *, records: queue.Queue[logging.LogRecord]) -> None:
        """Put records into ``lines``."""
        super().__init__(records)
        self.dropped = 0
        self.capacity = records.maxsize
        #: Called with the number of dropped lines once there is room again.
        self.on_dropped: Callable[[int], None] = _ignore_dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: its line is made by the listener."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put a record into the queue without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped and self.queue.qsize() <= self.capacity // 2:
            dropped = self.dropped
            self.dropped = 0
            self.on_dropped(dropped)


def start_queue_handler(
    target: logging.Handler,
    *,
    size: int = MAX_QUEUED_LINES,
) -> tuple[DroppingHandler, QueueListener]:
    """Return a handler that never waits for ``target``, and its started listener."""
    records: queue.Queue[logging.LogRecord] = queue.Queue(size)
    listener = QueueListener(records, target)
    listener.start()
    return DroppingHandler(records=records), listener


def wait_until_written(handler: DroppingHandler, *, timeout_s: float) -> None:
    """Wait until lines are written, a little at most, before a process ends."""
    deadline = boottime() + timeout_s
    while not handler.queue.empty() and boottime() < deadline:
        time.sleep(_POLL_S)


def _ignore_dropped(dropped: int) -> None:
    """Tell nobody, until a process says who shall hear of dropped lines."""
