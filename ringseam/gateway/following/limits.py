"""Rate limits that backend servers name for all gateways together; plain classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId


#: A limit is exceeded when some span of this length has more than ``_OVER`` times what it
#: allows and ``_SLACK`` besides, seconds.
WINDOW_S = 4.0
_OVER = 1.5
_SLACK = 5.0
#: A limit binds from about 3 s after it was first named, so what was sent up to this long
#: before counts, seconds.
UNHEARD_S = 1.2
#: A server is never left alone altogether, as only its answers tell that its limit is over;
#: requests a second.
_LEAST_PER_S = 1 / WINDOW_S
#: What gateways that can't reach the owner of a service send beside it, against its pace.
_BESIDE_OWNER = 0.25


@dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """What one lifetime of a server said last of its limit."""

    #: Requests a second from all gateways; None: no limit any more.
    per_s: float | None
    #: When this gateway first knew of a limit, and when it was last said.
    since: float
    said_at: float

    @property
    def pace_per_s(self) -> float:
        """Return how many requests the owner of the service sends in a second."""
        return max(self.per_s or 0, _LEAST_PER_S)

    @property
    def most_in_window(self) -> int:
        """Return how many requests any window may have, one kept back for delays."""
        return int(self._bound) - 1

    @property
    def beside_owner_per_s(self) -> float:
        """Return how many requests all gateways that can't reach the owner send in a second."""
        return _BESIDE_OWNER * self.pace_per_s

    @property
    def most_beside_owner(self) -> int:
        """Return how many gateways may send beside the owner.

        Each may send one more than its share in some window, and so may the owner.
        """
        by_pace = WINDOW_S * (self.pace_per_s + self.beside_owner_per_s)
        return int(self._bound - by_pace - 1)

    @property
    def _bound(self) -> float:
        return _OVER * WINDOW_S * (self.per_s or 0) + _SLACK


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
