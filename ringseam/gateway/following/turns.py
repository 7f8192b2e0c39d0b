"""Turns at backend servers that name a limit, given by the owner of their service."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.gateway.following.limits import UNHEARD_S
from ringseam.gateway.following.turnmessages import TURN, ToldLimit, TurnReply, TurnRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.limits import NamedLimit
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.pacing import Pace
    from ringseam.node import Node
    from ringseam.rpc import CallClient, CallServer
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: The owner is milliseconds away; a turn is sought without it after this, seconds.
_ASK_S = 0.06
#: What is known of a limit that is over is told this long, seconds: by then all gateways
#: that send to the server have been told by itself.
_OVER_TOLD_S = 10.0


@dataclass(frozen=True, kw_only=True)
class Turn:
    """Whether a request may go to a server, and in how many seconds."""

    granted: bool
    #: Without a turn: after how long there may be one.
    wait_s: float = 0


class Turns:
    """Ask for turns, and give them out where this gateway owns the service."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        ownership: Ownership,
        pace: Pace,
    ) -> None:
        """Give out what ``pace`` allows."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.ownership = ownership
        self.pace = pace
        self.limits = pace.limits
        #: Gateways whose sends of before a limit have been counted, by server.
        self.counted: dict[BackendId, set[str]] = {}

    def listen(self, server: CallServer) -> None:
        """Answer other gateways that ask ``server``."""
        server.add(TURN, self.serve)

    async def take(self, server: BackendReport, longest_s: float) -> Turn:
        """Return a turn at a server within ``longest_s``, if it has one left.

        Who takes it counts the request in the pace.
        """
        limit = self.limits.of(server.instance)
        if limit is None:
            return Turn(granted=True)
        owner = self.ownership.owner_of(server.service)
        reply = await self._ask(owner, server, limit, longest_s) if owner else None
        if reply is None:
            beside = self.follower.gateway_names if owner else frozenset()
            return self._take_here(server.instance, longest_s, beside)
        if reply.limit is not None:
            self.learn([reply.limit])
        return Turn(granted=reply.granted, wait_s=reply.wait_s)

    async def serve(self, received: Received) -> TurnReply:
        """Give a turn to another gateway."""
        request: TurnRequest = received.body
        instance = request.limit.instance
        self.learn([request.limit])
        self._count_unheard(request)
        turn = self._take_here(instance, request.longest_ms / MS_PER_S, frozenset())
        if turn.granted:
            self.pace.sent(instance, self.clock.now() + turn.wait_s)
        known = self.told([instance])
        return TurnReply(
            granted=turn.granted,
            wait_s=turn.wait_s,
            limit=known[0] if known else None,
        )

    def told(self, instances: Iterable[BackendId]) -> tuple[ToldLimit, ...]:
        """Return what is known of the limits of servers, as others are told it."""
        if not self.limits.named:
            return ()
        now = self.clock.now()
        known = ((name, self.limits.named.get(name)) for name in instances)
        return tuple(
            _told(name, limit, now)
            for name, limit in known
            if limit is not None and (limit.per_s is not None or now < limit.said_at + _OVER_TOLD_S)
        )

    def learn(self, told: Iterable[ToldLimit]) -> None:
        """Take in what other gateways know of limits."""
        now = self.clock.now()
        for word in told:
            said_at = now - word.age_ms / MS_PER_S
            self.limits.learn(word.instance, word.per_s, said_at=said_at, now=now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone or name no limit any more."""
        self.counted = {
            name: gateways
            for name, gateways in self.counted.items()
            if name in instances and self.limits.of(name) is not None
        }

    # -- helpers ------------------------------------------------------------

    def _take_here(self, instance: BackendId, longest_s: float, beside: frozenset[str]) -> Turn:
        wait_s = self.pace.limit_wait_s(instance, self.clock.now(), peers=beside)
        return Turn(granted=wait_s <= longest_s, wait_s=wait_s)

    async def _ask(
        self,
        owner: str,
        server: BackendReport,
        limit: NamedLimit,
        longest_s: float,
    ) -> TurnReply | None:
        """Return the owner's answer; None when it can't be reached."""
        request = TurnRequest(
            service=server.service,
            limit=_told(server.instance, limit, self.clock.now()),
            gateway=self.node.name,
            longest_ms=int(longest_s * MS_PER_S),
            unheard=self.pace.sent_since(server.instance, limit.since - UNHEARD_S),
        )
        try:
            received = await self.client.call(owner, TURN, request, timeout_s=_ASK_S)
        except UnreachableError as error:
            logger.debug('turn sought here: %s', error)
            return None
        return received.body

    def _count_unheard(self, request: TurnRequest) -> None:
        """Count what a gateway sent before it was told, once for each limit."""
        instance = request.limit.instance
        limit = self.limits.of(instance)
        gateways = self.counted.setdefault(instance, set())
        if limit is None or request.gateway in gateways:
            return
        gateways.add(request.gateway)
        self.pace.count(instance, limit.since, request.unheard)


def _told(instance: BackendId, limit: NamedLimit, now: float) -> ToldLimit:
    age_ms = int((now - limit.said_at) * MS_PER_S)
    return ToldLimit(instance=instance, per_s=limit.per_s, age_ms=age_ms)
