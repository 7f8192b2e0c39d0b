"""Messages by which gateways have requests placed by the owner of a service."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.gateway.following.turnmessages import ToldLimit
from ringseam.messages import Empty, Message
from ringseam.rpc import Method


class PromptPart(Message, frozen=True, kw_only=True):
    """A part of a prompt, with its tokens."""

    name: str
    tokens: int


class PlaceRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What must be known to place a request; durations in milliseconds.

    With ``dry`` nothing is remembered.
    """

    request: str
    service: str
    prompt_tokens: int
    prefix: tuple[PromptPart, ...] = ()
    priority: int = 0
    objective_ms: int = 0
    left_ms: int = 0
    result_bytes: dict[str, int] = msgspec.field(default_factory=dict)
    avoid: tuple[str, ...] = ()
    dry: bool = False
    account: str = ''
    #: Availability zones in which it may run; None: all.
    zones: Optional[tuple[str, ...]] = None
    #: What the asking gateway knows of the servers' limits.
    limits: tuple[ToldLimit, ...] = ()


class PlaceReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The chosen engine, if there is one."""

    instance: str = ''
    #: How long the request has to wait before it may go there, seconds; without an engine:
    #: until one with a limit may have a turn left, 0: there is none.
    wait_s: float = 0


class ProgressReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A request's first event has come, or it is over; or an engine is silent."""

    service: str
    request: str = ''
    over: bool = False
    silent: str = ''


PLACE = Method('/ringseam.Gateway/Place', PlaceRequest, PlaceReply, multiplexed=True)
PROGRESS = Method('/ringseam.Gateway/Progress', ProgressReport, Empty, multiplexed=True)
