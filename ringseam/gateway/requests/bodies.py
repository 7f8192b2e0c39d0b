"""What a gateway does with the bodies of client requests, decided by their heads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.platform.requests import decode_request
from ringseam.web.bodypolicy import DISCARD_BODY, KEEP_BODY, BodyDecision, BodyPolicy

if TYPE_CHECKING:
    from ringseam.gateway.requests.forwarding import Forwarder
    from ringseam.web.exchange import Request


class RoutedBodies(BodyPolicy):
    """Keep the bodies of requests that match a route and have a valid key."""

    def __init__(self, *, forwarder: Forwarder) -> None:
        """Decide as ``forwarder`` will."""
        self.forwarder = forwarder

    def decide(self, request: Request) -> BodyDecision:
        """Discard the body of a request that is rejected anyway."""
        is_rejected = self.forwarder.is_rejected(decode_request(request))
        return DISCARD_BODY if is_rejected else KEEP_BODY

    def flow_of(self, request: Request) -> str:
        """Return the route and the client account; empty: neither is known."""
        return self.forwarder.flow_of(decode_request(request))
