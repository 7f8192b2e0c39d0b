"""Prefix index and prefix affinity with delayed and incomplete cache events."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from ringseam.prefixes import PrefixIndex
from ringseam.routing import AdaptiveRouter, RoutingRequest
from ringseam.standin.cache import PrefixCache
from tests.test_routing.test_routing_choice import agent

REQUEST = RoutingRequest(pool='p/q', zone='zone-1', est_ms=10, prefix=7)


@given(
    uses=st.lists(st.integers(0, 12), max_size=120),
    polls=st.sets(st.integers(0, 120)),
    gap_percent=st.sampled_from([0, 20, 100]),
    seed=st.integers(0, 99),
)
def test_index_equals_cache_or_is_empty(uses, polls, gap_percent, seed):
    """After each poll, the index either equals the cache or is empty."""
    rng = random.Random(seed)
    cache, index = PrefixCache(capacity=6), PrefixIndex()
    index.resync(cache.snapshot())
    for number, prefix in enumerate(uses):
        cache.use(prefix, drop_event=lambda: rng.random() * 100 < gap_percent)
        if number in polls:
            index.apply(cache.events_since(index.sequence, 0))
            if index.needs_resync:
                assert index.newest() == ()
                index.resync(cache.snapshot())
            if index.sequence == cache.sequence:
                assert set(index.prefixes) == set(cache.prefixes)


def test_restart_of_the_engine_requires_resync():
    index = PrefixIndex()
    index.resync(PrefixCache(capacity=2).snapshot())
    index.apply(PrefixCache(capacity=2).events_since(0, 0))
    assert index.needs_resync


def test_agent_with_the_prefix_is_chosen():
    router = AdaptiveRouter(seed=1)
    agents = [agent(number) for number in range(4)]
    agents[2] = msgspec.structs.replace(agents[2], prefixes=(7,))
    assert {router.choose(agents, REQUEST, 0).name for _ in range(50)} == {'a2'}


def test_loaded_agent_with_the_prefix_is_avoided():
    router = AdaptiveRouter(seed=1)
    agents = [agent(number) for number in range(4)]
    agents[2] = msgspec.structs.replace(agents[2], prefixes=(7,))
    counts = Counter()
    for _ in range(40):
        chosen = router.choose(agents, REQUEST, 0)
        router.record_start(chosen)
        counts[chosen.name] += 1
    assert counts['a2'] < 25
    assert len(counts) == 4
