"""The example files of both deployments are accepted as they stand."""

from __future__ import annotations

from pathlib import Path

import pytest

from ringseam.config import Configuration, read_part
from ringseam.load import read_plan, schedule
from ringseam.messages import AcceptedFile

EXAMPLES = Path(__file__).parent.parent.parent / 'examples'


def accepted(part, revision):
    text = (EXAMPLES / f'{part}.ini').read_text(encoding='utf-8')
    return AcceptedFile(part=part, text=text, apply_id='', revision=revision)


@pytest.mark.parametrize('part', ['thies', 'voltara'])
def test_no_findings(part):
    assert read_part(accepted(part, 1).text, path=part).name == part


def test_both_parts_together():
    both = Configuration().updated(2, [accepted('voltara', 1), accepted('thies', 2)])
    for part in both.parts.values():
        assert both.grant_findings(part, path='') == []
        assert len(part.accounts) == 5
    assert both.pipeline('thies/reject').needs_key
    assert both.pipeline('voltara/swap').needs_key


def test_use_without_the_grant_is_a_finding():
    alone = Configuration().updated(1, [accepted('thies', 1)])
    findings = alone.grant_findings(alone.parts['thies'], path='thies.ini')
    assert [finding.section for finding in findings] == ['stage explain-defects']


def test_load_example():
    plan = read_plan((EXAMPLES / 'load.ini').read_text(encoding='utf-8'), path='load.ini')
    assert schedule(plan) == schedule(plan)
    assert len(schedule(plan)) > 50
