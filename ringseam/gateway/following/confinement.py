"""Choice of the servers that run the requests of confined accounts, without any I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.following.ownership import rendezvous_order
from ringseam.lifetimes import name_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport

#: Share of the servers of a service that run the requests of a confined account: three quarters
#: stay unaffected, and the account has more than one server in services of five or more.
CONFINED_SHARE = 0.25


@dataclass(kw_only=True)
class Confinement:
    """Names of the servers of each confined account, by account and service.

    The choice is kept while the confinement lasts, also when the servers crash and restart:
    otherwise an account whose requests crash servers would work through all of them. All
    gateways start with the same choice, by rendezvous hashing of the server names.
    """

    server_names: dict[tuple[str, str], frozenset[str]] = field(default_factory=dict)

    def keep_only(self, confined: Collection[tuple[str, str]]) -> None:
        """Remove accounts that are no longer confined."""
        self.server_names = {
            key: names for key, names in self.server_names.items() if key in confined
        }

    def select(self, key: tuple[str, str], servers: list[BackendReport]) -> list[BackendReport]:
        """Return the servers of a confined account; choose new ones if none of them is left."""
        assigned = self._assigned(key, servers)
        if not assigned and servers:
            account, _ = key
            present = {name_of(server.instance) for server in servers}
            count = math.ceil(len(present) * CONFINED_SHARE)
            self.server_names[key] = frozenset(rendezvous_order(account, present)[:count])
            assigned = self._assigned(key, servers)
        return assigned

    def _assigned(self, key: tuple[str, str], servers: list[BackendReport]) -> list[BackendReport]:
        names = self.server_names.get(key, frozenset())
        return [server for server in servers if name_of(server.instance) in names]
