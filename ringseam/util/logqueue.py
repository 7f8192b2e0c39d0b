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
LINES_WAITING = 10_000
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

    def __init__(self, *, lines: queue.Queue[logging.LogRecord]) -> None:
        """Put records into ``lines``."""
        super().__init__(lines)
        self.dropped = 0
        self.room = lines.maxsize
        #: Called with the number of dropped lines once there is room again.
        self.tell: Callable[[int], None] = _tell_nobody

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
        if self.dropped and self.queue.qsize() <= self.room // 2:
            amount = self.dropped
            self.dropped = 0
            self.tell(amount)


def queued(
    target: logging.Handler,
    *,
    size: int = LINES_WAITING,
) -> tuple[DroppingHandler, QueueListener]:
    """Return a handler that never waits for ``target``, and its started listener."""
    lines: queue.Queue[logging.LogRecord] = queue.Queue(size)
    listener = QueueListener(lines, target)
    listener.start()
    return DroppingHandler(lines=lines), listener


def drain(handler: DroppingHandler, *, within_s: float) -> None:
    """Wait until lines are written, a little at most, before a process ends."""
    until = boottime() + within_s
    while not handler.queue.empty() and boottime() < until:
        time.sleep(_POLL_S)


def _tell_nobody(amount: int) -> None:
    """Tell nobody, until a process says who shall hear of dropped lines."""
