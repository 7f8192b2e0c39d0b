"""Requests in flight on each backend server, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.lifetimes import BackendId
    from ringseam.quarantinemessages import Suspect


@dataclass(frozen=True, kw_only=True)
class InFlightRequest:
    """A request that a server may have started, and when it was sent."""

    suspect: Suspect
    sent_at: float


@dataclass(kw_only=True)
class InFlightRequests:
    """Requests that a server may have started, by server instance."""

    by_server: dict[BackendId, dict[str, InFlightRequest]] = field(default_factory=dict)

    def add(self, instance: BackendId, attempt_id: str, suspect: Suspect, now: float) -> None:
        """Record a request that is sent to a server."""
        self.by_server.setdefault(instance, {})[attempt_id] = InFlightRequest(
            suspect=suspect, sent_at=now
        )

    def remove(self, instance: BackendId, attempt_id: str) -> None:
        """Remove a request that has finished on a server, with any outcome."""
        attempts = self.by_server.get(instance, {})
        attempts.pop(attempt_id, None)
        if not attempts:
            self.by_server.pop(instance, None)

    def of(self, instance: BackendId) -> set[InFlightRequest]:
        """Return the requests in flight on a server."""
        return set(self.by_server.get(instance, {}).values())

    def pop_all(self, instance: BackendId) -> set[InFlightRequest]:
        """Remove and return what was in flight on a server that has crashed.

        A connection whose reset was lost breaks seconds later; as nothing is left by then, it
        does not count as a second crash.
        """
        return set(self.by_server.pop(instance, {}).values())
