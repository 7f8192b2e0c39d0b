"""Shared fixtures and the hypothesis profile of all tests."""

from __future__ import annotations

import gc

import pytest
from hypothesis import HealthCheck, settings

from ringseam.layout import Layout, token_digest
from tests.knownfailures import load_known_failures, mark_expected_failures
from tests.processes import System

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('fixed')

PART_FILE = f"""\
[part]
name = demo
operator_token_sha256 = {token_digest('operator-of-demo')}

[account inspector]
token_sha256 = {token_digest('caller')}

[pool readers]
echoes_id = yes

[pool signals]

[stage read]
pool = readers
path = /read

[stage rank]
pool = readers
path = /rank

[stage reject]
pool = signals
path = /reject
repeatable = no

[pipeline two]
stages = read, rank
accounts = inspector
deadline_ms = 10000

[pipeline signal]
stages = reject
accounts = inspector
deadline_ms = 10000
priority = high

[pipeline verdict]
stages = read, reject
accounts = inspector
deadline_ms = 10000
recorded = yes
"""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Render failures without garbage collection, which may end the whole run.

    A finalizer that raises while a source is parsed breaks the recursion counter of the parser in
    some versions of Python: ``SystemError: AST constructor recursion depth mismatch``.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item):
    """Collect garbage between tests: a collection within one stops its event loop.

    What lives on is not looked at again, so that collections within tests are short.
    """
    gc.collect()
    gc.freeze()


def pytest_collection_modifyitems(items):
    """Expect the tests with known faults to fail; option ``-ra`` lists them."""
    mark_expected_failures(items, load_known_failures())


@pytest.fixture
def part_file():
    """Return a part file with repeatable and non-repeatable pipelines."""
    return PART_FILE


@pytest.fixture
def system(tmp_path):
    """Return a system whose processes are killed after the test."""
    created = System(layout=Layout(folder=tmp_path / 'system'))
    yield created
    created.close()


@pytest.fixture
def running_system(system):
    """Start a system of three control hosts, two entries and two servers."""
    layout = system.layout
    layout.add_control(3)
    layout.add_server('reader', pool='demo/readers')
    layout.add_server('signaller', pool='demo/signals')
    layout.add_entry('entry')
    layout.add_entry('other')
    system.start()
    system.apply(PART_FILE, expect=0)
    system.wait_until_ready()
    system.wait_until_ready('other')
    for entry in ('entry', 'other'):
        system.post_until_success('two', b'warm-up', entry=entry)
        system.post_until_success('signal', b'warm-up', entry=entry, key=f'warm-up-{entry}')
    return system
