"""Calls to the control group: find the leader, try again what is idempotent."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

from ringseam.errors import UnreachableError
from ringseam.messages import Redirect

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ringseam.rpc import CallClient, Method, Received

_PAUSE_S = 0.05
_ATTEMPT_S = 1.5


class ControlClient:
    """Reach the leader through any of the control hosts.

    All commands are idempotent by their content (an apply by its id, a claim
    by its request, a conclusion by its generation), so a lost reply is asked
    for again.
    """

    def __init__(self, *, client: CallClient, addresses: Sequence[str], seed: int = 0) -> None:
        """Know the control hosts at ``addresses``."""
        self.client = client
        self.addresses = list(addresses)
        self.leader = ''
        self.random = random.Random(seed)  # noqa: S311 - spreads load only

    async def ask_leader(self, method: Method, message: Any, *, timeout_s: float) -> Any:
        """Return the leader's reply.

        :raises UnreachableError: when no leader answered within ``timeout_s``.
        """
        clock = self.client.node.clock
        until = clock.now() + timeout_s
        while clock.now() < until and self.addresses:
            address = self.leader or self.random.choice(self.addresses)
            left = min(_ATTEMPT_S, until - clock.now())
            reply = await self._attempt(address, method, message, left)
            if reply is not None:
                self.leader = address
                return reply
            await asyncio.sleep(min(_PAUSE_S, max(0, until - clock.now())))
        raise UnreachableError('no leader of the control group answered')

    async def ask_any(self, method: Method, message: Any, *, timeout_s: float) -> Received:
        """Return the first reply of any control host, tried in random order.

        :raises UnreachableError: when none answered.
        """
        for address in self.random.sample(self.addresses, len(self.addresses)):
            with contextlib.suppress(UnreachableError):
                return await self.client.call(address, method, message, timeout_s=timeout_s)
        raise UnreachableError('no control host answered')

    async def _attempt(
        self,
        address: str,
        method: Method,
        message: Any,
        timeout_s: float,
    ) -> Any:
        try:
            received = await self.client.call(address, method, message, timeout_s=timeout_s)
        except UnreachableError:
            self.leader = ''
            return None
        reply = received.body.reply
        if not isinstance(reply, Redirect):
            return reply
        self.leader = reply.leader
        return None
