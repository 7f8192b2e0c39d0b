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
    from ringseam.verdicts import ServerEnd

#: Under so many ends a content is suspected: it runs on trial only, one at a time. One
#: end is no sign, as most contents on a server that ends have nothing to do with it.
ENDS_TO_SUSPECT = 2
#: Under so many ends a content is quarantined: three servers are what it may cost.
ENDS_TO_QUARANTINE = 3
#: Contents that share all their ends can't be told apart and are tried one by one; under
#: so many ends one of them is quarantined all the same.
ENDS_REGARDLESS = 5
#: An account with so many contents quarantined at a service within this time, seconds, is
#: confined there, so that a hundred such bodies take few servers from the others. Below
#: that, 6 servers end in 30 s, each away for 2 to 5 s: one at a time in the mean.
VERDICTS_TO_CONFINE = 3
CONFINED_S = 30.0
#: Gateways report one end within this time of each other, seconds: a connection that is
#: refused takes a millisecond, a call to the leader a few, a busy gateway 0.1.
SETTLE_S = 0.15
#: Of a content that was at so many ends that another one explains, fewer tell: it was
#: never cleared of them, and a service that loses servers to two at once can't wait.
EXPLAINED_ENDS = 2
#: A verdict is put to the test after this long, and after twice as long each further
#: time, seconds: one server an hour at first.
HELD_S = 3600.0
#: How many verdicts are remembered, of 100 bytes each.
VERDICTS_KEPT = 256


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
    at: float
    #: None, where the verdict was recorded by an earlier leader.
    ends: set[EndId] = field(default_factory=set)
    #: How many ends it took.
    needed: int = ENDS_TO_QUARANTINE
    #: How often it was put to the test since it was first quarantined.
    lifts: int = 0

    def fell_lately(self, now: float) -> bool:
        """Return whether it fell a short while ago, and under this leader."""
        return bool(self.ends) and now - self.at < CONFINED_S


@dataclass(kw_only=True)
class Quarantine:
    """Evidence, suspects and verdicts; ``version`` grows with what others must hear."""

    evidence: Evidence = field(default_factory=Evidence)
    verdicts: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Verdicts that are put to the test: one more end brings them back.
    lifted: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Until when a run on trial counts as under way.
    trials: dict[ContentId, float] = field(default_factory=dict)
    suspects: frozenset[ContentId] = frozenset()
    #: Accounts, each with a service, that are kept to a few servers.
    confined: frozenset[tuple[str, str]] = frozenset()
    #: The contents of :attr:`verdicts` when the version last grew.
    held: frozenset[ContentId] = frozenset()
    version: int = 0

    # -- evidence -----------------------------------------------------------

    def ended(self, end: ServerEnd, now: float) -> None:
        """Hear from one gateway what was under way on a lifetime that ended."""
        self.evidence.add(end, now)
        self._refresh()

    def heard(self, instance: BackendId, now: float) -> None:
        """Hear that a lifetime reports itself: if it goes on to, it hasn't ended."""
        for end_id in self.evidence.refute(instance, now):
            self._withdraw(end_id)
        self._refresh()

    def concerns(self, report: BackendReport) -> bool:
        """Return whether a server's report may change anything here."""
        if report.instance in self.evidence.by_instance:
            return True
        return any(
            verdict.service == report.service and report.software not in verdict.software
            for verdict in self.verdicts.values()
        )

    def served(self, content: ContentId, software: str, now: float) -> None:
        """Hear that a server has run a content and answered: it ends no such server."""
        self.evidence.served(content, software, now)
        verdict = self.verdicts.get(content) or self.lifted.get(content)
        if verdict is not None and (software in verdict.software or content in self.lifted):
            self.verdicts.pop(content, None)
            self.lifted.pop(content, None)
        self.trials.pop(content, None)
        self._refresh()

    # -- what follows -------------------------------------------------------

    def judge(self, now: float) -> list[ContentId]:
        """Quarantine whose ends tell it, once all gateways have told of them."""
        found = []
        for content in sorted(self.suspects | self._confined_contents()):
            ends = self._unexplained(content)
            if any(now - self.evidence.ends[end_id].heard_at < SETTLE_S for end_id in ends):
                continue
            needed = self._needed(content, ends)
            if needed and len(ends) >= needed:
                self._quarantine(content, ends, needed, now)
                found.append(content)
        self._lift_old(now)
        confined = self._confined_at(now)
        if found or confined != self.confined:
            self.version += confined != self.confined
            self.confined = confined
            self._refresh()
        return found

    def ask(self, content: ContentId, now: float, lasts_s: float) -> TrialState:
        """Return whether a content may run now; what is suspected runs alone.

        Of contents that share an end one runs at a time, so that the next end tells
        them apart.
        """
        if content in self.verdicts:
            return TrialState.quarantined
        if content not in self.suspects:
            return TrialState.granted
        mine = set(self._unexplained(content))
        needed = self._needed(content, mine)
        if needed and len(mine) >= needed:
            # It is about to be judged.
            return TrialState.busy
        for other, until in list(self.trials.items()):
            if until <= now:
                self.trials.pop(other)
            elif other == content or mine & set(self._unexplained(other)):
                return TrialState.busy
        self.trials[content] = now + lasts_s
        return TrialState.granted

    def conclude(self, content: ContentId) -> None:
        """Hear that a run on trial is over."""
        self.trials.pop(content, None)

    def restore(self, content: ContentId, verdict: Verdict) -> None:
        """Take over a verdict that was recorded."""
        self.verdicts[content] = verdict
        self._refresh()

    def see_software(self, service: str, software: Collection[str]) -> list[ContentId]:
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
            self._refresh()
        return lifted

    # -- helpers ------------------------------------------------------------

    def _unexplained(self, content: ContentId) -> list[EndId]:
        """Return the ends of a content that no quarantined one was under way at."""
        return [
            end_id
            for end_id in self.evidence.ends_of(content)
            if not any(
                other in self.verdicts
                for other in self.evidence.ends[end_id].suspects
                if other != content
            )
        ]

    def _is_suspected(self, content: ContentId) -> bool:
        """Return whether a content may run on trial only.

        One that was at three ends does so until it is served, even when a quarantined
        one explains them: it may have ended some of these servers itself.
        """
        if len(self.evidence.ends_of(content)) >= ENDS_TO_QUARANTINE:
            return True
        return len(self._unexplained(content)) >= ENDS_TO_SUSPECT

    def _needed(self, content: ContentId, ends: Collection[EndId]) -> int:
        """Return how many ends quarantine a content; 0 while that can't be told."""
        if content in self.lifted or self._is_alone(content, ends):
            return 1
        if len(ends) < ENDS_REGARDLESS and self.evidence.has_twin(content, ends):
            return 0
        explained = len(self.evidence.ends_of(content)) - len(ends)
        return ENDS_TO_SUSPECT if explained >= EXPLAINED_ENDS else ENDS_TO_QUARANTINE

    def _is_alone(self, content: ContentId, ends: Collection[EndId]) -> bool:
        """Return whether an end has but this content of an account that is confined."""
        for end_id in ends:
            record = self.evidence.ends[end_id]
            account = record.suspects[content]
            same = [other for other in record.suspects.values() if other == account]
            if (account, record.service) in self.confined and len(same) == 1:
                return True
        return False

    def _confined_at(self, now: float) -> frozenset[tuple[str, str]]:
        counts: dict[tuple[str, str], int] = {}
        for verdict in self.verdicts.values():
            if verdict.account and verdict.fell_lately(now):
                owner = (verdict.account, verdict.service)
                counts[owner] = counts.get(owner, 0) + 1
        return frozenset(owner for owner, count in counts.items() if count >= VERDICTS_TO_CONFINE)

    def _confined_contents(self) -> set[ContentId]:
        if not self.confined:
            return set()
        return {
            content
            for record in self.evidence.ends.values()
            for content, account in record.suspects.items()
            if (account, record.service) in self.confined and content not in self.verdicts
        }

    def _quarantine(
        self,
        content: ContentId,
        ends: list[EndId],
        needed: int,
        now: float,
    ) -> None:
        records = [self.evidence.ends[end_id] for end_id in ends]
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
            at=now,
            ends=set(ends),
            needed=needed,
            lifts=lifts,
        )
        self.trials.pop(content, None)
        if len(self.verdicts) > VERDICTS_KEPT:
            self.verdicts.pop(next(iter(self.verdicts)))

    def _lift_old(self, now: float) -> None:
        due = [
            content
            for content, verdict in self.verdicts.items()
            if now - verdict.at > HELD_S * 2**verdict.lifts
        ]
        for content in due:
            self._lift(content)
        if due:
            self._refresh()

    def _lift(self, content: ContentId) -> None:
        verdict = self.verdicts.pop(content)
        verdict.lifts += 1
        self.lifted[content] = verdict
        self.evidence.forget_content(content)

    def _withdraw(self, end_id: EndId) -> None:
        """Take back verdicts that too few ends are left for."""
        for content, verdict in list(self.verdicts.items()):
            if end_id in verdict.ends:
                verdict.ends.discard(end_id)
                if len(verdict.ends) < verdict.needed:
                    self.verdicts.pop(content)

    def _refresh(self) -> None:
        """Work out who is suspected, and count a change that others must hear of."""
        before = (self.suspects, self.held)
        self.suspects = frozenset(
            content
            for content in self.evidence.repeated
            if content not in self.verdicts and self._is_suspected(content)
        ) | frozenset(self.lifted)
        self.held = frozenset(self.verdicts)
        if before != (self.suspects, self.held):
            self.version += 1
