"""The example files of both deployments are accepted without changes."""

from __future__ import annotations

from pathlib import Path

import pytest

from ringseam.config import Configuration, read_part
from ringseam.load import read_plan, schedule
from ringseam.messages import AcceptedFile

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'


def accepted_file(part, revision):
    text = (EXAMPLES / f'{part}.ini').read_text(encoding='utf-8')
    return AcceptedFile(part=part, text=text, apply_id='', revision=revision)


@pytest.mark.parametrize('part', ['thies', 'voltara'])
def test_example_has_no_findings(part):
    assert read_part(accepted_file(part, 1).text, path=part).name == part


def test_both_parts_are_consistent():
    configuration = Configuration().updated(
        2, [accepted_file('voltara', 1), accepted_file('thies', 2)]
    )
    for part in configuration.parts.values():
        assert configuration.grant_findings(part, path='') == []
        assert len(part.accounts) == 5
    assert configuration.pipeline('thies/reject').needs_key
    assert configuration.pipeline('voltara/swap').needs_key


def test_stage_without_a_pool_grant_is_a_finding():
    without_grant = Configuration().updated(1, [accepted_file('thies', 1)])
    findings = without_grant.grant_findings(without_grant.parts['thies'], path='thies.ini')
    assert [finding.section for finding in findings] == ['stage explain-defects']


def test_load_example_schedule_is_deterministic():
    plan = read_plan((EXAMPLES / 'load.ini').read_text(encoding='utf-8'), path='load.ini')
    assert schedule(plan) == schedule(plan)
    assert len(schedule(plan)) > 50
