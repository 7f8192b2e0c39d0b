"""Requests that wait for a connection, in the order in which they get one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.web.client import HttpChannel


@dataclass(kw_only=True, eq=False)
class WaitingRequest:
    """One request that waits for a connection."""

    #: The least is served first.
    order: tuple[float, ...]
    #: Whether it has had a turn already, with a connection that was closed at once.
    again: bool = False
    granted: asyncio.Future[HttpChannel] = field(init=False)

    def __post_init__(self) -> None:
        """Create the future of the connection in the running event loop."""
        self.granted = asyncio.get_running_loop().create_future()


class WaitingRequests:
    """The requests that wait for a connection to one address."""

    def __init__(self, *, max_open: int) -> None:
        """Create an empty queue.

        :param max_open: the largest number of connections, by the newest request.
        """
        self.max_open = max_open
        self.requests: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self.requests)

    def add(self, request: WaitingRequest) -> None:
        """Add a request behind those of the same order, or before them if it waits again."""
        if request.again:
            self.requests.insert(0, request)
        else:
            self.requests.append(request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request, if it still waits."""
        if request in self.requests:
            self.requests.remove(request)

    def first(self) -> WaitingRequest | None:
        """Return the request that is served next."""
        return min(self.requests, key=_order_of, default=None)


def _order_of(request: WaitingRequest) -> tuple[float, ...]:
    return request.order
