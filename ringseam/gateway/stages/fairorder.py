"""Order of pieces that gives each client account its share of what can be in time."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.stages.order import (
    NO_TIME,
    CallTimes,
    DispatchClass,
    DispatchOrder,
    by_job,
    in_piece_order,
    urgency,
)
from ringseam.gateway.stages.servicerate import ServiceRate

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.stages.jobs import Piece, PieceGroup

#: Share of the time until a job is due that jobs of accounts above their share may take up.
_LARGE_ACCOUNTS_SHARE = 1 / 3


class FairOrder(DispatchOrder):
    """Order by dispatch class, precedence and due time; what exceeds a share goes behind.

    A job that is due before the shortest call could end can't be in time. While all others
    of a class and precedence can be, this is the order of urgency. Otherwise the last job of
    the account that has most pieces goes behind, and so on, until the others can be in time:
    accounts get max-min fair shares of what the service does until then. Of these, a
    job of an account that exceeds its share goes before those of other accounts only while
    they keep a reserve for what they haven't queued yet. Jobs that can't be in time go last.
    Nothing is left out, so calls stay as full as without shares. An account that is
    alone is served by due time.

    Late jobs are removed from a schedule by due time as in Moore, "An n job, one machine
    sequencing algorithm for minimizing the number of late jobs", 1968. Shares follow from
    what is queued, more urgent work taken off first; there is no state by account.
    """

    def __init__(self) -> None:
        """Create an order that doesn't know yet how fast pieces are sent."""
        self.rate = ServiceRate()
        #: Queued jobs that have exceeded the share of their account; they stay behind.
        self.exceeding: set[PieceGroup] = set()
        #: Number of pieces that were last ordered, and the calls they were ordered for.
        self.queued = 0
        self.calls = NO_TIME

    def order(
        self, waiting: Collection[Piece], now: float, *, calls: CallTimes = NO_TIME
    ) -> list[Piece]:
        """Return the pieces, whole jobs one after another."""
        self.queued = len(waiting)
        self.calls = calls
        self.exceeding.intersection_update([piece.group for piece in waiting])
        keyed = [(urgency(pieces[0], now), pieces) for pieces in by_job(waiting)]
        keyed.sort(key=_key_of)
        ordered: list[list[Piece]] = []
        before = 0
        for (dispatch_class, _), group in itertools.groupby(keyed, key=_group_of):
            jobs = [pieces for _, pieces in group]
            if dispatch_class == DispatchClass.in_time and _compete(jobs):
                jobs = self._shared(jobs, before, now, calls)
            ordered.extend(jobs)
            before += sum(map(len, jobs))
        return in_piece_order(ordered)

    def sent(self, pieces: Collection[Piece], now: float) -> None:
        """Record how fast pieces are sent."""
        self.rate.sent(
            len(pieces),
            now,
            has_backlog=self.queued > len(pieces),
            full_call_s=self.calls.full_s or math.inf,
        )

    def _shared(
        self, jobs: list[list[Piece]], before: int, now: float, calls: CallTimes
    ) -> list[list[Piece]]:
        """Return jobs by due time, those that exceed shares last.

        :param before: the number of pieces that are sent before any of these.
        """
        soonest, full = now + calls.shortest_s, now + calls.full_s
        if self._has_time_for_all(jobs, before, soonest, full):
            return jobs
        schedule = Schedule(jobs=jobs, pieces=before)
        exceeding: list[list[Piece]] = []
        hopeless: list[list[Piece]] = []
        for number, pieces in enumerate(jobs):
            if pieces[0].job.due <= soonest:
                hopeless.append(pieces)
            elif pieces[0].group in self.exceeding:
                exceeding.append(pieces)
            else:
                schedule.add(number, self._room(pieces, full))
        exceeding.extend(jobs[index] for index in schedule.behind)
        exceeding.sort(key=_due_of)
        self.exceeding.update(map(_group_of_job, exceeding))
        large = set(map(_account_of, exceeding))
        kept = self._with_reserve(schedule.kept_jobs(), large, before, full)
        return [*kept, *exceeding, *hopeless]

    def _with_reserve(
        self, kept: list[list[Piece]], large: set[str], before: int, full: float
    ) -> list[list[Piece]]:
        """Return jobs by due time, those of large accounts only as far as others keep a reserve.

        Others need the reserve for jobs that they haven't queued yet.

        :param kept: jobs by due time that can all be in time.
        :param before: the number of pieces that are sent before any of these.
        """
        limits = self._limits([job for job in kept if _account_of(job) not in large], full)
        ordered: list[list[Piece]] = []
        deferred: list[list[Piece]] = []
        for job in kept:
            if _account_of(job) not in large:
                limits.pop()
            elif deferred or before + len(job) > limits[-1]:
                deferred.append(job)
                continue
            ordered.append(job)
            before += len(job)
        return ordered + deferred

    def _limits(self, jobs: list[list[Piece]], full: float) -> list[float]:
        """Return how many pieces may go before each job and those behind it, the last job first.

        The first limit is that behind all jobs.

        :param jobs: jobs by due time.
        """
        limits = [math.inf]
        for job in reversed(jobs):
            room = _LARGE_ACCOUNTS_SHARE * self._room(job, full)
            limits.append(min(limits[-1] - len(job), room))
        return limits

    def _room(self, pieces: list[Piece], full: float) -> float:
        """Return how many pieces may go before a job without making it late.

        :param full: when a full call that starts now would end.
        """
        return max(0, pieces[0].job.due - full) * self.rate.per_s

    def _has_time_for_all(
        self, jobs: list[list[Piece]], before: int, soonest: float, full: float
    ) -> bool:
        """Return whether all jobs that can still be in time are, in the order of urgency."""
        if math.isinf(self.rate.per_s):
            return True
        for pieces in jobs:
            if pieces[0].group in self.exceeding:
                return False
            if pieces[0].job.due > soonest and before > self._room(pieces, full):
                return False
            before += len(pieces)
        return True


@dataclass(kw_only=True)
class Schedule:
    """Jobs in the order of their due times, without those that go behind."""

    jobs: list[list[Piece]]
    #: Pieces up to the last job that was added, with those of more urgent jobs.
    pieces: int
    #: Numbers of the jobs that go behind the others.
    behind: set[int] = field(default_factory=set)
    #: Numbers of the jobs of each account, and how many pieces they have.
    kept: dict[str, list[int]] = field(default_factory=dict)
    sizes: collections.Counter[str] = field(default_factory=collections.Counter)
    #: Heap of negative sizes and accounts; entries whose size has changed are skipped.
    largest: list[tuple[int, str]] = field(default_factory=list)

    def add(self, number: int, room: float) -> None:
        """Add a job, if need be in place of jobs of larger accounts.

        :param room: how many pieces may be before the job.
        """
        account = _account_of(self.jobs[number])
        removed = self._remove(room, self.sizes[account] + len(self.jobs[number]))
        if self.pieces > room:
            for other in reversed(removed):
                self._keep(other)
            self.behind.add(number)
            return
        self.behind.update(removed)
        self._keep(number)

    def kept_jobs(self) -> list[list[Piece]]:
        """Return the jobs that can be in time, by due time."""
        return [self.jobs[number] for number in sorted(itertools.chain(*self.kept.values()))]

    def _remove(self, room: float, size: int) -> list[int]:
        """Remove jobs of accounts with more than ``size`` pieces, the largest account first.

        :param room: how many pieces may be left.
        """
        removed: list[int] = []
        while self.pieces > room:
            account = self._largest_account()
            if self.sizes[account] <= size:
                break
            number = self.kept[account].pop()
            self._resize(account, -len(self.jobs[number]))
            removed.append(number)
        return removed

    def _keep(self, number: int) -> None:
        account = _account_of(self.jobs[number])
        self.kept.setdefault(account, []).append(number)
        self._resize(account, len(self.jobs[number]))

    def _resize(self, account: str, change: int) -> None:
        self.pieces += change
        self.sizes[account] += change
        heapq.heappush(self.largest, (-self.sizes[account], account))

    def _largest_account(self) -> str:
        while self.largest and -self.largest[0][0] != self.sizes[self.largest[0][1]]:
            heapq.heappop(self.largest)
        return self.largest[0][1] if self.largest else ''


def _compete(jobs: list[list[Piece]]) -> bool:
    first = _account_of(jobs[0])
    return any(_account_of(pieces) != first for pieces in jobs)


def _account_of(pieces: list[Piece]) -> str:
    return pieces[0].job.suspect.account


def _group_of_job(pieces: list[Piece]) -> PieceGroup:
    return pieces[0].group


def _due_of(pieces: list[Piece]) -> tuple[float, str]:
    return (pieces[0].job.due, pieces[0].job.attempt_id)


def _key_of(keyed: tuple[tuple, list[Piece]]) -> tuple:
    return keyed[0]


def _group_of(keyed: tuple[tuple, list[Piece]]) -> tuple:
    return keyed[0][:2]
