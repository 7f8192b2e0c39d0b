"""Pauses that backend servers have requested from this gateway, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId

#: A server receives requests again after this long, whatever pause it requested, seconds: it
#: cannot exclude itself permanently.
_MAX_PAUSE_S = 300.0


@dataclass(kw_only=True)
class PauseTracker:
    """Times until which servers accept no requests from this gateway."""

    until: dict[BackendId, float] = field(default_factory=dict)

    def record(self, instance: BackendId, pause_s: float, now: float) -> None:
        """Record a requested pause; a shorter pause does not end a longer one."""
        until = now + min(pause_s, _MAX_PAUSE_S)
        self.until[instance] = max(until, self.until.get(instance, until))

    def remaining_s(self, instance: BackendId, now: float) -> float:
        """Return how long the pause of a server still lasts, seconds; 0: no pause."""
        return max(0, self.until.get(instance, now) - now)

    def earliest_end_s(self, instances: Collection[BackendId], now: float) -> float:
        """Return in how many seconds the first of some servers accepts requests."""
        return min((self.remaining_s(instance, now) for instance in instances), default=0)

    def paused(self, now: float) -> set[BackendId]:
        """Return the servers whose pauses have not ended."""
        return {instance for instance, until in self.until.items() if until > now}

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.until = {name: until for name, until in self.until.items() if name in instances}
