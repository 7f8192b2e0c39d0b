"""Which gateway decides for a service, by rendezvous hashing over all."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import GatewayState
    from ringseam.gateway.following.follower import Follower

#: Gateways that are behind are passed over while this share of all are not.
_MIN_RESPONSIVE_SHARE = 0.5
#: A gateway that was an owner may have calls under way for this long after
#: another took its place, seconds: two calls that wait at a server and their like.
_SETTLE_S = 2.0


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
        #: Since when this gateway decides for a service, and no gateway before it may
        #: still have calls under way: one that stops, or is behind.
        self.sole_since: dict[str, float] = {}

    def is_present(self, address: str) -> bool:
        """Return whether a gateway is still there, be it on its way out."""
        return any(state.address == address for state in self.follower.gateways)

    def refresh(self) -> None:
        """Look which gateways there are; owners change with them."""
        if self.follower.gateways == self.gateways:
            return
        self.gateways = self.follower.gateways
        self.owners.clear()
        for service in list(self.sole_since):
            if not self._is_sole(service):
                self.sole_since.pop(service)

    def owner_of(self, service: str) -> str:
        """Return the address of the deciding gateway; empty: this one."""
        self.refresh()
        if service not in self.owners:
            self.owners[service] = self._compute_owner(service)
        return self.owners[service]

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether no other gateway has decided for a service for a while.

        Gateways that come and go change nothing for services that others decide for.
        """
        if self.owner_of(service):
            return False
        if service not in self.sole_since:
            if not self._is_sole(service):
                return False
            self.sole_since[service] = now
        return now >= self.sole_since[service] + _SETTLE_S

    def _is_sole(self, service: str) -> bool:
        names = {state.name for state in self.gateways} | {self.name}
        return rendezvous(service, names) == self.name

    def _compute_owner(self, service: str) -> str:
        staying = [state for state in self.gateways if not state.draining]
        responsive = [state for state in staying if not state.busy]
        # While most are behind, another owner would be no better.
        if len(responsive) >= _MIN_RESPONSIVE_SHARE * len(staying):
            staying = responsive
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
