"""What a server does with the body of a request, decided by its head."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.web.exchange import Request


@dataclass(frozen=True, kw_only=True)
class BodyDecision:
    """How much of a body is received; ``max_bytes`` 0: up to the limit of the server."""

    max_bytes: int = 0
    #: Whether the handler gets the body; if not, it is received and discarded.
    is_kept: bool = True


KEEP_BODY = BodyDecision()
DISCARD_BODY = BodyDecision(is_kept=False)


class BodyPolicy(abc.ABC):
    """Decides on bodies that have not arrived together with their heads."""

    @abc.abstractmethod
    def decide(self, request: Request) -> BodyDecision:
        """Decide by the head of a request; its body is empty here."""

    def flow_of(self, request: Request) -> str:
        """Return the flow of a request: while many wait, each flow has its share of the loop."""
        return ''


class KeepBodies(BodyPolicy):
    """Pass all bodies to the handler."""

    def decide(self, request: Request) -> BodyDecision:
        """Keep the body."""
        return KEEP_BODY


class DiscardBodies(BodyPolicy):
    """Pass no body to the handler: it answers by the path alone."""

    def decide(self, request: Request) -> BodyDecision:
        """Discard the body."""
        return DISCARD_BODY
