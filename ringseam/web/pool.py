"""Pools of idle HTTP/1.1 connections to backend servers."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.ids import split_address
from ringseam.web.client import ChannelError, HttpChannel, RefusedError
from ringseam.web.turns import WaitingRequest, WaitingRequests

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.clock import Clock

#: Times of accepted connections are kept for this long, seconds: at least as long as a server
#: may take to listen after its start.
ACCEPTED_KEPT_S = 15.0


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
        #: Requests that wait for a connection, by address.
        self.waiting: dict[str, WaitingRequests] = {}
        #: When addresses last accepted a connection, Unix time in ms; of the last seconds only.
        self.accepted_ms: dict[str, int] = {}
        #: Called with an address at which nobody listens.
        self.on_refused: Callable[[str], None] = _ignore_address
        #: Called with the address of an idle connection that its server closed early.
        self.on_idle_closed: Callable[[str], None] = _ignore_address

    async def acquire(
        self,
        address: str,
        *,
        timeout_s: float,
        max_open: int | None = None,
        order: tuple[float, ...] = (),
        is_new: bool = False,
    ) -> HttpChannel:
        """Return an idle connection or open a new one.

        :param is_new: without ``max_open``: open a new one in any case.
        :param max_open: the largest number of connections to ``address``; None: any number.
        :param order: of the requests that wait for one; equal ones are served as they come.
        :raises BusyError: if that many are in use until ``timeout_s``.
        :raises ChannelError: if none can be opened in time.
        """
        if max_open is None:
            idle = None if is_new else self._take_idle(address)
            return idle or await self._open(address, timeout_s)
        queue = self.waiting.get(address)
        if queue is not None:
            queue.max_open = max_open
        if not max_open:
            raise BusyError(f'{address}: no connections are allowed', sent=False)
        granted = await self._wait_for_turn(address, timeout_s, max_open, order)
        if granted.transport is not None:
            return granted
        return await self._open(address, timeout_s, pending=granted)

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

    def used_count(self, address: str) -> int:
        """Return the number of connections to an address that carry a request."""
        return max(0, self.open_count(address) - len(self.idle.get(address, [])))

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
            self.on_refused(address)
            raise RefusedError(f'{address}: {error}', sent=False) from None
        except (OSError, asyncio.TimeoutError) as error:
            raise ChannelError(f'{address}: {type(error).__name__} {error}', sent=False) from None
        self.accepted_ms[address] = self.clock.wall_ms()
        return channel

    def release(self, channel: HttpChannel) -> None:
        """Return a connection to the pool if its response was read completely, else close it."""
        if channel.prepare_next_request():
            self._add_idle(channel)
        else:
            channel.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for idle_channel in self.idle.pop(address, []):
            idle_channel.channel.close()

    def close_expired(self) -> None:
        """Close idle connections that have expired."""
        now = self.clock.now()
        oldest_ms = self.clock.wall_ms() - ACCEPTED_KEPT_S * MS_PER_S
        self.accepted_ms = {
            address: at_ms for address, at_ms in self.accepted_ms.items() if at_ms > oldest_ms
        }
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

    async def _wait_for_turn(
        self, address: str, timeout_s: float, max_open: int, order: tuple[float, ...]
    ) -> HttpChannel:
        """Return an idle connection, or one that is yet to be opened and counts as open.

        :raises BusyError: if there is none in time.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        granted = await self._turn(WaitingRequest(order=order), address, ends_at, max_open)
        while granted.transport is not None and not granted.is_open:
            # It was closed after it had been granted.
            again = WaitingRequest(order=order, again=True)
            granted = await self._turn(again, address, ends_at, max_open)
        return granted

    async def _turn(
        self, request: WaitingRequest, address: str, ends_at: float, max_open: int
    ) -> HttpChannel:
        """Wait until a connection is granted, which may be closed by then.

        :param ends_at: in the time of the event loop.
        :param max_open: if no other request waits; else the newest limit remains.
        """
        queue = self.waiting.setdefault(address, WaitingRequests(max_open=max_open))
        queue.add(request)
        self._grant(address)
        try:
            # Waiting lets other tasks run, even for what is granted already.
            if not request.granted.done():
                timeout_s = ends_at - asyncio.get_running_loop().time()
                await asyncio.wait((request.granted,), timeout=max(0, timeout_s))
        except asyncio.CancelledError:
            if request.granted.done():
                self._give_back(request.granted.result())
            raise
        finally:
            queue.remove(request)
            if not queue and self.waiting.get(address) is queue:
                self.waiting.pop(address)
        if not request.granted.done():
            raise BusyError(f'{address}: all connections are in use', sent=False)
        return request.granted.result()

    def _grant(self, address: str) -> None:
        """Grant free connections to the requests that wait for them, in their order."""
        queue = self.waiting.get(address)
        request = queue.first() if queue else None
        while queue and request is not None:
            channel = self._take_idle(address)
            if channel is None:
                if self.open_count(address) >= queue.max_open:
                    return
                channel = HttpChannel(address=address)
                self.channels.setdefault(address, set()).add(channel)
            request.granted.set_result(channel)
            queue.remove(request)
            request = queue.first()

    def _give_back(self, channel: HttpChannel) -> None:
        """Leave a granted connection, over which nothing was sent, to the next request."""
        if channel.is_open:
            self._add_idle(channel)
            return
        channel.close()
        if channel.transport is None:
            self.channels.get(channel.address, set()).discard(channel)
        self._grant(channel.address)

    def _add_idle(self, channel: HttpChannel) -> None:
        """Keep a connection that is ready for a request, or grant it to one that waits."""
        expires_at = self.clock.now() + channel.idle_timeout_s
        self.idle.setdefault(channel.address, []).append(
            IdleChannel(channel=channel, expires_at=expires_at)
        )
        self._grant(channel.address)

    async def _open(
        self, address: str, timeout_s: float, *, pending: HttpChannel | None = None
    ) -> HttpChannel:
        """Open a connection that counts from the attempt on.

        :param pending: stands for it already.
        """
        pending = pending or HttpChannel(address=address)
        self.channels.setdefault(address, set()).add(pending)
        try:
            channel = await self.connect(address, timeout_s=timeout_s)
        except BaseException:
            self._give_back(pending)
            raise
        channels = self.channels.setdefault(address, set())
        channels.discard(pending)
        channels.add(channel)
        channel.on_closed = functools.partial(self._handle_closed, channel)
        return channel

    def _handle_closed(self, channel: HttpChannel) -> None:
        now = self.clock.now()
        if any(
            idle.channel is channel and idle.expires_at > now
            for idle in self.idle.get(channel.address, [])
        ):
            self.on_idle_closed(channel.address)
        self._grant(channel.address)


def _ignore_address(address: str) -> None:
    """Do nothing."""
