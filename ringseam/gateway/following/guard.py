"""Protection of backend servers against contents that crash every server that runs them.

A gateway reports to the leader what was in flight on a crashed server, and enforces the
verdicts of the leader. Without a leader it decides on its own observations, which costs three
servers per gateway.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.evidence import EVIDENCE_RETENTION_S, RecentAnswers
from ringseam.gateway.following.ends import LEADER_CALL_S, CrashReporter
from ringseam.messages import Redirect
from ringseam.quarantine import Quarantine, TrialState
from ringseam.quarantinemessages import (
    REPORT_SERVED,
    TRIAL,
    QuarantineSnapshot,
    ServedReport,
    ServerCrash,
    TrialRequest,
)
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.node import Node
    from ringseam.rpc import CallClient
    from ringseam.web.pool import HttpChannelPool

logger = logging.getLogger(__name__)

#: Delay after which a client may retry a suspected content whose trial run is in progress,
#: seconds: most runs are shorter, and the client loses little time.
RETRY_AFTER_S = 1.0


class QuarantineGuard:  # noqa: WPS214 - evidence and verdicts in one place
    """Evidence that this gateway collects, and the verdicts that it enforces."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthTracker,
        pool: HttpChannelPool,
    ) -> None:
        """Report to the leader that ``follower`` is connected to."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.recent_answers = RecentAnswers()
        #: Verdicts based only on the observations of this gateway.
        self.local_quarantine = Quarantine()
        self.tasks = TaskSet()
        #: When suspected contents were last in flight on a server that crashed.
        self.last_crash_at: dict[ContentId, float] = {}
        self.crashes = CrashReporter(
            node=node,
            client=client,
            follower=follower,
            health=health,
            pool=pool,
            recent_answers=self.recent_answers,
            on_crash=self._on_crash,
        )
        #: The quarantine and the epoch that were last applied.
        self.applied_snapshot = QuarantineSnapshot(version=0)
        self.epoch = ''

    # -- evidence -----------------------------------------------------------

    def record_success(self, server: BackendReport, content: ContentId) -> None:
        """Record that a server answered a content successfully, so it survives the content."""
        now = self.clock.now()
        self.recent_answers.record(content, server.software, now)
        if (
            content in self.local_quarantine.evidence.crashes_by_content
            or self._is_listed_by_leader(content)
        ):
            self.local_quarantine.record_answer(content, server.software, now)
            self.crashes.clear_content(content, server.software)
            self._report_served(content, server.software)

    # -- admission ----------------------------------------------------------

    async def admit(self, context: RequestContext) -> TrialState:
        """Return whether a request may be sent to a server now."""
        content = context.content_id
        if self.is_quarantined(content):
            return TrialState.quarantined
        if context.trial_at is not None:
            if self._is_trial_valid(content, context.trial_at):
                return TrialState.granted
            context.trial_at = None
            await self._release_trial(content)
        if not self._is_suspected(content):
            return TrialState.granted
        requested_at = self.clock.now()
        state = await self._request_trial(content, max(0, context.deadline - requested_at))
        if state is TrialState.granted:
            context.trial_at = requested_at
        return state

    def end_trial(self, context: RequestContext) -> None:
        """Release the trial run of a request that has answered or finished."""
        if context.trial_at is not None:
            context.trial_at = None
            self.tasks.spawn(self._release_trial(context.content_id))

    def may_process_pieces(self, content: ContentId, *, trial_at: float | None) -> bool:
        """Return whether pieces of a request may be processed."""
        if self.is_quarantined(content):
            return False
        if trial_at is not None:
            return self._is_trial_valid(content, trial_at)
        return not self._is_suspected(content)

    def is_quarantined(self, content: ContentId) -> bool:
        """Return whether a content is known to crash servers."""
        if content in self.follower.quarantine.quarantined:
            return True
        return not self.follower.is_connected and content in self.local_quarantine.verdicts

    # -- updates ------------------------------------------------------------

    def apply_quarantine(self) -> None:
        """Apply the quarantine and the epoch that the follower has received."""
        snapshot = self.follower.quarantine
        # The epoch is empty while the full directory is requested from the same leader.
        if self.follower.epoch not in {'', self.epoch}:
            self.epoch = self.follower.epoch
            self.crashes.leader_changed()
        if snapshot is self.applied_snapshot:
            return
        for content in snapshot.quarantined.keys() - self.applied_snapshot.quarantined.keys():
            self.node.events.emit(
                logger,
                Event.quarantine_in_force,
                content=content,
                since_ms=snapshot.quarantined[content],
                version=snapshot.version,
            )
        self.applied_snapshot = snapshot
        now = self.clock.now()
        for known, software in list(self.recent_answers.answered_at):
            if known in snapshot.suspects and self.recent_answers.contains(known, software, now):
                self._report_served(known, software)

    def evaluate(self) -> None:
        """Evaluate local evidence, for times without a leader, and run periodic work."""
        now = self.clock.now()
        self.local_quarantine.evaluate(now)
        self.crashes.tick(now)
        oldest = now - EVIDENCE_RETENTION_S
        self.last_crash_at = {name: at for name, at in self.last_crash_at.items() if at > oldest}

    # -- helpers ------------------------------------------------------------

    def _is_trial_valid(self, content: ContentId, trial_at: float) -> bool:
        """Return whether no server has crashed during the trial run.

        Only one run was granted; a retry would cost another server, as the verdict follows
        slightly later.
        """
        return self.last_crash_at.get(content, float('-inf')) < trial_at

    def _on_crash(self, crash: ServerCrash, at: float) -> None:
        self.local_quarantine.record_crash(crash, at)
        for suspect in crash.suspects:
            if self._is_suspected(suspect.content):
                self.last_crash_at[suspect.content] = at

    def _is_listed_by_leader(self, content: ContentId) -> bool:
        snapshot = self.follower.quarantine
        return content in snapshot.suspects or content in snapshot.quarantined

    def _is_suspected(self, content: ContentId) -> bool:
        return (
            content in self.follower.quarantine.suspects
            or content in self.local_quarantine.suspects
        )

    async def _request_trial(self, content: ContentId, duration_s: float) -> TrialState:
        """Request a trial run; without a leader local evidence decides."""
        if self.follower.is_connected:
            await self.crashes.flush()
            return await self._request_trial_from_leader(content, duration_s)
        return self.local_quarantine.request_run(content, self.clock.now(), duration_s)

    async def _release_trial(self, content: ContentId) -> None:
        """Allow another trial run to start."""
        self.local_quarantine.finish_trial(content)
        if self.follower.is_connected:
            await self._send_trial_end(content)

    async def _request_trial_from_leader(self, content: ContentId, duration_s: float) -> TrialState:
        request = TrialRequest(content=content, lasts_ms=int(duration_s * MS_PER_S))
        try:
            received = await self.client.call(
                self.follower.leader,
                TRIAL,
                request,
                timeout_s=LEADER_CALL_S,
            )
        except UnreachableError as error:
            logger.debug('trial run could not be requested: %s', error)
            return TrialState.busy
        reply = received.body.reply
        return TrialState.busy if isinstance(reply, Redirect) else TrialState(reply.state)

    def _report_served(self, content: ContentId, software: str) -> None:
        report = ServedReport(content=content, software=software)
        self.tasks.spawn(self._send_served_report(report))

    async def _send_served_report(self, report: ServedReport) -> None:
        if not self.follower.is_connected:
            return
        try:
            await self.client.call(
                self.follower.leader, REPORT_SERVED, report, timeout_s=LEADER_CALL_S
            )
        except UnreachableError as error:
            logger.debug('report of a served content was not delivered: %s', error)

    async def _send_trial_end(self, content: ContentId) -> None:
        request = TrialRequest(content=content, over=True)
        try:
            await self.client.call(self.follower.leader, TRIAL, request, timeout_s=LEADER_CALL_S)
        except UnreachableError as error:
            # The leader considers the run finished at the deadline of the request.
            logger.debug('end of a trial run was not reported: %s', error)
