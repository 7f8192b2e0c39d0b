"""Times until which backend servers are cold, without any I/O.

A server that has just started fails under a request rate that it sustains once it is warm. Its
reports state until when it is cold. Some cases would be reported too late and are assumed
instead: an unreachable server may have restarted, and so may the servers of a drained zone.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.routes import ColdSpec


@dataclass(kw_only=True)
class ColdServers:
    """Times until which backend servers are known to be cold."""

    until: dict[BackendId, float] = field(default_factory=dict)
    #: When this gateway began to receive reports. A server that turned cold earlier may not
    #: report it again.
    observed_since: float = float('-inf')

    def mark_cold(self, instance: BackendId, until: float) -> None:
        """Treat a server as cold until at least ``until``."""
        if until > self.until.get(instance, float('-inf')):
            self.until[instance] = until

    def cold_until(self, instance: BackendId, spec: ColdSpec) -> float:
        """Return until when a server is cold or may be cold."""
        return max(self.until.get(instance, float('-inf')), self.observed_since + spec.duration_s)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.until = {name: until for name, until in self.until.items() if name in instances}
