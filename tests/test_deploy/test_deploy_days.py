"""The scenario days of this project are valid for any deployment."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
#: Days that users have written for one deployment are kept as they are, with its names.
USERS_DAYS = ('rejoined',)
ALL_DAYS = sorted((ROOT / 'deploy' / 'days').glob('*.toml'))
DAYS = [path for path in ALL_DAYS if path.stem not in USERS_DAYS]
ENTRY_KINDS = tomllib.loads((ROOT / 'bench' / 'days' / 'kinds.toml').read_text())
#: ``poison`` (contents that crash servers) is replayed in addition to the listed kinds.
KNOWN_KINDS = {entry['kind'] for part in ('plan', 'faults') for entry in ENTRY_KINDS[part]} | {
    'poison'
}
#: Entries that refer to a class, service or zone use the placeholder for the first one.
PLACEHOLDERS = {'class': '@c0', 'service': '@s0', 'zone': '@z0', 'to_zone': '@z0'}
DAY_LENGTH_S = 34.0


@pytest.mark.parametrize('path', DAYS, ids=[path.stem for path in DAYS])
def test_day_fits_any_deployment(path):
    day = tomllib.loads(path.read_text(encoding='utf-8'))
    assert day['name'] == path.stem
    assert day['closing']['down_s'] < 5
    assert 'traffic' not in day
    for entry in [*day['plan'], *day['faults']]:
        assert entry['kind'] in KNOWN_KINDS
        assert 0 <= entry['at'] < DAY_LENGTH_S
        for key, placeholder in PLACEHOLDERS.items():
            assert entry.get(key, placeholder) == placeholder


@pytest.mark.parametrize('name', USERS_DAYS)
def test_day_of_one_deployment_is_complete(name):
    path = ROOT / 'deploy' / 'days' / f'{name}.toml'
    day = tomllib.loads(path.read_text(encoding='utf-8'))
    assert day['name'] == name
    assert day['plan'] and day['faults']
    for entry in [*day['plan'], *day['faults']]:
        assert entry['kind'] in KNOWN_KINDS
        assert 0 <= entry['at'] < day['length_s']
    # Without a placeholder, which the file of another deployment would fill in.
    assert '@' not in path.read_text(encoding='utf-8')


def test_days_cover_the_observed_faults():
    texts = ' '.join(path.read_text(encoding='utf-8') for path in DAYS)
    for kind in (
        'big_config',
        'core_cut',
        'srv_crash',
        'power_off_all',
        'wipe_after_ack',
        'evacuate',
    ):
        assert re.search(rf'"{kind}"', texts), kind
