"""Messages by which gateways share what servers say of their limits."""

from __future__ import annotations

from typing import Optional

from ringseam.backends import BackendId
from ringseam.messages import Message
from ringseam.routes import ServiceName
from ringseam.rpc import Method


class LimitReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a server said last of its limit, and how long ago."""

    instance: BackendId
    #: Requests a second; None: no limit any more.
    per_s: Optional[float] = None
    age_ms: int = 0


class PermitRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A gateway asks for a turn at a server with a limit."""

    service: ServiceName
    limit: LimitReport
    gateway: str
    #: How long the request may wait, milliseconds.
    longest_ms: int
    #: How many requests the gateway had sent in the last moments before it was told.
    unheard: int = 0


class PermitReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """When the turn is, or what is known better."""

    granted: bool = False
    #: How long until the turn, or until there may be one, seconds.
    wait_s: float = 0
    #: What the owner knows of the limit.
    limit: Optional[LimitReport] = None


PERMIT = Method('/ringseam.Gateway/Turn', PermitRequest, PermitReply, multiplexed=True)
