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
JUDGE_S = 0.05


class QuarantineService:
    """Collect evidence while this replica leads, judge it and tell the gateways."""

    def __init__(
        self,
        *,
        node: Node,
        submit: Callable[[Any], Awaitable[Any]],
        wake: Callable[[], None],
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
        self.wake = wake
        self.redirect = redirect
        self.is_planned = is_planned
        self.book = Quarantine()
        self.tasks = TaskSet()

    def begin(self, recorded: Mapping[str, RecordedVerdict]) -> None:
        """Begin a leadership with the verdicts of the log; evidence is sent again."""
        now = self.node.clock.now()
        self.book = Quarantine()
        for content, known in recorded.items():
            verdict = Verdict(
                service=known.service,
                account=known.account,
                software=frozenset(known.software),
                quarantined_at=now,
                lifts=known.lifts,
            )
            self.book.restore(ContentId(content), verdict)

    # -- calls of gateways --------------------------------------------------

    def serve(self, server: CallServer) -> None:
        """Take these calls on a server."""
        server.add(REPORT_CRASHES, self.take_ends)
        server.add(REPORT_SERVED, self.take_served)
        server.add(TRIAL, self.answer_trial)

    async def take_ends(self, received: Received) -> EvidenceReply:
        """Hear what was under way on servers that ended."""
        elsewhere = self.redirect()
        if elsewhere is not None:
            return EvidenceReply(reply=elsewhere)
        report: CrashReport = received.body
        for end in report.ends:
            self._take_end(end)
        return EvidenceReply(reply=Heard())

    async def take_served(self, received: Received) -> EvidenceReply:
        """Hear that a content was answered by a server, so it doesn't end such servers."""
        elsewhere = self.redirect()
        if elsewhere is not None:
            return EvidenceReply(reply=elsewhere)
        served: ServedReport = received.body
        with self._telling():
            self.book.record_answer(served.content, served.software, self.node.clock.now())
        return EvidenceReply(reply=Heard())

    async def answer_trial(self, received: Received) -> TrialReply:
        """Tell whether a suspected content may run now, or hear that its run is over."""
        elsewhere = self.redirect()
        if elsewhere is not None:
            return TrialReply(reply=elsewhere)
        request: TrialRequest = received.body
        if request.over:
            self.book.finish_trial(request.content)
            return TrialReply(reply=TrialAnswer(state=TrialState.granted.value))
        now = self.node.clock.now()
        state = self.book.request_run(request.content, now, request.lasts_ms / MS_PER_S)
        self.node.events.emit(
            logger,
            Event.trial_asked,
            content=request.content,
            state=state.value,
        )
        return TrialReply(reply=TrialAnswer(state=state.value))

    # -- what else is heard and told ----------------------------------------

    def take_report(self, report: BackendReport, software: set[str], *, lives: bool) -> None:
        """Hear a server, whether it may live, and which versions its service runs."""
        with self._telling():
            if lives:
                self.book.record_report(report.instance, self.node.clock.now())
            self.book.update_software(report.service, software)

    def news(self) -> QuarantineSnapshot:
        """Return all that gateways hold to."""
        wall = self.node.clock.wall_ms()
        now = self.node.clock.now()
        return QuarantineSnapshot(
            version=self.book.version,
            quarantined={
                content: wall - int((now - verdict.quarantined_at) * MS_PER_S)
                for content, verdict in self.book.verdicts.items()
            },
            suspects=tuple(self.book.suspects),
            confined=tuple(self.book.confined),
        )

    async def judge_always(self) -> None:
        """Judge the evidence at short intervals."""
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(JUDGE_S)
            self._judge()

    # -- helpers ------------------------------------------------------------

    @contextlib.contextmanager
    def _telling(self) -> Iterator[None]:
        """Let gateways hear what the block changes, and record what it releases."""
        version = self.book.version
        held = set(self.book.verdicts)
        yield
        for content in held - set(self.book.verdicts):
            on_trial = content in self.book.lifted
            self._release(content, 'put to the test' if on_trial else 'servers bear it')
        if self.book.version != version:
            self.wake()

    def _take_end(self, end: ServerCrash) -> None:
        planned = self.is_planned(end.instance)
        self.node.events.emit(
            logger,
            Event.end_reported,
            backend=end.instance,
            service=end.service,
            planned=planned,
            contents=len(end.suspects),
        )
        # A planned end says nothing of what was under way.
        if not planned:
            with self._telling():
                self.book.record_crash(end, self.node.clock.now())

    def _judge(self) -> None:
        with self._telling():
            fallen = self.book.evaluate(self.node.clock.now())
        for content in fallen:
            self._record(content)

    def _record(self, content: ContentId) -> None:
        verdict = self.book.verdicts[content]
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
