"""Which accounts were served, from logs.

Guards against a burst after which nobody can tell whose requests were late or refused.
"""

from __future__ import annotations

import json

import pytest
from typer.testing import CliRunner

from ringseam.cmd import callers
from ringseam.cmd.main import ExitCode, app
from ringseam.events import Event
from ringseam.timeline import read_events


def line(event, **fields):
    common = {'event': event.number, 'event_name': event.name, 'process': 'g1', 'hlc': [1, 0]}
    return json.dumps({**common, 'message': 'x', 'levelname': 'INFO', **fields})


LINES = (
    line(Event.request_answered, account='acme', status=200, late=False),
    line(Event.request_answered, account='acme', status=200, late=True),
    line(Event.request_answered, account='acme', status=500, late=False),
    line(Event.request_refused, account='bolt'),
    line(Event.request_failed, account='bolt', status=502),
    line(Event.request_answered, account='', status=200, late=False),
    line(Event.request_sent, account='acme'),
    'no event',
)


@pytest.fixture(name='log')
def write_log(tmp_path):
    path = tmp_path / 'g1.log'
    path.write_text('\n'.join(LINES))
    return path


def test_ends_are_counted_by_account(log):
    ends = callers.CallerEnd
    assert callers.count_ends(read_events([log])) == {
        'acme': {ends.in_time: 1, ends.late: 1, ends.failed: 1},
        'bolt': {ends.refused: 1, ends.failed: 1},
        '-': {ends.in_time: 1},
    }


def test_account_that_was_served_worst_is_first(log):
    found = CliRunner().invoke(app, ['callers', str(log)])
    assert [row.split()[0] for row in found.output.splitlines()] == [
        'account',
        'bolt',
        'acme',
        '-',
    ]


def test_counts_as_json(log):
    found = json.loads(CliRunner().invoke(app, ['callers', '--json', str(log)]).output)
    assert found['bolt'] == {'in time': 0, 'late': 0, 'refused': 1, 'failed': 1}


def test_log_that_is_missing_is_an_error(tmp_path):
    found = CliRunner().invoke(app, ['callers', str(tmp_path / 'none.log')])
    assert found.exit_code == ExitCode.usage
