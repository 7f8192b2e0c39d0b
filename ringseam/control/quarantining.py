"""What the leader does about contents that end the servers that run them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Any

from ringseam.clock import MS_PER_S
from ringseam.commands import RecordVerdict
from ringseam.contents import ContentId
from ringseam.control.replicamessages import NotLeading
from ringseam.events import Event
from ringseam.quarantine import Quarantine, TrialState, Verdict
from ringseam.quarantinemessages import (
    REPORT_CRASHES,
    REPORT_SERVED,
    TRIAL,
    EvidenceReply,
    Heard,
    QuarantineSnapshot,
    TrialAnswer,
    TrialReply,
)
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping

    from ringseam.backends import BackendReport
    from ringseam.control.state import RecordedVerdict
    from ringseam.lifetimes import BackendId
    from ringseam.messages import Redirect
    from ringseam.node import Node
    from ringseam.quarantinemessages import CrashReport, ServedReport, ServerCrash, TrialRequest
    from ringseam.rpc import CallServer
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: How often evidence is judged, seconds: well below the 3 s in which gateways must hold
#: to a verdict. Until then what is suspected runs on trial only.
EVALUATION_INTERVAL_S = 0.05


class QuarantineService:
    """Collect evidence while this replica leads, judge it and tell the gateways."""

    def __init__(
        self,
        *,
        node: Node,
        submit: Callable[[Any], Awaitable[Any]],
        notify_watchers: Callable[[], None],
        redirect: Callable[[], Redirect | None],
        is_planned: Callable[[BackendId], bool],
    ) -> None:
        """Record verdicts by ``submit``.

        :param wake: lets watches that wait look again.
        :param redirect: returns where the leader may be; None: here.
        :param is_planned: tells whether a lifetime has said that it leaves.
        """
        self.node = node
        self.submit = submit
        self.notify_watchers = notify_watchers
        self.redirect = redirect
        self.is_planned = is_planned
        self.quarantine = Quarantine()
        self.tasks = TaskSet()

    def start_leadership(self, recorded: Mapping[str, RecordedVerdict]) -> None:
        """Begin a leadership with the verdicts of the log; evidence is sent again."""
        now = self.node.clock.now()
        self.quarantine = Quarantine()
        for content, record in recorded.items():
            verdict = Verdict(
                service=record.service,
                account=record.account,
                software=frozenset(record.software),
                quarantined_at=now,
                lifts=record.lifts,
            )
            self.quarantine.restore(ContentId(content), verdict)

    # -- calls of gateways --------------------------------------------------

    def serve(self, server: CallServer) -> None:
        """Take these calls on a server."""
        server.add(REPORT_CRASHES, self.handle_crashes)
        server.add(REPORT_SERVED, self.handle_served)
        server.add(TRIAL, self.handle_trial)

    async def handle_crashes(self, received: Received) -> EvidenceReply:
        """Hear what was under way on servers that ended."""
        redirect = self.redirect()
        if redirect is not None:
            return EvidenceReply(reply=redirect)
        report: CrashReport = received.body
        for crash in report.ends:
            self._record_crash(crash)
        return EvidenceReply(reply=Heard())

    async def handle_served(self, received: Received) -> EvidenceReply:
        """Hear that a content was answered by a server, so it doesn't end such servers."""
        redirect = self.redirect()
        if redirect is not None:
            return EvidenceReply(reply=redirect)
        served: ServedReport = received.body
        with self._publish_changes():
            self.quarantine.record_answer(served.content, served.software, self.node.clock.now())
        return EvidenceReply(reply=Heard())

    async def handle_trial(self, received: Received) -> TrialReply:
        """Tell whether a suspected content may run now, or hear that its run is over."""
        redirect = self.redirect()
        if redirect is not None:
            return TrialReply(reply=redirect)
        request: TrialRequest = received.body
        if request.over:
            self.quarantine.finish_trial(request.content)
            return TrialReply(reply=TrialAnswer(state=TrialState.granted.value))
        now = self.node.clock.now()
        state = self.quarantine.request_run(request.content, now, request.lasts_ms / MS_PER_S)
        self.node.events.emit(
            logger,
            Event.trial_asked,
            content=request.content,
            state=state.value,
        )
        return TrialReply(reply=TrialAnswer(state=state.value))

    # -- what else is heard and told ----------------------------------------

    def record_report(self, report: BackendReport, software: set[str], *, is_alive: bool) -> None:
        """Hear a server, whether it may live, and which versions its service runs."""
        with self._publish_changes():
            if is_alive:
                self.quarantine.record_report(report.instance, self.node.clock.now())
            self.quarantine.update_software(report.service, software)

    def snapshot(self) -> QuarantineSnapshot:
        """Return all that gateways hold to."""
        wall_ms = self.node.clock.wall_ms()
        now = self.node.clock.now()
        return QuarantineSnapshot(
            version=self.quarantine.version,
            quarantined={
                content: wall_ms - int((now - verdict.quarantined_at) * MS_PER_S)
                for content, verdict in self.quarantine.verdicts.items()
            },
            suspects=tuple(self.quarantine.suspects),
            confined=tuple(self.quarantine.confined),
        )

    async def run_evaluation(self) -> None:
        """Judge the evidence at short intervals."""
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(EVALUATION_INTERVAL_S)
            self._evaluate()

    # -- helpers ------------------------------------------------------------

    @contextlib.contextmanager
    def _publish_changes(self) -> Iterator[None]:
        """Let gateways hear what the block changes, and record what it releases."""
        version = self.quarantine.version
        previous = set(self.quarantine.verdicts)
        yield
        for content in previous - set(self.quarantine.verdicts):
            is_retest = content in self.quarantine.lifted
            self._release(content, 'put to the test' if is_retest else 'servers bear it')
        if self.quarantine.version != version:
            self.notify_watchers()

    def _record_crash(self, crash: ServerCrash) -> None:
        planned = self.is_planned(crash.instance)
        self.node.events.emit(
            logger,
            Event.end_reported,
            backend=crash.instance,
            service=crash.service,
            planned=planned,
            contents=len(crash.suspects),
        )
        # A planned end says nothing of what was under way.
        if not planned:
            with self._publish_changes():
                self.quarantine.record_crash(crash, self.node.clock.now())

    def _evaluate(self) -> None:
        with self._publish_changes():
            quarantined = self.quarantine.evaluate(self.node.clock.now())
        for content in quarantined:
            self._record_verdict(content)

    def _record_verdict(self, content: ContentId) -> None:
        verdict = self.quarantine.verdicts[content]
        software = tuple(sorted(verdict.software))
        self.node.events.emit(
            logger,
            Event.content_quarantined,
            content=content,
            account=verdict.account,
            service=verdict.service,
            ends=sorted(verdict.crashes),
            software=software,
        )
        command = RecordVerdict(
            content=content,
            service=verdict.service,
            account=verdict.account,
            software=software,
            lifts=verdict.lifts,
        )
        self.tasks.spawn(self._commit(command))

    def _release(self, content: ContentId, reason: str) -> None:
        self.node.events.emit(logger, Event.content_released, content=content, reason=reason)
        self.tasks.spawn(self._commit(RecordVerdict(content=content, lifted=True)))

    async def _commit(self, command: RecordVerdict) -> None:
        """Record a verdict, so that it outlives this leader and a loss of all power."""
        outcome = await self.submit(command)
        if isinstance(outcome, NotLeading):
            # Gateways that know it hold to it, and send their evidence to the next leader.
            logger.warning('verdict on %s not recorded', command.content)
