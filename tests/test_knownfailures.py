"""The list of known failures decides which tests CI passes over."""

from __future__ import annotations

from types import SimpleNamespace

from tests.knownfailures import mark_expected_failures, parse_known_failures

TEXT = """\
# a comment
tests/a.py::test_always | pytest | what was seen | 1
at times: tests/a.py::test_rarely[second] | pytest | what was seen | 2
at times: test_under_load of tests/a.py | pytest | what was seen | 3
"""


def marks(*names):
    """Return whether each test is marked, and strictly."""
    marked = {}
    for name in names:
        found = []
        item = SimpleNamespace(nodeid=name, add_marker=found.append)
        mark_expected_failures([item], parse_known_failures(TEXT))
        marked[name] = [mark.kwargs['strict'] for mark in found]
    return marked


def test_only_listed_cases_are_passed_over():
    """Guards against an entry that hides the failures of other tests."""
    assert marks(
        'tests/a.py::test_always[x]',
        'tests/a.py::test_rarely[second]',
        'tests/a.py::test_rarely[first]',
        'tests/a.py::test_under_load',
        'tests/a.py::test_other',
    ) == {
        'tests/a.py::test_always[x]': [True],
        'tests/a.py::test_rarely[second]': [False],
        'tests/a.py::test_rarely[first]': [],
        'tests/a.py::test_under_load': [],
        'tests/a.py::test_other': [],
    }
