"""Until when backend servers are cold; a plain class.

A server that has just started ends under a rate of requests that it bears later. Its
reports tell until when it is cold. What they can't tell in time is assumed: a server
that could not be reached may have started again, and so may those of a zone that was
drained.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.routes import ColdSpec


@dataclass(kw_only=True)
class ColdServers:
    """Until when backend servers have said that they are cold."""

    until: dict[BackendId, float] = field(default_factory=dict)
    #: Since when servers are heard; one that became cold before may not say so again.
    observed_since: float = float('-inf')

    def mark_cold(self, instance: BackendId, until: float) -> None:
        """Take a server for cold at least until then."""
        if until > self.until.get(instance, float('-inf')):
            self.until[instance] = until

    def cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        """Return until when a server is cold, or may be."""
        return max(self.until.get(instance, float('-inf')), self.observed_since + spec.length_s)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.until = {name: until for name, until in self.until.items() if name in instances}
