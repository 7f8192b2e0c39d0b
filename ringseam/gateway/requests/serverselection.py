"""Server selection for requests that may go to any server of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ringseam.gateway.following.pacing import max_wait_s
from ringseam.gateway.requests.balancing import LeastCompletionPolicy, ReportedLoadPolicy

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.clock import Clock
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.turns import PermitAllocator, SendPermit
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.requests.balancing import BalancingPolicy
    from ringseam.gateway.serverload.connections import ConnectionLimits


class ServerSelector:
    """Choose among the servers that accept a request now or soon.

    All gateways send to each server, so each gateway keeps to its share of the load that
    a server can bear while its cache is cold. A server is skipped if
    its rate limit grants no permit in time, and during a pause that it has asked for.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        follower: Follower,
        permits: PermitAllocator,
        policy: BalancingPolicy,
        limits: ConnectionLimits | None = None,
    ) -> None:
        """Create a selector that applies ``policy`` to the servers that ``permits`` allows.

        Services whose servers report interference have a policy of their own.

        :param limits: of the connections to each server; None: there are none.
        """
        self.limits = limits
        self.clock = clock
        self.follower = follower
        self.permits = permits
        self.pacer = permits.pacer
        self.reports = policy.health.speeds.reports
        self.policy = ReportedLoadPolicy(
            reported=LeastCompletionPolicy(
                health=policy.health, zone=policy.zone, name=permits.pacer.name
            ),
            other=policy,
        )

    async def choose(self, context: RequestContext) -> BackendReport | None:
        """Return the best server, after waiting until the request may be sent to it."""
        context.available_in_s = 0
        servers = self._unpaused(context, self._untried(context))
        chosen = await self._select(context, servers)
        while chosen is not None and not self._is_available(context, chosen):
            servers = self._unpaused(context, self._untried(context))
            chosen = await self._select(context, servers)
        return chosen

    def has_alternative(self, context: RequestContext) -> bool:
        """Return whether an untried server accepts requests now."""
        now = self.clock.now()
        pauses = self.pacer.pauses
        return any(
            not pauses.remaining_s(server.instance, now) for server in self._untried(context)
        )

    async def _select(
        self,
        context: RequestContext,
        servers: list[BackendReport],
    ) -> BackendReport | None:
        """Return the best of ``servers`` with a send permit, after waiting for the permit."""
        now = self.clock.now()
        service = self.follower.table.services.get(context.service)
        cold = service.cold if service else None
        peers = self.follower.gateway_names
        waits = {
            server.instance: self.pacer.cold_wait_s(server.instance, cold, now, peers=peers)
            for server in servers
        }
        chosen = self.policy.choose(servers, now, waits)
        if chosen is None or now + waits[chosen.instance] >= context.deadline:
            return None
        permit = await self._request_permit(context, chosen)
        if not permit.granted:
            context.available_in_s = min(permit.wait_s, context.available_in_s or permit.wait_s)
            others = [server for server in servers if server.instance != chosen.instance]
            return await self._select(context, others)
        wait_s = max(permit.wait_s, waits[chosen.instance])
        self.pacer.record_send(chosen.instance, now + wait_s)
        self.reports.record_send(chosen.instance)
        if wait_s:
            await asyncio.sleep(wait_s)
        return chosen

    async def _request_permit(self, context: RequestContext, server: BackendReport) -> SendPermit:
        """Request a send permit; it is granted at once if the server has no rate limit."""
        remaining_s = max(0, context.deadline - self.clock.now())
        longest_s = min(max_wait_s(context.route.priority), remaining_s)
        return await self.permits.acquire(server, longest_s)

    def _untried(self, context: RequestContext) -> list[BackendReport]:
        """Return the servers that the request has not been sent to."""
        serving = self.follower.serving(
            context.service, context.suspect.account, context.allowed_zones, context.software
        )
        untried = [server for server in serving if server.instance not in context.tries.tried]
        return [server for server in untried if self._may_connect(server)] or untried

    def _may_connect(self, server: BackendReport) -> bool:
        """Return whether this gateway has a share of the connections to a server."""
        return self.limits is None or self.limits.limit(server, self.clock.now()) != 0

    def _unpaused(
        self, context: RequestContext, servers: list[BackendReport]
    ) -> list[BackendReport]:
        """Return the servers that are not paused; store when the first pause ends."""
        now = self.clock.now()
        waits = {
            server.instance: self.pacer.pauses.remaining_s(server.instance, now)
            for server in servers
        }
        context.available_in_s = min((wait_s for wait_s in waits.values() if wait_s), default=0)
        return [server for server in servers if not waits[server.instance]]

    def _is_available(self, context: RequestContext, server: BackendReport) -> bool:
        """Return whether a server still accepts a request."""
        paused = self.pacer.pauses.remaining_s(server.instance, self.clock.now())
        return not paused and self.follower.is_serving(server, context.software)
