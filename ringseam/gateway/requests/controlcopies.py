"""Copies of the origins of streams at control hosts, which outlive the gateways."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.errors import UnreachableError
from ringseam.gateway.following.crashedservers import REPORT_DELAY_S
from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.originmessages import FIND_ORIGIN, SAVE_ORIGINS, FindOrigin, SaveOrigins
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.contents import ContentId
    from ringseam.gateway.following.follower import Follower
    from ringseam.node import Node
    from ringseam.originmessages import FoundOrigin
    from ringseam.rpc import CallClient
    from ringseam.streamorigins import OriginRecord, OriginStore

logger = logging.getLogger(__name__)

#: Number of control hosts that keep the records of a gateway.
_COPIES = 2
#: Maximum number of control hosts that are asked for a record; the keepers depend on the gateway
#: that began the stream, which isn't known.
_ASKED = 9
#: Records are collected for this long and sent together, seconds. Those of the last batch are
#: lost with their gateway.
_BATCH_S = 0.2
_SAVE_TIMEOUT_S = 1.0
#: A round trip takes milliseconds; a client waits for the answer.
_FIND_TIMEOUT_S = 0.15
#: Maximum number of records that wait to be sent; the oldest are dropped first.
_MAX_WAITING = 5000


class ControlCopies:
    """Keep copies of this gateway's records at control hosts, and find those of others.

    A gateway that has just started may not know yet that a server has crashed and runs another
    version, so it relies on these records only after the reports of all servers have had time
    to arrive.
    """

    def __init__(
        self, *, node: Node, client: CallClient, follower: Follower, store: OriginStore
    ) -> None:
        """Send the records of ``store``."""
        self.node = node
        self.client = client
        self.follower = follower
        self.store = store
        self.started_at = node.clock.now()
        #: Keys of the records to be sent, in the order in which they came.
        self.waiting: dict[ContentId, None] = {}
        self.tasks = TaskSet()

    @property
    def usable_in_s(self) -> float:
        """Return the time until records of control hosts are relied on, seconds."""
        return max(0, self.started_at + REPORT_DELAY_S - self.node.clock.now())

    def add(self, keys: Iterable[ContentId]) -> None:
        """Send records with the next batch."""
        is_scheduled = bool(self.waiting)
        self.waiting.update(dict.fromkeys(keys))
        while len(self.waiting) > _MAX_WAITING:
            self.waiting.pop(next(iter(self.waiting)))
        if self.waiting and not is_scheduled:
            self.tasks.spawn(self._send_batch())

    async def find(self, key: ContentId) -> OriginRecord | None:
        """Return the record of an attempt; None if no control host has it."""
        replies = await asyncio.gather(
            *(self._ask(address, key) for address in self.follower.addresses[:_ASKED])
        )
        records = [reply.record for reply in replies if reply is not None and reply.record]
        return records[0] if records else None

    async def _send_batch(self) -> None:
        await asyncio.sleep(_BATCH_S)
        now = self.node.clock.now()
        found = [self.store.find(key, now) for key in self.waiting]
        self.waiting = {}
        records = tuple(record for record in found if record is not None)
        keepers = rendezvous_order(self.node.name, self.follower.addresses)[:_COPIES]
        await asyncio.gather(*(self._save(address, records) for address in keepers))

    async def _save(self, address: str, records: tuple[OriginRecord, ...]) -> None:
        message = SaveOrigins(records=records)
        try:
            await self.client.call(address, SAVE_ORIGINS, message, timeout_s=_SAVE_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('origins of streams not copied to control: %s', error)

    async def _ask(self, address: str, key: ContentId) -> FoundOrigin | None:
        query = FindOrigin(key=key)
        try:
            received = await self.client.call(
                address, FIND_ORIGIN, query, timeout_s=_FIND_TIMEOUT_S
            )
        except UnreachableError as error:
            logger.debug('control host not asked for the origin of a stream: %s', error)
            return None
        return received.body
