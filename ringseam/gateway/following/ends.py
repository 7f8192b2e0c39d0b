"""Detection of backend server crashes by one gateway, and their reports to the leader."""

from __future__ import annotations

import asyncio
import collections
import enum
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.contents import is_part
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.evidence import EVIDENCE_RETENTION_S
from ringseam.gateway.following.crashsharing import CrashSharing
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
    from ringseam.gateway.following.inflight import InFlightRequest
    from ringseam.lifetimes import BackendId
    from ringseam.node import Node
    from ringseam.quarantinemessages import Suspect
    from ringseam.rpc import CallClient
    from ringseam.web.pool import HttpChannelPool

logger = logging.getLogger(__name__)

#: Timeout of a probe, seconds: a running host refuses a connection within a millisecond; one
#: that is partitioned or without power does not answer. A retry waits for the probe.
PROBE_S = 0.1
#: A probe without an answer is repeated this often and at this interval, seconds, in the
#: background: on a link that loses three packets in ten, at least one of four probes gets its
#: answer with probability 0.93. A crashed server restarts after a second or more.
REPROBES = 3
REPROBE_PAUSE_S = 0.15
#: Connection failures within this time after a server timed out, seconds, are caused by this
#: gateway abandoning its requests; a probe would not be answered either.
TIMED_OUT_S = 2.0
#: A server that closes idle connections early is probed no more often than this, seconds.
IDLE_PROBE_INTERVAL_S = 1.0
#: The round trip to the leader takes milliseconds; a request waits for it no longer than this,
#: seconds.
LEADER_CALL_S = 0.15
#: Crashes that the leader may not have received are reported again after this long, seconds.
#: The call has the same timeout: a lost packet is retransmitted after 0.2 s.
REPORT_RETRY_S = 1.0
#: Maximum number of crashes that are reported again to a new leader.
_CRASHES_KEPT = 64
_CONTENTS_LOGGED = 8


class ProbeResult(enum.Enum):
    """Result of an attempt to connect to the address of a server."""

    listens = 'listens'
    refused = 'refused'
    #: No answer: the host may be partitioned or without power, or a packet was lost.
    silent = 'silent'


@dataclass(kw_only=True)
class ObservedCrash:
    """A crash that this gateway observed, and whether the current leader knows of it."""

    at: float
    crash: ServerCrash
    acknowledged: bool = False

    def clear_key(self, key: ContentId, software: str) -> None:
        """Remove a content that servers of ``software`` survive, or a part, from the suspects."""
        if is_part(key):
            cleared = tuple(one.without({key}) for one in self.crash.suspects)
            self.crash = msgspec.structs.replace(self.crash, suspects=cleared)
        elif self.crash.software == software:
            kept = [
                (one, ran_ms)
                for one, ran_ms in self.crash.suspects_with_age()
                if one.content != key
            ]
            self.crash = msgspec.structs.replace(
                self.crash,
                suspects=tuple(one for one, _ in kept),
                ran_ms=tuple(ran_ms for _, ran_ms in kept),
            )

    def report(self, now: float) -> ServerCrash:
        """Return the crash as reported to the leader."""
        return msgspec.structs.replace(self.crash, age_ms=int((now - self.at) * MS_PER_S))


class CrashReporter:
    """Detect which servers have crashed with which requests in flight, and report it."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthTracker,
        pool: HttpChannelPool,
        recent_answers: RecentAnswers,
        on_crash: Callable[[ServerCrash, float], None],
    ) -> None:
        """Call ``on_crash`` and then report to the leader that ``follower`` is connected to.

        :param recent_answers: successful answers of servers; their contents are not suspected.
        """
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.health = health
        self.pool = pool
        pool.on_refused = self.connection_refused
        pool.on_idle_closed = self.idle_connection_closed
        self.recent_answers = recent_answers
        self.on_crash = on_crash
        self.sharing = CrashSharing(node=node, client=client, follower=follower)
        self.in_flight = InFlightRequests()
        self.tasks = TaskSet()
        self.probes: dict[BackendId, asyncio.Task[bool]] = {}
        #: Servers that are being probed again.
        self.reprobing: set[BackendId] = set()
        self.timed_out_at: dict[BackendId, float] = {}
        #: When a server was probed because it had closed an idle connection.
        self.idle_probed_at: dict[BackendId, float] = {}
        self.observed: collections.deque[ObservedCrash] = collections.deque(maxlen=_CRASHES_KEPT)
        #: When crashes were last reported to the leader.
        self.last_report_at = float('-inf')

    def request_sent(self, server: BackendReport, attempt_id: str, suspect: Suspect) -> None:
        """Record that a server may have started a request."""
        self.in_flight.add(server.instance, attempt_id, suspect, self.clock.now())

    def request_finished(self, server: BackendReport, attempt_id: str) -> None:
        """Record that a request is no longer in flight on a server."""
        self.in_flight.remove(server.instance, attempt_id)

    async def is_listening(self, server: BackendReport) -> bool:
        """Return whether a server accepts a connection."""
        return await self._probe_once(server) is ProbeResult.listens

    def server_recovered(self, instance: BackendId) -> None:
        """Record that a server that stopped responding goes on."""
        self.timed_out_at.pop(instance, None)

    def server_timed_out(self, instance: BackendId, server: BackendReport | None) -> None:
        """Record that a server stopped responding and its requests are abandoned.

        The reset of its connections may have been lost, so a server that is still known is
        probed in the background.
        """
        now = self.clock.now()
        self.timed_out_at[instance] = now
        if server is not None:
            self._start_reprobe(server, now)

    def connection_refused(self, address: str) -> None:
        """Record that nobody listened at an address."""
        accepted_ms = self.pool.accepted_ms.get(address, 0)
        self.follower.record_refused(address, accepted_ms=accepted_ms)

    def idle_connection_closed(self, address: str) -> None:
        """Probe a server that closed an idle connection early, if it may continue streams.

        A crash may show by nothing else before the server runs again.
        """
        now = self.clock.now()
        for service in self.follower.table.stream_limits_s:
            for server in self.follower.view.serving(service):
                probed_at = self.idle_probed_at.get(server.instance, float('-inf'))
                if server.address == address and now - probed_at >= IDLE_PROBE_INTERVAL_S:
                    self.idle_probed_at[server.instance] = now
                    self.tasks.spawn(self.check_crash(server))

    async def check_crash(self, server: BackendReport) -> bool:
        """Probe whether a server has crashed, and report it; return whether it has.

        To be called before :meth:`request_finished`. A broken connection may have been reset
        alone, but a crashed server no longer listens on its address. Returns once the leader
        has answered, so that it takes this crash into account for a retry that follows.
        """
        timed_out_at = self.timed_out_at.get(server.instance, float('-inf'))
        if self.clock.now() - timed_out_at < TIMED_OUT_S:
            return False
        probe = self.probes.get(server.instance)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._probe(server))
            self.probes[server.instance] = probe
            probe.add_done_callback(lambda _: self.probes.pop(server.instance, None))
        return await asyncio.shield(probe)

    def clear_key(self, key: ContentId, software: str) -> None:
        """Stop reporting a content that servers of ``software`` survive, or a part."""
        for observed in self.observed:
            observed.clear_key(key, software)

    def leader_changed(self) -> None:
        """Report all remembered crashes to a new leader."""
        for observed in self.observed:
            observed.acknowledged = False
        self._retry_reports()

    async def flush(self) -> None:
        """Report unacknowledged crashes before the leader is asked for a trial run."""
        unacknowledged = self._unacknowledged(self.clock.now())
        if unacknowledged:
            await self._report(unacknowledged, LEADER_CALL_S)

    def tick(self, now: float) -> None:
        """Run periodic work that is due; called at short intervals."""
        self.timed_out_at = {
            name: at for name, at in self.timed_out_at.items() if now - at < TIMED_OUT_S
        }
        self.idle_probed_at = {
            name: at for name, at in self.idle_probed_at.items() if now - at < IDLE_PROBE_INTERVAL_S
        }
        if now - self.last_report_at > REPORT_RETRY_S:
            self._retry_reports()

    # -- helpers ------------------------------------------------------------

    async def _probe(self, server: BackendReport) -> bool:
        outcome = await self._probe_once(server)
        if outcome is ProbeResult.refused:
            now = self.clock.now()
            await self._record_crash(server, self.in_flight.pop_all(server.instance), now)
        elif outcome is ProbeResult.silent:
            self._start_reprobe(server, self.clock.now())
        return outcome is ProbeResult.refused

    def _start_reprobe(self, server: BackendReport, at: float) -> None:
        """Probe again in the background, in case only a packet was lost."""
        if server.instance not in self.reprobing:
            self.reprobing.add(server.instance)
            requests = self.in_flight.of(server.instance)
            self.tasks.spawn(self._reprobe(server, requests, at))

    async def _reprobe(
        self, server: BackendReport, requests: set[InFlightRequest], at: float
    ) -> None:
        try:
            if await self._refused_on_reprobe(server):
                await self._record_crash(
                    server, requests | self.in_flight.pop_all(server.instance), at
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
            # No answer proves nothing: the host may be partitioned.
            logger.debug('probe did not show whether the server has crashed: %s', error)
            return ProbeResult.silent
        channel.close()
        return ProbeResult.listens

    async def _record_crash(
        self, server: BackendReport, requests: set[InFlightRequest], at: float
    ) -> None:
        self.health.record_failure(server.instance, self.clock.now(), hard=True)
        if not requests:
            return
        sent_at = {
            request.suspect: request.sent_at
            for request in sorted(requests, key=_sent_at)
            if request.suspect.content
            and not self.recent_answers.contains(request.suspect.content, server.software, at)
        }
        crash = ServerCrash(
            instance=server.instance,
            service=server.service,
            software=server.software,
            suspects=tuple(self._without_answered(suspect, at) for suspect in sent_at),
            ran_ms=tuple(int((at - since) * MS_PER_S) for since in sent_at.values()),
        )
        self.node.events.emit(
            logger,
            Event.backend_ended,
            backend=server.instance,
            under_way=len({request.suspect for request in requests}),
            contents=[suspect.content for suspect in crash.suspects][:_CONTENTS_LOGGED],
        )
        observed = ObservedCrash(at=at, crash=crash)
        self.observed.append(observed)
        self.on_crash(crash, at)
        await self._report([observed], LEADER_CALL_S)

    def _without_answered(self, suspect: Suspect, at: float) -> Suspect:
        """Return a request without the parts that servers have answered lately."""
        answered = {part for part in suspect.parts if self.recent_answers.contains(part, '', at)}
        return suspect.without(answered)

    def _unacknowledged(self, now: float) -> list[ObservedCrash]:
        return [
            observed
            for observed in self.observed
            if not observed.acknowledged and now - observed.at < EVIDENCE_RETENTION_S
        ]

    def _retry_reports(self) -> None:
        unacknowledged = self._unacknowledged(self.clock.now())
        if unacknowledged and self.follower.is_connected:
            self.tasks.spawn(self._report(unacknowledged, REPORT_RETRY_S))

    async def _report(self, unacknowledged: list[ObservedCrash], limit_s: float) -> None:
        if not self.follower.is_connected:
            return
        self.last_report_at = self.clock.now()
        report = CrashReport(
            ends=tuple(observed.report(self.last_report_at) for observed in unacknowledged)
        )
        leader, epoch = self.follower.leader, self.follower.epoch
        try:
            received = await self.client.call(leader, REPORT_CRASHES, report, timeout_s=limit_s)
        except UnreachableError as error:
            logger.debug('crashes not reported: %s', error)
            return
        if epoch == self.follower.epoch:
            acknowledged = not isinstance(received.body.reply, Redirect)
            for observed in unacknowledged:
                observed.acknowledged = acknowledged


def _sent_at(request: InFlightRequest) -> float:
    return request.sent_at
