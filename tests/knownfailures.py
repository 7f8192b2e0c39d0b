"""Tests that fail for a known fault, as KNOWN-RED.txt lists them."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def parse_known_failures(text):
    """Return the reason by test; a line is "test | cause | issue"."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith('#')]
    return {line.partition(' | ')[0].strip(): line for line in lines}


def mark_expected_failures(items, known_failures):
    """Expect the listed tests to fail; one that passes is an error, so that it is taken off."""
    for item in items:
        line = known_failures.get(item.nodeid.partition('[')[0])
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))


def load_known_failures():
    """Return what the list of this tree has."""
    return (
        parse_known_failures(KNOWN_FAILURES_FILE.read_text(encoding='utf-8'))
        if KNOWN_FAILURES_FILE.exists()
        else {}
    )
