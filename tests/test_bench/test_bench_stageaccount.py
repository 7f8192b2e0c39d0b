"""What stage servers did, read from log lines."""

from __future__ import annotations

import pytest

from bench.stageaccount import lines_of, routes_of, services_of


def sent(*requests, pieces=1, waiting=0):
    return {
        'event_name': 'pieces_sent',
        'service': 'crops',
        'requests': list(requests),
        'pieces': pieces,
        'waiting': waiting,
    }


def answered(request, *, late=False, predicted_ms=0, stages_ms=0):
    return {
        'event_name': 'request_answered',
        'request': request,
        'route': 'r',
        'late': late,
        'predicted_ms': predicted_ms,
        'stages_ms': stages_ms,
    }


def refused(request, detail='stages: late', waited_ms=1500):
    return {
        'event_name': 'request_refused',
        'request': request,
        'route': 'r',
        'detail': detail,
        'waited_ms': waited_ms,
    }


@pytest.mark.parametrize(
    ('row', 'end'),
    [
        (answered('a'), 'in time'),
        (answered('a', late=True), 'late'),
        (refused('a'), 'refused in stages'),
        (refused('a', detail='no server'), 'refused'),
        ({'event_name': 'request_failed', 'request': 'a', 'detail': ''}, 'failed'),
        ({'event_name': 'request_left', 'request': 'a'}, 'client left'),
        ({'event_name': 'process_started'}, 'no end logged'),
    ],
)
def test_call_counts_for_what_became_of_its_request(row, end):
    assert services_of([sent('a'), row])['crops'].used == {end: 1}


def test_call_for_several_requests_counts_in_parts():
    rows = [sent('a', 'b', pieces=8, waiting=3), answered('a'), refused('b'), sent('a', pieces=2)]
    account = services_of(rows)['crops']
    assert account.calls == 2
    assert account.crowded == [8]
    assert account.used == {'in time': 1.5, 'refused in stages': 0.5}


def test_predictions_are_compared_with_what_stages_took():
    rows = [answered('a', predicted_ms=900, stages_ms=1000), refused('b'), answered('plain')]
    account = routes_of(rows)['r']
    assert account.predicted == [900]
    assert account.took == [1000]
    assert account.given_up == [1500]


def test_account_is_printed_by_service_and_route():
    rows = [sent('a'), answered('a', predicted_ms=900, stages_ms=1000)]
    assert lines_of(rows) == [
        'crops: 1 calls; crowded - pieces; in time 1.0',
        'r: stages predicted 900.0 ms, took 1000.0 ms; 0 given up after - ms',
    ]
