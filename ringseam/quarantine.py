"""Quarantine of request contents that crash the servers that run them.

A content that crashes every server is known as a query of death or poison message. The
classes here hold state only; they do no input or output.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.evidence import Evidence

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.evidence import EndId
    from ringseam.lifetimes import BackendId
    from ringseam.quarantinemessages import ServerCrash

#: A suspect of this many crashes only runs as a trial, one run at a time. A single crash
#: proves nothing: most contents in flight on a crashing server are harmless.
CRASHES_TO_SUSPECT = 2
#: A suspect of this many crashes is quarantined, which limits its cost to three servers.
CRASHES_TO_QUARANTINE = 3
#: Contents that share all their crashes are ambiguous and run as trials, one by one. After
#: this many crashes one of them is quarantined although it is still ambiguous.
CRASHES_TO_QUARANTINE_AMBIGUOUS = 5
#: A client account with this many contents quarantined at a service within this window,
#: seconds, is confined there, so that a hundred crashing bodies cost the other accounts few
#: servers. Below the threshold 6 servers crash in 30 s, each down for 2 to 5 s, so one is
#: down at a time on average.
VERDICTS_TO_CONFINE = 3
CONFINEMENT_WINDOW_S = 30.0
#: Reports of one crash by several gateways arrive within this time, seconds: a refused
#: connection takes a millisecond, a call to the leader a few, a busy gateway 0.1.
REPORT_SETTLE_S = 0.15
#: A content with at least this many crashes that are attributed to another one is
#: quarantined after fewer crashes of its own: it was never cleared of the former, and a
#: service that loses servers to two contents at once can't wait.
EXPLAINED_CRASHES = 2
#: A verdict is lifted for a retest after this long, seconds, and after twice as long each
#: further time. A retest can cost a server: one per hour at first.
RETEST_AFTER_S = 3600.0
#: Maximum number of stored verdicts, of about 100 bytes each.
MAX_VERDICTS = 256


class TrialState(enum.Enum):
    """Decision on a request whose content may be suspected."""

    #: The content isn't suspected, or no other trial run of it is under way.
    granted = 'granted'
    #: Another run of it, or of a content that shares a crash with it, is under way.
    busy = 'busy'
    quarantined = 'quarantined'


@dataclass(kw_only=True)
class Verdict:
    """A quarantined content and the crashes that led to it."""

    service: str
    account: str
    #: The software versions that it crashed.
    software: frozenset[str]
    quarantined_at: float
    #: Empty if the verdict was recorded by an earlier leader.
    crashes: set[EndId] = field(default_factory=set)
    #: The number of crashes that was required; with fewer left the verdict is withdrawn.
    crashes_needed: int = CRASHES_TO_QUARANTINE
    #: How often the verdict was lifted for a retest.
    lifts: int = 0

    def is_recent(self, now: float) -> bool:
        """Return whether this leader quarantined the content within the window."""
        return bool(self.crashes) and now - self.quarantined_at < CONFINEMENT_WINDOW_S


@dataclass(kw_only=True)
class Quarantine:
    """Evidence, suspects and verdicts.

    ``version`` increases with every change that the gateways must learn of.
    """

    evidence: Evidence = field(default_factory=Evidence)
    verdicts: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Verdicts lifted for a retest; one more crash reinstates them.
    lifted: dict[ContentId, Verdict] = field(default_factory=dict)
    #: When a trial run counts as finished at the latest.
    trial_deadlines: dict[ContentId, float] = field(default_factory=dict)
    suspects: frozenset[ContentId] = frozenset()
    #: Pairs of an account and the service on which it is confined to a few servers.
    confined: frozenset[tuple[str, str]] = frozenset()
    #: The contents of :attr:`verdicts` at the latest change of the version.
    published: frozenset[ContentId] = frozenset()
    version: int = 0

    # -- evidence -----------------------------------------------------------

    def record_crash(self, crash: ServerCrash, now: float) -> None:
        """Record one gateway's report of a crash and of what was in flight."""
        self.evidence.record_crash(crash, now)
        self._update_suspects()

    def record_report(self, instance: BackendId, now: float) -> None:
        """Record a report of a server: if it keeps reporting, it hasn't crashed."""
        for crash_id in self.evidence.remove_refuted(instance, now):
            self._withdraw_verdicts(crash_id)
        self._update_suspects()

    def is_affected_by(self, report: BackendReport) -> bool:
        """Return whether a server's report may change the quarantine."""
        if report.instance in self.evidence.crashes_by_instance:
            return True
        return any(
            verdict.service == report.service and report.software not in verdict.software
            for verdict in self.verdicts.values()
        )

    def record_answer(self, content: ContentId, software: str, now: float) -> None:
        """Record that a server answered a content: it doesn't crash this version."""
        self.evidence.record_answer(content, software, now)
        verdict = self.verdicts.get(content) or self.lifted.get(content)
        if verdict is not None and (software in verdict.software or content in self.lifted):
            self.verdicts.pop(content, None)
            self.lifted.pop(content, None)
        self.trial_deadlines.pop(content, None)
        self._update_suspects()

    # -- decisions ----------------------------------------------------------

    def evaluate(self, now: float) -> list[ContentId]:
        """Quarantine contents with enough crashes, once all gateways have reported them.

        Return the newly quarantined contents.
        """
        quarantined = []
        for content in sorted(self.suspects | self._confined_contents()):
            crash_ids = self._unexplained(content)
            if any(
                now - self.evidence.crashes[crash_id].last_reported_at < REPORT_SETTLE_S
                for crash_id in crash_ids
            ):
                continue
            needed = self._crashes_needed(content, crash_ids)
            if needed and len(crash_ids) >= needed:
                self._quarantine(content, crash_ids, needed, now)
                quarantined.append(content)
        self._lift_due(now)
        confined = self._confined_at(now)
        if quarantined or confined != self.confined:
            self.version += confined != self.confined
            self.confined = confined
            self._update_suspects()
        return quarantined

    def request_run(self, content: ContentId, now: float, duration_s: float) -> TrialState:
        """Return whether a content may run now; a suspect gets one trial run at a time.

        Of contents that share a crash only one runs at a time, so that the next crash
        shows which of them is the cause.
        """
        if content in self.verdicts:
            return TrialState.quarantined
        if content not in self.suspects:
            return TrialState.granted
        unexplained = set(self._unexplained(content))
        needed = self._crashes_needed(content, unexplained)
        if needed and len(unexplained) >= needed:
            # The next evaluation will quarantine it.
            return TrialState.busy
        for other, deadline in list(self.trial_deadlines.items()):
            if deadline <= now:
                self.trial_deadlines.pop(other)
            elif other == content or unexplained & set(self._unexplained(other)):
                return TrialState.busy
        self.trial_deadlines[content] = now + duration_s
        return TrialState.granted

    def finish_trial(self, content: ContentId) -> None:
        """Record that a trial run is over."""
        self.trial_deadlines.pop(content, None)

    def restore(self, content: ContentId, verdict: Verdict) -> None:
        """Restore a recorded verdict."""
        self.verdicts[content] = verdict
        self._update_suspects()

    def update_software(self, service: str, software: Collection[str]) -> list[ContentId]:
        """Record the software versions of a service; return contents due for a retest.

        A verdict is lifted once the service runs none of the versions that the content
        crashed, because a new release may handle it.
        """
        lifted = [
            content
            for content, verdict in self.verdicts.items()
            if verdict.service == service and software and not verdict.software & set(software)
        ]
        for content in lifted:
            self._lift(content)
        if lifted:
            self._update_suspects()
        return lifted

    # -- helpers ------------------------------------------------------------

    def _unexplained(self, content: ContentId) -> list[EndId]:
        """Return the crashes of a content that have no quarantined suspect besides it."""
        return [
            crash_id
            for crash_id in self.evidence.crashes_of(content)
            if not any(
                other in self.verdicts
                for other in self.evidence.crashes[crash_id].suspects
                if other != content
            )
        ]

    def _is_suspected(self, content: ContentId) -> bool:
        """Return whether a content may only run as a trial.

        A suspect of three crashes stays one until a server answers it, even if a
        quarantined content explains them: it may have caused some of them itself.
        """
        if len(self.evidence.crashes_of(content)) >= CRASHES_TO_QUARANTINE:
            return True
        return len(self._unexplained(content)) >= CRASHES_TO_SUSPECT

    def _crashes_needed(self, content: ContentId, crash_ids: Collection[EndId]) -> int:
        """Return how many crashes quarantine a content; 0 while it is ambiguous."""
        if content in self.lifted or self._is_only_suspect(content, crash_ids):
            return 1
        if len(crash_ids) < CRASHES_TO_QUARANTINE_AMBIGUOUS and self.evidence.is_ambiguous(
            content, crash_ids
        ):
            return 0
        explained = len(self.evidence.crashes_of(content)) - len(crash_ids)
        return CRASHES_TO_SUSPECT if explained >= EXPLAINED_CRASHES else CRASHES_TO_QUARANTINE

    def _is_only_suspect(self, content: ContentId, crash_ids: Collection[EndId]) -> bool:
        """Return whether it is a confined account's only suspect of some crash."""
        for crash_id in crash_ids:
            record = self.evidence.crashes[crash_id]
            account = record.suspects[content]
            same = [other for other in record.suspects.values() if other == account]
            if (account, record.service) in self.confined and len(same) == 1:
                return True
        return False

    def _confined_at(self, now: float) -> frozenset[tuple[str, str]]:
        counts: dict[tuple[str, str], int] = {}
        for verdict in self.verdicts.values():
            if verdict.account and verdict.is_recent(now):
                owner = (verdict.account, verdict.service)
                counts[owner] = counts.get(owner, 0) + 1
        return frozenset(owner for owner, count in counts.items() if count >= VERDICTS_TO_CONFINE)

    def _confined_contents(self) -> set[ContentId]:
        if not self.confined:
            return set()
        return {
            content
            for record in self.evidence.crashes.values()
            for content, account in record.suspects.items()
            if (account, record.service) in self.confined and content not in self.verdicts
        }

    def _quarantine(
        self,
        content: ContentId,
        crash_ids: list[EndId],
        needed: int,
        now: float,
    ) -> None:
        records = [self.evidence.crashes[crash_id] for crash_id in crash_ids]
        software = {record.software for record in records}
        lifts = 0
        earlier = self.lifted.pop(content, None)
        if earlier is not None:
            # Rolling back to an earlier release must not trigger another retest.
            software |= earlier.software
            lifts = earlier.lifts
        self.verdicts[content] = Verdict(
            service=records[-1].service,
            account=records[-1].suspects[content],
            software=frozenset(software),
            quarantined_at=now,
            crashes=set(crash_ids),
            crashes_needed=needed,
            lifts=lifts,
        )
        self.trial_deadlines.pop(content, None)
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))

    def _lift_due(self, now: float) -> None:
        due = [
            content
            for content, verdict in self.verdicts.items()
            if now - verdict.quarantined_at > RETEST_AFTER_S * 2**verdict.lifts
        ]
        for content in due:
            self._lift(content)
        if due:
            self._update_suspects()

    def _lift(self, content: ContentId) -> None:
        verdict = self.verdicts.pop(content)
        verdict.lifts += 1
        self.lifted[content] = verdict
        self.evidence.forget_content(content)

    def _withdraw_verdicts(self, crash_id: EndId) -> None:
        """Withdraw verdicts that have too few crashes left without this one."""
        for content, verdict in list(self.verdicts.items()):
            if crash_id in verdict.crashes:
                verdict.crashes.discard(crash_id)
                if len(verdict.crashes) < verdict.crashes_needed:
                    self.verdicts.pop(content)

    def _update_suspects(self) -> None:
        """Recompute the suspects; increase the version if gateways must learn of it."""
        before = (self.suspects, self.published)
        self.suspects = frozenset(
            content
            for content in self.evidence.recurring
            if content not in self.verdicts and self._is_suspected(content)
        ) | frozenset(self.lifted)
        self.published = frozenset(self.verdicts)
        if before != (self.suspects, self.published):
            self.version += 1
