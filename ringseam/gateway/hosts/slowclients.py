"""Choice of the clients that are given up when a host holds too much."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ringseam.web.server import HttpConnection

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

    def is_stalled(self, now: float) -> bool:
        """Return whether the client reads more slowly than its response arrives."""
        return now >= self.unread_since + STALLED_S


def clients_to_give_up(
    clients: Iterable[ClientLoad], *, excess_bytes: int, now: float
) -> list[ClientLoad]:
    """Return the clients without which ``excess_bytes`` less are held.

    Stalled clients come first, the lowest rank and then the slowest of them; then others, the
    slowest first. Stalled clients whose deadline has passed are always among them.
    """
    given_up = []
    in_order = sorted(clients, key=lambda load: _order(load, now))
    for client in in_order:
        is_late = client.is_stalled(now) and now >= client.deadline
        if is_late or (excess_bytes > 0 and client.held_bytes):
            given_up.append(client)
            excess_bytes -= client.held_bytes
    return given_up


def _order(client: ClientLoad, now: float) -> tuple[bool, bool, float, float]:
    """Return the position of a client; the least valuable of the stalled ones come first."""
    stalled = client.is_stalled(now)
    late = stalled and now >= client.deadline
    if stalled:
        return not late, False, -client.rank, client.unread_since
    return True, True, client.unread_since, -client.rank
