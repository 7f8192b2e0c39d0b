"""Order of pieces while accounts compete for the calls of a stage service.

Load: a large account queues many jobs at once, small ones a job now and then; more than
can be in time. Failures guarded against: a small account that is late behind the queue of a
large one, a large one that waits although all could be in time, calls that leave room, and
less urgent work that goes first.
"""

from __future__ import annotations

import collections
import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.contents import ContentId
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.stages.batching import Batcher
from ringseam.gateway.stages.fairorder import FairOrder
from ringseam.gateway.stages.order import CallTimes, UrgencyOrder, dispatch_class_of, dispatch_order
from ringseam.quarantinemessages import Suspect
from tests.test_gateway.test_stages.test_stages_batching import (
    SERVICE,
    SPEC,
    job,
    new_batcher,
    requests_of,
    server,
)

SIZES = st.integers(1, 4)
#: Duration of a full call, seconds.
CALL_S = SPEC.full_call_s
JOBS = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.integers(1, 5),
        st.floats(-1, 10),
        st.integers(0, 2),
        st.booleans(),
    ),
    max_size=20,
)


def job_of(account, number, pieces=1, **fields):
    suspect = Suspect(content=ContentId(''), account=account)
    return job(f'{account}{number}', pieces, suspect=suspect, **fields)


def queued(drawn):
    """Return the pieces of drawn jobs: account, pieces, due time, rank and whether returned."""
    batcher = new_batcher()
    for number, (account, pieces, due, rank, returned) in enumerate(drawn):
        batcher.add(job_of(account, number, pieces, due=due, rank=rank, returned=returned), 0)
    return list(batcher.waiting)


def fair_batcher():
    return Batcher(service=SERVICE, health=HealthTracker(), order=FairOrder())


@given(drawn=JOBS, rate=st.floats(0.1, 20))
def test_one_account_is_served_in_the_order_of_urgency(drawn, rate):
    pieces = queued([('a', *rest) for _, *rest in drawn])
    assert order_of(pieces, rate) == dispatch_order(pieces, 0)


@given(drawn=JOBS, started=st.sets(st.integers(0, 19)), rate=st.floats(0.1, 20))
def test_class_and_precedence_come_before_shares_and_jobs_stay_together(drawn, started, rate):
    pieces = queued(drawn)
    for number, piece in enumerate(pieces):
        piece.group.started = piece.group.started or number in started
    ordered = order_of(pieces, rate)
    assert set(ordered) == set(pieces)
    keys = [(dispatch_class_of(piece, 0), piece.job.precedence) for piece in ordered]
    assert keys == sorted(keys)
    jobs = [piece.job.attempt_id for piece in ordered]
    assert len(collections.Counter(jobs)) == sum(
        1 for first, then in zip([None, *jobs], jobs, strict=False) if first != then
    )


def order_of(pieces, rate, now=0, call_s=CALL_S):
    """Return the pieces in their order, with a service that sends ``rate`` pieces a second."""
    order = FairOrder()
    for second in (0, 1):
        order.rate.sent(rate, second, has_backlog=True)
    return order.order(pieces, now, calls=CallTimes(call_s, call_s))


def naive_shares(demands, room):
    """Fill up the accounts, one piece after another for who has least."""
    shares = dict.fromkeys(demands, 0)
    while sum(shares.values()) < room:
        short = [account for account in shares if shares[account] < demands[account]]
        if not short:
            break
        shares[min(short, key=lambda account: (shares[account], account))] += 1
    return shares


def front_of(ordered, room):
    return collections.Counter(piece.job.suspect.account for piece in ordered[:room])


@given(
    demands=st.lists(st.integers(1, 30), min_size=2, max_size=8),
    room=st.integers(1, 60),
    size=SIZES,
)
def test_what_can_be_in_time_is_shared_as_in_the_naive_version(demands, room, size):
    """All jobs have the same due time and size; ``room`` of them can be in time."""
    by_name = {f'a{number}': demand for number, demand in enumerate(demands)}
    batcher = new_batcher()
    for account, demand in by_name.items():
        for number in range(demand):
            batcher.add(job_of(account, number, size, due=10), 0)
    # The last of the jobs in time starts when those before it have been sent.
    rate = ((room - 1) * size + 0.5) / (10 - CALL_S)
    got = front_of(order_of(list(batcher.waiting), rate), room * size)
    expected = naive_shares(by_name, room)
    assert got.total() == size * sum(expected.values())
    for account, share in expected.items():
        assert abs(got[account] - size * share) <= size


@given(drawn=JOBS, rate=st.floats(0.1, 20))
def test_account_within_its_share_is_in_time_whatever_others_ask(drawn, rate):
    """A job for which an equal share of what can be sent until then suffices is in time."""
    pieces = queued([(account, size, due, 1, False) for account, size, due, *_ in drawn])
    ordered = order_of(pieces, rate)
    accounts = {piece.job.suspect.account for piece in pieces}
    for account in accounts:
        own = [piece for piece in pieces if piece.job.suspect.account == account]
        if not all(is_within_share(piece, own, rate, len(accounts)) for piece in own):
            continue
        for piece in own:
            # Pieces of its own job may go before it.
            before = ordered.index(piece) - len(piece.job.pieces)
            assert before < (piece.job.due - CALL_S) * rate


def is_within_share(piece, own, rate, accounts):
    due = piece.job.due
    until_then = sum(1 for other in own if other.job.due <= due)
    return due > CALL_S and until_then <= (due - CALL_S) * rate / accounts


@given(drawn=JOBS, rate=st.floats(0.1, 20))
def test_order_is_that_of_urgency_while_all_can_be_in_time(drawn, rate):
    latest = CALL_S + 100 / rate
    pieces = queued(
        [(account, size, latest + due, *rest) for account, size, due, *rest in drawn if due >= 0]
    )
    assert order_of(pieces, rate) == dispatch_order(pieces, 0)


def test_order_is_that_of_urgency_until_the_rate_is_known():
    pieces = queued([('a', 5, 1, 0, False)] * 10 + [('b', 1, 2, 0, False)])
    assert FairOrder().order(pieces, 0) == dispatch_order(pieces, 0)


@pytest.mark.parametrize('call_s', [0.01, 0.1, 0.25, 0.4, 3])
def test_job_is_hopeless_by_the_call_of_its_service_only(call_s):
    """The first job can just be in time; with too little time for all, others go behind."""
    drawn = [('a', 1, call_s + 0.01, 0, False), ('b', 1, call_s + 3, 0, False)]
    overload = [('c', 1, call_s + 1, 0, False)] * 20
    assert accounts_of(order_of(queued([*drawn, *overload]), 10, call_s=call_s))[0] == 'a'
    drawn[0] = ('a', 1, call_s - 0.005, 0, False)
    assert accounts_of(order_of(queued([*drawn, *overload]), 10, call_s=call_s))[-1] == 'a'


@given(drawn=JOBS, rate=st.floats(0.1, 20), call_s=st.floats(0.01, 2))
def test_jobs_that_cannot_be_in_time_keep_their_places_without_overload(drawn, rate, call_s):
    """There is time for all that can still be in time, also behind those that can't."""
    latest = call_s + 100 / rate
    pieces = queued(
        [
            (account, size, latest + due if due >= 0 else -due * call_s, *rest)
            for account, size, due, *rest in drawn
        ]
    )
    assert order_of(pieces, rate, call_s=call_s) == dispatch_order(pieces, 0)


@pytest.mark.parametrize('call_s', [0.1, 0.4])
@pytest.mark.parametrize('known', [False, True])
def test_order_of_a_short_queue_is_that_of_urgency_whatever_the_call_takes(call_s, known):
    pieces = queued([('a', 1, 0.3, 0, False), ('a', 1, 3, 0, False), ('b', 1, 5, 0, False)])
    order = FairOrder()
    for second in (0, 1) if known else ():
        order.rate.sent(10, second, has_backlog=True)
    ordered = order.order(pieces, 0, calls=CallTimes(call_s, call_s))
    assert [piece.job.due for piece in ordered] == [0.3, 3, 5]


def test_batcher_orders_by_the_shortest_call_of_the_service():
    spec = replace(SPEC, call_s=1, piece_s=0.5)
    for due, first in ((1.4, False), (1.6, True)):
        batcher = fair_batcher()
        for second in (-1, 0):
            batcher.order.rate.sent(10, second, has_backlog=True)
        for number in range(40):
            batcher.add(job_of('large', number, due=2 + number / 100), 0)
        batcher.add(job_of('small', 0, due=due), 0)
        call = batcher.next_call([server('s')], spec, 0)
        assert ('small0' in requests_of(call)) is first


def accounts_of(pieces):
    return [piece.job.suspect.account for piece in pieces]


@pytest.mark.parametrize(('due', 'calls'), [(0.6, 1), (1, 1), (1.5, 1), (1.9, 2), (3, 5)])
def test_small_account_goes_before_a_queue_behind_which_it_would_be_late(due, calls):
    """It goes before two thirds of its time are over; until then, large jobs are in time."""
    batcher = fair_batcher()
    for number in range(40):
        batcher.add(job_of('large', number, due=min(2, due - 0.05) + number / 1000), 0)
    batcher.add(job_of('small', 0, due=due), 0)
    for second in (-1, 0):
        batcher.order.rate.sent(10, second, has_backlog=True)
    for number in range(calls):
        now = number * CALL_S
        call = batcher.next_call([server('s')], SPEC, now)
        batcher.call_ended(call)
        assert len(call.pieces) == SPEC.batch
        assert all(piece.job.due >= now + CALL_S for piece in call.pieces)
        assert ('small0' in requests_of(call)) is (number == calls - 1)


def test_large_account_goes_first_by_due_time_while_the_small_one_has_time():
    batcher = fair_batcher()
    for number in range(40):
        batcher.add(job_of('large', number, due=5 + number / 100), 0)
    batcher.add(job_of('small', 0, due=9), 0)
    for second in (-1, 0):
        batcher.order.rate.sent(10, second, has_backlog=True)
    ordered = batcher.order.order(list(batcher.waiting), 0)
    assert ordered[-1].job.attempt_id == 'small0'


def test_large_account_keeps_its_time_while_the_small_one_has_plenty():
    """Ten pieces a second; one job of the large account can't be in time by the schedule."""
    batcher = fair_batcher()
    for second in (-1, 0):
        batcher.order.rate.sent(10, second, has_backlog=True)
    for number in range(12):
        batcher.add(job_of('large', number, due=1.41), 0)
    for number in range(10):
        batcher.add(job_of('small', number, due=6), 0)
    in_time = collections.Counter()
    for number in range(6):
        now = number * CALL_S
        call = batcher.next_call([server('s')], SPEC, now)
        batcher.call_ended(call)
        in_time.update(
            piece.job.suspect.account for piece in call.pieces if piece.job.due >= now + CALL_S
        )
    assert in_time == {'large': 11, 'small': 10}


@pytest.mark.parametrize(('due', 'first'), [(2.1, 'small'), (6, 'large')])
def test_small_account_keeps_a_reserve_before_a_large_one(due, first):
    """The large account asks for all of the next second and a half, and for more."""
    drawn = [('large', 1, 1.9, 0, False)] * 20 + [('small', 1, due, 0, False)] * 6
    assert accounts_of(order_of(queued(drawn), 10))[0] == first


def test_jobs_do_not_exceed_a_share_because_servers_were_gone():
    """Ten pieces a second before; 20 s later, both accounts can be in time."""
    batcher = fair_batcher()
    order = batcher.order
    for second in range(5):
        for number in range(20):
            batcher.add(job_of(f'old{second}', number, due=30), second)
        order.order(batcher.waiting, second, calls=CallTimes(0.25, CALL_S))
        order.sent(list(batcher.waiting)[:10], second)
    batcher.cancel(list(batcher.waiting))
    for account in 'ab':
        for number in range(10):
            batcher.add(job_of(account, number, due=28), 24)
    order.order(batcher.waiting, 24, calls=CallTimes(0.25, CALL_S))
    order.sent(list(batcher.waiting)[:4], 24)
    batcher.cancel(list(batcher.waiting)[:4])
    order.order(batcher.waiting, 24, calls=CallTimes(0.25, CALL_S))
    assert order.rate.per_s > 5
    assert not order.exceeding


def test_sixty_thousand_accounts_leave_no_state_behind():
    batcher = fair_batcher()
    order = batcher.order
    for second in (-1, 0):
        order.rate.sent(10, second, has_backlog=True)
    for number in range(60_000):
        batcher.add(job_of(f'a{number}', 0, due=2), 0)
    assert len(order.order(batcher.waiting, 0)) == 60_000
    assert 0 < len(order.exceeding) < 60_000
    order.order([], 1)
    assert not order.exceeding


def test_account_that_bursts_later_gets_as_much_of_the_rest_as_the_first():
    """Ten pieces a second; 100 jobs of one account at 0 s and of another at 1 s, due 4 s later."""
    batcher = fair_batcher()
    for second in (-1, 0):
        batcher.order.rate.sent(10, second, has_backlog=True)
    for number in range(100):
        batcher.add(job_of('early', number, due=4), 0)
    sent = collections.Counter()
    for number in range(12):
        now = 1 + number * CALL_S
        if not number:
            for job_number in range(100):
                batcher.add(job_of('then', job_number, due=5), now)
        call = batcher.next_call([server('s')], SPEC, now)
        sent.update(
            piece.job.suspect.account for piece in call.pieces if piece.job.due >= now + CALL_S
        )
        batcher.call_ended(call)
    assert abs(sent['early'] - sent['then']) <= 2 * SPEC.batch
    assert sent.total() >= 40 - SPEC.batch


def test_calls_stay_full_however_many_accounts_there_are():
    batcher = fair_batcher()
    for number in range(12):
        batcher.add(job_of(f'a{number}', number), 0)
    sizes = []
    while (call := batcher.next_call([server('s')], SPEC, 0)) is not None:
        sizes.append(len(call.pieces))
        batcher.call_ended(call)
    assert sizes == [SPEC.batch] * 3


@given(drawn=JOBS, rate=st.floats(0.1, 20))
def test_calls_leave_no_room_for_a_job_that_waits(drawn, rate):
    """The bound is that of the order of urgency: less room than the smallest job needs."""
    batcher = fair_batcher()
    for number, (account, pieces, due, rank, _) in enumerate(drawn):
        batcher.add(job_of(account, number, min(pieces, SPEC.batch), due=due + 10, rank=rank), 0)
    for second in (-1, 0):
        batcher.order.rate.sent(rate, second, has_backlog=True)
    while (call := batcher.next_call([server('s')], SPEC, 0)) is not None:
        sizes = [len(piece.job.pieces) for piece in batcher.waiting]
        assert SPEC.batch - len(call.pieces) < min(sizes, default=SPEC.batch)
        batcher.call_ended(call)
    assert not batcher.waiting


def test_backlogged_accounts_get_equal_numbers_of_pieces_whatever_the_size_of_their_jobs():
    """Twice as much is queued as can be in time; the servers do 10 pieces a second."""
    batcher = fair_batcher()
    for second in (-1, 0):
        batcher.order.rate.sent(10, second, has_backlog=True)
    for number in range(20):
        batcher.add(job_of('coarse', number, 4, due=8), 0)
        for part in range(4):
            batcher.add(job_of('fine', 4 * number + part, due=8), 0)
    sent = collections.Counter()
    for number in range(19):
        call = batcher.next_call([server('s')], SPEC, number * CALL_S)
        sent.update(piece.job.suspect.account for piece in call.pieces)
        batcher.call_ended(call)
    assert sent.total() == 19 * SPEC.batch
    assert abs(sent['coarse'] - sent['fine']) <= 2 * SPEC.batch


def test_urgent_job_of_a_large_account_goes_before_less_urgent_ones():
    batcher = fair_batcher()
    for number in range(8):
        batcher.add(job_of('large', number, rank=0), 0)
    batcher.add(job_of('small', 0, rank=1), 0)
    call = batcher.next_call([server('s')], SPEC, 0)
    assert {piece.job.rank for piece in call.pieces} == {0}


def play_abuse(order, abuse, bursts=(), seconds=60, seed=1):
    """Return the share in time of all accounts but the abuser; 10 pieces a second are done.

    Nine accounts ask for 0.8 pieces a second each, the abuser for ``abuse`` times as much.
    In bursts, three of the others ask for four times as much.
    """
    rng = random.Random(seed)
    batcher = Batcher(service=SERVICE, health=HealthTracker(), order=order)
    asked, in_time = collections.Counter(), collections.Counter()
    for step in range(round(seconds / CALL_S)):
        now = step * CALL_S
        for number in range(9):
            rate = 0.8 * (4 if number < 3 and any(0 <= now - at < 5 for at in bursts) else 1)
            account = f'a{number}'
            rate *= abuse if not number else 1
            for _ in range(int(rate * CALL_S + rng.random())):
                asked[account] += 1
                batcher.add(job_of(account, asked[account], due=now + 3), now)
        batcher.cancel(batcher.pieces_to_shed([server('s')], SPEC, now))
        call = batcher.next_call([server('s')], SPEC, now)
        if call is not None:
            batcher.call_ended(call)
            in_time.update(
                piece.job.suspect.account for piece in call.pieces if piece.job.due >= now + CALL_S
            )
    others = [account for account in asked if account != 'a0']
    return sum(in_time[account] for account in others) / sum(asked[account] for account in others)


@pytest.mark.parametrize('seed', range(3))
def test_account_at_ten_times_its_usual_harms_others_by_under_a_fiftieth(seed):
    """Load: 0.7 of what the service can do, and with the abuser 1.4 times as much."""
    assert play_abuse(UrgencyOrder(), 10, seed=seed) < 0.9
    alone = play_abuse(FairOrder(), 1, seed=seed)
    assert alone - play_abuse(FairOrder(), 10, seed=seed) < 0.02


@pytest.mark.parametrize('seed', range(3))
def test_account_at_ten_times_its_usual_adds_no_harm_to_two_bursts(seed):
    """Load: the same, and twice as much in all while others burst."""
    bursts = (10, 35)
    usual = play_abuse(FairOrder(), 1, bursts, seed=seed)
    assert usual - play_abuse(FairOrder(), 10, bursts, seed=seed) < 0.02
