"""The actor that runs one replica on a thread of its own."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import pykka

from ringseam.errors import StorageError
from ringseam.events import Event
from ringseam.util.actors import Ask

if TYPE_CHECKING:
    from ringseam.control.replica import Replica

logger = logging.getLogger(__name__)


class ReplicaActor(pykka.ThreadingActor):
    """Run a replica on a thread of its own.

    Messages that wait in the inbox are taken in before the folder is synced
    once for all of them (group commit).
    """

    use_daemon_thread = True

    def __init__(self, *, replica: Replica) -> None:
        """Run ``replica``."""
        super().__init__()
        self.replica = replica

    def on_receive(self, message: Any) -> None:
        """Handle one message, and flush when no more wait."""
        reply_to = None
        body = message
        if isinstance(message, Ask):
            reply_to, body = message.reply_to, message.body
        replica = self.replica
        try:
            replica.receive(body, reply_to)
            if self.actor_inbox.empty() or not replica.settings.group_commit:
                replica.flush()
        except StorageError as error:
            replica.node.events.emit(logger, Event.storage_failed, detail=str(error))
            replica.callbacks.failed(str(error))
            self.stop()

    def on_stop(self) -> None:
        """Close the folder."""
        self.replica.storage.close()

    def on_failure(self, *failure: Any) -> None:
        """Tell the process: a replica without its actor must not live on."""
        self.replica.callbacks.failed(f'replica broke: {failure[1]!r}')
