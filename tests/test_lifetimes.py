"""Lifetimes of servers that restart under the same name."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.lifetimes import EndedLifetimes, backend_id, name_of, start_ms_of

names = st.sampled_from(['a', 'b', 'a@5', 'c-1'])
lifetimes = st.builds(backend_id, names, st.integers(0, 6))


@given(st.text(st.characters(exclude_characters='#')), st.integers(0, 2**63 - 1))
def test_name_and_start_round_trip(name, start_ms):
    backend = backend_id(name, start_ms)
    assert (name_of(backend), start_ms_of(backend)) == (name, start_ms)


@given(st.lists(lifetimes, max_size=20), lifetimes)
def test_ended_lifetimes_match_a_list_of_all_ends(ends, asked):
    ended = EndedLifetimes(capacity=100)
    for backend in ends:
        ended.add(backend)
    expected = any(
        name_of(backend) == name_of(asked) and start_ms_of(backend) >= start_ms_of(asked)
        for backend in ends
    )
    assert (asked in ended) is expected


def test_oldest_ends_are_forgotten():
    ended = EndedLifetimes(capacity=2)
    for name in ('a', 'b', 'a', 'c'):
        ended.add(name)
    assert [name in ended for name in ('a', 'b', 'c')] == [True, False, True]
