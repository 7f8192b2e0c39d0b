"""The memory of request bodies at a threaded server."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Memory of a body while it is received, as a multiple of its size.
_PARTS_FACTOR = 2


class HeldBodies:
    """Bounds the request bodies that a server holds at the same time; thread-safe."""

    def __init__(self, *, bound_bytes: int) -> None:
        """Create an empty account; 0: unbounded."""
        self.bound_bytes = bound_bytes
        self.total = 0
        self.lock = threading.Lock()

    def add(self, change: int) -> bool:
        """Count that more bytes are held, unless they exceed the bound; less are always counted."""
        with self.lock:
            if change > 0 and self.bound_bytes and self.total + change > self.bound_bytes:
                return False
            self.total += change
            return True


class ReceivedBody:
    """The memory of the body of one request."""

    def __init__(self, *, held: HeldBodies) -> None:
        """Hold nothing yet."""
        self.held = held
        self.reserved = 0

    def reserve(self, size: int) -> bool:
        """Reserve memory for a body of so many bytes; return False if there is none."""
        # The parts of a body are held beside it while they are joined.
        more = _PARTS_FACTOR * size - self.reserved
        if more > 0:
            if not self.held.add(more):
                return False
            self.reserved += more
        return True

    def release(self) -> None:
        """Count the body no more."""
        self.held.add(-self.reserved)
        self.reserved = 0


class StreamedBody:
    """The chunks of a streamed reply; the request body is held until they end."""

    def __init__(self, *, chunks: Iterable[bytes], request_body: ReceivedBody) -> None:
        """Stream ``chunks``."""
        self.chunks = chunks
        self.request_body = request_body

    def __iter__(self) -> Iterator[bytes]:
        """Yield the chunks."""
        return iter(self.chunks)

    def close(self) -> None:
        """End the reply, as WSGI servers do when it is sent or the client has left."""
        self.request_body.release()
        close = getattr(self.chunks, 'close', None)
        if close is not None:
            close()
