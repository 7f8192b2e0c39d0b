"""Ends of backend servers as one gateway sees them, and their report to the leader."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.evidence import EVIDENCE_RETENTION_S
from ringseam.gateway.following.underway import UnderWay
from ringseam.messages import Redirect
from ringseam.quarantinemessages import REPORT_CRASHES, CrashReport, ServerCrash
from ringseam.util.tasks import TaskSet
from ringseam.web.client import ChannelError, RefusedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.evidence import RecentAnswers
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.health import HealthBook
    from ringseam.lifetimes import BackendId
    from ringseam.node import Node
    from ringseam.quarantinemessages import Suspect
    from ringseam.rpc import CallClient
    from ringseam.web.client import ChannelPool

logger = logging.getLogger(__name__)

#: Whether anybody listens at an address shows within this, seconds: a host that runs
#: refuses in a millisecond; one that is cut off or dark says nothing. A retry waits for it.
PROBE_S = 0.1
#: Where nothing was said, it is asked again so often and so far apart, seconds, while
#: nobody waits: where a link loses three packets in ten, one of four probes passes both
#: ways with 0.93. A server that has ended is back after a second or more.
PROBES_AGAIN = 3
PROBE_PAUSE_S = 0.15
#: What breaks off a server that has fallen silent within this time was given up here,
#: seconds; nobody would answer at its address either.
SILENT_S = 2.0
#: The leader is milliseconds away; a request doesn't wait longer for it, seconds.
ASK_S = 0.15
#: Ends that the leader may not have heard are told again after this long, seconds, and
#: may take as long: a lost packet is sent again after 0.2.
UNTOLD_S = 1.0
#: Ends that are told again to a new leader.
_ENDS_KEPT = 64
_CONTENTS_LOGGED = 8


class Answer(enum.Enum):
    """What an address said to a request for a connection."""

    listens = 'listens'
    refused = 'refused'
    #: Nothing: its host may be cut off or dark, or a packet was lost.
    silent = 'silent'


@dataclass(kw_only=True)
class SeenEnd:
    """An end that was seen here, and whether the leader of now has heard of it."""

    at: float
    end: ServerCrash
    told: bool = False

    def forget(self, content: ContentId, software: str) -> None:
        """Hear that servers of a version bear a content."""
        if self.end.software == software:
            suspects = tuple(one for one in self.end.suspects if one.content != content)
            self.end = msgspec.structs.replace(self.end, suspects=suspects)

    def report(self, now: float) -> ServerCrash:
        """Return what the leader is told of it."""
        return msgspec.structs.replace(self.end, age_ms=int((now - self.at) * MS_PER_S))


class EndReports:
    """Finds out which servers have ended, with what, and tells the leader."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthBook,
        pool: ChannelPool,
        served: RecentAnswers,
        on_end: Callable[[ServerCrash, float], None],
    ) -> None:
        """Tell the leader that ``follower`` follows, and ``on_end`` before.

        :param served: what a server was seen to bear is not suspected.
        """
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.health = health
        self.pool = pool
        self.served = served
        self.on_end = on_end
        self.under_way = UnderWay()
        self.tasks = TaskSet()
        self.probes: dict[BackendId, asyncio.Task[None]] = {}
        #: Servers that are asked again.
        self.doubted: set[BackendId] = set()
        self.silent: dict[BackendId, float] = {}
        self.seen: collections.deque[SeenEnd] = collections.deque(maxlen=_ENDS_KEPT)
        #: When the leader was last told of what it had not heard.
        self.told_at = float('-inf')

    def sent(self, server: BackendReport, attempt: str, suspect: Suspect) -> None:
        """Hear that a server may have begun a request."""
        self.under_way.sent(server.instance, attempt, suspect)

    def over(self, server: BackendReport, attempt: str) -> None:
        """Hear that a request is under way there no more."""
        self.under_way.over(server.instance, attempt)

    def fell_silent(self, instance: BackendId, server: BackendReport | None) -> None:
        """Hear that a server has fallen silent, and what it owes is given up.

        The end of its connections may have been lost on the way, so one that is still
        known is asked; nobody waits for it.
        """
        now = self.clock.now()
        self.silent[instance] = now
        if server is not None:
            self._doubt(server, now)

    async def broke(self, server: BackendReport) -> None:
        """Find out whether a server has ended, and tell; called before :meth:`over`.

        A connection that broke may have been reset alone; a server that has ended has
        nobody that listens. Returns once the leader has heard, so that a retry that
        follows is judged by this end too.
        """
        fell_silent_at = self.silent.get(server.instance, float('-inf'))
        if self.clock.now() - fell_silent_at < SILENT_S:
            return
        probe = self.probes.get(server.instance)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(server))
            self.probes[server.instance] = probe
            probe.add_done_callback(lambda _: self.probes.pop(server.instance, None))
        await asyncio.shield(probe)

    def forget_content(self, content: ContentId, software: str) -> None:
        """Hear that servers of a version bear a content: no leader is told of it again."""
        for seen in self.seen:
            seen.forget(content, software)

    def see_leader(self) -> None:
        """Hear of a new leadership: it is told all that is remembered."""
        for seen in self.seen:
            seen.told = False
        self._tell_untold()

    async def settle(self) -> None:
        """Tell the leader what it has not heard, before it is asked what may run."""
        untold = self._untold(self.clock.now())
        if untold:
            await self._tell(untold, ASK_S)

    def look(self, now: float) -> None:
        """Do what is due by now; called at short intervals."""
        self.silent = {name: at for name, at in self.silent.items() if now - at < SILENT_S}
        if now - self.told_at > UNTOLD_S:
            self._tell_untold()

    # -- helpers ------------------------------------------------------------

    async def _probe(self, server: BackendReport) -> None:
        answer = await self._answer_of(server)
        if answer is Answer.refused:
            now = self.clock.now()
            await self._ended(server, self.under_way.take(server.instance), now)
        elif answer is Answer.silent:
            self._doubt(server, self.clock.now())

    def _doubt(self, server: BackendReport, at: float) -> None:
        """Ask again, in case it was only a packet that was lost."""
        if server.instance not in self.doubted:
            self.doubted.add(server.instance)
            suspects = self.under_way.of(server.instance)
            self.tasks.spawn(self._ask_again(server, suspects, at))

    async def _ask_again(self, server: BackendReport, suspects: set[Suspect], at: float) -> None:
        try:
            if await self._refuses_later(server):
                await self._ended(server, suspects | self.under_way.take(server.instance), at)
        finally:
            self.doubted.discard(server.instance)

    async def _refuses_later(self, server: BackendReport) -> bool:
        for _ in range(PROBES_AGAIN):
            await asyncio.sleep(PROBE_PAUSE_S)
            answer = await self._answer_of(server)
            if answer is not Answer.silent:
                return answer is Answer.refused
        return False

    async def _answer_of(self, server: BackendReport) -> Answer:
        try:
            channel = await self.pool.connect(server.address, timeout_s=PROBE_S)
        except RefusedError:
            return Answer.refused
        except ChannelError as error:
            # Silence is no proof: its host may be cut off.
            logger.debug('not told whether it ended: %s', error)
            return Answer.silent
        channel.close()
        return Answer.listens

    async def _ended(self, server: BackendReport, suspects: set[Suspect], at: float) -> None:
        self.health.failed(server.instance, self.clock.now(), hard=True)
        if not suspects:
            return
        end = ServerCrash(
            instance=server.instance,
            service=server.service,
            software=server.software,
            suspects=tuple(
                suspect
                for suspect in suspects
                if suspect.content
                and not self.served.contains(suspect.content, server.software, at)
            ),
        )
        self.node.events.emit(
            logger,
            Event.backend_ended,
            backend=server.instance,
            under_way=len(suspects),
            contents=[suspect.content for suspect in end.suspects][:_CONTENTS_LOGGED],
        )
        seen = SeenEnd(at=at, end=end)
        self.seen.append(seen)
        self.on_end(end, at)
        await self._tell([seen], ASK_S)

    def _untold(self, now: float) -> list[SeenEnd]:
        return [
            seen for seen in self.seen if not seen.told and now - seen.at < EVIDENCE_RETENTION_S
        ]

    def _tell_untold(self) -> None:
        untold = self._untold(self.clock.now())
        if untold and self.follower.in_touch:
            self.tasks.spawn(self._tell(untold, UNTOLD_S))

    async def _tell(self, untold: list[SeenEnd], limit_s: float) -> None:
        if not self.follower.in_touch:
            return
        self.told_at = self.clock.now()
        report = CrashReport(ends=tuple(seen.report(self.told_at) for seen in untold))
        leader, epoch = self.follower.leader, self.follower.epoch
        try:
            received = await self.client.call(leader, REPORT_CRASHES, report, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('ends not told: %s', error)
            return
        if epoch == self.follower.epoch:
            heard = not isinstance(received.body.reply, Redirect)
            for seen in untold:
                seen.told = heard
