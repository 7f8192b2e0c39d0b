"""Turns of connections on the event loop, by start-time fair queueing."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

Member = TypeVar('Member')


class LoopShares(Generic[Member]):
    """Decide which connection works next, and when others have their turn.

    A connection's work is counted in microseconds. Its work starts at its virtual time: the work it
    has had, but no less than the virtual time of the last turn, so that a connection that was idle
    can't save up turns. Who would finish first by then is served first, so that little work isn't
    kept waiting by much of others.
    """

    def __init__(self, *, turn_us: float) -> None:
        """Let connections work for ``turn_us`` before other events are handled."""
        self.turn_us = turn_us
        #: Work since other events were handled.
        self.used_us: float = 0
        self.virtual_us: float = 0
        #: Virtual time of the start of the present work.
        self.start_us: float = 0
        self.numbers = itertools.count()
        #: Virtual times of the end and the start of the work, by which it is served.
        self.waiting: list[tuple[float, int, float, Member]] = []

    def may_work_now(self) -> bool:
        """Return whether a connection may work at once: nobody waits and the turn has time left."""
        return not self.waiting and self.used_us < self.turn_us

    def begin(self, finished_us: float) -> None:
        """Begin with the work of a connection that did not have to wait.

        :param finished_us: virtual time at which its last work finished; initially 0.
        """
        self.virtual_us = max(finished_us, self.virtual_us)
        self.start_us = self.virtual_us

    def charge(self, work_us: float) -> float:
        """Count the work of the connection; return the virtual time at which it has finished."""
        self.used_us += work_us
        return self.start_us + work_us

    def wait(self, member: Member, finished_us: float, estimate_us: float) -> None:
        """Let a connection wait for its turn.

        :param estimate_us: work that it has now.
        """
        start_us = max(finished_us, self.virtual_us)
        entry = (start_us + estimate_us, next(self.numbers), start_us, member)
        heapq.heappush(self.waiting, entry)

    def next_member(self) -> Member | None:
        """Return the connection that works next; None: the turn is over or nobody waits."""
        if not self.waiting or self.used_us >= self.turn_us:
            return None
        _, _, self.start_us, member = heapq.heappop(self.waiting)
        self.virtual_us = max(self.virtual_us, self.start_us)
        return member

    def begin_turn(self) -> None:
        """Record that other events have been handled."""
        self.used_us = 0
