"""Turns of connections on the event loop, by start-time fair queueing."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

Member = TypeVar('Member')

#: Number of flows from which finished ones are forgotten.
_MAX_FLOWS = 256


class LoopShares(Generic[Member]):
    """Decide which connection works next, and when others have their turn.

    A connection's work is counted in microseconds. Its work starts at its virtual time: the work it
    has had, but no less than the virtual time of the last turn, so that a connection that was idle
    can't save up turns. Who would finish first by then is served first, so that little work isn't
    kept waiting by much of others. Connections whose work belongs to a flow share the turns of the
    flow, however many they are.
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
        #: Virtual time at which the last work of each flow finishes.
        self.flows: dict[str, float] = {}

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
        finished_us = self.start_us + work_us
        if not self.waiting:
            # All that was to be done is done: nobody is ahead of the others any more.
            self.virtual_us = max(self.virtual_us, finished_us)
        return finished_us

    def wait(self, member: Member, finished_us: float, estimate_us: float) -> None:
        """Let a connection wait for its turn.

        :param estimate_us: work that it has now.
        """
        self._wait(member, max(finished_us, self.virtual_us), estimate_us)

    def wait_in_flow(self, member: Member, flow: str, estimate_us: float) -> None:
        """Let a connection wait behind all others of its flow.

        :param estimate_us: work that it has now.
        """
        start_us = max(self.flows.get(flow, 0), self.virtual_us)
        if len(self.flows) >= _MAX_FLOWS:
            self._forget_finished_flows()
        self.flows[flow] = start_us + estimate_us
        self._wait(member, start_us, estimate_us)

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

    def _wait(self, member: Member, start_us: float, estimate_us: float) -> None:
        entry = (start_us + estimate_us, next(self.numbers), start_us, member)
        heapq.heappush(self.waiting, entry)

    def _forget_finished_flows(self) -> None:
        """Keep only flows that are ahead of the virtual time, of which each has waiting work."""
        self.flows = {
            flow: finished_us
            for flow, finished_us in self.flows.items()
            if finished_us > self.virtual_us
        }
