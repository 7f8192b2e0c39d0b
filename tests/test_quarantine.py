"""Which contents are suspected and quarantined, by plain evidence and no network.

The load: one content ends each server 30 ms after it begins; its client asks again with
new ids while 128 others are under way on each engine. Figures: three servers are what one
content may cost, and whoever shared them with it is free once the verdict falls.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from ringseam.evidence import MAX_CRASHES, REFUTE_DELAY_S, REPORT_SPACING_S, REPORTS_TO_REFUTE
from ringseam.quarantine import (
    CONFINEMENT_WINDOW_S,
    CRASHES_TO_QUARANTINE_AMBIGUOUS,
    MAX_VERDICTS,
    REPORT_SETTLE_S,
    RETEST_AFTER_S,
    VERDICTS_TO_CONFINE,
    Quarantine,
    TrialState,
    Verdict,
)
from ringseam.quarantinemessages import ServerCrash, Suspect

GUILTY = 'guilty'
SOON_S = 2 * REPORT_SETTLE_S


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
    """A quarantine and the time that passes."""

    def __init__(self):
        self.book = Quarantine()
        self.now = 0.0

    def crash(self, *ends):
        for one in ends:
            self.book.record_crash(one, self.now)
        self.now += SOON_S
        return self.book.evaluate(self.now)

    def ask(self, content, lasts_s=5.0):
        return self.book.request_run(content, self.now, lasts_s)


def test_third_end_quarantines():
    harness = QuarantineHarness()
    assert harness.crash(crash('a', GUILTY)) == []
    assert harness.crash(crash('b', GUILTY)) == []
    assert harness.crash(crash('c', GUILTY)) == [GUILTY]
    assert harness.ask(GUILTY) is TrialState.quarantined


def test_server_that_ends_again_before_its_new_start_is_known_has_ended_twice():
    """Seen: one content ended servers that another one had ended just before. Both ends
    bore one name, so the first was taken for the cause of the second as well."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, 'other'))
    harness.now += 1.5
    assert [harness.crash(crash(server, GUILTY)) for server in 'abc'] == [[], [], [GUILTY]]


def test_end_that_is_told_again_to_a_new_leader_is_one_end():
    harness = QuarantineHarness()
    harness.now = 100
    for age_ms in (0, 0, 5000, 5100):
        harness.book.record_crash(crash('a', GUILTY, age_ms=age_ms), harness.now)
    assert len(harness.book.evidence.crashes) == 2


def test_second_end_lets_it_run_on_trial_only_one_at_a_time():
    harness = QuarantineHarness()
    harness.crash(crash('a', GUILTY))
    assert [harness.ask(GUILTY), harness.ask(GUILTY)] == [TrialState.granted] * 2
    harness.crash(crash('b', GUILTY))
    assert [harness.ask(GUILTY), harness.ask(GUILTY)] == [TrialState.granted, TrialState.busy]


def test_trial_that_nobody_concludes_is_over_at_its_deadline():
    harness = QuarantineHarness()
    harness.crash(crash('a', GUILTY))
    harness.crash(crash('b', GUILTY))
    harness.ask(GUILTY, lasts_s=5)
    harness.now += 5
    assert harness.ask(GUILTY) is TrialState.granted


def test_nothing_is_judged_before_all_gateways_have_told_of_an_end():
    """An innocent one that shares the ends is told of by another gateway, a little later."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.book.record_crash(crash(server, GUILTY), harness.now)
    assert harness.book.evaluate(harness.now + REPORT_SETTLE_S / 2) == []
    assert harness.ask(GUILTY) is TrialState.busy
    assert harness.book.evaluate(harness.now + REPORT_SETTLE_S) == [GUILTY]


def test_those_that_shared_its_servers_are_free_once_the_verdict_falls():
    harness = QuarantineHarness()
    harness.crash(crash('a', GUILTY, 'x', 'y'))
    harness.crash(crash('b', GUILTY, 'x'))
    assert harness.book.suspects == {GUILTY, 'x'}
    assert harness.crash(crash('c', GUILTY, 'y')) == [GUILTY]
    assert not harness.book.suspects
    assert harness.ask('x') is TrialState.granted


def test_two_that_share_all_ends_are_tried_one_after_the_other():
    harness = QuarantineHarness()
    for server in 'abc':
        assert harness.crash(crash(server, GUILTY, 'twin')) == []
    assert harness.ask(GUILTY) is TrialState.granted
    assert harness.ask('twin') is TrialState.busy
    assert harness.crash(crash('d', GUILTY)) == [GUILTY]
    assert harness.ask('twin') is TrialState.granted


def test_second_guilty_one_at_the_same_ends_ends_two_servers_more_at_most():
    """Load: two such contents at once; the first verdict explains the ends of both."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY, 'second'))
    assert harness.crash(crash('d', GUILTY)) == [GUILTY]
    assert [harness.ask('second'), harness.ask('second')] == [TrialState.granted, TrialState.busy]
    assert harness.crash(crash('e', 'second')) == []
    assert harness.crash(crash('f', 'second')) == ['second']


def test_innocent_one_at_three_explained_ends_is_free_once_it_is_served():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY, 'mate'))
    harness.crash(crash('d', GUILTY))
    assert harness.ask('mate') is TrialState.granted
    harness.book.record_answer('mate', 'v1', harness.now)
    assert [harness.ask('mate'), harness.ask('mate')] == [TrialState.granted] * 2


def test_twin_that_is_served_leaves_the_other_to_blame():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY, 'twin'))
    harness.book.record_answer('twin', 'v1', harness.now)
    assert harness.book.evaluate(harness.now) == [GUILTY]


def test_two_that_are_never_apart_end_five_servers_at_most():
    harness = QuarantineHarness()
    fallen = [
        harness.crash(crash(f's{number}', GUILTY, 'twin'))
        for number in range(CRASHES_TO_QUARANTINE_AMBIGUOUS)
    ]
    assert fallen[:-1] == [[]] * (CRASHES_TO_QUARANTINE_AMBIGUOUS - 1)
    assert fallen[-1]


def test_content_that_was_served_is_behind_no_end():
    """What many ask for is under way at each end: a rack that falls blames nobody."""
    harness = QuarantineHarness()
    harness.book.record_answer('popular', 'v1', harness.now)
    for number in range(20):
        assert harness.crash(crash(f's{number}', 'popular')) == []
    assert not harness.book.suspects


def test_answer_by_another_version_proves_nothing():
    harness = QuarantineHarness()
    harness.book.record_answer(GUILTY, 'v1', harness.now)
    for server in 'ab':
        harness.crash(crash(server, GUILTY, software='v2'))
    assert harness.crash(crash('c', GUILTY, software='v2')) == [GUILTY]


def test_answer_lifts_a_verdict_that_was_wrong():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, 'slow'))
    harness.book.record_answer('slow', 'v1', harness.now)
    assert harness.ask('slow') is TrialState.granted


def test_server_that_goes_on_reporting_has_not_ended():
    """What it sent before its end may come seconds later, and shows nothing."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    for _ in range(REPORTS_TO_REFUTE):
        harness.book.record_report('c', harness.now)
    harness.now += REFUTE_DELAY_S
    harness.book.record_report('c', harness.now)
    assert harness.ask(GUILTY) is TrialState.quarantined
    harness.now += REPORT_SPACING_S
    harness.book.record_report('c', harness.now)
    assert harness.ask(GUILTY) is TrialState.granted


def test_reports_that_arrive_together_show_no_life():
    """Load: a cut holds up what a server sent before its end, and heals seconds later."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    harness.now += 2 * REFUTE_DELAY_S
    for _ in range(2 * REPORTS_TO_REFUTE):
        harness.book.record_report('c', harness.now)
        harness.now += REPORT_SPACING_S / 10
    assert harness.ask(GUILTY) is TrialState.quarantined


def test_new_release_puts_a_verdict_to_the_test_with_one_server():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    assert harness.book.update_software('s', {'v1', 'v2'}) == []
    assert harness.book.update_software('other', {'v2'}) == []
    assert harness.book.update_software('s', {'v2'}) == [GUILTY]
    assert [harness.ask(GUILTY), harness.ask(GUILTY)] == [TrialState.granted, TrialState.busy]
    assert harness.crash(crash('d', GUILTY, software='v2')) == [GUILTY]
    assert harness.book.update_software('s', {'v2'}) == []


def test_new_release_that_bears_it_frees_it():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    harness.book.update_software('s', {'v2'})
    harness.book.record_answer(GUILTY, 'v2', harness.now)
    assert not harness.book.suspects
    assert [harness.ask(GUILTY), harness.ask(GUILTY)] == [TrialState.granted] * 2


def test_release_that_is_taken_back_puts_no_verdict_to_the_test():
    """Load: a release, its return and the release again; each would cost one server."""
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    harness.book.update_software('s', {'v2'})
    assert harness.crash(crash('d', GUILTY, software='v2')) == [GUILTY]
    assert harness.book.update_software('s', {'v1'}) == []
    assert harness.book.update_software('s', {'v3'}) == [GUILTY]


def test_verdict_is_put_to_the_test_after_an_hour_and_then_after_two():
    harness = QuarantineHarness()
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
    for times in (1, 2):
        harness.now += times * RETEST_AFTER_S - 1
        harness.book.evaluate(harness.now)
        assert harness.ask(GUILTY) is TrialState.quarantined
        harness.now += 2
        harness.book.evaluate(harness.now)
        assert harness.ask(GUILTY) is TrialState.granted
        assert harness.crash(crash(f'later-{times}', GUILTY)) == [GUILTY]


def test_account_with_many_such_contents_is_confined_and_pays_one_server_each():
    harness = QuarantineHarness()
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
    assert harness.book.confined == {('mallory', 's')}
    assert harness.crash(crash('next', 'bad-new', account='mallory')) == ['bad-new']
    assert harness.crash(crash('mixed', 'bad-1st', 'bad-2nd', account='mallory')) == []
    assert harness.crash(crash('alien', 'other', account='acme')) == []


def test_account_is_confined_while_it_brings_such_contents_and_no_longer():
    """Its other requests share one server meanwhile, so it lasts no longer than it must."""
    harness = QuarantineHarness()
    versions = []
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
        versions.append((bool(harness.book.confined), harness.book.version))
    assert [confined for confined, _ in versions] == [False, False, True]
    harness.now += CONFINEMENT_WINDOW_S
    harness.book.evaluate(harness.now)
    assert not harness.book.confined
    assert harness.book.version > versions[-1][1]
    assert len(harness.book.verdicts) == VERDICTS_TO_CONFINE


def test_verdicts_far_apart_confine_no_account():
    harness = QuarantineHarness()
    for number in range(2 * VERDICTS_TO_CONFINE):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account='mallory'))
        harness.now += CONFINEMENT_WINDOW_S / (VERDICTS_TO_CONFINE - 1)
    assert not harness.book.confined


def test_recorded_verdicts_confine_no_account():
    """Load: a change of leader long after they fell."""
    book = Quarantine()
    for number in range(VERDICTS_TO_CONFINE):
        held = Verdict(service='s', account='mallory', software=frozenset({'v1'}), quarantined_at=0)
        book.restore(f'bad-{number}', held)
    book.evaluate(0)
    assert not book.confined


def test_memory_stays_bounded_in_a_flood():
    harness = QuarantineHarness()
    for number in range(MAX_VERDICTS + 50):
        for server in 'abc':
            harness.crash(crash(f'{server}{number}', f'bad-{number}', account=''))
    assert len(harness.book.verdicts) == MAX_VERDICTS
    assert len(harness.book.evidence.crashes) <= MAX_CRASHES
    assert len(harness.book.evidence.crashes_by_content) <= MAX_CRASHES


def test_recorded_verdict_is_in_force_at_once():
    book = Quarantine()
    book.restore(
        GUILTY, Verdict(service='s', account='', software=frozenset({'v1'}), quarantined_at=0)
    )
    assert book.request_run(GUILTY, 0, 1) is TrialState.quarantined


def test_version_grows_with_what_others_must_hear_and_with_nothing_else():
    harness = QuarantineHarness()
    versions = [harness.book.version]
    for server in 'abc':
        harness.crash(crash(server, GUILTY))
        versions.append(harness.book.version)
    assert versions[0] == versions[1] < versions[2] < versions[3]
    harness.ask(GUILTY)
    assert harness.book.version == versions[3]


def reference_verdicts(ends, served):
    """Judge all evidence at once, by the words of the module: nobody twice, in order."""
    fallen = []
    for last in range(len(ends)):
        known = ends[: last + 1]
        changed = True
        while changed:
            changed = False
            for content in sorted({content for one in known for content in one}):
                mine = [
                    one - served
                    for one in known
                    if content in one - served and not (one - {content}) & set(fallen)
                ]
                alone = not mine or not set.intersection(*mine) - {content}
                explained = sum(content in one - served for one in known) - len(mine)
                enough = len(mine) >= (2 if explained >= 2 else 3)
                told = enough and (alone or len(mine) >= CRASHES_TO_QUARANTINE_AMBIGUOUS)
                if told and content not in fallen:
                    fallen.append(content)
                    changed = True
    return fallen


@given(
    ends=st.lists(st.frozensets(st.sampled_from('abcde'), min_size=1), max_size=12),
    served=st.frozensets(st.sampled_from('abcde'), max_size=2),
)
def test_verdicts_are_those_of_a_naive_judge(ends, served):
    harness = QuarantineHarness()
    for content in served:
        harness.book.record_answer(content, 'v1', harness.now)
    fallen = []
    for number, contents in enumerate(ends):
        fallen += harness.crash(crash(f's{number}', *sorted(contents), account=''))
        # What is explained by a verdict may tell of another one.
        fallen += harness.book.evaluate(harness.now)
        fallen += harness.book.evaluate(harness.now)
    assert fallen == reference_verdicts([set(one) for one in ends], served)


def test_one_guilty_among_many_ends_three_servers_and_nobody_else_is_rejected():
    """Thirty runs of a service of six engines with 40 under way on each."""
    for seed in range(30):
        dice = random.Random(seed)
        harness = QuarantineHarness()
        fallen = []
        ended = 0
        for _ in range(10):
            mates = [f'mate-{dice.randrange(400)}' for _ in range(40)]
            admitted = [mate for mate in mates if harness.ask(mate, 1) is TrialState.granted]
            if not fallen and harness.ask(GUILTY, 1) is TrialState.granted:
                ended += 1
                fallen = harness.crash(crash(f's{ended}', GUILTY, *admitted))
            harness.now += 1
        assert fallen == [GUILTY]
        assert ended <= 4
