"""Connections to other processes, one per address, that detect dead peers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
from typing import TYPE_CHECKING, Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ringseam.envelopes import AuthenticatedCodec
from ringseam.errors import NotSentError, StrangerError
from ringseam.events import Event
from ringseam.ids import split_address
from ringseam.util.tasks import cancellation_requests

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from grpclib.protocol import H2Protocol

    from ringseam.clock import Clock
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
#: A channel over which nothing has arrived for this long is replaced when a call times out,
#: seconds. The kernel of the peer may acknowledge data that the peer never gets.
SILENCE_S = 1.0
#: Streams whose peer sends nothing by itself: interval of pings and time for their
#: acknowledgement, seconds.
_PING_INTERVAL_S = 1.0
_PING_TIMEOUT_S = 1.5
_PINGS = Configuration(
    _keepalive_time=_PING_INTERVAL_S,
    _keepalive_timeout=_PING_TIMEOUT_S,
    _http2_max_pings_without_data=0,
    # The default of five minutes would allow no other interval.
    _http2_min_sent_ping_interval_without_data=_PING_INTERVAL_S / 2,
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


@contextlib.contextmanager
def undo_cancellations() -> Iterator[None]:
    """Undo the cancellations by which grpclib wakes the task of a call that broke.

    A time limit around the call would end as a cancellation otherwise.
    """
    requests = cancellation_requests()
    try:
        yield
    except CALL_ERRORS:
        task = asyncio.current_task()
        while task is not None and task.cancelling() > requests:
            task.uncancel()
        raise


class MonitoredChannel(Channel):
    """A channel that records when data arrives over it."""

    def __init__(self, host: str, port: int, *, codec: AuthenticatedCodec, clock: Clock) -> None:
        """Create a channel that is connected by its first call."""
        super().__init__(host, port, codec=codec)
        self.clock = clock
        self.received_at = -math.inf
        #: When the first call began that timed out without any data since; infinite: none.
        self.silent_since = math.inf
        #: Calls in progress.
        self.calls = 0

    @property
    def is_silent(self) -> bool:
        """Return whether calls time out and nothing has arrived for a while."""
        return self.clock.now() - self.silent_since >= SILENCE_S

    def record_data(self) -> None:
        """Record that data has arrived."""
        self.received_at = self.clock.now()
        self.silent_since = math.inf

    def record_timeout(self, started_at: float) -> None:
        """Record that a call has timed out."""
        if self.received_at < started_at:
            self.silent_since = min(self.silent_since, started_at)

    def _protocol_factory(self) -> H2Protocol:
        protocol = super()._protocol_factory()
        receive = protocol.data_received

        def receive_and_record(data: bytes) -> None:  # noqa: WPS430, WPS110 - as in the protocol
            self.record_data()
            receive(data)

        protocol.data_received = receive_and_record  # type: ignore[method-assign]
        return protocol


class ChannelPool:
    """The channels of this process by address, opened on demand."""

    def __init__(self, *, node: Node) -> None:
        """Connect as ``node``."""
        self.node = node
        self.by_address: dict[str, MonitoredChannel] = {}
        #: By address, the connection whose socket options have been set.
        self.configured: dict[str, Any] = {}
        #: Silent channels that are kept for the calls in progress on them.
        self.replaced: set[MonitoredChannel] = set()
        #: Called with the address and the channel when a silent channel is replaced.
        self.on_replaced: Callable[[str, MonitoredChannel], None] = lambda address, channel: None

    async def connect(self, address: str, timeout_s: float) -> MonitoredChannel:
        """Return the channel to ``address`` with an open connection.

        :raises NotSentError: when no connection could be made.
        """
        channel = self._channel(address)
        protocol = await _open(channel, address, timeout_s)
        if self.configured.get(address) is not protocol:
            self.configured[address] = protocol
            detect_dead_peer(protocol.connection._transport)  # noqa: WPS437 - no public way
        return channel

    @contextlib.asynccontextmanager
    async def connect_for_stream(self, address: str) -> AsyncIterator[Channel]:
        """Open a channel for one stream, which is closed when its peer is silent.

        :raises NotSentError: when no connection could be made.
        """
        host, port = split_address(address)
        channel = Channel(host, port, codec=AuthenticatedCodec(node=self.node), config=_PINGS)
        try:
            protocol = await _open(channel, address, CONNECT_TIMEOUT_S)
            detect_dead_peer(protocol.connection._transport)  # noqa: WPS437 - no public way
            yield channel
        finally:
            channel.close()

    @contextlib.asynccontextmanager
    async def in_use(self, address: str, channel: MonitoredChannel) -> AsyncIterator[None]:
        """Count a call on a channel; replace the channel if the call times out and it is silent.

        Calls in progress stay on the channel that is replaced.
        """
        started_at = self.node.clock.now()
        channel.calls += 1
        try:
            with undo_cancellations():
                yield
        except asyncio.TimeoutError:
            channel.record_timeout(started_at)
            if channel.is_silent and self.by_address.get(address) is channel:
                self._replace(address, channel)
            raise
        finally:
            channel.calls -= 1
            if channel in self.replaced and not channel.calls:
                self.replaced.discard(channel)
                channel.close()

    def close(self) -> None:
        """Close all channels."""
        for channel in (*self.by_address.values(), *self.replaced):
            channel.close()
        self.by_address.clear()
        self.replaced.clear()

    def _replace(self, address: str, channel: MonitoredChannel) -> None:
        self.by_address.pop(address)
        self.replaced.add(channel)
        self.node.events.emit(
            logger, Event.channel_replaced, address=address, calls=channel.calls - 1
        )
        self.on_replaced(address, channel)

    def _channel(self, address: str) -> MonitoredChannel:
        channel = self.by_address.get(address)
        if channel is None:
            host, port = split_address(address)
            codec = AuthenticatedCodec(node=self.node)
            channel = MonitoredChannel(host, port, codec=codec, clock=self.node.clock)
            self.by_address[address] = channel
        return channel


async def _open(channel: Channel, address: str, timeout_s: float) -> H2Protocol:
    """Open the connection of a channel, unless it is open, and return it.

    :raises NotSentError: when no connection could be made.
    """
    try:
        async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
            protocol = await channel.__connect__()
    except CALL_ERRORS as error:
        raise NotSentError(f'{address}: {type(error).__name__} {error}') from None
    if protocol.connection.is_closing():
        # The peer reset the connection between the handshake and this check.
        raise NotSentError(f'{address}: the connection was closed before it was used')
    return protocol
