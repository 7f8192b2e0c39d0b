"""Decayed demand and use of client accounts, and the water level of their fair shares."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from ringseam.routes import AccountName

#: Amounts are decayed explicitly after this many time constants; what an account had asked
#: and used before counts for under 2% then, so accounts without new requests are dropped.
_RENEWAL_DECAYS = 4.0
#: Demands are grouped by size with this many groups for each factor of two. The water level
#: is exact unless it lies within a group; then it is off by less than a group's width, 9%.
_GROUPS_PER_OCTAVE = 8
#: Demands below this are in the lowest group.
_LOWEST_DEMAND = 1e-9


@dataclass(kw_only=True)
class AccountUse:
    """Demand and use of one account, scaled by the decay."""

    weight: float
    asked: float = 0
    used: float = 0
    #: When something was last counted.
    counted_at: float = 0
    group: int | None = None
    #: What the account contributes to its group.
    demand: float = 0


@dataclass(kw_only=True)
class DemandGroup:
    """Accounts whose demands, relative to their weights, are similar."""

    count: int = 0
    weight: float = 0
    demand: float = 0


class CountedUse(NamedTuple):
    """Demand and use of an account over the last window."""

    account: AccountName
    asked: float
    used: float


@dataclass(kw_only=True)
class UsageTable:
    """Demand and use of accounts, decayed exponentially.

    Amounts are scaled up with time instead of decaying each (Cormode, Shkapenyuk,
    Srivastava and Xu, "Forward decay", 2009), so counting takes the same time whatever
    the number of accounts.

    The ``max_accounts`` largest accounts are kept exactly, the others together. The use of
    an account among the others is forgotten; it is at most that of the smallest account
    kept, so under ``1 / max_accounts`` of the total.
    """

    decay_s: float
    max_accounts: int = 4096
    accounts: dict[AccountName, AccountUse] = field(default_factory=dict)
    #: Accounts that are not kept one by one.
    others: DemandGroup = field(default_factory=DemandGroup)
    others_used: float = 0
    total_used: float = 0
    total_demand: float = 0
    total_weight: float = 0
    groups: dict[int, DemandGroup] = field(default_factory=dict)
    renewed_at: float | None = None

    def count(
        self,
        account: AccountName,
        now: float,
        *,
        asked: float = 0,
        used: float = 0,
        weight: float = 1,
    ) -> None:
        """Count demand or use of an account; a negative use takes some back."""
        scale = self._scale(now)
        use = self.accounts.get(account)
        if use is None:
            self._make_room()
            use = self.accounts.setdefault(account, AccountUse(weight=weight))
        before = use.used
        use.asked += asked * scale
        use.used = max(0, use.used + used * scale)
        use.counted_at = now
        self.total_used += use.used - before
        self._leave_group(use)
        use.weight = weight
        self._join_group(use)

    def used_by(self, account: AccountName, now: float) -> float:
        """Return the decayed use of an account."""
        scale = self._scale(now)
        use = self.accounts.get(account)
        return use.used / scale if use else 0

    def used(self, now: float) -> float:
        """Return the decayed use of all accounts."""
        scale = self._scale(now)
        return self.total_used / scale

    def others_share(self, account: AccountName) -> float:
        """Return which share of the demand is that of other accounts."""
        use = self.accounts.get(account)
        if use is None or self.total_demand <= use.demand:
            return 0 if use else 1
        return 1 - use.demand / self.total_demand

    def water_level(self, available: float, now: float) -> float:
        """Return the max-min fair share of an account of weight 1, given all demands.

        Accounts whose demand is below their share leave the rest to the others. The level
        is infinite if ``available`` covers all demands.
        """
        scale = self._scale(now)
        left = available * scale
        if self.total_demand <= left:
            return math.inf
        weight = self.total_weight
        for number in sorted(self.groups):
            group = self.groups[number]
            if group.demand * weight >= left * group.weight:
                break
            left -= group.demand
            weight -= group.weight
        return max(0, left) / weight / scale if weight > 0 else math.inf

    def largest(self, count: int, now: float) -> list[CountedUse]:
        """Return the accounts with the largest demand."""
        scale = self._scale(now)
        names = heapq.nlargest(count, self.accounts, key=self._demand_of)
        return [
            CountedUse(name, self.accounts[name].asked / scale, self.accounts[name].used / scale)
            for name in names
        ]

    def change_accounts(
        self,
        renamed: Mapping[AccountName, AccountName],
        gone: Collection[AccountName],
        now: float,
    ) -> None:
        """Drop accounts, and count what renamed ones asked and used as their successors'.

        What others ask and use stays the same. All sums are renewed at most once.
        """
        self._scale(now)
        dropped = [name for name in (*renamed, *gone) if name in self.accounts]
        for name in dropped:
            use = self.accounts.pop(name)
            successor = renamed.get(name)
            if successor is not None:
                self._succeed(use, successor)
        if dropped:
            self._replace(self.accounts)

    def drop_idle(self, now: float) -> None:
        """Drop accounts without recent requests, even if nothing else is counted."""
        self._scale(now)

    # -- helpers ------------------------------------------------------------

    def _succeed(self, use: AccountUse, new: AccountName) -> None:
        successor = self.accounts.setdefault(new, AccountUse(weight=use.weight))
        successor.asked += use.asked
        successor.used += use.used
        successor.counted_at = max(successor.counted_at, use.counted_at)

    def _scale(self, now: float) -> float:
        if self.renewed_at is None:
            self.renewed_at = now
        decays = (now - self.renewed_at) / self.decay_s
        if decays > _RENEWAL_DECAYS:
            self._renew(now, math.exp(-decays))
            return 1
        return math.exp(decays)

    def _renew(self, now: float, factor: float) -> None:
        """Decay all amounts explicitly and drop accounts without recent requests."""
        oldest = now - _RENEWAL_DECAYS * self.decay_s
        kept = {name: use for name, use in self.accounts.items() if use.counted_at > oldest}
        for use in kept.values():
            use.asked *= factor
            use.used *= factor
        self.renewed_at = now
        self.others.demand *= factor
        self.others_used *= factor
        self._replace(kept)

    def _make_room(self) -> None:
        """Merge the smaller accounts with the others when there are twice too many."""
        if len(self.accounts) < 2 * self.max_accounts:
            return
        names = heapq.nlargest(self.max_accounts, self.accounts, key=self._demand_of)
        kept = {name: self.accounts[name] for name in names}
        for name, use in self.accounts.items():
            if name not in kept:
                self.others.weight += use.weight
                self.others.demand += use.demand
                self.others_used += use.used
        self._replace(kept)

    def _replace(self, accounts: dict[AccountName, AccountUse]) -> None:
        """Keep only these accounts, and sum up all amounts anew."""
        self.accounts = accounts
        self.groups = {}
        self.total_used = self.others_used + sum(use.used for use in accounts.values())
        self.total_demand = 0
        self.total_weight = 0
        for use in accounts.values():
            use.group = None
            self._join_group(use)
        if self.others.demand > _LOWEST_DEMAND:
            self._join_others()
        else:
            self.others = DemandGroup()

    def _join_others(self) -> None:
        number = _group_number(self.others.demand / self.others.weight)
        group = self.groups.setdefault(number, DemandGroup())
        # The group must not end with its last exactly known account.
        group.count += 1
        group.weight += self.others.weight
        group.demand += self.others.demand
        self.total_weight += self.others.weight
        self.total_demand += self.others.demand

    def _join_group(self, use: AccountUse) -> None:
        use.demand = max(use.asked, use.used)
        use.group = _group_number(use.demand / use.weight)
        group = self.groups.setdefault(use.group, DemandGroup())
        group.count += 1
        group.weight += use.weight
        group.demand += use.demand
        self.total_weight += use.weight
        self.total_demand += use.demand

    def _leave_group(self, use: AccountUse) -> None:
        if use.group is None:
            return
        group = self.groups[use.group]
        group.count -= 1
        group.weight -= use.weight
        group.demand -= use.demand
        self.total_weight -= use.weight
        self.total_demand -= use.demand
        if not group.count:
            self.groups.pop(use.group)

    def _demand_of(self, account: AccountName) -> float:
        return self.accounts[account].demand


def _group_number(demand: float) -> int:
    return math.floor(_GROUPS_PER_OCTAVE * math.log2(max(demand, _LOWEST_DEMAND)))
