"""Evidence on requests that crash servers: what ran on a server when it crashed.

A crash is the unplanned end of one lifetime of a server. Everything in flight on the server
becomes suspected, because the cause can't be told from outside: the content of each request,
and each part of its prompt. Both are called keys here. :mod:`ringseam.quarantine` decides what
follows from the evidence.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NewType

from ringseam.clock import MS_PER_S
from ringseam.contents import is_part

if TYPE_CHECKING:
    from collections.abc import Collection

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
#: The same for parts of prompts, seconds. Requests that crash servers share their other parts
#: with sound ones; these must be known to be sound even if servers have answered few of them
#: during the crashes.
RECENT_PART_ANSWER_S = 60.0
#: A crash is refuted by this many reports of the same lifetime, the first one this long
#: after the crash and each at this distance from the one before, seconds. Reports sent
#: before the crash can arrive seconds late, and all at once after a network partition; a
#: live server keeps reporting.
REPORTS_TO_REFUTE = 2
REFUTE_DELAY_S = 5.0
REPORT_SPACING_S = 1.0
#: Bounds on memory: at about 100 bytes per item at most 30 MB, even if every server of a
#: large fleet crashes.
MAX_CRASHES = 128
MAX_REQUESTS_PER_CRASH = 512
MAX_SUSPECTS_PER_CRASH = 2048
MAX_RECENT_ANSWERS = 16_384

#: Identifies one crash of a server.
EndId = NewType('EndId', str)


@dataclass(kw_only=True)
class RecentAnswers:
    """Times of the latest answers, by key and software version of the server.

    An answer at one version clears a part of a prompt at all of them: if a new release crashes
    on parts that others answer, the release is the cause, and rejecting requests with these
    parts would reject what the other servers can answer.
    """

    answered_at: dict[tuple[ContentId, str], float] = field(default_factory=dict)

    def record(self, key: ContentId, software: str, now: float) -> None:
        """Record that a server answered a request with this key with success."""
        answer = _answer_of(key, software)
        self.answered_at.pop(answer, None)
        self.answered_at[answer] = now
        if len(self.answered_at) > MAX_RECENT_ANSWERS:
            self.answered_at.pop(next(iter(self.answered_at)))

    def contains(self, key: ContentId, software: str, now: float) -> bool:
        """Return whether a server of this version answered a request with this key recently."""
        answered_at = self.answered_at.get(_answer_of(key, software), float('-inf'))
        window_s = RECENT_PART_ANSWER_S if is_part(key) else RECENT_ANSWER_S
        return now - answered_at < window_s


def _answer_of(key: ContentId, software: str) -> tuple[ContentId, str]:
    return key, '' if is_part(key) else software


@dataclass(kw_only=True)
class CrashedRequest:
    """A request that was in flight at a crash."""

    #: Its content and the parts of its prompt.
    keys: frozenset[ContentId]
    account: str
    #: When it was sent, seconds of the local clock.
    sent_at: float


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
    #: The suspected contents and parts, with a client account each.
    suspects: dict[ContentId, str] = field(default_factory=dict)
    #: The requests in flight, by their keys.
    requests: dict[frozenset[ContentId], CrashedRequest] = field(default_factory=dict)
    requests_by_key: dict[ContentId, list[CrashedRequest]] = field(default_factory=dict)
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

    def requests_with(self, key: ContentId) -> list[CrashedRequest]:
        """Return the requests that are suspected by a key."""
        return self.requests_by_key.get(key, [])

    def last_sent_at(self, key: ContentId) -> float:
        """Return when the last of the requests with a key was sent."""
        return max(
            (request.sent_at for request in self.requests_with(key)), default=self.crashed_at
        )

    def add_request(self, suspect: Suspect, sent_at: float) -> None:
        """Add a request that was in flight, as several gateways may report it."""
        keys = frozenset(suspect.keys)
        known = self.requests.get(keys)
        if known is not None:
            known.sent_at = max(known.sent_at, sent_at)
        elif len(self.requests) < MAX_REQUESTS_PER_CRASH:
            added = CrashedRequest(keys=keys, account=suspect.account, sent_at=sent_at)
            self.requests[keys] = added
            for key in keys:
                self.requests_by_key.setdefault(key, []).append(added)


@dataclass(kw_only=True)
class Evidence:
    """Crashes of servers, with what was in flight on them."""

    crashes: dict[EndId, CrashRecord] = field(default_factory=dict)
    crashes_by_instance: dict[BackendId, set[EndId]] = field(default_factory=dict)
    crashes_by_key: dict[ContentId, set[EndId]] = field(default_factory=dict)
    #: Keys that were in flight at more than one crash.
    recurring: set[ContentId] = field(default_factory=set)
    recent_answers: RecentAnswers = field(default_factory=RecentAnswers)

    def record_crash(self, crash: ServerCrash, now: float) -> None:
        """Record one gateway's report of a crash and of what was in flight."""
        crashed_at = now - crash.age_ms / MS_PER_S
        crash_id, record = self._find_or_add(crash, crashed_at)
        record.last_reported_at = now
        for suspect, ran_ms in crash.suspects_with_age():
            added = [self._add_suspect(crash_id, suspect, key, now) for key in suspect.keys]
            if any(added):
                record.add_request(suspect, crashed_at - max(0, ran_ms) / MS_PER_S)
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

    def record_answer(self, key: ContentId, software: str, now: float) -> None:
        """Clear a key of all crashes, a content only at the version that answered it."""
        self.recent_answers.record(key, software, now)
        for crash_id in list(self.crashes_by_key.get(key, ())):
            if is_part(key) or self.crashes[crash_id].software == software:
                self._remove_suspect(key, crash_id)

    def forget_key(self, key: ContentId) -> None:
        """Clear a key of all crashes."""
        for crash_id in list(self.crashes_by_key.get(key, ())):
            self._remove_suspect(key, crash_id)

    def crashes_of(self, key: ContentId) -> set[EndId]:
        """Return the crashes that a key is suspected of."""
        return self.crashes_by_key.get(key, set())

    def rivals_of(self, key: ContentId, crashes: Collection[EndId]) -> set[ContentId]:
        """Return what else is suspected of all these crashes.

        What is in all requests that are suspected by this key is none: it can't be told apart,
        and a verdict on both rejects the same requests.
        """
        inseparable = {key, *self.companions_of(key, crashes)}
        others_by_crash = [
            self.crashes[crash_id].suspects.keys() - inseparable for crash_id in crashes
        ]
        return set.intersection(*others_by_crash) if others_by_crash else set()

    def in_flight_s(self, key: ContentId, crashes: Collection[EndId]) -> float:
        """Return for how long requests with a key had been in flight at crashes, in total."""
        records = map(self.crashes.__getitem__, crashes)
        return sum(record.crashed_at - record.last_sent_at(key) for record in records)

    def companions_of(self, key: ContentId, crashes: Collection[EndId]) -> set[ContentId]:
        """Return the other suspected keys that all requests with this one have at crashes."""
        shared = [
            request.keys & record.suspects.keys()
            for record in map(self.crashes.__getitem__, crashes)
            for request in record.requests_with(key)
        ]
        return set.intersection(*map(set, shared)) - {key} if shared else set()

    def accounts_of(self, key: ContentId, crashes: Collection[EndId]) -> set[str]:
        """Return the client accounts whose requests had a key at crashes."""
        return {
            request.account
            for crash_id in crashes
            for request in self.crashes[crash_id].requests_with(key)
        }

    def count_rounds(self, key: ContentId, crashes: Collection[EndId]) -> int:
        """Return how many crashes followed one another, each under a request sent after the last.

        Servers that crash at once, as their zone loses power, crash for one cause: what was in
        flight on all of them is no more suspicious for their number.
        """
        rounds = 0
        last_at = float('-inf')
        records = sorted(map(self.crashes.__getitem__, crashes), key=_crashed_at)
        for record in records:
            if record.last_sent_at(key) >= last_at:
                rounds += 1
                last_at = record.crashed_at
        return rounds

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

    def _add_suspect(self, crash_id: EndId, suspect: Suspect, key: ContentId, now: float) -> bool:
        """Suspect a key of a request; return whether it is suspected."""
        record = self.crashes[crash_id]
        if self.recent_answers.contains(key, record.software, now):
            return False
        if key not in record.suspects and len(record.suspects) >= MAX_SUSPECTS_PER_CRASH:
            return False
        record.suspects[key] = suspect.account
        crash_ids = self.crashes_by_key.setdefault(key, set())
        crash_ids.add(crash_id)
        if len(crash_ids) > 1:
            self.recurring.add(key)
        return True

    def _remove_suspect(self, key: ContentId, crash_id: EndId) -> None:
        self.crashes[crash_id].suspects.pop(key, None)
        crash_ids = self.crashes_by_key[key]
        crash_ids.discard(crash_id)
        if len(crash_ids) <= 1:
            self.recurring.discard(key)
        if not crash_ids:
            self.crashes_by_key.pop(key)

    def _remove_crash(self, crash_id: EndId) -> None:
        for key in list(self.crashes[crash_id].suspects):
            self._remove_suspect(key, crash_id)
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


def _crashed_at(record: CrashRecord) -> float:
    return record.crashed_at
