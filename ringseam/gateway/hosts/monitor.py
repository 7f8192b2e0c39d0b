"""Keeps what a gateway holds for clients and servers within the memory of its host."""

from __future__ import annotations

import collections
import logging
import math
import time
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.closedclients import ClosedClients
from ringseam.events import Event
from ringseam.gateway.hosts.budget import Holder, budget_for
from ringseam.gateway.hosts.countedpool import CountedPool
from ringseam.gateway.hosts.descriptors import DescriptorBudget, descriptor_limit
from ringseam.gateway.hosts.responsesizes import ResponseSizes
from ringseam.gateway.hosts.slowclients import ClientLoad, clients_to_give_up
from ringseam.web.accounting import Acceptance, HttpAccounting
from ringseam.web.requestbudget import largest_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.hostcapacity import HostCapacity
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.web.accounting import CloseReason
    from ringseam.web.connection import HttpConnection
    from ringseam.web.exchange import Exchange
    from ringseam.web.pool import HttpChannelPool
    from ringseam.web.server import HttpServer

logger = logging.getLogger(__name__)

#: Share of the bound up to which a route holds little, and for how long what the routes hold isn't
#: counted again, seconds: to count it looks at all connections.
_LITTLE_SHARE = 1 / 16
_ROUTES_COUNTED_S = 0.05
#: Room is kept for requests of a higher rank if one arrived within this time, seconds: it spans
#: bursts and the pauses of refused clients.
_RANK_MEMORY_S = 10.0
#: Time after which a client that was refused for lack of descriptors may return, seconds: the
#: readiness check fails by then, or connections have ended.
_CONNECTION_RETRY_AFTER_S = 1.0


class HostMonitor(HttpAccounting):
    """Count held bytes; pause bodies, refuse requests and give up slow clients by a budget."""

    def __init__(self, *, node: Node, metrics: Metrics, capacity: HostCapacity) -> None:
        """Create a monitor of a host that has ``capacity``."""
        self.node = node
        self.metrics = metrics
        self.capacity = capacity
        self.budget = budget_for(capacity)
        self.budget.on_exceeded = self._relieve
        self.descriptors = DescriptorBudget(limit=descriptor_limit(capacity.descriptors))
        self.closed = ClosedClients(node=node, metrics=metrics, listener='http')
        self.response_sizes = ResponseSizes()
        self.server: HttpServer | None = None
        #: Whether there was no more client to give up; until the next check.
        self.is_exhausted = False
        #: When a request of each rank last arrived.
        self.ranks: dict[int, float] = {}
        #: What is held for the clients of each route, and until when that is taken as known.
        self.held_by_route: collections.Counter[str] = collections.Counter()
        self.routes_known_until: float = 0

    def new_pool(self) -> HttpChannelPool:
        """Create a pool of connections to backend servers whose bytes are counted."""
        return CountedPool(clock=self.node.clock, budget=self.budget)

    def watch(self, server: HttpServer) -> None:
        """Account for the connections of clients to ``server``."""
        self.server = server
        server.accounting = self

    @property
    def client_count(self) -> int:
        """Return the number of open connections of clients that are not refused."""
        return 0 if self.server is None else self.server.client_count

    @property
    def connection_count(self) -> int:
        """Return the number of all open connections of clients."""
        return 0 if self.server is None else len(self.server.connections)

    # -- what client connections report --------------------------------------

    def accept(self, clients: int, refused: int) -> Acceptance:
        """Decide on a new connection by the descriptors that are left."""
        acceptance = self.descriptors.accept(clients, refused)
        if acceptance is not Acceptance.accept:
            self.metrics.add('client_connections_refused', outcome=acceptance.value)
        return acceptance

    def count_request(self, change: int) -> None:
        """Count a change of the bytes held for requests."""
        self.budget.count(Holder.client_requests, change)

    def count_response(self, change: int) -> None:
        """Count a change of the bytes of responses that clients have not read."""
        self.budget.count(Holder.client_responses, change)

    def fits(self, size: int, own: int = 0) -> bool:
        """Return whether a request of ``size`` bytes may be held."""
        return self.budget.fits(size, own)

    def largest_body(self) -> int:
        """Return the size above which a body never fits; 0: there is none."""
        return largest_body(self.budget.bound_bytes)

    def record_closed(self, connection: HttpConnection, reason: CloseReason) -> None:
        """Count and log a connection that is closed because its client doesn't behave."""
        self.closed.record(connection, reason)

    def record_cancelled(self, exchange: Exchange) -> None:
        """Log and count a request that ended inside this process without a response."""
        self.metrics.add('requests_cancelled')
        self.node.events.emit(
            logger, Event.request_cancelled, request=exchange.name, started=exchange.started
        )

    def record_rejected(self, status: int) -> None:
        """Count a request that was rejected before it was read."""
        self.metrics.add('requests', status=str(status), route='')

    def record_unsent(self, unsent_bytes: int) -> None:
        """Log and count a response that is lost as this process stops."""
        self.metrics.add('responses_unsent')
        self.node.events.emit(logger, Event.response_unsent, unsent_bytes=unsent_bytes)

    # -- decisions -------------------------------------------------------------

    def admit(self, context: RequestContext) -> float | None:
        """Return None, or after how many seconds the client of a refused request may return."""
        exchange = context.exchange
        exchange.name = context.request.attempt_id
        exchange.rank = context.precedence.rank
        exchange.route = context.route.name
        exchange.deadline = context.deadline
        if exchange.connection.is_refused:
            return _CONNECTION_RETRY_AFTER_S
        self.ranks[exchange.rank] = self.node.clock.now()
        if exchange.request.is_complete and self._has_room(context):
            return None
        self.metrics.add('requests_refused_for_memory')
        return self.budget.retry_after_s()

    def record_response(self, context: RequestContext) -> None:
        """Learn how much the responses of a route hold."""
        if context.exchange.body_bytes:
            self.response_sizes.record(context.route.name, context.exchange.body_bytes)

    def check(self) -> None:
        """Give up clients that are too slow for what is held, and let bodies be read again."""
        self.is_exhausted = False
        if self.server is None:
            return
        if self.budget.bound_bytes:
            self._give_up_clients(self.node.clock.now())
        if self.budget.update():
            self.node.events.emit(
                logger,
                Event.budget_reached if self.budget.is_near else Event.budget_left,
                **self._held(),
            )
        self.server.check()
        self._export()

    def _has_room(self, context: RequestContext) -> bool:
        """Return whether a request and its response may be held."""
        route = context.route.name
        if self.response_sizes.is_small(route):
            return not self.budget.excess_bytes
        if not self.budget.fits(self.response_sizes.estimate(route)):
            return False
        return not self._refuses(context.exchange.rank) or self._holds_little(route)

    def _holds_little(self, route: str) -> bool:
        """Return whether others hold what is scarce, so that their clients can be given up."""
        now = self.node.clock.now()
        if now >= self.routes_known_until:
            self.routes_known_until = now + _ROUTES_COUNTED_S
            self.held_by_route.clear()
            for load in self._loads():
                self.held_by_route[load.route] += load.held_bytes
        is_little = self.held_by_route[route] <= _LITTLE_SHARE * self.budget.bound_bytes
        return is_little and not self.budget.excess_bytes

    def _refuses(self, rank: int) -> bool:
        if not self.budget.is_scarce:
            return False
        oldest = self.node.clock.now() - _RANK_MEMORY_S
        self.ranks = {known: at for known, at in self.ranks.items() if at >= oldest}
        return self.budget.refuses(rank, self.ranks)

    def _relieve(self) -> None:
        """Give up clients at once: much can arrive until the next regular check."""
        if not self.is_exhausted:
            self._give_up_clients(self.node.clock.now())
            self.is_exhausted = self.budget.excess_bytes > 0

    def _give_up_clients(self, now: float) -> None:
        loads = list(self._loads())
        given_up = clients_to_give_up(
            loads,
            excess_bytes=self.budget.excess_bytes,
            now=now,
            stalled_excess_bytes=self.budget.stalled_excess_bytes,
            refused_ranks={load.rank for load in loads if self._refuses(load.rank)},
        )
        for client in given_up:
            exchange = client.connection.exchange
            self.metrics.add('clients_given_up')
            self.node.events.emit(
                logger,
                Event.client_given_up,
                request='' if exchange is None else exchange.name,
                rank=client.rank,
                held_bytes=client.held_bytes,
                unread_ms=round((now - client.unread_since) * MS_PER_S),
                late=now >= client.deadline,
            )
            client.connection.give_up()

    def _loads(self) -> Iterator[ClientLoad]:
        """Return what is held for the clients that have not got all of their responses."""
        now = self.node.clock.now()
        for connection in () if self.server is None else self.server.connections:
            if connection.unread_bytes:
                connection.update_unread()
            if connection.unread_bytes or (
                connection.exchange is not None and connection.exchange.held_bytes
            ):
                yield _load_of(connection, now)

    def _held(self) -> dict[str, int]:
        return {holder.name: self.budget.held[holder] for holder in Holder}

    def _export(self) -> None:
        for name, held_bytes in self._held().items():
            self.metrics.put('held_bytes', held_bytes, holder=name)
        self.metrics.put('held_bytes_largest', self.budget.largest)
        self.metrics.put('held_share', self.budget.share)
        self.metrics.put('host_processor', self.capacity.processor)
        self.metrics.put('host_memory_bytes', self.capacity.memory_bytes)
        self.metrics.put('processor_seconds', time.process_time())


def _load_of(connection: HttpConnection, now: float) -> ClientLoad:
    exchange = connection.exchange
    if exchange is None:
        # The response is complete: it is given up only for the memory that it takes.
        return ClientLoad(
            connection=connection,
            rank=0,
            held_bytes=connection.unread_bytes,
            unread_since=connection.unread_since,
            deadline=math.inf,
        )
    return ClientLoad(
        connection=connection,
        rank=exchange.rank,
        held_bytes=exchange.held_bytes,
        # A client that has read all so far is not slow: its response is not complete yet.
        unread_since=connection.unread_since if connection.unread_bytes else now,
        deadline=exchange.deadline,
        route=exchange.route,
    )
