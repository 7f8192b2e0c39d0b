"""Choice of the clients that are given up when a host holds too much."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.web.requestbudget import MEDIUM_BYTES

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ringseam.web.connection import HttpConnection

#: A client is stalled when its data has been unread for this long, seconds: round trips and
#: the pauses of a host's quota are shorter.
STALLED_S = 1.0


@dataclass(frozen=True, kw_only=True)
class ClientLoad:
    """What is held for a client that has not read all of its response."""

    connection: HttpConnection
    #: Rank of its request; 0 is the highest.
    rank: int
    held_bytes: int
    #: Since when some data has been unread.
    unread_since: float
    #: When its client stops waiting.
    deadline: float
    #: Name of its route; empty: its response is complete.
    route: str = ''

    def is_stalled(self, now: float) -> bool:
        """Return whether the client reads more slowly than its response arrives."""
        return now >= self.unread_since + STALLED_S


def clients_to_give_up(
    clients: Iterable[ClientLoad],
    *,
    excess_bytes: int,
    now: float,
    stalled_excess_bytes: int = 0,
    refused_ranks: Collection[int] = (),
) -> list[ClientLoad]:
    """Return the clients without which ``excess_bytes`` less are held.

    :param stalled_excess_bytes: how much less is to be held if stalled clients of the ranks whose
        new requests are refused are enough for it.

    Stalled clients come first, the lowest rank and then the slowest of them; then others, the
    slowest first, but those for which little is held last. Stalled clients whose deadline has
    passed are always among them.
    """
    given_up = []
    in_order = sorted(clients, key=lambda load: _order(load, now))
    for client in in_order:
        stalled = client.is_stalled(now)
        is_late = stalled and now >= client.deadline
        gives_way = stalled and client.rank in refused_ranks
        excess = max(excess_bytes, stalled_excess_bytes) if gives_way else excess_bytes
        if is_late or (excess > 0 and client.held_bytes):
            given_up.append(client)
            excess_bytes -= client.held_bytes
            stalled_excess_bytes -= client.held_bytes
    return given_up


def _order(client: ClientLoad, now: float) -> tuple[float, ...]:
    """Return the position of a client; the least valuable of the stalled ones come first."""
    stalled = client.is_stalled(now)
    late = stalled and now >= client.deadline
    if stalled:
        return not late, False, -client.rank, client.unread_since
    holds_little = client.held_bytes <= MEDIUM_BYTES
    return True, True, holds_little, client.unread_since, -client.rank
