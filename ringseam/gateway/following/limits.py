"""Rate limits that backend servers announce for all gateways together, without any I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendId


#: A limit is exceeded when some window of this length, seconds, contains more than
#: ``_EXCESS_FACTOR`` times the requests that the limit allows plus ``_BURST_ALLOWANCE``.
WINDOW_S = 4.0
_EXCESS_FACTOR = 1.5
_BURST_ALLOWANCE = 5.0
#: A limit is enforced from about 3 s after its first announcement, so the first enforced window
#: also counts requests sent up to this long before the announcement, seconds.
PRE_LIMIT_S = 1.2
#: Minimum rate to a server, requests per second: only its responses announce that the limit is
#: lifted.
_MIN_SEND_PER_S = 1 / WINDOW_S
#: Rate of all gateways that cannot reach the owner of a service, relative to the rate of the
#: owner.
_WITHOUT_OWNER_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """The latest rate limit that one server instance has announced."""

    #: Requests per second from all gateways; None: the limit is lifted.
    per_s: float | None
    #: When this gateway learned that the server has a limit, and when the latest value was
    #: announced.
    since: float
    stated_at: float

    @property
    def send_per_s(self) -> float:
        """Return how many requests the owner of the service sends per second."""
        return max(self.per_s or 0, _MIN_SEND_PER_S)

    @property
    def max_in_window(self) -> int:
        """Return how many requests a window may contain, less one as a margin for delays."""
        return int(self._max_allowed) - 1

    @property
    def without_owner_per_s(self) -> float:
        """Return the total rate of all gateways that cannot reach the owner, per second."""
        return _WITHOUT_OWNER_SHARE * self.send_per_s

    @property
    def max_gateways_without_owner(self) -> int:
        """Return how many gateways may send without a permit from the owner.

        Each of them may exceed its share by one request in some window, and so may the owner.
        """
        at_send_rate = WINDOW_S * (self.send_per_s + self.without_owner_per_s)
        return int(self._max_allowed - at_send_rate - 1)

    @property
    def _max_allowed(self) -> float:
        return _EXCESS_FACTOR * WINDOW_S * (self.per_s or 0) + _BURST_ALLOWANCE


@dataclass(kw_only=True)
class RateLimitTracker:
    """Rate limits by server; contains only servers that have announced one."""

    by_server: dict[BackendId, RateLimit] = field(default_factory=dict)

    def of(self, instance: BackendId) -> RateLimit | None:
        """Return the rate limit of a server; None: it has no limit."""
        known = self.by_server.get(instance)
        return None if known is None or known.per_s is None else known

    @property
    def count(self) -> int:
        """Return how many servers have a rate limit."""
        return sum(1 for known in self.by_server.values() if known.per_s is not None)

    def record(self, instance: BackendId, per_s: float | None, now: float) -> None:
        """Record what a response has just announced."""
        self.merge(instance, per_s, stated_at=now, now=now)

    def merge(
        self,
        instance: BackendId,
        per_s: float | None,
        *,
        stated_at: float,
        now: float,
    ) -> None:
        """Merge what a server has announced to any gateway; the latest announcement wins."""
        known = self.by_server.get(instance)
        if known is None and per_s is None:
            return
        if known is not None and stated_at <= known.stated_at:
            return
        was_limited = known is not None and known.per_s is not None
        self.by_server[instance] = RateLimit(
            per_s=per_s,
            since=known.since if known is not None and was_limited else now,
            stated_at=stated_at,
        )

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.by_server = {
            name: known for name, known in self.by_server.items() if name in instances
        }
