"""Event streams are split into the same events for any chunking; header helpers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.web.bodies import EventSplitter, end_to_end_headers, find_header

EVENTS = [b'id: %d\ndata: x%s\n\n' % (number, b'y' * (number % 7)) for number in range(12)]


@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_do_not_depend_on_chunks(sizes):
    body = b''.join(EVENTS)
    splitter = EventSplitter()
    found = []
    for size in [*sizes, len(body)]:
        found.extend(splitter.feed(body[:size]))
        body = body[size:]
    assert [event.raw for event in found] == EVENTS
    assert [event.number for event in found] == list(range(12))
    assert splitter.remainder == b''


def test_incomplete_event_stays_in_the_remainder():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')[0].number == 1
    assert splitter.remainder == b'id: 2\nda'


def test_event_without_a_readable_id_has_no_number():
    splitter = EventSplitter()
    found = splitter.feed(b'data: a\n\nid: one\r\ndata: b\r\n\r\n')
    assert [event.number for event in found] == [None, None]


def test_hop_by_hop_headers_are_removed():
    headers = [
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('Keep-Alive', 'timeout=5'),
        ('Transfer-Encoding', 'chunked'),
        ('X-Kept', '2'),
    ]
    assert end_to_end_headers(headers) == [('X-Kept', '2')]
    assert find_header(headers, 'x-kept') == '2'
    assert find_header(headers, 'absent') == ''
