"""Sends a request to one backend server and reads the head of the response."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.calls import CallHeaders
from ringseam.gateway.engines.silence import PendingResponse
from ringseam.gateway.priorities import engine_urgency
from ringseam.gateway.requestcontext import Answered, LossCause, Lost, NotRun
from ringseam.gateway.requests.balancing import USUAL_REQUEST_S
from ringseam.platform.requests import decode_response_metadata, encode_call_headers
from ringseam.util.tasks import LoopTurns
from ringseam.web.bodies import end_to_end_headers
from ringseam.web.client import (
    MAX_UNDECLARED_BODY_BYTES,
    ChannelError,
    EndlessResponseError,
)
from ringseam.web.pool import BusyError

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.calls import ResponseMetadata
    from ringseam.clock import Clock
    from ringseam.gateway.engines.silence import SilenceDetector
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.gateway.serverload.connections import ConnectionLimits
    from ringseam.web.client import HttpChannel, ResponseHead
    from ringseam.web.pool import HttpChannelPool

logger = logging.getLogger(__name__)

#: Fields above which a request is sent in a turn of its own.
_MANY_FIELDS = 256
#: Connect timeout, seconds. A round trip takes milliseconds; with a full accept queue,
#: connecting takes a second.
CONNECT_TIMEOUT_S = 0.4
#: Number of responses to other requests that are skipped on one connection.
_MAX_STRAY_RESPONSES = 2
#: A refusal needs no body. One that is larger, or takes longer, costs its connection; seconds.
_MAX_REFUSAL_BYTES = 65_536
_REFUSAL_BODY_S = 0.2


class Sender:
    """Send requests to backend servers."""

    def __init__(
        self,
        *,
        pool: HttpChannelPool,
        health: HealthTracker,
        silence: SilenceDetector,
        clock: Clock,
        notices: ServerNotices,
        limits: ConnectionLimits | None = None,
    ) -> None:
        """Create a sender over ``pool`` that evaluates the headers of all responses.

        :param limits: of the connections to each server; None: there are none.
        """
        self.limits = limits
        self.pool = pool
        self.health = health
        self.silence = silence
        self.clock = clock
        self.notices = notices
        #: Turns of requests of many fields: to encode one takes some milliseconds.
        self.large_turns = LoopTurns()

    async def send(
        self,
        context: RequestContext,
        server: BackendReport,
        *,
        last_event: int | None = None,
    ) -> TryOutcome:
        """Send the request once and return the outcome.

        The connection of an :class:`Answered` belongs to the caller; in all
        other cases it is closed or kept here.
        """
        left = context.deadline - self.clock.now()
        if left <= 0:
            return NotRun(detail='deadline exceeded before sending')
        max_open = self._max_open(server)
        try:
            channel = await self.pool.acquire(
                server.address,
                # A request may wait for a connection, and then for opening it.
                timeout_s=min(CONNECT_TIMEOUT_S, left if max_open is None else left / 2),
                max_open=max_open,
                order=(context.precedence.rank, context.scheduling_deadline),
            )
        except BusyError as busy:
            self.notices.metrics.add('connections_exhausted', service=server.service)
            return NotRun(detail=str(busy))
        except ChannelError as error:
            self.health.record_failure(server.instance, self.clock.now(), hard=True)
            return NotRun(detail=str(error))
        outcome: TryOutcome | None = None
        exchange = context.exchange
        if exchange.source is None:
            # What arrives with the head of a response is held for this client already.
            exchange.source = channel
        try:
            outcome = await self._send_and_receive(channel, context, server, last_event)
        finally:
            if not isinstance(outcome, Answered):
                self._release_channel(channel, outcome)
                if exchange.source is channel:
                    exchange.source = None
        return outcome

    async def _send_and_receive(
        self,
        channel: HttpChannel,
        context: RequestContext,
        server: BackendReport,
        last_event: int | None,
    ) -> TryOutcome:
        request = context.exchange.request
        if len(request.headers) > _MANY_FIELDS:
            await self.large_turns.take()
        headers = encode_call_headers(
            end_to_end_headers(request.headers),
            CallHeaders(
                instance=server.instance,
                time_left_s=context.deadline - self.clock.now(),
                account=context.account.name if context.account else '',
                urgency=engine_urgency(context.precedence.rank) if context.route.affinity else None,
                inputs=context.inputs,
                last_event=last_event,
            ),
        )
        try:
            async with asyncio.timeout(max(0, context.deadline - self.clock.now())):
                await channel.send(request.method, request.target, headers, request.body)
                context.activity_at(server.instance).sent = True
                self._track_open_response(context, server)
                sent_at = self.clock.now()
                outcome = await self._read_response(channel, context, server)
                self._record_duration(context, server, outcome, sent_at)
                return outcome
        except asyncio.TimeoutError:
            return Lost(
                cause=LossCause.timeout, detail=f'{server.address}: no response before the deadline'
            )
        except EndlessResponseError as error:
            self.notices.record_endless(server.instance, context.request.attempt_id, str(error))
            self.health.record_failure(server.instance, self.clock.now(), hard=True)
            return Lost(cause=LossCause.connection, detail=str(error))
        except ChannelError as error:
            self._record_connection_loss(channel, server)
            if not error.sent:
                return NotRun(detail=str(error))
            return Lost(cause=LossCause.connection, detail=str(error))

    def _track_open_response(self, context: RequestContext, server: BackendReport) -> None:
        if context.route.affinity:
            open_response = PendingResponse(
                activity=context.activity_at(server.instance),
                sent_at=self.clock.now(),
            )
            self.silence.request_sent(server.instance, context.request.attempt_id, open_response)

    async def _read_response(
        self, channel: HttpChannel, context: RequestContext, server: BackendReport
    ) -> TryOutcome:
        head, metadata = await self._read_own_head(channel, context)
        self.silence.data_received(
            server.instance, metadata.attempt_id, self.clock.now(), event=False
        )
        self.notices.record(server.instance, metadata)
        if self.limits is not None:
            self.limits.shares.record_accepted(server.instance)
        if metadata.load is not None:
            self._record_load(server, metadata.load.running, metadata.load.waiting)
        if metadata.not_run:
            await self._discard_body(channel, server, context)
            return NotRun(
                detail=f'{server.address}: refused with {head.status}',
                refused_by_server=True,
                status=head.status,
                server=metadata.server,
            )
        if metadata.attempt_id != context.request.attempt_id or metadata.encoded:
            channel.close()
            return Lost(
                cause=LossCause.not_authentic,
                detail=f'{server.address}: encoded response or wrong id',
            )
        if _is_success(head) and not metadata.authentic:
            channel.close()
            return Lost(
                cause=LossCause.not_authentic, detail=f'{server.address}: response has no seal'
            )
        return Answered(head=head, marks=metadata, channel=channel)

    async def _read_own_head(
        self, channel: HttpChannel, context: RequestContext
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the head of the response to a request; responses to others are skipped.

        :raises ChannelError: if there are too many of these: what they say holds for other
            requests, and this one may have run.
        """
        for _ in range(_MAX_STRAY_RESPONSES + 1):
            head = await channel.read_head()
            metadata = decode_response_metadata(head)
            if metadata.attempt_id in {'', context.request.attempt_id}:
                return head, metadata
            await channel.read_body(max_bytes=MAX_UNDECLARED_BODY_BYTES)
            channel.skip_response()
        raise ChannelError(f'{channel.address}: responses to other requests', sent=True)

    def _max_open(self, server: BackendReport) -> int | None:
        return None if self.limits is None else self.limits.limit(server, self.clock.now())

    def _record_connection_loss(self, channel: HttpChannel, server: BackendReport) -> None:
        """Record a lost connection as a failure, unless the server has too many."""
        now = self.clock.now()
        is_new = channel.request_count <= 1
        if is_new and self.limits is not None:
            channel.close()
            others_open = self.pool.open_count(server.address) > 0
            if self.limits.record_reset(server, now, others_open=others_open):
                self.notices.metrics.add('connections_refused', service=server.service)
                return
        self.health.record_failure(server.instance, now, hard=channel.request_count == 1)

    def _record_duration(
        self,
        context: RequestContext,
        server: BackendReport,
        outcome: TryOutcome,
        sent_at: float,
    ) -> None:
        """Learn the speed of a server from a response; those of engines start too early."""
        if context.route.affinity or not isinstance(outcome, Answered):
            return
        if not _is_success(outcome.head):
            return
        load = outcome.marks.load
        queued = load.waiting / load.slots if load else 0
        now = self.clock.now()
        self.health.speeds.observe(
            server.service,
            server.instance,
            expected_s=USUAL_REQUEST_S * (1 + queued),
            duration_s=now - sent_at,
            now=now,
        )

    async def _discard_body(
        self, channel: HttpChannel, server: BackendReport, context: RequestContext
    ) -> None:
        """Read the body of a refusal, so that the connection can be used again.

        What the refusal means is known by its head; a body that doesn't come is not awaited.
        """
        try:
            async with asyncio.timeout(_REFUSAL_BODY_S):
                await channel.read_body(max_bytes=_MAX_REFUSAL_BYTES)
        except EndlessResponseError as error:
            self.notices.record_endless(server.instance, context.request.attempt_id, str(error))
            self.health.record_failure(server.instance, self.clock.now(), hard=True)
        except (ChannelError, asyncio.TimeoutError) as error:
            logger.debug('body of a refusal not read: %s', error)
            channel.close()

    def _release_channel(self, channel: HttpChannel, outcome: TryOutcome | None) -> None:
        if isinstance(outcome, NotRun):
            self.pool.release(channel)
        else:
            channel.close()

    def _record_load(self, server: BackendReport, running: int, waiting: int) -> None:
        health = self.health.of(server.instance)
        health.reported_running = running
        health.reported_waiting = waiting
        health.reported_at = self.clock.now()


def _is_success(head: ResponseHead) -> bool:
    return 200 <= head.status < 300
