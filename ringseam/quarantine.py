"""Quarantine: which contents end the servers that run them; a plain class.

Terms: a content that ends each server is a query of death (poison message). An end is
the unplanned end of one lifetime of a server; all that was under way on it is suspected,
as nobody can tell from outside which request it was.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType

from ringseam.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.lifetimes import BackendId
    from ringseam.verdicts import ServerEnd, Suspect

#: Under so many ends a content is suspected: it runs on trial only, one at a time. One
#: end is no sign, as most contents on a server that ends have nothing to do with it.
ENDS_TO_SUSPECT = 2
#: Under so many ends a content is quarantined: three servers are what it may cost.
ENDS_TO_QUARANTINE = 3
#: Contents that share all their ends can't be told apart and are tried one by one; under
#: so many ends one of them is quarantined all the same.
ENDS_REGARDLESS = 5
#: An account with so many quarantined contents at a service is confined there, so that
#: a hundred such bodies take one server at a time from the others.
VERDICTS_TO_CONFINE = 3
#: Gateways report one end within this time of each other, seconds: a connection that is
#: refused takes a millisecond, a call to the leader a few, a busy gateway 0.1.
SETTLE_S = 0.15
#: Gateways that tell of one end agree on its time to this, seconds; a server that has
#: ended is back after a second or more.
SAME_END_S = 0.8
#: Of a content that was at so many ends that another one explains, fewer tell: it was
#: never cleared of them, and a service that loses servers to two at once can't wait.
EXPLAINED_ENDS = 2
#: Ends count for this long, seconds: a client that repeats does so within minutes.
EVIDENCE_S = 600.0
#: A content that was served whole isn't suspected for this long, seconds. What is asked
#: for often, such as a fixed signal, is under way at each end and behind none; what is
#: asked for less often is at three ends by chance too rarely to need it.
SERVED_S = 20.0
#: A verdict is put to the test after this long, and after twice as long each further
#: time, seconds: one server an hour at first.
HELD_S = 3600.0
#: Reports of a lifetime that show that it lives, this long after its end, seconds: what it
#: sent before may come late by seconds, but a server that lives goes on reporting.
REPORTS_OF_LIFE = 2
LIFE_SHOWS_S = 5.0
#: How many ends, suspects of one end, served contents and verdicts are remembered. At
#: 100 bytes each that is 7 MB at most, while every server of a large fleet ends.
ENDS_KEPT = 128
SUSPECTS_KEPT = 512
SERVED_KEPT = 4096
VERDICTS_KEPT = 256


#: Names one end of a server.
EndId = NewType('EndId', str)


class TrialState(enum.Enum):
    """What becomes of a request whose content may be suspected."""

    #: It isn't suspected, or this is the only run of it.
    granted = 'granted'
    #: Another run of it, or of one that can't be told from it, is under way.
    busy = 'busy'
    quarantined = 'quarantined'


@dataclass(kw_only=True)
class ServedLately:
    """Contents that servers have run and answered, by the version of their software."""

    served_at: dict[tuple[ContentId, str], float] = field(default_factory=dict)

    def note(self, content: ContentId, software: str, now: float) -> None:
        """Hear of an answer."""
        self.served_at.pop((content, software), None)
        self.served_at[content, software] = now
        if len(self.served_at) > SERVED_KEPT:
            self.served_at.pop(next(iter(self.served_at)))

    def has(self, content: ContentId, software: str, now: float) -> bool:
        """Return whether a content was answered a short while ago."""
        return now - self.served_at.get((content, software), float('-inf')) < SERVED_S


@dataclass(kw_only=True)
class EndRecord:
    """One end of a server; times are absolute seconds."""

    #: The lifetime that gateways knew then.
    instance: BackendId
    service: str
    software: str
    at: float
    #: When a gateway last told of it.
    heard_at: float
    #: Accounts by content.
    suspects: dict[ContentId, str] = field(default_factory=dict)
    reports: int = 0


@dataclass(kw_only=True)
class Verdict:
    """A quarantined content, and the ends that tell it."""

    service: str
    account: str
    #: The versions of the software that it ended.
    software: frozenset[str]
    at: float
    ends: set[EndId] = field(default_factory=set)
    #: How many ends it took.
    needed: int = ENDS_TO_QUARANTINE
    #: How often it was put to the test since it was first quarantined.
    lifts: int = 0


@dataclass(kw_only=True)
class Quarantine:  # noqa: WPS214 - evidence and what follows from it
    """Evidence, suspects and verdicts; ``version`` grows with what others must hear."""

    ends: dict[EndId, EndRecord] = field(default_factory=dict)
    by_instance: dict[BackendId, set[EndId]] = field(default_factory=dict)
    by_content: dict[ContentId, set[EndId]] = field(default_factory=dict)
    #: Contents that were under way at more than one end.
    repeated: set[ContentId] = field(default_factory=set)
    verdicts: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Verdicts that are put to the test: one more end brings them back.
    lifted: dict[ContentId, Verdict] = field(default_factory=dict)
    answered: ServedLately = field(default_factory=ServedLately)
    #: Until when a run on trial counts as under way.
    trials: dict[ContentId, float] = field(default_factory=dict)
    suspects: frozenset[ContentId] = frozenset()
    #: The contents of :attr:`verdicts` when the version last grew.
    held: frozenset[ContentId] = frozenset()
    version: int = 0

    # -- evidence -----------------------------------------------------------

    def ended(self, end: ServerEnd, now: float) -> None:
        """Hear from one gateway what was under way on a lifetime that ended."""
        end_id, record = self._record_of(end, now - end.age_ms / MS_PER_S)
        record.heard_at = now
        for suspect in end.suspects:
            self._suspect(end_id, record, suspect, now)
        self._forget(now)
        self._refresh()

    def heard(self, instance: BackendId, now: float) -> None:
        """Hear that a lifetime reports itself: if it goes on to, it hasn't ended."""
        for end_id in list(self.by_instance.get(instance, ())):
            record = self.ends[end_id]
            record.reports += now - record.at > LIFE_SHOWS_S
            if record.reports >= REPORTS_OF_LIFE:
                self._drop_end(end_id)
                self._withdraw(end_id)
        self._refresh()

    def concerns(self, report: BackendReport) -> bool:
        """Return whether a server's report may change anything here."""
        if report.instance in self.by_instance:
            return True
        return any(
            verdict.service == report.service and report.software not in verdict.software
            for verdict in self.verdicts.values()
        )

    def served(self, content: ContentId, software: str, now: float) -> None:
        """Hear that a server has run a content and answered: it ends no such server."""
        self.answered.note(content, software, now)
        for end_id in list(self.by_content.get(content, ())):
            if self.ends[end_id].software == software:
                self._clear(content, end_id)
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
            if any(now - self.ends[end_id].heard_at < SETTLE_S for end_id in ends):
                continue
            needed = self._needed(content, ends)
            if needed and len(ends) >= needed:
                self._quarantine(content, ends, needed, now)
                found.append(content)
        self._lift_old(now)
        if found:
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

    @property
    def confined(self) -> frozenset[tuple[str, str]]:
        """Return the accounts, each with a service, that are kept to one server."""
        counts: dict[tuple[str, str], int] = {}
        for verdict in self.verdicts.values():
            if verdict.account:
                owner = (verdict.account, verdict.service)
                counts[owner] = counts.get(owner, 0) + 1
        return frozenset(owner for owner, count in counts.items() if count >= VERDICTS_TO_CONFINE)

    # -- helpers ------------------------------------------------------------

    def _record_of(self, end: ServerEnd, at: float) -> tuple[EndId, EndRecord]:
        """Return what is known of an end, from this gateway or another one.

        A server that has started again may take requests before its new lifetime is
        known, so an end that is later by far is another one of the same name.
        """
        for known in self.by_instance.get(end.instance, ()):
            if abs(self.ends[known].at - at) < SAME_END_S:
                return known, self.ends[known]
        record = EndRecord(
            instance=end.instance,
            service=end.service,
            software=end.software,
            at=at,
            heard_at=at,
        )
        end_id = EndId(f'{end.instance}@{at:.2f}')
        self.ends[end_id] = record
        self.by_instance.setdefault(end.instance, set()).add(end_id)
        return end_id, record

    def _suspect(
        self,
        end_id: EndId,
        record: EndRecord,
        suspect: Suspect,
        now: float,
    ) -> None:
        content = suspect.content
        bears_it = self.answered.has(content, record.software, now)
        if bears_it or len(record.suspects) >= SUSPECTS_KEPT:
            return
        record.suspects[content] = suspect.account
        known = self.by_content.setdefault(content, set())
        known.add(end_id)
        if len(known) >= ENDS_TO_SUSPECT:
            self.repeated.add(content)

    def _unexplained(self, content: ContentId) -> list[EndId]:
        """Return the ends of a content that no quarantined one was under way at."""
        return [
            end_id
            for end_id in self.by_content.get(content, ())
            if not any(
                other in self.verdicts for other in self.ends[end_id].suspects if other != content
            )
        ]

    def _is_suspected(self, content: ContentId) -> bool:
        """Return whether a content may run on trial only.

        One that was at three ends does so until it is served, even when a quarantined
        one explains them: it may have ended some of these servers itself.
        """
        if len(self.by_content[content]) >= ENDS_TO_QUARANTINE:
            return True
        return len(self._unexplained(content)) >= ENDS_TO_SUSPECT

    def _needed(self, content: ContentId, ends: Iterable[EndId]) -> int:
        """Return how many ends quarantine a content; 0 while that can't be told."""
        if content in self.lifted:
            return 1
        shared = list(ends)
        if self._is_alone(content, shared):
            return 1
        if len(shared) < ENDS_REGARDLESS and self._has_twin(content, shared):
            return 0
        explained = len(self.by_content.get(content, ())) - len(shared)
        return ENDS_TO_SUSPECT if explained >= EXPLAINED_ENDS else ENDS_TO_QUARANTINE

    def _has_twin(self, content: ContentId, ends: list[EndId]) -> bool:
        """Return whether another content was under way at all these ends."""
        twins = [set(self.ends[end_id].suspects) - {content} for end_id in ends]
        return bool(twins and set.intersection(*twins))

    def _is_alone(self, content: ContentId, ends: list[EndId]) -> bool:
        """Return whether an end has but this content of an account that is confined."""
        for end_id in ends:
            record = self.ends[end_id]
            account = record.suspects[content]
            same = [other for other in record.suspects.values() if other == account]
            if (account, record.service) in self.confined and len(same) == 1:
                return True
        return False

    def _confined_contents(self) -> set[ContentId]:
        confined = self.confined
        if not confined:
            return set()
        return {
            content
            for record in self.ends.values()
            for content, account in record.suspects.items()
            if (account, record.service) in confined and content not in self.verdicts
        }

    def _quarantine(
        self,
        content: ContentId,
        ends: list[EndId],
        needed: int,
        now: float,
    ) -> None:
        records = [self.ends[end_id] for end_id in ends]
        earlier = self.lifted.pop(content, None)
        self.verdicts[content] = Verdict(
            service=records[-1].service,
            account=records[-1].suspects[content],
            software=frozenset(record.software for record in records),
            at=now,
            ends=set(ends),
            needed=needed,
            lifts=earlier.lifts if earlier else 0,
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
        for end_id in list(self.by_content.get(content, ())):
            self._clear(content, end_id)

    def _clear(self, content: ContentId, end_id: EndId) -> None:
        self.ends[end_id].suspects.pop(content, None)
        known = self.by_content[content]
        known.discard(end_id)
        if len(known) < ENDS_TO_SUSPECT:
            self.repeated.discard(content)
        if not known:
            self.by_content.pop(content)

    def _withdraw(self, end_id: EndId) -> None:
        """Take back verdicts that too few ends are left for."""
        for content, verdict in list(self.verdicts.items()):
            if end_id in verdict.ends:
                verdict.ends.discard(end_id)
                if len(verdict.ends) < verdict.needed:
                    self.verdicts.pop(content)

    def _drop_end(self, end_id: EndId) -> None:
        for content in list(self.ends[end_id].suspects):
            self._clear(content, end_id)
        instance = self.ends.pop(end_id).instance
        known = self.by_instance[instance]
        known.discard(end_id)
        if not known:
            self.by_instance.pop(instance)

    def _forget(self, now: float) -> None:
        old = [name for name, record in self.ends.items() if now - record.at > EVIDENCE_S]
        surplus = list(self.ends)[: max(0, len(self.ends) - ENDS_KEPT)]
        forgotten = {*old, *surplus}
        for end_id in forgotten:
            self._drop_end(end_id)

    def _refresh(self) -> None:
        """Work out who is suspected, and count a change that others must hear of."""
        before = (self.suspects, self.held)
        self.suspects = frozenset(
            content
            for content in self.repeated
            if content not in self.verdicts and self._is_suspected(content)
        ) | frozenset(self.lifted)
        self.held = frozenset(self.verdicts)
        if before != (self.suspects, self.held):
            self.version += 1
