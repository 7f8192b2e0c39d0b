"""Protection of backend servers against requests that crash every server that runs them.

A gateway reports to the leader what was in flight on a crashed server, and enforces the
verdicts of the leader. Without a leader it decides on its own observations, which costs three
servers per gateway.
"""

from __future__ import annotations

import asyncio
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
    Suspect,
    TrialRequest,
)
from ringseam.util.tasks import TaskSet
from ringseam.verdicts import EnforcedVerdicts

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
#: A trial run is over this long after its first event, seconds: requests that crash servers do
#: so as the response begins, in some cases after an event. A complete response takes seconds,
#: in which others that are suspected of the same crash would have to wait.
SURVIVAL_S = 0.5


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
        #: When suspected contents and parts were last in flight on a server that crashed.
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
        self.enforced = EnforcedVerdicts(snapshot=self.applied_snapshot)
        self.epoch = ''

    # -- evidence -----------------------------------------------------------

    def record_success(self, server: BackendReport, suspect: Suspect) -> None:
        """Record that a server answered a request successfully, so it survives the request."""
        now = self.clock.now()
        listed = []
        for key in suspect.keys:
            self.recent_answers.record(key, server.software, now)
            if self._is_listed(key):
                listed.append(key)
                self.local_quarantine.record_answer(key, server.software, now)
                self.crashes.clear_key(key, server.software)
        if listed:
            self._report_served(suspect, server.software)

    # -- admission ----------------------------------------------------------

    async def admit(self, context: RequestContext, *, reads_prompt: bool = True) -> TrialState:
        """Return whether a request may be sent to a server now.

        :param reads_prompt: whether the server reads the prompt; those that run stages don't,
            so suspected parts need no trial run there.
        """
        if self.is_rejected(context):
            return TrialState.quarantined
        suspect = context.suspect if reads_prompt else context.suspect.without(context.part_ids)
        suspected = frozenset(filter(self._is_suspected, suspect.keys))
        if context.trial_at is not None:
            if suspected <= context.trial_keys and self._is_trial_valid(suspect, context.trial_at):
                return TrialState.granted
            context.trial_at = None
            await self._release_trial(context.content_id)
        if not suspected:
            return TrialState.granted
        requested_at = self.clock.now()
        state = await self._request_trial(suspect, max(0, context.deadline - requested_at))
        if state is TrialState.granted:
            context.trial_at = requested_at
            context.trial_keys = suspected
        return state

    def response_began(self, context: RequestContext) -> None:
        """Release the trial run of a request soon after the first event of its response."""
        if context.trial_at is not None:
            asyncio.get_running_loop().call_later(
                SURVIVAL_S, self._end_same_trial, context, context.trial_at
            )

    def end_trial(self, context: RequestContext) -> None:
        """Release the trial run of a request that has finished."""
        if context.trial_at is not None:
            context.trial_at = None
            self.tasks.spawn(self._release_trial(context.content_id))

    def may_process_pieces(self, suspect: Suspect, *, trial_at: float | None) -> bool:
        """Return whether pieces of a request may be processed."""
        if self.find_verdict(suspect) is not None:
            return False
        if trial_at is not None:
            return self._is_trial_valid(suspect.without(suspect.parts), trial_at)
        return not self._is_suspected(suspect.content)

    def is_rejected(self, context: RequestContext) -> bool:
        """Return whether a request is known to crash servers, and note by which verdict."""
        context.verdict = self.find_verdict(context.suspect)
        return context.verdict is not None

    def find_verdict(self, suspect: Suspect) -> ContentId | None:
        """Return the id of a verdict in force that applies to a request; None: there is none."""
        snapshot = self.follower.quarantine
        if snapshot is not self.enforced.snapshot:
            self.enforced = EnforcedVerdicts(snapshot=snapshot)
        found = self.enforced.find(suspect)
        if found is None and not self.follower.is_connected:
            return self.local_quarantine.find_verdict(suspect)
        return found

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
                keys=snapshot.keys.get(content, (content,)),
                account=snapshot.accounts.get(content, ''),
                since_ms=snapshot.quarantined[content],
                version=snapshot.version,
            )
        self.applied_snapshot = snapshot
        now = self.clock.now()
        for known, software in list(self.recent_answers.answered_at):
            if known in snapshot.suspects and self.recent_answers.contains(known, software, now):
                self._report_served(Suspect(content=known), software)

    def evaluate(self) -> None:
        """Evaluate local evidence, for times without a leader, and run periodic work."""
        now = self.clock.now()
        self.local_quarantine.evaluate(now)
        self.crashes.tick(now)
        oldest = now - EVIDENCE_RETENTION_S
        self.last_crash_at = {name: at for name, at in self.last_crash_at.items() if at > oldest}

    # -- helpers ------------------------------------------------------------

    def _is_trial_valid(self, suspect: Suspect, trial_at: float) -> bool:
        """Return whether no server has crashed during the trial run.

        Only one run was granted; a retry would cost another server, as the verdict follows
        slightly later.
        """
        return all(self.last_crash_at.get(key, float('-inf')) < trial_at for key in suspect.keys)

    def _end_same_trial(self, context: RequestContext, trial_at: float) -> None:
        """End a trial run unless it has ended; a retry may have begun another one."""
        if context.trial_at == trial_at:
            self.end_trial(context)

    def _on_crash(self, crash: ServerCrash, at: float) -> None:
        self.local_quarantine.record_crash(crash, at)
        for suspect in crash.suspects:
            self.last_crash_at.update({key: at for key in suspect.keys if self._is_suspected(key)})

    def _is_listed(self, key: ContentId) -> bool:
        """Return whether there is evidence against a key, here or at the leader."""
        if key in self.local_quarantine.evidence.crashes_by_key:
            return True
        snapshot = self.follower.quarantine
        return key in snapshot.suspects or key in snapshot.quarantined

    def _is_suspected(self, key: ContentId) -> bool:
        return key in self.follower.quarantine.suspects or key in self.local_quarantine.suspects

    async def _request_trial(self, suspect: Suspect, duration_s: float) -> TrialState:
        """Request a trial run; without a leader local evidence decides."""
        if self.follower.is_connected:
            await self.crashes.flush()
            return await self._request_trial_from_leader(suspect, duration_s)
        return self.local_quarantine.request_run(suspect, self.clock.now(), duration_s)

    async def _release_trial(self, content: ContentId) -> None:
        """Allow another trial run to start."""
        self.local_quarantine.finish_trial(content)
        if self.follower.is_connected:
            await self._send_trial_end(content)

    async def _request_trial_from_leader(self, suspect: Suspect, duration_s: float) -> TrialState:
        request = TrialRequest(
            content=suspect.content,
            account=suspect.account,
            parts=tuple(filter(self._is_suspected, suspect.parts)),
            lasts_ms=int(duration_s * MS_PER_S),
        )
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

    def _report_served(self, suspect: Suspect, software: str) -> None:
        report = ServedReport(content=suspect.content, software=software, parts=suspect.parts)
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
