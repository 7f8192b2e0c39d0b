"""HTTP header lists, and splitting of text/event-stream bodies into events."""

from __future__ import annotations

from dataclasses import dataclass

#: Header names and values in their original order and case.
Headers = list[tuple[str, str]]

#: Headers that apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'transfer-encoding',
        'te',
        'trailer',
        'upgrade',
        'content-length',
        'expect',
    ),
)
#: Statuses of responses without a body.
BODILESS_STATUSES = frozenset((204, 304))
_LINE_END = b'\n'
_BLANK_LINES = (b'\n', b'\r\n')


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of header ``name``, or an empty string."""
    lower_name = name.lower()
    for header, text in headers:
        if header.lower() == lower_name:
            return text
    return ''


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that an intermediary may forward."""
    connection_options = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in connection_options
    ]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as the bytes that were received; those beyond ASCII are opaque (RFC 9110).

    :raises UnicodeEncodeError: for text that is no received header, beyond Latin-1.
    """
    return [(name.encode('latin-1'), text.encode('latin-1')) for name, text in headers]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the head of a message.

    :param first_line: the request or status line, without its end.
    :raises ValueError: if a line holds a line end or NUL, so that the head would mean another one.
    :raises UnicodeEncodeError: for text that is no received header, beyond Latin-1.
    """
    lines = [first_line, *(b'%s: %s' % pair for pair in encode_headers(headers)), b'', b'']
    head = b'\r\n'.join(lines)
    ends = len(lines) - 1
    if head.count(b'\n') != ends or head.count(b'\r') != ends or b'\0' in head:
        raise ValueError('a header holds a line end or NUL')
    return head


def utf8_value(text: str) -> str:
    """Return a header value whose bytes are the UTF-8 encoding of ``text``.

    Header values hold one character for each byte, as they are received.
    """
    return text.encode().decode('latin-1')


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """A complete event; ``number`` is its id, or None without a numeric id."""

    raw: bytes
    number: int | None


class EventSplitter:
    """Split the bytes of an event stream into complete events.

    What is held of an incomplete event is the caller's to bound.
    """

    def __init__(self) -> None:
        """Create a splitter with an empty remainder."""
        self.remainder = bytearray()
        #: Where the last line of the remainder begins, and up to where it has no end.
        self.line_start = 0
        self.searched = 0

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that are complete with ``chunk``; keep the remainder."""
        self.remainder += chunk
        events = []
        start = 0
        end = self.remainder.find(_LINE_END, self.searched)
        while end >= 0:
            line = self.remainder[self.line_start : end + 1]
            self.line_start = end + 1
            if line in _BLANK_LINES:
                events.append(_parse_event(bytes(self.remainder[start : self.line_start])))
                start = self.line_start
            end = self.remainder.find(_LINE_END, self.line_start)
        self.remainder = self.remainder[start:]
        self.line_start -= start
        self.searched = len(self.remainder)
        return events


def _parse_event(raw: bytes) -> StreamEvent:
    number = None
    for line in raw.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            number = int(text) if text.isdigit() else None
    return StreamEvent(raw=raw, number=number)
