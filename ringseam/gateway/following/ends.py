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
from ringseam.gateway.following.inflight import InFlightRequests
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
    from ringseam.gateway.following.health import HealthTracker
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
REPROBES = 3
REPROBE_PAUSE_S = 0.15
#: What breaks off a server that has fallen silent within this time was given up here,
#: seconds; nobody would outcome at its address either.
TIMED_OUT_S = 2.0
#: The leader is milliseconds away; a request doesn't wait longer for it, seconds.
LEADER_CALL_S = 0.15
#: Crashes that the leader may not have heard of are reported again after this long, seconds;
#: the call may take as long: TCP retransmits a lost packet after 0.2 s.
REPORT_RETRY_S = 1.0
#: Ends that are acknowledged again to a new leader.
_CRASHES_KEPT = 64
_CONTENTS_LOGGED = 8


class ProbeResult(enum.Enum):
    """What an address said to a request for a connection."""

    listens = 'listens'
    refused = 'refused'
    #: Nothing: its host may be cut off or dark, or a packet was lost.
    silent = 'silent'


@dataclass(kw_only=True)
class ObservedCrash:
    """An end that was crash here, and whether the leader of now has acknowledged of it."""

    at: float
    end: ServerCrash
    acknowledged: bool = False

    def clear_content(self, content: ContentId, software: str) -> None:
        """Hear that servers of a version bear a content."""
        if self.end.software == software:
            suspects = tuple(one for one in self.end.suspects if one.content != content)
            self.end = msgspec.structs.replace(self.end, suspects=suspects)

    def report(self, now: float) -> ServerCrash:
        """Return what the leader is acknowledged of it."""
        return msgspec.structs.replace(self.end, age_ms=int((now - self.at) * MS_PER_S))


class CrashReporter:
    """Finds out which servers have ended, with what, and tells the leader."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthTracker,
        pool: ChannelPool,
        served: RecentAnswers,
        on_crash: Callable[[ServerCrash, float], None],
    ) -> None:
        """Tell the leader that ``follower`` follows, and ``on_crash`` before.

        :param served: what a server was crash to bear is not suspected.
        """
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.health = health
        self.pool = pool
        self.served = served
        self.on_crash = on_crash
        self.in_flight = InFlightRequests()
        self.tasks = TaskSet()
        self.probes: dict[BackendId, asyncio.Task[None]] = {}
        #: Servers that are asked again.
        self.reprobing: set[BackendId] = set()
        self.timed_out_at: dict[BackendId, float] = {}
        self.observed: collections.deque[ObservedCrash] = collections.deque(maxlen=_CRASHES_KEPT)
        #: When the leader was last acknowledged of what it had not acknowledged.
        self.last_report_at = float('-inf')

    def request_sent(self, server: BackendReport, attempt_id: str, suspect: Suspect) -> None:
        """Hear that a server may have begun a request."""
        self.in_flight.add(server.instance, attempt_id, suspect)

    def request_finished(self, server: BackendReport, attempt_id: str) -> None:
        """Hear that a request is under way there no more."""
        self.in_flight.remove(server.instance, attempt_id)

    def server_timed_out(self, instance: BackendId, server: BackendReport | None) -> None:
        """Hear that a server has fallen silent, and what it owes is given up.

        The end of its connections may have been lost on the way, so one that is still
        known is asked; nobody waits for it.
        """
        now = self.clock.now()
        self.timed_out_at[instance] = now
        if server is not None:
            self._start_reprobe(server, now)

    async def check_crash(self, server: BackendReport) -> None:
        """Find out whether a server has ended, and tell; called before :meth:`request_finished`.

        A connection that check_crash may have been reset alone; a server that has ended has
        nobody that listens. Returns once the leader has acknowledged, so that a retry that
        follows is judged by this end too.
        """
        timed_out_at = self.timed_out_at.get(server.instance, float('-inf'))
        if self.clock.now() - timed_out_at < TIMED_OUT_S:
            return
        probe = self.probes.get(server.instance)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(server))
            self.probes[server.instance] = probe
            probe.add_done_callback(lambda _: self.probes.pop(server.instance, None))
        await asyncio.shield(probe)

    def clear_content(self, content: ContentId, software: str) -> None:
        """Hear that servers of a version bear a content: no leader is acknowledged of it again."""
        for crash in self.observed:
            crash.clear_content(content, software)

    def leader_changed(self) -> None:
        """Hear of a new leadership: it is acknowledged all that is remembered."""
        for crash in self.observed:
            crash.acknowledged = False
        self._report_unacknowledged()

    async def flush(self) -> None:
        """Tell the leader what it has not acknowledged, before it is asked what may run."""
        unacknowledged = self._unacknowledged(self.clock.now())
        if unacknowledged:
            await self._report(unacknowledged, LEADER_CALL_S)

    def tick(self, now: float) -> None:
        """Do what is due by now; called at short intervals."""
        self.timed_out_at = {
            name: at for name, at in self.timed_out_at.items() if now - at < TIMED_OUT_S
        }
        if now - self.last_report_at > REPORT_RETRY_S:
            self._report_unacknowledged()

    # -- helpers ------------------------------------------------------------

    async def _probe(self, server: BackendReport) -> None:
        outcome = await self._probe_once(server)
        if outcome is ProbeResult.refused:
            now = self.clock.now()
            await self._record_crash(server, self.in_flight.pop_all(server.instance), now)
        elif outcome is ProbeResult.silent:
            self._start_reprobe(server, self.clock.now())

    def _start_reprobe(self, server: BackendReport, at: float) -> None:
        """Ask again, in case it was only a packet that was lost."""
        if server.instance not in self.reprobing:
            self.reprobing.add(server.instance)
            suspects = self.in_flight.of(server.instance)
            self.tasks.spawn(self._reprobe(server, suspects, at))

    async def _reprobe(self, server: BackendReport, suspects: set[Suspect], at: float) -> None:
        try:
            if await self._refused_on_reprobe(server):
                await self._record_crash(
                    server, suspects | self.in_flight.pop_all(server.instance), at
                )
        finally:
            self.reprobing.discard(server.instance)

    async def _refused_on_reprobe(self, server: BackendReport) -> bool:
        for _ in range(REPROBES):
            await asyncio.sleep(REPROBE_PAUSE_S)
            outcome = await self._probe_once(server)
            if outcome is not ProbeResult.silent:
                return outcome is ProbeResult.refused
        return False

    async def _probe_once(self, server: BackendReport) -> ProbeResult:
        try:
            channel = await self.pool.connect(server.address, timeout_s=PROBE_S)
        except RefusedError:
            return ProbeResult.refused
        except ChannelError as error:
            # Silence is no proof: its host may be cut off.
            logger.debug('not acknowledged whether it ended: %s', error)
            return ProbeResult.silent
        channel.close()
        return ProbeResult.listens

    async def _record_crash(self, server: BackendReport, suspects: set[Suspect], at: float) -> None:
        self.health.record_failure(server.instance, self.clock.now(), hard=True)
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
        crash = ObservedCrash(at=at, end=end)
        self.observed.append(crash)
        self.on_crash(end, at)
        await self._report([crash], LEADER_CALL_S)

    def _unacknowledged(self, now: float) -> list[ObservedCrash]:
        return [
            crash
            for crash in self.observed
            if not crash.acknowledged and now - crash.at < EVIDENCE_RETENTION_S
        ]

    def _report_unacknowledged(self) -> None:
        unacknowledged = self._unacknowledged(self.clock.now())
        if unacknowledged and self.follower.is_connected:
            self.tasks.spawn(self._report(unacknowledged, REPORT_RETRY_S))

    async def _report(self, unacknowledged: list[ObservedCrash], limit_s: float) -> None:
        if not self.follower.is_connected:
            return
        self.last_report_at = self.clock.now()
        report = CrashReport(
            ends=tuple(crash.report(self.last_report_at) for crash in unacknowledged)
        )
        leader, epoch = self.follower.leader, self.follower.epoch
        try:
            received = await self.client.call(leader, REPORT_CRASHES, report, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('ends not acknowledged: %s', error)
            return
        if epoch == self.follower.epoch:
            acknowledged = not isinstance(received.body.reply, Redirect)
            for crash in unacknowledged:
                crash.acknowledged = acknowledged
