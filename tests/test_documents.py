"""Delta encoding of documents, and the history of documents and deltas."""

from __future__ import annotations

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.documents import DocumentError, DocumentHistory, apply_delta, encode_delta


def document(number, count, **changed):
    """Return a document of similar routes."""
    routes = [
        {
            'name': f'r-{route}',
            'host': f'h{route % 50}.example',
            'stages': [{'service': 's', 'bytes': 8000}, {'service': 't', 'bytes': 60000}],
            'timeout_ms': changed.get(f'r{route}', 6000),
        }
        for route in range(count)
    ]
    return json.dumps({'version': number, 'routes': routes}, separators=(',', ':')).encode()


texts = st.lists(st.sampled_from([b'a', b'b', b'},{', b'{"x":1}', b'},{c}']), max_size=30)


@given(texts.map(b''.join), texts.map(b''.join))
def test_change_makes_the_document_that_it_was_made_for(base, target):
    assert apply_delta(base, encode_delta(base, target)) == target


def test_delta_of_one_route_among_thousands_is_small():
    """With 2,000 routes, a change each 0.3 s and links of 5 Mbit/s, half a kilobyte takes
    0.8 ms of the link."""
    base, target = document(1, 2000), document(2, 2000, r700=5)
    assert len(encode_delta(base, target)) < 500
    assert len(encode_delta(b'', target)) < len(target) / 10


@pytest.mark.parametrize('delta', [b'', b'nothing', zlib.compress(b'nothing')])
def test_malformed_delta_is_an_error(delta):
    with pytest.raises(DocumentError):
        apply_delta(b'', delta)


def test_delta_of_another_base_is_an_error():
    delta = encode_delta(document(1, 9), document(2, 9, r3=1))
    with pytest.raises(DocumentError):
        apply_delta(document(1, 8), delta)


def test_history_of_large_documents_keeps_the_newest_and_few_others():
    history = DocumentHistory()
    for number in range(1, 6):
        history.add(number, bytes([number]) * 12 * 2**20)
    assert list(history.documents) == [4, 5]


def test_history_gives_deltas_between_the_documents_it_has():
    history = DocumentHistory()
    for number in range(1, 40):
        history.add(number, document(number, number))
    delta = history.delta(38, 39)
    assert apply_delta(document(38, 38), delta) == document(39, 39)
    assert apply_delta(b'', history.delta(0, 39)) == document(39, 39)


def test_history_has_no_delta_of_old_or_unknown_documents():
    history = DocumentHistory()
    for number in range(1, 40):
        history.add(number, b'd')
    assert history.delta(1, 39) is None
    assert history.delta(0, 40) is None
    assert len(history.documents) < 20
