"""What began streams of the same content, for clients that don't name the stream they resume."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.contents import ContentId, keyed_content_id
from ringseam.streamorigins import (
    MAX_RECORDS,
    RETENTION_S,
    KeptOrigin,
    OriginRecord,
    StreamOrigin,
    as_record,
)

if TYPE_CHECKING:
    from ringseam.routes import ServiceName

#: Maximum number of servers that are kept for one content; with more its origin is unknown.
MAX_SERVERS = 8
_MARK = 'content-'


class _Identity(NamedTuple):
    """What two origins of one content have in common if they are the same."""

    service: str
    software: str
    server: str


@dataclass(kw_only=True)
class _KeptContent:
    """The servers that began streams of one content."""

    origins: dict[_Identity, KeptOrigin] = field(default_factory=dict)
    #: When the last of these streams began, seconds of the local clock.
    newest_at: float = float('-inf')


class ContentOrigins:
    """The servers that began streams of each content, bounded in number and age.

    All of them are kept, as a stream can be any of those of its content.
    """

    def __init__(self, *, capacity: int = MAX_RECORDS, retention_s: float = RETENTION_S) -> None:
        """Create an empty store."""
        self.capacity = capacity
        self.retention_s = retention_s
        #: In the order in which they were last changed.
        self.kept: dict[ContentId, _KeptContent] = {}

    def add(
        self, key: ContentId, origin: StreamOrigin, began_at: float, *, is_copy: bool = False
    ) -> None:
        """Keep the origin of one more stream of a content."""
        content = self.kept.pop(key, None) or _KeptContent()
        self.kept[key] = content
        content.newest_at = max(content.newest_at, began_at)
        identity = _Identity(origin.service, origin.software, origin.server)
        known = content.origins.get(identity)
        if known is not None:
            content.origins[identity] = _merged(known, origin, began_at, is_copy=is_copy)
        elif len(content.origins) <= MAX_SERVERS:
            content.origins[identity] = KeptOrigin(
                origin=origin, began_at=began_at, is_copy=is_copy
            )
        if len(self.kept) > self.capacity:
            self.kept.pop(next(iter(self.kept)))

    def add_record(self, record: OriginRecord, now: float) -> None:
        """Keep a copy of another gateway's record."""
        self.add(record.key, record.origin, now - record.age_ms / MS_PER_S, is_copy=True)

    def find(self, key: ContentId, now: float) -> tuple[OriginRecord, ...]:
        """Return the origins of a content; more than ``MAX_SERVERS`` of them aren't all."""
        content = self.kept.get(key)
        if content is None:
            return ()
        return tuple(
            as_record(key, kept, now)
            for kept in content.origins.values()
            if now - kept.began_at <= self.retention_s
        )

    def records(
        self, service: ServiceName, now: float, *, max_age_s: float, copies: bool = False
    ) -> list[OriginRecord]:
        """Return the records of a service that are not older than ``max_age_s`` seconds.

        :param copies: whether to include those of other gateways.
        """
        return [
            as_record(key, kept, now)
            for key, content in self.kept.items()
            for kept in content.origins.values()
            if kept.origin.service == service
            and now - kept.began_at <= max_age_s
            and (copies or not kept.is_copy)
        ]

    def expire(self, now: float) -> None:
        """Drop contents that are too old, in the order in which they were changed."""
        while self.kept:
            oldest = next(iter(self.kept))
            if now - self.kept[oldest].newest_at <= self.retention_s:
                return
            self.kept.pop(oldest)


def content_key(account: str, content: ContentId, *, secret: bytes) -> ContentId:
    """Return the key of a content's records, which no key of an attempt equals."""
    address = ('stream-content', account, content)
    return ContentId(_MARK + keyed_content_id(address, b'', secret=secret))


def is_content_key(key: ContentId) -> bool:
    """Return whether a key is that of a content, not of an attempt."""
    return key.startswith(_MARK)


def _merged(
    known: KeptOrigin, origin: StreamOrigin, began_at: float, *, is_copy: bool
) -> KeptOrigin:
    """Return what is kept of two streams that one server began."""
    return KeptOrigin(
        origin=msgspec.structs.replace(
            known.origin,
            began_ms=max(known.origin.began_ms, origin.began_ms),
            doubtful_until_ms=max(known.origin.doubtful_until_ms, origin.doubtful_until_ms),
        ),
        began_at=max(known.began_at, began_at),
        is_copy=known.is_copy and is_copy,
    )
