"""The tries of one piece of work, whichever way its servers are reached.

An entry reaches a backend server through the agent beside it, a gateway calls it
directly. Both send to one server after another; what may follow a try, and what
it takes from the budget of retries, is decided here for both.
"""

from __future__ import annotations

import abc
import enum
from dataclasses import dataclass, field
from typing import Generic, TypeVar

ServerT = TypeVar('ServerT')

#: Tries that reached no server don't count; this many in a row of one piece of
#: work end it, as its view of the servers is worth nothing then.
_UNSENT_TRIES = 4


class TryResult(enum.Enum):
    """How one try ended."""

    #: An answer was passed on, or nothing more may be sent.
    final = 'final'
    #: No server has it, and none has spent time on it.
    unsent = 'unsent'
    #: A server has said that it did not run it.
    refused = 'refused'
    #: It may have run, and there is no answer.
    lost = 'lost'


class NextTry(enum.Enum):
    """What may follow a try."""

    none = 'none'
    #: It adds no load to what was planned.
    free = 'free'
    #: It is one more arrival and draws on the budget.
    drawn = 'drawn'


@dataclass(kw_only=True)
class TryRecord:
    """The tries of one piece of work so far, and what they allow."""

    #: Whether it may run more than once.
    repeatable: bool
    #: How many servers may get it.
    max_servers: int
    #: The servers that were tried, by incarnation.
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    unsent: int = 0
    #: Sends that may have run.
    lost: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether another try may follow the one under way if it is lost."""
        return self.repeatable and self.sends + 1 < self.max_servers

    def count(self, end: TryResult) -> NextTry:
        """Count a try and return what may follow it."""
        if end is TryResult.final:
            return NextTry.none
        if end is TryResult.unsent:
            self.unsent += 1
            return NextTry.free if self.unsent < _UNSENT_TRIES else NextTry.none
        self.sends += 1
        if end is TryResult.lost:
            self.lost += 1
            if not self.repeatable:
                return NextTry.none
        return NextTry.drawn if self.sends < self.max_servers else NextTry.none


class TryLoop(abc.ABC, Generic[ServerT]):
    """Send one piece of work to one server after another until it is over."""

    def __init__(self, *, record: TryRecord) -> None:
        """Go on from ``record``."""
        self.record = record

    async def run(self) -> None:
        """Try until a try is final, nobody is left, or no more may follow."""
        goes_on = True
        while goes_on:
            server = await self.choose()
            if server is None:
                return
            self.record.tried.add(self.incarnation_of(server))
            following = self.record.count(await self.send(server))
            goes_on = following is NextTry.free or (
                following is NextTry.drawn and self.take_retry()
            )

    @abc.abstractmethod
    async def choose(self) -> ServerT | None:
        """Return the server of the next try; None when there is none, or no time."""

    @abc.abstractmethod
    def incarnation_of(self, server: ServerT) -> str:
        """Return what tells this start of a server from others."""

    @abc.abstractmethod
    async def send(self, server: ServerT) -> TryResult:
        """Try once."""

    @abc.abstractmethod
    def take_retry(self) -> bool:
        """Take a retry from the budget; False when it is used up."""
