"""Reservations that a gateway holds: each owner is told what is its own, with times from now."""

from __future__ import annotations

from ringseam.gateway.reservations.holding import HeldReservations
from ringseam.gateway.reservations.messages import ReserveRequest, StageDemand
from ringseam.routes import ServiceName


def request_of(attempt_id, *starts_ms, account='a'):
    return ReserveRequest(
        attempt_id=attempt_id,
        account=account,
        rank=2,
        returned=True,
        demands=tuple(
            StageDemand(
                stage=number,
                service=ServiceName(f's{number}'),
                pieces=3,
                starts_ms=starts,
                due_ms=starts + 500,
            )
            for number, starts in enumerate(starts_ms)
        ),
    )


def test_each_owner_is_told_of_its_stages_with_the_time_that_is_left():
    held = HeldReservations()
    held.add(request_of('r', 0, 800), set(), 10.0)
    found = held.by_owner(lambda service: f'owner-{service}', 10.3)
    assert found.keys() == {'owner-s0', 'owner-s1'}
    (work,) = found['owner-s1']
    assert (work.attempt_id, work.account, work.rank, work.returned) == ('r', 'a', 2, True)
    assert [(one.stage, one.starts_ms, one.due_ms) for one in work.demands] == [(1, 500, 1000)]
    (overdue,) = found['owner-s0']
    assert [(one.starts_ms, one.due_ms) for one in overdue.demands] == [(0, 200)]


def test_stages_whose_pieces_were_sent_and_requests_that_are_over_are_not_told():
    held = HeldReservations()
    started = set()
    held.add(request_of('r', 0, 800), started, 0.0)
    held.add(request_of('over', 0), set(), 0.0)
    held.drop('over')
    held.drop('unknown')
    started.add(0)
    (work,) = held.by_owner(lambda service: '', 0.1)['']
    assert [one.stage for one in work.demands] == [1]
    started.add(1)
    assert not held.by_owner(lambda service: '', 0.1)


def test_stage_that_is_asked_for_again_is_told_once_with_the_later_times():
    held = HeldReservations()
    held.add(request_of('r', 100), set(), 0.0)
    held.add(request_of('r', 700), set(), 0.05)
    (work,) = held.by_owner(lambda service: '', 0.05)['']
    assert [one.starts_ms for one in work.demands] == [700]


def test_attempt_that_is_received_again_is_held_by_what_its_own_run_has_sent():
    """A hedging client sends an attempt twice to one gateway; the first run is ahead."""
    held = HeldReservations()
    first, second = set(), set()
    held.add(request_of('r', 0, 800), first, 0.0)
    first.update((0, 1))
    held.add(request_of('r', 0, 800), second, 0.1)
    (work,) = held.by_owner(lambda service: '', 0.1)['']
    assert [one.stage for one in work.demands] == [0, 1]
    second.add(0)
    (work,) = held.by_owner(lambda service: '', 0.1)['']
    assert [one.stage for one in work.demands] == [1]
    assert held.is_replaced('r', first)
    assert not held.is_replaced('r', second)
    assert not held.is_replaced('unknown', first)
