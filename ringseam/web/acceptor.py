"""Accepts the connections of a listening socket, some at a time."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from typing import TYPE_CHECKING

from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Callable

    #: Returns the protocol of a new connection; None: it is closed at once.
    Admission = Callable[[socket.socket], 'asyncio.BaseProtocol | None']

logger = logging.getLogger(__name__)

#: Maximum number of connections waiting to be accepted.
_BACKLOG = 4096
#: Size of the receive buffer of a connection, bytes: what lies unread in the system counts for this
#: host. A client that is 20 ms away can still send 1.6 MB a second.
_RECEIVE_BUFFER_BYTES = 32_768
#: Time for accepting connections before other events are handled, seconds: the least, and the share
#: of the time since connections were last accepted. A full queue would keep all others out.
_ACCEPTING_S = 0.003
_ACCEPTING_SHARE = 0.1
#: Connections that are accepted at once at the most.
_ACCEPTED_AT_ONCE = 256
#: Pause after there was no descriptor or memory for a connection, seconds.
_EXHAUSTED_PAUSE_S = 0.2
_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
#: Bytes in which the head of a short request is looked for.
_PEEKED_BYTES = 4096
_BLANK_LINE = b'\r\n\r\n'


class Acceptor:
    """Accept connections, and decide on each before anything is made for it."""

    def __init__(self, *, admit: Admission) -> None:
        """Create an acceptor that doesn't listen yet."""
        self.admit = admit
        self.listener: socket.socket | None = None
        #: When connections were last accepted, on the clock of the event loop.
        self.accepted_at: float = 0
        self.tasks = TaskSet()

    def start(self, host: str, port: int) -> int:
        """Start to listen and return the bound port."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it. Without it the system lets the buffer grow to megabytes.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        try:
            listener.bind((host, port))
            listener.listen(_BACKLOG)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self._watch()
        return listener.getsockname()[1]

    def close(self) -> None:
        """Stop to listen."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _watch(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener, self._accept_some)

    def _accept_some(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        until = now + max(_ACCEPTING_S, _ACCEPTING_SHARE * min(1, now - self.accepted_at))
        for _ in range(_ACCEPTED_AT_ONCE):
            sock = self._accept()
            if sock is None:
                break
            if has_left(sock):
                sock.close()
            else:
                self._admit(sock)
            if loop.time() >= until:
                break
        self.accepted_at = loop.time()

    def _accept(self) -> socket.socket | None:
        """Return an accepted connection; None: there is none, or no room for one."""
        if self.listener is None:
            return None
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return None
        except OSError as error:
            self._handle_error(self.listener, error)
            return None
        sock.setblocking(False)
        return sock

    def _admit(self, sock: socket.socket) -> None:
        protocol = self.admit(sock)
        if protocol is None:
            sock.close()
        else:
            self.tasks.spawn(_connect(protocol, sock))

    def _handle_error(self, listener: socket.socket, error: OSError) -> None:
        """Go on after a connection that was aborted; pause if there is no room for one."""
        logger.warning('connection not accepted: %s', error)
        if error.errno in _EXHAUSTED:
            loop = asyncio.get_running_loop()
            loop.remove_reader(listener)
            loop.call_later(_EXHAUSTED_PAUSE_S, self._watch)


def has_request(sock: socket.socket) -> bool:
    """Return whether a short request has arrived on a new connection."""
    try:
        return _BLANK_LINE in sock.recv(_PEEKED_BYTES, socket.MSG_PEEK)
    except OSError:
        # Nothing has arrived yet, or the connection is closed.
        return False


def has_left(sock: socket.socket) -> bool:
    """Return whether the client closed a connection that waited to be accepted."""
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


async def _connect(protocol: asyncio.BaseProtocol, sock: socket.socket) -> None:
    try:
        await asyncio.get_running_loop().connect_accepted_socket(lambda: protocol, sock)
    except OSError as error:
        logger.warning('connection not made: %s', error)
        sock.close()
        protocol.connection_lost(error)
