"""Copies of the origins of streams at other gateways, where clients may resume them."""

from __future__ import annotations

import asyncio
import collections
import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.contentorigins import ContentOrigins, is_content_key
from ringseam.errors import UnreachableError
from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.gateway.requests.controlcopies import ControlCopies
from ringseam.messages import Empty
from ringseam.originmessages import (
    FIND_ORIGIN,
    SAVE_ORIGINS,
    FindOrigin,
    FoundOrigin,
    SaveOrigins,
)
from ringseam.streamorigins import RETENTION_S, OriginRecord, OriginStore
from ringseam.streamroutes import stream_routes
from ringseam.util.tasks import TaskSet, cancel_and_wait

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ringseam.backends import GatewayState
    from ringseam.contents import ContentId
    from ringseam.envelopes import ReceivedMessage
    from ringseam.gateway.following.follower import Follower
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.routes import ServiceName
    from ringseam.rpc import CallClient, CallServer
    from ringseam.streamorigins import StreamOrigin

    #: Numbers of servers or streams by service and software version.
    VersionCounts = collections.Counter[tuple[ServiceName, str]]

logger = logging.getLogger(__name__)

#: Number of other gateways that keep a copy.
COPIES = 3
#: Number of gateways that are asked for a record: the order of those that keep it changes with
#: each gateway that joins or leaves.
ASKED = 2 * COPIES
_SAVE_TIMEOUT_S = 1.0
#: A round trip takes milliseconds; a client waits for the answer.
_FIND_TIMEOUT_S = 0.15


class OriginSharing:
    """Keep the origins of this gateway's streams, with copies at other gateways.

    No copies are made while all servers of a service have run one version for longer than any
    of its streams lasts: then the origin of each stream is known without a record.
    """

    def __init__(self, *, node: Node, client: CallClient, follower: Follower) -> None:
        """Start without any records."""
        self.node = node
        self.client = client
        self.follower = follower
        self.store = OriginStore()
        self.content_origins = ContentOrigins()
        self.control_copies = ControlCopies(
            node=node, client=client, follower=follower, store=self.store
        )
        #: Since when this gateway has kept records, seconds.
        self.started_at = node.clock.now()
        self.tasks = TaskSet()
        #: Services whose records are copied to other gateways.
        self.copied_services: set[ServiceName] = set()
        #: Services and versions of each exported metric.
        self.exported: dict[str, VersionCounts] = {}

    def register(self, server: CallServer) -> None:
        """Serve the calls of other gateways."""
        server.add(SAVE_ORIGINS, self.serve_save)
        server.add(FIND_ORIGIN, self.serve_find)

    def began(self, key: ContentId, origin: StreamOrigin) -> None:
        """Record the origin of a stream whose first event is about to be forwarded."""
        now = self.node.clock.now()
        self.store.add(key, origin, now)
        record = self.store.find(key, now)
        if record is not None and (origin.doubtful_until_ms or self._makes_copies(origin.service)):
            self._copy([record])

    def content_began(self, key: ContentId, origin: StreamOrigin) -> None:
        """Record the origin of a stream under the key of its content."""
        now = self.node.clock.now()
        self.content_origins.add(key, origin, now)
        if origin.doubtful_until_ms or self._makes_copies(origin.service):
            self._copy([OriginRecord(key=key, origin=origin, age_ms=0)])

    def certain_version(self, service: ServiceName) -> str | None:
        """Return the version that began any stream of a service; None: it depends."""
        longest_s = self.longest_stream_s(service)
        now = self.node.clock.now()
        if not self.follower.routes.is_alone(service, duration_s=longest_s, now=now):
            return None
        return self.follower.uniform_version(service, duration_s=longest_s)

    def longest_stream_s(self, service: ServiceName) -> float:
        """Return how long a stream that may still go on may last with its resumptions."""
        return self.follower.routes.longest_s(service, self.node.clock.now())

    def refresh(self) -> None:
        """Copy the records of services whose servers no longer all run one version."""
        now = self.node.clock.now()
        self.store.expire(now)
        self.content_origins.expire(now)
        self.follower.routes.observe(stream_routes(self.follower.table), now)
        for service in self.follower.table.stream_limits_s:
            if self.certain_version(service) is not None:
                self.copied_services.discard(service)
            elif service not in self.copied_services:
                self.copied_services.add(service)
                self._copy_all(service, copies=False)

    def hand_over(self) -> None:
        """Copy all records, as this process stops."""
        for service in self.copied_services:
            self._copy_all(service, copies=True)

    def export(self, metrics: Metrics) -> None:
        """Set the metrics of the versions that serve, and of the streams that they began."""
        servers: VersionCounts = collections.Counter()
        for report in self.follower.view.backends.values():
            servers[report.service, report.software] += 1
        self._export('backend_versions', servers, metrics)
        self._export('stream_origins', self.store.counts, metrics)

    async def find(self, key: ContentId) -> OriginRecord | None:
        """Return the record of an attempt from this or another gateway."""
        record = self.store.find(key, self.node.clock.now())
        if record is not None:
            return record
        pending = {
            asyncio.ensure_future(self._ask(peer, key)) for peer in self._holders(key, ASKED)
        }
        try:
            while pending and record is None:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                replies = (task.result() for task in done)
                record = next((reply.record for reply in replies if reply and reply.record), None)
        finally:
            for task in pending:
                await cancel_and_wait(task)
        if record is not None:
            self.store.add_record(record, self.node.clock.now())
        return record

    async def find_content(self, key: ContentId, *, within_s: float) -> tuple[OriginRecord, ...]:
        """Return the records of a content; none if some may be missing.

        Another gateway may have begun a stream of the same content at another version, so
        those that keep the copies are asked in any case. One that has started since then
        may lack copies.

        :param within_s: how long ago the streams may have begun.
        """
        replies = await asyncio.gather(
            *(self._ask(peer, key) for peer in self._holders(key, ASKED))
        )
        known_for_s = [reply.known_for_ms / MS_PER_S for reply in replies[:COPIES] if reply]
        if self._keeps_all(key):
            known_for_s.append(self._known_for_s)
        if max(known_for_s, default=0) < within_s:
            return ()
        found = list(self.content_origins.find(key, self.node.clock.now()))
        for reply in replies:
            if reply is not None and reply.record is not None:
                found += (reply.record, *reply.others)
        return tuple(found)

    # -- calls of other gateways --------------------------------------------

    async def serve_save(self, received: ReceivedMessage) -> Empty:
        """Keep copies of another gateway's records."""
        saved: SaveOrigins = received.body
        for record in saved.records:
            store = self.content_origins if is_content_key(record.key) else self.store
            store.add_record(record, self.node.clock.now())
        return Empty()

    async def serve_find(self, received: ReceivedMessage) -> FoundOrigin:
        """Return a record that is kept here."""
        query: FindOrigin = received.body
        if is_content_key(query.key):
            records = self.content_origins.find(query.key, self.node.clock.now())
            return FoundOrigin(
                record=records[0] if records else None,
                others=records[1:],
                known_for_ms=int(min(self._known_for_s, RETENTION_S) * MS_PER_S),
            )
        return FoundOrigin(record=self.store.find(query.key, self.node.clock.now()))

    # -- helpers ------------------------------------------------------------

    @property
    def _known_for_s(self) -> float:
        """Return for how long this gateway has kept records, seconds."""
        return self.node.clock.now() - self.started_at

    def _makes_copies(self, service: ServiceName) -> bool:
        """Return whether records are copied at once; else :meth:`refresh` copies them later."""
        return service in self.copied_services or self.certain_version(service) is None

    def _holders(self, key: ContentId, count: int) -> list[str]:
        """Return the addresses of the other gateways that keep a record."""
        ordered = holders(key, self.follower.gateways)
        others = [state.address for state in ordered if state.name != self.node.name]
        return others[:count]

    def _keeps_all(self, key: ContentId) -> bool:
        """Return whether this gateway is one of those that any other one sends its copies."""
        others = [state for state in self.follower.gateways if state.name != self.node.name]
        ordered = holders(key, (*others, self.follower.state))
        return self.node.name in {state.name for state in ordered[:COPIES]}

    def _export(
        self,
        name: str,
        counts: VersionCounts,
        metrics: Metrics,
    ) -> None:
        previous = self.exported.get(name, collections.Counter())
        self.exported[name] = collections.Counter(counts)
        for service, software in previous.keys() - counts.keys():
            metrics.remove(name, service=service, software=software)
        for (counted, version), count in counts.items():
            metrics.put(name, count, service=counted, software=version)

    def _copy_all(self, service: ServiceName, *, copies: bool) -> None:
        """Copy the records of streams that may still be resumed."""
        now = self.node.clock.now()
        longest_s = self.longest_stream_s(service)
        for store in (self.store, self.content_origins):
            self._copy(store.records(service, now, max_age_s=longest_s, copies=copies))

    def _copy(self, records: Collection[OriginRecord]) -> None:
        # Control hosts keep no records of contents: these count only if none is missing.
        self.control_copies.add(record.key for record in records if not is_content_key(record.key))
        by_address: dict[str, list[OriginRecord]] = {}
        for record in records:
            for address in self._holders(record.key, COPIES):
                by_address.setdefault(address, []).append(record)
        for address, group in by_address.items():
            self.tasks.spawn(self._save(address, SaveOrigins(records=tuple(group))))

    async def _save(self, address: str, message: SaveOrigins) -> None:
        try:
            await self.client.call(address, SAVE_ORIGINS, message, timeout_s=_SAVE_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('origins of streams not copied: %s', error)

    async def _ask(self, address: str, key: ContentId) -> FoundOrigin | None:
        try:
            received = await self.client.call(
                address, FIND_ORIGIN, FindOrigin(key=key), timeout_s=_FIND_TIMEOUT_S
            )
        except UnreachableError as error:
            logger.debug('gateway not asked for the origin of a stream: %s', error)
            return None
        return received.body


def holders(key: ContentId, gateways: Iterable[GatewayState]) -> list[GatewayState]:
    """Return all gateways in the order in which they keep a record.

    Of the gateways of each availability zone the first come before any second one.
    """
    by_name = {state.name: state for state in gateways}
    in_zone: dict[str, int] = {}
    places = {}
    for name in rendezvous_order(key, by_name):
        zone = by_name[name].zone
        places[name] = in_zone.get(zone, 0)
        in_zone[zone] = places[name] + 1
    return [by_name[holder] for holder in sorted(places, key=places.__getitem__)]
