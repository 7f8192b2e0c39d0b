"""Capacity of stage servers for storing results, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.stages.jobs import StageCall
    from ringseam.routes import BatchSpec

#: Results may exceed the size given in the routes by up to this factor.
_SIZE_MARGIN = 1.05
#: Some results are larger still; a server refuses no piece while it is filled up to this
#: share of its capacity.
_AMPLE_SHARE = 0.85
#: Capacity found to be used by unknown results is assumed to stay in use for this long,
#: seconds, since probing it costs a call.
UNKNOWN_USAGE_S = 0.5


@dataclass(frozen=True, kw_only=True)
class UnknownUsage:
    """Bytes of a server's capacity used by unknown results, and when this expires."""

    amount: int
    until: float


@dataclass(kw_only=True)
class ResultCapacity:
    """Used result capacity of each server, by known and by unknown results."""

    #: Bytes of the results that each server stores or is about to produce.
    used_bytes: dict[BackendId, int] = field(default_factory=dict)
    #: Capacity used by results that this gateway doesn't know.
    unknown: dict[BackendId, UnknownUsage] = field(default_factory=dict)

    def reserve(self, instance: BackendId, amount: int) -> None:
        """Reserve capacity for a result at a server."""
        self.used_bytes[instance] = self.used_bytes.get(instance, 0) + amount

    def release(self, instance: BackendId, amount: int) -> None:
        """Free the capacity of a result at a server."""
        self.used_bytes[instance] = max(0, self.used_bytes.get(instance, 0) - amount)

    def mark_full(self, instance: BackendId, size: int, spec: BatchSpec, now: float) -> None:
        """Record that a server had no capacity for a result that should have fitted.

        The server then stores unknown results, for example of a gateway that is gone, or
        results that are larger than the routes say.
        """
        others = spec.result_capacity_bytes - self.used_bytes.get(instance, 0) - size
        self.unknown[instance] = UnknownUsage(amount=max(0, others), until=now + UNKNOWN_USAGE_S)

    def nominal_bytes(self, spec: BatchSpec) -> float:
        """Return the capacity of an empty server, in nominal bytes of results."""
        return spec.result_capacity_bytes / _SIZE_MARGIN

    def free_bytes(self, instance: BackendId, spec: BatchSpec, now: float) -> float:
        """Return the free capacity of a server, in nominal bytes of results."""
        free = self.nominal_bytes(spec) - self.used_bytes.get(instance, 0)
        others = self.unknown.get(instance)
        if others is not None and now < others.until:
            free -= others.amount
        return free

    def guaranteed_bytes(self, call: StageCall, spec: BatchSpec) -> float:
        """Return how many bytes of a call's results its server is certain to accept.

        A server allocates capacity to the pieces of a call in their order.
        """
        own = sum(piece.job.result_bytes for piece in call.pieces)
        others = self.used_bytes.get(call.server.instance, 0) - own
        return _AMPLE_SHARE * spec.result_capacity_bytes - others

    def keep_only(self, instances: set[BackendId]) -> None:
        """Drop the state of servers that are gone."""
        for instance in set(self.used_bytes) - instances:
            self.used_bytes.pop(instance)
        for instance in set(self.unknown) - instances:
            self.unknown.pop(instance)
