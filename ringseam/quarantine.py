"""Quarantine: which contents end the servers that run them; a plain class.

A content that ends each server is a query of death (poison message).
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

#: Under so many ends a content is suspected: it runs on trial only, one at a time. One
#: end is no sign, as most contents on a server that ends have nothing to do with it.
CRASHES_TO_SUSPECT = 2
#: Under so many ends a content is quarantined: three servers are what it may cost.
CRASHES_TO_QUARANTINE = 3
#: Contents that share all their ends can't be told apart and are tried one by one; under
#: so many ends one of them is quarantined all the same.
CRASHES_TO_QUARANTINE_AMBIGUOUS = 5
#: An account with so many contents quarantined at a service within this time, seconds, is
#: confined there, so that a hundred such bodies take few servers from the others. Below
#: that, 6 servers end in 30 s, each away for 2 to 5 s: one at a time in the mean.
VERDICTS_TO_CONFINE = 3
CONFINEMENT_WINDOW_S = 30.0
#: Gateways report one end within this time of each other, seconds: a connection that is
#: refused takes a millisecond, a call to the leader a few, a busy gateway 0.1.
REPORT_SETTLE_S = 0.15
#: Of a content that was at so many ends that another one explains, fewer tell: it was
#: never cleared of them, and a service that loses servers to two at once can't wait.
EXPLAINED_CRASHES = 2
#: A verdict is put to the test after this long, and after twice as long each further
#: time, seconds: one server an hour at first.
RETEST_AFTER_S = 3600.0
#: How many verdicts are remembered, of 100 bytes each.
MAX_VERDICTS = 256


class TrialState(enum.Enum):
    """What becomes of a request whose content may be suspected."""

    #: It isn't suspected, or this is the only run of it.
    granted = 'granted'
    #: Another run of it, or of one that can't be told from it, is under way.
    busy = 'busy'
    quarantined = 'quarantined'


@dataclass(kw_only=True)
class Verdict:
    """A quarantined content, and the ends that tell it."""

    service: str
    account: str
    #: The versions of the software that it ended.
    software: frozenset[str]
    quarantined_at: float
    #: None, where the verdict was recorded by an earlier leader.
    crashes: set[EndId] = field(default_factory=set)
    #: How many ends it took.
    crashes_needed: int = CRASHES_TO_QUARANTINE
    #: How often it was put to the test since it was first quarantined.
    lifts: int = 0

    def is_recent(self, now: float) -> bool:
        """Return whether it fell a short while ago, and under this leader."""
        return bool(self.crashes) and now - self.quarantined_at < CONFINEMENT_WINDOW_S


@dataclass(kw_only=True)
class Quarantine:
    """Evidence, suspects and verdicts; ``version`` grows with what others must hear."""

    evidence: Evidence = field(default_factory=Evidence)
    verdicts: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Verdicts that are put to the test: one more end brings them back.
    lifted: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Until when a run on trial counts as under way.
    trial_deadlines: dict[ContentId, float] = field(default_factory=dict)
    suspects: frozenset[ContentId] = frozenset()
    #: Accounts, each with a service, that are kept to a few servers.
    confined: frozenset[tuple[str, str]] = frozenset()
    #: The contents of :attr:`verdicts` when the version last grew.
    published: frozenset[ContentId] = frozenset()
    version: int = 0

    # -- evidence -----------------------------------------------------------

    def record_crash(self, crash: ServerCrash, now: float) -> None:
        """Hear from one gateway what was under way on a lifetime that ended."""
        self.evidence.record_crash(crash, now)
        self._update_suspects()

    def record_report(self, instance: BackendId, now: float) -> None:
        """Hear that a lifetime reports itself: if it goes on to, it hasn't ended."""
        for crash_id in self.evidence.remove_refuted(instance, now):
            self._withdraw_verdicts(crash_id)
        self._update_suspects()

    def is_affected_by(self, report: BackendReport) -> bool:
        """Return whether a server's report may change anything here."""
        if report.instance in self.evidence.crashes_by_instance:
            return True
        return any(
            verdict.service == report.service and report.software not in verdict.software
            for verdict in self.verdicts.values()
        )

    def record_answer(self, content: ContentId, software: str, now: float) -> None:
        """Hear that a server has run a content and answered: it ends no such server."""
        self.evidence.record_answer(content, software, now)
        verdict = self.verdicts.get(content) or self.lifted.get(content)
        if verdict is not None and (software in verdict.software or content in self.lifted):
            self.verdicts.pop(content, None)
            self.lifted.pop(content, None)
        self.trial_deadlines.pop(content, None)
        self._update_suspects()

    # -- what follows -------------------------------------------------------

    def evaluate(self, now: float) -> list[ContentId]:
        """Quarantine whose ends tell it, once all gateways have told of them."""
        quarantined = []
        for content in sorted(self.suspects | self._confined_contents()):
            crash_ids = self._unexplained(content)
            if any(
                now - self.evidence.crashes[crash_id].last_told_at < REPORT_SETTLE_S
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

    def request_run(self, content: ContentId, now: float, lasts_s: float) -> TrialState:
        """Return whether a content may run now; what is suspected runs alone.

        Of contents that share an end one runs at a time, so that the next end tells
        them apart.
        """
        if content in self.verdicts:
            return TrialState.quarantined
        if content not in self.suspects:
            return TrialState.granted
        unexplained = set(self._unexplained(content))
        needed = self._crashes_needed(content, unexplained)
        if needed and len(unexplained) >= needed:
            # It is about to be judged.
            return TrialState.busy
        for other, until in list(self.trial_deadlines.items()):
            if until <= now:
                self.trial_deadlines.pop(other)
            elif other == content or unexplained & set(self._unexplained(other)):
                return TrialState.busy
        self.trial_deadlines[content] = now + lasts_s
        return TrialState.granted

    def finish_trial(self, content: ContentId) -> None:
        """Hear that a run on trial is over."""
        self.trial_deadlines.pop(content, None)

    def restore(self, content: ContentId, verdict: Verdict) -> None:
        """Take over a verdict that was recorded."""
        self.verdicts[content] = verdict
        self._update_suspects()

    def update_software(self, service: str, software: Collection[str]) -> list[ContentId]:
        """Hear which versions a service runs; return what is put to the test.

        Once none is left of the versions that a content ended, it may run once: a new
        release may bear it.
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
        """Return the ends of a content that no quarantined one was under way at."""
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
        """Return whether a content may run on trial only.

        One that was at three ends does so until it is served, even when a quarantined
        one explains them: it may have ended some of these servers itself.
        """
        if len(self.evidence.crashes_of(content)) >= CRASHES_TO_QUARANTINE:
            return True
        return len(self._unexplained(content)) >= CRASHES_TO_SUSPECT

    def _crashes_needed(self, content: ContentId, crash_ids: Collection[EndId]) -> int:
        """Return how many ends quarantine a content; 0 while that can't be told."""
        if content in self.lifted or self._is_only_suspect(content, crash_ids):
            return 1
        if len(crash_ids) < CRASHES_TO_QUARANTINE_AMBIGUOUS and self.evidence.is_ambiguous(
            content, crash_ids
        ):
            return 0
        explained = len(self.evidence.crashes_of(content)) - len(crash_ids)
        return CRASHES_TO_SUSPECT if explained >= EXPLAINED_CRASHES else CRASHES_TO_QUARANTINE

    def _is_only_suspect(self, content: ContentId, crash_ids: Collection[EndId]) -> bool:
        """Return whether an end has but this content of an account that is confined."""
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
            # A release that is taken back doesn't put it to the test again.
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
        """Take back verdicts that too few ends are left for."""
        for content, verdict in list(self.verdicts.items()):
            if crash_id in verdict.crashes:
                verdict.crashes.discard(crash_id)
                if len(verdict.crashes) < verdict.crashes_needed:
                    self.verdicts.pop(content)

    def _update_suspects(self) -> None:
        """Work out who is suspected, and count a change that others must hear of."""
        before = (self.suspects, self.published)
        self.suspects = frozenset(
            content
            for content in self.evidence.recurring
            if content not in self.verdicts and self._is_suspected(content)
        ) | frozenset(self.lifted)
        self.published = frozenset(self.verdicts)
        if before != (self.suspects, self.published):
            self.version += 1
