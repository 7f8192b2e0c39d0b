"""Shares of client accounts of services whose requests go straight to a backend server."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad
from ringseam.gateway.accounts.reports import SHOWN_ACCOUNTS
from ringseam.gateway.requestcontext import NotRun
from ringseam.routes import AccountName

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.accounts.reports import ShareReports
    from ringseam.gateway.accounts.succession import AccountChange
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.routes import ServiceName

#: A queue up to this is room for everybody, seconds: callers don't notice it.
_ROOM_S = 0.03
#: From this queue on, shares apply in full, seconds.
_CROWDED_S = 0.1
#: A request isn't refused for a shorter wait, seconds: no client could return in less.
_MIN_REFUSED_WAIT_S = 0.01
#: A server that refused a request as full counts as crowded for this time, seconds.
_FULL_S = 0.1
#: Assumed work of a request before one was measured, seconds.
_DEFAULT_WORK_S = 0.02
#: The shares of a service without requests are dropped after this time, seconds.
_IDLE_S = 60.0
#: Weight of the newest request in the moving average of the work.
_MEAN_WEIGHT = 0.1


def _new_shares() -> MaxMinShares:
    return MaxMinShares(room_s=_ROOM_S, crowded_s=_CROWDED_S)


@dataclass(kw_only=True)
class PlainService:
    """Shares of one service, and the mean work of its requests."""

    shares: MaxMinShares = field(default_factory=_new_shares)
    #: Time that a request holds a slot, without its time in the server's queue, seconds.
    work_s: float = _DEFAULT_WORK_S
    #: When a request was last asked for or sent.
    used_at: float = 0
    #: Until when servers that refused a request count as crowded.
    full_until: dict[BackendId, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class PlainTry:
    """A request that was sent to a server, and what its account was charged for it."""

    demand: AccountDemand
    server: BackendReport
    started_at: float
    #: Requests that run or wait at a server for each of its slots, at least 1.
    crowding: float


@dataclass(frozen=True, kw_only=True)
class ShareRefusal:
    """Why a request is refused: the wait for its account's share, and what it follows from."""

    wait_s: float
    load: PlaceLoad
    #: What the account used, in slots.
    used_per_s: float


class PlainShares:
    """Decide which requests are refused because their account is above its share.

    Each gateway divides what the servers do for it; the servers divide their slots between
    gateways by order of arrival. The unit is a slot for one second. While half of the
    servers have room, nobody is refused.
    """

    def __init__(
        self, *, health: HealthTracker, reports: ShareReports, gateways: Callable[[], int]
    ) -> None:
        """Use the loads that ``health`` knows.

        :param gateways: returns how many gateways send to the servers.
        """
        self.health = health
        self.gateways = gateways
        self.reports = reports
        self.services: dict[ServiceName, PlainService] = {}

    def check(
        self, context: RequestContext, servers: Collection[BackendReport], now: float
    ) -> ShareRefusal | None:
        """Count a request as asked for; return a refusal if its account is above its share."""
        service = self._service(context.service, now)
        demand = _demand_of(context, service.work_s)
        service.shares.asked(demand, now)
        load = self.load_of(context.service, servers, now)
        wait_s = service.shares.share_wait_s(demand, load, now)
        if wait_s <= _MIN_REFUSED_WAIT_S:
            return None
        self.reports.refused(context.service, demand.account, wait_s)
        used_per_s = service.shares.used_by(demand.account, now)
        return ShareRefusal(wait_s=wait_s, load=load, used_per_s=used_per_s)

    def load_of(
        self, name: ServiceName, servers: Collection[BackendReport], now: float
    ) -> PlaceLoad:
        """Return this gateway's part of the slots, and the median of their queues."""
        service = self.services.get(name) or PlainService()
        queues = [self._queue_s(service, server, now) for server in servers]
        return PlaceLoad(
            capacity_per_s=sum(server.slots for server in servers) / max(1, self.gateways()),
            backlog_s=statistics.median(queues) if queues else 0,
        )

    def sent(self, context: RequestContext, server: BackendReport, now: float) -> PlainTry:
        """Charge an account for a request that is sent to a server."""
        service = self._service(context.service, now)
        demand = _demand_of(context, service.work_s)
        service.shares.admitted(demand, now)
        return PlainTry(
            demand=demand,
            server=server,
            started_at=now,
            crowding=self._crowding(service, server, now),
        )

    def ended(self, attempt: PlainTry, outcome: TryOutcome | None, now: float) -> None:
        """Correct the charge of a request that has ended, or take it back if it didn't run."""
        service = self._service(attempt.server.service, now)
        service.shares.withdrawn(attempt.demand, now, admitted_at=attempt.started_at)
        if isinstance(outcome, NotRun):
            if outcome.refused_by_server:
                service.full_until[attempt.server.instance] = now + _FULL_S
            return
        crowding = max(attempt.crowding, self._crowding(service, attempt.server, now))
        work_s = (now - attempt.started_at) / crowding
        service.work_s += _MEAN_WEIGHT * (work_s - service.work_s)
        service.shares.admitted(replace(attempt.demand, amount=work_s), now)

    def publish(self, follower: Follower, now: float) -> None:
        """Publish the shares of all services."""
        for name, service in self.services.items():
            load = self.load_of(name, follower.view.serving(name), now)
            self.reports.publish(name, service.shares.shares(load, SHOWN_ACCOUNTS, now))

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop the state of servers that are gone."""
        for service in self.services.values():
            for instance in set(service.full_until) - instances:
                service.full_until.pop(instance)

    def drop_idle(self, now: float) -> None:
        """Drop services without requests for a minute, and accounts without recent ones."""
        for name, service in list(self.services.items()):
            service.shares.drop_idle(now)
            if now >= service.used_at + _IDLE_S:
                self.services.pop(name)
                self.reports.publish(name, [])

    def accounts_changed(self, change: AccountChange, now: float) -> None:
        """Drop accounts that are gone from the route table, or let others succeed them."""
        for service in self.services.values():
            change.apply(service.shares, now)

    # -- helpers ------------------------------------------------------------

    def _service(self, name: ServiceName, now: float) -> PlainService:
        service = self.services.setdefault(name, PlainService())
        service.used_at = now
        return service

    def _crowding(self, service: PlainService, server: BackendReport, now: float) -> float:
        return max(1, self._requests_at(service, server, now) / server.slots)

    def _queue_s(self, service: PlainService, server: BackendReport, now: float) -> float:
        """Return how long a new request would wait at a server."""
        queued = self._requests_at(service, server, now) - server.slots
        queue_s = max(0, queued) / server.slots * service.work_s
        if service.full_until.get(server.instance, 0) > now:
            return max(queue_s, _CROWDED_S)
        return queue_s

    def _requests_at(self, service: PlainService, server: BackendReport, now: float) -> float:
        """Return how many requests run or wait at a server, including those of others.

        A reported load is worked off from the time of the report.
        """
        health = self.health.of(server.instance)
        reported = health.reported_running + health.reported_waiting
        done = (now - health.reported_at) * server.slots / max(service.work_s, 1e-3)
        return max(health.in_flight, reported - done)


def _demand_of(context: RequestContext, amount: float) -> AccountDemand:
    return AccountDemand(
        account=AccountName(context.account.name if context.account else ''),
        precedence=context.precedence,
        amount=amount,
    )
