"""Which servers a confined account keeps while its requests crash servers.

Each request of the account crashes one server, which is gone for some seconds and then restarts
under the same name as a new instance.
"""

import pytest

from ringseam.backends import BackendReport
from ringseam.gateway.following.confinement import CONFINED_SHARE, Confinement
from ringseam.lifetimes import backend_id, name_of
from ringseam.routes import ServiceName

KEY = ('mallory', 's')


def servers(names, born=1):
    return [
        BackendReport(
            instance=backend_id(name, born),
            service=ServiceName('s'),
            address='1.1.1.1:1',
            zone='z',
            sequence=1,
        )
        for name in names
    ]


def names_of(reports):
    return {name_of(report.instance) for report in reports}


@pytest.mark.parametrize(('count', 'kept'), [(1, 1), (4, 1), (6, 2), (39, 10)])
def test_account_is_confined_to_the_same_quarter_at_all_gateways(count, kept):
    names = [f'i-{number}' for number in range(count)]
    here = Confinement().select(KEY, servers(names))
    there = Confinement().select(KEY, servers(reversed(names), born=2))
    assert names_of(here) == names_of(there)
    assert len(here) == kept


def test_servers_stay_the_same_when_they_restart():
    names = [f'i-{number}' for number in range(12)]
    confinement = Confinement()
    first = names_of(confinement.select(KEY, servers(names)))
    touched = set()
    for born in range(2, 40):
        away = {sorted(first)[born % len(first)]}
        present = [name for name in names if name not in away]
        touched |= names_of(confinement.select(KEY, servers(present, born)))
    assert touched == first
    assert len(first) == 12 * CONFINED_SHARE


def test_account_gets_other_servers_once_all_of_its_own_are_gone():
    names = [f'i-{number}' for number in range(8)]
    confinement = Confinement()
    first = names_of(confinement.select(KEY, servers(names)))
    others = confinement.select(KEY, servers([name for name in names if name not in first]))
    assert len(others) == 2
    assert confinement.select(KEY, []) == []


def test_account_is_removed_when_it_is_no_longer_confined():
    confinement = Confinement()
    confinement.select(KEY, servers(['i-1']))
    confinement.keep_only({('acme', 's')})
    assert not confinement.server_names
