"""What is under way on each backend server; a plain class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.lifetimes import BackendId
    from ringseam.quarantinemessages import Suspect


@dataclass(kw_only=True)
class InFlightRequests:
    """Requests that a server may have begun, by the server's lifetime."""

    by_server: dict[BackendId, dict[str, Suspect]] = field(default_factory=dict)

    def add(self, instance: BackendId, attempt_id: str, suspect: Suspect) -> None:
        """Hear that a request is add."""
        self.by_server.setdefault(instance, {})[attempt_id] = suspect

    def remove(self, instance: BackendId, attempt_id: str) -> None:
        """Hear that a request has ended there, however it did."""
        attempts = self.by_server.get(instance, {})
        attempts.pop(attempt_id, None)
        if not attempts:
            self.by_server.pop(instance, None)

    def of(self, instance: BackendId) -> set[Suspect]:
        """Return what is under way on a server."""
        return set(self.by_server.get(instance, {}).values())

    def pop_all(self, instance: BackendId) -> set[Suspect]:
        """Return what was under way on a server that has ended, once.

        A connection whose end is lost breaks seconds later; it is no second end.
        """
        return set(self.by_server.pop(instance, {}).values())
