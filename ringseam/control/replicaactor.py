"""The actor that runs one replica on its own thread."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import pykka

from ringseam.errors import StorageError
from ringseam.events import Event
from ringseam.util.actors import ActorRequest

if TYPE_CHECKING:
    from ringseam.control.replica import Replica

logger = logging.getLogger(__name__)


class ReplicaActor(pykka.ThreadingActor):
    """Run a replica on its own thread.

    With group commit, all messages that are waiting in the inbox are handled before
    the data folder is synced once for all of them.
    """

    use_daemon_thread = True

    def __init__(self, *, replica: Replica) -> None:
        """Create the actor of ``replica``."""
        super().__init__()
        self.replica = replica

    def on_receive(self, message: Any) -> None:
        """Handle one message; flush when the inbox is empty or group commit is off.

        A storage failure stops the actor.
        """
        reply_to = None
        body = message
        if isinstance(message, ActorRequest):
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
        """Close the data folder."""
        self.replica.storage.close()

    def on_failure(self, *failure: Any) -> None:
        """Report the failure: the process must not go on without its replica."""
        self.replica.callbacks.failed(
            f'replica failed with an unexpected exception: {failure[1]!r}'
        )
