"""Sends a request to backend servers until a response is forwarded or no try is left."""

from __future__ import annotations

import asyncio
import logging
import math
import types
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.gateway.requestcontext import Answered, LossCause, Lost, NotRun, Quarantined
from ringseam.gateway.requests.admission import honoured_retry_after_s
from ringseam.gateway.requests.answers import BAD_GATEWAY, DEFAULT_RETRY_AFTER_S, GATEWAY_TIMEOUT
from ringseam.gateway.requests.balancing import LatencyPolicy
from ringseam.gateway.requests.directtries import DirectTries
from ringseam.gateway.requests.relay import StreamOutcome, StreamRelay, client_headers, is_stream
from ringseam.gateway.requests.serverattempt import ServerAttempt
from ringseam.gateway.requests.serverselection import ServerSelector
from ringseam.lifetimes import name_of
from ringseam.web.client import (
    MAX_UNDECLARED_BODY_BYTES,
    ChannelError,
    EndlessResponseError,
)

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.engines.client import PlacementClient
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.guard import QuarantineGuard
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.gateway.requests.plainshares import PlainShares, PlainTry
    from ringseam.gateway.requests.sending import Sender
    from ringseam.gateway.requests.streambinding import StreamBinder
    from ringseam.gateway.stages.graph import StageRun
    from ringseam.node import Node
    from ringseam.retries import RetryPolicy
    from ringseam.web.client import ResponseHead


logger = logging.getLogger(__name__)

#: Detail of a refusal when some server will accept the request later.
SERVERS_LIMITED = 'all remaining servers are paused or have reached their rate limits'
#: Detail of a refusal of a request whose account is above its share.
_OVER_SHARE = 'the client account is above its share of a full service'
_BAD_REQUEST = 400
_SERVER_ERROR = 500
_MISDIRECTED = 421
#: Loss cause for each outcome of an incomplete stream.
_LOSS_CAUSES = types.MappingProxyType(
    {
        StreamOutcome.deadline: LossCause.timeout,
        StreamOutcome.broken: LossCause.broken,
        StreamOutcome.out_of_order: LossCause.gap,
        StreamOutcome.empty: LossCause.not_whole,
        StreamOutcome.endless: LossCause.broken,
    },
)


class AttemptRunner:  # noqa: WPS214 - the steps from server selection to response
    """Send requests to backend servers and forward the responses."""

    def __init__(
        self,
        *,
        node: Node,
        follower: Follower,
        sender: Sender,
        placements: PlacementClient,
        retries: RetryPolicy,
        guard: QuarantineGuard,
        binder: StreamBinder,
    ) -> None:
        """Create an instance that sends through ``sender``."""
        self.binder = binder
        self.clock = node.clock
        self.follower = follower
        self.sender = sender
        self.health = sender.health
        self.placements = placements
        self.retries = retries
        self.responder = binder.responder
        self.guard = guard
        #: Shares of client accounts of services without stages; None: all are served alike.
        self.plain_shares: PlainShares | None = None
        self.selector = ServerSelector(
            clock=node.clock,
            follower=follower,
            permits=placements.permits,
            policy=LatencyPolicy(health=sender.health, zone=node.zone),
            limits=sender.limits,
        )

    async def run(self, context: RequestContext, stages: StageRun | None) -> None:
        """Send until a response is forwarded; else respond with the final status."""
        if stages is None and await self._refuse_over_share(context):
            return
        relay = StreamRelay(
            context=context, clock=self.clock, last_event=context.request.last_event
        )
        relay.on_forwarded = self.responder.record_event_latency
        relay.on_first_event = lambda: self._handle_first_event(context, stages)
        tries = DirectTries(runner=self, context=context, stages=stages, relay=relay)
        await tries.run()
        if not isinstance(tries.outcome, Answered):
            await self._send_final_response(context, tries.outcome, relay)

    async def choose(self, context: RequestContext) -> BackendReport | None:
        """Return the server with the lowest expected latency."""
        if not self.binder.may_continue(context):
            return None
        if context.route.affinity:
            return await self.placements.choose(context)
        return await self.selector.choose(context)

    def withdraw_choice(self, context: RequestContext) -> None:
        """Record that a request isn't sent to the server that was chosen for it."""
        if context.route.affinity:
            self.placements.ended(context)

    def begin(
        self, context: RequestContext, server: BackendReport, relay: StreamRelay
    ) -> ServerAttempt:
        """Count a request as in progress on a server; :meth:`end` must follow."""
        self.health.of(server.instance).in_flight += 1
        self.responder.log(
            context,
            Event.request_sent,
            backend=server.instance,
            software=server.software,
            content=context.content_id,
            parts=context.part_ids,
            account=context.account_name,
            sends=context.tries.sends,
            last=relay.last_event,
            resumes=context.request.resumes,
        )
        self.guard.crashes.request_sent(server, context.request.attempt_id, context.suspect)
        return ServerAttempt(
            context=context,
            server=server,
            relay=relay,
            activity=context.activity_at(server.instance),
            charged=self._charge(context, server),
            started_at=self.clock.now(),
        )

    async def open(self, attempt: ServerAttempt) -> TryOutcome:
        """Send a request and return the head of the response."""
        outcome = await self.sender.send(
            attempt.context, attempt.server, last_event=attempt.relay.resume_after
        )
        outcome = self.binder.check_version(attempt.context, attempt.server, outcome)
        await self._check_crash(attempt, outcome)
        return outcome

    async def forward(self, attempt: ServerAttempt, answered: Answered) -> TryOutcome:
        """Forward a response; that of an :class:`Answered` has been forwarded completely."""
        attempt.context.server = attempt.server
        outcome = await self._forward_response(attempt, answered)
        await self._check_crash(attempt, outcome)
        return outcome

    def end(self, attempt: ServerAttempt, outcome: TryOutcome | None) -> None:
        """Record that a request is no longer in progress on a server.

        :param outcome: None if it was given up.
        """
        context, server = attempt.context, attempt.server
        attempt.stack.close()
        self.health.of(server.instance).in_flight -= 1
        if self.plain_shares is not None and attempt.charged is not None:
            self.plain_shares.ended(attempt.charged, outcome, self.clock.now())
        self.guard.crashes.request_finished(server, context.request.attempt_id)
        if context.route.affinity:
            self.sender.silence.response_ended(server.instance, context.request.attempt_id)
            if context.server is server:
                self.placements.ended(context)
        self._remove_replaced(context, server, outcome)
        self._log_connection_loss(context, server, outcome)
        self._log_refusal(context, server, outcome)
        # Only a success shows that the content ran: an error may precede the run.
        if isinstance(outcome, Answered) and outcome.head.status < _BAD_REQUEST:
            self.guard.record_success(server, context.suspect)

    def record_takeover(self, attempt: ServerAttempt, successor: ServerAttempt) -> None:
        """Record that another server has taken over the request of a silent one."""
        attempt.context.server = successor.server
        self._record_server_failure(attempt.context, attempt.server)
        self.responder.metrics.add('requests_taken_over', service=attempt.server.service)
        self.responder.log(
            attempt.context,
            Event.request_taken_over,
            backend=attempt.server.instance,
            successor=successor.server.instance,
            last=attempt.relay.last_event,
        )

    async def _refuse_over_share(self, context: RequestContext) -> bool:
        """Refuse a request of an account above its share; return whether it was refused."""
        if self.plain_shares is None or context.route.affinity:
            return False
        servers = self.follower.serving(
            context.service, context.suspect.account, context.allowed_zones
        )
        refusal = self.plain_shares.check(context, servers, self.clock.now())
        if refusal is None:
            return False
        self.responder.log(
            context,
            Event.request_over_share,
            account=context.suspect.account,
            service=context.service,
            wait_ms=round(refusal.wait_s * MS_PER_S),
            queue_ms=round(refusal.load.backlog_s * MS_PER_S),
            used=round(refusal.used_per_s, 3),
            capacity=round(refusal.load.capacity_per_s, 3),
        )
        await self.responder.refuse(
            context.exchange,
            context.request,
            _OVER_SHARE,
            retry_after_s=honoured_retry_after_s(
                max(DEFAULT_RETRY_AFTER_S, refusal.wait_s), context.deadline - self.clock.now()
            ),
            route=context.route.name,
        )
        return True

    def _charge(self, context: RequestContext, server: BackendReport) -> PlainTry | None:
        """Charge the account for a request that is sent."""
        if self.plain_shares is None or context.route.affinity:
            return None
        return self.plain_shares.sent(context, server, self.clock.now())

    async def _check_crash(self, attempt: ServerAttempt, outcome: TryOutcome) -> None:
        if isinstance(outcome, Lost) and outcome.is_connection_loss:
            await self.guard.crashes.check_crash(attempt.server)

    def _log_refusal(
        self, context: RequestContext, server: BackendReport, outcome: TryOutcome | None
    ) -> None:
        if isinstance(outcome, NotRun) and outcome.refused_by_server:
            self.responder.log(
                context,
                Event.request_turned_away,
                backend=server.instance,
                status=outcome.status,
            )

    def _remove_replaced(
        self, context: RequestContext, server: BackendReport, outcome: TryOutcome | None
    ) -> None:
        """Remove a server whose address now belongs to another one; its report is stale.

        A sound server refuses a version that it doesn't have with the same status.
        """
        if not isinstance(outcome, NotRun) or outcome.status != _MISDIRECTED:
            return
        is_same = outcome.server == name_of(server.instance)
        may_be_same = not outcome.server and context.request.expects_version
        if not is_same and not may_be_same:
            self.follower.view.remove(server.instance)

    def _log_connection_loss(
        self, context: RequestContext, server: BackendReport, outcome: TryOutcome | None
    ) -> None:
        if isinstance(outcome, Lost) and outcome.cause is LossCause.connection:
            self.responder.log(
                context,
                Event.request_lost,
                backend=server.instance,
                content=context.content_id,
                detail=outcome.detail,
            )

    def _handle_first_event(self, context: RequestContext, stages: StageRun | None) -> None:
        """Release inputs and the trial on the first event: the server has its inputs.

        A request that crashes servers does so at the start of its run, so another
        suspect may be tried soon.
        """
        if stages is not None:
            stages.release()
        if context.server is not None:
            self.binder.began(context, context.server)
        self.guard.response_began(context)
        if context.route.affinity:
            self.placements.started(context)

    async def _forward_response(self, attempt: ServerAttempt, answered: Answered) -> TryOutcome:
        outcome: TryOutcome | None = None
        try:
            if is_stream(answered.head) and answered.head.status < _BAD_REQUEST:
                outcome = await self._forward_stream(attempt, answered)
            else:
                outcome = await self._forward_body(attempt, answered)
        finally:
            if isinstance(outcome, Answered):
                self.sender.pool.release(answered.channel)
            else:
                answered.channel.close()
        return outcome

    async def _forward_body(self, attempt: ServerAttempt, answered: Answered) -> TryOutcome:
        context, server = attempt.context, attempt.server
        context.exchange.source = answered.channel
        try:
            async with asyncio.timeout(max(0, context.deadline - self.clock.now())):
                body = await answered.channel.read_body(max_bytes=_max_body_bytes(answered.head))
        except EndlessResponseError as error:
            self._record_endless(context, server, str(error))
            return Lost(cause=LossCause.broken, detail=str(error))
        except ChannelError as error:
            self._record_server_failure(context, server)
            return Lost(cause=LossCause.broken, detail=f'{server.address}: {error}')
        except asyncio.TimeoutError as error:
            self._record_server_failure(context, server)
            return Lost(cause=LossCause.not_whole, detail=f'{server.address}: {error}')
        finally:
            context.exchange.source = None
        if await self._is_cut_off(server, answered):
            self._record_server_failure(context, server)
            return Lost(cause=LossCause.broken, detail=f'{server.address}: crashed')
        status = answered.head.status
        if status >= _SERVER_ERROR:
            self._record_server_failure(context, server)
        else:
            now = self.clock.now()
            self.health.record_success(server.instance, now)
            self.health.record_latency(server.instance, now - attempt.started_at)
        if attempt.relay.started or (
            status >= _SERVER_ERROR and self._can_retry_elsewhere(context)
        ):
            return Lost(cause=LossCause.not_whole, detail=f'{server.address}: status {status}')
        await context.exchange.respond(status, client_headers(answered.head), body)
        self.responder.log_response(context, status, self.clock.now())
        return answered

    async def _forward_stream(self, attempt: ServerAttempt, answered: Answered) -> TryOutcome:
        context, server, relay = attempt.context, attempt.server, attempt.relay
        relay.on_silence = attempt.activity.suspect
        relay.on_chunk = lambda: self._record_data(attempt)
        end = await relay.forward(answered)
        if end is StreamOutcome.complete and await self._is_cut_off(server, answered):
            end = StreamOutcome.broken
        if end is StreamOutcome.complete:
            self.health.record_success(server.instance, self.clock.now())
            await context.exchange.finish()
            self.responder.log_response(
                context, answered.head.status, relay.first_event_at, relay.longest_gap
            )
            return answered
        if end is StreamOutcome.endless:
            self._record_endless(context, server, relay.endless_detail)
        elif end is not StreamOutcome.empty:
            self._record_server_failure(context, server)
        self.responder.log(
            context,
            Event.stream_broken,
            backend=server.instance,
            end=end.value,
            last=relay.last_event,
        )
        cause = _LOSS_CAUSES[end]
        return Lost(cause=cause, detail=f'{server.address}: stream {end.value}')

    def _record_data(self, attempt: ServerAttempt) -> None:
        """Record that a part of a stream arrived."""
        attempt.activity.data_received()
        self.sender.silence.data_received(
            attempt.server.instance,
            attempt.context.request.attempt_id,
            self.clock.now(),
            event=True,
        )

    async def _is_cut_off(self, server: BackendReport, answered: Answered) -> bool:
        """Return whether a response that ended with its connection ended by a crash.

        The connections of a crashed server are closed in the same way as those of a complete
        response without a length.
        """
        if not answered.head.ends_with_connection:
            return False
        return await self.guard.crashes.check_crash(server)

    def _can_retry_elsewhere(self, context: RequestContext) -> bool:
        """Return whether a failed request may be retried on another server."""
        if not context.tries.may_repeat:
            return False
        return self.selector.has_alternative(context)

    def _record_endless(self, context: RequestContext, server: BackendReport, detail: str) -> None:
        """Record that a server has sent more than a response can hold; it rests."""
        self.sender.notices.record_endless(server.instance, context.request.attempt_id, detail)
        self.health.record_failure(server.instance, self.clock.now(), hard=True)

    def _record_server_failure(self, context: RequestContext, server: BackendReport) -> None:
        if self.health.record_failure(server.instance, self.clock.now()):
            self.responder.log(context, Event.server_ejected, backend=server.instance)

    async def _send_final_response(
        self,
        context: RequestContext,
        outcome: TryOutcome | None,
        relay: StreamRelay,
    ) -> None:
        """Respond with the final status."""
        detail = '' if outcome is None or isinstance(outcome, Answered) else outcome.detail
        if relay.started:
            self.responder.abort(context, detail)
        elif isinstance(outcome, Quarantined) and not context.tries.lost:
            await self.responder.reject_content(context)
        elif context.tries.lost:
            late = self.clock.now() >= context.deadline
            await self.responder.fail(context, GATEWAY_TIMEOUT if late else BAD_GATEWAY, detail)
        else:
            await self._refuse(context, detail)

    async def _refuse(self, context: RequestContext, detail: str) -> None:
        """Refuse the request as not run, with the time until a server may accept it."""
        remaining_s = max(0, context.deadline - self.clock.now())
        await self.responder.refuse(
            context.exchange,
            context.request,
            SERVERS_LIMITED if context.available_in_s else detail,
            retry_after_s=max(DEFAULT_RETRY_AFTER_S, min(context.available_in_s, remaining_s)),
            route=context.route.name,
            context=context,
        )


def _max_body_bytes(head: ResponseHead) -> float:
    """Return how large a body may be that is collected before it is forwarded."""
    return math.inf if head.header('Content-Length') else MAX_UNDECLARED_BODY_BYTES
