"""What is under way on each backend server, and what was answered of late; plain classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.quarantine import SERVED_KEPT, SERVED_S

if TYPE_CHECKING:
    from ringseam.contents import ContentId
    from ringseam.lifetimes import BackendId
    from ringseam.verdicts import Suspect


@dataclass(kw_only=True)
class UnderWay:
    """Requests that a server may have begun, by the server's lifetime."""

    by_server: dict[BackendId, dict[str, Suspect]] = field(default_factory=dict)

    def sent(self, instance: BackendId, attempt: str, suspect: Suspect) -> None:
        """Hear that a request is sent."""
        self.by_server.setdefault(instance, {})[attempt] = suspect

    def over(self, instance: BackendId, attempt: str) -> None:
        """Hear that a request has ended there, however it did."""
        attempts = self.by_server.get(instance, {})
        attempts.pop(attempt, None)
        if not attempts:
            self.by_server.pop(instance, None)

    def on(self, instance: BackendId) -> set[Suspect]:
        """Return what is under way on a server."""
        return set(self.by_server.get(instance, {}).values())


@dataclass(kw_only=True)
class ServedLately:
    """Contents that servers have run and answered, by the version of their software."""

    served_at: dict[tuple[ContentId, str], float] = field(default_factory=dict)

    def note(self, content: ContentId, software: str, now: float) -> None:
        """Hear of an answer."""
        self.served_at.pop((content, software), None)
        self.served_at[content, software] = now
        if len(self.served_at) > SERVED_KEPT:
            self.served_at.pop(next(iter(self.served_at)))

    def has(self, content: ContentId, software: str, now: float) -> bool:
        """Return whether a content was answered a short while ago."""
        return now - self.served_at.get((content, software), float('-inf')) < SERVED_S
