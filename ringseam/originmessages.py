"""Messages by which the origins of streams are copied to gateways and control hosts."""

from __future__ import annotations

from typing import Optional

from ringseam.contents import ContentId
from ringseam.messages import Empty, Message
from ringseam.rpc import Method
from ringseam.streamorigins import OriginRecord


class SaveOrigins(Message, frozen=True, kw_only=True):
    """Keep copies of records."""

    records: tuple[OriginRecord, ...]


class FindOrigin(Message, frozen=True, kw_only=True):
    """Ask for the record of a client attempt, or for those of a content."""

    key: ContentId


class FoundOrigin(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The record; None: it isn't known here."""

    record: Optional[OriginRecord] = None
    #: The other records of a content, which several servers may have begun.
    others: tuple[OriginRecord, ...] = ()
    #: For a content: for how long the gateway has kept records. Those of before may be missing.
    known_for_ms: int = 0


SAVE_ORIGINS = Method('/ringseam.Gateway/SaveOrigins', SaveOrigins, Empty, multiplexed=True)
FIND_ORIGIN = Method('/ringseam.Gateway/FindOrigin', FindOrigin, FoundOrigin, multiplexed=True)
