"""Days drawn from all kinds of trouble."""

from __future__ import annotations

import tomllib

import pytest

from bench.mixes import FAULTS, FIRST_S, KINDS, LAST_S, PLANNED, Mixer, summary

SITE = """
[[day]]
name = "quiet-1"
traffic = [{ zone = "a", per_s = 3.0 }]
"""


@pytest.fixture
def mixer(tmp_path):
    site = tmp_path / 'site.toml'
    site.write_text(SITE)
    return Mixer(site=site, kinds=tomllib.loads(KINDS.read_text()))


def test_seed_gives_the_same_day(mixer):
    assert mixer.day(7) == mixer.day(7)
    assert mixer.day(7) != mixer.day(8)


@pytest.mark.parametrize('seed', range(20))
def test_day_has_faults_planned_work_and_one_of_each_twice(mixer, seed):
    day = mixer.day(seed)
    for part, (least, most) in (('faults', FAULTS), ('plan', PLANNED)):
        entries = day[part]
        assert least + 1 <= len(entries) <= most + 1
        assert all(FIRST_S <= entry['at'] <= LAST_S for entry in entries)
        plain = [str(sorted({**entry, 'at': 0}.items())) for entry in entries]
        assert len(set(plain)) == len(entries) - 1
    assert day['closing'] in mixer.kinds['closing']


def test_all_entries_are_there_once(mixer):
    for entries in mixer.kinds.values():
        plain = [str(sorted(entry.items())) for entry in entries]
        assert len(set(plain)) == len(plain)


def test_line_names_what_was_broken():
    line = summary({'G': 0.5, 'served': 0.9, 'breaks': {'DRAIN': 1}, 'fault': None, 'short': []})
    assert line == "worth 0.500 served 0.900 {'breaks': {'DRAIN': 1}}"
