"""Retry loop of one unit of work, shared by entries and gateways.

An entry reaches a backend server through the agent on the server's host, a gateway calls
it directly. Both send to one server after another. This module decides for both whether
another try may follow and whether it is charged to the retry budget.
"""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ServerT = TypeVar('ServerT')

#: Tries that reached no server don't count as sends. After this many of them for one unit
#: of work the loop ends, because its view of the servers must be out of date.
_UNSENT_TRIES = 4


class TryResult(enum.Enum):
    """Result of one try."""

    #: An answer was passed on, or no further try is allowed.
    final = 'final'
    #: The work reached no server.
    unsent = 'unsent'
    #: A server replied that it did not run the work.
    refused = 'refused'
    #: The work may have run, and there is no answer.
    lost = 'lost'


class NextTry(enum.Enum):
    """Whether another try may follow, and whether it is charged to the budget."""

    none = 'none'
    #: Not charged: no server has received the work yet.
    free = 'free'
    #: Charged to the retry budget: it adds load to a server.
    charged = 'drawn'


@dataclass(kw_only=True)
class TryRecord:
    """The tries of one unit of work so far."""

    #: Whether the work may run more than once.
    repeatable: bool
    #: Maximum number of servers that may receive the work.
    max_servers: int
    #: Incarnations of the servers that were tried.
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    unsent: int = 0
    #: Sends without an answer whose work may have run.
    lost: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether another try may follow if the current one is lost."""
        return self.repeatable and self.sends + 1 < self.max_servers

    def add(self, result: TryResult) -> NextTry:
        """Add a try and return whether another one may follow."""
        if result is TryResult.final:
            return NextTry.none
        if result is TryResult.unsent:
            self.unsent += 1
            return NextTry.free if self.unsent < _UNSENT_TRIES else NextTry.none
        self.sends += 1
        if result is TryResult.lost:
            self.lost += 1
            if not self.repeatable:
                return NextTry.none
        return NextTry.charged if self.sends < self.max_servers else NextTry.none


class TryLoop(abc.ABC, Generic[ServerT]):
    """Send a unit of work to one server after another until it is done."""

    def __init__(self, *, record: TryRecord) -> None:
        """Continue from ``record``."""
        self.record = record

    async def run(self) -> None:
        """Run tries until one is final, no server is left or no retry is allowed."""
        may_continue = True
        while may_continue:
            server = await self.choose()
            if server is None:
                return
            self.record.tried.add(self.incarnation_of(server))
            next_try = self.record.add(await self.send(server))
            may_continue = next_try is NextTry.free or (
                next_try is NextTry.charged and self.take_retry()
            )

    @abc.abstractmethod
    async def choose(self) -> ServerT | None:
        """Return the server for the next try; None if no server or no time is left."""

    @abc.abstractmethod
    def incarnation_of(self, server: ServerT) -> str:
        """Return the incarnation of a server, which is unique to each of its starts."""

    @abc.abstractmethod
    async def send(self, server: ServerT) -> TryResult:
        """Send the work to a server and return the result."""

    @abc.abstractmethod
    def take_retry(self) -> bool:
        """Take a retry from the budget; return False if it is exhausted."""
