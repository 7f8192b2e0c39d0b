"""Who goes first, and what an answer is worth."""

from __future__ import annotations

import msgspec

#: Each step of priority is worth this much less.
VALUE_RATIO = 0.25
#: A late answer loses this share of its worth.
LATE_VALUE_LOSS = 0.85

#: Ranks of the requests of one client account; priorities of routes are below.
_RANKS_PER_ACCOUNT = 100
#: Engines know ten urgencies: three of routes for each of three accounts'.
_ROUTE_URGENCIES = 3
_LAST_URGENCY = 9


class Precedence(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """What a request goes by among those that wait.

    Clients that were turned away and came back go after all others: they are late
    already, or have the time, and what they earn by being served is a part of
    what another one loses by being late.
    """

    returned: bool = False
    #: Who goes first, 0 before all; see :func:`rank_of`.
    rank: int


def rank_of(route: int, account: int | None) -> int:
    """Return the rank of a request; 0 is first.

    A client account's priority goes first. Among accounts of equal priority,
    which is the usual case, the route's decides.
    """
    first = route if account is None else account
    return first * _RANKS_PER_ACCOUNT + min(route, _RANKS_PER_ACCOUNT - 1)


def route_priority(rank: int) -> int:
    """Return the route's priority, which tells the worth of an answer."""
    return rank % _RANKS_PER_ACCOUNT


def engine_urgency(rank: int) -> int:
    """Return a rank as engines take it, from 0, which is first, to 9."""
    route = min(rank % _RANKS_PER_ACCOUNT, _ROUTE_URGENCIES - 1)
    return min(_LAST_URGENCY, rank // _RANKS_PER_ACCOUNT * _ROUTE_URGENCIES + route)


def response_value(priority: int, *, late: bool = False) -> float:
    """Return the worth against one of the highest priority that is on time."""
    whole = VALUE_RATIO**priority
    return whole * (1 - LATE_VALUE_LOSS) if late else whole
