"""Queues at an agent: what runs next on its backend server."""

from __future__ import annotations

import abc
import heapq
import itertools
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.agent.execution import Execution
    from ringseam.messages import Dispatch


@dataclass(frozen=True, kw_only=True)
class Job:
    """One admitted dispatch that waits for its turn."""

    execution: Execution
    dispatch: Dispatch
    deadline: float
    offered: float
    cost_ms: float
    weight: int = 1
    on_text: Callable[[str], None] | None = None


#: A job behind its deadline and its order of arrival.
Waiting = tuple[float, int, Job]


class StageQueue(abc.ABC):
    """Order of waiting jobs; subclasses register under their ``name``."""

    kinds: dict[str, type[StageQueue]] = {}  # noqa: RUF012, WPS407 - the registry
    name = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.name] = cls

    def __init__(self) -> None:
        """Begin empty."""
        self.work_ms: float = 0
        self.count = 0

    def push(self, job: Job) -> None:
        """Add a job."""
        self.work_ms += job.cost_ms
        self.count += 1
        self.insert(job)

    def pop(self) -> Job | None:
        """Take the next job, or None when nothing waits."""
        job = self.take()
        if job is not None:
            self.work_ms -= job.cost_ms
            self.count -= 1
        return job

    @abc.abstractmethod
    def work_before_ms(self, priority: int) -> float:
        """Return the work that a new job of ``priority`` would wait for."""

    @abc.abstractmethod
    def insert(self, job: Job) -> None:
        """Put ``job`` in its place."""

    @abc.abstractmethod
    def take(self) -> Job | None:
        """Remove and return the next job."""


class FifoQueue(StageQueue):
    """First in, first out: the naive order that others are measured against."""

    name = 'fifo'

    def __init__(self) -> None:
        """Begin empty."""
        super().__init__()
        self.jobs: deque[Job] = deque()

    def work_before_ms(self, priority: int) -> float:
        """Return all waiting work."""
        return self.work_ms

    def insert(self, job: Job) -> None:
        """Append ``job``."""
        self.jobs.append(job)

    def take(self) -> Job | None:
        """Remove the oldest job."""
        return self.jobs.popleft() if self.jobs else None


class FairClass:
    """Jobs of one priority: weighted fair among accounts, each by deadline.

    Source: start-time fair queueing, Goyal, Vin and Cheng, 1996.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.accounts: dict[str, list[Waiting]] = {}
        self.finish: dict[str, float] = {}
        self.virtual: float = 0
        self.work_ms: float = 0
        self.order = itertools.count()

    def insert(self, job: Job) -> None:
        """Add a job under its account."""
        account = job.dispatch.account
        if account not in self.accounts:
            self.accounts[account] = []
            self.finish[account] = max(self.virtual, self.finish.get(account, 0))
        heapq.heappush(self.accounts[account], (job.deadline, next(self.order), job))
        self.work_ms += job.cost_ms

    def take(self) -> Job | None:
        """Take from the account that has had least of its share."""
        if not self.accounts:
            return None
        account = min(self.accounts, key=self._share)
        job = heapq.heappop(self.accounts[account])[-1]
        self.virtual = self.finish[account]
        self.finish[account] = self.virtual + job.cost_ms / job.weight
        if not self.accounts[account]:
            self.accounts.pop(account)
        self.work_ms -= job.cost_ms
        if not self.accounts:
            self.finish.clear()
            self.virtual = 0
        return job

    def _share(self, account: str) -> tuple[float, str]:
        return self.finish[account], account


class FairQueue(StageQueue):
    """Strict priority classes, each weighted fair among client accounts."""

    name = 'fair'

    def __init__(self) -> None:
        """Begin empty."""
        super().__init__()
        self.classes: dict[int, FairClass] = {}

    def work_before_ms(self, priority: int) -> float:
        """Return the waiting work of the same and of higher classes."""
        return sum(known.work_ms for level, known in self.classes.items() if level <= priority)

    def insert(self, job: Job) -> None:
        """Add ``job`` to its class."""
        priority = job.dispatch.priority
        if priority not in self.classes:
            self.classes[priority] = FairClass()
        self.classes[priority].insert(job)

    def take(self) -> Job | None:
        """Take from the highest class that has work."""
        for priority in sorted(self.classes):
            job = self.classes[priority].take()
            if job is not None:
                return job
        return None
