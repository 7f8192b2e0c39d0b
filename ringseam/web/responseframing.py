"""Framing of HTTP/1.1 responses (RFC 9112, 6): by length, in chunks or by the connection."""

from __future__ import annotations

import enum

from ringseam.errors import RingseamError
from ringseam.web.bodies import BODILESS_STATUSES, Headers, encode_head

#: The final status codes begin here.
_FIRST_FINAL_STATUS = 200
_CLOSE = ('Connection', 'close')
_CHUNKED = ('Transfer-Encoding', 'chunked')
CONTINUE = b'HTTP/1.1 100 \r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


class ResponseError(RingseamError):
    """A response contradicts its own head, or can't be sent."""


class Framing(enum.Enum):
    """How a client finds the end of a response."""

    #: The response has no body.
    none = 'none'
    length = 'length'
    chunked = 'chunked'
    connection = 'connection'


class ResponseFraming:
    """Encode the parts of one response.

    A response whose body is shorter or longer than declared raises an error: the client must not
    take it for complete.
    """

    def __init__(self, *, method: str, version: str, keeps_alive: bool) -> None:
        """Create the framing of the response to a request with this method and version.

        :param keeps_alive: whether the client allows the connection to be used again.
        """
        self.method = method
        self.version = version
        self.keeps_alive = keeps_alive
        self.framing: Framing | None = None
        #: Bytes of the body that are still to come, if their number is declared.
        self.left_bytes = 0
        self.is_complete = False

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """Return the bytes of the status line and the headers.

        :raises ResponseError: if the head was sent already or holds an invalid character.
        """
        if self.framing is not None or status < _FIRST_FINAL_STATUS:
            raise ResponseError(f'response {status} after the head was sent')
        sent = [*headers, *self._choose_framing(status, headers)]
        if not self.keeps_alive and not _asks_to_close(headers):
            sent.append(_CLOSE)
        self.keeps_alive = self.keeps_alive and not _asks_to_close(headers)
        try:
            return encode_head(b'HTTP/1.1 %d ' % status, sent)
        except ValueError as error:
            raise ResponseError(str(error)) from None

    def encode_data(self, chunk: bytes) -> bytes:
        """Return the bytes of a part of the body.

        :raises ResponseError: if the body is longer than declared.
        """
        if self.framing is None or self.is_complete:
            raise ResponseError('a part of a body outside of a response')
        if self.framing is Framing.none or not chunk:
            return b''
        if self.framing is Framing.chunked:
            return b'%x\r\n%s\r\n' % (len(chunk), chunk)
        if self.framing is Framing.length:
            self.left_bytes -= len(chunk)
            if self.left_bytes < 0:
                raise ResponseError('the body is longer than its Content-Length')
        return chunk

    def encode_end(self) -> bytes:
        """Return the bytes that end the response.

        :raises ResponseError: if the body is shorter than declared.
        """
        if self.framing is None or self.is_complete:
            raise ResponseError('the end of a response outside of it')
        if self.left_bytes:
            raise ResponseError(f'the body lacks {self.left_bytes} bytes of its Content-Length')
        self.is_complete = True
        return _LAST_CHUNK if self.framing is Framing.chunked else b''

    def _choose_framing(self, status: int, headers: Headers) -> Headers:
        """Set the framing; return the headers that declare it."""
        length = _find_length(headers)
        if status in BODILESS_STATUSES:
            self.framing = Framing.none
            return []
        is_head = self.method == 'HEAD'
        if length is not None:
            self.framing = Framing.none if is_head else Framing.length
            self.left_bytes = 0 if is_head else length
            return []
        if self.version == '1.0':
            self.framing = Framing.none if is_head else Framing.connection
            self.keeps_alive = False
            return []
        self.framing = Framing.none if is_head else Framing.chunked
        return [_CHUNKED]


def _find_length(headers: Headers) -> int | None:
    for name, text in headers:
        if name.lower() == 'content-length':
            if not (text.isascii() and text.isdigit()):
                raise ResponseError(f'Content-Length {text!r}')
            return int(text)
    return None


def _asks_to_close(headers: Headers) -> bool:
    return any(
        name.lower() == 'connection' and 'close' in text.lower().split(',')
        for name, text in headers
    )
