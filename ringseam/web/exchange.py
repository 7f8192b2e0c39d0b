"""A request of a client and its single response."""

from __future__ import annotations

import functools
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.web.bodies import Headers
    from ringseam.web.client import HttpChannel
    from ringseam.web.connection import HttpConnection


@dataclass(kw_only=True)
class Request:
    """A complete request; ``target`` is the path with the query string."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    #: Whether the body was received completely; if not, the request can only be refused.
    is_complete: bool = True

    @property
    def path(self) -> str:
        """Return the target without the query string."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return self._index.get(name.lower(), ('',))[0]

    def all_headers(self, name: str) -> list[str]:
        """Return the values of all headers of a name, in order."""
        return list(self._index.get(name.lower(), ()))

    @functools.cached_property
    def _index(self) -> dict[str, list[str]]:
        """Return the values of headers by their names in lower case."""
        index: dict[str, list[str]] = {}
        for name, text in self.headers:
            index.setdefault(name.lower(), []).append(text)
        return index


class Exchange:
    """A request and its single response."""

    def __init__(self, *, request: Request, connection: HttpConnection) -> None:
        """Create an exchange that responds to ``request`` on ``connection``."""
        self.request = request
        self.connection = connection
        self.started = False
        self.finished = False
        #: Status of the response; 0 until it has started.
        self.status = 0
        #: Size of the body of a response that was sent as a whole.
        self.body_bytes = 0
        #: Names of the request and its route, its rank, 0 is the highest, and when its client stops
        #: waiting.
        self.name = ''
        self.route = ''
        self.rank = 0
        self.deadline = math.inf
        #: The connection to the server whose response is forwarded.
        self.source: HttpChannel | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for a client that reads slowly."""
        spooled = 0 if self.source is None else self.source.spooled_bytes
        return spooled + self.connection.unread_bytes

    @property
    def is_client_connected(self) -> bool:
        """Return whether a response can still reach the client."""
        return not self.connection.is_closing

    async def respond(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send a complete response."""
        self.finished = True
        self.body_bytes = len(body)
        self.connection.send_response(status, headers, body)
        self._record_start(status)
        await self.connection.writable.wait()

    def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; the body is chunked if they contain no Content-Length."""
        self.connection.send_head(status, headers)
        self._record_start(status)

    async def send(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the write buffer is full."""
        self.connection.send_data(chunk)
        await self.connection.writable.wait()

    async def finish(self) -> None:
        """Complete the response."""
        self.finished = True
        self.connection.send_end()
        await self.connection.writable.wait()

    def abort(self) -> None:
        """Abort the connection, so that the client can not take the response as complete."""
        self.finished = True
        self.connection.abort()

    def _record_start(self, status: int) -> None:
        self.started = True
        self.status = status


#: Responds to one exchange.
Handler = Callable[[Exchange], Awaitable[None]]
