"""Streams that carry packets to the other replicas."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from ringseam.control.peermessages import PACKETS
from ringseam.errors import UnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.control.raftlog import Packet
    from ringseam.metrics import Metrics
    from ringseam.rpc import CallClient

    #: Starts a task that runs until the process ends.
    Spawn = Callable[[asyncio._CoroutineLike[None]], None]

logger = logging.getLogger(__name__)

#: Seconds to wait before a broken stream is reopened.
_RECONNECT_S = 0.1
#: Maximum number of queued packets for a slow peer. Dropping is safe: Raft resends.
_PEER_QUEUE_PACKETS = 1024


class PeerLinks:
    """An ordered stream of packets to each peer, with a bounded queue."""

    def __init__(self, *, client: CallClient, metrics: Metrics, spawn: Spawn) -> None:
        """Send through ``client``, in tasks started with ``spawn``."""
        self.client = client
        self.metrics = metrics
        self.spawn = spawn
        self.queues: dict[str, asyncio.Queue[Packet]] = {}

    def send(self, address: str, packet: Packet) -> None:
        """Queue a packet, or drop it if the queue is full; Raft resends lost packets."""
        if address not in self.queues:
            self.queues[address] = asyncio.Queue(_PEER_QUEUE_PACKETS)
            self.spawn(self._run_stream(address))
        with contextlib.suppress(asyncio.QueueFull):
            self.queues[address].put_nowait(packet)
            self.metrics.add('peer_bytes', packet.payload_bytes, peer=address)

    async def _run_stream(self, address: str) -> None:
        while True:  # noqa: WPS457 - cancelled when the role ends
            try:
                await self.client.call_client_stream(address, PACKETS, self.queues[address])
            except UnreachableError as error:
                logger.debug('stream to a peer broke: %s', error)
            await asyncio.sleep(_RECONNECT_S)
            while not self.queues[address].empty():
                self.queues[address].get_nowait()
