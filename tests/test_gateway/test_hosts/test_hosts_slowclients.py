"""Which clients are given up when a host holds too much.

Guards against giving up clients that read while others don't, valuable ones before others,
and more than are needed.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ringseam.gateway.hosts.slowclients import ClientLoad, clients_to_give_up

NOW = 100.0


def load(rank=0, held=100, unread_s=5.0, deadline=NOW + 10):
    return ClientLoad(
        connection=None, rank=rank, held_bytes=held, unread_since=NOW - unread_s, deadline=deadline
    )


def given_up(clients, excess_bytes):
    return clients_to_give_up(clients, excess_bytes=excess_bytes, now=NOW)


loads = st.builds(
    load,
    rank=st.integers(0, 3),
    held=st.integers(0, 500),
    unread_s=st.floats(0, 10),
    deadline=st.floats(NOW - 5, NOW + 5),
)


def test_nobody_is_given_up_while_the_bound_is_kept():
    assert given_up([load(), load(rank=300)], 0) == []


def test_lowest_rank_then_the_slowest_client_is_given_up():
    clients = [
        load(rank=0, unread_s=9),
        load(rank=300, unread_s=2),
        load(rank=300, unread_s=8),
        load(rank=100, unread_s=9),
    ]
    assert given_up(clients, 250) == [clients[2], clients[1], clients[3]]


def test_stalled_client_is_given_up_before_a_reading_one_of_lower_rank():
    stalled, reading = load(rank=0, unread_s=3), load(rank=300, unread_s=0.1)
    assert given_up([reading, stalled], 50) == [stalled]
    assert given_up([reading, stalled], 150) == [stalled, reading]


def test_stalled_clients_make_room_before_others_are_refused():
    clients = [load(rank=300, held=300), load(rank=0, held=300), load(held=300, unread_s=0.5)]

    def chosen(excess_bytes, *ranks):
        return clients_to_give_up(
            clients,
            excess_bytes=0,
            now=NOW,
            stalled_excess_bytes=excess_bytes,
            refused_ranks=ranks,
        )

    assert chosen(200, 0, 300) == clients[:1]
    assert chosen(2000, 0, 300) == clients[:2]
    # New requests of the higher rank are admitted still.
    assert chosen(2000, 300) == clients[:1]
    assert chosen(2000) == []


def test_reading_client_for_which_most_is_held_is_given_up_first():
    """Guards against clients that read all they get and are cut for what others hold."""
    steady, greedy = load(held=400, unread_s=0.3), load(held=200_000, unread_s=0.1)
    assert given_up([steady, greedy], 1000) == [greedy]


def test_client_that_stalls_beyond_its_deadline_is_given_up_in_any_case():
    late = load(held=1, deadline=NOW - 1)
    assert given_up([load(), late], 0) == [late]
    assert given_up([load(unread_s=0.5, deadline=NOW - 1)], 0) == []


@given(st.lists(loads, max_size=10), st.integers(0, 2000))
def test_enough_is_given_up_and_no_client_without_need(clients, excess_bytes):
    chosen = given_up(clients, excess_bytes)
    held = sum(client.held_bytes for client in chosen)
    assert held >= min(excess_bytes, sum(client.held_bytes for client in clients))
    needed = [
        client for client in chosen if not (client.deadline <= NOW and client.is_stalled(NOW))
    ]
    if needed:
        assert held - needed[-1].held_bytes < excess_bytes
    for kept in clients:
        if not any(kept is client for client in chosen) and kept.held_bytes:
            assert all(client.is_stalled(NOW) or not kept.is_stalled(NOW) for client in chosen)
