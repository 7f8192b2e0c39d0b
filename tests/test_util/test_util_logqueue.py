"""Queued logging: a stopped or slow reader of the log must not block the process."""

from __future__ import annotations

import logging
import os
import subprocess
import sys
import time

from ringseam.util.logqueue import DescriptorHandler, start_queue_handler, wait_until_written

LOG_FLOOD = """
import logging
from ringseam.events import configure_logging
configure_logging(level='INFO')
for number in range(30000):
    logging.getLogger('ringseam').warning({'message': 'x' * 200, 'number': number})
"""


def test_lines_that_do_not_fit_are_dropped_and_counted():
    handler, listener = start_queue_handler(logging.NullHandler(), size=4)
    listener.stop()
    reported = []
    handler.on_dropped = reported.append
    logger = logging.Logger('test')
    logger.addHandler(handler)
    for _ in range(10):
        logger.warning('x')
    assert handler.dropped == 6
    for _ in range(3):
        handler.queue.get_nowait()
    logger.warning('again')
    assert reported == [6]


def test_process_with_stopped_reader_runs_and_exits():
    """Guards against a handler lock: exit would wait for it while a write is blocked."""
    started = time.monotonic()
    process = subprocess.Popen([sys.executable, '-c', LOG_FLOOD], stdout=subprocess.PIPE)
    try:
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stdout.close()
    assert time.monotonic() - started < 20


def test_lines_are_written_whole_and_in_order():
    reader, writer = os.pipe()
    handler, listener = start_queue_handler(DescriptorHandler(descriptor=writer))
    logger = logging.Logger('test')
    logger.addHandler(handler)
    for number in range(100):
        logger.warning('line %d', number)
    wait_until_written(handler, timeout_s=2)
    listener.stop()
    os.close(writer)
    with os.fdopen(reader) as stream:
        assert stream.read().splitlines() == [f'line {number}' for number in range(100)]
