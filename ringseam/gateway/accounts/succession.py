"""Changes of the client accounts of a route table, as far as shares depend on them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.accounts.maxmin import MaxMinShares
    from ringseam.routes import Account, AccountName


@dataclass(frozen=True, kw_only=True)
class AccountChange:
    """Accounts that are gone from a route table; they are gone from shares too."""

    #: The new account that has a key of an account that is gone: it was renamed.
    renamed: dict[AccountName, AccountName] = field(default_factory=dict)
    #: Accounts that are gone without a successor.
    gone: frozenset[AccountName] = frozenset()

    def apply(self, shares: MaxMinShares, now: float) -> None:
        """Let new accounts succeed those that they replace, and drop the others."""
        shares.change_accounts(self.renamed, self.gone, now)


def change_between(before: Collection[Account], after: Collection[Account]) -> AccountChange:
    """Return what changed between the accounts of two route tables.

    A key that moves to an account that existed before moves no use: its requests count for
    that account from then on.
    """
    remaining = {account.name for account in after}
    known = {account.name for account in before}
    successors = {
        key: account.name for account in after if account.name not in known for key in account.keys
    }
    renamed: dict[AccountName, AccountName] = {}
    for account in before:
        found = sorted({successors[key] for key in account.keys if key in successors})
        if account.name not in remaining and found:
            renamed[account.name] = found[0]
    return AccountChange(renamed=renamed, gone=frozenset(known - remaining - renamed.keys()))
