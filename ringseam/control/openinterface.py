"""HTTP interface of control hosts for backend servers and operators."""

from __future__ import annotations

import asyncio
import logging
import types
from typing import TYPE_CHECKING, Any

from ringseam.backends import BackendState
from ringseam.clock import MS_PER_S
from ringseam.errors import FindingsError, UnreachableError
from ringseam.events import Event
from ringseam.followmessages import (
    ORDER_ZONE,
    READ_DOCUMENT,
    REPORT_BACKEND,
    SUBMIT,
    AcceptedDocument,
    ReportAccepted,
    ReportRejected,
    SubmitRequest,
)
from ringseam.messages import Empty, Redirect
from ringseam.platform.manifest import decode_manifest
from ringseam.platform.registration import (
    CONFIG_PATH,
    decode_departure,
    decode_report,
    encode_report_reply,
    instance_in_path,
)
from ringseam.platform.requests import retry_after_header
from ringseam.platform.zones import decode_zone_order, is_zone_order_method, is_zone_order_path
from ringseam.util.jsonbody import encode_json
from ringseam.util.logratelimit import LogRateLimiter
from ringseam.web.bodypolicy import DISCARD_BODY, KEEP_BODY, BodyDecision, BodyPolicy
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.control.follow import FollowService
    from ringseam.controlclient import ControlClient
    from ringseam.followmessages import ZoneOrder
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.rpc import Method
    from ringseam.web.exchange import Exchange, Request

logger = logging.getLogger(__name__)

#: A report must be answered within 1 s; a leave also waits for gateways. Seconds.
_REPORT_TIMEOUT_S = 0.9
_LEAVE_TIMEOUT_S = 2.6
#: A submitted document waits for gateways; operators give up after 4 s. Seconds.
_SUBMIT_TIMEOUT_S = 3.0
_READ_TIMEOUT_S = 0.9
#: A zone order waits for gateways, as a document does. Seconds.
_ORDER_TIMEOUT_S = 3.0
#: Delay before an order is executed, seconds. An order whose sender has disconnected by
#: then is dropped: after a stall, the request and the disconnect arrive together.
_DISCONNECT_GRACE_S = 0.01
#: A report has some hundred bytes; for a server with many models, a few thousand.
_MAX_REPORT_BYTES = 64 * 2**10
#: Bodies of up to this many times the limit are received, so that the reply can explain it.
_BODY_LIMIT_FACTOR = 2
#: Retry-After of a request that this host has no memory for, seconds.
_MEMORY_RETRY_AFTER_S = 1.0
#: Number of refused reports that are logged in a burst, and then per second: enough to
#: identify the senders, while servers that report each second can't fill the log.
_REFUSAL_LOG_BURST = 20
_REFUSAL_LOGS_PER_S = 1.0
_MAX_LOGGED_CHARACTERS = 200
_JSON = ('Content-Type', 'application/json')
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_NOT_ALLOWED = 405
_TOO_LARGE = 413
_UNAVAILABLE = 503
_DECODERS = types.MappingProxyType({'PUT': decode_report, 'DELETE': decode_departure})


class OpenInterface:
    """Serve the HTTP requests of backend servers and operators."""

    def __init__(
        self,
        *,
        node: Node,
        follow_service: FollowService,
        leader_client: ControlClient,
        peer_addresses: Callable[[], list[str]],
        metrics: Metrics,
        document_bytes: int,
        zones: frozenset[str],
    ) -> None:
        """Answer locally if this replica leads, otherwise through the leader.

        :param peer_addresses: returns the addresses of all control hosts.
        :param document_bytes: maximum size of a document, by the memory of the hosts.
        :param zones: all availability zones; empty if unknown.
        """
        self.node = node
        self.follow_service = follow_service
        self.leader_client = leader_client
        self.peer_addresses = peer_addresses
        self.metrics = metrics
        self.document_bytes = document_bytes
        self.zones = zones
        self.refusal_log_budget = LogRateLimiter(
            burst=_REFUSAL_LOG_BURST, per_s=_REFUSAL_LOGS_PER_S
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, and record its duration and status."""
        started = self.node.clock.now()
        try:
            if exchange.request.is_complete:
                await self._handle(exchange)
            else:
                await exchange.respond(_UNAVAILABLE, [retry_after_header(_MEMORY_RETRY_AFTER_S)])
        finally:
            self._record_metrics(exchange, self.node.clock.now() - started)

    def _record_metrics(self, exchange: Exchange, took_s: float) -> None:
        request = exchange.request
        call = f'{request.method} {_call_target(request.path)}'
        self.metrics.record_ms('call', took_s * MS_PER_S, call=call)
        self.metrics.add('calls', call=call, status=str(exchange.status))

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        name = instance_in_path(request.path)
        if name:
            await self._handle_report(exchange, name)
        elif request.path == CONFIG_PATH:
            await self._handle_document(exchange)
        elif is_zone_order_path(request.path):
            await self._handle_zone(exchange)
        else:
            await exchange.respond(_NOT_FOUND, [])

    # -- backend servers ----------------------------------------------------

    async def _handle_report(self, exchange: Exchange, name: str) -> None:
        decode = _DECODERS.get(exchange.request.method)
        if decode is None:
            await exchange.respond(_NOT_ALLOWED, [])
            return
        try:
            _check_size(exchange.request)
            report = decode(name, exchange.request.body)
        except ValueError as error:
            await self._refuse_report(exchange, name, str(error))
            return
        timeout_s = _REPORT_TIMEOUT_S if report.state is BackendState.ready else _LEAVE_TIMEOUT_S
        reply = await self._call_leader(
            REPORT_BACKEND, report, self.follow_service.accept_report, timeout_s
        )
        if isinstance(reply, ReportAccepted):
            await exchange.respond(_OK, [_JSON], encode_report_reply(reply.report_to))
        elif isinstance(reply, ReportRejected):
            await self._refuse_report(exchange, name, reply.reason)
        else:
            await exchange.respond(_UNAVAILABLE, [])

    async def _refuse_report(self, exchange: Exchange, name: str, finding: str) -> None:
        self.metrics.add('reports_refused')
        if self.refusal_log_budget.try_acquire(self.node.clock.now()):
            self.node.events.emit(
                logger,
                Event.report_refused,
                backend=name[:_MAX_LOGGED_CHARACTERS],
                detail=finding[:_MAX_LOGGED_CHARACTERS],
            )
        await self._respond_findings(exchange, [finding])

    # -- operators ----------------------------------------------------------

    async def _handle_document(self, exchange: Exchange) -> None:
        if exchange.request.method == 'PUT':
            await self._put_document(exchange)
        elif exchange.request.method == 'GET':
            await self._read_document(exchange)
        else:
            await exchange.respond(_NOT_ALLOWED, [])

    async def _put_document(self, exchange: Exchange) -> None:
        document = exchange.request.body
        if len(document) > self.document_bytes:
            text = f'{len(document)} bytes; the setting document_bytes is {self.document_bytes}'
            await self._refuse_document(exchange, [text], status=_TOO_LARGE)
            return
        try:
            # What is decoded takes many times the bytes of the document, and isn't kept.
            number = decode_manifest(document).number
        except FindingsError as error:
            await self._refuse_document(exchange, [str(finding) for finding in error.findings])
            return
        submit = SubmitRequest(number=number, document=document)
        reply = await self._call_leader(
            SUBMIT, submit, self.follow_service.documents.accept, _SUBMIT_TIMEOUT_S
        )
        if isinstance(reply, AcceptedDocument):
            await exchange.respond(_OK, [_JSON], encode_json({}))
        else:
            await exchange.respond(_UNAVAILABLE, [])

    async def _read_document(self, exchange: Exchange) -> None:
        reply = await self._call_leader(
            READ_DOCUMENT,
            Empty(),
            lambda _: self.follow_service.documents.read_newest(),
            _READ_TIMEOUT_S,
        )
        if isinstance(reply, AcceptedDocument) and reply.number:
            await exchange.respond(_OK, [_JSON], reply.document)
        else:
            await exchange.respond(_UNAVAILABLE, [])

    async def _refuse_document(
        self,
        exchange: Exchange,
        findings: list[str],
        *,
        status: int = _BAD_REQUEST,
    ) -> None:
        self.node.events.emit(logger, Event.document_refused, findings=findings)
        await self._respond_findings(exchange, findings, status=status)

    async def _handle_zone(self, exchange: Exchange) -> None:
        order = await self._parse_order(exchange)
        if order is None:
            return
        # This task is cancelled if the connection closes during the delay.
        await asyncio.sleep(_DISCONNECT_GRACE_S)
        reply = await self._call_leader(
            ORDER_ZONE, order, self.follow_service.zones.order, _ORDER_TIMEOUT_S
        )
        status = _OK if isinstance(reply, DrainedZones) else _UNAVAILABLE
        await exchange.respond(status, [_JSON], encode_json({}))

    async def _parse_order(self, exchange: Exchange) -> ZoneOrder | None:
        """Return the order of a request; None if it was refused and answered."""
        request = exchange.request
        if not is_zone_order_method(request.method):
            await exchange.respond(_NOT_ALLOWED, [])
            return None
        try:
            _check_size(request)
            order = decode_zone_order(request.method, request.path, request.body)
        except ValueError as error:
            await self._refuse_order(exchange, str(error), status=_BAD_REQUEST)
            return None
        if self.zones and order.zone not in self.zones:
            finding = f'unknown zone {order.zone!r}; there are {", ".join(sorted(self.zones))}'
            await self._refuse_order(exchange, finding, status=_NOT_FOUND)
            return None
        return order

    async def _refuse_order(self, exchange: Exchange, finding: str, *, status: int) -> None:
        request = exchange.request
        self.node.events.emit(
            logger,
            Event.zone_order_refused,
            path=request.path[:_MAX_LOGGED_CHARACTERS],
            method=request.method,
            detail=finding[:_MAX_LOGGED_CHARACTERS],
        )
        await self._respond_findings(exchange, [finding], status=status)

    async def _respond_findings(
        self,
        exchange: Exchange,
        findings: list[str],
        *,
        status: int = _BAD_REQUEST,
    ) -> None:
        await exchange.respond(status, [_JSON], encode_json({'findings': findings}))

    # -- helpers ------------------------------------------------------------

    async def _call_leader(
        self,
        method: Method,
        message: Any,
        local: Callable[[Any], Any],
        timeout_s: float,
    ) -> Any:
        """Answer locally if this replica leads, otherwise call the leader.

        Returns None if no leader answers in time.
        """
        reply = await local(message)
        if not isinstance(reply, Redirect):
            return reply
        self.leader_client.addresses = self.peer_addresses()
        self.leader_client.leader = reply.leader
        try:
            return await self.leader_client.call_leader(method, message, timeout_s=timeout_s)
        except UnreachableError as error:
            logger.debug('no leader answered %s: %s', method.path, error)
            return None


class CallBodies(BodyPolicy):
    """Bounds bodies by what they are for, and discards those that are refused by their heads."""

    def decide(self, request: Request) -> BodyDecision:
        """Keep documents, and reports and orders that may be small enough."""
        if request.path == CONFIG_PATH:
            return KEEP_BODY
        is_known = instance_in_path(request.path) or is_zone_order_path(request.path)
        if not is_known or declared_bytes(request) > _MAX_REPORT_BYTES:
            return DISCARD_BODY
        return BodyDecision(max_bytes=_BODY_LIMIT_FACTOR * _MAX_REPORT_BYTES)


def declared_bytes(request: Request) -> int:
    """Return the declared size of a body; 0: none is."""
    return int(request.header('Content-Length') or 0)


def _call_target(path: str) -> str:
    if instance_in_path(path):
        return 'backend'
    return 'zone' if is_zone_order_path(path) else 'document'


def _check_size(request: Request) -> None:
    """Check the size of a report or an order, whose body was not kept if it is too large.

    :raises ValueError: if it is larger than a report can be.
    """
    size = max(len(request.body), declared_bytes(request))
    if size > _MAX_REPORT_BYTES:
        raise ValueError(f'{size} bytes; a report has {_MAX_REPORT_BYTES} at most')
