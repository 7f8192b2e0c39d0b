"""Evidence on request contents that crash servers: what ran on a server when it crashed.

A crash is the unplanned end of one lifetime of a server. Every content in flight on the
server becomes a suspect, because the one that caused the crash can't be told from outside.
:mod:`ringseam.quarantine` decides what follows from the evidence.
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

#: Reports of one crash by several gateways differ in time by less than this, seconds. A
#: crashed server takes a second or more to restart, so its next crash is further away.
SAME_CRASH_TOLERANCE_S = 0.8
#: Age at which a crash is discarded, seconds: clients that resend do so within minutes.
EVIDENCE_RETENTION_S = 600.0
#: A content isn't suspected for this long after a server answered it, seconds. Popular
#: contents, such as a fixed signal, are in flight at every crash without causing any; less
#: popular ones are in flight at three crashes by chance too rarely to need an exemption.
RECENT_ANSWER_S = 20.0
#: A crash is refuted by this many reports of the same lifetime, the first one this long
#: after the crash and each at this distance from the one before, seconds. Reports sent
#: before the crash can arrive seconds late, and all at once after a network partition; a
#: live server keeps reporting.
REPORTS_TO_REFUTE = 2
REFUTE_DELAY_S = 5.0
REPORT_SPACING_S = 1.0
#: Bounds on memory: at about 100 bytes per item at most 7 MB, even if every server of a
#: large fleet crashes.
MAX_CRASHES = 128
MAX_SUSPECTS_PER_CRASH = 512
MAX_RECENT_ANSWERS = 4096

#: Identifies one crash of a server.
EndId = NewType('EndId', str)


@dataclass(kw_only=True)
class RecentAnswers:
    """Times of the latest answers, by content and software version of the server."""

    answered_at: dict[tuple[ContentId, str], float] = field(default_factory=dict)

    def record(self, content: ContentId, software: str, now: float) -> None:
        """Record that a server answered a content with success."""
        self.answered_at.pop((content, software), None)
        self.answered_at[content, software] = now
        if len(self.answered_at) > MAX_RECENT_ANSWERS:
            self.answered_at.pop(next(iter(self.answered_at)))

    def contains(self, content: ContentId, software: str, now: float) -> bool:
        """Return whether a server of this version answered the content recently."""
        return now - self.answered_at.get((content, software), float('-inf')) < RECENT_ANSWER_S


@dataclass(kw_only=True)
class CrashRecord:
    """One crash of a server; times are in seconds of the local clock."""

    #: The lifetime that the gateways knew at the time.
    instance: BackendId
    service: str
    software: str
    crashed_at: float
    #: When a gateway last reported the crash.
    last_reported_at: float
    #: Client accounts by content.
    suspects: dict[ContentId, str] = field(default_factory=dict)
    #: How many reports of the lifetime have counted against the crash.
    refuting_reports: int = 0
    #: When the latest of them came.
    last_refuting_at: float = float('-inf')

    def record_report(self, now: float) -> bool:
        """Count a report of the lifetime; return whether the crash is now refuted."""
        is_spaced = now - self.last_refuting_at >= REPORT_SPACING_S
        if is_spaced and now - self.crashed_at > REFUTE_DELAY_S:
            self.refuting_reports += 1
            self.last_refuting_at = now
        return self.refuting_reports >= REPORTS_TO_REFUTE


@dataclass(kw_only=True)
class Evidence:
    """Crashes of servers, with the contents that were in flight on them."""

    crashes: dict[EndId, CrashRecord] = field(default_factory=dict)
    crashes_by_instance: dict[BackendId, set[EndId]] = field(default_factory=dict)
    crashes_by_content: dict[ContentId, set[EndId]] = field(default_factory=dict)
    #: Contents that were in flight at more than one crash.
    recurring: set[ContentId] = field(default_factory=set)
    recent_answers: RecentAnswers = field(default_factory=RecentAnswers)

    def record_crash(self, crash: ServerCrash, now: float) -> None:
        """Record one gateway's report of a crash and of what was in flight."""
        crash_id, record = self._find_or_add(crash, now - crash.age_ms / MS_PER_S)
        record.last_reported_at = now
        for suspect in crash.suspects:
            self._add_suspect(crash_id, record, suspect, now)
        self._expire(now)

    def remove_refuted(self, instance: BackendId, now: float) -> list[EndId]:
        """Count a report of a lifetime; drop and return the crashes that it refutes."""
        refuted = [
            crash_id
            for crash_id in self.crashes_by_instance.get(instance, ())
            if self.crashes[crash_id].record_report(now)
        ]
        for crash_id in refuted:
            self._remove_crash(crash_id)
        return refuted

    def record_answer(self, content: ContentId, software: str, now: float) -> None:
        """Clear a content of all crashes of the software version that answered it."""
        self.recent_answers.record(content, software, now)
        for crash_id in list(self.crashes_by_content.get(content, ())):
            if self.crashes[crash_id].software == software:
                self._remove_suspect(content, crash_id)

    def forget_content(self, content: ContentId) -> None:
        """Clear a content of all crashes."""
        for crash_id in list(self.crashes_by_content.get(content, ())):
            self._remove_suspect(content, crash_id)

    def crashes_of(self, content: ContentId) -> set[EndId]:
        """Return the crashes that a content is suspected of."""
        return self.crashes_by_content.get(content, set())

    def is_ambiguous(self, content: ContentId, crashes: Iterable[EndId]) -> bool:
        """Return whether another content is a suspect of all these crashes too."""
        others_by_crash = [
            self.crashes[crash_id].suspects.keys() - {content} for crash_id in crashes
        ]
        return bool(others_by_crash and set.intersection(*others_by_crash))

    # -- helpers ------------------------------------------------------------

    def _find_or_add(self, crash: ServerCrash, at: float) -> tuple[EndId, CrashRecord]:
        """Return the record of a crash, which another gateway may have reported before.

        A restarted server can receive requests before its new lifetime is known. A crash
        that is reported under the same lifetime but at a later time is a separate one.
        """
        for known in self.crashes_by_instance.get(crash.instance, ()):
            if abs(self.crashes[known].crashed_at - at) < SAME_CRASH_TOLERANCE_S:
                return known, self.crashes[known]
        record = CrashRecord(
            instance=crash.instance,
            service=crash.service,
            software=crash.software,
            crashed_at=at,
            last_reported_at=at,
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
        crash_ids = self.crashes_by_content.setdefault(content, set())
        crash_ids.add(crash_id)
        if len(crash_ids) > 1:
            self.recurring.add(content)

    def _remove_suspect(self, content: ContentId, crash_id: EndId) -> None:
        self.crashes[crash_id].suspects.pop(content, None)
        crash_ids = self.crashes_by_content[content]
        crash_ids.discard(crash_id)
        if len(crash_ids) <= 1:
            self.recurring.discard(content)
        if not crash_ids:
            self.crashes_by_content.pop(content)

    def _remove_crash(self, crash_id: EndId) -> None:
        for content in list(self.crashes[crash_id].suspects):
            self._remove_suspect(content, crash_id)
        instance = self.crashes.pop(crash_id).instance
        crash_ids = self.crashes_by_instance[instance]
        crash_ids.discard(crash_id)
        if not crash_ids:
            self.crashes_by_instance.pop(instance)

    def _expire(self, now: float) -> None:
        old = [
            crash_id
            for crash_id, record in self.crashes.items()
            if now - record.crashed_at > EVIDENCE_RETENTION_S
        ]
        surplus = list(self.crashes)[: max(0, len(self.crashes) - MAX_CRASHES)]
        forgotten = {*old, *surplus}
        for crash_id in forgotten:
            self._remove_crash(crash_id)
