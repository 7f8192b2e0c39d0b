"""Pools of idle HTTP/1.1 connections to backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.ids import split_address
from ringseam.web.client import ChannelError, HttpChannel, RefusedError

if TYPE_CHECKING:
    from ringseam.clock import Clock


@dataclass(kw_only=True)
class IdleChannel:
    """An idle connection and the time until which it may be reused."""

    channel: HttpChannel
    expires_at: float


class HttpChannelPool:
    """A pool of idle connections by address."""

    def __init__(self, *, clock: Clock) -> None:
        """Create an empty pool."""
        self.clock = clock
        self.idle: dict[str, list[IdleChannel]] = {}
        self.opened = 0

    async def acquire(self, address: str, *, timeout_s: float) -> HttpChannel:
        """Return an idle connection or open a new one.

        :raises ChannelError: if none can be opened in time.
        """
        now = self.clock.now()
        idle_channels = self.idle.get(address, [])
        while idle_channels:
            candidate = idle_channels.pop()
            if candidate.expires_at > now and candidate.channel.is_open:
                return candidate.channel
            candidate.channel.close()
        return await self.connect(address, timeout_s=timeout_s)

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
