"""Headers as they travel, and events of a text/event-stream body."""

from __future__ import annotations

from dataclasses import dataclass

#: Header names with their values, in order, as they were written.
Headers = list[tuple[str, str]]

#: Headers that concern one connection only (RFC 9110, 7.6.1).
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
_LINE_END = b'\n'
_BLANK_LINES = (b'\n', b'\r\n')


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of ``name``, or nothing."""
    wanted = name.lower()
    for known, text in headers:
        if known.lower() == wanted:
            return text
    return ''


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that may be passed on."""
    named = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in named
    ]


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One whole event; ``number`` is its id, None when it has none."""

    raw: bytes
    number: int | None


class EventSplitter:
    """Cut the bytes of an event stream into whole events."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.remainder = b''

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that ``chunk`` completes."""
        self.remainder += chunk
        events = []
        start = 0
        position = 0
        while True:  # noqa: WPS457 - ends with the last whole line
            end = self.remainder.find(_LINE_END, position)
            if end < 0:
                break
            line = self.remainder[position : end + 1]
            position = end + 1
            if line in _BLANK_LINES:
                events.append(_parse_event(self.remainder[start:position]))
                start = position
        self.remainder = self.remainder[start:]
        return events


def _parse_event(raw: bytes) -> StreamEvent:
    number = None
    for line in raw.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            number = int(text) if text.isdigit() else None
    return StreamEvent(raw=raw, number=number)
