"""Weighted max-min fair shares of a place between client accounts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ringseam.gateway.accounts.policy import SharePolicy
from ringseam.gateway.accounts.usage import UsageTable

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad
    from ringseam.routes import AccountName

#: Time constant of the decay of demand and use, seconds: short enough that shares follow
#: the start of a burst, long enough to hold several requests of each account.
_DECAY_S = 1.5
#: Longest wait for a share, seconds.
_MAX_WAIT_S = 6.0
#: A backlog up to this is room for everybody, seconds: less than the duration of a call,
#: whose servers find their next pieces in it.
_ROOM_S = 0.15
#: From this backlog on, shares apply in full, seconds.
_CROWDED_S = 0.3
#: What the place has done is at least this share of what was admitted. A decider that has
#: just started knows of a backlog, but not of the use that it comes from.
_MIN_DONE_SHARE = 0.5
#: Every account may use this share of an equal part of the capacity without waiting.
_SURE_SHARE = 0.25
#: An account waits for its share in full when the others of its rank ask for at least this
#: share of what all ask for; one that is alone doesn't wait.
_COMPANY_SHARE = 0.05


def _equal_weight(account: AccountName) -> float:
    return 1


class AccountShare(NamedTuple):
    """What an account asks, uses and may use of a place, per second."""

    rank: int
    account: AccountName
    asked_per_s: float
    used_per_s: float
    #: Infinite while the place has room or all demands are covered.
    share_per_s: float


@dataclass(kw_only=True)
class MaxMinShares(SharePolicy):
    """Share a place between the accounts of each rank by weighted max-min fairness.

    What the place has done in the last seconds is what was admitted less the backlog. The
    work of more urgent ranks comes off first; the rest is divided so that each account gets
    what it asks for or an equal share, whichever is less. While there is a backlog, an
    account that was admitted for more than its share waits until its use has decayed to its
    share, so the backlog is taken out of the largest accounts and the others find room.
    An account that uses less than a quarter of an equal part of the capacity never waits,
    so shares don't shrink without end while others, elsewhere, cause the backlog.

    The wait grows continuously with the backlog and with the use. Returning clients belong
    to the rank of their first attempt, which has counted their demand already.
    """

    weight_of: Callable[[AccountName], float] = _equal_weight
    room_s: float = _ROOM_S
    crowded_s: float = _CROWDED_S
    decay_s: float = _DECAY_S
    ranks: dict[int, UsageTable] = field(default_factory=dict)

    def asked(self, demand: AccountDemand, now: float) -> None:
        """Count work that an account asks for, whether it is admitted or not."""
        if not demand.precedence.returned:
            self._count(demand, now, asked=demand.amount)

    def admitted(self, demand: AccountDemand, now: float) -> None:
        """Count admitted work as used by its account."""
        self._count(demand, now, used=demand.amount)

    def withdrawn(self, demand: AccountDemand, now: float, *, admitted_at: float) -> None:
        """Take back what is left, after its decay, of work that never ran."""
        left = math.exp((admitted_at - now) / self.decay_s)
        self._count(demand, now, used=-left * demand.amount)

    def share_wait_s(self, demand: AccountDemand, load: PlaceLoad, now: float) -> float:
        """Return how long an account must wait until its share covers a demand, seconds.

        The size of the demand doesn't matter, so large requests wait no longer than small
        ones. The less urgent work of an account never waits for a shorter time.
        """
        crowding = (load.backlog_s - self.room_s) / (self.crowded_s - self.room_s)
        if crowding <= 0:
            return 0
        waits = [
            self._wait_in_rank(rank, demand.account, load, now)
            for rank in self.ranks
            if rank <= demand.precedence.rank
        ]
        return min(1, crowding) * max(waits, default=0)

    def used_by(self, account: AccountName, now: float) -> float:
        """Return the work of an account that was admitted per second."""
        used = sum(table.used_by(account, now) for table in self.ranks.values())
        return used / self.decay_s

    def used_per_s(self, now: float) -> float:
        """Return the work that was admitted per second."""
        return sum(table.used(now) for table in self.ranks.values()) / self.decay_s

    def shares(self, load: PlaceLoad, count: int, now: float) -> list[AccountShare]:
        """Return the accounts with the largest demand in each rank, and their shares.

        While the place has room, shares are infinite.
        """
        has_room = load.backlog_s <= self.room_s
        found: list[AccountShare] = []
        for rank, table in sorted(self.ranks.items()):
            level = math.inf if has_room else self._level(rank, load, now)
            found.extend(
                AccountShare(
                    rank,
                    use.account,
                    use.asked / self.decay_s,
                    use.used / self.decay_s,
                    level * self.weight_of(use.account) / self.decay_s,
                )
                for use in table.largest(count, now)
            )
        return found

    def change_accounts(
        self,
        renamed: Mapping[AccountName, AccountName],
        gone: Collection[AccountName],
        now: float,
    ) -> None:
        """Drop accounts; their successors, if any, take over what they asked and used."""
        for table in self.ranks.values():
            table.change_accounts(renamed, gone, now)

    def drop_idle(self, now: float) -> None:
        """Drop accounts without recent requests, and ranks without accounts."""
        for rank, table in list(self.ranks.items()):
            table.drop_idle(now)
            if not table.accounts:
                self.ranks.pop(rank)

    def _count(
        self, demand: AccountDemand, now: float, *, asked: float = 0, used: float = 0
    ) -> None:
        table = self.ranks.setdefault(demand.precedence.rank, UsageTable(decay_s=self.decay_s))
        weight = self.weight_of(demand.account)
        table.count(demand.account, now, asked=asked, used=used, weight=weight)

    def _wait_in_rank(self, rank: int, account: AccountName, load: PlaceLoad, now: float) -> float:
        """Return how long the use of an account in one rank takes to decay to its share."""
        table = self.ranks[rank]
        used = table.used_by(account, now)
        if not used:
            return 0
        share = self.weight_of(account) * self._level(rank, load, now)
        if used <= share:
            return 0
        wait_s = self.decay_s * math.log(used / share) if share else _MAX_WAIT_S
        company = min(1, table.others_share(account) / _COMPANY_SHARE)
        return min(wait_s, _MAX_WAIT_S) * company

    def _level(self, rank: int, load: PlaceLoad, now: float) -> float:
        """Return the share of an account of weight 1."""
        table = self.ranks[rank]
        total = sum(other.used(now) for other in self.ranks.values())
        urgent = sum(other.used(now) for level, other in self.ranks.items() if level < rank)
        left = total - load.backlog_s * load.capacity_per_s - urgent
        available = max(left, _MIN_DONE_SHARE * table.used(now))
        capacity = max(0, load.capacity_per_s * self.decay_s - urgent)
        sure = _SURE_SHARE * capacity / max(1, table.total_weight)
        return max(table.water_level(available, now), sure)
