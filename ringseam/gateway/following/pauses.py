"""Pauses that backend servers have asked this gateway for; a plain class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId

#: A server is tried again after this long, whatever it asked for, seconds: it can't shut
#: itself out for good.
_MAX_PAUSE_S = 300.0


@dataclass(kw_only=True)
class PauseTracker:
    """Until when servers want nothing from this gateway."""

    until: dict[BackendId, float] = field(default_factory=dict)

    def record(self, instance: BackendId, pause_s: float, now: float) -> None:
        """Take in a pause; a shorter one doesn't end a longer one."""
        until = now + min(pause_s, _MAX_PAUSE_S)
        self.until[instance] = max(until, self.until.get(instance, until))

    def remaining_s(self, instance: BackendId, now: float) -> float:
        """Return how long a server's pause still lasts, seconds; 0: it takes requests."""
        return max(0, self.until.get(instance, now) - now)

    def earliest_end_s(self, instances: Collection[BackendId], now: float) -> float:
        """Return when the first of some servers takes requests, seconds from now."""
        return min((self.remaining_s(instance, now) for instance in instances), default=0)

    def paused(self, now: float) -> set[BackendId]:
        """Return the servers whose pauses still last."""
        return {instance for instance, until in self.until.items() if until > now}

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.until = {name: until for name, until in self.until.items() if name in instances}
