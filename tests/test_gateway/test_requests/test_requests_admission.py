"""Who is refused at once, and when to come back."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from ringseam.calls import ClientRequest
from ringseam.contents import ContentId
from ringseam.gateway.requests.admission import Admission
from ringseam.gateway.work import Work
from ringseam.routes import RequestKind, Route, ServiceName, Target

ROUTE = Route(
    name='r',
    host='h',
    prefix='/',
    kind=RequestKind.stream,
    timeout_s=10,
    objective_s=2,
    targets=(Target(service=ServiceName('s')),),
)


def work(left_s=10.0, arrived=0.0, **fields):
    request = ClientRequest(attempt_id='a', host='h', path='/', time_left_s=left_s, key='')
    return Work(
        exchange=SimpleNamespace(),
        request=request,
        route=ROUTE,
        service=ServiceName('s'),
        account=None,
        content_id=ContentId('c1'),
        arrived=arrived,
        deadline=arrived + min(left_s or 10, 10),
        **fields,
    )


@pytest.mark.parametrize(('needed_s', 'refused'), [(0.5, False), (1.9, False), (2.1, True)])
def test_first_try_is_refused_when_it_would_be_late(needed_s, refused):
    admission = Admission(seed='x')
    assert bool(admission.refuses(work(), needed_s, 0)) is refused


def test_client_that_comes_back_is_taken_in():
    admission = Admission(seed='x')
    assert admission.refuses(work(), 4, 0)
    back = work(left_s=8.5, arrived=1.5, asked_before_s=1.5)
    assert admission.refuses(back, 4, 1.5) is None
    assert back.goal == 10


def test_client_without_a_chance_is_refused_again():
    admission = Admission(seed='x')
    admission.refuses(work(), 4, 0)
    assert admission.refuses(work(left_s=3, arrived=7), 4, 7)


def test_pause_stays_within_what_clients_honour():
    admission = Admission(seed='x')
    refusal = admission.refuses(work(), 60, 0)
    assert 0 < refusal.come_back_s <= 10 / 3


def test_usual_time_is_forgotten():
    admission = Admission(seed='x')
    assert admission.asked_before_s('r', 10, 0) == 0
    assert admission.asked_before_s('r', 5, 1) == 5
    assert admission.asked_before_s('r', 5, 100) == 0


def test_client_that_names_no_time_is_a_first_try():
    assert Admission(seed='x').asked_before_s('r', None, 0) == 0


def test_objective_counts_from_the_first_try():
    assert work(left_s=8.5, arrived=1.5, asked_before_s=1.5).objective == 2


def test_clients_that_differ_in_their_limits_are_all_first_tries():
    """Load: half of the clients and more name shorter limits of their own. Taken for
    clients that came back, they would go after all others."""
    admission = Admission(seed='x')
    found = [admission.asked_before_s('r', 4 + number % 5, number * 0.1) for number in range(200)]
    assert not any(found[20:])


def test_clients_that_come_back_are_known_while_each_comes_back():
    admission = Admission(seed='x')
    for number in range(50):
        assert admission.asked_before_s('r', 10, number) == 0
        assert admission.asked_before_s('r', 7, number) == 3
