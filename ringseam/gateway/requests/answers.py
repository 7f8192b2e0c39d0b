"""Answers of the gateway's own, and the record of all answers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.platform.requests import attempt_header, claimed_headers, retry_after

if TYPE_CHECKING:
    from ringseam.calls import ClientRequest
    from ringseam.gateway.work import Work
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
COME_BACK_S = 0.3


class Answers:
    """Give final answers at once, and say in the log why."""

    def __init__(self, *, node: Node, metrics: Metrics) -> None:
        """Log as ``node``."""
        self.node = node
        self.metrics = metrics

    def note_claims(self, headers: Headers) -> None:
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
        await exchange.respond(status, _marks(request))

    async def reject_content(self, work: Work) -> None:
        """Answer a request that ends servers: it doesn't run, now or later.

        The status is final, as no other try of it would be taken either.
        """
        work.rejected_for_content = True
        self.log(work, Event.request_quarantined, content=work.content_id)
        self.metrics.add('requests_quarantined', route=work.route.name)
        self.metrics.add('requests', status=str(BAD_REQUEST), route=work.route.name)
        await work.exchange.respond(BAD_REQUEST, _marks(work.request))

    async def refuse(
        self,
        exchange: Exchange,
        request: ClientRequest,
        detail: str,
        *,
        come_back_s: float = COME_BACK_S,
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
            come_back_s=round(come_back_s, 2),
        )
        self.metrics.add('requests', status=str(UNAVAILABLE), route='')
        await exchange.respond(UNAVAILABLE, [*_marks(request), retry_after(come_back_s)])

    async def fail(self, work: Work, status: int, detail: str) -> None:
        """Say that the request may have run and has no answer."""
        self.note_failure(work, status, detail)
        await work.exchange.respond(status, _marks(work.request))

    def break_off(self, work: Work, detail: str) -> None:
        """End an answer that has begun, so that it can't look complete."""
        self.note_failure(work, 0, detail)
        work.exchange.abort()

    def note_failure(self, work: Work, status: int, detail: str) -> None:
        """Record that a request failed; status 0 stands for a cut answer."""
        self.log(work, Event.request_failed, status=status, detail=detail)
        self.metrics.add('requests', status=str(status), route=work.route.name)

    def note_passed(self, passed_s: float) -> None:
        """Record how long a stream's event took through this process."""
        self.metrics.record_ms('event_pass', passed_s * MS_PER_S)

    def note(self, work: Work, status: int, first_at: float, gap: float = 0) -> None:
        """Record a server's answer; ``gap`` is its longest pause, seconds."""
        took_ms = (self.node.clock.now() - work.arrived) * MS_PER_S
        paused = 0 < work.route.gap_objective_s < gap
        late = paused or first_at > work.objective
        work.in_time = status < BAD_REQUEST and not late
        self.metrics.add('requests', status=str(status), route=work.route.name)
        self.metrics.record_ms('request', took_ms, route=work.route.name)
        self.log(
            work,
            Event.request_answered,
            status=status,
            rank=work.rank,
            took_ms=round(took_ms),
            predicted_ms=round(work.predicted_s * MS_PER_S),
            stages_ms=round(work.stages_s * MS_PER_S),
            first_ms=round((first_at - work.arrived) * MS_PER_S),
            gap_ms=round(gap * MS_PER_S),
            late=late,
        )

    def log(self, work: Work, event: Event, **fields: object) -> None:
        """Log an event of one request."""
        self.node.events.emit(
            logger,
            event,
            request=work.request.attempt_id,
            route=work.route.name,
            number=work.number,
            **fields,
        )


def _marks(request: ClientRequest) -> Headers:
    return [attempt_header(request.attempt_id)] if request.attempt_id else []
