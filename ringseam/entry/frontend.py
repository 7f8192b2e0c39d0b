"""The callers' HTTP interface of an entry."""

from __future__ import annotations

import asyncio
import hashlib
import http
import math
from concurrent import futures
from typing import TYPE_CHECKING, Any

from ringseam.config import PRIORITIES
from ringseam.entry.runs import CallerRequest, PipelineRuns
from ringseam.entry.streaming import EVENT_STREAM, TextStream
from ringseam.ids import fresh_id
from ringseam.outcomes import (
    Completed,
    Failed,
    InProgress,
    NotRun,
    Outcome,
    Rejected,
    TimedOut,
    Unknown,
    outcome_name,
    refused,
)
from ringseam.places import Places
from ringseam.util.http import HttpReply, HttpRequest, problem

if TYPE_CHECKING:
    from ringseam.config import Account, Pipeline
    from ringseam.entry.state import EntryState

_PREFIX = '/v1/pipelines/'
_BEARER = 'Bearer '
_MAX_KEY = 200
_GRACE_S = 5.0
_STATUSES: dict[type, int] = {  # noqa: WPS407 - one per outcome
    Failed: http.HTTPStatus.BAD_GATEWAY,
    TimedOut: http.HTTPStatus.GATEWAY_TIMEOUT,
    Unknown: http.HTTPStatus.GATEWAY_TIMEOUT,
    InProgress: http.HTTPStatus.CONFLICT,
}


class RejectedError(Exception):
    """The request is answered before it is run."""

    def __init__(self, status: int, detail: str) -> None:
        """Carry status and detail of the answer."""
        super().__init__(detail)
        self.status = status


class Frontend:
    """Turn HTTP requests into runs and outcomes into HTTP replies."""

    def __init__(
        self,
        *,
        state: EntryState,
        runs: PipelineRuns,
        loop: asyncio.AbstractEventLoop,
        places: Places,
    ) -> None:
        """Serve while there are ``places``; refuse beyond at once."""
        self.state = state
        self.runs = runs
        self.loop = loop
        self.places = places
        self.draining = False
        self.ready = False

    def respond(self, request: HttpRequest) -> HttpReply:
        """Answer one HTTP request."""
        if request.path.startswith(_PREFIX):
            return self._pipeline(request)
        if request.method != 'GET':
            return problem(http.HTTPStatus.METHOD_NOT_ALLOWED, 'use GET')
        if request.path == '/livez':
            return HttpReply(status=http.HTTPStatus.OK, body=b'ok\n')
        if request.path == '/readyz':
            return self._readiness()
        if request.path == '/metrics':
            text = self.state.metrics.render() + self.state.costs.render()
            return HttpReply(status=http.HTTPStatus.OK, body=text.encode())
        return problem(http.HTTPStatus.NOT_FOUND, 'no such page')

    def _readiness(self) -> HttpReply:
        if self.draining:
            return problem(http.HTTPStatus.SERVICE_UNAVAILABLE, 'draining')
        if not self.ready:
            return problem(http.HTTPStatus.SERVICE_UNAVAILABLE, 'no configuration yet')
        return HttpReply(status=http.HTTPStatus.OK, body=b'ready\n')

    def _pipeline(self, request: HttpRequest) -> HttpReply:
        request_id = fresh_id()
        stream = TextStream() if EVENT_STREAM in request.header('accept') else None
        try:
            caller = self._caller_request(request, request_id, stream)
        except RejectedError as error:
            return _reply(Rejected(status=error.status, detail=str(error)), request_id)
        account = caller.account.name
        if not self.places.take(account, PRIORITIES.index(caller.pipeline.priority)):
            return _reply(_no_place(caller), request_id)
        if stream is not None:
            return self._streamed(caller, stream)
        try:
            outcome = self._begin(caller).result()
        finally:
            self.places.release(account)
        return _reply(outcome, request_id)

    def _streamed(self, caller: CallerRequest, stream: TextStream) -> HttpReply:
        """Answer with events; an error before the first text has its status."""
        future = self._begin(caller)
        future.add_done_callback(stream.finish)
        first = stream.first()

        def release() -> None:  # noqa: WPS430
            # When the caller has gone, the run is cancelled down to the engine.
            future.cancel()
            self.places.release(caller.account.name)

        if not isinstance(first, (str, Completed)):
            release()
            return _reply(first, caller.request_id)
        return HttpReply(
            status=http.HTTPStatus.OK,
            content_type=EVENT_STREAM,
            headers={'Ringseam-Request-Id': caller.request_id},
            chunks=stream.events(first, release),
        )

    def _begin(self, caller: CallerRequest) -> futures.Future[Outcome]:
        return asyncio.run_coroutine_threadsafe(self.runs.run(caller), self.loop)

    def _caller_request(
        self,
        request: HttpRequest,
        request_id: str,
        stream: TextStream | None,
    ) -> CallerRequest:
        if request.method != 'POST':
            raise RejectedError(http.HTTPStatus.METHOD_NOT_ALLOWED, 'use POST')
        account = self._authenticate(request)
        pipeline = self._find(account, request.path.removeprefix(_PREFIX))
        if len(request.body) > pipeline.max_body_bytes:
            raise RejectedError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'{pipeline.name} takes {pipeline.max_body_bytes} bytes',
            )
        return CallerRequest(
            request_id=request_id,
            account=account,
            pipeline=pipeline,
            key=_key(request, pipeline),
            timeout_ms=_timeout_ms(request, pipeline),
            content_type=request.content_type or 'application/octet-stream',
            body=request.body,
            received=self.state.node.clock.now(),
            on_text=stream.take if stream else None,
        )

    def _authenticate(self, request: HttpRequest) -> Account:
        header = request.header('authorization')
        token = header.removeprefix(_BEARER)
        digest = hashlib.sha256(token.encode()).hexdigest()
        account = self.state.holder.current.account_of(digest)
        if not header.startswith(_BEARER) or account is None:
            raise RejectedError(http.HTTPStatus.UNAUTHORIZED, 'unknown bearer token')
        return account

    def _find(self, account: Account, name: str) -> Pipeline:
        part = account.name.partition('/')[0]
        pipeline = self.state.holder.current.pipeline(f'{part}/{name}')
        if pipeline is None:
            raise RejectedError(http.HTTPStatus.NOT_FOUND, f'no pipeline "{name}"')
        if account.name not in pipeline.accounts:
            raise RejectedError(
                http.HTTPStatus.FORBIDDEN,
                f'{account.name} may not call {pipeline.name}',
            )
        return pipeline


def _key(request: HttpRequest, pipeline: Pipeline) -> str:
    key = request.header('idempotency-key')
    if pipeline.needs_key and not key:
        raise RejectedError(http.HTTPStatus.BAD_REQUEST, 'Idempotency-Key is required here')
    if len(key) > _MAX_KEY or not key.isprintable():
        raise RejectedError(
            http.HTTPStatus.BAD_REQUEST,
            f'Idempotency-Key may have {_MAX_KEY} printable characters',
        )
    return key


def _timeout_ms(request: HttpRequest, pipeline: Pipeline) -> int:
    text = request.header('ringseam-timeout-ms')
    if not text:
        return pipeline.deadline_ms
    if not text.isdecimal() or not int(text):
        raise RejectedError(http.HTTPStatus.BAD_REQUEST, 'Ringseam-Timeout-Ms is not a number')
    return min(int(text), pipeline.deadline_ms)


def _no_place(caller: CallerRequest) -> Outcome:
    return refused(
        'all places of this entry are taken',
        1,
        key=caller.key if caller.pipeline.needs_key else '',
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    )


def _reply(outcome: Outcome, request_id: str) -> HttpReply:
    headers = {
        'Ringseam-Request-Id': request_id,
        'Ringseam-Outcome': outcome_name(outcome),
    }
    if isinstance(outcome, Completed):
        return HttpReply(
            status=http.HTTPStatus.OK,
            body=outcome.body,
            content_type=outcome.content_type,
            headers=headers,
        )
    retry_after_s = getattr(outcome, 'retry_after_s', 0)
    if retry_after_s:
        headers['Retry-After'] = str(math.ceil(retry_after_s))
    if isinstance(outcome, Rejected) and outcome.status == http.HTTPStatus.UNAUTHORIZED:
        headers['WWW-Authenticate'] = 'Bearer'
    return problem(
        _status(outcome),
        _detail(outcome),
        headers=headers,
        outcome=outcome_name(outcome),
        request_id=request_id,
        retry_after_s=round(retry_after_s, 3),
    )


def _status(outcome: Any) -> int:
    return getattr(outcome, 'status', 0) or _STATUSES[type(outcome)]


def _detail(outcome: Any) -> str:
    if isinstance(outcome, NotRun):
        return outcome.reason
    return getattr(outcome, 'detail', 'the same key is running for another ask')
