"""A small WSGI frame over cheroot for the HTTP sides of the processes."""

from __future__ import annotations

import http
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from cheroot import wsgi

JSON = 'application/json'
PROBLEM = 'application/problem+json'
TEXT = 'text/plain; charset=utf-8'
_HEADER_BYTES = 32 * 1024
_READ_BYTES = 64 * 1024


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """One HTTP request with its whole body."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    content_type: str

    def header(self, name: str) -> str:
        """Return a header by its small-letter name, or nothing."""
        return self.headers.get(name, '')


@dataclass(frozen=True, kw_only=True)
class HttpReply:
    """One HTTP reply; ``chunks`` replaces ``body`` when it streams."""

    status: int
    body: bytes = b''
    content_type: str = TEXT
    headers: dict[str, str] = field(default_factory=dict)
    chunks: Iterable[bytes] | None = None


class BadBodyError(Exception):
    """The body is too large or did not arrive whole."""

    def __init__(self, status: int, detail: str) -> None:
        """Carry the HTTP status that answers it."""
        super().__init__(detail)
        self.status = status


def json_reply(status: int, message: Any, **headers: str) -> HttpReply:
    """Return ``message`` as JSON."""
    return HttpReply(
        status=status,
        body=msgspec.json.encode(message),
        content_type=JSON,
        headers=headers,
    )


def problem(
    status: int,
    detail: str,
    *,
    headers: dict[str, str] | None = None,
    **members: Any,
) -> HttpReply:
    """Return a problem document as RFC 9457 has it."""
    document = {
        'type': 'about:blank',
        'title': http.HTTPStatus(status).phrase,
        'status': status,
        'detail': detail,
        **members,
    }
    return HttpReply(
        status=status,
        body=msgspec.json.encode(document),
        content_type=PROBLEM,
        headers=headers or {},
    )


class HttpServer:
    """Serve requests on threads of cheroot."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        respond: Callable[[HttpRequest], HttpReply],
        threads: int,
        max_body_bytes: int,
        backlog: int = 64,
        name: str = 'http',
    ) -> None:
        """Prepare to serve ``respond`` on ``address``."""
        self.respond = respond
        self.max_body_bytes = max_body_bytes
        self.server = wsgi.Server(
            address,
            self.application,
            numthreads=threads,
            max=threads,
            request_queue_size=backlog,
            timeout=10,
            shutdown_timeout=2,
            server_name=name,
        )
        self.server.max_request_header_size = _HEADER_BYTES
        self.server.error_log = _ignore
        self.thread = threading.Thread(target=self.server.serve, name=name, daemon=True)

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return self.server.bind_addr[1]

    def start(self) -> None:
        """Bind and serve."""
        self.server.prepare()
        self.thread.start()

    def stop(self) -> None:
        """Stop listening and end the threads."""
        self.server.stop()

    def application(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one request as WSGI has it."""
        try:
            reply = self.respond(self._request(environ))
        except BadBodyError as error:
            reply = problem(error.status, str(error), headers={'Connection': 'close'})
        headers = [('Content-Type', reply.content_type), *reply.headers.items()]
        status = f'{reply.status} {http.HTTPStatus(reply.status).phrase}'
        if reply.chunks is not None:
            start_response(status, headers)
            return reply.chunks
        headers.append(('Content-Length', str(len(reply.body))))
        start_response(status, headers)
        return [reply.body]

    def _request(self, environ: dict[str, Any]) -> HttpRequest:
        headers = {
            name[5:].lower().replace('_', '-'): text
            for name, text in environ.items()
            if name.startswith('HTTP_')
        }
        return HttpRequest(
            method=environ['REQUEST_METHOD'],
            path=environ.get('PATH_INFO', '/'),
            headers=headers,
            body=self._body(environ),
            content_type=environ.get('CONTENT_TYPE', ''),
        )

    def _body(self, environ: dict[str, Any]) -> bytes:
        length_text = environ.get('CONTENT_LENGTH') or '0'
        if not length_text.isdigit():
            raise BadBodyError(http.HTTPStatus.BAD_REQUEST, 'Content-Length is not a number')
        length = int(length_text)
        if length > self.max_body_bytes:
            raise BadBodyError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'the body may have {self.max_body_bytes} bytes',
            )
        if environ.get('HTTP_TRANSFER_ENCODING', '').lower() == 'chunked':
            return self._chunked(environ['wsgi.input'])
        body = environ['wsgi.input'].read(length) if length else b''
        if len(body) != length:
            raise BadBodyError(http.HTTPStatus.BAD_REQUEST, 'the body ended early')
        return body

    def _chunked(self, source: Any) -> bytes:
        pieces: list[bytes] = []
        size = 0
        piece = source.read(_READ_BYTES)
        while piece:
            size += len(piece)
            if size > self.max_body_bytes:
                raise BadBodyError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    f'the body may have {self.max_body_bytes} bytes',
                )
            pieces.append(piece)
            piece = source.read(_READ_BYTES)
        return b''.join(pieces)


def _ignore(msg: str = '', level: int = 20, traceback: bool = False) -> None:
    """Drop cheroot's own messages: broken clients are counted elsewhere."""
