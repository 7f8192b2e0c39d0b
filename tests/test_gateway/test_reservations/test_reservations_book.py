"""Reservations of one service and the waits that follow from them.

Loads and failures: bursts of twice the capacity, on a wave that rises and falls; pieces that
never arrive because their gateway died or a message was lost; a rate that is wrong by three.
"""

from __future__ import annotations

import collections
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringseam.gateway.accounts.policy import SharePolicy
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.reservations.book import ReservationBook
from ringseam.gateway.reservations.work import (
    LEASE_S,
    ReservationEnd,
    ServiceLoad,
    StageKey,
    StageWork,
)
from ringseam.routes import AccountName

#: Pieces per second of the naive version, which proceeds by pieces.
RATE = 100


def stage_work(
    name='r',
    *,
    pieces=1,
    rank=1,
    returned=False,
    starts_at=0.0,
    due_at=2.0,
    stage=0,
    gateway='',
):
    return StageWork(
        key=StageKey(name, stage, gateway),
        pieces=pieces,
        precedence=Precedence(rank=rank, returned=returned),
        account=AccountName('a'),
        starts_at=starts_at,
        due_at=due_at,
    )


def service_load(rate=RATE, queued=None, until_free_s=0.0):
    return ServiceLoad(
        pieces_per_s=rate,
        retry_pieces_per_s=rate,
        until_free_s=until_free_s,
        server_s_per_piece=0.02,
        queued={Precedence(rank=rank): count for rank, count in (queued or {}).items()},
    )


def reserve(book, load, now=0.0, **fields):
    return book.reserve(stage_work(**fields), load, now).wait_s


class RecordingShares(SharePolicy):
    """Keeps the use of one account, and lets it wait for its share."""

    def __init__(self, wait_s=0.0):
        self.used = 0
        self.asked_for = 0
        self.wait_s = wait_s
        self.loads = []

    def asked(self, demand, now):
        self.asked_for += demand.amount

    def admitted(self, demand, now):
        self.used += demand.amount

    def withdrawn(self, demand, now, *, admitted_at):
        self.used -= demand.amount

    def share_wait_s(self, demand, load, now):
        self.loads.append(load)
        return self.wait_s


# -- waits ------------------------------------------------------------------


def test_queued_and_reserved_work_that_goes_first_is_waited_for():
    book = ReservationBook()
    load = service_load(queued={0: 20, 1: 30, 2: 50})
    assert reserve(book, load, name='one', pieces=10) == pytest.approx(0.5)
    assert reserve(book, load, name='two') == pytest.approx(0.6)
    assert reserve(book, load, name='urgent', rank=0) == pytest.approx(0.2)


def test_work_that_arrives_later_waits_less():
    book = ReservationBook()
    load = service_load(queued={1: 50})
    assert reserve(book, load, starts_at=0.3) == pytest.approx(0.2)
    assert reserve(book, load, starts_at=0.8) == 0


@pytest.mark.parametrize(('due_at', 'wait_s'), [(2.0, 0.0), (0.95, 0.9)])
def test_promise_is_not_made_late_by_equal_rank(due_at, wait_s):
    """Work that arrives first goes first, unless a promise would be late by it alone."""
    book = ReservationBook()
    load = service_load()
    reserve(book, load, name='promised', pieces=50, starts_at=0.4, due_at=due_at)
    found = reserve(book, load, name='later', pieces=60, starts_at=0.0)
    assert found == pytest.approx(wait_s)


def test_promise_that_is_late_anyway_does_not_hold_up_others():
    book = ReservationBook()
    load = service_load(queued={1: 100})
    reserve(book, load, name='late', pieces=50, starts_at=0.9, due_at=0.5)
    assert reserve(book, load, name='other', pieces=60) == pytest.approx(1.0)


def test_urgent_work_goes_before_a_promise_of_lower_rank():
    book = ReservationBook()
    load = service_load()
    reserve(book, load, name='promised', pieces=80, rank=2)
    assert reserve(book, load, name='urgent', rank=0) == 0


def test_gap_before_a_promise_is_used():
    book = ReservationBook()
    load = service_load()
    reserve(book, load, name='promised', pieces=80, starts_at=1.0)
    assert reserve(book, load, name='now') == 0


def test_second_reservation_of_a_stage_replaces_the_first():
    book = ReservationBook(shares=RecordingShares())
    load = service_load()
    for starts_at in (0.0, 0.5):
        reserve(book, load, pieces=10, starts_at=starts_at)
    assert book.reserved_pieces == 10
    assert book.shares.used == pytest.approx(0.2)
    assert reserve(book, load, name='other', starts_at=0.0) == 0


def test_service_without_servers_has_no_wait():
    assert reserve(ReservationBook(), service_load(rate=0, queued={0: 9})) == 0


def naive_wait_s(work, load, reserved):
    """Step through time, a piece per step; no promise is in danger."""
    start = round(work.starts_at * RATE)
    backlog = round(load.until_free_s * RATE) + sum(
        count for other, count in load.queued.items() if other <= work.precedence
    )
    arrivals = collections.Counter()
    for other in reserved:
        arrives_first = other.starts_at <= work.starts_at
        if other.precedence < work.precedence or (
            other.precedence == work.precedence and arrives_first
        ):
            arrivals[round(other.starts_at * RATE)] += other.pieces
    step = 0
    while True:
        backlog += arrivals[step]
        if step >= start and not backlog:
            return (step - start) / RATE
        backlog = max(0, backlog - 1)
        step += 1


@settings(max_examples=200, deadline=None)
@given(
    st.dictionaries(st.integers(0, 2), st.integers(0, 40), max_size=3),
    st.integers(0, 30),
    st.lists(st.tuples(st.integers(1, 20), st.integers(0, 2), st.integers(0, 150)), max_size=12),
)
def test_waits_equal_those_of_a_simulation_by_pieces(queued, until_free, demands):
    book = ReservationBook()
    load = service_load(queued=queued, until_free_s=until_free / RATE)
    reserved = []
    for number, (pieces, rank, start) in enumerate(demands):
        work = stage_work(f'r{number}', pieces=pieces, rank=rank, starts_at=start / RATE, due_at=99)
        expected = naive_wait_s(work, load, reserved)
        assert book.reserve(work, load, 0).wait_s == pytest.approx(expected)
        reserved.append(work)


# -- life of a reservation --------------------------------------------------


def test_arrival_uses_and_withdrawal_gives_back():
    book = ReservationBook(shares=RecordingShares())
    load = service_load()
    for stage in (0, 1):
        reserve(book, load, stage=stage, pieces=5, starts_at=float(stage))
    assert book.arrive(StageKey('r', 0), 0.1)
    assert not book.arrive(StageKey('r', 0), 0.1)
    book.withdraw('r', 0.2)
    assert not book.reserved
    assert book.shares.used == pytest.approx(0.1)
    assert book.ended == {ReservationEnd.used: 1, ReservationEnd.withdrawn: 1}


@pytest.mark.parametrize(
    ('starts_at', 'due_at'), [(0.0, 1.0), (0.8, 1.5), (0.5, 20.0), (20.0, 0.9)]
)
def test_work_that_never_arrives_is_free_again_within_two_seconds(starts_at, due_at):
    """A gateway that died, and a lost withdrawal; also of a client with a long time limit."""
    book = ReservationBook(shares=RecordingShares())
    reserve(book, service_load(), pieces=70, starts_at=starts_at, due_at=due_at)
    assert book.reserved_pieces == 70
    book.expire(min(starts_at, due_at) + 2)
    assert not book.reserved
    assert book.shares.used == pytest.approx(0)


def test_unknown_requests_and_stages_are_ignored():
    book = ReservationBook()
    book.withdraw('unknown', 0)
    book.finish(StageKey('unknown', 0), 0, done=True)
    assert not book.arrive(StageKey('unknown', 0), 0)


def test_wait_for_the_share_is_told_and_counts_all_work():
    book = ReservationBook(shares=RecordingShares(wait_s=0.7))
    forecast = book.reserve(stage_work(pieces=10), service_load(queued={1: 30}), 0)
    assert forecast.share_wait_s == 0.7
    book.reserve(stage_work('other'), service_load(queued={1: 30}), 0)
    load = book.shares.loads[-1]
    assert load.capacity_per_s == pytest.approx(2)
    assert load.backlog_s == pytest.approx(0.4)


def test_new_owner_takes_over_what_a_gateway_holds_and_counts_it():
    book = ReservationBook(shares=RecordingShares())
    held = stage_work('held', pieces=80, gateway='g1', due_at=9.0)
    book.renew(held, service_load(), 0)
    book.renew(held, service_load(), 0.5)
    assert book.shares.used == pytest.approx(1.6)
    assert reserve(book, service_load(), name='other', now=0.5) == pytest.approx(0.8)
    # Its forecast was another owner's, so its wait is no error of this one.
    assert book.arrive(StageKey('held', 0), 0.6)
    book.finish(StageKey('held', 0), 5, done=True)
    assert not any(errors.outcomes for errors in book.errors.values())


def test_reservation_that_is_not_renewed_ends_and_one_without_a_gateway_needs_none():
    book = ReservationBook(shares=RecordingShares())
    for name, gateway in (('lost', 'g1'), ('kept', 'g2'), ('unnamed', '')):
        reserve(book, service_load(), name=name, gateway=gateway, starts_at=5.0, due_at=9.0)
    kept = stage_work('kept', gateway='g2', starts_at=5.0, due_at=9.0)
    book.renew(kept, service_load(), LEASE_S - 0.1)
    book.expire(LEASE_S + 0.1)
    assert {key.attempt_id for key in book.reserved} == {'kept', 'unnamed'}
    assert book.ended == {ReservationEnd.expired: 1}


def test_stage_that_is_long_overdue_is_kept_while_its_gateway_renews_it():
    """The stages before it take much longer than forecast; it was asked for once."""
    book = ReservationBook(shares=RecordingShares())
    reserve(book, service_load(), name='held', gateway='g1', starts_at=0.2, due_at=0.4)
    for half_seconds in range(1, 12):
        now = half_seconds / 2
        overdue = stage_work('held', gateway='g1', starts_at=max(now, 0.2), due_at=0.4)
        book.renew(overdue, service_load(), now)
        book.expire(now + 0.4)
    assert book.reserved.keys() == {StageKey('held', 0, 'g1')}
    assert not book.ended
    assert book.reserved[StageKey('held', 0, 'g1')].reserved_at == 0
    assert book.shares.used == book.shares.asked_for == pytest.approx(0.02)
    book.expire(now + LEASE_S + 0.1)
    assert book.ended == {ReservationEnd.expired: 1}
    assert book.shares.used == pytest.approx(0)


def test_reservation_that_was_never_renewed_ends_soon_after_its_start():
    """The request was refused, and the withdrawal is lost."""
    book = ReservationBook(shares=RecordingShares())
    reserve(book, service_load(), name='refused', gateway='g1', starts_at=0.0)
    book.expire(0.9)
    assert book.reserved
    book.expire(1.05)
    assert not book.reserved


def test_renewal_leaves_an_unchanged_reservation_in_its_place():
    book = ReservationBook(shares=RecordingShares())
    for name, starts_at in (('one', 0.5), ('two', 0.7)):
        reserve(book, service_load(), name=name, gateway='g1', starts_at=starts_at, due_at=1.0)
    before = list(book.by_start)
    for now in (0.4, 0.8):
        assert book.keep(stage_work('one', gateway='g1', starts_at=max(now, 0.5)), now)
        assert book.by_start == before
    assert book.reserved[StageKey('one', 0, 'g1')].renewed_at == 0.8
    assert not book.keep(stage_work('unknown', gateway='g1'), 0.8)


def test_renewal_of_an_overdue_stage_tells_a_later_start():
    """The message by which the stage was asked about again is lost."""
    book = ReservationBook(shares=RecordingShares())
    for name, starts_at in (('one', 0.1), ('two', 0.7)):
        reserve(book, service_load(), name=name, gateway='g1', starts_at=starts_at)
    assert book.keep(stage_work('one', gateway='g1', starts_at=0.9), 0.3)
    assert [one.work.starts_at for one in book.by_start] == [0.7, 0.9]
    assert book.shares.used == pytest.approx(0.04)


def test_work_that_is_taken_over_counts_as_used_and_not_as_asked_for():
    book = ReservationBook(shares=RecordingShares())
    book.renew(stage_work('held', gateway='g1'), service_load(), 0)
    assert book.shares.used == pytest.approx(0.02)
    assert book.shares.asked_for == 0


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(('reserve', 'renew', 'arrive', 'withdraw', 'expire')),
            st.integers(0, 3),
            st.integers(0, 2),
            st.sampled_from(('', 'g1', 'g2')),
            st.floats(0, 0.7),
        ),
        max_size=40,
    )
)
def test_reservations_equal_those_of_a_plain_list(steps):
    book = ReservationBook(shares=RecordingShares())
    held = {}
    now = 0.0
    arrived = {}
    for action, request, stage, gateway, later in steps:
        now += later
        key = StageKey(f'r{request}', stage, gateway)
        held = {one: until for one, until in held.items() if until > now}
        # The book looks for expired ones at intervals only.
        book.expiry_checked_at = float('-inf')
        book.expire(now)
        work = stage_work(
            key.attempt_id, stage=stage, gateway=gateway, starts_at=now + later, due_at=now + 1
        )
        if action in {'reserve', 'renew'}:
            if action == 'reserve':
                book.reserve(work, service_load(), now)
            else:
                book.renew(work, service_load(), now)
            if arrived.get(key.unscoped) != gateway or (action == 'reserve' and key in held):
                held.pop(key, None)
                held[key] = book.reserved[key].expires_at
        elif action == 'arrive':
            used = next((one for one in held if one.unscoped == key.unscoped), None)
            assert book.arrive(key.unscoped, now) is (used is not None)
            if used is not None:
                held.pop(used)
                arrived[key.unscoped] = used.gateway
        elif action == 'withdraw':
            book.withdraw(key.request_id, now)
            held = {
                one: until
                for one, until in held.items()
                if (one.attempt_id, one.gateway) != (key.attempt_id, gateway)
            }
        assert book.reserved.keys() == held.keys()
        assert {one.work.key for one in book.by_start} == held.keys()
        starts = [one.work.starts_at for one in book.by_start]
        assert starts == sorted(starts)
        assert book.shares.used == pytest.approx(
            0.02 * len(held) + 0.02 * book.ended[ReservationEnd.used]
        )


# -- forecasts against what came --------------------------------------------


class Server:
    """Serves pieces in the order of arrival at a rate that forecasts don't know."""

    def __init__(self, rate):
        self.rate = rate
        self.free_at = 0.0
        self.queue = collections.deque()

    def add(self, key, pieces, now):
        self.free_at = max(self.free_at, now) + pieces / self.rate
        self.queue.append((self.free_at, key, pieces))

    def queued(self, now):
        """Return the pieces that are not done."""
        return round(max(0, self.free_at - now) * self.rate)

    def done(self, now):
        while self.queue and self.queue[0][0] <= now:
            yield self.queue.popleft()


def play(rate_at, *, seconds, served_rate, known_rate, limit_s):
    """Offer one piece at a time; return (arrived, forecast, took) of what was admitted."""
    rng = random.Random(7)
    book, server = ReservationBook(), Server(served_rate)
    open_forecasts, found = {}, []
    now, number = 0.0, 0
    while now < seconds:
        now += rng.expovariate(rate_at(now))
        for ended_at, key, _ in server.done(now):
            book.finish(key, ended_at, done=True)
            arrived_at, forecast = open_forecasts.pop(key)
            found.append((arrived_at, forecast, ended_at - arrived_at))
        number += 1
        work = stage_work(f'r{number}', starts_at=now, due_at=now + limit_s)
        load = service_load(known_rate, queued={1: server.queued(now)})
        forecast = book.reserve(work, load, now)
        if forecast.wait_s + forecast.spread_s > limit_s:
            book.withdraw(work.key.attempt_id, now)
            continue
        book.arrive(work.key, now)
        server.add(work.key, work.pieces, now)
        open_forecasts[work.key] = (now, forecast)
    return found


@pytest.mark.parametrize('factor', [1 / 3, 3])
def test_rate_that_is_wrong_by_three_is_corrected_within_five_seconds(factor):
    found = play(
        lambda now: 2 * RATE, seconds=15, served_rate=RATE, known_rate=factor * RATE, limit_s=1.0
    )
    errors = sorted(
        abs(took - forecast.wait_s) for arrived_at, forecast, took in found if arrived_at >= 5
    )
    assert len(errors) > 0.8 * 10 * RATE
    assert errors[len(errors) // 2] < 0.1
    assert errors[9 * len(errors) // 10] < 0.5


def test_burst_of_twice_the_capacity_on_a_wave_is_admitted_to_the_capacity():
    """The load rises to twice the capacity and falls, twice."""

    def rate_at(now):
        return RATE * (2 if now % 6 > 3 else 0.5)

    found = play(rate_at, seconds=24, served_rate=RATE, known_rate=RATE, limit_s=0.5)
    assert sum(took <= 0.55 for _, _, took in found) > 0.95 * len(found)
    # Of each 6 s, 3 are full and 3 half full.
    assert len(found) > 0.9 * 24 * 0.75 * RATE
