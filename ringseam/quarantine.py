"""Quarantine of requests that crash the servers that run them.

A request that crashes every server is known as a query of death or poison message. It is known
again by its content, or by a part of its prompt that other requests have too. The classes here
hold state only; they do no input or output.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.attribution import Attribution
from ringseam.contents import is_part
from ringseam.evidence import Evidence
from ringseam.verdicts import Verdict, VerdictIndex, verdict_id

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.contents import ContentId
    from ringseam.evidence import EndId
    from ringseam.lifetimes import BackendId
    from ringseam.quarantinemessages import ServerCrash, Suspect

#: A client account with this many contents quarantined at a service within this window,
#: seconds, is confined there, so that a hundred crashing bodies cost the other accounts few
#: servers. Below the threshold 6 servers crash in 30 s, each down for 2 to 5 s, so one is
#: down at a time on average. Verdicts on parts don't count: the sound requests of an account
#: share its other parts, and the verdict alone keeps the others away from servers.
VERDICTS_TO_CONFINE = 3
CONFINEMENT_WINDOW_S = 30.0
#: A verdict is lifted for a retest after this long, seconds, and after twice as long each
#: further time. A retest can cost a server: one per hour at first.
RETEST_AFTER_S = 3600.0
#: What crashed with other suspects waits this long, seconds, for a trial run without them: its
#: answer would show that it is sound, and a crash of both shows nothing.
SEPARATE_TRIAL_WAIT_S = 1.0
#: Maximum number of stored verdicts, of about 100 bytes each.
MAX_VERDICTS = 256


class TrialState(enum.Enum):
    """Decision on a request that may be suspected."""

    #: The request isn't suspected, or no other trial run for the same cause is under way.
    granted = 'granted'
    #: Another run of it, or of one that shares a crash with it, is under way.
    busy = 'busy'
    quarantined = 'quarantined'


@dataclass(frozen=True, kw_only=True)
class TrialRun:
    """A run of a suspected request that was granted."""

    #: When it counts as finished at the latest.
    deadline: float
    #: What the request was suspected for.
    keys: frozenset[ContentId]


@dataclass(kw_only=True)
class Quarantine:  # noqa: WPS214 - evidence and verdicts depend on each other
    """Evidence, suspects and verdicts.

    ``version`` increases with every change that the gateways must learn of.
    """

    evidence: Evidence = field(default_factory=Evidence)
    #: By the id of the verdict: its key, or a digest of several.
    verdicts: dict[ContentId, Verdict] = field(default_factory=dict)
    #: Verdicts lifted for a retest; one more crash reinstates them.
    lifted: dict[ContentId, Verdict] = field(default_factory=dict)
    #: By the content of the request.
    trials: dict[ContentId, TrialRun] = field(default_factory=dict)
    suspects: frozenset[ContentId] = frozenset()
    #: Since when each of them is one.
    suspected_since: dict[ContentId, float] = field(default_factory=dict)
    #: Pairs of an account and the service on which it is confined to a few servers.
    confined: frozenset[tuple[str, str]] = frozenset()
    #: Ids of :attr:`verdicts` and whether they are scoped, at the latest change of the version.
    published: frozenset[tuple[ContentId, bool]] = frozenset()
    version: int = 0
    index: VerdictIndex = field(default_factory=VerdictIndex)
    attribution: Attribution = field(init=False)

    def __post_init__(self) -> None:
        """Attribute crashes by the same evidence and verdicts."""
        self.attribution = Attribution(
            evidence=self.evidence, verdicts=self.verdicts, lifted=self.lifted
        )

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

    def record_answer(self, key: ContentId, software: str, now: float) -> None:
        """Record that a server answered a request with this key: it doesn't crash servers.

        For a content this holds for the version of the server only.
        """
        self.evidence.record_answer(key, software, now)
        for verdicts in (self.verdicts, self.lifted):
            for known_id, verdict in list(verdicts.items()):
                is_cleared = is_part(key) or verdicts is self.lifted or software in verdict.software
                if key in verdict.keys and is_cleared:
                    self._clear_key(verdicts, known_id, key)
        self.trials.pop(key, None)
        self._update_suspects()

    # -- decisions ----------------------------------------------------------

    def evaluate(self, now: float) -> list[ContentId]:
        """Quarantine what has enough crashes, once all gateways have reported them.

        Return the ids of the new verdicts.
        """
        quarantined = []
        for key in sorted(self.suspects | self._confined_contents()):
            if not self.attribution.is_settled(key, now):
                continue
            verdict = self._due_verdict(key, now)
            if verdict is not None:
                quarantined.append(self._add_verdict(verdict))
        self._lift_due(now)
        confined = self._confined_at(now)
        if quarantined or confined != self.confined:
            self.version += confined != self.confined
            self.confined = confined
            self._update_suspects()
        return quarantined

    def find_verdict(self, suspect: Suspect) -> ContentId | None:
        """Return the id of a verdict that applies to a request; None: there is none."""
        for known_id in self.index.candidates(suspect):
            if self.verdicts[known_id].applies_to(suspect.keys, suspect.account):
                return known_id
        return None

    def request_run(self, suspect: Suspect, now: float, duration_s: float) -> TrialState:
        """Return whether a request may run now; a suspected one gets one trial at a time.

        Of what shares a crash only one runs at a time, so that the next crash shows which of
        them is the cause.
        """
        if self.find_verdict(suspect) is not None:
            return TrialState.quarantined
        keys = self.suspects.intersection(suspect.keys)
        if not keys:
            return TrialState.granted
        if any(self._due_verdict(key, now) is not None for key in keys):
            # The next evaluation will quarantine it.
            return TrialState.busy
        if self._awaits_separate_trial(keys, now) or self._is_on_trial(suspect.content, keys, now):
            return TrialState.busy
        self.trials[suspect.content] = TrialRun(deadline=now + duration_s, keys=keys)
        return TrialState.granted

    def finish_trial(self, content: ContentId) -> None:
        """Record that a trial run is over."""
        self.trials.pop(content, None)

    def restore(self, known_id: ContentId, verdict: Verdict) -> None:
        """Restore a recorded verdict."""
        verdict.keys = verdict.keys or frozenset((known_id,))
        self.verdicts[known_id] = verdict
        self._verdicts_changed()
        self._update_suspects()

    def update_software(self, service: str, software: Collection[str]) -> list[ContentId]:
        """Record the software versions of a service; return the verdicts due for a retest.

        A verdict is lifted once the service runs none of the versions that crashed, because a
        new release may handle the requests.
        """
        lifted = [
            known_id
            for known_id, verdict in self.verdicts.items()
            if verdict.service == service and software and not verdict.software & set(software)
        ]
        for known_id in lifted:
            self._lift(known_id)
        if lifted:
            self._update_suspects()
        return lifted

    def lift(self, known_id: ContentId) -> bool:
        """Lift a verdict for a retest; return whether there was one."""
        is_known = known_id in self.verdicts
        if is_known:
            self._lift(known_id)
            self._update_suspects()
        return is_known

    # -- helpers ------------------------------------------------------------

    def _due_verdict(self, key: ContentId, now: float) -> Verdict | None:
        return self.attribution.due_verdict(key, now, confined=self.confined)

    def _awaits_separate_trial(self, keys: frozenset[ContentId], now: float) -> bool:
        """Return whether one of several suspects of a request should be tried without the rest.

        This is so for what was at more crashes than another one, as the parts are that crashing
        requests share with sound ones.
        """
        for key in keys:
            since = self.suspected_since.setdefault(key, now)
            if now - since < SEPARATE_TRIAL_WAIT_S:
                crash_ids = self.evidence.crashes_of(key)
                if any(self.evidence.crashes_of(other) < crash_ids for other in keys):
                    return True
        return False

    def _is_on_trial(self, content: ContentId, keys: frozenset[ContentId], now: float) -> bool:
        """Return whether a trial run is under way that a run for these keys may not join."""
        crash_ids = self.attribution.crashes_of_all(keys)
        for other, run in list(self.trials.items()):
            if run.deadline <= now:
                self.trials.pop(other)
                continue
            others = self.attribution.crashes_of_all(run.keys)
            if other == content or keys & run.keys or crash_ids & others:
                return True
        return False

    def _add_verdict(self, verdict: Verdict) -> ContentId:
        """Put a verdict in force in place of those that only cover some of its requests."""
        known_id = verdict_id(verdict.keys)
        covered = [other_id for other_id, other in self.verdicts.items() if verdict.covers(other)]
        for other_id in covered:
            self.verdicts.pop(other_id)
        self.lifted.pop(known_id, None)
        self.verdicts[known_id] = verdict
        if len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.pop(next(iter(self.verdicts)))
        self.trials = {
            content: run
            for content, run in self.trials.items()
            if content != known_id and not verdict.keys <= run.keys
        }
        self._verdicts_changed()
        return known_id

    def _clear_key(
        self, verdicts: dict[ContentId, Verdict], known_id: ContentId, key: ContentId
    ) -> None:
        """Take a key that proved sound out of a verdict; drop the verdict if none is left."""
        verdict = verdicts.pop(known_id)
        verdict.keys -= {key}
        if verdict.keys:
            verdicts[verdict_id(verdict.keys)] = verdict
        self._verdicts_changed()

    def _lift_due(self, now: float) -> None:
        due = [
            known_id
            for known_id, verdict in self.verdicts.items()
            if now - verdict.quarantined_at > RETEST_AFTER_S * 2**verdict.lifts
        ]
        for known_id in due:
            self._lift(known_id)
        if due:
            self._update_suspects()

    def _lift(self, known_id: ContentId) -> None:
        verdict = self.verdicts.pop(known_id)
        verdict.lifts += 1
        self.lifted[known_id] = verdict
        for key in verdict.keys:
            self.evidence.forget_key(key)
        self._verdicts_changed()

    def _withdraw_verdicts(self, crash_id: EndId) -> None:
        """Withdraw verdicts that have too few crashes left without this one."""
        for known_id, verdict in list(self.verdicts.items()):
            if crash_id in verdict.crashes:
                verdict.crashes.discard(crash_id)
                if len(verdict.crashes) < verdict.crashes_needed:
                    self.verdicts.pop(known_id)
        self._verdicts_changed()

    def _confined_at(self, now: float) -> frozenset[tuple[str, str]]:
        counts: dict[tuple[str, str], int] = {}
        for verdict in self.verdicts.values():
            if verdict.account and not verdict.is_on_parts and _is_recent(verdict, now):
                owner = (verdict.account, verdict.service)
                counts[owner] = counts.get(owner, 0) + 1
        return frozenset(owner for owner, count in counts.items() if count >= VERDICTS_TO_CONFINE)

    def _confined_contents(self) -> set[ContentId]:
        if not self.confined:
            return set()
        return {
            key
            for record in self.evidence.crashes.values()
            for key, account in record.suspects.items()
            if (account, record.service) in self.confined
            and not is_part(key)
            and key not in self.verdicts
        }

    def _verdicts_changed(self) -> None:
        self.index = VerdictIndex.of(
            {known_id: verdict.keys for known_id, verdict in self.verdicts.items()}
        )
        self.attribution.changed()

    def _update_suspects(self) -> None:
        """Recompute the suspects; increase the version if gateways must learn of it."""
        self.attribution.changed()
        before = (self.suspects, self.published)
        rejected = {
            key
            for verdict in self.verdicts.values()
            if not verdict.is_partial
            for key in verdict.keys
        }
        kept = [
            *self.lifted.values(),
            *(verdict for verdict in self.verdicts.values() if verdict.is_partial),
        ]
        suspected = {key for key in self.evidence.recurring if self.attribution.is_suspected(key)}
        suspected.update(key for verdict in kept for key in verdict.keys)
        self.suspects = frozenset(suspected - rejected)
        self.suspected_since = {
            key: since for key, since in self.suspected_since.items() if key in self.suspects
        }
        self.published = frozenset(
            (known_id, verdict.is_scoped) for known_id, verdict in self.verdicts.items()
        )
        if before != (self.suspects, self.published):
            self.version += 1


def _is_recent(verdict: Verdict, now: float) -> bool:
    """Return whether this leader reached a verdict within the window."""
    return bool(verdict.crashes) and now - verdict.quarantined_at < CONFINEMENT_WINDOW_S
