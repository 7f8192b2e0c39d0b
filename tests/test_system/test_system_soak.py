"""Short seeded runs of the fault-injection soak test; ``bench/soak.py`` runs longer ones."""

from __future__ import annotations

import pytest

from bench.soak import (
    ALL_FAULTS,
    EVERY_FAULT,
    FAULTS,
    FAVOURING_FAULTS,
    HERD_FAULTS,
    LEAST_FAULTS,
    MORE_FAULTS,
    UNEVEN_FAULTS,
    ZONE_FAULTS,
    parse,
    soak,
    unchunked,
)
from bench.soakparts import PART_FAULTS
from bench.soakreaders import HOSTS, LARGE_HOST, READING_FAULTS, SMALL_HOST, hosts_of
from bench.soakstreams import VERSION_FAULTS
from bench.soakwords import WORD_FAULTS

pytestmark = pytest.mark.processes

#: Seeds and the kinds of faults they draw from. Add each seed that fails, with its cause.
SEEDS = (
    (1, FAULTS),
    (2, MORE_FAULTS),
    (3, ALL_FAULTS),
    (4, ZONE_FAULTS),
    (5, EVERY_FAULT),
    (6, WORD_FAULTS),
    (7, UNEVEN_FAULTS),
    (8, READING_FAULTS),
    (9, (*VERSION_FAULTS, 'kill', 'stop', 'freeze')),
    (10, (*PART_FAULTS, 'kill', 'reset')),
    (11, (*FAVOURING_FAULTS, 'kill', 'stop')),
    (12, (*HERD_FAULTS, *VERSION_FAULTS, 'large')),
)


@pytest.mark.parametrize(('seed', 'kinds'), SEEDS, ids=[str(seed) for seed, _ in SEEDS])
def test_guarantees_hold_under_faults(seed, kinds, tmp_path):
    book, faults = soak(seed, 6, tmp_path, kinds)
    assert book.broken == []
    assert faults.total() >= LEAST_FAULTS
    assert book.told[200] >= 50


@pytest.mark.parametrize(('seed', 'kinds'), SEEDS)
def test_hosts_are_uneven_where_the_bound_is_checked(seed, kinds):
    """Without keys on a host nothing is bounded, and a check of the bound can't fail."""
    reads_slowly = bool(set(READING_FAULTS) & set(kinds))
    assert hosts_of(seed) == ((SMALL_HOST, LARGE_HOST) if reads_slowly else ({}, {}))


def test_other_seeds_draw_all_kinds_of_hosts():
    drawn = [hosts_of(seed) for seed in range(100, 200)]
    assert all(kind in drawn for kind in HOSTS)
    assert drawn == [hosts_of(seed) for seed in range(100, 200)]


@pytest.mark.parametrize(
    ('raw', 'found'),
    [
        (b'', (0, b'')),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', (200, b'ok')),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok', (0, b'')),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
            (200, b'ok'),
        ),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n', (0, b'')),
    ],
)
def test_only_complete_responses_count(raw, found):
    assert parse(raw) == found


def test_chunks_are_joined():
    assert unchunked(b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n') == b'abc'
