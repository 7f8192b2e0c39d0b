"""A pool of connections to backend servers that counts what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.gateway.hosts.budget import Holder, HostBudget
from ringseam.web.pool import HttpChannelPool

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.web.client import HttpChannel


class CountedPool(HttpChannelPool):
    """Open connections whose held bytes are part of a host's budget."""

    def __init__(self, *, clock: Clock, budget: HostBudget) -> None:
        """Create an empty pool that counts in ``budget``."""
        super().__init__(clock=clock)
        self.count_request = budget.counter(Holder.server_requests)
        self.count_response = budget.counter(Holder.server_responses)

    async def connect(self, address: str, *, timeout_s: float) -> HttpChannel:
        """Open a new connection and count what it holds."""
        channel = await super().connect(address, timeout_s=timeout_s)
        channel.count_request = self.count_request
        channel.count_response = self.count_response
        return channel
