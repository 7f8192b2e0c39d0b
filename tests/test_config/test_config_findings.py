"""Findings in part files and settings: all are reported at once, each with its line."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.config import read_part
from ringseam.errors import FindingsError
from ringseam.features import Feature
from ringseam.settings import ROLES, default_settings_text, read_settings

DIGEST = 'a' * 64
PART = f'[part]\nname = p\noperator_token_sha256 = {DIGEST}\n'

CASES = (
    ('unknown key', '[pool x]\nkindd = engine\n', 5, 'unknown key; did you mean "kind"?'),
    ('unknown section', '[pols x]\n', 4, 'unknown section; did you mean "pool"?'),
    ('unnamed section', '[pool]\n', 4, 'must be written as [pool NAME]'),
    ('not a number', '[pool x]\nmax_in_flight = many\n', 5, '"many" is not a whole number'),
    ('out of range', '[pool x]\nmax_in_flight = 0\n', 5, '0 is not between 1 and 4096'),
    ('neither yes nor no', '[pool x]\nechoes_id = maybe\n', 5, 'neither yes nor no'),
    ('bad choice', '[pool x]\nkind = engin\n', 5, 'did you mean "engine"?'),
    ('missing', '[stage s]\npath = /\n', 4, 'missing; this key is required'),
    ('unknown pool', '[stage s]\npool = x\n', 5, '"x" is not in this file'),
    ('short digest', '[account a]\ntoken_sha256 = abc\n', 5, 'is not a SHA-256'),
    ('duplicate key', '[pool x]\nkind = engine\nkind = service\n', 6, 'is defined twice'),
    ('duplicate section', '[pool x]\n[pool x]\n', 5, 'is defined twice'),
    ('line without a key', '[pool x]\nnonsense\n', 5, 'not a section, a key or a comment'),
    (
        'unknown stage',
        '[pipeline q]\nstages = s\naccounts =\n',
        5,
        '"s" is not in this file',
    ),
)


@pytest.mark.parametrize(
    ('text', 'line', 'message'),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_one_finding(text, line, message):
    with pytest.raises(FindingsError) as caught:
        read_part(PART + text, path='p.ini')
    matching = [finding for finding in caught.value.findings if message in finding.message]
    assert [finding.line for finding in matching] == [line], str(caught.value)
    assert str(matching[0]).startswith(f'p.ini:{line}: ')


def test_all_findings_at_once():
    text = PART + ''.join(
        case[1].replace(' x]', f' x{number}]') for number, case in enumerate(CASES)
    )
    with pytest.raises(FindingsError) as caught:
        read_part(text, path='p.ini')
    assert len(caught.value.findings) >= len(CASES) - 2


@given(st.text(max_size=300))
def test_any_text_is_read_or_has_findings(text):
    try:
        read_part(text, path='p.ini')
    except FindingsError as error:
        assert error.findings


@pytest.mark.parametrize('role', ROLES)
def test_default_settings_lack_only_required_keys(role, tmp_path):
    with pytest.raises(FindingsError) as caught:
        read_settings(role, default_settings_text(role), path='x.ini')
    assert {finding.message for finding in caught.value.findings} == {
        'missing; this key is required'
    }


def test_host_names_are_findings(tmp_path):
    key = tmp_path / 'key'
    key.write_text('k' * 32)
    text = f'[process]\nname = e\nkey_file = {key}\ncontrol = control.example:7001\n[entry]\n'
    with pytest.raises(FindingsError, match='host names are not supported'):
        read_settings('entry', text, path='x.ini')


def test_unknown_feature_is_a_finding_at_its_line(tmp_path):
    """A misspelt feature would silently leave the feature off."""
    text = GATEWAY.format(key=_key_file(tmp_path)) + 'features = account-share\n'
    with pytest.raises(FindingsError) as caught:
        read_settings('gateway', text, path='x.ini')
    assert 'x.ini:9: [gateway] features: unknown feature account-share' in str(caught.value)


def test_features_are_named_or_asked_for_by_a_contract(tmp_path):
    plain = GATEWAY.format(key=_key_file(tmp_path))
    named = read_settings('gateway', f'{plain}features = account-shares\n', path='x.ini')
    asked = read_settings('gateway', f'{plain}contracts = base,pressure,new\n', path='x.ini')
    assert read_settings('gateway', plain, path='x.ini').features == frozenset()
    assert named.features == {Feature.account_shares}
    assert asked.features == {
        Feature.account_shares,
        Feature.zone_overflow,
        Feature.early_shedding,
    }


GATEWAY = """[process]
name = g
key_file = {key}
[gateway]
http = 127.0.0.1:1
ready = 127.0.0.1:2
seeds = 127.0.0.1:3
cluster_ports = 4,5
"""


def _key_file(folder):
    path = folder / 'key'
    path.write_bytes(b'0123456789abcdef')
    return path
