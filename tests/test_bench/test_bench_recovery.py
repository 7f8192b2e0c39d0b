"""Times to recover, read from a day's log."""

from __future__ import annotations

from bench.recovery import FAULT_AT_S, FAULTS, day_of, recovery_of, summary


def row(at, event, process='g1', status=200):
    return {'at': at, 'event_name': event, 'process': process, 'status': status}


def test_first_change_and_first_answers_after_the_fault():
    rows = [
        row(5, 'document_accepted', 'c1'),
        row(5, 'request_answered', 'g1'),
        row(5, 'request_answered', 'g2'),
        row(6.5, 'request_answered', 'g1', 504),
        row(6.8, 'document_accepted', 'c2'),
        row(7, 'request_answered', 'g1'),
        row(9, 'request_answered', 'g2'),
        row(9.5, 'request_answered', 'g1'),
    ]
    found = recovery_of(rows, 6)
    assert round(found.accepted, 1) == 0.8
    assert found.half_serving == 1
    assert found.all_serving == 3


def test_what_did_not_come_is_missing():
    found = recovery_of([row(5, 'request_answered', 'g1')], 6)
    assert (found.accepted, found.half_serving, found.all_serving) == (None, None, None)
    assert summary([None]) == 'none'
    assert summary([1.0, None, 3.0]) == 'n 2/3 p50 2.00 p90 3.00 max 3.00 s'


def test_day_has_one_fault_and_little_traffic():
    kept = ('one', 'zero', 'goal', 'labels', 'wall', 'light')
    pattern = {**dict.fromkeys(kept, 1), 'traffic': [{'zone': 'a', 'per_s': 40.0}]}
    for name in FAULTS:
        day = day_of({'day': [pattern]}, name, 3)
        assert [fault['at'] for fault in day['faults']] == [FAULT_AT_S]
        assert day['traffic'][0]['per_s'] < 10
