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
    from ringseam.quarantinemessages import ServerCrash, Suspect

#: Gateways that tell of one end agree on its time to this, seconds; a server that has
#: ended is back after a second or more.
SAME_CRASH_TOLERANCE_S = 0.8
#: Ends count for this long, seconds: a client that repeats does so within minutes.
EVIDENCE_RETENTION_S = 600.0
#: A content that was served whole isn't suspected for this long, seconds. What is asked
#: for often, such as a fixed signal, is under way at each end and behind none; what is
#: asked for less often is at three ends by chance too rarely to need it.
RECENT_ANSWER_S = 20.0
#: So many reports of a lifetime show that it lives, so long after its end and so far
#: apart, seconds. What it sent before may come late by seconds, and all at once when a
#: cut has held it up; a server that lives goes on reporting.
REPORTS_TO_REFUTE = 2
REFUTE_DELAY_S = 5.0
REPORT_SPACING_S = 1.0
#: How many ends, suspects of one end and served contents are remembered. At 100 bytes
#: each that is 7 MB at most, while every server of a large fleet ends.
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 512
MAX_RECENT_ANSWERS = 4096

#: Names one end of a server.
EndId = NewType('EndId', str)


@dataclass(kw_only=True)
class RecentAnswers:
    """Contents that servers have run and answered, by the version of their software."""

    answered_at: dict[tuple[ContentId, str], float] = field(default_factory=dict)

    def record(self, content: ContentId, software: str, now: float) -> None:
        """Hear of an answer."""
        self.answered_at.pop((content, software), None)
        self.answered_at[content, software] = now
        if len(self.answered_at) > MAX_RECENT_ANSWERS:
            self.answered_at.pop(next(iter(self.answered_at)))

    def contains(self, content: ContentId, software: str, now: float) -> bool:
        """Return whether a content was answered a short while ago."""
        return now - self.answered_at.get((content, software), float('-inf')) < RECENT_ANSWER_S


@dataclass(kw_only=True)
class CrashRecord:
    """One end of a server; times are absolute seconds."""

    #: The lifetime that gateways knew then.
    instance: BackendId
    service: str
    software: str
    crashed_at: float
    #: When a gateway last told of it.
    last_told_at: float
    #: Accounts by content.
    suspects: dict[ContentId, str] = field(default_factory=dict)
    #: How often the lifetime has reported since, and when it last did.
    reports: int = 0
    last_report_at: float = float('-inf')

    def record_report(self, now: float) -> bool:
        """Hear a report of the lifetime; return whether it has not ended after all."""
        apart = now - self.last_report_at >= REPORT_SPACING_S
        if apart and now - self.crashed_at > REFUTE_DELAY_S:
            self.reports += 1
            self.last_report_at = now
        return self.reports >= REPORTS_TO_REFUTE


@dataclass(kw_only=True)
class Evidence:
    """Ends of servers, with the contents that were under way there."""

    crashes: dict[EndId, CrashRecord] = field(default_factory=dict)
    crashes_by_instance: dict[BackendId, set[EndId]] = field(default_factory=dict)
    crashes_by_content: dict[ContentId, set[EndId]] = field(default_factory=dict)
    #: Contents that were under way at more than one crash.
    recurring: set[ContentId] = field(default_factory=set)
    recent_answers: RecentAnswers = field(default_factory=RecentAnswers)

    def record_crash(self, crash: ServerCrash, now: float) -> None:
        """Hear from one gateway what was under way on a lifetime that ended."""
        crash_id, record = self._find_or_add(crash, now - crash.age_ms / MS_PER_S)
        record.last_told_at = now
        for suspect in crash.suspects:
            self._add_suspect(crash_id, record, suspect, now)
        self._expire(now)

    def remove_refuted(self, instance: BackendId, now: float) -> list[EndId]:
        """Hear a report of a lifetime; return its ends that were none, now dropped."""
        refuted = [
            crash_id
            for crash_id in self.crashes_by_instance.get(instance, ())
            if self.crashes[crash_id].record_report(now)
        ]
        for crash_id in refuted:
            self._remove_crash(crash_id)
        return refuted

    def record_answer(self, content: ContentId, software: str, now: float) -> None:
        """Hear that a server has run a content and answered: it ends no such server."""
        self.recent_answers.record(content, software, now)
        for crash_id in list(self.crashes_by_content.get(content, ())):
            if self.crashes[crash_id].software == software:
                self._remove_suspect(content, crash_id)

    def forget_content(self, content: ContentId) -> None:
        """Let a content begin anew, without an crash."""
        for crash_id in list(self.crashes_by_content.get(content, ())):
            self._remove_suspect(content, crash_id)

    def crashes_of(self, content: ContentId) -> set[EndId]:
        """Return the ends that a content was under way at."""
        return self.crashes_by_content.get(content, set())

    def is_ambiguous(self, content: ContentId, crashes: Iterable[EndId]) -> bool:
        """Return whether another content was under way at all these ends."""
        others_by_crash = [
            self.crashes[crash_id].suspects.keys() - {content} for crash_id in crashes
        ]
        return bool(others_by_crash and set.intersection(*others_by_crash))

    # -- helpers ------------------------------------------------------------

    def _find_or_add(self, crash: ServerCrash, at: float) -> tuple[EndId, CrashRecord]:
        """Return what is known of an crash, from this gateway or another one.

        A server that has started again may take requests before its new lifetime is
        known, so an end that is later by far is another one of the same name.
        """
        for known in self.crashes_by_instance.get(crash.instance, ()):
            if abs(self.crashes[known].crashed_at - at) < SAME_CRASH_TOLERANCE_S:
                return known, self.crashes[known]
        record = CrashRecord(
            instance=crash.instance,
            service=crash.service,
            software=crash.software,
            crashed_at=at,
            last_told_at=at,
        )
        crash_id = EndId(f'{crash.instance}@{at:.2f}')
        self.crashes[crash_id] = record
        self.crashes_by_instance.setdefault(crash.instance, set()).add(crash_id)
        return crash_id, record

    def _add_suspect(
        self,
        crash_id: EndId,
        record: CrashRecord,
        suspect: Suspect,
        now: float,
    ) -> None:
        content = suspect.content
        is_harmless = self.recent_answers.contains(content, record.software, now)
        if is_harmless or len(record.suspects) >= MAX_SUSPECTS_PER_CRASH:
            return
        record.suspects[content] = suspect.account
        known = self.crashes_by_content.setdefault(content, set())
        known.add(crash_id)
        if len(known) > 1:
            self.recurring.add(content)

    def _remove_suspect(self, content: ContentId, crash_id: EndId) -> None:
        self.crashes[crash_id].suspects.pop(content, None)
        known = self.crashes_by_content[content]
        known.discard(crash_id)
        if len(known) <= 1:
            self.recurring.discard(content)
        if not known:
            self.crashes_by_content.pop(content)

    def _remove_crash(self, crash_id: EndId) -> None:
        for content in list(self.crashes[crash_id].suspects):
            self._remove_suspect(content, crash_id)
        instance = self.crashes.pop(crash_id).instance
        known = self.crashes_by_instance[instance]
        known.discard(crash_id)
        if not known:
            self.crashes_by_instance.pop(instance)

    def _expire(self, now: float) -> None:
        old = [
            name
            for name, record in self.crashes.items()
            if now - record.crashed_at > EVIDENCE_RETENTION_S
        ]
        surplus = list(self.crashes)[: max(0, len(self.crashes) - MAX_CRASHES)]
        forgotten = {*old, *surplus}
        for crash_id in forgotten:
            self._remove_crash(crash_id)
