"""The open interface of control hosts: backend servers and operators over HTTP."""

from __future__ import annotations

import asyncio
import logging
import types
from typing import TYPE_CHECKING, Any

from ringseam.backends import BackendState
from ringseam.clock import MS_PER_S
from ringseam.errors import FindingsError, UnreachableError
from ringseam.events import Event
from ringseam.following import (
    ORDER_ZONE,
    READ_DOCUMENT,
    REPORT_BACKEND,
    SUBMIT,
    DocumentHeld,
    ReportForeign,
    ReportTaken,
    Submit,
)
from ringseam.messages import Empty, Redirect
from ringseam.platform.manifest import decode_manifest
from ringseam.platform.registration import (
    CONFIG_PATH,
    decode_leave,
    decode_report,
    encode_accepted,
    instance_of,
)
from ringseam.platform.zones import decode_zone_order, is_zone_method, is_zone_path
from ringseam.util.jsonbody import json_body
from ringseam.util.linebudget import LineBudget
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.control.follow import FollowService
    from ringseam.controlclient import ControlClient
    from ringseam.following import ZoneOrder
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.rpc import Method
    from ringseam.web.server import Exchange

logger = logging.getLogger(__name__)

#: A report must be answered within a second; a leave waits for gateways.
_REPORT_S = 0.9
_LEAVE_S = 2.6
#: A document waits for gateways; the operator gives up after four seconds.
_SUBMIT_S = 3.0
_READ_S = 0.9
#: An order for a zone waits for gateways as a document does.
_ORDER_S = 3.0
#: An order whose sender has given up by now is dropped, seconds: the end of its
#: connection arrives with its bytes where both were held up.
_GIVEN_UP_S = 0.01
#: A report has some hundred bytes; one of a server with many models a few thousand.
_REPORT_BYTES = 64 * 2**10
#: Refused reports that are logged at once, and then in each second: enough to see who
#: sends them, where a server that reports each second would fill the log.
_REFUSALS_LOGGED = 20
_REFUSALS_PER_S = 1.0
_LOGGED_CHARACTERS = 200
_JSON = ('Content-Type', 'application/json')
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_NOT_ALLOWED = 405
_TOO_LARGE = 413
_UNAVAILABLE = 503
_DECODERS = types.MappingProxyType({'PUT': decode_report, 'DELETE': decode_leave})


class OpenInterface:
    """Answer the calls of backend servers and operators."""

    def __init__(
        self,
        *,
        node: Node,
        follow: FollowService,
        leader: ControlClient,
        addresses: Callable[[], list[str]],
        metrics: Metrics,
        document_bytes: int,
        zones: frozenset[str],
    ) -> None:
        """Answer here when this replica leads, else through the leader.

        :param document_bytes: the largest document that the hosts have memory for.
        :param zones: all availability zones; empty where they aren't known.
        """
        self.node = node
        self.follow = follow
        self.leader = leader
        self.addresses = addresses
        self.metrics = metrics
        self.document_bytes = document_bytes
        self.zones = zones
        self.refusals = LineBudget(lines=_REFUSALS_LOGGED, per_s=_REFUSALS_PER_S)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call, and measure it."""
        begun = self.node.clock.now()
        try:
            await self._handle(exchange)
        finally:
            self._measure(exchange, self.node.clock.now() - begun)

    def _measure(self, exchange: Exchange, took_s: float) -> None:
        request = exchange.request
        call = f'{request.method} {_subject(request.path)}'
        self.metrics.record_ms('call', took_s * MS_PER_S, call=call)
        self.metrics.add('calls', call=call, status=str(exchange.status))

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        name = instance_of(request.path)
        if name:
            await self._handle_report(exchange, name)
        elif request.path == CONFIG_PATH:
            await self._handle_document(exchange)
        elif is_zone_path(request.path):
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
            report = decode(name, _bounded(exchange.request.body))
        except ValueError as error:
            await self._refuse_report(exchange, name, str(error))
            return
        limit_s = _REPORT_S if report.state is BackendState.ready else _LEAVE_S
        reply = await self._lead(REPORT_BACKEND, report, self.follow.take_report, limit_s)
        if isinstance(reply, ReportTaken):
            await exchange.respond(_OK, [_JSON], encode_accepted(reply.report_to))
        elif isinstance(reply, ReportForeign):
            await self._refuse_report(exchange, name, 'its server tells when it started')
        else:
            await exchange.respond(_UNAVAILABLE, [])

    async def _refuse_report(self, exchange: Exchange, name: str, finding: str) -> None:
        self.metrics.add('reports_refused')
        if self.refusals.allows(self.node.clock.now()):
            self.node.events.emit(
                logger,
                Event.report_refused,
                backend=name[:_LOGGED_CHARACTERS],
                detail=finding[:_LOGGED_CHARACTERS],
            )
        await self._refuse(exchange, [finding])

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
            table = decode_manifest(document)
        except FindingsError as error:
            await self._refuse_document(exchange, [str(finding) for finding in error.findings])
            return
        submit = Submit(number=table.number, document=document)
        reply = await self._lead(SUBMIT, submit, self.follow.documents.accept, _SUBMIT_S)
        if isinstance(reply, DocumentHeld):
            await exchange.respond(_OK, [_JSON], json_body({}))
        else:
            await exchange.respond(_UNAVAILABLE, [])

    async def _read_document(self, exchange: Exchange) -> None:
        reply = await self._lead(
            READ_DOCUMENT,
            Empty(),
            lambda _: self.follow.documents.newest(),
            _READ_S,
        )
        if isinstance(reply, DocumentHeld) and reply.number:
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
        await self._refuse(exchange, findings, status=status)

    async def _handle_zone(self, exchange: Exchange) -> None:
        order = await self._read_order(exchange)
        if order is None:
            return
        # This task is cancelled when the connection ends.
        await asyncio.sleep(_GIVEN_UP_S)
        reply = await self._lead(ORDER_ZONE, order, self.follow.zones.order, _ORDER_S)
        status = _OK if isinstance(reply, DrainedZones) else _UNAVAILABLE
        await exchange.respond(status, [_JSON], json_body({}))

    async def _read_order(self, exchange: Exchange) -> ZoneOrder | None:
        """Return the order of a call; None: it was answered with what is wrong."""
        request = exchange.request
        if not is_zone_method(request.method):
            await exchange.respond(_NOT_ALLOWED, [])
            return None
        try:
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
            path=request.path[:_LOGGED_CHARACTERS],
            method=request.method,
            detail=finding[:_LOGGED_CHARACTERS],
        )
        await self._refuse(exchange, [finding], status=status)

    async def _refuse(
        self,
        exchange: Exchange,
        findings: list[str],
        *,
        status: int = _BAD_REQUEST,
    ) -> None:
        await exchange.respond(status, [_JSON], json_body({'findings': findings}))

    # -- helpers ------------------------------------------------------------

    async def _lead(
        self,
        method: Method,
        message: Any,
        here: Callable[[Any], Any],
        limit_s: float,
    ) -> Any:
        """Answer here when this replica leads, else ask the leader."""
        reply = await here(message)
        if not isinstance(reply, Redirect):
            return reply
        self.leader.addresses = self.addresses()
        self.leader.leader = reply.leader
        try:
            return await self.leader.ask_leader(method, message, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('no leader for %s: %s', method.path, error)
            return None


def _subject(path: str) -> str:
    if instance_of(path):
        return 'backend'
    return 'zone' if is_zone_path(path) else 'document'


def _bounded(body: bytes) -> bytes:
    """Return a report's body.

    :raises ValueError: when no report is as large.
    """
    if len(body) > _REPORT_BYTES:
        raise ValueError(f'{len(body)} bytes; a report has {_REPORT_BYTES} at most')
    return body
