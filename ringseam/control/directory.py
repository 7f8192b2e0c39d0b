"""The directory of agents: soft state in memory, served as deltas."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.messages import DeltaReply

if TYPE_CHECKING:
    from ringseam.messages import AgentState, ProcessState

_GONE_KEPT = 4096


@dataclass(kw_only=True)
class Row:
    """An agent's newest state, when it came and the change number it got."""

    state: AgentState
    heard: float
    change: int


@dataclass(kw_only=True)
class Directory:
    """Newest state by agent; one control host's own, never replicated."""

    epoch: str
    lost_s: float
    started: float = 0
    rows: dict[str, Row] = field(default_factory=dict)
    gone: list[tuple[int, str]] = field(default_factory=list)
    processes: dict[str, tuple[float, ProcessState]] = field(default_factory=dict)
    change: int = 0
    oldest_gone: int = 0

    def report(self, state: AgentState, now: float) -> bool:
        """Take in a report; True when the agent is new here.

        Reports may be late: the newest sequence of an incarnation wins, and a
        former incarnation is never believed again while the newer one lives.
        """
        known = self.rows.get(state.name)
        if known is not None and _is_older(state, known.state):
            return False
        self.change += 1
        self.rows[state.name] = Row(state=state, heard=now, change=self.change)
        return known is None or known.state.incarnation != state.incarnation

    def note_process(self, process: ProcessState, now: float) -> None:
        """Remember that a process without a server is alive."""
        self.processes[process.name] = (now, process)

    def expire(self, now: float) -> list[str]:
        """Drop agents that fell silent and return their names."""
        lost = [name for name, row in self.rows.items() if now - row.heard > self.lost_s]
        for name in lost:
            self.rows.pop(name)
            self.change += 1
            self.gone.append((self.change, name))
        if len(self.gone) > _GONE_KEPT:
            self.oldest_gone = self.gone[-_GONE_KEPT][0]
            self.gone = self.gone[-_GONE_KEPT:]
        for name, (heard, _) in list(self.processes.items()):
            if now - heard > self.lost_s:
                self.processes.pop(name)
        return lost

    def delta(self, epoch: str, since: int, now: float) -> DeltaReply:
        """Return the changes after ``since``, or the whole directory."""
        whole = epoch != self.epoch or since < self.oldest_gone
        first = 0 if whole else since
        return DeltaReply(
            epoch=self.epoch,
            upto=self.change,
            whole=whole,
            agents=tuple(row.state for row in self.rows.values() if row.change > first),
            warm=now - self.started > self.lost_s,
            entries=max(1, len(self.processes)),
            gone=() if whole else tuple(name for change, name in self.gone if change > first),
        )


def _is_older(state: AgentState, known: AgentState) -> bool:
    if state.incarnation == known.incarnation:
        return state.sequence <= known.sequence
    return state.started_ms < known.started_ms
