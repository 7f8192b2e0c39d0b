"""Choice of the gateway that decides for each service, by rendezvous hashing."""

from __future__ import annotations

import abc
import enum
import hashlib
import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from ringseam.backends import GatewayState
    from ringseam.gateway.following.follower import Follower
    from ringseam.metrics import Metrics
    from ringseam.node import Node

logger = logging.getLogger(__name__)

#: Gateways that lag are not chosen as owners while at least this share of all gateways does not
#: lag.
_MIN_RESPONSIVE_SHARE = 0.5
#: A previous owner may have calls in flight for this long after it was replaced, seconds: it
#: covers two calls that are queued at a server.
_SETTLE_S = 2.0
_DIGEST_BYTES = 8
#: Bits of a digest that are used as a fraction: one less than those of a float, so that all
#: fractions are exact, above 0 and below 1.
_FRACTION_BITS = 52
_DROPPED_BITS = 8 * _DIGEST_BYTES - _FRACTION_BITS


class MoveCause(enum.Enum):
    """Why a service has another owner than before."""

    lost = 'lost'
    draining = 'draining'
    busy = 'busy'
    #: The previous owner is as before; the new one was absent or of no use, or capacities changed.
    preferred = 'preferred'


@dataclass(frozen=True, kw_only=True)
class OwnerMove:
    """A service has another owner; addresses of gateways, empty: this one."""

    service: str
    previous: str
    owner: str
    cause: MoveCause


class OwnerOrder(abc.ABC):
    """An order of gateways for each service, the same at all gateways."""

    @abc.abstractmethod
    def first(self, key: str, names: Collection[str]) -> str:
        """Return the first of ``names`` in the order for ``key``."""


class UniformOrder(OwnerOrder):
    """Each gateway is first for about the same number of keys."""

    def first(self, key: str, names: Collection[str]) -> str:
        """Return the first of ``names`` in the order for ``key``."""
        return rendezvous(key, names)


class WeightedOrder(OwnerOrder):
    """Each gateway is first for a share of the keys in proportion to its weight.

    Source: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", 2005 (logarithmic
    method). A gateway that joins or leaves changes no order among the others.
    """

    def __init__(self, *, weights: Mapping[str, float]) -> None:
        """Create an order by positive ``weights``; a name without one counts as the smallest."""
        self.weights = weights
        self.smallest = min(weights.values())

    def first(self, key: str, names: Collection[str]) -> str:
        """Return the first of ``names`` in the order for ``key``."""
        return max(names, key=lambda name: self._score(key, name))

    def _score(self, key: str, name: str) -> tuple[float, bytes]:
        digest = _weight(key, name)
        odd = 2 * (int.from_bytes(digest, 'big') >> _DROPPED_BITS) + 1
        fraction = math.ldexp(odd, -_FRACTION_BITS - 1)
        return self.weights.get(name, self.smallest) / -math.log(fraction), digest


def order_for(gateways: Iterable[GatewayState]) -> OwnerOrder:
    """Return the order by the processors of the hosts, or a uniform one.

    It is uniform if hosts are equal, or if the processor of any is unknown: a gateway of a
    version that doesn't announce it comes to the uniform order too.
    """
    weights = {state.name: state.capacity.processor for state in gateways}
    distinct = set(weights.values())
    if len(distinct) < 2 or 0 in distinct:
        return UniformOrder()
    return WeightedOrder(weights=weights)


class Ownership:
    """Determine the owner of each service: the gateway that decides for it."""

    def __init__(self, *, follower: Follower, name: str) -> None:
        """Use the gateways that ``follower`` knows."""
        self.follower = follower
        self.name = name
        #: The gateways for which :attr:`owners` was computed.
        self.gateways: tuple[GatewayState, ...] = ()
        self.order: OwnerOrder = UniformOrder()
        #: Cached owner addresses by service. Computing one over 68 gateways takes 80 us, and
        #: each request needs about a dozen.
        self.owners: dict[str, str] = {}
        #: The latest owner of each service, also from before the gateways changed.
        self.known_owners: dict[str, str] = {}
        #: Called when a service moves to this gateway or away from it.
        self.on_moved: Callable[[OwnerMove], None] = lambda move: None
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
        self.order = order_for(self.gateways)
        self.owners.clear()
        for service in list(self.sole_since):
            if not self._is_sole(service):
                self.sole_since.pop(service)

    def owner_of(self, service: str) -> str:
        """Return the address of the owner of a service; empty: this gateway."""
        self.refresh()
        if service not in self.owners:
            owner = self._compute_owner(service)
            self.owners[service] = owner
            self._record_owner(service, owner)
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
        return self.order.first(service, names) == self.name

    def _compute_owner(self, service: str) -> str:
        staying = [state for state in self.gateways if not state.draining]
        responsive = [state for state in staying if not state.busy]
        # If most gateways lag, another owner would be no better.
        if len(responsive) >= _MIN_RESPONSIVE_SHARE * len(staying):
            staying = responsive
        if not staying:
            return ''
        addresses = {state.name: state.address for state in staying}
        name = self.order.first(service, sorted(addresses))
        return '' if name == self.name else addresses[name]

    def _record_owner(self, service: str, owner: str) -> None:
        previous = self.known_owners.get(service, owner)
        self.known_owners[service] = owner
        # Only the gateways concerned report a move.
        if previous != owner and '' in {previous, owner}:
            cause = self._cause_of_move(previous)
            self.on_moved(OwnerMove(service=service, previous=previous, owner=owner, cause=cause))

    def _cause_of_move(self, previous: str) -> MoveCause:
        for state in self.gateways:
            if state.address == previous or (not previous and state.name == self.name):
                if state.draining:
                    return MoveCause.draining
                return MoveCause.busy if state.busy else MoveCause.preferred
        return MoveCause.lost


class OwnerLog:
    """Logs the moves of services to and from this gateway, and exports what it owns."""

    def __init__(self, *, node: Node, metrics: Metrics) -> None:
        """Create a log of moves at the gateway of ``node``."""
        self.node = node
        self.metrics = metrics

    def record(self, move: OwnerMove) -> None:
        """Log and count a move."""
        self.metrics.add('owner_moves', cause=move.cause.value)
        self.node.events.emit(
            logger,
            Event.owner_moved,
            service=move.service,
            previous=move.previous or self.node.address,
            owner=move.owner or self.node.address,
            cause=move.cause.value,
        )

    def export(self, ownership: Ownership, services: Iterable[str]) -> None:
        """Set the metrics of which services this gateway owns."""
        for service in services:
            self.metrics.put('owned', int(not ownership.owner_of(service)), service=service)
        self.metrics.put('gateway_behind', int(ownership.follower.busy))


def rendezvous(key: str, names: Collection[str]) -> str:
    """Return the name that highest-random-weight hashing selects for ``key``.

    Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme", 1998.
    """
    return max(names, key=lambda name: _weight(key, name))


def rendezvous_order(key: str, names: Collection[str]) -> list[str]:
    """Return all names in descending order of their weight for ``key``."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f'{key}/{name}'.encode(), digest_size=_DIGEST_BYTES).digest()
