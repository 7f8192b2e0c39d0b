"""Choice of the gateway that decides for each service, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import GatewayState
    from ringseam.gateway.following.follower import Follower

#: Gateways that lag are not chosen as owners while at least this share of all gateways does not
#: lag.
_MIN_RESPONSIVE_SHARE = 0.5
#: A previous owner may have calls in flight for this long after it was replaced, seconds: it
#: covers two calls that are queued at a server.
_SETTLE_S = 2.0


class Ownership:
    """Determine the owner of each service: the gateway that decides for it."""

    def __init__(self, *, follower: Follower, name: str) -> None:
        """Use the gateways that ``follower`` knows."""
        self.follower = follower
        self.name = name
        #: The gateways for which :attr:`owners` was computed.
        self.gateways: tuple[GatewayState, ...] = ()
        #: Cached owner addresses by service. Computing one over 68 gateways takes 80 us, and
        #: each request needs about a dozen.
        self.owners: dict[str, str] = {}
        #: Since when this gateway owns a service and no draining or lagging gateway that
        #: precedes it may still have calls in flight.
        self.sole_since: dict[str, float] = {}

    def is_present(self, address: str) -> bool:
        """Return whether a gateway is a member, even if it is draining."""
        return any(state.address == address for state in self.follower.gateways)

    def refresh(self) -> None:
        """Discard computed owners if the gateways have changed."""
        if self.follower.gateways == self.gateways:
            return
        self.gateways = self.follower.gateways
        self.owners.clear()
        for service in list(self.sole_since):
            if not self._is_sole(service):
                self.sole_since.pop(service)

    def owner_of(self, service: str) -> str:
        """Return the address of the owner of a service; empty: this gateway."""
        self.refresh()
        if service not in self.owners:
            self.owners[service] = self._compute_owner(service)
        return self.owners[service]

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether this gateway has been the only owner of a service for a while.

        Gateways that join or leave do not affect services that they do not own.
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
        # If most gateways lag, another owner would be no better.
        if len(responsive) >= _MIN_RESPONSIVE_SHARE * len(staying):
            staying = responsive
        if not staying:
            return ''
        addresses = {state.name: state.address for state in staying}
        name = rendezvous(service, sorted(addresses))
        return '' if name == self.name else addresses[name]


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the name that highest-random-weight hashing selects for ``key``.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme", 1998.
    """
    return max(names, key=lambda name: _weight(key, name))


def rendezvous_order(key: str, names: Collection[str]) -> list[str]:
    """Return all names in descending order of their weight for ``key``."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=8).digest()
