"""Fixtures for the tests of gateways."""

from __future__ import annotations

import pytest


@pytest.fixture(name='key_file')
def make_key_file(tmp_path):
    path = tmp_path / 'key'
    path.write_text('0123456789abcdef')
    return path
