"""Documents as they travel: differences, history and parts."""

from __future__ import annotations

import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.documents import DocumentError, DocumentHistory, apply_delta, encode_delta


def document(number, count, **changed):
    """Return a document of routes that look alike."""
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


pieces = st.lists(st.sampled_from([b'a', b'b', b'},{', b'{"x":1}', b'},{c}']), max_size=30)


@given(pieces.map(b''.join), pieces.map(b''.join))
def test_change_makes_the_document_that_it_was_made_for(held, wanted):
    assert apply_delta(held, encode_delta(held, wanted)) == wanted


def test_change_of_one_route_among_thousands_is_small():
    """Load: a change each 0.3 s with 2,000 routes, over links of 5 Mbit/s. Grounds:
    half a kilobyte takes 0.8 ms there, by its bandwidth."""
    held, wanted = document(1, 2000), document(2, 2000, r700=5)
    assert len(encode_delta(held, wanted)) < 500
    assert len(encode_delta(b'', wanted)) < len(wanted) / 10


@pytest.mark.parametrize('change', [b'', b'nothing', zlib.compress(b'nothing')])
def test_change_that_can_not_be_read_is_an_error(change):
    with pytest.raises(DocumentError):
        apply_delta(b'', change)


def test_change_for_another_document_is_an_error():
    change = encode_delta(document(1, 9), document(2, 9, r3=1))
    with pytest.raises(DocumentError):
        apply_delta(document(1, 8), change)


def test_history_of_large_documents_keeps_the_newest_and_few_others():
    history = DocumentHistory()
    for number in range(1, 6):
        history.add(number, bytes([number]) * 12 * 2**20)
    assert list(history.documents) == [4, 5]


def test_history_gives_changes_between_what_it_holds():
    history = DocumentHistory()
    for number in range(1, 40):
        history.add(number, document(number, number))
    change = history.delta(38, 39)
    assert apply_delta(document(38, 38), change) == document(39, 39)
    assert apply_delta(b'', history.delta(0, 39)) == document(39, 39)


def test_history_lacks_what_is_old_or_unknown():
    history = DocumentHistory()
    for number in range(1, 40):
        history.add(number, b'd')
    assert history.delta(1, 39) is None
    assert history.delta(0, 40) is None
    assert len(history.documents) < 20
