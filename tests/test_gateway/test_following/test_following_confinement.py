"""Which servers an account keeps that brings contents that end them.

The load: each of its bodies ends one server, which is away for some seconds and starts
again as another lifetime of its name.
"""

import pytest

from ringseam.backends import BackendReport
from ringseam.gateway.following.confinement import CONFINED_SHARE, Confinement
from ringseam.lifetimes import backend_id, name_of
from ringseam.routes import ServiceName

OWNER = ('mallory', 's')


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
def test_account_keeps_a_quarter_the_same_at_all_gateways(count, kept):
    names = [f'i-{number}' for number in range(count)]
    here = Confinement().among(OWNER, servers(names))
    there = Confinement().among(OWNER, servers(reversed(names), born=2))
    assert names_of(here) == names_of(there)
    assert len(here) == kept


def test_servers_that_end_and_start_again_are_no_others():
    names = [f'i-{number}' for number in range(12)]
    confinement = Confinement()
    first = names_of(confinement.among(OWNER, servers(names)))
    touched = set()
    for born in range(2, 40):
        away = {sorted(first)[born % len(first)]}
        present = [name for name in names if name not in away]
        touched |= names_of(confinement.among(OWNER, servers(present, born)))
    assert touched == first
    assert len(first) == 12 * CONFINED_SHARE


def test_once_all_are_gone_it_gets_others():
    names = [f'i-{number}' for number in range(8)]
    confinement = Confinement()
    first = names_of(confinement.among(OWNER, servers(names)))
    others = confinement.among(OWNER, servers([name for name in names if name not in first]))
    assert len(others) == 2
    assert confinement.among(OWNER, []) == []


def test_account_that_is_free_again_is_forgotten():
    confinement = Confinement()
    confinement.among(OWNER, servers(['i-1']))
    confinement.keep_only({('acme', 's')})
    assert not confinement.names
