"""What room stage servers have for results; a plain class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.stages.jobs import StageCall
    from ringseam.routes import BatchSpec

#: Results are larger than the routes say by up to this factor.
_SIZE_MARGIN = 1.05
#: Some results are larger still; a server that is filled up to this share of its room
#: refuses no piece.
_AMPLE_SHARE = 0.85
#: Room that was found taken by unknown results is believed taken this long,
#: seconds: a try costs a call.
UNKNOWN_USAGE_S = 0.5


@dataclass(frozen=True, kw_only=True)
class UnknownUsage:
    """Bytes of a server's room that others' results take, and until when to believe it."""

    amount: int
    until: float


@dataclass(kw_only=True)
class ResultCapacity:
    """Bytes of results by server: those that are known, and signs of others."""

    #: Bytes of results that each server keeps or is about to make.
    used_bytes: dict[BackendId, int] = field(default_factory=dict)
    #: Room that is taken by results that are not known here.
    unknown: dict[BackendId, UnknownUsage] = field(default_factory=dict)

    def reserve(self, instance: BackendId, amount: int) -> None:
        """Hear that a server keeps a result."""
        self.used_bytes[instance] = self.used_bytes.get(instance, 0) + amount

    def release(self, instance: BackendId, amount: int) -> None:
        """Hear that a server has given up a result."""
        self.used_bytes[instance] = max(0, self.used_bytes.get(instance, 0) - amount)

    def mark_full(self, instance: BackendId, size: int, spec: BatchSpec, now: float) -> None:
        """Hear that a result didn't fit that should have.

        That tells of results that are not known here: of a gateway that is gone,
        say, or larger than named.
        """
        others = spec.room_bytes - self.used_bytes.get(instance, 0) - size
        self.unknown[instance] = UnknownUsage(amount=max(0, others), until=now + UNKNOWN_USAGE_S)

    def nominal_bytes(self, spec: BatchSpec) -> float:
        """Return the bytes of results, as routes name them, that an empty server takes."""
        return spec.room_bytes / _SIZE_MARGIN

    def free_bytes(self, instance: BackendId, spec: BatchSpec, now: float) -> float:
        """Return the bytes of results, as routes name them, that a server still takes."""
        free = self.nominal_bytes(spec) - self.used_bytes.get(instance, 0)
        others = self.unknown.get(instance)
        if others is not None and now < others.until:
            free -= others.amount
        return free

    def guaranteed_bytes(self, call: StageCall, spec: BatchSpec) -> float:
        """Return how many bytes of a call's results its server has room for, for sure.

        A server gives room to the pieces of a call in their order.
        """
        own = sum(piece.job.result_bytes for piece in call.pieces)
        others = self.used_bytes.get(call.server.instance, 0) - own
        return _AMPLE_SHARE * spec.room_bytes - others

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        for instance in set(self.used_bytes) - instances:
            self.used_bytes.pop(instance)
        for instance in set(self.unknown) - instances:
            self.unknown.pop(instance)
