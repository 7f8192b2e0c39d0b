"""Leader-side quarantine of contents that crash the servers that run them."""

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
    LIFT_VERDICT,
    READ_VERDICTS,
    REPORT_CRASHES,
    REPORT_SERVED,
    TRIAL,
    EvidenceReply,
    Heard,
    QuarantineSnapshot,
    Suspect,
    TrialAnswer,
    TrialReply,
    VerdictEntry,
    VerdictList,
    VerdictsReply,
)
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping

    from ringseam.backends import BackendReport
    from ringseam.control.state import RecordedVerdict
    from ringseam.envelopes import ReceivedMessage
    from ringseam.lifetimes import BackendId
    from ringseam.messages import Redirect
    from ringseam.node import Node
    from ringseam.quarantinemessages import CrashReport, ServedReport, ServerCrash, TrialRequest
    from ringseam.rpc import CallServer

logger = logging.getLogger(__name__)

#: Interval of evaluating the evidence, seconds: well below the 3 s within which gateways
#: must enforce a verdict. Until then a suspected content runs in trial runs only.
EVALUATION_INTERVAL_S = 0.05


class QuarantineService:
    """Collect and evaluate evidence while this replica leads, and inform the gateways."""

    def __init__(
        self,
        *,
        node: Node,
        submit: Callable[[Any], Awaitable[Any]],
        notify_watchers: Callable[[], None],
        redirect: Callable[[], Redirect | None],
        is_planned: Callable[[BackendId], bool],
    ) -> None:
        """Start without evidence or verdicts.

        :param submit: commits a command to the replicated log.
        :param notify_watchers: makes waiting watches check for changes.
        :param redirect: returns a redirect to the leader; None if this replica leads.
        :param is_planned: returns whether a lifetime has announced its departure.
        """
        self.node = node
        self.submit = submit
        self.notify_watchers = notify_watchers
        self.redirect = redirect
        self.is_planned = is_planned
        self.quarantine = Quarantine()
        self.tasks = TaskSet()

    def start_leadership(self, recorded: Mapping[str, RecordedVerdict]) -> None:
        """Start with the recorded verdicts only; gateways send their evidence again."""
        now = self.node.clock.now()
        self.quarantine = Quarantine()
        for content, record in recorded.items():
            verdict = Verdict(
                service=record.service,
                account=record.account,
                software=frozenset(record.software),
                quarantined_at=now,
                keys=frozenset(map(ContentId, record.keys)),
                is_scoped=record.is_scoped,
                lifts=record.lifts,
            )
            self.quarantine.restore(ContentId(content), verdict)

    # -- RPC methods for gateways -------------------------------------------

    def serve(self, server: CallServer) -> None:
        """Register the methods that gateways call."""
        server.add(REPORT_CRASHES, self.handle_crashes)
        server.add(REPORT_SERVED, self.handle_served)
        server.add(TRIAL, self.handle_trial)
        server.add(READ_VERDICTS, self.handle_read)
        server.add(LIFT_VERDICT, self.handle_lift)

    async def handle_crashes(self, received: ReceivedMessage) -> EvidenceReply:
        """Record which contents were in flight on servers that crashed."""
        redirect = self.redirect()
        if redirect is not None:
            return EvidenceReply(reply=redirect)
        report: CrashReport = received.body
        for crash in report.ends:
            self._record_crash(crash)
        return EvidenceReply(reply=Heard())

    async def handle_served(self, received: ReceivedMessage) -> EvidenceReply:
        """Record that a server answered a content: it doesn't crash this version."""
        redirect = self.redirect()
        if redirect is not None:
            return EvidenceReply(reply=redirect)
        served: ServedReport = received.body
        with self._publish_changes():
            now = self.node.clock.now()
            for key in (served.content, *served.parts):
                self.quarantine.record_answer(key, served.software, now)
        return EvidenceReply(reply=Heard())

    async def handle_trial(self, received: ReceivedMessage) -> TrialReply:
        """Return whether a suspected content may run now, or record that its run is over."""
        redirect = self.redirect()
        if redirect is not None:
            return TrialReply(reply=redirect)
        request: TrialRequest = received.body
        if request.over:
            self.quarantine.finish_trial(request.content)
            return TrialReply(reply=TrialAnswer(state=TrialState.granted.value))
        now = self.node.clock.now()
        suspect = Suspect(content=request.content, account=request.account, parts=request.parts)
        state = self.quarantine.request_run(suspect, now, request.lasts_ms / MS_PER_S)
        self.node.events.emit(
            logger,
            Event.trial_asked,
            content=request.content,
            state=state.value,
        )
        return TrialReply(reply=TrialAnswer(state=state.value))

    # -- RPC methods for operators ------------------------------------------

    async def handle_read(self, received: ReceivedMessage) -> VerdictsReply:
        """Return the verdicts in force."""
        redirect = self.redirect()
        return VerdictsReply(reply=self._list_verdicts() if redirect is None else redirect)

    async def handle_lift(self, received: ReceivedMessage) -> VerdictsReply:
        """Lift a verdict for a retest, and return the others."""
        redirect = self.redirect()
        if redirect is not None:
            return VerdictsReply(reply=redirect)
        with self._publish_changes():
            self.quarantine.lift(received.body.verdict)
        return VerdictsReply(reply=self._list_verdicts())

    # -- reports and snapshots ----------------------------------------------

    def record_report(self, report: BackendReport, software: set[str], *, is_alive: bool) -> None:
        """Record a server's report and the software versions of its service.

        :param is_alive: whether the report shows that the server is alive; a late one
            of a replaced lifetime doesn't.
        """
        with self._publish_changes():
            if is_alive:
                self.quarantine.record_report(report.instance, self.node.clock.now())
            self.quarantine.update_software(report.service, software)

    def snapshot(self) -> QuarantineSnapshot:
        """Return verdicts, suspects and confined accounts, which gateways enforce."""
        wall_ms = self.node.clock.wall_ms()
        now = self.node.clock.now()
        return QuarantineSnapshot(
            version=self.quarantine.version,
            quarantined={
                content: wall_ms - int((now - verdict.quarantined_at) * MS_PER_S)
                for content, verdict in self.quarantine.verdicts.items()
            },
            keys={
                known_id: tuple(sorted(verdict.keys))
                for known_id, verdict in self.quarantine.verdicts.items()
                if verdict.keys != {known_id}
            },
            accounts={
                known_id: verdict.account
                for known_id, verdict in self.quarantine.verdicts.items()
                if verdict.is_scoped
            },
            suspects=tuple(self.quarantine.suspects),
            confined=tuple(self.quarantine.confined),
        )

    async def run_evaluation(self) -> None:
        """Evaluate the evidence at short intervals."""
        while True:  # noqa: WPS457 - cancelled with the role
            await asyncio.sleep(EVALUATION_INTERVAL_S)
            self._evaluate()

    # -- helpers ------------------------------------------------------------

    @contextlib.contextmanager
    def _publish_changes(self) -> Iterator[None]:
        """Notify gateways of what the block changes; record new and released verdicts."""
        version = self.quarantine.version
        released = dict(self.quarantine.verdicts)
        yield
        for content in released.keys() - self.quarantine.verdicts.keys():
            self._release(content, self._release_reason(content, released[content]))
        for content in self.quarantine.verdicts.keys() - released.keys():
            self._record_verdict(content)
        if self.quarantine.version != version:
            self.notify_watchers()

    def _list_verdicts(self) -> VerdictList:
        now = self.node.clock.now()
        return VerdictList(
            verdicts=tuple(
                VerdictEntry(
                    verdict=known_id,
                    keys=tuple(sorted(verdict.keys)),
                    service=verdict.service,
                    account=verdict.account,
                    is_scoped=verdict.is_scoped,
                    software=tuple(sorted(verdict.software)),
                    crashes=tuple(sorted(verdict.crashes)),
                    age_s=round(now - verdict.quarantined_at, 1),
                    lifts=verdict.lifts,
                )
                for known_id, verdict in self.quarantine.verdicts.items()
            )
        )

    def _release_reason(self, content: ContentId, released: Verdict) -> str:
        if content in self.quarantine.lifted:
            return 'lifted for a retest'
        if any(verdict.covers(released) for verdict in self.quarantine.verdicts.values()):
            return 'covered by another verdict'
        return 'evidence refuted'

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
        # A planned end is no evidence against the contents that were in flight.
        if not planned:
            with self._publish_changes():
                self.quarantine.record_crash(crash, self.node.clock.now())

    def _evaluate(self) -> None:
        known = set(self.quarantine.verdicts)
        with self._publish_changes():
            quarantined = self.quarantine.evaluate(self.node.clock.now())
        for extended in known.intersection(quarantined):
            self._record_verdict(extended)

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
            keys=sorted(verdict.keys),
            scoped=verdict.is_scoped,
        )
        command = RecordVerdict(
            content=content,
            service=verdict.service,
            account=verdict.account,
            software=software,
            lifts=verdict.lifts,
            keys=() if verdict.keys == {content} else tuple(sorted(verdict.keys)),
            is_scoped=verdict.is_scoped,
        )
        self.tasks.spawn(self._commit(command))

    def _release(self, content: ContentId, reason: str) -> None:
        self.node.events.emit(logger, Event.content_released, content=content, reason=reason)
        self.tasks.spawn(self._commit(RecordVerdict(content=content, lifted=True)))

    async def _commit(self, command: RecordVerdict) -> None:
        """Record a verdict in the log, so that it outlives this leader and a power failure."""
        outcome = await self.submit(command)
        if isinstance(outcome, NotLeading):
            # Gateways that have the verdict enforce it, and resend evidence to the next leader.
            logger.warning(
                'verdict on content %s not committed: lost leadership or no quorum', command.content
            )
