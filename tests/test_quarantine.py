"""Suspicion and quarantine of contents, without a network.

The scenario: one content crashes each server 30 ms after it starts there, and its client
resends it under new request ids while 128 other requests are in flight on each engine. One
content may cost at most three servers, and the contents that were in flight with it are no
longer suspected once it is quarantined.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from ringseam.attribution import CRASHES_TO_QUARANTINE_AMBIGUOUS, REPORT_SETTLE_S
from ringseam.evidence import MAX_CRASHES, REFUTE_DELAY_S, REPORT_SPACING_S, REPORTS_TO_REFUTE
from ringseam.quarantine import (
    CONFINEMENT_WINDOW_S,
    MAX_VERDICTS,
    RETEST_AFTER_S,
    VERDICTS_TO_CONFINE,
    Quarantine,
    TrialState,
    Verdict,
)
from ringseam.quarantinemessages import ServerCrash, Suspect

CRASHING = 'guilty'
STEP_S = 2 * REPORT_SETTLE_S


def crash(instance, *contents, software='v1', service='s', account='acme', age_ms=0):
    suspects = tuple(Suspect(content=content, account=account) for content in contents)
    return ServerCrash(
        instance=instance,
        service=service,
        software=software,
        suspects=suspects,
        age_ms=age_ms,
    )


class QuarantineHarness:
    """A quarantine with a manual clock."""

    def __init__(self):
        self.quarantine = Quarantine()
        self.now = 0.0

    def crash(self, *crashes):
        for one in crashes:
            self.quarantine.record_crash(one, self.now)
        self.now += STEP_S
        return self.quarantine.evaluate(self.now)

    def ask(self, content, duration_s=5.0):
        return self.quarantine.request_run(Suspect(content=content), self.now, duration_s)


def test_third_crash_quarantines():
    harness = QuarantineHarness()
    assert harness.crash(crash('a', CRASHING)) == []
    assert harness.crash(crash('b', CRASHING)) == []
    assert harness.crash(crash('c', CRASHING)) == [CRASHING]
    assert harness.ask(CRASHING) is TrialState.quarantined


def test_second_crash_before_the_new_lifetime_is_known_counts_separately():
    """Guards against merging two crashes that are reported under the same lifetime: the
    content behind the first crash was then blamed for the second one as well."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, 'other'))
    harness.now += 1.5
    assert [harness.crash(crash(server, CRASHING)) for server in 'abc'] == [[], [], [CRASHING]]


def test_crash_reported_again_to_a_new_leader_counts_once():
    harness = QuarantineHarness()
    harness.now = 100
    for age_ms in (0, 0, 5000, 5100):
        harness.quarantine.record_crash(crash('a', CRASHING, age_ms=age_ms), harness.now)
    assert len(harness.quarantine.evidence.crashes) == 2


def test_after_the_second_crash_only_one_trial_runs_at_a_time():
    harness = QuarantineHarness()
    harness.crash(crash('a', CRASHING))
    assert [harness.ask(CRASHING), harness.ask(CRASHING)] == [TrialState.granted] * 2
    harness.crash(crash('b', CRASHING))
    assert [harness.ask(CRASHING), harness.ask(CRASHING)] == [TrialState.granted, TrialState.busy]


def test_unfinished_trial_expires_at_its_deadline():
    harness = QuarantineHarness()
    harness.crash(crash('a', CRASHING))
    harness.crash(crash('b', CRASHING))
    harness.ask(CRASHING, duration_s=5)
    harness.now += 5
    assert harness.ask(CRASHING) is TrialState.granted


def test_no_verdict_before_all_gateways_have_reported_a_crash():
    """Another gateway may report a harmless content at the same crashes a little later."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.quarantine.record_crash(crash(server, CRASHING), harness.now)
    assert harness.quarantine.evaluate(harness.now + REPORT_SETTLE_S / 2) == []
    assert harness.ask(CRASHING) is TrialState.busy
    assert harness.quarantine.evaluate(harness.now + REPORT_SETTLE_S) == [CRASHING]


def test_verdict_clears_other_suspects_of_the_same_crashes():
    harness = QuarantineHarness()
    harness.crash(crash('a', CRASHING, 'x', 'y'))
    harness.crash(crash('b', CRASHING, 'x'))
    assert harness.quarantine.suspects == {CRASHING, 'x'}
    assert harness.crash(crash('c', CRASHING, 'y')) == [CRASHING]
    assert not harness.quarantine.suspects
    assert harness.ask('x') is TrialState.granted


def test_ambiguous_contents_run_as_trials_one_after_the_other():
    harness = QuarantineHarness()
    for server in 'abc':
        assert harness.crash(crash(server, CRASHING, 'twin')) == []
    assert harness.ask(CRASHING) is TrialState.granted
    assert harness.ask('twin') is TrialState.busy
    assert harness.crash(crash('d', CRASHING)) == [CRASHING]
    assert harness.ask('twin') is TrialState.granted


def test_second_crashing_content_costs_two_more_servers_at_most():
    """Two crashing contents at once: the first verdict explains the crashes of both."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING, 'second'))
    assert harness.crash(crash('d', CRASHING)) == [CRASHING]
    assert [harness.ask('second'), harness.ask('second')] == [TrialState.granted, TrialState.busy]
    assert harness.crash(crash('e', 'second')) == []
    assert harness.crash(crash('f', 'second')) == ['second']


def test_harmless_content_at_three_explained_crashes_is_cleared_by_an_answer():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING, 'mate'))
    harness.crash(crash('d', CRASHING))
    assert harness.ask('mate') is TrialState.granted
    harness.quarantine.record_answer('mate', 'v1', harness.now)
    assert [harness.ask('mate'), harness.ask('mate')] == [TrialState.granted] * 2


def test_answer_to_one_of_two_ambiguous_contents_quarantines_the_other():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING, 'twin'))
    harness.quarantine.record_answer('twin', 'v1', harness.now)
    assert harness.quarantine.evaluate(harness.now) == [CRASHING]


def test_ambiguous_contents_cost_five_servers_at_most():
    harness = QuarantineHarness()
    verdicts = [
        harness.crash(crash(f's{number}', CRASHING, 'twin'))
        for number in range(CRASHES_TO_QUARANTINE_AMBIGUOUS)
    ]
    assert verdicts[:-1] == [[]] * (CRASHES_TO_QUARANTINE_AMBIGUOUS - 1)
    assert verdicts[-1]


def test_recently_answered_content_is_not_suspected():
    """A popular content is in flight at every crash, for example when a rack fails."""
    harness = QuarantineHarness()
    harness.quarantine.record_answer('popular', 'v1', harness.now)
    for number in range(20):
        assert harness.crash(crash(f's{number}', 'popular')) == []
    assert not harness.quarantine.suspects


def test_answer_by_another_version_proves_nothing():
    harness = QuarantineHarness()
    harness.quarantine.record_answer(CRASHING, 'v1', harness.now)
    for server in 'ab':
        harness.crash(crash(server, CRASHING, software='v2'))
    assert harness.crash(crash('c', CRASHING, software='v2')) == [CRASHING]


def test_answer_withdraws_a_wrong_verdict():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, 'slow'))
    harness.quarantine.record_answer('slow', 'v1', harness.now)
    assert harness.ask('slow') is TrialState.granted


def test_server_that_keeps_reporting_has_not_crashed():
    """Reports sent before the crash may arrive seconds later and don't count."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    for _ in range(REPORTS_TO_REFUTE):
        harness.quarantine.record_report('c', harness.now)
    harness.now += REFUTE_DELAY_S
    harness.quarantine.record_report('c', harness.now)
    assert harness.ask(CRASHING) is TrialState.quarantined
    harness.now += REPORT_SPACING_S
    harness.quarantine.record_report('c', harness.now)
    assert harness.ask(CRASHING) is TrialState.granted


def test_reports_that_arrive_together_refute_no_crash():
    """A network partition delays reports sent before the crash until it heals."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    harness.now += 2 * REFUTE_DELAY_S
    for _ in range(2 * REPORTS_TO_REFUTE):
        harness.quarantine.record_report('c', harness.now)
        harness.now += REPORT_SPACING_S / 10
    assert harness.ask(CRASHING) is TrialState.quarantined


def test_new_release_lifts_a_verdict_for_one_trial():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    assert harness.quarantine.update_software('s', {'v1', 'v2'}) == []
    assert harness.quarantine.update_software('other', {'v2'}) == []
    assert harness.quarantine.update_software('s', {'v2'}) == [CRASHING]
    assert [harness.ask(CRASHING), harness.ask(CRASHING)] == [TrialState.granted, TrialState.busy]
    assert harness.crash(crash('d', CRASHING, software='v2')) == [CRASHING]
    assert harness.quarantine.update_software('s', {'v2'}) == []


def test_content_answered_by_a_new_release_is_released():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    harness.quarantine.update_software('s', {'v2'})
    harness.quarantine.record_answer(CRASHING, 'v2', harness.now)
    assert not harness.quarantine.suspects
    assert [harness.ask(CRASHING), harness.ask(CRASHING)] == [TrialState.granted] * 2


def test_rolled_back_release_lifts_no_verdict():
    """A release, its rollback and the release again: each retest would cost a server."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    harness.quarantine.update_software('s', {'v2'})
    assert harness.crash(crash('d', CRASHING, software='v2')) == [CRASHING]
    assert harness.quarantine.update_software('s', {'v1'}) == []
    assert harness.quarantine.update_software('s', {'v3'}) == [CRASHING]


def test_verdict_is_lifted_after_one_hour_and_then_after_two():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
    for times in (1, 2):
        harness.now += times * RETEST_AFTER_S - 1
        harness.quarantine.evaluate(harness.now)
        assert harness.ask(CRASHING) is TrialState.quarantined
        harness.now += 2
        harness.quarantine.evaluate(harness.now)
        assert harness.ask(CRASHING) is TrialState.granted
        assert harness.crash(crash(f'later-{times}', CRASHING)) == [CRASHING]


def test_confined_account_costs_one_server_per_crashing_content():
    harness = QuarantineHarness()
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
    assert harness.quarantine.confined == {('mallory', 's')}
    assert harness.crash(crash('next', 'bad-new', account='mallory')) == ['bad-new']
    assert harness.crash(crash('mixed', 'bad-1st', 'bad-2nd', account='mallory')) == []
    assert harness.crash(crash('alien', 'other', account='acme')) == []


def test_confinement_ends_when_no_crashing_contents_follow():
    """Confinement ends early, as the account's other requests share one server meanwhile."""
    harness = QuarantineHarness()
    versions = []
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
        versions.append((bool(harness.quarantine.confined), harness.quarantine.version))
    assert [confined for confined, _ in versions] == [False, False, True]
    harness.now += CONFINEMENT_WINDOW_S
    harness.quarantine.evaluate(harness.now)
    assert not harness.quarantine.confined
    assert harness.quarantine.version > versions[-1][1]
    assert len(harness.quarantine.verdicts) == VERDICTS_TO_CONFINE


def test_verdicts_far_apart_confine_no_account():
    harness = QuarantineHarness()
    for number in range(2 * VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
        harness.now += CONFINEMENT_WINDOW_S / (VERDICTS_TO_CONFINE - 1)
    assert not harness.quarantine.confined


def test_recorded_verdicts_confine_no_account():
    """The leader changes long after the contents were quarantined."""
    quarantine = Quarantine()
    for number in range(VERDICTS_TO_CONFINE):
        held = Verdict(service='s', account='mallory', software=frozenset({'v1'}), quarantined_at=0)
        quarantine.restore(f'bad-{number}', held)
    quarantine.evaluate(0)
    assert not quarantine.confined


def test_memory_is_bounded():
    harness = QuarantineHarness()
    for number in range(MAX_VERDICTS + 50):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account=''))
    assert len(harness.quarantine.verdicts) == MAX_VERDICTS
    assert len(harness.quarantine.evidence.crashes) <= MAX_CRASHES
    assert len(harness.quarantine.evidence.crashes_by_key) <= MAX_CRASHES


def test_recorded_verdict_is_in_force_at_once():
    quarantine = Quarantine()
    quarantine.restore(
        CRASHING, Verdict(service='s', account='', software=frozenset({'v1'}), quarantined_at=0)
    )
    assert quarantine.request_run(Suspect(content=CRASHING), 0, 1) is TrialState.quarantined


def test_version_grows_with_published_changes_only():
    harness = QuarantineHarness()
    versions = [harness.quarantine.version]
    for server in 'abc':
        harness.crash(crash(server, CRASHING))
        versions.append(harness.quarantine.version)
    assert versions[0] == versions[1] < versions[2] < versions[3]
    harness.ask(CRASHING)
    assert harness.quarantine.version == versions[3]


def reference_verdicts(crashes, served):
    """Return the verdicts in order, from a reference implementation over all evidence."""
    verdicts = []
    for last in range(len(crashes)):
        known = crashes[: last + 1]
        changed = True
        while changed:
            changed = False
            for content in sorted({content for one in known for content in one}):
                unexplained = [
                    one - served
                    for one in known
                    if content in one - served and not (one - {content}) & set(verdicts)
                ]
                is_unambiguous = not unexplained or not set.intersection(*unexplained) - {content}
                explained = sum(content in one - served for one in known) - len(unexplained)
                enough = len(unexplained) >= (2 if explained >= 2 else 3)
                is_verdict = enough and (
                    is_unambiguous or len(unexplained) >= CRASHES_TO_QUARANTINE_AMBIGUOUS
                )
                if is_verdict and content not in verdicts:
                    verdicts.append(content)
                    changed = True
    return verdicts


@given(
    ends=st.lists(st.frozensets(st.sampled_from('abcde'), min_size=1), max_size=12),
    served=st.frozensets(st.sampled_from('abcde'), max_size=2),
)
def test_verdicts_match_the_reference_implementation(ends, served):
    harness = QuarantineHarness()
    for content in served:
        harness.quarantine.record_answer(content, 'v1', harness.now)
    verdicts = []
    for number, contents in enumerate(ends):
        verdicts += harness.crash(crash(f's{number}', *sorted(contents), account=''))
        # A verdict explains crashes, which may lead to the next verdict.
        verdicts += harness.quarantine.evaluate(harness.now)
        verdicts += harness.quarantine.evaluate(harness.now)
    assert verdicts == reference_verdicts([set(one) for one in ends], served)


def test_one_crashing_content_among_many_is_the_only_one_quarantined():
    """Thirty random runs of ten rounds with 40 other requests in flight in each."""
    for seed in range(30):
        rng = random.Random(seed)
        harness = QuarantineHarness()
        verdicts = []
        ended = 0
        for _ in range(10):
            others = [f'mate-{rng.randrange(400)}' for _ in range(40)]
            admitted = [other for other in others if harness.ask(other, 1) is TrialState.granted]
            if not verdicts and harness.ask(CRASHING, 1) is TrialState.granted:
                ended += 1
                verdicts = harness.crash(crash(f's{ended}', CRASHING, *admitted))
            harness.now += 1
        assert verdicts == [CRASHING]
        assert ended <= 4
