"""Routing policies and the view of agents, without processes or a clock."""

from __future__ import annotations

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.directorymessages import DirectoryDeltaReply
from ringseam.messages import AgentState
from ringseam.routing import AdaptiveRouter, AgentView, RoundRobinRouter, Router, RoutingRequest
from ringseam.zones import DrainedZones

REQUEST = RoutingRequest(pool='p/q', zone='zone-1', est_ms=10)


def agent(number, zone='zone-1', **own):
    return AgentState(
        name=f'a{number}',
        address=f'10.0.0.{number}:1',
        zone=zone,
        region='r',
        incarnation=f'i{number}',
        sequence=1,
        pool='p/q',
        capacity=4,
        serving=True,
        **own,
    )


def chosen(router, agents, times=400, now=0):
    return Counter(router.choose(agents, REQUEST, now).name for _ in range(times))


@pytest.mark.parametrize('kind', sorted(Router.kinds))
def test_every_policy_handles_empty_and_single_agent_pools(kind):
    router = Router.kinds[kind](seed=1)
    assert router.choose([], REQUEST, 0) is None
    assert router.choose([agent(1)], REQUEST, 0) == agent(1)


def test_own_zone_first_then_spill_over():
    router = AdaptiveRouter(seed=1)
    near, far = agent(1), agent(2, zone='zone-2')
    assert set(chosen(router, [near, far])) == {'a1'}
    for _ in range(12):
        router.record_start(near)
    assert set(chosen(router, [near, far])) == {'a2'}


def test_slow_server_gets_less_work():
    router = AdaptiveRouter(seed=1)
    counts = chosen(router, [agent(1, service_ms=100), agent(2), agent(3), agent(4)])
    assert counts['a1'] == 0


def test_fast_failures_attract_no_work():
    router = AdaptiveRouter(seed=1)
    agents = [agent(number) for number in range(4)]
    for _ in range(router.eject_failures):
        router.record_start(agents[0])
        router.record_end(agents[0], failed=True, now=0)
    assert chosen(router, agents)['a0'] == 0
    later = router.eject_s + 1
    assert chosen(router, agents, now=later)['a0'] > 0


def test_never_ejects_more_than_half_a_pool():
    router = AdaptiveRouter(seed=1)
    agents = [agent(number) for number in range(4)]
    for failing in agents[:3]:
        for _ in range(router.eject_failures):
            router.record_start(failing)
            router.record_end(failing, failed=True, now=0)
    assert len(chosen(router, agents)) == len(agents)


def test_round_robin_takes_turns():
    counts = chosen(RoundRobinRouter(seed=1), [agent(number) for number in range(4)])
    assert set(counts.values()) == {100}


def delta(states, *, whole=False, gone=(), warm=True):
    return DirectoryDeltaReply(
        epoch='e', upto=1, whole=whole, agents=tuple(states), gone=tuple(gone), warm=warm
    )


def test_agents_of_a_drained_zone_get_no_new_work():
    view = AgentView()
    view.merge('c1', delta([agent(1, zone='a'), agent(2, zone='b')], whole=True), 0)
    drained = msgspec.structs.replace(delta([]), zones=DrainedZones(change=1, names=('a',)))
    view.merge('c1', drained, 1)
    # A lagging replica still sends the states from before.
    view.merge('c2', delta([agent(1, zone='a'), agent(2, zone='b')], whole=True), 2)
    assert [state.zone for state in view.available_agents('p/q')] == ['b']


states = st.builds(
    lambda number, sequence: msgspec.structs.replace(agent(number), sequence=sequence),
    st.integers(1, 3),
    st.integers(1, 9),
)


@given(st.lists(st.tuples(st.sampled_from('ab'), states), max_size=30))
def test_view_keeps_the_newest_state(reports):
    """The view holds the highest sequence of each agent, in whatever order states arrive."""
    view = AgentView()
    for source, state in reports:
        view.merge(source, delta([state]), 0)
    newest = {}
    for _, state in reports:
        newest[state.name] = max(newest.get(state.name, 0), state.sequence)
    assert {name: state.sequence for name, state in view.agents.items()} == newest


def test_agent_is_removed_only_when_no_directory_lists_it():
    view = AgentView()
    view.merge('a', delta([agent(1)]), 0)
    view.merge('b', delta([agent(1)]), 0)
    view.merge('a', delta([], gone=['a1']), 1)
    assert 'a1' in view.agents
    view.merge('b', delta([], gone=['a1']), 1)
    assert 'a1' not in view.agents


def test_restarted_directory_removes_no_agents():
    """A directory that has just started has no reports of agents yet."""
    view = AgentView()
    view.merge('a', delta([agent(1)]), 0)
    view.merge('a', delta([], whole=True, warm=False), 1)
    assert 'a1' in view.agents
    view.merge('b', delta([], whole=True, warm=False), 1)
    view.drop_directory('a')
    assert 'a1' in view.agents
    view.merge('b', delta([], whole=True, warm=True), 9)
    assert 'a1' not in view.agents
