"""Records of what began each stream, and when they are believed."""

from __future__ import annotations

import pytest

from ringseam.backends import BackendReport, BackendView
from ringseam.lifetimes import backend_id
from ringseam.routes import ServiceName
from ringseam.streamorigins import OriginStore, StreamOrigin, is_certain, origin_key

SERVICE = ServiceName('writers')


def origin(software='v1', **more):
    return StreamOrigin(service=SERVICE, software=software, **more)


def test_first_origin_of_a_stream_stays():
    store = OriginStore()
    store.add('k', origin('v1'), 0)
    store.add('k', origin('v2'), 1)
    assert store.find('k', 2).origin.software == 'v1'
    assert store.counts == {(SERVICE, 'v1'): 1}


def test_records_are_bounded_and_the_oldest_are_dropped_first():
    store = OriginStore(capacity=3)
    for number in range(10_000):
        store.add(f'k{number}', origin(), number)
    assert list(store.kept) == ['k9997', 'k9998', 'k9999']
    assert store.counts.total() == 3


def test_records_expire_and_copies_keep_their_age():
    store, copies = OriginStore(retention_s=10), OriginStore(retention_s=10)
    store.add('k', origin(), 100)
    copies.add_record(store.find('k', 104), 4)
    assert store.find('k', 110) is not None
    assert store.find('k', 111) is None
    assert copies.find('k', 10) is not None
    assert copies.find('k', 11) is None
    store.expire(111)
    copies.expire(11)
    assert not store.kept
    assert not copies.kept
    assert not store.counts


# Old records and copies filled the links of gateways when a second version appeared.
def test_only_own_recent_records_are_copied_again():
    store = OriginStore()
    store.add('old', origin(), 0)
    store.add('own', origin(), 50)
    store.add('copy', origin(), 50, is_copy=True)
    own = store.records(SERVICE, 60, max_age_s=40)
    assert [record.key for record in own] == ['own']
    assert own[0].age_ms == 10_000
    every = store.records(SERVICE, 60, max_age_s=40, copies=True)
    assert [record.key for record in every] == ['own', 'copy']
    assert store.records(ServiceName('other'), 60, max_age_s=40) == []


@pytest.mark.parametrize('attempt', ['', 'r1', 'x' * 10_000_000, '\udcff'])
def test_keys_have_one_length_for_any_id(attempt):
    key = origin_key('acme', attempt, secret=b's')
    assert len(key) == len(origin_key('acme', 'other', secret=b's'))
    assert key != origin_key('local', attempt, secret=b's')


# Fault: a server started again under its name with another version, and streams that it began
# before its report arrived were recorded under the version of its earlier lifetime.
@pytest.mark.parametrize(
    ('began_ms', 'software', 'certain'),
    [(1999, 'v2', True), (2000, 'v2', False), (5000, 'v2', False), (5000, 'v1', True)],
)
def test_version_of_a_server_that_started_again_before_the_stream_is_not_certain(
    began_ms, software, certain
):
    view = BackendView()
    began = origin('v1', server=backend_id('i-1', 1000), began_ms=began_ms)
    assert is_certain(began, view)
    for born, version in ((1000, 'v1'), (2000, software)):
        view.apply(
            BackendReport(
                instance=backend_id('i-1', born),
                service=SERVICE,
                address='10.0.0.1:1',
                zone='a',
                sequence=1,
                software=version,
            ),
        )
    assert is_certain(began, view) is certain
