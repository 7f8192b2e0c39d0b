"""The table that compares revisions on the same days and seeds."""

from __future__ import annotations

from bench.panel import days_of, table_of


def report(worth, *, broken=()):
    return {
        'G': worth,
        'breaks': dict.fromkeys(broken, 1),
        'fault': None,
        'classes': [{'name': 'kind', 'worth': worth}],
        'prices': [['waste', 1, 0.1]],
    }


def test_difference_is_paired_by_day_and_seed():
    before = [report(0.1), report(0.5), report(0.9)]
    after = [report(0.2), report(0.6), report(1.0)]
    table = table_of({'before': before, 'after': after})
    assert 'difference +0.100 +- 0.000' in table[3]


def test_broken_rules_are_named():
    table = table_of({'before': [report(0.1, broken=('LOST',))]})
    assert "'LOST': 1" in table[0]


def test_quiet_days_are_left_out(tmp_path):
    site = tmp_path / 'site.toml'
    site.write_text('[[day]]\nname = "a"\nslot = "quiet"\n[[day]]\nname = "b"\n')
    assert days_of(site) == ['b']
