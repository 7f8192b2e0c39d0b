"""What ``ringseam verdicts`` shows, and what ``ringseam lift-verdict`` refuses to lift."""

import pytest
from typer.testing import CliRunner

from ringseam.cmd import verdicts
from ringseam.cmd.main import ExitCode, app
from ringseam.quarantinemessages import VerdictEntry, VerdictList

OPTIONS = ['--control', 'h:1', '--key-file', 'k']
LISTED = VerdictList(
    verdicts=(
        VerdictEntry(
            verdict='digest',
            keys=('part-a', 'part-b'),
            service='writers',
            account='acme',
            is_scoped=True,
            crashes=('i-1@4.00',),
            age_s=61.2,
        ),
        VerdictEntry(verdict='c1', keys=('c1',), service='signals'),
    )
)


@pytest.fixture
def calls(monkeypatch):
    """Answer each call with the same list, and record how many were made."""
    made = []

    def run_with_control(addresses, key_file, call):
        made.append(addresses)
        return LISTED

    monkeypatch.setattr(verdicts, 'run_with_control', run_with_control)
    return made


def test_verdicts_are_shown_with_their_parts_and_crashes(calls):
    shown = CliRunner().invoke(app, ['verdicts', *OPTIONS]).output.splitlines()
    assert shown[0] == (
        'digest: service writers, requests of acme, for 61 s, lifted 0 times; '
        'keys part-a, part-b; crashes: i-1@4.00'
    )
    assert shown[1].endswith('keys c1; crashes: recorded by an earlier leader')


def test_unknown_verdict_is_not_lifted(calls):
    run = CliRunner().invoke(app, ['lift-verdict', 'c9', *OPTIONS])
    assert run.exit_code == ExitCode.conflict
    assert len(calls) == 1


def test_known_verdict_is_lifted(calls):
    run = CliRunner().invoke(app, ['lift-verdict', 'c1', *OPTIONS])
    assert run.exit_code == ExitCode.done
    assert len(calls) == 2
