"""How many requests all gateways together send to a cold backend server in any second."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport, GatewayState
from ringseam.control.backenddirectory import BackendDirectory
from ringseam.followmessages import WatchRequest, WatchUpdate
from ringseam.gateway.engines.messages import PlaceRequest, PromptPart
from ringseam.gateway.engines.placement import Placer
from ringseam.gateway.following.coldservers import ColdServers
from ringseam.gateway.following.follower import Follower
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.pacing import Pacer
from ringseam.node import Node
from ringseam.routes import BackendService, ColdSpec, EngineSpec, RouteTable, ServiceName
from ringseam.rpc import CallClient
from ringseam.zones import DrainedZones

COLD = ColdSpec(duration_s=3, requests_per_s=9)
#: What a cold server sustains in any second: 1.5 times its rate and 5 more requests.
MAX_PER_S = 18.5
LLM = BackendService(
    name=ServiceName('llm'),
    health_path='/health',
    max_connections=100,
    engine=EngineSpec(slots=128, cache_tokens=100_000),
    cold=COLD,
)
SERVER = BackendId('e0')


def pacer(name='g', **cold_until):
    cold_servers = ColdServers(until={BackendId(name): until for name, until in cold_until.items()})
    return Pacer(
        name=name,
        cold_servers=cold_servers,
        health=HealthTracker(),
        overload_factor=1.5,
        burst_allowance=5,
    )


def most_in_a_second(times):
    ordered = sorted(times)
    return max(
        (sum(1 for at in ordered if begin <= at < begin + 1) for begin in ordered), default=0
    )


def report(name, zone='a', cold_left_s=0.0, sequence=1):
    return BackendReport(
        instance=BackendId(name),
        service=ServiceName('llm'),
        address=f'{name}:1',
        zone=zone,
        sequence=sequence,
        cold_left_s=cold_left_s,
    )


def ask(number, rng):
    session = f's{rng.randrange(4)}'
    parts = (PromptPart(name=session, tokens=4000), PromptPart(name=f'o{number}', tokens=500))
    return PlaceRequest(
        request=f'r{number}',
        service='llm',
        prompt_tokens=4500,
        prefix=parts,
        objective_ms=1800,
        left_ms=8000,
    )


@given(
    st.lists(st.floats(0, 0.2), min_size=1, max_size=120),
    st.floats(0, 3),
    st.integers(1, 40),
)
def test_no_second_has_more_than_a_cold_server_bears(gaps, turns_cold_at, gateways):
    """The server may turn cold at any moment, and its report follows some time later."""
    pacers = [pacer(name=f'g{number}', e0=turns_cold_at + 3) for number in range(gateways)]
    peers = frozenset(each.name for each in pacers)
    now = 0.0
    sent = []
    for number, gap in enumerate(gaps):
        now += gap
        one = pacers[number % gateways]
        if now >= turns_cold_at:
            sent.append(now + one.reserve(SERVER, COLD, now, peers=peers))
    assert most_in_a_second(sent) <= MAX_PER_S


def test_service_without_a_cold_time_is_not_paced():
    limited = pacer(e0=100)
    assert [limited.reserve(SERVER, None, 0) for _ in range(100)] == [0] * 100


@pytest.mark.parametrize('cold', [0, 14, 28])
def test_burst_is_spread_while_a_restored_zone_is_cold(cold):
    """Guards against concentrating a burst on few cold servers while a zone is restored.

    200 requests with four shared prompts arrive within one second, and 14 of 28 engines are
    cold. Without pacing, the engines that cache a prompt get all requests for it. No request is
    refused, and each can still be answered on time.
    """
    until = {f'e{number}': 3.0 for number in range(cold)}
    placer = Placer(health=HealthTracker(), pacer=pacer(**until))
    engines = [report(f'e{number}') for number in range(28)]
    rng = random.Random(1)
    sent = {}
    waits = []
    for number in range(200):
        now = number / 200
        found = placer.place(ask(number, rng), engines, LLM, now)
        assert found is not None
        sent.setdefault(found.engine.instance, []).append(now + found.wait_s)
        waits.append(found.wait_s)
    assert max(map(most_in_a_second, sent.values())) <= MAX_PER_S
    assert max(waits) < 1.2


def test_gateways_that_decide_independently_keep_to_their_shares():
    """The owner is gone while a zone is restored; 30 gateways place requests independently."""
    engines = [report(f'e{number}') for number in range(4)]
    until = {f'e{number}': 3.0 for number in range(4)}
    pacers = [pacer(name=f'g{number}', **until) for number in range(30)]
    placers = [Placer(health=HealthTracker(), pacer=each) for each in pacers]
    peers = frozenset(each.name for each in pacers)
    rng = random.Random(1)
    sent = {}
    for number in range(300):
        now = number / 300
        placer = placers[number % 30]
        found = placer.place(ask(number, rng), engines, LLM, now, peers=peers)
        if found is not None:
            sent.setdefault(found.engine.instance, []).append(now + found.wait_s)
    assert max(map(most_in_a_second, sent.values())) <= MAX_PER_S


def test_share_follows_the_configured_rate_of_the_service():
    limited = pacer(name='g0', e0=100)
    peers = frozenset({'g0', 'g1'})
    faster = dataclasses.replace(COLD, requests_per_s=18)
    assert [limited.reserve(SERVER, COLD, 0, peers=peers) for _ in range(2)] == pytest.approx(
        [0, 2 / 9]
    )
    limited.keep_only({SERVER})
    assert limited.reserve(SERVER, faster, 0.5, peers=peers) == 0
    assert limited.reserve(SERVER, faster, 0.5, peers=peers) == pytest.approx(2 / 18)


def test_server_that_was_unreachable_is_treated_as_cold():
    limited = pacer()
    limited.health.record_failure(SERVER, 10, hard=True)
    waits = [limited.reserve(SERVER, COLD, 12) for _ in range(3)]
    assert waits == pytest.approx([0, 1 / 9, 2 / 9])
    assert pacer().reserve(SERVER, COLD, 12) == 0


def test_directory_tells_all_gateways_that_a_server_is_cold():
    directory = BackendDirectory(epoch='e', started=0, silence_timeout_s=4, gateway_timeout_s=2)
    assert directory.report(report('e0', cold_left_s=3.0), 0)
    # Later reports state the same end of the cold time, slightly delayed.
    assert not directory.report(report('e0', cold_left_s=1.8, sequence=2), 1.3)
    assert not directory.report(report('e0', sequence=3), 4)
    assert directory.report(report('e0', cold_left_s=2.0, sequence=4), 9)
    request = WatchRequest(gateway=GatewayState(name='g', address='1.1.1.1:1', zone='a'))
    assert directory.delta(request, 10).reports[0].cold_left_s == 1.0


def watch_update(**fields):
    known = {'epoch': 'e', 'upto': 1, 'whole': True, 'warm': False}
    return WatchUpdate(**(known | fields))


def test_servers_of_a_restored_zone_are_treated_as_cold():
    async def run():
        node = Node(name='g1', role='gateway', address='', secret=b'x', zone='a')
        follower = Follower(
            node=node, client=CallClient(node=node), addresses=('c1',), on_change=lambda: None
        )
        follower.table = RouteTable(number=1, services={LLM.name: LLM})
        both = (report('e0', zone='a'), report('e1', zone='b'))
        follower.apply(watch_update(reports=both, zones=DrainedZones(change=1, names=('a',))))
        follower.cold_servers.observed_since = float('-inf')
        now = node.clock.now()
        assert follower.cold_servers.cold_until(BackendId('e0'), COLD) <= now
        follower.apply(watch_update(zones=DrainedZones(change=2)))
        assert follower.cold_servers.cold_until(BackendId('e0'), COLD) > now + 2.9
        assert follower.cold_servers.cold_until(BackendId('e1'), COLD) <= now + 0.1

    asyncio.run(run())


def test_gateway_that_has_just_started_treats_all_servers_as_cold():
    async def run():
        node = Node(name='g1', role='gateway', address='', secret=b'x', zone='a')
        follower = Follower(
            node=node, client=CallClient(node=node), addresses=('c1',), on_change=lambda: None
        )
        follower.apply(watch_update(reports=(report('e0'),)))
        now = node.clock.now()
        assert now < follower.cold_servers.cold_until(BackendId('e0'), COLD) <= now + 3

    asyncio.run(run())
