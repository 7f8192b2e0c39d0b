"""What began each stream, so that it continues only at servers of the same version."""

from __future__ import annotations

import collections
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.contents import ContentId, keyed_content_id
from ringseam.lifetimes import name_of, start_ms_of
from ringseam.messages import Message
from ringseam.routes import ServiceName

if TYPE_CHECKING:
    from ringseam.backends import BackendView

#: How long a record is kept, seconds: longer than a client waits for a stream and its
#: resumptions.
RETENTION_S = 120.0
#: Maximum number of records at one gateway; the oldest are dropped first.
MAX_RECORDS = 20_000


class StreamOrigin(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The server that brought the first event of a stream; it never changes."""

    service: ServiceName
    software: str
    #: The lifetime of the server; empty: it isn't known which one it was.
    server: str = ''
    #: When the first event arrived, Unix time in ms.
    began_ms: int = 0
    #: Until when the server, which had been seen to crash, may prove to have run another version
    #: than the one it last reported; Unix time in ms, 0: it hadn't crashed.
    doubtful_until_ms: int = 0


class OriginRecord(Message, frozen=True, kw_only=True):
    """The origin of the stream that a client attempt has received events of."""

    key: ContentId
    origin: StreamOrigin
    age_ms: int


@dataclass(frozen=True, kw_only=True)
class KeptOrigin:
    """An origin as it is kept; ``began_at`` is in seconds of the local clock."""

    origin: StreamOrigin
    began_at: float
    #: Whether it is a copy of another gateway's record.
    is_copy: bool = False


class OriginStore:
    """The origins that one gateway knows, bounded in number and age."""

    def __init__(self, *, capacity: int = MAX_RECORDS, retention_s: float = RETENTION_S) -> None:
        """Create an empty store."""
        self.capacity = capacity
        self.retention_s = retention_s
        #: In the order in which they were added.
        self.kept: dict[ContentId, KeptOrigin] = {}
        #: Number of kept streams by service and software version.
        self.counts: collections.Counter[tuple[ServiceName, str]] = collections.Counter()

    def add(
        self, key: ContentId, origin: StreamOrigin, began_at: float, *, is_copy: bool = False
    ) -> None:
        """Keep an origin; a known one stays, as the first event of a stream comes once."""
        if key in self.kept:
            return
        self.kept[key] = KeptOrigin(origin=origin, began_at=began_at, is_copy=is_copy)
        self.counts[origin.service, origin.software] += 1
        if len(self.kept) > self.capacity:
            self._drop(next(iter(self.kept)))

    def add_record(self, record: OriginRecord, now: float) -> None:
        """Keep a copy of another gateway's record."""
        self.add(record.key, record.origin, now - record.age_ms / MS_PER_S, is_copy=True)

    def find(self, key: ContentId, now: float) -> OriginRecord | None:
        """Return the record of an attempt, if it is kept."""
        kept = self.kept.get(key)
        if kept is None or now - kept.began_at > self.retention_s:
            return None
        return as_record(key, kept, now)

    def records(
        self, service: ServiceName, now: float, *, max_age_s: float, copies: bool = False
    ) -> list[OriginRecord]:
        """Return the records of a service that are not older than ``max_age_s`` seconds.

        :param copies: whether to include those of other gateways.
        """
        return [
            as_record(key, kept, now)
            for key, kept in self.kept.items()
            if kept.origin.service == service
            and now - kept.began_at <= max_age_s
            and (copies or not kept.is_copy)
        ]

    def expire(self, now: float) -> None:
        """Drop origins that are too old, in the order in which they were added."""
        while self.kept:
            oldest = next(iter(self.kept))
            if now - self.kept[oldest].began_at <= self.retention_s:
                return
            self._drop(oldest)

    def _drop(self, key: ContentId) -> None:
        origin = self.kept.pop(key).origin
        group = (origin.service, origin.software)
        self.counts[group] -= 1
        if not self.counts[group]:
            self.counts.pop(group)


def origin_key(account: str, attempt_id: str, *, secret: bytes) -> ContentId:
    """Return the key of an attempt's record, of the same length for any id.

    Attempts of other client accounts have other keys.
    """
    return keyed_content_id(('stream', account, attempt_id), b'', secret=secret)


def is_certain(origin: StreamOrigin, view: BackendView, now_ms: int = 0) -> bool:
    """Return whether the server that began a stream had the version that was recorded.

    It may not have had if it started again before that, under its name and with another
    version, and the report of that start arrived later.

    :param now_ms: Unix time in ms; by default no doubt has ended.
    """
    current = view.lifetimes.get(name_of(origin.server))
    if current is None:
        return not origin.doubtful_until_ms
    if current == origin.server:
        return origin.doubtful_until_ms <= now_ms
    is_later = start_ms_of(origin.server) < start_ms_of(current) <= origin.began_ms
    if is_later:
        return view.backends[current].software == origin.software
    return not origin.doubtful_until_ms


def as_record(key: ContentId, kept: KeptOrigin, now: float) -> OriginRecord:
    """Return the record of an origin as it is sent to other gateways."""
    age_ms = max(0, int((now - kept.began_at) * MS_PER_S))
    return OriginRecord(key=key, origin=kept.origin, age_ms=age_ms)
