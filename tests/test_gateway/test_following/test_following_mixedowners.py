"""Owners while a group is upgraded, and those of services with many decisions.

Guards against one gateway of a former version that moves every service of an uneven group, and
against one host that decides for two services with many decisions while others are idle.
"""

from __future__ import annotations

import hashlib
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.gateway.following.ownership import (
    Ownership,
    UniformOrder,
    order_for,
    services_with_many_decisions,
)
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity
from ringseam.platform.example import STAGE_SERVICE, example_manifest
from ringseam.platform.manifest import decode_manifest

SERVICES = [f'service-{number}' for number in range(400)]
HEAVY = frozenset(f'stage-{number}' for number in range(3))
SHARES = [1.0] * 4 + [0.25] * 18


class FakeFollower:
    def __init__(self, gateways):
        self.gateways = tuple(gateways)


def hosts(shares, unknown=(), **flags):
    return tuple(
        GatewayState(
            name=f'g{number}',
            address=f'g{number}:1',
            zone='z',
            capacity=UNKNOWN_CAPACITY
            if number in unknown
            else HostCapacity(cpu_share=share, cores=1),
            **{flag: number in numbers for flag, numbers in flags.items()},
        )
        for number, share in enumerate(shares)
    )


def owners(gateways, services=SERVICES, heavy=frozenset(), name='observer'):
    ownership = Ownership(follower=FakeFollower(gateways), name=name)
    ownership.spread(heavy)
    return {service: ownership.owner_of(service) for service in services}


def moved(before, after):
    return {service for service in before if before[service] != after[service]}


# -- a group that is upgraded -------------------------------------------------


def test_one_unknown_host_moves_only_services_to_or_from_itself():
    known = owners(hosts(SHARES))
    for number in (0, 21):
        mixed = owners(hosts(SHARES, unknown={number}))
        for service in moved(known, mixed):
            assert f'g{number}:1' in {known[service], mixed[service]}
        assert len(moved(known, mixed)) < 0.2 * len(SERVICES)


def test_unknown_hosts_own_as_the_mean_of_the_known():
    mixed = owners(hosts([1.0] * 4 + [0.25] * 4 + [9.0] * 4, unknown=range(8, 12)))
    share = sum(int(owner[1:-2]) >= 8 for owner in mixed.values()) / len(mixed)
    assert share == pytest.approx(1 / 3, abs=0.07)


@pytest.mark.parametrize('backwards', [False, True])
def test_upgrade_host_by_host_moves_few_services_more_than_at_once(backwards):
    """From no known host to all: each step moves services, but not back and forth."""
    numbers = list(range(len(SHARES)))[:: -1 if backwards else 1]
    before = first = owners(hosts(SHARES, unknown=numbers))
    moves = 0
    for upgraded in range(1, len(numbers) + 1):
        after = owners(hosts(SHARES, unknown=numbers[upgraded:]))
        moves += len(moved(before, after))
        before = after
    at_once = len(moved(first, before))
    assert before == owners(hosts(SHARES))
    assert at_once <= moves <= 3 * at_once


def test_group_without_a_known_host_owns_as_before():
    assert isinstance(order_for(hosts(SHARES, unknown=range(22))), UniformOrder)
    assert isinstance(order_for(hosts(SHARES, unknown=range(1, 22))), UniformOrder)


@given(st.lists(st.sampled_from([0, 0.1, 0.25, 0.3, 1, 3]), min_size=2, max_size=9), st.randoms())
def test_views_in_any_order_are_equal(shares, dice):
    gateways = list(hosts(shares))
    shuffled = list(gateways)
    dice.shuffle(shuffled)
    services = [*SERVICES[:30], *HEAVY]
    assert owners(gateways, services, HEAVY) == owners(shuffled, services, HEAVY)


# -- services with many decisions -----------------------------------------------


def naive_score(key, name, weight):
    digest = hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
    return -weight / math.log((int.from_bytes(digest, 'big') + 0.5) / 2**64)


def naive_owners(shares, keys):
    """Each key in turn takes its best host among those that have the fewest keys."""
    known = [share for share in shares if share]
    weights = [share or sum(known) / len(known) for share in shares]
    enough = [n for n, w in enumerate(weights) if w >= 0.75 * sum(weights) / len(weights)]
    taken = []
    for key in sorted(keys):
        fewest = min(taken.count(n) for n in enough)
        free = [n for n in enough if taken.count(n) == fewest]
        taken.append(max(free, key=lambda n: naive_score(key, f'g{n}', weights[n])))
    return {key: f'g{n}:1' for key, n in zip(sorted(keys), taken, strict=True)}


shares_of_hosts = st.lists(st.sampled_from([0, 0.25, 0.5, 1, 2]), min_size=2, max_size=10)
keys = st.sets(st.text('abcd', min_size=1, max_size=4), min_size=1, max_size=8)


@given(shares_of_hosts, keys)
def test_spread_owners_are_those_of_a_naive_search(shares, services):
    if len({share for share in shares if share}) < 2:
        return
    found = owners(hosts(shares), sorted(services), frozenset(services))
    assert found == naive_owners(shares, services)


@given(shares_of_hosts, keys)
def test_no_host_has_two_while_one_that_is_large_enough_has_none(shares, services):
    if len({share for share in shares if share}) < 2:
        return
    known = [share for share in shares if share]
    weights = [share or sum(known) / len(known) for share in shares]
    enough = sum(w >= 0.75 * sum(weights) / len(weights) for w in weights)
    found = owners(hosts(shares), sorted(services), frozenset(services))
    assert len(set(found.values())) == min(enough, len(services))


def test_heavy_services_have_different_owners_and_others_stay_where_they_were():
    before = owners(hosts(SHARES))
    heavy = frozenset([one for one, owner in before.items() if owner == 'g0:1'][:4])
    spread = owners(hosts(SHARES), heavy=heavy)
    assert len({spread[service] for service in heavy}) == 4
    assert moved(before, spread) <= heavy
    # Hosts of a quarter of the size of others are no place for them.
    assert {spread[service] for service in heavy} <= {f'g{number}:1' for number in range(4)}


@pytest.mark.parametrize('failure', ['killed', 'draining', 'busy'])
def test_loss_of_any_host_moves_few_heavy_services(failure):
    """Those of the host, and one more for each place that is taken: 1 of 3 in the mean."""
    before = owners(hosts(SHARES), HEAVY, HEAVY)
    moves = []
    for number in range(len(SHARES)):
        if failure == 'killed':
            after = owners(hosts(SHARES)[:number] + hosts(SHARES)[number + 1 :], HEAVY, HEAVY)
        else:
            after = owners(hosts(SHARES, **{failure: {number}}), HEAVY, HEAVY)
        assert len(set(after.values())) == 3
        moves.append(len(moved(before, after)))
        if f'g{number}:1' not in before.values():
            assert moves[-1] == 0
    assert sum(moves) <= 2 * len(HEAVY)


def test_all_large_hosts_lost():
    shares = [1.0] * 4 + [0.5] * 6 + [0.25] * 12
    after = owners(hosts(shares)[4:], HEAVY, HEAVY)
    assert len(set(after.values())) == 3


def test_small_host_does_not_get_a_heavy_service_for_want_of_others():
    assert set(owners(hosts([4.0, 0.25]), HEAVY, HEAVY).values()) == {'g0:1'}


@pytest.mark.parametrize('unknown', [range(3), ()])
def test_equal_or_unknown_hosts_are_owners_as_before(unknown):
    equal = hosts([1.0] * 3, unknown=unknown)
    assert owners(equal, HEAVY, HEAVY) == owners(equal, HEAVY)


def test_gateways_with_one_view_agree_on_heavy_services():
    known = owners(hosts(SHARES), HEAVY, HEAVY)
    for number in range(len(SHARES)):
        own = owners(hosts(SHARES), HEAVY, HEAVY, name=f'g{number}')
        for service, owner in own.items():
            assert known[service] == (owner or f'g{number}:1')


def test_changed_set_of_services_is_in_force_at_once():
    gateways = hosts(SHARES)
    ownership = Ownership(follower=FakeFollower(gateways), name='observer')
    for service in HEAVY:
        ownership.owner_of(service)
    ownership.spread(HEAVY)
    found = {service: ownership.owner_of(service) for service in HEAVY}
    assert found == owners(gateways, HEAVY, HEAVY)


def test_only_owners_of_stages_decide_for_each_piece():
    assert services_with_many_decisions(decode_manifest(example_manifest())) == {STAGE_SERVICE}
