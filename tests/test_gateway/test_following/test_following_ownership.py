"""Which gateway decides for a service, and what it costs to know."""

from __future__ import annotations

from types import SimpleNamespace

from ringseam.backends import GatewayState
from ringseam.gateway.following import ownership
from ringseam.gateway.following.ownership import Ownership


def gateways(count, draining=(), busy=()):
    return tuple(
        GatewayState(
            name=f'g{number}',
            address=f'g{number}:1',
            zone='z',
            draining=number in draining,
            busy=number in busy,
        )
        for number in range(count)
    )


def test_owner_is_worked_out_once_for_each_membership(monkeypatch):
    """Load: each request asks a dozen times who decides. Grounds: 80 us each time over
    68 gateways."""
    worked_out = []
    whole = ownership.rendezvous
    monkeypatch.setattr(
        ownership,
        'rendezvous',
        lambda key, names: worked_out.append(key) or whole(key, names),
    )
    follower = SimpleNamespace(gateways=gateways(68))
    owners = Ownership(follower=follower, name='g0')
    first = [owners.owner_of('crops') for _ in range(10)]
    assert set(first) == {first[0]}
    assert worked_out == ['crops']
    owner = int(first[0].partition(':')[0][1:])
    follower.gateways = gateways(68, draining={owner})
    assert owners.owner_of('crops') != first[0]
    assert worked_out == ['crops', 'crops']


def test_without_other_gateways_a_gateway_decides_itself():
    follower = SimpleNamespace(gateways=())
    assert Ownership(follower=follower, name='g0').owner_of('crops') == ''


def owner_among(known):
    return Ownership(follower=SimpleNamespace(gateways=known), name='other').owner_of('crops')


def test_gateway_that_is_behind_decides_no_more():
    """Load: the host of an owner turns slow. Grounds: an owner 3.5 s behind let the results of
    all requests of its service expire."""
    first = owner_among(gateways(9))
    number = int(first.partition(':')[0][1:])
    assert owner_among(gateways(9, busy={number})) != first
    assert owner_among(gateways(9, busy={(number + 1) % 9})) == first


def test_while_most_are_behind_owners_stay():
    first = owner_among(gateways(9))
    assert owner_among(gateways(9, busy=set(range(9)))) == first
    assert owner_among(gateways(9, busy=set(range(5)))) == first
