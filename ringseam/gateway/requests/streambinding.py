"""Decides where a stream may continue that a client resumes."""

from __future__ import annotations

import enum
import logging
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.contentorigins import MAX_SERVERS, content_key
from ringseam.events import Event
from ringseam.gateway.requestcontext import Answered, LossCause, Lost
from ringseam.gateway.requests.answers import DEFAULT_RETRY_AFTER_S
from ringseam.gateway.requests.originsharing import OriginSharing
from ringseam.routes import RequestKind
from ringseam.streamorigins import StreamOrigin, is_certain, origin_key

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.gateway.requests.answers import Responder
    from ringseam.node import Node
    from ringseam.rpc import CallClient
    from ringseam.streamorigins import OriginRecord

logger = logging.getLogger(__name__)

#: Retry-After of a stream that no server can continue, seconds: a server that has crashed
#: starts again in a few seconds.
_NO_SERVER_RETRY_AFTER_S = 2.0


class Knowledge(enum.Enum):
    """How a gateway knows the origin of a stream."""

    #: From a record, of this gateway or of another one.
    record = 'record'
    #: From the records of the streams that began with the same content.
    content = 'content'
    #: No other version has served since the stream can have begun.
    uniform = 'uniform'
    #: From a record that control hosts have kept.
    control = 'control'


class Obstacle(enum.Enum):
    """Why a stream can't continue."""

    unknown = 'unknown'
    #: The route doesn't lead to the service that began it any more.
    service = 'service'
    #: No server of the version that began it takes work.
    version = 'version'


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A stream that can't continue."""

    obstacle: Obstacle
    detail: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


_UNKNOWN = Refusal(
    obstacle=Obstacle.unknown, detail='the server version that began the stream is not known'
)
_OTHER_SERVICE = Refusal(
    obstacle=Obstacle.service,
    detail='the route no longer leads to the service that began the stream',
    retry_after_s=_NO_SERVER_RETRY_AFTER_S,
)
_NO_SERVER = Refusal(
    obstacle=Obstacle.version,
    detail='no server of the version that began the stream',
    retry_after_s=_NO_SERVER_RETRY_AFTER_S,
)


class StreamBinder:
    """Bind streams to the service and the software version that began them."""

    def __init__(
        self, *, node: Node, client: CallClient, follower: Follower, responder: Responder
    ) -> None:
        """Keep copies of the origins at other gateways, which are called by ``client``."""
        self.node = node
        self.follower = follower
        self.sharing = OriginSharing(node=node, client=client, follower=follower)
        self.responder = responder

    async def bind(self, context: RequestContext) -> Refusal | None:
        """Set the origin of a stream that the client resumes, or return why it can't go on."""
        if not _is_resumption(context):
            return None
        refusal = await self._bind(context)
        if refusal is not None:
            self.responder.metrics.add('streams_unresumed', reason=refusal.obstacle.value)
            self.responder.log(
                context,
                Event.stream_unresumed,
                resumes=context.request.resumes,
                reason=refusal.obstacle.value,
                software=context.software,
            )
        return refusal

    def began(self, context: RequestContext, server: BackendReport) -> None:
        """Record that a server has brought the first event of a response."""
        if context.origin is None:
            context.origin = StreamOrigin(
                service=server.service,
                software=server.software,
                server=server.instance,
                began_ms=self.node.clock.wall_ms(),
                doubtful_until_ms=self._doubtful_until_ms(server),
            )
        self.sharing.began(self._key(context, context.request.attempt_id), context.origin)
        self.sharing.content_began(self._content_key(context), context.origin)

    def may_continue(self, context: RequestContext) -> bool:
        """Return whether the version of a stream that has begun is still certain."""
        return context.origin is None or self._is_certain(context.origin)

    def check_version(
        self, context: RequestContext, server: BackendReport, outcome: TryOutcome
    ) -> TryOutcome:
        """Give up a response that continues a stream if another version may write it.

        The server may have reported since the request was sent that it had started again.
        """
        if context.software is None or not isinstance(outcome, Answered):
            return outcome
        if not self.follower.runs_other_version(server, context.software):
            return outcome
        outcome.channel.close()
        return Lost(
            cause=LossCause.not_authentic,
            detail=f'{server.address}: started again with another version',
        )

    async def _bind(self, context: RequestContext) -> Refusal | None:
        origin, knowledge, age_ms = await self._find(context)
        if origin is None:
            return self._unknown()
        if all(target.service != origin.service for target in context.route.targets):
            return _OTHER_SERVICE
        context.origin = origin
        context.service = origin.service
        self.responder.metrics.add('streams_resumed', known_by=knowledge.value)
        self.responder.log(
            context,
            Event.stream_resumed,
            resumes=context.request.resumes,
            service=origin.service,
            software=origin.software,
            backend=origin.server,
            known_by=knowledge.value,
            age_ms=age_ms,
        )
        servers = self.follower.serving(
            context.service, context.suspect.account, context.allowed_zones, context.software
        )
        return None if servers else _NO_SERVER

    async def _find(self, context: RequestContext) -> tuple[StreamOrigin | None, Knowledge, int]:
        """Return what began a stream, how it is known, and how long ago it began, ms."""
        if context.request.resumes:
            key = self._key(context, context.request.resumes)
            record = await self.sharing.find(key)
            if record is not None:
                certain = self._is_certain(record.origin)
                return record.origin if certain else None, Knowledge.record, record.age_ms
        else:
            records = await self._find_content(context)
            if records:
                return self._common_origin(records), Knowledge.content, records[-1].age_ms
        software = self.sharing.certain_version(context.service)
        if software is None:
            return await self._find_at_control(context)
        origin = StreamOrigin(service=context.service, software=software)
        longest_s = self.sharing.longest_stream_s(context.service)
        return origin, Knowledge.uniform, int(longest_s * MS_PER_S)

    async def _find_at_control(
        self, context: RequestContext
    ) -> tuple[StreamOrigin | None, Knowledge, int]:
        """Return what control hosts know of a stream whose gateways are all gone."""
        copies = self.sharing.control_copies
        if not context.request.resumes or copies.usable_in_s:
            return None, Knowledge.control, 0
        record = await copies.find(self._key(context, context.request.resumes))
        if record is None or not self._is_certain(record.origin):
            return None, Knowledge.control, 0
        return record.origin, Knowledge.control, record.age_ms

    def _unknown(self) -> Refusal:
        """Return the refusal of a stream of which nothing is known, or not yet."""
        usable_in_s = self.sharing.control_copies.usable_in_s
        return replace(_UNKNOWN, retry_after_s=max(DEFAULT_RETRY_AFTER_S, usable_in_s))

    async def _find_content(self, context: RequestContext) -> list[OriginRecord]:
        """Return the records of all streams of a content that may still go on, oldest first."""
        longest_s = self.sharing.longest_stream_s(context.service)
        found = await self.sharing.find_content(self._content_key(context), within_s=longest_s)
        current = [record for record in found if record.age_ms <= longest_s * MS_PER_S]
        return sorted(current, key=lambda record: -record.age_ms)

    def _common_origin(self, records: list[OriginRecord]) -> StreamOrigin | None:
        """Return the newest origin if all are of one service and version for certain."""
        origins = [record.origin for record in records]
        versions = {(origin.service, origin.software) for origin in origins}
        servers = {origin.server for origin in origins}
        if len(versions) > 1 or len(servers) > MAX_SERVERS:
            return None
        are_certain = all(map(self._is_certain, origins))
        return origins[-1] if are_certain else None

    def _content_key(self, context: RequestContext) -> ContentId:
        return content_key(context.account_name, context.content_id, secret=self.node.secret)

    def _doubtful_until_ms(self, server: BackendReport) -> int:
        """Return until when the version of a stream that a server begins now is uncertain."""
        doubted_for_s = self.follower.crashed.doubted_for_s(server.instance)
        if not doubted_for_s:
            return 0
        return self.node.clock.wall_ms() + int(doubted_for_s * MS_PER_S)

    def _is_certain(self, origin: StreamOrigin) -> bool:
        return is_certain(origin, self.follower.view, self.node.clock.wall_ms())

    def _key(self, context: RequestContext, attempt_id: str) -> ContentId:
        return origin_key(context.account_name, attempt_id, secret=self.node.secret)


def _is_resumption(context: RequestContext) -> bool:
    """Return whether a request continues a stream of which the client has events."""
    request = context.request
    is_stream = context.route.kind is RequestKind.stream
    return is_stream and bool(request.resumes or request.last_event)
