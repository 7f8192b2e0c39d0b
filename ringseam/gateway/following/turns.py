"""Permits to send to rate-limited backend servers, granted by the owner of their service."""

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
    from ringseam.envelopes import ReceivedMessage
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.limits import RateLimit
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.pacing import Pacer
    from ringseam.node import Node
    from ringseam.rpc import CallClient, CallServer

logger = logging.getLogger(__name__)

#: The round trip to the owner takes milliseconds; after this timeout the gateway decides
#: locally, seconds.
_OWNER_CALL_S = 0.06
#: A lifted limit is reported to other gateways for this long, seconds: by then all gateways
#: that send to the server have learned it from its own responses.
_LIFTED_REPORTED_S = 10.0


@dataclass(frozen=True, kw_only=True)
class SendPermit:
    """Whether a request may be sent to a server, and in how many seconds."""

    granted: bool
    #: Without a permit: after how long one may be available.
    wait_s: float = 0


class PermitAllocator:
    """Request permits from owners, and grant them for services that this gateway owns."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        ownership: Ownership,
        pacer: Pacer,
    ) -> None:
        """Grant permits as ``pacer`` allows."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.ownership = ownership
        self.pacer = pacer
        self.limits = pacer.limits
        #: Gateways whose requests from before a limit have been counted, by server.
        self.counted_gateways: dict[BackendId, set[str]] = {}

    def register(self, server: CallServer) -> None:
        """Register the handler for permit requests of other gateways with ``server``."""
        server.add(PERMIT, self.handle_request)

    async def acquire(self, server: BackendReport, max_wait_s: float) -> SendPermit:
        """Return a permit for a server within ``max_wait_s``, or a denial.

        The caller records the request with the pacer.
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

    async def handle_request(self, received: ReceivedMessage) -> PermitReply:
        """Grant or deny a permit to another gateway."""
        request: PermitRequest = received.body
        instance = request.limit.instance
        self.merge_limits([request.limit])
        self._count_sent_before_limit(request)
        permit = self._acquire_locally(instance, request.max_wait_ms / MS_PER_S, frozenset())
        if permit.granted:
            self.pacer.record_send(instance, self.clock.now() + permit.wait_s)
        known = self.limit_reports([instance])
        return PermitReply(
            granted=permit.granted,
            wait_s=permit.wait_s,
            limit=known[0] if known else None,
        )

    def limit_reports(self, instances: Iterable[BackendId]) -> tuple[LimitReport, ...]:
        """Return the known rate limits of servers, as reports to other gateways."""
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
        """Merge rate limits that other gateways have reported."""
        now = self.clock.now()
        for report in reports:
            stated_at = now - report.age_ms / MS_PER_S
            self.limits.merge(report.instance, report.per_s, stated_at=stated_at, now=now)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove servers that are gone or no longer have a rate limit."""
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
        """Return the reply of the owner; None if it cannot be reached."""
        request = PermitRequest(
            service=server.service,
            limit=_limit_report(server.instance, limit, self.clock.now()),
            gateway=self.node.name,
            max_wait_ms=int(max_wait_s * MS_PER_S),
            sent_before_limit=self.pacer.count_since(server.instance, limit.since - PRE_LIMIT_S),
        )
        try:
            received = await self.client.call(owner, PERMIT, request, timeout_s=_OWNER_CALL_S)
        except UnreachableError as error:
            logger.debug('owner of the service is unreachable, deciding locally: %s', error)
            return None
        return received.body

    def _count_sent_before_limit(self, request: PermitRequest) -> None:
        """Count what a gateway sent before it learned of a limit, once per limit."""
        instance = request.limit.instance
        limit = self.limits.of(instance)
        gateways = self.counted_gateways.setdefault(instance, set())
        if limit is None or request.gateway in gateways:
            return
        gateways.add(request.gateway)
        self.pacer.record_requests(instance, limit.since, request.sent_before_limit)


def _limit_report(instance: BackendId, limit: RateLimit, now: float) -> LimitReport:
    age_ms = int((now - limit.stated_at) * MS_PER_S)
    return LimitReport(instance=instance, per_s=limit.per_s, age_ms=age_ms)
