"""Parsing of pattern files, and the findings on invalid ones."""

from __future__ import annotations

import random
import statistics
from pathlib import Path

import pytest

from ringseam.errors import FindingsError
from ringseam.features import Feature
from ringseam.model.pattern import Amount, read_pattern

PATTERNS = Path(__file__).parents[2] / 'bench' / 'patterns'
GOOD = """\
[service s]
servers = 2
batch = 4

[route r]
service = s
per_s = 2

[stage r 0]
service = s

[event more]
kind = burst
of = r
at = 3
for_s = 2
factor = 5
"""


@pytest.mark.parametrize('path', sorted(PATTERNS.glob('*.ini')), ids=lambda path: path.stem)
def test_bench_patterns_are_valid(path):
    pattern = read_pattern(path.read_text(), path=str(path))
    assert pattern.route_table().routes


def test_burst_holds_for_its_time_only():
    pattern = read_pattern(GOOD, path='p')
    assert [pattern.rate_at('r', now) for now in (2, 3, 4.9, 5)] == [2, 10, 10, 2]


def test_accounts_have_their_parts_of_each_route_and_bursts_of_their_own():
    burst = '[event one]\nkind = burst\naccount = large\nat = 8\nfor_s = 1\nfactor = 3\n'
    accounts = '[account large]\nshare = 0.75\n[account small]\nshare = 0.25\n'
    pattern = read_pattern(GOOD + burst + accounts, path='p')
    assert [pattern.rate_at('r', now, 'large') for now in (2, 3, 8)] == [1.5, 7.5, 4.5]
    assert [pattern.rate_at('r', now, 'small') for now in (2, 3, 8)] == [0.5, 2.5, 0.5]
    table = pattern.route_table()
    assert not table.routes[0].public
    assert table.account_by_key('large').name == 'large'


def test_features_of_a_pattern_are_those_of_the_gateways():
    assert read_pattern(GOOD, path='p').features == frozenset()
    pattern = read_pattern('[pattern]\nfeatures = account-shares\n' + GOOD, path='p')
    assert pattern.features == {Feature.account_shares}


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('nothing', 'no section headers'),
        ('[servis s]\nservers = 2', 'servis'),
        ('[service s]\nservers = many', 'servers'),
        ('[service s]\nbatch = 2', 'servers'),
        ('[route r]\nservice = s\nper_s = 1', "unknown service 's'"),
        ('[event e]\nkind = storm\nat = 1', 'storm'),
    ],
)
def test_invalid_pattern_is_reported_with_its_cause(text, message):
    with pytest.raises(FindingsError, match=message):
        read_pattern(text, path='p.ini')


def test_all_findings_are_reported_together():
    with pytest.raises(FindingsError) as raised:
        read_pattern('[service a]\nservers = x\n[service b]\nservers = y', path='p')
    assert len(raised.value.findings) == 2


def test_drawn_amounts_have_the_given_mean_and_maximum():
    rng = random.Random(1)
    drawn = [Amount(mean=10, spread=0.5, most=30).draw(rng) for _ in range(4000)]
    assert statistics.mean(drawn) == pytest.approx(10, rel=0.05)
    assert max(drawn) <= 30
