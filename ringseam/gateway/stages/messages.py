"""Messages by which gateways have pieces made by the owner of a service."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.contents import ContentId
from ringseam.messages import Empty, Message
from ringseam.routes import ServiceName
from ringseam.rpc import Method


class PieceRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of a service for pieces; durations in milliseconds."""

    attempt_id: str
    service: ServiceName
    stage: int
    pieces: tuple[int, ...]
    key: str = ''
    inputs: tuple[str, ...] = ()
    due_ms: int
    left_ms: int
    rank: int
    result_bytes: int
    zone: str
    #: Availability zones in which its request may run; None: all.
    zones: Optional[tuple[str, ...]] = None
    returned: bool = False
    #: Until the first input is given up, in milliseconds; negative: never.
    expires_ms: int = -1
    inputs_of: str = ''
    content: ContentId = ContentId('')
    account: str = ''
    #: How long ago the only run of a suspected content was granted; negative: not on trial.
    trial_ms: int = -1


class Waits(Message, frozen=True, kw_only=True, omit_defaults=True):
    """How long new pieces of a service would wait at its owner, in milliseconds.

    By rank, those of clients that ask for the first time apart from those that
    were turned away before. A rank that is not named waits as long as the one
    before it.
    """

    first_ms: dict[int, int] = msgspec.field(default_factory=dict)
    again_ms: dict[int, int] = msgspec.field(default_factory=dict)
    #: How long all that waits takes to leave.
    backlog_ms: int = 0


class PieceReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Handles in the order of the pieces, or why there are none."""

    handles: tuple[str, ...] = ()
    fault: str = ''
    waits: Waits = Waits()


class ReleaseRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Give results up."""

    service: ServiceName
    handles: tuple[str, ...]


class WaitsRequest(Message, frozen=True, kw_only=True):
    """Ask the owner of some services how long new pieces would wait."""

    services: tuple[ServiceName, ...]


class WaitsReply(Message, frozen=True, kw_only=True):
    """Waits by service."""

    waits: dict[ServiceName, Waits]


PIECES = Method('/ringseam.Gateway/Pieces', PieceRequest, PieceReply, multiplexed=True)
RELEASE = Method('/ringseam.Gateway/Release', ReleaseRequest, Empty, multiplexed=True)
WAITS = Method('/ringseam.Gateway/Waits', WaitsRequest, WaitsReply, multiplexed=True)
