"""Adapters to backend servers: how a stage is executed over HTTP."""

from __future__ import annotations

import abc
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    IncompleteRead,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from ringseam.errors import RingseamError
from ringseam.ids import split_address
from ringseam.messages import (
    RefusalReason,
    StageDone,
    StageFailed,
    StageNotRun,
    StageReply,
    StageTimedOut,
    StageUnknown,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ringseam.config import Pool
    from ringseam.messages import Dispatch

_CONNECT_S = 0.5
_READ_BYTES = 256 * 1024
_OK = 200
_MULTIPLE_CHOICES = 300
_MS = 1000
_DONE = b'[DONE]'
#: Header that tells a backend server which execution it serves; it may echo it.
ECHO_HEADER = 'Ringseam-Execution'


class CancelledExecutionError(RingseamError):
    """Nobody waits for the answer any more."""


class LateExecutionError(RingseamError):
    """The deadline passed while the answer was being read."""


class ForeignAnswerError(RingseamError):
    """The answer belongs to another execution."""


#: What a broken, partial or foreign answer raises.
_BROKEN = (
    IncompleteRead,
    ProtocolError,
    HTTPError,
    OSError,
    ForeignAnswerError,
    msgspec.MsgspecError,
)


@dataclass(kw_only=True)
class Cancel:
    """Cancel a running call from another thread by closing its connection."""

    event: threading.Event = field(default_factory=threading.Event)
    response: Any = None

    def cancel(self) -> None:
        """Cancel; the engine sees its connection close."""
        self.event.set()
        response = self.response
        if response is not None:
            response.close()


@dataclass(frozen=True, kw_only=True)
class Call:
    """One execution to carry out."""

    dispatch: Dispatch
    pool: Pool
    budget_s: float
    cancel: Cancel


class Adapter(abc.ABC):
    """Carry executions to one backend server; register under ``kind``."""

    kinds: dict[str, type[Adapter]] = {}  # noqa: RUF012, WPS407 - the registry
    kind = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.kind] = cls

    def __init__(self, *, address: str, connections: int) -> None:
        """Reach the server at ``address`` with up to ``connections``."""
        self.host, self.port = split_address(address)
        self.connections = connections
        self.pool = self._new_pool(connections)

    def execute(self, call: Call) -> StageReply:
        """Carry out one execution and say truly what became of it.

        "Not run" is said only when no byte of the request can have left, or
        when the answer's status is one that the pool declares so.
        """
        started = time.monotonic()
        try:
            reply = self.attempt(call, started)
        except (NewConnectionError, ConnectTimeoutError):
            return StageNotRun(reason=RefusalReason.unreachable)
        except (CancelledExecutionError, LateExecutionError, ReadTimeoutError):
            return self._overdue(call, started)
        except _BROKEN as error:
            if call.cancel.event.is_set():
                return self._overdue(call, started)
            return self.lost(call, f'{type(error).__name__}: {error}', _spent_ms(started))
        return reply

    @abc.abstractmethod
    def attempt(self, call: Call, started: float) -> StageReply:
        """Send the request and read the whole answer."""

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()

    def open(self, call: Call, body: bytes, content_type: str) -> Any:
        """Send the request and return the response with its body unread.

        A call that may not be repeated goes out on a connection of its own:
        an idle pooled one might close just as the request leaves, and then
        nobody could say whether it ran.
        """
        dispatch = call.dispatch
        connections = self.pool if dispatch.repeatable else self._new_pool(1)
        headers = {
            'Content-Type': content_type,
            ECHO_HEADER: self.echo(dispatch),
            'Ringseam-Priority': str(dispatch.priority),
        }
        if not dispatch.repeatable:
            headers['Connection'] = 'close'
        response = connections.urlopen(
            'POST',
            dispatch.path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=False,
            timeout=urllib3.Timeout(
                connect=min(_CONNECT_S, call.budget_s),
                read=max(call.budget_s, 0.001),
            ),
        )
        call.cancel.response = response
        return response

    def echo(self, dispatch: Dispatch) -> str:
        """Return the identity that the server may echo."""
        return f'{dispatch.request_id}.{dispatch.stage}.{dispatch.generation}'

    def check_echo(self, call: Call, response: Any) -> None:
        """Refuse an answer that another execution's identity stands on.

        :raises ForeignAnswerError: when it isn't this execution's.
        """
        echoed = response.headers.get(ECHO_HEADER)
        wanted = self.echo(call.dispatch)
        if echoed != wanted and (echoed is not None or call.pool.echoes_id):
            response.close()
            raise ForeignAnswerError(f'answer for {echoed}')

    def pieces(self, call: Call, response: Any, started: float) -> Iterator[bytes]:
        """Yield the body's pieces while the deadline holds."""
        for piece in response.stream(_READ_BYTES):
            if call.cancel.event.is_set():
                response.close()
                raise CancelledExecutionError
            if time.monotonic() - started > call.budget_s:
                response.close()
                raise LateExecutionError
            yield piece

    def lost(self, call: Call, detail: str, spent: float = 0) -> StageReply:
        """Return what a call that broke after it was sent has become."""
        if call.dispatch.repeatable:
            return StageFailed(detail=detail, server_ms=spent)
        return StageUnknown(detail=detail, server_ms=spent)

    def refused(self, call: Call, status: int, started: float) -> StageReply:
        """Return what a status other than success says."""
        if status in call.pool.not_run_statuses:
            return StageNotRun(reason=RefusalReason.declared)
        return StageFailed(
            detail=f'backend server answered {status}',
            server_ms=_spent_ms(started),
            status=status,
        )

    def _new_pool(self, connections: int) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            self.host,
            self.port,
            maxsize=connections,
            block=False,
            retries=False,
        )

    def _overdue(self, call: Call, started: float) -> StageReply:
        spent = _spent_ms(started)
        if call.dispatch.repeatable:
            return StageTimedOut(server_ms=spent)
        return StageUnknown(detail='no answer before the deadline', server_ms=spent)


def _spent_ms(started: float) -> float:
    return (time.monotonic() - started) * _MS


class ServiceAdapter(Adapter):
    """A plain HTTP service: the body goes in, the answer's body comes out."""

    kind = 'service'

    def attempt(self, call: Call, started: float) -> StageReply:
        """Post the body and read the whole answer."""
        dispatch = call.dispatch
        response = self.open(call, dispatch.body, dispatch.content_type)
        self.check_echo(call, response)
        body = b''.join(self.pieces(call, response, started))
        response.release_conn()
        if not _OK <= response.status < _MULTIPLE_CHOICES:
            return self.refused(call, response.status, started)
        return StageDone(
            request_id=dispatch.request_id,
            stage=dispatch.stage,
            generation=dispatch.generation,
            content_type=response.headers.get('Content-Type', 'application/octet-stream'),
            body=body,
            server_ms=_spent_ms(started),
        )


class _Delta(msgspec.Struct):
    text: str = ''


class _Chunk(msgspec.Struct):
    choices: list[_Delta]


class EngineAdapter(Adapter):
    """A model engine with the OpenAI-style completions interface, streamed.

    The stage's input is the prompt; the answer is the whole generated text. A
    stream without its closing event is not whole.
    """

    kind = 'engine'

    def attempt(self, call: Call, started: float) -> StageReply:
        """Ask for a streamed completion and gather it."""
        dispatch = call.dispatch
        response = self.open(call, self.request_body(dispatch), 'application/json')
        self.check_echo(call, response)
        if response.status != _OK:
            response.close()
            return self.refused(call, response.status, started)
        texts = list(self.events(call, response, started))
        response.release_conn()
        return StageDone(
            request_id=dispatch.request_id,
            stage=dispatch.stage,
            generation=dispatch.generation,
            content_type='text/plain; charset=utf-8',
            body=''.join(texts).encode(),
            server_ms=_spent_ms(started),
            tokens=len(texts),
        )

    def request_body(self, dispatch: Dispatch) -> bytes:
        """Return the completion request for the stage's input."""
        return msgspec.json.encode(
            {
                'model': dispatch.model,
                'prompt': dispatch.body.decode(errors='replace'),
                'stream': True,
                'priority': dispatch.priority,
            },
        )

    def events(self, call: Call, response: Any, started: float) -> Iterator[str]:
        """Yield the text of each event up to the closing one.

        :raises IncompleteRead: when the stream ends before it.
        """
        rest = b''
        for piece in self.pieces(call, response, started):
            *lines, rest = (rest + piece).split(b'\n\n')
            for line in lines:
                payload = line.removeprefix(b'data:').strip()
                if payload == _DONE:
                    response.drain_conn()
                    return
                chunk = msgspec.json.decode(payload, type=_Chunk)
                yield ''.join(choice.text for choice in chunk.choices)
        raise IncompleteRead(0, 0)
