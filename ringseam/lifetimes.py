"""Lifetimes of backend servers: a name, and the moment of a start under it.

A server may start again under the name that it had. It then holds and knows nothing
of before, and counts its reports anew. So all that is believed of a server is kept by
its lifetime, never by its name; what belongs to an earlier one ends with it.
"""

from __future__ import annotations

from typing import NewType

#: One start of one backend server. Its name alone where the server doesn't say when it
#: started, else the name and the Unix millisecond of the start.
BackendId = NewType('BackendId', str)

#: Stands between both; a name that has it is refused, as no path of a URL does.
SEPARATOR = '#'


def backend_id(name: str, start_ms: int) -> BackendId:
    """Return the lifetime of a start.

    :param start_ms: Unix time in ms; 0 stands for a server that doesn't tell it.
    """
    return BackendId(f'{name}{SEPARATOR}{start_ms}' if start_ms else name)


def name_of(backend: str) -> str:
    """Return the name under which a lifetime's server is called."""
    return backend.partition(SEPARATOR)[0]


def start_ms_of(backend: str) -> int:
    """Return when a lifetime began, Unix time in ms; 0: unknown."""
    return int(backend.partition(SEPARATOR)[2] or 0)


class EndedLifetimes:
    """The latest lifetime that has ended under each name; oldest ends first."""

    def __init__(self, *, kept: int) -> None:
        """Remember the ends of ``kept`` names."""
        self.kept = kept
        self.start_ms: dict[str, int] = {}

    def add(self, backend: str) -> None:
        """Hear that a lifetime has ended."""
        name = name_of(backend)
        latest = max(start_ms_of(backend), self.start_ms.pop(name, 0))
        self.start_ms[name] = latest
        if len(self.start_ms) > self.kept:
            self.start_ms.pop(next(iter(self.start_ms)))

    def __contains__(self, backend: str) -> bool:
        """Return whether a lifetime has ended, it or a later one under its name.

        A clock that was set back makes a new start look like an earlier one; it is
        taken for a late message then, as the two can't be told apart.
        """
        latest = self.start_ms.get(name_of(backend))
        return latest is not None and start_ms_of(backend) <= latest
