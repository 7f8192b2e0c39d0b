"""A stand-in backend server that gateways call directly and that reports to control itself."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec
import urllib3

from ringseam.backends import BackendId, BackendReport, BackendState
from ringseam.calls import ServerLoad
from ringseam.platform.registration import encode_report, report_path
from ringseam.platform.requests import (
    decode_request,
    identity_headers,
    not_run_header,
    notice_headers,
    retry_after_header,
)
from ringseam.platform.stages import (
    RELEASE_PATH,
    RUN_PATH,
    PieceResult,
    decode_piece_requests,
    encode_results,
)
from ringseam.web.server import HttpLimits, HttpServer

if TYPE_CHECKING:
    from ringseam.routes import ServiceName
    from ringseam.web.bodies import Headers
    from ringseam.web.exchange import Exchange

logger = logging.getLogger(__name__)

_HTTP_OK = 200
_BAD_REQUEST = 400
_UNAVAILABLE = 503
_REPORT_TIMEOUT_S = 3.0
_PIECE_DURATION_S = 0.005
_EVENT_INTERVAL_S = 0.01
_STREAM_EVENTS = 5
_SLOTS = 4


class DirectServer:
    """Serve plain requests, streams and stage pieces of one service."""

    def __init__(
        self,
        *,
        instance: BackendId,
        service: ServiceName,
        control: str,
        zone: str = 'zone-1',
        software: str = '',
    ) -> None:
        """Send reports to ``control``, the HTTP address of a control host."""
        self.instance = instance
        self.service = service
        self.control = control
        self.zone = zone
        #: The version that it reports, and writes into the events of its streams.
        self.software = software
        self.address = ''
        self.sequence = 0
        #: Announced in response headers: the rate limit in requests per second, and shutdown.
        self.rate_limit_per_s: float | None = None
        self.announces_leaving = False
        #: Reported in response headers, with the load: how many times the usual time work takes.
        self.slowdown: float | None = None
        #: While positive, all calls are refused with this Retry-After time in seconds.
        self.pause_s: float = 0
        self.event_interval_s = _EVENT_INTERVAL_S
        #: Cleared while this server pauses: it takes calls and sends nothing.
        self.sending = asyncio.Event()
        self.sending.set()
        #: Ids of the requests and pieces that this server has run, in order.
        self.executed: list[str] = []
        self.http = HttpServer(handler=self.serve, limits=HttpLimits())
        self.connections = urllib3.PoolManager(retries=False)

    async def start(self, host: str) -> None:
        """Serve on a free port of ``host``."""
        port = await self.http.start(host, 0)
        self.address = f'{host}:{port}'

    async def pause(self, duration_s: float) -> None:
        """Send nothing for a while, then go on with all that has begun."""
        self.sending.clear()
        try:
            await asyncio.sleep(duration_s)
        finally:
            self.sending.set()

    async def report(self, state: BackendState = BackendState.ready) -> bool:
        """Send a report to control and return whether it was acknowledged."""
        self.sequence += 1
        report = BackendReport(
            instance=self.instance,
            service=self.service,
            address=self.address,
            zone=self.zone,
            sequence=self.sequence,
            software=self.software,
            slots=_SLOTS,
            state=state,
        )
        reply = await asyncio.to_thread(
            self.connections.request,
            'PUT',
            f'http://{self.control}{report_path(self.instance)}',
            body=encode_report(report),
            timeout=_REPORT_TIMEOUT_S,
        )
        return reply.status == _HTTP_OK

    async def serve(self, exchange: Exchange) -> None:
        """Handle one call of a gateway."""
        path = exchange.request.path
        await self.sending.wait()
        if self.pause_s:
            await exchange.respond(
                _UNAVAILABLE, [not_run_header(), retry_after_header(self.pause_s)]
            )
        elif path == RUN_PATH:
            await self._run_pieces(exchange)
        elif path == RELEASE_PATH:
            await exchange.respond(_HTTP_OK, self._notice_headers(), b'{}')
        elif exchange.request.header('Accept') == 'text/event-stream':
            await self._stream(exchange)
        else:
            await self._respond(exchange)

    def _notice_headers(self) -> Headers:
        """Return the headers with which each response announces this server's state."""
        load = None
        if self.slowdown is not None:
            running = self.http.active
            load = ServerLoad(
                running=min(running, _SLOTS),
                waiting=max(0, running - _SLOTS),
                slots=_SLOTS,
                slowdown=self.slowdown,
            )
        return notice_headers(
            per_s=self.rate_limit_per_s, leaving=self.announces_leaving, load=load
        )

    async def _respond(self, exchange: Exchange) -> None:
        request = decode_request(exchange.request)
        self.executed.append(request.attempt_id)
        body = f'{self.instance} answers {request.attempt_id}\n'
        headers = [*identity_headers(request.attempt_id), *self._notice_headers()]
        await self.sending.wait()
        await exchange.respond(_HTTP_OK, headers, body.encode())

    async def _stream(self, exchange: Exchange) -> None:
        request = decode_request(exchange.request)
        self.executed.append(request.attempt_id)
        headers = [*identity_headers(request.attempt_id), *self._notice_headers()]
        exchange.start(_HTTP_OK, [*headers, ('Content-Type', 'text/event-stream')])
        for number in range((request.last_event or 0) + 1, _STREAM_EVENTS + 1):
            await asyncio.sleep(self.event_interval_s)
            await self.sending.wait()
            text = f'token {number} {self.software}'.rstrip()
            await exchange.send(f'id: {number}\ndata: {text}\n\n'.encode())
        await exchange.finish()

    async def _run_pieces(self, exchange: Exchange) -> None:
        try:
            requests = decode_piece_requests(exchange.request.body)
        except msgspec.MsgspecError as error:
            logger.warning('invalid call for stage pieces: %s', error)
            await exchange.respond(_BAD_REQUEST, [])
            return
        await asyncio.sleep(_PIECE_DURATION_S * len(requests))
        names = [f'{request.attempt_id}-{request.stage}-{request.piece}' for request in requests]
        self.executed.extend(names)
        await self.sending.wait()
        piece_results = [PieceResult(handle=f'{self.address}/{name}') for name in names]
        await exchange.respond(_HTTP_OK, self._notice_headers(), encode_results(piece_results))
