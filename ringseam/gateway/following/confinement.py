"""Which servers run the requests of accounts that are confined; a plain class."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.lifetimes import name_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport

#: The share of a service's servers that run the requests of an account that is confined
#: there: the others keep three quarters, and it keeps more than one server at most sizes.
CONFINED_SHARE = 0.25


@dataclass(kw_only=True)
class Confinement:
    """The servers of each confined account, by the account and the service.

    They stay the same while it lasts, also when they end and start again: else an
    account that ends one after the other would go through all of them. All gateways
    begin with the same ones, by rendezvous hashing of the servers' names.
    """

    names: dict[tuple[str, str], frozenset[str]] = field(default_factory=dict)

    def keep_only(self, confined: Collection[tuple[str, str]]) -> None:
        """Forget accounts that are free again."""
        self.names = {owner: names for owner, names in self.names.items() if owner in confined}

    def among(self, owner: tuple[str, str], servers: list[BackendReport]) -> list[BackendReport]:
        """Return the servers of an account; others once none of them is left."""
        kept = self._kept(owner, servers)
        if not kept and servers:
            account, _ = owner
            present = {name_of(server.instance) for server in servers}
            count = math.ceil(len(present) * CONFINED_SHARE)
            self.names[owner] = frozenset(rendezvous_order(account, present)[:count])
            kept = self._kept(owner, servers)
        return kept

    def _kept(self, owner: tuple[str, str], servers: list[BackendReport]) -> list[BackendReport]:
        names = self.names.get(owner, frozenset())
        return [server for server in servers if name_of(server.instance) in names]
