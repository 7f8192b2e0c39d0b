"""Which gateway decides for a service, by rendezvous hashing over all."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import GatewayState
    from ringseam.gateway.following.follower import Follower

#: Gateways that are behind are passed over while this share of all are not.
_SHARE_IN_TIME = 0.5


class Ownership:
    """Name the deciding gateway of each service."""

    def __init__(self, *, follower: Follower, name: str) -> None:
        """Know the gateways that ``follower`` hears of."""
        self.follower = follower
        self.name = name
        #: The gateways that :attr:`owners` was worked out for.
        self.gateways: tuple[GatewayState, ...] = ()
        #: Addresses by service. Working one out over 68 gateways takes 80 us, and a
        #: request asks a dozen times.
        self.owners: dict[str, str] = {}

    def is_present(self, address: str) -> bool:
        """Return whether a gateway is still there, be it on its way out."""
        return any(state.address == address for state in self.follower.gateways)

    def owner_of(self, service: str) -> str:
        """Return the address of the deciding gateway; empty: this one."""
        if self.follower.gateways != self.gateways:
            self.gateways = self.follower.gateways
            self.owners.clear()
        if service not in self.owners:
            self.owners[service] = self._work_out(service)
        return self.owners[service]

    def _work_out(self, service: str) -> str:
        staying = [state for state in self.gateways if not state.draining]
        in_time = [state for state in staying if not state.busy]
        # While most are behind, another owner would be no better.
        if len(in_time) >= _SHARE_IN_TIME * len(staying):
            staying = in_time
        if not staying:
            return ''
        addresses = {state.name: state.address for state in staying}
        name = rendezvous(service, sorted(addresses))
        return '' if name == self.name else addresses[name]


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the name that highest-random-weight hashing gives to ``key``.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme", 1998.
    """
    return max(names, key=lambda name: _weight(key, name))


def rendezvous_order(key: str, names: Collection[str]) -> list[str]:
    """Return all names, by :func:`rendezvous` without those before."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
