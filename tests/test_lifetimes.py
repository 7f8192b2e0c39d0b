"""Lifetimes of servers that start again under their names."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.lifetimes import EndedLifetimes, backend_id, name_of, start_ms_of

names = st.sampled_from(['a', 'b', 'a@5', 'c-1'])
lifetimes = st.builds(backend_id, names, st.integers(0, 6))


@given(st.text(st.characters(exclude_characters='#')), st.integers(0, 2**63 - 1))
def test_name_and_start_are_read_back(name, born):
    backend = backend_id(name, born)
    assert (name_of(backend), start_ms_of(backend)) == (name, born)


@given(st.lists(lifetimes, max_size=20), lifetimes)
def test_ended_is_the_same_as_a_list_of_all_ends(ends, asked):
    ended = EndedLifetimes(kept=100)
    for backend in ends:
        ended.add(backend)
    naive = any(
        name_of(backend) == name_of(asked) and start_ms_of(backend) >= start_ms_of(asked)
        for backend in ends
    )
    assert (asked in ended) is naive


def test_oldest_ends_are_forgotten():
    ended = EndedLifetimes(kept=2)
    for name in ('a', 'b', 'a', 'c'):
        ended.add(name)
    assert [name in ended for name in ('a', 'b', 'c')] == [True, False, True]
