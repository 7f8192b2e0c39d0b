"""Mark the tests listed in KNOWN-RED.txt, which fail because of a known fault."""

from __future__ import annotations

from pathlib import Path

import pytest

#: Begins the entry of a test that fails now and then; the file and the name of the test follow.
AT_TIMES = 'at times: '
KNOWN_FAILURES_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def parse_known_failures(text):
    """Map each listed test to its line, which reads "test | cause | issue"."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith('#')]
    return {line.partition(' | ')[0].strip(): line for line in lines}


def mark_expected_failures(items, known_failures):
    """Mark the listed tests as strict xfail: one that passes must be removed from the list.

    Tests that fail at times are listed one by one, with their parameters; both outcomes are shown.
    """
    for item in items:
        line = known_failures.get(item.nodeid.partition('[')[0])
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))
        line = known_failures.get(AT_TIMES + item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def load_known_failures():
    """Return the known failures of this source tree."""
    return (
        parse_known_failures(KNOWN_FAILURES_FILE.read_text(encoding='utf-8'))
        if KNOWN_FAILURES_FILE.exists()
        else {}
    )
