"""The identity of one process and what its messages carry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.clock import Clock, HybridClock, RuntimeClock
from ringseam.drill import Drill
from ringseam.events import EventLog
from ringseam.ids import fresh_id

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(kw_only=True)
class Node:
    """Who this process is; ``on_newer`` hears of newer revisions elsewhere."""

    name: str
    role: str
    address: str
    secret: bytes
    zone: str = ''
    region: str = ''
    clock: Clock = field(default_factory=RuntimeClock)
    incarnation: str = field(default_factory=fresh_id)
    revision: int = 0
    group: str = ''
    #: Whether the first group that shows itself is taken for good.
    adopts_group: bool = True
    drill: Drill = field(default_factory=Drill)
    hybrid: HybridClock = field(init=False)
    events: EventLog = field(init=False)
    on_newer: Callable[[int, str], None] | None = None

    def __post_init__(self) -> None:
        """Make the causal clock and the event log of this process."""
        self.hybrid = HybridClock(clock=self.clock)
        self.events = EventLog(
            process=self.name,
            incarnation=self.incarnation,
            hybrid=self.hybrid,
        )
