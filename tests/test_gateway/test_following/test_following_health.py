"""Evidence about backend servers, and the choice that follows from it."""

from __future__ import annotations

from ringseam.backends import BackendId, BackendReport
from ringseam.gateway.following.health import HealthBook
from ringseam.gateway.following.ownership import rendezvous
from ringseam.gateway.requests.balancing import LatencyPolicy, LocalZonePolicy
from ringseam.routes import ServiceName

A = BackendId('a')
B = BackendId('b')


def server(name, zone='x'):
    return BackendReport(
        instance=name, service=ServiceName('s'), address=f'{name}:1', zone=zone, sequence=1, slots=4
    )


def test_one_failure_among_many_answers_ejects_nobody():
    book = HealthBook()
    for _ in range(20):
        book.succeeded(A, 0)
    assert not book.failed(A, 0)


def test_share_of_failures_ejects_for_a_while():
    book = HealthBook()
    book.succeeded(A, 0)
    book.failed(A, 0)
    assert book.failed(A, 0.1)
    assert book.of(A).ejected_until > 1


def test_refused_connection_ejects_at_once_and_longer_each_time():
    book = HealthBook()
    book.failed(A, 0, hard=True)
    first = book.of(A).ejected_until
    book.failed(A, first, hard=True)
    assert book.of(A).ejected_until - first > first


def test_evidence_fades():
    book = HealthBook()
    book.failed(A, 0)
    assert not book.failed(A, 60)


def test_ejected_server_is_avoided_unless_all_are():
    book = HealthBook()
    choice = LatencyPolicy(health=book, zone='x')
    servers = [server(A), server(B, 'y')]
    assert choice.choose(servers, 0).instance == A
    book.failed(A, 0, hard=True)
    assert choice.choose(servers, 0.1).instance == B
    book.failed(B, 0.1, hard=True)
    assert choice.choose(servers, 0.2) is not None


def test_slow_server_loses_work_that_the_naive_choice_leaves_there():
    book = HealthBook()
    servers = [server(A), server(B, 'y')]
    for _ in range(10):
        book.took(A, 0.4)
        book.took(B, 0.02)
    assert LatencyPolicy(health=book, zone='x').choose(servers, 0).instance == B
    assert LocalZonePolicy(health=book, zone='x').choose(servers, 0).instance == A


def test_nobody_to_choose():
    assert LatencyPolicy(health=HealthBook(), zone='x').choose([], 0) is None


def test_rendezvous_moves_only_the_keys_of_who_left():
    names = [f'g{number}' for number in range(6)]
    keys = [f'k{number}' for number in range(300)]
    before = {key: rendezvous(key, names) for key in keys}
    after = {key: rendezvous(key, names[:-1]) for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == names[-1]}


def test_slowness_shows_after_one_call_and_fades():
    book = HealthBook()
    book.compared(A, 4.0, now=0)
    assert book.of(A).slowness_at(0) == 2.5
    assert book.of(A).slowness_at(3) == 1.75
    book.compared(A, 1.0, now=3)
    assert book.of(A).slowness_at(3) == 1.375
