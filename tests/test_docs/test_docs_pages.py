"""The documentation pages parse, their links resolve and the event catalogue is complete."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from docutils.core import publish_doctree

from ringseam.events import Event

ROOT = Path(__file__).parent.parent.parent
PAGES = sorted([*ROOT.glob('*.rst'), *(ROOT / 'docs').glob('*.rst')])


@pytest.mark.parametrize('page', PAGES, ids=[page.name for page in PAGES])
def test_page_has_no_warnings(page):
    publish_doctree(
        page.read_text(encoding='utf-8'),
        source_path=str(page),
        settings_overrides={'halt_level': 2, 'report_level': 2},
    )


@pytest.mark.parametrize('page', PAGES, ids=[page.name for page in PAGES])
def test_links_have_targets(page):
    for target in re.findall(r'<([\w./-]+\.(?:rst|md))>`_', page.read_text(encoding='utf-8')):
        assert (page.parent / target).exists(), target


def test_event_catalogue_is_complete():
    text = (ROOT / 'docs' / 'events.rst').read_text(encoding='utf-8')
    listed = re.findall(r'^(\d{3}) +(\w+) +(\w+) +(.*)$', text, re.MULTILINE)
    defined = [
        (str(event.number), event.name, _level_name(event), event.text)
        for event in sorted(Event, key=lambda event: event.number)
    ]
    assert listed == defined


def test_event_numbers_are_unique():
    assert len({event.number for event in Event}) == len(Event)


def _level_name(event):
    import logging

    return logging.getLevelName(event.level)


def test_named_tests_exist():
    """Each test that the proof page names exists."""
    text = (ROOT / 'docs' / 'proof.rst').read_text(encoding='utf-8')
    sources = ''.join(path.read_text() for path in (ROOT / 'tests').rglob('test_*.py'))
    for name in set(re.findall(r'``(test_\w+)``', text)):
        assert f'def {name}(' in sources, name
