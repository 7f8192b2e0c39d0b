"""Evidence on contents that end servers: what was under way on those that ended.

An end is the unplanned end of one lifetime of a server; all that was under way on it is
suspected, as nobody can tell from outside which request it was. What follows from it is
:mod:`ringseam.quarantine`'s.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType

from ringseam.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.contents import ContentId
    from ringseam.lifetimes import BackendId
    from ringseam.verdicts import ServerEnd, Suspect

#: Gateways that tell of one end agree on its time to this, seconds; a server that has
#: ended is back after a second or more.
SAME_END_S = 0.8
#: Ends count for this long, seconds: a client that repeats does so within minutes.
EVIDENCE_S = 600.0
#: A content that was served whole isn't suspected for this long, seconds. What is asked
#: for often, such as a fixed signal, is under way at each end and behind none; what is
#: asked for less often is at three ends by chance too rarely to need it.
SERVED_S = 20.0
#: So many reports of a lifetime show that it lives, so long after its end and so far
#: apart, seconds. What it sent before may come late by seconds, and all at once when a
#: cut has held it up; a server that lives goes on reporting.
REPORTS_OF_LIFE = 2
LIFE_SHOWS_S = 5.0
REPORTS_APART_S = 1.0
#: How many ends, suspects of one end and served contents are remembered. At 100 bytes
#: each that is 7 MB at most, while every server of a large fleet ends.
ENDS_KEPT = 128
SUSPECTS_KEPT = 512
SERVED_KEPT = 4096

#: Names one end of a server.
EndId = NewType('EndId', str)


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
    #: How often the lifetime has reported since, and when it last did.
    reports: int = 0
    reported_at: float = float('-inf')

    def shows_life(self, now: float) -> bool:
        """Hear a report of the lifetime; return whether it has not ended after all."""
        apart = now - self.reported_at >= REPORTS_APART_S
        if apart and now - self.at > LIFE_SHOWS_S:
            self.reports += 1
            self.reported_at = now
        return self.reports >= REPORTS_OF_LIFE


@dataclass(kw_only=True)
class Evidence:
    """Ends of servers, with the contents that were under way there."""

    ends: dict[EndId, EndRecord] = field(default_factory=dict)
    by_instance: dict[BackendId, set[EndId]] = field(default_factory=dict)
    by_content: dict[ContentId, set[EndId]] = field(default_factory=dict)
    #: Contents that were under way at more than one end.
    repeated: set[ContentId] = field(default_factory=set)
    answered: ServedLately = field(default_factory=ServedLately)

    def add(self, end: ServerEnd, now: float) -> None:
        """Hear from one gateway what was under way on a lifetime that ended."""
        end_id, record = self._record_of(end, now - end.age_ms / MS_PER_S)
        record.heard_at = now
        for suspect in end.suspects:
            self._suspect(end_id, record, suspect, now)
        self._forget(now)

    def refute(self, instance: BackendId, now: float) -> list[EndId]:
        """Hear a report of a lifetime; return its ends that were none, now dropped."""
        refuted = [
            end_id
            for end_id in self.by_instance.get(instance, ())
            if self.ends[end_id].shows_life(now)
        ]
        for end_id in refuted:
            self._drop(end_id)
        return refuted

    def served(self, content: ContentId, software: str, now: float) -> None:
        """Hear that a server has run a content and answered: it ends no such server."""
        self.answered.note(content, software, now)
        for end_id in list(self.by_content.get(content, ())):
            if self.ends[end_id].software == software:
                self._clear(content, end_id)

    def forget_content(self, content: ContentId) -> None:
        """Let a content begin anew, without an end."""
        for end_id in list(self.by_content.get(content, ())):
            self._clear(content, end_id)

    def ends_of(self, content: ContentId) -> set[EndId]:
        """Return the ends that a content was under way at."""
        return self.by_content.get(content, set())

    def has_twin(self, content: ContentId, ends: Iterable[EndId]) -> bool:
        """Return whether another content was under way at all these ends."""
        twins = [self.ends[end_id].suspects.keys() - {content} for end_id in ends]
        return bool(twins and set.intersection(*twins))

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
        if len(known) > 1:
            self.repeated.add(content)

    def _clear(self, content: ContentId, end_id: EndId) -> None:
        self.ends[end_id].suspects.pop(content, None)
        known = self.by_content[content]
        known.discard(end_id)
        if len(known) <= 1:
            self.repeated.discard(content)
        if not known:
            self.by_content.pop(content)

    def _drop(self, end_id: EndId) -> None:
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
            self._drop(end_id)
