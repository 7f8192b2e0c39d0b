"""Rate limits that backend servers name for all gateways together; plain classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId


#: A limit is exceeded when some span of this length has more than ``_EXCESS_FACTOR`` times what it
#: allows and ``_BURST_ALLOWANCE`` besides, seconds.
WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_BURST_ALLOWANCE = 5.0
#: A limit binds from about 3 s after it was first by_server, so what was sent up to this long
#: before counts, seconds.
PRE_LIMIT_S = 1.2
#: A server is never left alone altogether, as only its answers tell that its limit is over;
#: requests a second.
_MIN_SEND_PER_S = 1 / WINDOW_S
#: What gateways that can't reach the owner of a service send beside it, against its pace.
_WITHOUT_OWNER_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """What one lifetime of a server said last of its limit."""

    #: Requests a second from all gateways; None: no limit any more.
    per_s: float | None
    #: When this gateway first knew of a limit, and when it was last said.
    since: float
    stated_at: float

    @property
    def send_per_s(self) -> float:
        """Return how many requests the owner of the service sends in a second."""
        return max(self.per_s or 0, _MIN_SEND_PER_S)

    @property
    def max_in_window(self) -> int:
        """Return how many requests any window may have, one kept back for delays."""
        return int(self._max_allowed) - 1

    @property
    def without_owner_per_s(self) -> float:
        """Return how many requests all gateways that can't reach the owner send in a second."""
        return _WITHOUT_OWNER_SHARE * self.send_per_s

    @property
    def max_gateways_without_owner(self) -> int:
        """Return how many gateways may send beside the owner.

        Each may send one more than its share in some window, and so may the owner.
        """
        at_send_rate = WINDOW_S * (self.send_per_s + self.without_owner_per_s)
        return int(self._max_allowed - at_send_rate - 1)

    @property
    def _max_allowed(self) -> float:
        return _EXCESS_FACTOR * WINDOW_S * (self.per_s or 0) + _BURST_ALLOWANCE


@dataclass(kw_only=True)
class RateLimitTracker:
    """Named limits by server; only servers that ever by_server one are kept."""

    by_server: dict[BackendId, RateLimit] = field(default_factory=dict)

    def of(self, instance: BackendId) -> RateLimit | None:
        """Return the limit that a server names; None: it takes what comes."""
        known = self.by_server.get(instance)
        return None if known is None or known.per_s is None else known

    @property
    def count(self) -> int:
        """Return how many servers name a limit."""
        return sum(1 for known in self.by_server.values() if known.per_s is not None)

    def record(self, instance: BackendId, per_s: float | None, now: float) -> None:
        """Take in what an answer has just said."""
        self.merge(instance, per_s, stated_at=now, now=now)

    def merge(
        self,
        instance: BackendId,
        per_s: float | None,
        *,
        stated_at: float,
        now: float,
    ) -> None:
        """Take in what a server said to any gateway; the newest holds."""
        known = self.by_server.get(instance)
        if known is None and per_s is None:
            return
        if known is not None and stated_at <= known.stated_at:
            return
        still_limited = known is not None and known.per_s is not None
        self.by_server[instance] = RateLimit(
            per_s=per_s,
            since=known.since if known is not None and still_limited else now,
            stated_at=stated_at,
        )

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget servers that are gone."""
        self.by_server = {
            name: known for name, known in self.by_server.items() if name in instances
        }
