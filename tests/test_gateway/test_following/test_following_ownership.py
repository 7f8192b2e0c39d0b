"""Which gateway owns a service, and how often that is computed."""

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


def test_owner_is_computed_once_for_each_membership(monkeypatch):
    """Guards against computing the owner again for each request.

    Each request needs the owner a dozen times, and one computation over 68 gateways takes 80
    us.
    """
    computed = []
    original = ownership.rendezvous
    monkeypatch.setattr(
        ownership,
        'rendezvous',
        lambda key, names: computed.append(key) or original(key, names),
    )
    follower = SimpleNamespace(gateways=gateways(68))
    owners = Ownership(follower=follower, name='g0')
    first = [owners.owner_of('crops') for _ in range(10)]
    assert set(first) == {first[0]}
    assert computed == ['crops']
    owner = int(first[0].partition(':')[0][1:])
    follower.gateways = gateways(68, draining={owner})
    assert owners.owner_of('crops') != first[0]
    assert computed == ['crops', 'crops']


def test_single_gateway_owns_every_service():
    follower = SimpleNamespace(gateways=())
    assert Ownership(follower=follower, name='g0').owner_of('crops') == ''


def owner_among(known):
    return Ownership(follower=SimpleNamespace(gateways=known), name='other').owner_of('crops')


def test_lagging_gateway_is_not_an_owner():
    """Guards against a lagging owner.

    An owner that lagged by 3.5 s let the results of all requests of its service expire.
    """
    first = owner_among(gateways(9))
    number = int(first.partition(':')[0][1:])
    assert owner_among(gateways(9, busy={number})) != first
    assert owner_among(gateways(9, busy={(number + 1) % 9})) == first


def test_owners_stay_while_most_gateways_lag():
    first = owner_among(gateways(9))
    assert owner_among(gateways(9, busy=set(range(9)))) == first
    assert owner_among(gateways(9, busy=set(range(5)))) == first


def owner_name(known):
    return owner_among(known).partition(':')[0]


def settled(owners, follower, now, **fields):
    follower.gateways = gateways(9, **fields)
    return owners.is_settled('crops', now)


def test_owner_stays_settled_while_other_gateways_restart():
    """Guards against losing the settled state while all gateways restart, one each two seconds.

    If any gateway that stops unsettles all owners, inputs are kept twice as long as needed for
    as long as the restarts go on.
    """
    name = owner_name(gateways(9))
    others = [number for number in range(9) if f'g{number}' != name]
    follower = SimpleNamespace(gateways=gateways(9))
    owners = Ownership(follower=follower, name=name)
    assert not settled(owners, follower, 0)
    for step, number in enumerate(others):
        assert settled(owners, follower, 3 + step, draining={number})
        assert settled(owners, follower, 3.5 + step)


def test_owner_is_not_settled_until_some_time_after_its_predecessor_stopped():
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
    # The first owner returns briefly and leaves again before anything is sent.
    follower.gateways = gateways(9)
    owners.refresh()
    follower.gateways = staying
    assert not owners.is_settled('crops', 20)


def test_draining_owner_is_not_settled():
    """Another owner calls the same servers while this one finishes queued requests."""
    name = owner_name(gateways(9))
    follower = SimpleNamespace(gateways=gateways(9))
    owners = Ownership(follower=follower, name=name)
    owners.is_settled('crops', 0)
    assert settled(owners, follower, 5)
    assert not settled(owners, follower, 6, draining={int(name[1:])})
    assert not settled(owners, follower, 9, busy={int(name[1:])})
