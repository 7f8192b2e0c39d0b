"""Suspicion and quarantine of prompt parts, without a network.

The scenario: requests that are all different share one part, and each server that begins a
response on it crashes. Sound requests of the same account share the other parts. Only the
requests with the crashing part may be rejected, and after as few crashes as that allows.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.attribution import (
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_QUARANTINE_AMBIGUOUS,
    CRASHES_TO_QUARANTINE_PART,
    REPORT_SETTLE_S,
)
from ringseam.evidence import RECENT_ANSWER_S
from ringseam.quarantine import RETEST_AFTER_S, VERDICTS_TO_CONFINE, Quarantine, TrialState, Verdict
from ringseam.quarantinemessages import ServerCrash, Suspect

BAD = 'part-bad'
SHARED = 'part-shared'
STEP_S = 2 * REPORT_SETTLE_S


def suspect(content, *parts, account='acme'):
    return Suspect(content=content, account=account, parts=tuple(parts))


def bad(number, *parts, account='acme'):
    """Return a request with the crashing part that is unlike all others."""
    return suspect(f'c{number}', *parts, BAD, f'part-own{number}', account=account)


class Harness:
    """A quarantine with a manual clock."""

    def __init__(self):
        self.quarantine = Quarantine()
        self.now = 0.0
        self.crashes = 0

    def crash(self, *suspects, software='v1', ran_ms=()):
        """Crash a server under requests; return the ids of the verdicts that follow."""
        self.crashes += 1
        report = ServerCrash(
            instance=f's{self.crashes}',
            service='s',
            software=software,
            suspects=suspects,
            ran_ms=ran_ms,
        )
        self.quarantine.record_crash(report, self.now)
        self.now += STEP_S
        return self.quarantine.evaluate(self.now)

    def crash_bad(self, count, *parts, start=0, account='acme'):
        return [
            verdict
            for number in range(start, start + count)
            for verdict in self.crash(bad(number, *parts, account=account))
        ]

    def answer(self, *keys, software='v1'):
        for key in keys:
            self.quarantine.record_answer(key, software, self.now)

    def ask(self, request, duration_s=5.0):
        return self.quarantine.request_run(request, self.now, duration_s)


# Judged as whole requests, unlike requests with a crashing part begin with no crash each.
def test_part_of_unlike_requests_is_quarantined():
    harness = Harness()
    assert harness.crash_bad(CRASHES_TO_QUARANTINE_PART - 1) == []
    assert harness.crash_bad(1, start=9) == [BAD]
    assert harness.ask(bad(10)) is TrialState.quarantined
    assert harness.ask(suspect('c11', SHARED, 'part-x')) is TrialState.granted
    # Requests of other accounts with it run one at a time.
    assert harness.quarantine.suspects == {BAD}


# Between suspicion and verdict each unlike request would cost a server if all of them ran.
def test_unlike_requests_with_a_suspected_part_run_one_at_a_time():
    harness = Harness()
    harness.crash_bad(2)
    assert harness.ask(bad(5)) is TrialState.granted
    assert harness.ask(bad(6)) is TrialState.busy
    harness.quarantine.finish_trial('c5')
    assert harness.ask(bad(7)) is TrialState.granted


# A verdict on a part rejects more than one on a content, so one repeated request isn't enough.
def test_repeated_request_is_quarantined_by_its_content_not_by_its_parts():
    harness = Harness()
    verdicts = [harness.crash(bad(0)) for _ in range(CRASHES_TO_QUARANTINE + 2)]
    assert [one for verdict in verdicts for one in verdict] == ['c0']
    assert harness.ask(bad(0)) is TrialState.quarantined
    assert [harness.ask(bad(1)), harness.ask(bad(2))] == [TrialState.granted, TrialState.busy]


# The crashes of a repeated request counted for nothing once its content was quarantined.
def test_crashes_of_a_quarantined_content_count_against_its_parts():
    harness = Harness()
    for _ in range(CRASHES_TO_QUARANTINE):
        harness.crash(bad(0))
    assert list(harness.quarantine.verdicts) == ['c0']
    assert harness.crash(bad(1)) == [BAD]
    assert list(harness.quarantine.verdicts) == [BAD]
    assert harness.ask(bad(0)) is TrialState.quarantined


# The first part of all prompts is in flight at every crash.
def test_popular_part_is_never_suspected():
    harness = Harness()
    for number in range(10):
        harness.answer(SHARED)
        harness.crash(bad(number, SHARED), suspect(f'sound{number}', SHARED, f'part-b{number}'))
        assert SHARED not in harness.quarantine.suspects
        harness.now += RECENT_ANSWER_S / 4
    assert set(harness.quarantine.verdicts) == {BAD}


# A release that crashes on everything would have common parts rejected at all servers.
def test_part_that_another_version_answers_is_not_suspected():
    harness = Harness()
    harness.answer(SHARED, software='v1')
    for number in range(6):
        assert harness.crash(suspect(f'c{number}', SHARED), software='v2') == []
    assert not harness.quarantine.suspects


# A sound part can be in flight at all crashes of the crashing one, on requests of its own.
def test_of_parts_at_the_same_crashes_the_one_that_began_last_is_quarantined():
    harness = Harness()
    verdicts = []
    for number in range(CRASHES_TO_QUARANTINE_AMBIGUOUS):
        verdicts += harness.crash(
            suspect(f'sound{number}', 'part-always'), bad(number), ran_ms=(250, 30)
        )
    assert verdicts == [BAD]


def test_answer_clears_a_part_that_is_suspected():
    harness = Harness()
    for number in range(3):
        harness.crash(suspect(f'c{number}', SHARED))
    assert SHARED in harness.quarantine.suspects
    harness.answer('other', SHARED)
    assert [harness.ask(suspect(f'd{number}', SHARED)) for number in range(2)] == [
        TrialState.granted
    ] * 2
    assert harness.crash(suspect('c4', SHARED)) == []


# Servers that crash at once crash for one cause, whatever was in flight on all of them.
def test_servers_that_crash_at_once_are_one_crash_of_a_part():
    harness = Harness()
    for number in range(8):
        assert harness.crash(suspect(f'c{number}', SHARED), ran_ms=(60_000,)) == []
    assert SHARED not in harness.quarantine.suspects
    for number in range(CRASHES_TO_QUARANTINE_PART - 1):
        assert harness.crash(suspect(f'd{number}', SHARED)) == (
            [SHARED] if number == CRASHES_TO_QUARANTINE_PART - 2 else []
        )


# A sound part that only ever came beside the crashing one can't be told from it.
def test_parts_that_always_come_together_are_rejected_together_only():
    harness = Harness()
    (known,) = harness.crash_bad(CRASHES_TO_QUARANTINE_PART, 'part-beside')
    assert harness.quarantine.verdicts[known].keys == {BAD, 'part-beside'}
    assert harness.ask(bad(20, 'part-beside')) is TrialState.quarantined
    assert harness.ask(suspect('e1', 'part-beside')) is TrialState.granted
    assert harness.ask(suspect('e2', 'part-beside')) is TrialState.busy
    harness.answer('e1', 'part-beside')
    assert harness.ask(suspect('e2', 'part-beside')) is TrialState.granted
    assert harness.ask(bad(21)) is TrialState.quarantined


def test_crash_under_one_of_two_parts_narrows_the_verdict():
    harness = Harness()
    harness.crash_bad(CRASHES_TO_QUARANTINE_PART, 'part-beside')
    assert harness.crash(bad(20)) == [BAD]
    assert list(harness.quarantine.verdicts) == [BAD]


def test_two_crashing_parts_at_once_are_both_found():
    harness = Harness()
    verdicts = []
    for number in range(2 * CRASHES_TO_QUARANTINE_AMBIGUOUS):
        for part in (BAD, 'part-worse'):
            request = suspect(f'{part}{number}', part, f'part-own-{part}{number}')
            if harness.ask(request) is TrialState.granted:
                verdicts += harness.crash(request)
                harness.quarantine.finish_trial(request.content)
    assert sorted(verdicts) == [BAD, 'part-worse']
    assert harness.crashes <= 2 * CRASHES_TO_QUARANTINE_AMBIGUOUS


# Whoever lists another account's part beside a crashing one must not have it rejected.
def test_verdict_holds_for_the_account_whose_requests_crashed():
    harness = Harness()
    harness.crash_bad(CRASHES_TO_QUARANTINE_PART, account='mallory')
    assert harness.ask(bad(30, account='mallory')) is TrialState.quarantined
    assert harness.ask(bad(31, account='acme')) is TrialState.granted
    assert harness.ask(bad(32, account='acme')) is TrialState.busy
    harness.answer('c31', BAD)
    assert harness.ask(bad(33, account='acme')) is TrialState.granted
    assert not harness.quarantine.verdicts


def test_crash_under_another_account_extends_the_verdict_to_all():
    harness = Harness()
    harness.crash_bad(CRASHES_TO_QUARANTINE_PART, account='mallory')
    assert harness.crash(bad(30, account='acme')) == [BAD]
    assert harness.ask(bad(31, account='third')) is TrialState.quarantined


def test_part_of_several_accounts_is_quarantined_for_all():
    harness = Harness()
    accounts = ['one', 'two'] * CRASHES_TO_QUARANTINE_PART
    verdicts = []
    for number, account in enumerate(accounts[:CRASHES_TO_QUARANTINE_PART]):
        verdicts += harness.crash(bad(number, account=account))
    assert verdicts == [BAD]
    assert harness.ask(bad(31, account='third')) is TrialState.quarantined


# The sound requests of an account share its other parts; to confine them would punish these.
def test_verdicts_on_parts_confine_no_account():
    harness = Harness()
    for group in range(VERDICTS_TO_CONFINE + 1):
        for number in range(CRASHES_TO_QUARANTINE_PART):
            harness.crash(suspect(f'c{group}-{number}', f'part-bad{group}'))
    assert len(harness.quarantine.verdicts) == VERDICTS_TO_CONFINE + 1
    assert not harness.quarantine.confined


def test_retest_of_a_part_costs_one_server_and_restores_the_same_verdict():
    harness = Harness()
    harness.crash_bad(CRASHES_TO_QUARANTINE_PART)
    harness.now += RETEST_AFTER_S + 1
    harness.quarantine.evaluate(harness.now)
    assert [harness.ask(bad(40)), harness.ask(bad(41))] == [TrialState.granted, TrialState.busy]
    assert harness.crash(bad(40)) == [BAD]
    assert harness.quarantine.verdicts[BAD].keys == {BAD}


def test_recorded_verdict_on_two_parts_is_in_force_at_once():
    quarantine = Quarantine()
    quarantine.restore(
        'digest',
        Verdict(
            service='s',
            account='acme',
            software=frozenset({'v1'}),
            quarantined_at=0,
            keys=frozenset({'part-x', 'part-y'}),
        ),
    )
    asked = [
        quarantine.request_run(suspect('c', *parts), 0, 1)
        for parts in (('part-x', 'part-y'), ('part-x',), ('part-z',))
    ]
    assert asked == [TrialState.quarantined, TrialState.granted, TrialState.granted]
    assert quarantine.suspects == {'part-x', 'part-y'}


def test_random_parts_push_no_evidence_out():
    """A client that sends random parts to hide the part that crashes servers."""
    harness = Harness()
    verdicts = []
    for number in range(CRASHES_TO_QUARANTINE_PART):
        noise = [f'part-{number}-{one}' for one in range(63)]
        beside = [
            suspect(f'n{number}-{one}', *[f'part-n{number}-{one}-{part}' for part in range(63)])
            for one in range(16)
        ]
        verdicts += harness.crash(*beside, bad(number, *noise))
    assert verdicts == [BAD]


def reference_verdicts(crashes, cleared):
    """Return the sets of keys of all verdicts after the last crash, by brute force.

    :param crashes: for each crash the keys of each request; keys of parts begin with 'part-'.
    """
    verdicts = []

    def at(key, known):
        return [index for index, crash in enumerate(known) if any(key in one for one in crash)]

    def companions(key, indexes, known):
        shared = [one - cleared for index in indexes for one in known[index] if key in one]
        return set.intersection(*shared) - {key} if shared else set()

    def unexplained(key, known):
        return [
            index
            for index in at(key, known)
            if not any(
                key not in keys | beside and any(keys <= one for one in known[index])
                for keys, beside in verdicts
            )
        ]

    def is_suspect(key, known):
        if any(keys == {key} for keys, _ in verdicts):
            return False
        if any(key in keys for keys, _ in verdicts):
            return True
        return len(at(key, known)) >= 3 or len(unexplained(key, known)) >= 2

    def verdict_on(key, known):
        indexes = unexplained(key, known)
        beside = companions(key, indexes, known)
        is_part = key.startswith('part-')
        if is_part and any(not one.startswith('part-') for one in beside):
            return None
        rivals = [set().union(*known[index]) - cleared - beside - {key} for index in indexes]
        is_ambiguous = bool(rivals) and bool(set.intersection(*rivals))
        if is_ambiguous and len(indexes) < CRASHES_TO_QUARANTINE_AMBIGUOUS:
            return None
        needed = CRASHES_TO_QUARANTINE_PART if is_part else CRASHES_TO_QUARANTINE
        needed -= len(at(key, known)) - len(indexes) >= 2
        if len(indexes) < needed:
            return None
        keys = {key} | {one for one in beside if is_part}
        return None if any(keys == other for other, _ in verdicts) else (keys, beside - keys)

    for last in range(len(crashes)):
        known = crashes[: last + 1]
        for _ in range(3):
            keys_seen = {key for crash in known for one in crash for key in one} - cleared
            for key in sorted(keys_seen):
                found = verdict_on(key, known) if is_suspect(key, known) else None
                if found:
                    verdicts = [one for one in verdicts if not found[0] <= one[0] | one[1]]
                    verdicts.append(found)
    return {frozenset(keys) for keys, _ in verdicts}


requests_in_flight = st.frozensets(
    st.tuples(
        st.sampled_from(['c1', 'c2', 'c3', 'c4', 'c5', 'c6']),
        st.frozensets(st.sampled_from(['part-a', 'part-b', 'part-c']), max_size=2),
    ),
    min_size=1,
    max_size=3,
)


@given(
    crashes=st.lists(requests_in_flight, max_size=10),
    cleared=st.frozensets(st.sampled_from(['c1', 'part-a']), max_size=1),
)
def test_verdicts_match_the_reference_implementation(crashes, cleared):
    harness = Harness()
    harness.answer(*cleared)
    for requests in crashes:
        harness.crash(
            *[suspect(content, *sorted(parts)) for content, parts in sorted(requests, key=str)]
        )
        # A verdict explains crashes, which may lead to the next verdict.
        harness.quarantine.evaluate(harness.now)
        harness.quarantine.evaluate(harness.now)
    expected = reference_verdicts(
        [[{content, *parts} for content, parts in requests] for requests in crashes], set(cleared)
    )
    assert {verdict.keys for verdict in harness.quarantine.verdicts.values()} == expected


@pytest.mark.parametrize('place', range(3))
def test_place_of_a_crashing_part_makes_no_difference(place):
    harness = Harness()
    harness.answer('part-a', 'part-b')
    verdicts = []
    for number in range(CRASHES_TO_QUARANTINE_PART):
        parts = ['part-a', 'part-b']
        parts.insert(place, BAD)
        verdicts += harness.crash(suspect(f'c{number}', *parts, f'part-own{number}'))
    assert verdicts == [BAD]
