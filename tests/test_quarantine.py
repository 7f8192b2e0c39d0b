"""Which contents are suspected and quarantined, by plain evidence and no network.

The load: one content ends each server 30 ms after it begins; its client asks again with
new ids while 128 others are under way on each engine. Figures: three servers are what one
content may cost, and whoever shared them with it is free once the verdict falls.
"""

import random

from hypothesis import given
from hypothesis import strategies as st

from ringseam.evidence import ENDS_KEPT, LIFE_SHOWS_S, REPORTS_APART_S, REPORTS_OF_LIFE
from ringseam.quarantine import (
    CONFINED_S,
    ENDS_REGARDLESS,
    HELD_S,
    SETTLE_S,
    VERDICTS_KEPT,
    VERDICTS_TO_CONFINE,
    Quarantine,
    TrialState,
    Verdict,
)
from ringseam.verdicts import ServerEnd, Suspect

GUILTY = 'guilty'
SOON_S = 2 * SETTLE_S


def end(instance, *contents, software='v1', service='s', account='acme', age_ms=0):
    suspects = tuple(Suspect(content=content, account=account) for content in contents)
    return ServerEnd(
        instance=instance,
        service=service,
        software=software,
        suspects=suspects,
        age_ms=age_ms,
    )


class Evidence:
    """A quarantine and the time that passes."""

    def __init__(self):
        self.book = Quarantine()
        self.now = 0.0

    def ended(self, *ends):
        for one in ends:
            self.book.ended(one, self.now)
        self.now += SOON_S
        return self.book.judge(self.now)

    def ask(self, content, lasts_s=5.0):
        return self.book.ask(content, self.now, lasts_s)


def test_third_end_quarantines():
    seen = Evidence()
    assert seen.ended(end('a', GUILTY)) == []
    assert seen.ended(end('b', GUILTY)) == []
    assert seen.ended(end('c', GUILTY)) == [GUILTY]
    assert seen.ask(GUILTY) is TrialState.quarantined


def test_server_that_ends_again_before_its_new_start_is_known_has_ended_twice():
    """Seen: one content ended servers that another one had ended just before. Both ends
    bore one name, so the first was taken for the cause of the second as well."""
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, 'other'))
    seen.now += 1.5
    assert [seen.ended(end(server, GUILTY)) for server in 'abc'] == [[], [], [GUILTY]]


def test_end_that_is_told_again_to_a_new_leader_is_one_end():
    seen = Evidence()
    seen.now = 100
    for age_ms in (0, 0, 5000, 5100):
        seen.book.ended(end('a', GUILTY, age_ms=age_ms), seen.now)
    assert len(seen.book.evidence.ends) == 2


def test_second_end_lets_it_run_on_trial_only_one_at_a_time():
    seen = Evidence()
    seen.ended(end('a', GUILTY))
    assert [seen.ask(GUILTY), seen.ask(GUILTY)] == [TrialState.granted] * 2
    seen.ended(end('b', GUILTY))
    assert [seen.ask(GUILTY), seen.ask(GUILTY)] == [TrialState.granted, TrialState.busy]


def test_trial_that_nobody_concludes_is_over_at_its_deadline():
    seen = Evidence()
    seen.ended(end('a', GUILTY))
    seen.ended(end('b', GUILTY))
    seen.ask(GUILTY, lasts_s=5)
    seen.now += 5
    assert seen.ask(GUILTY) is TrialState.granted


def test_nothing_is_judged_before_all_gateways_have_told_of_an_end():
    """An innocent one that shares the ends is told of by another gateway, a little later."""
    seen = Evidence()
    for server in 'abc':
        seen.book.ended(end(server, GUILTY), seen.now)
    assert seen.book.judge(seen.now + SETTLE_S / 2) == []
    assert seen.ask(GUILTY) is TrialState.busy
    assert seen.book.judge(seen.now + SETTLE_S) == [GUILTY]


def test_those_that_shared_its_servers_are_free_once_the_verdict_falls():
    seen = Evidence()
    seen.ended(end('a', GUILTY, 'x', 'y'))
    seen.ended(end('b', GUILTY, 'x'))
    assert seen.book.suspects == {GUILTY, 'x'}
    assert seen.ended(end('c', GUILTY, 'y')) == [GUILTY]
    assert not seen.book.suspects
    assert seen.ask('x') is TrialState.granted


def test_two_that_share_all_ends_are_tried_one_after_the_other():
    seen = Evidence()
    for server in 'abc':
        assert seen.ended(end(server, GUILTY, 'twin')) == []
    assert seen.ask(GUILTY) is TrialState.granted
    assert seen.ask('twin') is TrialState.busy
    assert seen.ended(end('d', GUILTY)) == [GUILTY]
    assert seen.ask('twin') is TrialState.granted


def test_second_guilty_one_at_the_same_ends_ends_two_servers_more_at_most():
    """Load: two such contents at once; the first verdict explains the ends of both."""
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY, 'second'))
    assert seen.ended(end('d', GUILTY)) == [GUILTY]
    assert [seen.ask('second'), seen.ask('second')] == [TrialState.granted, TrialState.busy]
    assert seen.ended(end('e', 'second')) == []
    assert seen.ended(end('f', 'second')) == ['second']


def test_innocent_one_at_three_explained_ends_is_free_once_it_is_served():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY, 'mate'))
    seen.ended(end('d', GUILTY))
    assert seen.ask('mate') is TrialState.granted
    seen.book.served('mate', 'v1', seen.now)
    assert [seen.ask('mate'), seen.ask('mate')] == [TrialState.granted] * 2


def test_twin_that_is_served_leaves_the_other_to_blame():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY, 'twin'))
    seen.book.served('twin', 'v1', seen.now)
    assert seen.book.judge(seen.now) == [GUILTY]


def test_two_that_are_never_apart_end_five_servers_at_most():
    seen = Evidence()
    fallen = [seen.ended(end(f's{number}', GUILTY, 'twin')) for number in range(ENDS_REGARDLESS)]
    assert fallen[:-1] == [[]] * (ENDS_REGARDLESS - 1)
    assert fallen[-1]


def test_content_that_was_served_is_behind_no_end():
    """What many ask for is under way at each end: a rack that falls blames nobody."""
    seen = Evidence()
    seen.book.served('popular', 'v1', seen.now)
    for number in range(20):
        assert seen.ended(end(f's{number}', 'popular')) == []
    assert not seen.book.suspects


def test_answer_by_another_version_proves_nothing():
    seen = Evidence()
    seen.book.served(GUILTY, 'v1', seen.now)
    for server in 'ab':
        seen.ended(end(server, GUILTY, software='v2'))
    assert seen.ended(end('c', GUILTY, software='v2')) == [GUILTY]


def test_answer_lifts_a_verdict_that_was_wrong():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, 'slow'))
    seen.book.served('slow', 'v1', seen.now)
    assert seen.ask('slow') is TrialState.granted


def test_server_that_goes_on_reporting_has_not_ended():
    """What it sent before its end may come seconds later, and shows nothing."""
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    for _ in range(REPORTS_OF_LIFE):
        seen.book.heard('c', seen.now)
    seen.now += LIFE_SHOWS_S
    seen.book.heard('c', seen.now)
    assert seen.ask(GUILTY) is TrialState.quarantined
    seen.now += REPORTS_APART_S
    seen.book.heard('c', seen.now)
    assert seen.ask(GUILTY) is TrialState.granted


def test_reports_that_arrive_together_show_no_life():
    """Load: a cut holds up what a server sent before its end, and heals seconds later."""
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    seen.now += 2 * LIFE_SHOWS_S
    for _ in range(2 * REPORTS_OF_LIFE):
        seen.book.heard('c', seen.now)
        seen.now += REPORTS_APART_S / 10
    assert seen.ask(GUILTY) is TrialState.quarantined


def test_new_release_puts_a_verdict_to_the_test_with_one_server():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    assert seen.book.see_software('s', {'v1', 'v2'}) == []
    assert seen.book.see_software('other', {'v2'}) == []
    assert seen.book.see_software('s', {'v2'}) == [GUILTY]
    assert [seen.ask(GUILTY), seen.ask(GUILTY)] == [TrialState.granted, TrialState.busy]
    assert seen.ended(end('d', GUILTY, software='v2')) == [GUILTY]
    assert seen.book.see_software('s', {'v2'}) == []


def test_new_release_that_bears_it_frees_it():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    seen.book.see_software('s', {'v2'})
    seen.book.served(GUILTY, 'v2', seen.now)
    assert not seen.book.suspects
    assert [seen.ask(GUILTY), seen.ask(GUILTY)] == [TrialState.granted] * 2


def test_release_that_is_taken_back_puts_no_verdict_to_the_test():
    """Load: a release, its return and the release again; each would cost one server."""
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    seen.book.see_software('s', {'v2'})
    assert seen.ended(end('d', GUILTY, software='v2')) == [GUILTY]
    assert seen.book.see_software('s', {'v1'}) == []
    assert seen.book.see_software('s', {'v3'}) == [GUILTY]


def test_verdict_is_put_to_the_test_after_an_hour_and_then_after_two():
    seen = Evidence()
    for server in 'abc':
        seen.ended(end(server, GUILTY))
    for times in (1, 2):
        seen.now += times * HELD_S - 1
        seen.book.judge(seen.now)
        assert seen.ask(GUILTY) is TrialState.quarantined
        seen.now += 2
        seen.book.judge(seen.now)
        assert seen.ask(GUILTY) is TrialState.granted
        assert seen.ended(end(f'later-{times}', GUILTY)) == [GUILTY]


def test_account_with_many_such_contents_is_confined_and_pays_one_server_each():
    seen = Evidence()
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            seen.ended(end(f'{server}{number}', f'bad-{number}', account='mallory'))
    assert seen.book.confined == {('mallory', 's')}
    assert seen.ended(end('next', 'bad-new', account='mallory')) == ['bad-new']
    assert seen.ended(end('mixed', 'bad-1st', 'bad-2nd', account='mallory')) == []
    assert seen.ended(end('alien', 'other', account='acme')) == []


def test_account_is_confined_while_it_brings_such_contents_and_no_longer():
    """Its other requests share one server meanwhile, so it lasts no longer than it must."""
    seen = Evidence()
    versions = []
    for number in range(VERDICTS_TO_CONFINE):
        for server in 'abc':
            seen.ended(end(f'{server}{number}', f'bad-{number}', account='mallory'))
        versions.append((bool(seen.book.confined), seen.book.version))
    assert [confined for confined, _ in versions] == [False, False, True]
    seen.now += CONFINED_S
    seen.book.judge(seen.now)
    assert not seen.book.confined
    assert seen.book.version > versions[-1][1]
    assert len(seen.book.verdicts) == VERDICTS_TO_CONFINE


def test_verdicts_far_apart_confine_no_account():
    seen = Evidence()
    for number in range(2 * VERDICTS_TO_CONFINE):
        for server in 'abc':
            seen.ended(end(f'{server}{number}', f'bad-{number}', account='mallory'))
        seen.now += CONFINED_S / (VERDICTS_TO_CONFINE - 1)
    assert not seen.book.confined


def test_recorded_verdicts_confine_no_account():
    """Load: a change of leader long after they fell."""
    book = Quarantine()
    for number in range(VERDICTS_TO_CONFINE):
        held = Verdict(service='s', account='mallory', software=frozenset({'v1'}), at=0)
        book.restore(f'bad-{number}', held)
    book.judge(0)
    assert not book.confined


def test_memory_stays_bounded_in_a_flood():
    seen = Evidence()
    for number in range(VERDICTS_KEPT + 50):
        for server in 'abc':
            seen.ended(end(f'{server}{number}', f'bad-{number}', account=''))
    assert len(seen.book.verdicts) == VERDICTS_KEPT
    assert len(seen.book.evidence.ends) <= ENDS_KEPT
    assert len(seen.book.evidence.by_content) <= ENDS_KEPT


def test_recorded_verdict_is_in_force_at_once():
    book = Quarantine()
    book.restore(GUILTY, Verdict(service='s', account='', software=frozenset({'v1'}), at=0))
    assert book.ask(GUILTY, 0, 1) is TrialState.quarantined


def test_version_grows_with_what_others_must_hear_and_with_nothing_else():
    seen = Evidence()
    versions = [seen.book.version]
    for server in 'abc':
        seen.ended(end(server, GUILTY))
        versions.append(seen.book.version)
    assert versions[0] == versions[1] < versions[2] < versions[3]
    seen.ask(GUILTY)
    assert seen.book.version == versions[3]


def naive(ends, served):
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
                told = enough and (alone or len(mine) >= ENDS_REGARDLESS)
                if told and content not in fallen:
                    fallen.append(content)
                    changed = True
    return fallen


@given(
    ends=st.lists(st.frozensets(st.sampled_from('abcde'), min_size=1), max_size=12),
    served=st.frozensets(st.sampled_from('abcde'), max_size=2),
)
def test_verdicts_are_those_of_a_naive_judge(ends, served):
    seen = Evidence()
    for content in served:
        seen.book.served(content, 'v1', seen.now)
    fallen = []
    for number, contents in enumerate(ends):
        fallen += seen.ended(end(f's{number}', *sorted(contents), account=''))
        # What is explained by a verdict may tell of another one.
        fallen += seen.book.judge(seen.now)
        fallen += seen.book.judge(seen.now)
    assert fallen == naive([set(one) for one in ends], served)


def test_one_guilty_among_many_ends_three_servers_and_nobody_else_is_rejected():
    """Thirty runs of a service of six engines with 40 under way on each."""
    for seed in range(30):
        dice = random.Random(seed)
        seen = Evidence()
        fallen = []
        ended = 0
        for _ in range(10):
            mates = [f'mate-{dice.randrange(400)}' for _ in range(40)]
            admitted = [mate for mate in mates if seen.ask(mate, 1) is TrialState.granted]
            if not fallen and seen.ask(GUILTY, 1) is TrialState.granted:
                ended += 1
                fallen = seen.ended(end(f's{ended}', GUILTY, *admitted))
            seen.now += 1
        assert fallen == [GUILTY]
        assert ended <= 4
