"""PermitAllocator at backend servers that name a limit, given by the owner of their service."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.gateway.following.limits import PRE_LIMIT_S
from ringseam.gateway.following.permitmessages import (
    PERMIT,
    LimitReport,
    PermitReply,
    PermitRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.limits import RateLimit
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.pacing import Pacer
    from ringseam.node import Node
    from ringseam.rpc import CallClient, CallServer
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: The owner is milliseconds away; a permit is sought without it after this, seconds.
_OWNER_CALL_S = 0.06
#: What is known of a limit that is over is reports this long, seconds: by then all gateways
#: that send to the server have been reports by itself.
_LIFTED_REPORTED_S = 10.0


@dataclass(frozen=True, kw_only=True)
class SendPermit:
    """Whether a request may go to a server, and in how many seconds."""

    granted: bool
    #: Without a permit: after how long there may be one.
    wait_s: float = 0


class PermitAllocator:
    """Ask for turns, and give them out where this gateway owns the service."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        ownership: Ownership,
        pacer: Pacer,
    ) -> None:
        """Give out what ``pacer`` allows."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.ownership = ownership
        self.pacer = pacer
        self.limits = pacer.limits
        #: Gateways whose sends of before a limit have been counted_gateways, by server.
        self.counted_gateways: dict[BackendId, set[str]] = {}

    def register(self, server: CallServer) -> None:
        """Answer other gateways that ask ``server``."""
        server.add(PERMIT, self.handle_request)

    async def acquire(self, server: BackendReport, max_wait_s: float) -> SendPermit:
        """Return a permit at a server within ``max_wait_s``, if it has one left.

        Who takes it counts the request in the pacer.
        """
        limit = self.limits.of(server.instance)
        if limit is None:
            return SendPermit(granted=True)
        owner = self.ownership.owner_of(server.service)
        reply = await self._request_from_owner(owner, server, limit, max_wait_s) if owner else None
        if reply is None:
            peers = self.follower.gateway_names if owner else frozenset()
            return self._acquire_locally(server.instance, max_wait_s, peers)
        if reply.limit is not None:
            self.merge_limits([reply.limit])
        return SendPermit(granted=reply.granted, wait_s=reply.wait_s)

    async def handle_request(self, received: Received) -> PermitReply:
        """Give a permit to another gateway."""
        request: PermitRequest = received.body
        instance = request.limit.instance
        self.merge_limits([request.limit])
        self._count_pre_limit_sends(request)
        permit = self._acquire_locally(instance, request.longest_ms / MS_PER_S, frozenset())
        if permit.granted:
            self.pacer.record_send(instance, self.clock.now() + permit.wait_s)
        known = self.limit_reports([instance])
        return PermitReply(
            granted=permit.granted,
            wait_s=permit.wait_s,
            limit=known[0] if known else None,
        )

    def limit_reports(self, instances: Iterable[BackendId]) -> tuple[LimitReport, ...]:
        """Return what is known of the limits of servers, as others are reports it."""
        if not self.limits.by_server:
            return ()
        now = self.clock.now()
        known = ((name, self.limits.by_server.get(name)) for name in instances)
        return tuple(
            _limit_report(name, limit, now)
            for name, limit in known
            if limit is not None
            and (limit.per_s is not None or now < limit.stated_at + _LIFTED_REPORTED_S)
        )

    def merge_limits(self, reports: Iterable[LimitReport]) -> None:
        """Take in what other gateways know of limits."""
        now = self.clock.now()
        for report in reports:
            stated_at = now - report.age_ms / MS_PER_S
            self.limits.merge(report.instance, report.per_s, stated_at=stated_at, now=now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone or name no limit any more."""
        self.counted_gateways = {
            name: gateways
            for name, gateways in self.counted_gateways.items()
            if name in instances and self.limits.of(name) is not None
        }

    # -- helpers ------------------------------------------------------------

    def _acquire_locally(
        self, instance: BackendId, max_wait_s: float, peers: frozenset[str]
    ) -> SendPermit:
        wait_s = self.pacer.limit_wait_s(instance, self.clock.now(), peers=peers)
        return SendPermit(granted=wait_s <= max_wait_s, wait_s=wait_s)

    async def _request_from_owner(
        self,
        owner: str,
        server: BackendReport,
        limit: RateLimit,
        max_wait_s: float,
    ) -> PermitReply | None:
        """Return the owner's answer; None when it can't be reached."""
        request = PermitRequest(
            service=server.service,
            limit=_limit_report(server.instance, limit, self.clock.now()),
            gateway=self.node.name,
            longest_ms=int(max_wait_s * MS_PER_S),
            unheard=self.pacer.count_since(server.instance, limit.since - PRE_LIMIT_S),
        )
        try:
            received = await self.client.call(owner, PERMIT, request, timeout_s=_OWNER_CALL_S)
        except UnreachableError as error:
            logger.debug('permit sought here: %s', error)
            return None
        return received.body

    def _count_pre_limit_sends(self, request: PermitRequest) -> None:
        """Count what a gateway sent before it was reports, once for each limit."""
        instance = request.limit.instance
        limit = self.limits.of(instance)
        gateways = self.counted_gateways.setdefault(instance, set())
        if limit is None or request.gateway in gateways:
            return
        gateways.add(request.gateway)
        self.pacer.record_requests(instance, limit.since, request.unheard)


def _limit_report(instance: BackendId, limit: RateLimit, now: float) -> LimitReport:
    age_ms = int((now - limit.stated_at) * MS_PER_S)
    return LimitReport(instance=instance, per_s=limit.per_s, age_ms=age_ms)
