"""Messages by which gateways share the rate limits of backend servers."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.backends import BackendId
from ringseam.messages import Message
from ringseam.routes import ServiceName
from ringseam.rpc import Method


class LimitReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The latest rate limit that a server has announced, and how long ago."""

    instance: BackendId
    #: Requests per second; None: the limit is lifted.
    per_s: Optional[float] = None
    age_ms: int = 0


class PermitRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Request of a gateway to send one request to a rate-limited server."""

    service: ServiceName
    limit: LimitReport
    gateway: str
    #: How long the request may wait, milliseconds.
    max_wait_ms: int = msgspec.field(name='longest_ms')
    #: How many requests the gateway sent in the last ``PRE_LIMIT_S`` before it learned of the
    #: limit.
    sent_before_limit: int = msgspec.field(default=0, name='unheard')


class PermitReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Whether the permit is granted, when to send, and the limit that the owner knows."""

    granted: bool = False
    #: How long until the request may be sent or, without a permit, until one may be available,
    #: seconds.
    wait_s: float = 0
    #: The limit as the owner knows it.
    limit: Optional[LimitReport] = None


PERMIT = Method('/ringseam.Gateway/Turn', PermitRequest, PermitReply, multiplexed=True)
