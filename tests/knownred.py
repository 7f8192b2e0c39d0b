"""Tests that fail for a known fault, as KNOWN-RED.txt lists them."""

from __future__ import annotations

from pathlib import Path

import pytest

LIST = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known(text):
    """Return the reason by test; a line is "test | cause | issue"."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith('#')]
    return {line.partition(' | ')[0].strip(): line for line in lines}


def mark_known(items, known):
    """Expect the listed tests to fail; one that passes is an error, so that it is taken off."""
    for item in items:
        line = known.get(item.nodeid.partition('[')[0])
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))


def known_tests():
    """Return what the list of this tree has."""
    return read_known(LIST.read_text(encoding='utf-8')) if LIST.exists() else {}
