"""Answers of the gateway's own, and the record of all answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.platform.requests import attempt_header, claimed_headers, retry_after

if TYPE_CHECKING:
    from ringseam.calls import ClientRequest
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.web.bodies import Headers
    from ringseam.web.server import Exchange

logger = logging.getLogger(__name__)

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
#: When a client should come back while nothing is known, seconds.
DEFAULT_RETRY_AFTER_S = 0.3


class Responder:
    """Give final answers at once, and say in the log why."""

    def __init__(self, *, node: Node, metrics: Metrics) -> None:
        """Log as ``node``."""
        self.node = node
        self.metrics = metrics

    def count_forged_headers(self, headers: Headers) -> None:
        """Count headers that clients sent though only the system sets them."""
        for name in claimed_headers(headers):
            self.metrics.add('headers_dropped', header=name.lower())

    async def reject(self, exchange: Exchange, request: ClientRequest, status: int) -> None:
        """Answer a request that no route or key allows."""
        self.node.events.emit(
            logger,
            Event.request_rejected,
            request=request.attempt_id,
            status=status,
            host=request.host,
        )
        self.metrics.add('requests', status=str(status), route='')
        await exchange.respond(status, _attempt_headers(request))

    async def reject_content(self, context: RequestContext) -> None:
        """Answer a request that ends servers: it doesn't run, now or later.

        The status is final, as no other try of it would be taken either.
        """
        context.rejected_for_content = True
        self.log(context, Event.request_quarantined, content=context.content_id)
        self.metrics.add('requests_quarantined', route=context.route.name)
        self.metrics.add('requests', status=str(BAD_REQUEST), route=context.route.name)
        await context.exchange.respond(BAD_REQUEST, _attempt_headers(context.request))

    async def refuse(
        self,
        exchange: Exchange,
        request: ClientRequest,
        detail: str,
        *,
        retry_after_s: float = DEFAULT_RETRY_AFTER_S,
        route: str = '',
    ) -> None:
        """Say that the request has not run, and when to come back."""
        waited_s = self.node.clock.now() - exchange.request.arrived
        self.node.events.emit(
            logger,
            Event.request_refused,
            request=request.attempt_id,
            route=route,
            detail=detail,
            waited_ms=round(waited_s * MS_PER_S),
            come_back_s=round(retry_after_s, 2),
        )
        self.metrics.add('requests', status=str(UNAVAILABLE), route='')
        await exchange.respond(
            UNAVAILABLE, [*_attempt_headers(request), retry_after(retry_after_s)]
        )

    async def fail(self, context: RequestContext, status: int, detail: str) -> None:
        """Say that the request may have run and has no answer."""
        self.log_failure(context, status, detail)
        await context.exchange.respond(status, _attempt_headers(context.request))

    def abort(self, context: RequestContext, detail: str) -> None:
        """End an answer that has begun, so that it can't look complete."""
        self.log_failure(context, 0, detail)
        context.exchange.abort()

    def log_failure(self, context: RequestContext, status: int, detail: str) -> None:
        """Record that a request failed; status 0 stands for a cut answer."""
        self.log(context, Event.request_failed, status=status, detail=detail)
        self.metrics.add('requests', status=str(status), route=context.route.name)

    def record_event_latency(self, latency_s: float) -> None:
        """Record how long a stream's event took through this process."""
        self.metrics.record_ms('event_pass', latency_s * MS_PER_S)

    def log_response(
        self, context: RequestContext, status: int, first_event_at: float, gap: float = 0
    ) -> None:
        """Record a server's answer; ``gap`` is its longest pause, seconds."""
        took_ms = (self.node.clock.now() - context.arrived) * MS_PER_S
        paused = 0 < context.route.gap_objective_s < gap
        late = paused or first_event_at > context.objective_deadline
        context.on_time = status < BAD_REQUEST and not late
        self.metrics.add('requests', status=str(status), route=context.route.name)
        self.metrics.record_ms('request', took_ms, route=context.route.name)
        self.log(
            context,
            Event.request_answered,
            status=status,
            rank=context.rank,
            took_ms=round(took_ms),
            predicted_ms=round(context.predicted_duration_s * MS_PER_S),
            stages_ms=round(context.stages_duration_s * MS_PER_S),
            first_ms=round((first_event_at - context.arrived) * MS_PER_S),
            gap_ms=round(gap * MS_PER_S),
            late=late,
        )

    def log(self, context: RequestContext, event: Event, **fields: object) -> None:
        """Log an event of one request."""
        self.node.events.emit(
            logger,
            event,
            request=context.request.attempt_id,
            route=context.route.name,
            number=context.table_number,
            **fields,
        )


def _attempt_headers(request: ClientRequest) -> Headers:
    return [attempt_header(request.attempt_id)] if request.attempt_id else []
