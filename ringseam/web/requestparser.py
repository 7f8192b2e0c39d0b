"""Parsing of HTTP/1.1 requests from one connection, in steps of bounded work."""

from __future__ import annotations

import enum
import re
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from ringseam.errors import RingseamError

if TYPE_CHECKING:
    from ringseam.web.bodies import Headers

#: Bytes of a chunked body that are parsed in one step: at most a few thousand chunks.
CHUNKED_STEP_BYTES = 16_384
#: Fields above which a head is kept as received until its request is complete, but for those that
#: decide about the body: an object for each field takes many times the bytes of the field.
_MAX_PARSED_FIELDS = 32
#: Memory of the two strings and the pair of one field beside their characters, bytes.
FIELD_BYTES = 180
_LINE_END = b'\r\n'
_BLANK_LINE = b'\r\n\r\n'
#: Host, Authorization, Connection, Content-Length, Transfer-Encoding and Expect. The literal at the
#: start and the two sets of letters let the search skip nearly all lines.
_DECIDING_FIELDS = re.compile(
    rb'\n([HhAaCcTtEe][OoUuRrXx]'
    rb'(?i:st|thorization|nnection|ntent-length|ansfer-encoding|pect)[ \t]*:[^\r\n]*\r)(?=\n)',
)
#: This server never switches protocols; the parser would take a body for another protocol.
_UPGRADE_FIELD = re.compile(rb'\r\nupgrade:[^\r\n]*(?=\r\n)', re.IGNORECASE)
_VERSIONS = frozenset(('1.0', '1.1'))
_WHITESPACE = b' \t'
_FRAMING_FIELDS = frozenset(('content-length', 'transfer-encoding', 'expect'))
_CONTINUE = '100-continue'


class RequestError(RingseamError):
    """A request is invalid or exceeds a limit."""

    def __init__(self, detail: str, *, status: HTTPStatus = HTTPStatus.BAD_REQUEST) -> None:
        """Store what is wrong and the status of the response."""
        super().__init__(detail)
        self.status = status


class Progress(enum.Enum):
    """What a step of the parser has reached."""

    #: More bytes must be received.
    starved = 'starved'
    #: A further step can be taken with what is received.
    unfinished = 'unfinished'
    #: The head is complete; the body follows.
    head = 'head'
    complete = 'complete'


@dataclass(kw_only=True)
class RequestHead:
    """The head of a request.

    ``content_length`` is None for a chunked body.
    """

    method: str
    target: str
    version: str
    headers: Headers
    content_length: int | None = 0
    keeps_alive: bool = True
    expects_continue: bool = False

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.content_length != 0


@dataclass(kw_only=True)
class _Fields:
    """Collects what the parser of the library reports of one request."""

    target: bytes = b''
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    #: Chunks, or parts of them, since the last look.
    parts: int = 0
    is_head_complete: bool = False
    is_complete: bool = False

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        # Trailers of a chunked body are dropped.
        if not self.is_head_complete:
            self.headers.append((name.decode('latin-1'), text.strip(_WHITESPACE).decode('latin-1')))

    def on_headers_complete(self) -> None:
        self.is_head_complete = True

    def on_body(self, part: bytes) -> None:
        self.parts += 1
        self.body += part

    def on_message_complete(self) -> None:
        self.is_complete = True


class RequestParser:
    """Parse the requests of one connection, one after the other.

    What follows a complete request stays unparsed until :meth:`start_next`.
    """

    def __init__(self) -> None:
        """Create a parser that has received nothing."""
        self.unparsed = bytearray()
        self.start_next()

    def start_next(self) -> None:
        """Prepare for the next request; what is received of it is kept."""
        self.head: RequestHead | None = None
        #: The head as received, from which its fields can be parsed again.
        self.raw_head = b''
        self.field_count = 0
        self.body = bytearray()
        #: Bytes of the body so far, also of one that is not kept.
        self.body_size = 0
        self.keeps_body = True
        self.is_complete = False
        #: Work of the last steps: parsed fields, chunks and blocks of bytes.
        self.work = 0
        self._fields = _Fields()
        self._parser: httptools.HttpRequestParser | None = None
        self._searched = 0
        #: The last bytes that were parsed of a chunked body: a blank line may begin in them.
        self._tail = b''
        #: Bytes since the last part of a chunked body.
        self._overhead = 0

    @property
    def held_bytes(self) -> int:
        """Return an estimate of the memory that the request and what follows take."""
        fields = 0 if self.head is None else FIELD_BYTES * len(self.head.headers)
        return len(self.unparsed) + self.head_bytes + fields + len(self.body)

    @property
    def head_bytes(self) -> int:
        """Return the memory of a head as received and as text."""
        return 2 * len(self.raw_head)

    @property
    def request_bytes(self) -> int:
        """Return an estimate of the memory that the request takes once it is handled."""
        return FIELD_BYTES * self.field_count + self.head_bytes + len(self.body)

    def receive(self, chunk: bytes) -> None:
        """Take received bytes; :meth:`step` parses them."""
        self.unparsed += chunk

    def drop_unparsed(self) -> None:
        """Discard what is received and not parsed."""
        self.unparsed = bytearray()
        self._searched = 0

    def step(self, *, header_bytes: int, body_bytes: int) -> Progress:
        """Parse some of what is received.

        :param header_bytes: limit of the request line, and of the header fields together.
        :param body_bytes: limit of the body.
        :raises RequestError: if the request is invalid or too large.
        """
        if self.is_complete:
            return Progress.complete
        if self.head is None:
            return self._take_head(header_bytes)
        if self.head.content_length is None:
            progress = self._parse_chunks(header_bytes)
        else:
            progress = self._take_body(self.head.content_length)
        if self.body_size > body_bytes:
            raise RequestError('the body is too large', status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return progress

    def take_headers(self) -> Headers:
        """Return all fields of the head.

        :raises RequestError: if a field that was not parsed before is invalid.
        """
        if self.head is None:
            return []
        if self.has_many_fields:
            self.work += self.field_count
            head, _ = _parse_head(self.raw_head, _Fields())
            if head.content_length != self.head.content_length:
                raise RequestError('the framing of the body is ambiguous')
            self.head.headers = head.headers
        return self.head.headers

    @property
    def has_many_fields(self) -> bool:
        """Return whether most fields of the head are parsed only at the end."""
        return self.field_count > _MAX_PARSED_FIELDS

    # -- head -------------------------------------------------------------------

    def _take_head(self, header_bytes: int) -> Progress:
        end = self.unparsed.find(_BLANK_LINE, max(0, self._searched - len(_BLANK_LINE)))
        line_end = self.unparsed.find(_LINE_END, 0, header_bytes + len(_LINE_END))
        if end < 0:
            self._searched = len(self.unparsed)
        received = len(self.unparsed) if end < 0 else end
        size = received - max(0, line_end)
        if size > header_bytes + len(_LINE_END):
            raise RequestError(
                'the head is too large', status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
        if end < 0:
            return Progress.starved
        self.raw_head = bytes(self.unparsed[: end + len(_BLANK_LINE)])
        self._forget_parsed(len(self.raw_head))
        self._searched = 0
        self.field_count = self.raw_head.count(_LINE_END) - 2
        parsed = self.raw_head
        if self.has_many_fields:
            first_line = parsed[: parsed.index(b'\n')]
            deciding = _DECIDING_FIELDS.findall(parsed, len(first_line))
            parsed = b'\n'.join((first_line, *deciding, _LINE_END))
        self.head, self._parser = _parse_head(parsed, self._fields)
        self.work += len(self.head.headers)
        return Progress.head if self.head.has_body else self._complete()

    # -- body -------------------------------------------------------------------

    def _take_body(self, content_length: int) -> Progress:
        taken = min(content_length - self.body_size, len(self.unparsed))
        if self.keeps_body:
            self.body += self.unparsed[:taken]
        self._forget_parsed(taken)
        self.body_size += taken
        self.work += 1
        return self._complete() if self.body_size == content_length else Progress.starved

    def _parse_chunks(self, header_bytes: int) -> Progress:
        """Parse the next bytes of a chunked body.

        The library can't tell where a request ends within the bytes that it is given. As a chunked
        body ends with a blank line, no call goes beyond one.
        """
        piece = bytes(self.unparsed[:CHUNKED_STEP_BYTES])
        start = 0
        while start < len(piece) and not self._fields.is_complete:
            end = self._end_of_part(piece, start)
            self._parse_part(piece[start:end], header_bytes)
            start = end
        self._forget_parsed(start)
        self.work += self._fields.parts + 1
        self._fields.parts = 0
        if self._fields.is_complete:
            return self._complete()
        return Progress.unfinished if self.unparsed else Progress.starved

    def _end_of_part(self, piece: bytes, start: int) -> int:
        """Return the index behind the next blank line, or the end of the piece."""
        joint = self._tail + piece[start : start + len(_BLANK_LINE) - 1]
        begun = joint.find(_BLANK_LINE)
        if begun >= 0:
            return start + begun + len(_BLANK_LINE) - len(self._tail)
        end = piece.find(_BLANK_LINE, start)
        return len(piece) if end < 0 else end + len(_BLANK_LINE)

    def _parse_part(self, part: bytes, header_bytes: int) -> None:
        parts = self._fields.parts
        _feed(self._parser, part)
        self._tail = (self._tail + part)[1 - len(_BLANK_LINE) :]
        self._overhead = 0 if self._fields.parts > parts else self._overhead + len(part)
        if self._overhead > header_bytes and not self._fields.is_complete:
            raise RequestError(
                'a chunk size or the trailers are too large',
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        self.body_size += len(self._fields.body)
        if self.keeps_body:
            self.body += self._fields.body
        self._fields.body.clear()

    def _forget_parsed(self, count: int) -> None:
        self.unparsed[:count] = b''  # noqa: WPS362 - in place, which a bytearray does fast

    def _complete(self) -> Progress:
        self.is_complete = True
        return Progress.complete


def _without_upgrade(head: bytes) -> bytes:
    """Return a head without its ``Upgrade`` fields, which a server may ignore (RFC 9110, 7.8)."""
    return _UPGRADE_FIELD.sub(b'', head) if b'pgrade' in head.lower() else head


def _feed(parser: httptools.HttpRequestParser | None, part: bytes) -> None:
    """Parse bytes.

    :raises RequestError: if they belong to no valid request.
    """
    if parser is None:
        return
    try:
        parser.feed_data(part)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        raise RequestError(str(error)) from None


def _parse_head(
    raw_head: bytes, fields: _Fields
) -> tuple[RequestHead, httptools.HttpRequestParser]:
    """Parse a head; return it and the parser, which goes on with the body.

    :raises RequestError: if it is invalid.
    """
    parser = httptools.HttpRequestParser(fields)
    _feed(parser, _without_upgrade(raw_head))
    if not fields.is_head_complete:
        raise RequestError('the head is incomplete')
    method = parser.get_method()
    version = parser.get_http_version()
    line = b'%s %s HTTP/%s\r\n' % (method, fields.target, version.encode())
    # The parser tolerates blank lines before a request and several spaces in its first line.
    if version not in _VERSIONS or not raw_head.startswith(line) or method == b'CONNECT':
        raise RequestError('the request line is invalid')
    head = RequestHead(
        method=method.decode('latin-1'),
        target=fields.target.decode('latin-1'),
        version=version,
        headers=fields.headers,
    )
    return _check_head(head), parser


def _check_head(head: RequestHead) -> RequestHead:
    """Return a head with the framing of its body.

    :raises RequestError: if the head lacks its host or has an unknown framing.
    """
    fields = [(name.lower(), text) for name, text in head.headers]
    known = {name: text for name, text in fields if name in _FRAMING_FIELDS}
    hosts = sum(name == 'host' for name, _ in fields)
    if hosts > 1 or (not hosts and head.version != '1.0'):
        raise RequestError(f'{hosts} Host fields')
    head.content_length = int(known.get('content-length', '0'))
    encoding = known.get('transfer-encoding')
    if encoding is not None:
        _check_encoding(head.version, encoding)
        head.content_length = None
    head.keeps_alive = _keeps_alive(head.version, fields)
    expectation = known.get('expect', '').lower()
    head.expects_continue = expectation == _CONTINUE and head.version != '1.0'
    return head


def _keeps_alive(version: str, fields: Headers) -> bool:
    """Return whether the connection can be used again; never with an HTTP/1.0 client.

    The parser of the library no longer knows it once the request is complete.
    """
    options = {
        option.strip().lower()
        for name, text in fields
        if name == 'connection'
        for option in text.split(',')
    }
    return 'close' not in options and version != '1.0'


def _check_encoding(version: str, text: str) -> None:
    if version == '1.0':
        raise RequestError('Transfer-Encoding in HTTP/1.0')
    if text.lower() != 'chunked':
        raise RequestError(f'transfer encoding {text!r}', status=HTTPStatus.NOT_IMPLEMENTED)
