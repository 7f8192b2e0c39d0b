"""Which agent gets a stage: views of agents and routing policies."""

from __future__ import annotations

import abc
import random
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.messages import AgentState, DeltaReply


#: For this long, what a reply told is newer than a report that comes after it.
_TOLD_S = 0.5


@dataclass(kw_only=True)
class AgentView:
    """Agents as one entry knows them, merged from several directories.

    An agent is gone only when every directory that was heard says so, and a
    directory that has just started says nothing yet. The last view stays when
    no directory answers.
    """

    agents: dict[str, AgentState] = field(default_factory=dict)
    listed: dict[str, set[str]] = field(default_factory=dict)
    warm: set[str] = field(default_factory=set)

    def merge(self, source: str, delta: DeltaReply, now: float) -> None:
        """Take in a delta of the directory at ``source``."""
        names = self.listed.setdefault(source, set())
        if delta.whole:
            names.clear()
        if delta.warm:
            self.warm.add(source)
        else:
            self.warm.discard(source)
        for state in delta.agents:
            names.add(state.name)
            self.take(state, now)
        names.difference_update(delta.gone)
        self._keep_listed()

    def drop(self, source: str) -> None:
        """Forget a directory that is no longer followed; others are."""
        self.warm.discard(source)
        if self.listed.pop(source, None) is not None:
            self._keep_listed()

    def take(self, state: AgentState, now: float) -> None:
        """Take in one state unless a newer one is known."""
        known = self.agents.get(state.name)
        if known is not None and known.incarnation == state.incarnation:
            if known.sequence >= state.sequence:
                return
        elif known is not None and known.started_ms > state.started_ms:
            return
        self.agents[state.name] = state

    def of_pool(self, pool: str, model: str = '') -> list[AgentState]:
        """Return the agents that may get work of ``pool``."""
        return [
            state
            for state in self.agents.values()
            if state.pool == pool
            and state.serving
            and not state.draining
            and (not model or model in state.models)
        ]

    def _keep_listed(self) -> None:
        if not self.warm:
            return
        held = set().union(*self.listed.values())
        for name in set(self.agents) - held:
            self.agents.pop(name)


@dataclass(kw_only=True)
class AgentRecord:
    """What this entry saw of one agent incarnation by itself."""

    in_flight: int = 0
    #: Work of other entries there, as of the report with ``sequence`` or of
    #: the reply that came at ``told``.
    others: int = 0
    sequence: int = -1
    told: float = float('-inf')
    failures: int = 0
    ejected_until: float = 0


@dataclass(frozen=True, kw_only=True)
class Routable:
    """What a stage needs of an agent."""

    pool: str
    zone: str
    est_ms: float
    avoid: frozenset[str] = frozenset()


class Router(abc.ABC):
    """Choose among agents; subclasses register under their ``name``."""

    kinds: dict[str, type[Router]] = {}  # noqa: RUF012, WPS407 - the registry
    name = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.name] = cls

    def __init__(self, *, seed: int) -> None:
        """Begin without any experience."""
        self.random = random.Random(seed)  # noqa: S311 - spreads load only
        self.records: dict[str, AgentRecord] = defaultdict(AgentRecord)

    @abc.abstractmethod
    def choose(
        self,
        agents: list[AgentState],
        wanted: Routable,
        now: float,
    ) -> AgentState | None:
        """Return the agent for a stage, or None when there is none."""

    def started(self, agent: AgentState) -> None:
        """Hear that work was sent to ``agent``."""
        self.records[agent.incarnation].in_flight += 1

    def told(self, agent: AgentState, busy: int, now: float) -> None:
        """Hear with a reply how much work is at ``agent``, this one over."""
        record = self.records[agent.incarnation]
        record.others = max(0, busy - record.in_flight + 1)
        record.told = now

    def ended(self, agent: AgentState, *, failed: bool, now: float) -> None:
        """Hear that work came back."""
        record = self.records[agent.incarnation]
        record.in_flight -= 1
        record.failures = record.failures + 1 if failed else 0

    def forget(self, incarnations: set[str]) -> None:
        """Keep only the records of living incarnations and of work out."""
        for incarnation in set(self.records) - incarnations:
            if not self.records[incarnation].in_flight:
                self.records.pop(incarnation)


class RoundRobinRouter(Router):
    """Each agent in turn: the naive policy that others are measured against."""

    name = 'round-robin'

    def __init__(self, *, seed: int) -> None:
        """Begin with the first agent."""
        super().__init__(seed=seed)
        self.turns: dict[str, int] = defaultdict(int)

    def choose(
        self,
        agents: list[AgentState],
        wanted: Routable,
        now: float,
    ) -> AgentState | None:
        """Return the next agent in the order of names."""
        ordered = sorted(agents, key=_name_of)
        fresh = [agent for agent in ordered if agent.incarnation not in wanted.avoid]
        ordered = fresh or ordered
        if not ordered:
            return None
        self.turns[wanted.pool] += 1
        return ordered[self.turns[wanted.pool] % len(ordered)]


class AdaptiveRouter(Router):
    """Own zone first, two random choices by expected wait, outliers ejected.

    Sources: Mitzenmacher, "The Power of Two Choices", 2001; the ejection keeps
    at least half of a pool in use.
    """

    name = 'adaptive'
    #: A remote zone must promise to be this much faster.
    zone_penalty_ms = 5.0
    eject_failures = 3
    eject_s = 2.0

    def choose(
        self,
        agents: list[AgentState],
        wanted: Routable,
        now: float,
    ) -> AgentState | None:
        """Return the better of two candidates."""
        usable = self._usable(agents, wanted, now)
        if not usable:
            return None
        near = [agent for agent in usable if agent.zone == wanted.zone]
        first = self._better(near or usable, wanted, now)
        if not near or len(near) == len(usable):
            return first
        others = [agent for agent in usable if agent.zone != wanted.zone]
        far = self._better(others, wanted, now)
        penalised_ms = self._cost(far, wanted, now) + self.zone_penalty_ms
        if penalised_ms < self._cost(first, wanted, now):
            return far
        return first

    def ended(self, agent: AgentState, *, failed: bool, now: float) -> None:
        """Count failures; eject after several on end.

        An agent that fails fast would otherwise look like a fast one.
        """
        super().ended(agent, failed=failed, now=now)
        record = self.records[agent.incarnation]
        if record.failures >= self.eject_failures:
            steps = min(record.failures - self.eject_failures, 4)
            record.ejected_until = now + self.eject_s * 2**steps

    def _usable(
        self,
        agents: list[AgentState],
        wanted: Routable,
        now: float,
    ) -> list[AgentState]:
        fresh = [agent for agent in agents if agent.incarnation not in wanted.avoid] or agents
        kept = [agent for agent in fresh if self.records[agent.incarnation].ejected_until <= now]
        # Ejecting more than half of a pool would only move the overload.
        return kept if 2 * len(kept) >= len(fresh) else fresh

    def _better(
        self,
        agents: list[AgentState],
        wanted: Routable,
        now: float,
    ) -> AgentState:
        if len(agents) == 1:
            return agents[0]
        one, other = self.random.sample(agents, 2)
        if self._cost(one, wanted, now) <= self._cost(other, wanted, now):
            return one
        return other

    def _busy(self, agent: AgentState, now: float) -> int:
        """Return the work at ``agent``: our own as it is, the others' as told.

        Our own work in a report is as old as the report. Counting it again
        would send everybody to whoever was idle half a second ago.
        """
        record = self.records[agent.incarnation]
        if record.sequence != agent.sequence:
            record.sequence = agent.sequence
            if now - record.told < _TOLD_S:
                return record.in_flight + record.others
            record.others = max(0, agent.in_flight + agent.queued - record.in_flight)
        return record.in_flight + record.others

    def _cost(self, agent: AgentState, wanted: Routable, now: float) -> float:
        """Return the expected milliseconds until an answer from ``agent``."""
        busy = self._busy(agent, now)
        service = max(agent.service_ms, wanted.est_ms)
        waiting = max(0, busy - agent.capacity + 1)
        spread = busy / agent.capacity
        return service * (1 + waiting / agent.capacity + spread)


def _name_of(agent: AgentState) -> str:
    return agent.name
