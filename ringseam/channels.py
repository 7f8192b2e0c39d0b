"""Connections to other processes, one per address, that detect dead peers."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ringseam.envelopes import AuthenticatedCodec
from ringseam.errors import NotSentError, StrangerError
from ringseam.ids import split_address

if TYPE_CHECKING:
    from ringseam.node import Node

logger = logging.getLogger(__name__)

#: Timeout for establishing a connection, seconds.
CONNECT_TIMEOUT_S = 1.0
#: Time that data may stay unacknowledged before the connection is closed, ms (RFC 5482).
_USER_TIMEOUT_MS = 1000
#: Idle time before the first keepalive probe and between probes, seconds, and their number.
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_DEAD_PEER_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)
#: Exceptions of a broken connection, whichever layer detects it first.
CALL_ERRORS = (
    OSError,
    StreamTerminatedError,
    GRPCError,
    asyncio.TimeoutError,
    StrangerError,
)


def detect_dead_peer(transport: asyncio.BaseTransport) -> None:
    """Let the kernel close the connection when its peer stops responding."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    for option, amount in _DEAD_PEER_OPTIONS:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, option, amount)
        except OSError as error:
            logger.debug('could not set socket option %s: %s', option, error)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class ChannelPool:
    """The channels of this process by address, opened on demand."""

    def __init__(self, *, node: Node) -> None:
        """Connect as ``node``."""
        self.node = node
        self.by_address: dict[str, Channel] = {}
        #: By address, the connection whose socket options have been set.
        self.configured: dict[str, Any] = {}

    async def connect(self, address: str, timeout_s: float) -> Channel:
        """Return the channel to ``address`` with an open connection.

        :raises NotSentError: when no connection could be made.
        """
        channel = self._channel(address)
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                protocol = await channel.__connect__()
        except CALL_ERRORS as error:
            raise NotSentError(f'{address}: {type(error).__name__} {error}') from None
        if protocol.connection.is_closing():
            # The peer reset the connection between the handshake and this check.
            raise NotSentError(f'{address}: the connection was closed before it was used')
        if self.configured.get(address) is not protocol:
            self.configured[address] = protocol
            detect_dead_peer(protocol.connection._transport)  # noqa: WPS437 - no public way
        return channel

    def close(self) -> None:
        """Close all channels."""
        for channel in self.by_address.values():
            channel.close()
        self.by_address.clear()

    def _channel(self, address: str) -> Channel:
        channel = self.by_address.get(address)
        if channel is None:
            host, port = split_address(address)
            channel = Channel(host, port, codec=AuthenticatedCodec(node=self.node))
            self.by_address[address] = channel
        return channel
