"""Messages between gateways and the owner of a service."""

from __future__ import annotations

from typing import Optional

import msgspec

from ringseam.contents import ContentId, PartId
from ringseam.messages import Empty, Message
from ringseam.routes import ServiceName
from ringseam.rpc import Method


class PieceRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of a service to run pieces; durations are in milliseconds."""

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
    #: Availability zones in which the request may run; None: all.
    zones: Optional[tuple[str, ...]] = None
    returned: bool = False
    #: Time until the first input expires; negative: never.
    expires_ms: int = -1
    inputs_of: str = ''
    content: ContentId = ContentId('')
    account: str = ''
    #: Parts of its prompt, by which the request may be quarantined while it waits.
    parts: tuple[PartId, ...] = ()
    #: Time since the single trial run of a suspected content was granted; negative: no trial.
    trial_ms: int = -1


class Waits(Message, frozen=True, kw_only=True, omit_defaults=True):
    """How long new pieces of a service would wait at its owner, in milliseconds.

    Waits are given by rank: ``first_ms`` for first attempts of clients, ``again_ms`` for
    clients that retry after a refusal. A missing rank waits as long as the rank before it.
    """

    first_ms: dict[int, int] = msgspec.field(default_factory=dict)
    again_ms: dict[int, int] = msgspec.field(default_factory=dict)
    #: Time to clear the queue.
    backlog_ms: int = 0


class PieceReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Result handles in the order of the pieces, or the fault if there are none."""

    handles: tuple[str, ...] = ()
    fault: str = ''
    waits: Waits = Waits()


class ReleaseRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of a service to release results."""

    service: ServiceName
    handles: tuple[str, ...]


class WaitsRequest(Message, frozen=True, kw_only=True):
    """Ask the owner of services how long new pieces would wait."""

    services: tuple[ServiceName, ...]


class WaitsReply(Message, frozen=True, kw_only=True):
    """The waits of each service."""

    waits: dict[ServiceName, Waits]


PIECES = Method('/ringseam.Gateway/Pieces', PieceRequest, PieceReply, multiplexed=True)
RELEASE = Method('/ringseam.Gateway/Release', ReleaseRequest, Empty, multiplexed=True)
WAITS = Method('/ringseam.Gateway/Waits', WaitsRequest, WaitsReply, multiplexed=True)
