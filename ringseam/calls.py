"""Decoded metadata of client requests, calls to backend servers, and their responses."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Three or four decimal figures; longer ones are out of any range of a server.
_LOAD_FIGURES = re.compile(r'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,4}))?', re.ASCII)
_HUNDREDTHS = 100
#: Decimal figures, separated by commas.
_COUNTS = re.compile(r' *\d{1,6} *(?:, *\d{1,6} *)*', re.ASCII)
#: Maximum number of pieces of a request in all stages: a header lists the handles of their
#: results, some 30 bytes each, to the last backend server.
MAX_PIECES = 1000


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt that an engine may have cached."""

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class ClientRequest:
    """The decoded headers of a client request."""

    attempt_id: str
    host: str
    path: str
    time_left_s: float | None
    key: str
    prompt_tokens: int = 0
    #: Tokens to be generated: the estimate of the client, otherwise the maximum.
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    #: Number of pieces of each stage, and the key that identifies the pieces of this request.
    pieces: tuple[int, ...] = ()
    #: Whether the client sent numbers of pieces that no request can have.
    has_invalid_pieces: bool = False
    piece_key: str = ''
    last_event: int | None = None
    #: The attempt of the same client that brought the first event of the stream that this
    #: request continues; empty: it continues none, or the client doesn't tell.
    resumes: str = ''
    #: Whether only servers of a version that the client names may run the request.
    expects_version: bool = False


@dataclass(frozen=True, kw_only=True)
class CallHeaders:
    """Headers that are added to the client's when a backend server is called."""

    instance: str
    time_left_s: float
    account: str = ''
    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """The load that a backend server reported."""

    running: int
    waiting: int
    slots: int
    #: How many times the usual time work takes on the host now; None: not reported.
    slowdown: float | None = None

    @classmethod
    def parse(cls, text: str) -> ServerLoad | None:
        """Return the load, or None if ``text`` is not exactly three or four valid figures."""
        match = _LOAD_FIGURES.fullmatch(text.replace(' ', ''))
        if match is None:
            return None
        return cls.from_figures([int(figure) for figure in match.groups() if figure is not None])

    @classmethod
    def from_figures(cls, figures: Sequence[int]) -> ServerLoad | None:
        """Return the load, or None if the number of figures or one of them is invalid."""
        if len(figures) not in {3, 4} or min(figures) < 0 or not min(figures[2:]):
            return None
        running, waiting, slots = figures[:3]
        slowdown = figures[3] / _HUNDREDTHS if len(figures) > 3 else None
        return cls(running=running, waiting=waiting, slots=slots, slowdown=slowdown)

    @property
    def figures(self) -> tuple[int, ...]:
        """Return the figures as a server reports them."""
        figures = (self.running, self.waiting, self.slots)
        if self.slowdown is None:
            return figures
        return (*figures, round(self.slowdown * _HUNDREDTHS))


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """The decoded metadata headers of a backend server's response."""

    attempt_id: str
    authentic: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    #: Name of the server that responds; empty: it doesn't tell.
    server: str = ''
    #: Whether the server reports a load that can't be parsed.
    load_malformed: bool = False
    #: Announced rate limit, requests per second from all gateways together; None: no limit.
    rate_limit_per_s: float | None = None
    #: Whether the server announces a rate limit that can't be parsed.
    rate_limit_malformed: bool = False
    #: How long the server wants no more requests from this gateway, seconds.
    pause_s: float | None = None
    #: Whether the server is leaving, so it accepts no new requests.
    leaving: bool = False


def parse_counts(text: str) -> tuple[int, ...] | None:
    """Return the number of pieces of each stage; None: malformed or more than allowed."""
    if not text:
        return ()
    if _COUNTS.fullmatch(text) is None:
        return None
    counts = tuple(map(int, text.split(',')))
    return counts if sum(counts) <= MAX_PIECES else None
