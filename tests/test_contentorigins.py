"""What began streams of the same content."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.contentorigins import (
    MAX_SERVERS,
    ContentOrigins,
    content_key,
    is_content_key,
)
from ringseam.routes import ServiceName
from ringseam.streamorigins import StreamOrigin, origin_key

SERVICE = ServiceName('writers')
STREAMS = st.lists(
    st.tuples(
        st.sampled_from(['c1', 'c2', 'c3']),
        st.sampled_from(['v1', 'v2']),
        st.sampled_from(['a#1', 'b#1', 'b#2']),
        st.integers(min_value=0, max_value=3),
    ),
    max_size=30,
)


def origin(software='v1', server='a#1', **more):
    return StreamOrigin(service=SERVICE, software=software, server=server, **more)


def kept(store, key, now):
    """Return what is kept of a content, without the times."""
    found = (record.origin for record in store.find(key, now))
    return {(one.software, one.server): one.doubtful_until_ms for one in found}


@given(STREAMS)
def test_all_origins_are_kept_as_a_naive_list_keeps_them(streams):
    store = ContentOrigins(retention_s=10)
    for began_at, (key, software, server, until_ms) in enumerate(streams):
        store.add(key, origin(software, server, doubtful_until_ms=until_ms), began_at)
    now = len(streams)
    for key in ('c1', 'c2', 'c3'):
        naive: dict[tuple[str, str], int] = {}
        newest: dict[tuple[str, str], int] = {}
        for began_at, (content, software, server, until_ms) in enumerate(streams):
            if content == key:
                identity = (software, server)
                naive[identity] = max(naive.get(identity, 0), until_ms)
                newest[identity] = began_at
        current = {one: naive[one] for one, began_at in newest.items() if now - began_at <= 10}
        assert kept(store, key, now) == current


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_copies_and_own_records_make_no_difference_by_their_order(order):
    own, copied = ContentOrigins(), ContentOrigins()
    own.add('c1', origin('v2'), 5)
    steps = (
        lambda: copied.add('c1', origin('v1'), 3),
        lambda: copied.add_record(own.find('c1', 6)[0], 6),
    )
    for step in order:
        steps[step]()
    assert kept(copied, 'c1', 7) == {('v1', 'a#1'): False, ('v2', 'a#1'): False}
    assert len(copied.records(SERVICE, 7, max_age_s=10)) == 1
    assert len(copied.records(SERVICE, 7, max_age_s=10, copies=True)) == 2


def test_contents_and_their_servers_are_bounded():
    store = ContentOrigins(capacity=3)
    for number in range(10_000):
        store.add(f'c{number}', origin(), number)
        store.add('popular', origin(server=f'a#{number}'), number)
    assert list(store.kept) == ['c9998', 'c9999', 'popular']
    assert len(store.find('popular', 10)) == MAX_SERVERS + 1


def test_contents_expire_with_their_last_stream():
    store = ContentOrigins(retention_s=10)
    store.add('c1', origin('v1'), 0)
    store.add('c1', origin('v2'), 8)
    assert kept(store, 'c1', 11) == {('v2', 'a#1'): False}
    store.expire(18)
    assert store.kept
    store.expire(19)
    assert not store.kept


def test_contents_of_accounts_and_attempts_have_other_keys():
    key = content_key('acme', 'c1', secret=b's')
    assert is_content_key(key)
    assert key != content_key('other', 'c1', secret=b's')
    assert not is_content_key(origin_key('acme', 'c1', secret=b's'))
