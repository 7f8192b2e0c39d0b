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


def owner_name(known):
    return owner_among(known).partition(':')[0]


def settled(owners, follower, now, **fields):
    follower.gateways = gateways(9, **fields)
    return owners.is_settled('crops', now)


def test_gateways_that_come_and_go_leave_an_owner_settled():
    """Pattern: all gateways restart in turn, one each two seconds.

    Any of them that stopped unsettled all owners, so that inputs were kept twice as long
    as they were needed, for as long as the restarts went on.
    """
    name = owner_name(gateways(9))
    others = [number for number in range(9) if f'g{number}' != name]
    follower = SimpleNamespace(gateways=gateways(9))
    owners = Ownership(follower=follower, name=name)
    assert not settled(owners, follower, 0)
    for step, number in enumerate(others):
        assert settled(owners, follower, 3 + step, draining={number})
        assert settled(owners, follower, 3.5 + step)


def test_owner_is_unsettled_while_one_before_it_stops_and_a_while_after():
    first = owner_name(gateways(9))
    number = int(first[1:])
    staying = tuple(state for state in gateways(9) if state.name != first)
    second = owner_name(staying)
    follower = SimpleNamespace(gateways=gateways(9))
    owners = Ownership(follower=follower, name=second)
    assert not settled(owners, follower, 0)
    assert not settled(owners, follower, 5, draining={number})
    assert owners.owner_of('crops') == ''
    assert not settled(owners, follower, 9, draining={number})
    follower.gateways = staying
    assert not owners.is_settled('crops', 10)
    assert not owners.is_settled('crops', 11.9)
    assert owners.is_settled('crops', 12)
    # The first is back for a moment, and gone again before anything was sent.
    follower.gateways = gateways(9)
    owners.refresh()
    follower.gateways = staying
    assert not owners.is_settled('crops', 20)


def test_owner_that_stops_is_settled_no_more():
    """Another one calls the same servers while this one finishes what waits."""
    name = owner_name(gateways(9))
    follower = SimpleNamespace(gateways=gateways(9))
    owners = Ownership(follower=follower, name=name)
    owners.is_settled('crops', 0)
    assert settled(owners, follower, 5)
    assert not settled(owners, follower, 6, draining={int(name[1:])})
    assert not settled(owners, follower, 9, busy={int(name[1:])})
