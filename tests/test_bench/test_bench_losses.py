"""Causes of losses, read from log lines."""

from __future__ import annotations

import json

import pytest

from bench.losses import losses_of, page_of, rows_of


def line(event_name, **fields):
    return f'  12.0000 front-1 {json.dumps({"event_name": event_name, "route": "r", **fields})}'


def answered(late, first_ms=0, stages_ms=0):
    return line('request_answered', late=late, first_ms=first_ms, stages_ms=stages_ms)


@pytest.mark.parametrize(
    ('text', 'cause'),
    [
        (answered(late=True, first_ms=1000, stages_ms=900), 'late: stages'),
        (answered(late=True, first_ms=1000, stages_ms=100), 'late: server'),
        (answered(late=True, first_ms=500), 'late: plain request'),
        (line('request_refused', detail='would take 3.1 s'), 'refused: would take s'),
        (line('request_failed', status=504, detail='1.2.3.4:5: no'), 'failed with 504: no'),
        (line('request_left'), 'client left'),
    ],
)
def test_cause(text, cause):
    assert [loss.cause for loss in losses_of(rows_of(text))] == [cause]


@pytest.mark.parametrize('text', [answered(late=False), line('pieces_sent'), 'no log line {'])
def test_what_lost_nothing(text):
    assert losses_of(rows_of(text)) == []


def test_page_shows_each_part():
    rows = [{'name': 'x<y', 'worth': 0.75}]
    report = {
        'G': 0.5,
        'classes': rows,
        'zones': rows,
        'windows': rows,
        'prices': [['bytes', 3.0, 0.01], ['nothing', 0.0, 0.0]],
        'events': [{'at_s': 1, 'to_s': 2, 'kind': 'burst', 'what': ''}],
    }
    page = page_of('day', report, [])
    assert 'x&lt;y' in page
    assert '0.25' in page
    assert 'bytes' in page
    assert 'nothing' not in page
    assert 'burst' in page
