"""Pools of idle HTTP/1.1 connections to backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.ids import split_address
from ringseam.web.client import ChannelError, HttpChannel, RefusedError

if TYPE_CHECKING:
    from ringseam.clock import Clock

#: Interval at which a request that waits for a connection looks for one, seconds.
_BUSY_POLL_S = 0.02


@dataclass(kw_only=True)
class IdleChannel:
    """An idle connection and the time until which it may be reused."""

    channel: HttpChannel
    expires_at: float


class BusyError(ChannelError):
    """All connections that may be open to a server are in use."""


class HttpChannelPool:
    """A pool of idle connections by address."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty pool."""
        self.clock = clock
        self.idle: dict[str, list[IdleChannel]] = {}
        #: Connections opened by :meth:`acquire`; closed ones are removed when they are counted.
        self.channels: dict[str, set[HttpChannel]] = {}
        self.opened = 0

    async def acquire(
        self, address: str, *, timeout_s: float, max_open: int | None = None
    ) -> HttpChannel:
        """Return an idle connection or open a new one.

        :param max_open: the largest number of connections to ``address``; None: any number.
        :raises BusyError: if that many are in use until ``timeout_s``.
        :raises ChannelError: if none can be opened in time.
        """
        due = self.clock.now() + timeout_s
        channel = self._take_idle(address)
        while channel is None and max_open is not None and self.open_count(address) >= max_open:
            if not max_open or self.clock.now() >= due:
                raise BusyError(f'{address}: all connections are in use', sent=False)
            await asyncio.sleep(min(_BUSY_POLL_S, timeout_s))
            channel = self._take_idle(address)
        if channel is not None:
            return channel
        return await self._open(address, max(0, due - self.clock.now()))

    def open_count(self, address: str) -> int:
        """Return the number of open connections to an address, idle ones included."""
        channels = self.channels.get(address)
        if channels is None:
            return 0
        for channel in list(channels):
            # A connection that is not reusable stays open until its response has been read.
            if channel.transport is not None and channel.transport.is_closing():
                channels.discard(channel)
        if not channels:
            self.channels.pop(address)
        return len(channels)

    async def connect(self, address: str, *, timeout_s: float) -> HttpChannel:
        """Open a new connection.

        :raises ChannelError: if it can not be opened in time.
        """
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, channel = await loop.create_connection(
                    lambda: HttpChannel(address=address),
                    host,
                    port,
                )
        except ConnectionRefusedError as error:
            raise RefusedError(f'{address}: {error}', sent=False) from None
        except (OSError, asyncio.TimeoutError) as error:
            raise ChannelError(f'{address}: {type(error).__name__} {error}', sent=False) from None
        return channel

    def release(self, channel: HttpChannel) -> None:
        """Return a connection to the pool if its response was read completely, else close it."""
        if not channel.prepare_next_request():
            channel.close()
            return
        expires_at = self.clock.now() + channel.idle_timeout_s
        self.idle.setdefault(channel.address, []).append(
            IdleChannel(channel=channel, expires_at=expires_at)
        )

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for idle_channel in self.idle.pop(address, []):
            idle_channel.channel.close()

    def close_expired(self) -> None:
        """Close idle connections that have expired."""
        now = self.clock.now()
        for counted in list(self.channels):
            self.open_count(counted)
        for address, idle_channels in list(self.idle.items()):
            kept = [
                idle for idle in idle_channels if idle.expires_at > now and idle.channel.is_open
            ]
            for idle_channel in idle_channels:
                if idle_channel not in kept:
                    idle_channel.channel.close()
            self.idle[address] = kept
            if not kept:
                self.idle.pop(address)

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            self.close_idle(address)

    # -- helpers ------------------------------------------------------------

    def _take_idle(self, address: str) -> HttpChannel | None:
        now = self.clock.now()
        idle_channels = self.idle.get(address, [])
        while idle_channels:
            candidate = idle_channels.pop()
            if candidate.expires_at > now and candidate.channel.is_open:
                return candidate.channel
            candidate.channel.close()
        return None

    async def _open(self, address: str, timeout_s: float) -> HttpChannel:
        """Open a connection that counts from the attempt on."""
        pending = HttpChannel(address=address)
        channels = self.channels.setdefault(address, set())
        channels.add(pending)
        try:
            channel = await self.connect(address, timeout_s=timeout_s)
        finally:
            channels.discard(pending)
        self.channels.setdefault(address, set()).add(channel)
        return channel
