"""Messages between gateways and the owner of an engine service."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.gateway.following.crashmessages import CrashNotice
from ringseam.gateway.following.permitmessages import LimitReport
from ringseam.messages import Empty, Message
from ringseam.rpc import Method


class PromptPart(Message, frozen=True, kw_only=True):
    """A part of a prompt and its number of tokens."""

    name: str
    tokens: int


class PlaceRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of a service to place a request; durations are in milliseconds.

    With ``dry`` the placement is computed but not recorded.
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
    #: Availability zones in which the request may run; None: all.
    zones: Optional[tuple[str, ...]] = None
    #: The rate limits of servers that the asking gateway knows.
    limits: tuple[LimitReport, ...] = ()
    #: Tokens that the request is expected to generate; 0: unknown.
    output: int = 0
    #: The software version that the engine must run; None: any.
    software: Optional[str] = None


class PlaceReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The chosen engine; empty if there is none."""

    instance: str = ''
    #: How long the request must wait before it may be sent, seconds. Without an engine: time
    #: until a rate-limited engine may have a send permit; 0: there is no such engine.
    wait_s: float = 0
    #: Engines that crashed and may run again as another version.
    crashes: tuple[CrashNotice, ...] = ()


class ProgressReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Report a request's first event or end, or an engine that is silent or goes on."""

    service: str
    request: str = ''
    over: bool = False
    silent: str = ''
    #: The crash of the silent engine; None: it isn't known to have crashed.
    crash: Optional[CrashNotice] = None
    recovered: str = ''
    #: Load of the engine with the first event, see ``ServerLoad.figures``; empty: unknown.
    load: tuple[int, ...] = ()


PLACE = Method('/ringseam.Gateway/Place', PlaceRequest, PlaceReply, multiplexed=True)
PROGRESS = Method('/ringseam.Gateway/Progress', ProgressReport, Empty, multiplexed=True)
