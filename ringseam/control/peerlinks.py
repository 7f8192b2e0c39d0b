"""Streams of packets to the other replicas."""

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

    #: Runs a task until the process ends.
    Spawn = Callable[[asyncio._CoroutineLike[None]], None]

logger = logging.getLogger(__name__)

#: Pause before a broken stream is opened again, seconds.
_RECONNECT_S = 0.1
#: Packets that wait for a slow peer; Raft sends again what is dropped.
_PEER_QUEUE_PACKETS = 1024


class PeerLinks:
    """One ordered stream of packets to each peer; a full one drops packets."""

    def __init__(self, *, client: CallClient, metrics: Metrics, spawn: Spawn) -> None:
        """Send through ``client``, from tasks that ``spawn`` starts."""
        self.client = client
        self.metrics = metrics
        self.spawn = spawn
        self.queues: dict[str, asyncio.Queue[Packet]] = {}

    def send(self, address: str, packet: Packet) -> None:
        """Queue a packet; Raft sends again what is lost."""
        if address not in self.queues:
            self.queues[address] = asyncio.Queue(_PEER_QUEUE_PACKETS)
            self.spawn(self._run_stream(address))
        with contextlib.suppress(asyncio.QueueFull):
            self.queues[address].put_nowait(packet)
            self.metrics.add('peer_bytes', packet.payload_bytes, peer=address)

    async def _run_stream(self, address: str) -> None:
        while True:  # noqa: WPS457 - ends with the role
            try:
                await self.client.stream(address, PACKETS, self.queues[address])
            except UnreachableError as error:
                logger.debug('peer link broke: %s', error)
            await asyncio.sleep(_RECONNECT_S)
            while not self.queues[address].empty():
                self.queues[address].get_nowait()
