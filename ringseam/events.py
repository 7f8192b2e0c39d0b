"""Numbered log events and their emission as JSON lines."""

from __future__ import annotations

import enum
import logging
import sys
from typing import TYPE_CHECKING, Any

from pythonjsonlogger.msgspec import MsgspecFormatter

if TYPE_CHECKING:
    from ringseam.clock import HybridClock

#: Root of the loggers of this package.
ROOT = 'ringseam'


class Event(enum.Enum):
    """The catalogue: number, level and what happened."""

    process_started = (100, logging.INFO, 'process serves')
    drain_started = (101, logging.INFO, 'planned stop begins')
    process_stopped = (102, logging.INFO, 'process stops')
    stranger_refused = (103, logging.WARNING, 'message without the cluster key refused')
    revision_in_force = (110, logging.INFO, 'configuration revision in force')
    revision_stale = (111, logging.WARNING, 'sender holds an older revision')
    first_revision = (112, logging.INFO, 'first revision taken at the start')
    became_leader = (200, logging.INFO, 'replica leads')
    became_follower = (201, logging.INFO, 'replica follows')
    group_formed = (202, logging.INFO, 'replicas formed a new group')
    member_changed = (203, logging.INFO, 'membership change applied')
    snapshot_written = (204, logging.INFO, 'snapshot written')
    snapshot_installed = (205, logging.INFO, 'snapshot received and installed')
    log_tail_cut = (206, logging.WARNING, 'torn tail of the log cut')
    storage_failed = (207, logging.CRITICAL, 'data folder failed; replica stops')
    apply_accepted = (210, logging.INFO, 'operator file accepted')
    apply_refused = (211, logging.WARNING, 'operator file refused')
    agent_seen = (220, logging.INFO, 'agent entered the directory')
    agent_lost = (221, logging.WARNING, 'agent left the directory')
    request_received = (300, logging.INFO, 'request received')
    request_answered = (301, logging.INFO, 'request answered')
    stage_dispatched = (310, logging.INFO, 'stage dispatched')
    stage_answered = (311, logging.INFO, 'stage answered')
    stage_retried = (312, logging.INFO, 'stage tried again')
    answer_dropped = (313, logging.WARNING, 'answer for another request dropped')
    claim_granted = (320, logging.INFO, 'claim granted')
    claim_refused = (321, logging.INFO, 'claim refused')
    execution_started = (400, logging.INFO, 'execution started')
    execution_ended = (401, logging.INFO, 'execution ended')
    execution_refused = (402, logging.INFO, 'dispatch refused; not run')
    execution_cancelled = (403, logging.INFO, 'execution cancelled')
    tombstoned = (404, logging.INFO, 'execution forbidden from now on')
    server_announced = (410, logging.INFO, 'backend server announced itself')
    server_left = (411, logging.WARNING, 'backend server left or fell silent')

    @property
    def number(self) -> int:
        """Return the event's number, stable over versions."""
        return self.value[0]

    @property
    def level(self) -> int:
        """Return the logging level."""
        return self.value[1]

    @property
    def text(self) -> str:
        """Return what happened, in words."""
        return self.value[2]


class EventLog:
    """Emit events of one process with its identity and causal stamp."""

    def __init__(
        self,
        *,
        process: str,
        incarnation: str,
        hybrid: HybridClock,
    ) -> None:
        """Bind the identity that each line carries."""
        self.process = process
        self.incarnation = incarnation
        self.hybrid = hybrid

    def emit(self, logger: logging.Logger, event: Event, **fields: Any) -> None:
        """Log ``event`` with ``fields``; secrets never belong in them."""
        if not logger.isEnabledFor(event.level):
            return
        wall, counter = self.hybrid.tick()
        line = {
            'message': event.text,
            'event': event.number,
            'event_name': event.name,
            'process': self.process,
            'incarnation': self.incarnation,
            'hlc': [wall, counter],
        }
        logger.log(event.level, {**line, **fields})


def configure_logging(*, level: str, path: str = '') -> None:
    """Send JSON lines to ``path``, or to standard error."""
    stream_handler: logging.Handler
    if path:
        stream_handler = logging.FileHandler(path)
    else:
        stream_handler = logging.StreamHandler(sys.stderr)
    stream_handler.setFormatter(
        MsgspecFormatter('%(created)f %(levelname)s %(name)s %(message)s'),
    )
    # Where a line was logged, by which thread and process, is in no line of
    # ours; the logging how-to says how to save the time of finding it out.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # noqa: WPS437 - as the how-to has it
    root = logging.getLogger(ROOT)
    root.handlers = [stream_handler]
    root.setLevel(level)
    root.propagate = False
