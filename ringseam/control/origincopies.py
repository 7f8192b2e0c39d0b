"""Copies of the origins of streams, which outlive the gateways."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.messages import Empty
from ringseam.originmessages import FIND_ORIGIN, SAVE_ORIGINS, FoundOrigin
from ringseam.streamorigins import OriginStore

if TYPE_CHECKING:
    from ringseam.envelopes import ReceivedMessage
    from ringseam.node import Node
    from ringseam.originmessages import FindOrigin, SaveOrigins
    from ringseam.rpc import CallServer

#: Maximum number of records at one control host, of about 400 bytes each.
_MAX_RECORDS = 60_000


class OriginCopies:
    """Keep copies of the origins of streams in memory, for gateways that have just started.

    They aren't in the replicated log: each gateway sends its records to two control hosts.
    """

    def __init__(self, *, node: Node) -> None:
        """Start without any."""
        self.node = node
        self.store = OriginStore(capacity=_MAX_RECORDS)

    def serve(self, server: CallServer) -> None:
        """Register the methods that gateways call."""
        server.add(SAVE_ORIGINS, self.save)
        server.add(FIND_ORIGIN, self.find)

    async def save(self, received: ReceivedMessage) -> Empty:
        """Keep copies of a gateway's records."""
        saved: SaveOrigins = received.body
        now = self.node.clock.now()
        for record in saved.records:
            self.store.add_record(record, now)
        self.store.expire(now)
        return Empty()

    async def find(self, received: ReceivedMessage) -> FoundOrigin:
        """Return the record of an attempt, if it is kept here."""
        query: FindOrigin = received.body
        return FoundOrigin(record=self.store.find(query.key, self.node.clock.now()))
