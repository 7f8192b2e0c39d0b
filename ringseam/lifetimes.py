"""Lifetimes of backend servers: the name of a server and the time of its start.

A restarted server keeps its name but loses its state and numbers its reports from the
beginning. So everything known about a server is stored by lifetime, never by name, and is
dropped when that lifetime ends.
"""

from __future__ import annotations

from typing import NewType

#: Identifies one lifetime of a backend server: its name and the Unix time of its start in
#: milliseconds, or the name alone if the server doesn't report its start.
BackendId = NewType('BackendId', str)

#: Separates name and start. Names that contain it are refused; no URL path contains it.
SEPARATOR = '#'


def backend_id(name: str, start_ms: int) -> BackendId:
    """Return the identifier of a lifetime.

    :param start_ms: Unix time in ms; 0 if the server doesn't report it.
    """
    return BackendId(f'{name}{SEPARATOR}{start_ms}' if start_ms else name)


def name_of(backend: str) -> str:
    """Return the name of a lifetime's server."""
    return backend.partition(SEPARATOR)[0]


def start_ms_of(backend: str) -> int:
    """Return the start of a lifetime, Unix time in ms; 0 if unknown."""
    return int(backend.partition(SEPARATOR)[2] or 0)


class EndedLifetimes:
    """The latest ended lifetime of each server, ordered by when the end was recorded."""

    def __init__(self, *, capacity: int) -> None:
        """Keep the ``capacity`` servers whose ends were recorded last."""
        self.capacity = capacity
        self.latest_start_ms: dict[str, int] = {}

    def add(self, backend: str) -> None:
        """Record the end of a lifetime."""
        name = name_of(backend)
        latest = max(start_ms_of(backend), self.latest_start_ms.pop(name, 0))
        self.latest_start_ms[name] = latest
        if len(self.latest_start_ms) > self.capacity:
            self.latest_start_ms.pop(next(iter(self.latest_start_ms)))

    def __contains__(self, backend: str) -> bool:
        """Return whether this lifetime or a later one of the same server has ended.

        After a server's clock was set back, a new lifetime looks like an earlier one. It
        is then treated as ended, as it can't be told from a late message.
        """
        latest = self.latest_start_ms.get(name_of(backend))
        return latest is not None and start_ms_of(backend) <= latest
