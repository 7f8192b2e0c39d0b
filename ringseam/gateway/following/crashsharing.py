"""Notices to all gateways of servers that one of them has seen to crash."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

import msgspec

from ringseam.errors import UnreachableError
from ringseam.gateway.following.crashedservers import MAX_CRASHED
from ringseam.gateway.following.crashmessages import TELL_CRASH
from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.messages import Empty
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.envelopes import ReceivedMessage
    from ringseam.gateway.following.crashmessages import CrashNotice
    from ringseam.gateway.following.follower import Follower
    from ringseam.lifetimes import BackendId
    from ringseam.node import Node
    from ringseam.rpc import CallClient, CallServer

logger = logging.getLogger(__name__)

#: Number of gateways that pass the notices of one server on. All gateways with a connection to
#: it may see its crash, so that each of them telling all others would cost the square of their
#: number in calls; one relay may be lost with the server.
RELAYS = 2
_TELL_TIMEOUT_S = 1.0


class CrashSharing:
    """Tell all gateways of a crash, so that none continues a stream at the next lifetime.

    A gateway without a connection to the server sees nothing of it.
    """

    def __init__(self, *, node: Node, client: CallClient, follower: Follower) -> None:
        """Share the crashes that ``follower`` records."""
        self.node = node
        self.client = client
        self.follower = follower
        self.tasks = TaskSet()
        #: The lifetimes whose notices this gateway has passed on.
        self.relayed: collections.deque[BackendId] = collections.deque(maxlen=MAX_CRASHED)
        follower.crash_listeners.append(self.report)

    def register(self, server: CallServer) -> None:
        """Serve the notices of other gateways."""
        server.add(TELL_CRASH, self.serve)

    def report(self, server: BackendReport, notice: CrashNotice) -> None:
        """Tell the gateways that pass on the notices of a server with streams."""
        if server.service not in self.follower.table.stream_limits_s:
            return
        addresses = {state.name: state.address for state in self.follower.gateways}
        addresses[self.node.name] = self.node.address
        relays = rendezvous_order(server.instance, addresses)[:RELAYS]
        if self.node.name in relays:
            self._relay(notice)
        others = [addresses[name] for name in relays if name != self.node.name]
        self._tell(others, msgspec.structs.replace(notice, relay=True))

    async def serve(self, received: ReceivedMessage) -> Empty:
        """Record a crash, and pass its notice on if the sender asks for that."""
        notice: CrashNotice = received.body
        self.follower.learn_crash(notice)
        if notice.relay:
            self._relay(msgspec.structs.replace(notice, relay=False))
        return Empty()

    def _relay(self, notice: CrashNotice) -> None:
        if notice.ended in self.relayed:
            return
        self.relayed.append(notice.ended)
        others = [state for state in self.follower.gateways if state.name != self.node.name]
        self._tell([state.address for state in others], notice)

    def _tell(self, addresses: Collection[str], notice: CrashNotice) -> None:
        for address in addresses:
            self.tasks.spawn(self._send(address, notice))

    async def _send(self, address: str, notice: CrashNotice) -> None:
        try:
            await self.client.call(address, TELL_CRASH, notice, timeout_s=_TELL_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('gateway not told of a crash: %s', error)
