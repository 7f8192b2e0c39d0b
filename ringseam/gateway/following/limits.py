"""Rate limits that backend servers name for all gateways together; plain classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId


@dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """What one lifetime of a server said last of its limit."""

    #: Requests a second from all gateways; None: no limit any more.
    per_s: float | None
    #: When this gateway first knew of a limit, and when it was last said.
    since: float
    said_at: float


@dataclass(kw_only=True)
class LimitBook:
    """Named limits by server; only servers that ever named one are kept."""

    named: dict[BackendId, NamedLimit] = field(default_factory=dict)

    def of(self, instance: BackendId) -> NamedLimit | None:
        """Return the limit that a server names; None: it takes what comes."""
        known = self.named.get(instance)
        return None if known is None or known.per_s is None else known

    @property
    def count(self) -> int:
        """Return how many servers name a limit."""
        return sum(1 for known in self.named.values() if known.per_s is not None)

    def heard(self, instance: BackendId, per_s: float | None, now: float) -> None:
        """Take in what an answer has just said."""
        self.learn(instance, per_s, said_at=now, now=now)

    def learn(
        self,
        instance: BackendId,
        per_s: float | None,
        *,
        said_at: float,
        now: float,
    ) -> None:
        """Take in what a server said to any gateway; the newest holds."""
        known = self.named.get(instance)
        if known is None and per_s is None:
            return
        if known is not None and said_at <= known.said_at:
            return
        goes_on = known is not None and known.per_s is not None
        self.named[instance] = NamedLimit(
            per_s=per_s,
            since=known.since if known is not None and goes_on else now,
            said_at=said_at,
        )

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.named = {name: known for name, known in self.named.items() if name in instances}
