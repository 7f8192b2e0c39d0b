"""Logging through a bounded queue, so that a slow reader never blocks the process."""

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

#: Maximum number of queued log lines: a few seconds of output of a busy gateway, less than
#: 10 MB.
MAX_QUEUED_LINES = 10_000
_POLL_S = 0.005


class DescriptorHandler(logging.Handler):
    """Write lines to a file descriptor without a buffer, so that exit has nothing to flush."""

    def __init__(self, *, descriptor: int) -> None:
        """Create a handler that writes to ``descriptor``."""
        super().__init__()
        self.descriptor = descriptor

    def createLock(self) -> None:
        """Use no lock: only one thread writes, and exit must not wait for a blocked write."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; block while the reader is slow."""
        line = memoryview(f'{self.format(record)}\n'.encode())
        while line:
            try:
                line = line[os.write(self.descriptor, line) :]
            except OSError:
                # The reader has closed its end, so the error can not be logged either.
                return


class DroppingHandler(QueueHandler):
    """Queue records for a listener; drop and count them while the queue is full."""

    def __init__(self, *, records: queue.Queue[logging.LogRecord]) -> None:
        """Create a handler that puts records into ``records``."""
        super().__init__(records)
        self.dropped = 0
        self.capacity = records.maxsize
        #: Called with the number of dropped records once the queue is at most half full.
        self.on_dropped: Callable[[int], None] = _ignore_dropped

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the listener formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a record to the queue, or drop it if the queue is full."""
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
    """Return a handler that never blocks on ``target``, and its running listener."""
    records: queue.Queue[logging.LogRecord] = queue.Queue(size)
    listener = QueueListener(records, target)
    listener.start()
    return DroppingHandler(records=records), listener


def wait_until_written(handler: DroppingHandler, *, timeout_s: float) -> None:
    """Wait until the queue is empty, at most ``timeout_s``, before the process exits."""
    deadline = boottime() + timeout_s
    while not handler.queue.empty() and boottime() < deadline:
        time.sleep(_POLL_S)


def _ignore_dropped(dropped: int) -> None:
    """Do nothing; the default of ``on_dropped``."""
