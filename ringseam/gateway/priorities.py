"""Ranks of requests, and the value of a response by priority and lateness."""

from __future__ import annotations

import msgspec

#: Ratio between the values of responses of one priority and the priority before it.
VALUE_RATIO = 0.25
#: Share of its value that a late response loses.
LATE_VALUE_LOSS = 0.85

#: Number of ranks per account priority; higher route priorities share the last rank.
_RANKS_PER_ACCOUNT = 100
#: Engines accept the urgencies 0 to 9: three per account priority, one per route priority.
_ROUTE_URGENCIES = 3
_LAST_URGENCY = 9


class Precedence(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Order of a request among waiting requests.

    Retries of refused clients go after all first attempts: they are late already or
    still have time, and serving them gains less than a late first attempt loses.
    """

    #: Whether the request is a retry of a client that was refused.
    returned: bool = False
    #: Rank by priority, 0 is first; see :func:`rank_of`.
    rank: int


def rank_of(route: int, account: int | None) -> int:
    """Return the rank of a request; 0 is first.

    Requests are ordered by account priority, then by route priority. Accounts
    usually have equal priority, so the route decides.

    :param route: priority of the route.
    :param account: priority of the client account, if it has one.
    """
    first = route if account is None else account
    return first * _RANKS_PER_ACCOUNT + min(route, _RANKS_PER_ACCOUNT - 1)


def route_priority(rank: int) -> int:
    """Return the route priority in a rank, which determines the value of a response."""
    return rank % _RANKS_PER_ACCOUNT


def engine_urgency(rank: int) -> int:
    """Return the urgency that engines use for a rank: 0 (first) to 9."""
    route = min(rank % _RANKS_PER_ACCOUNT, _ROUTE_URGENCIES - 1)
    return min(_LAST_URGENCY, rank // _RANKS_PER_ACCOUNT * _ROUTE_URGENCIES + route)


def response_value(priority: int, *, late: bool = False) -> float:
    """Return the value, relative to an on-time response of the highest priority."""
    whole = VALUE_RATIO**priority
    return whole * (1 - LATE_VALUE_LOSS) if late else whole
