"""Tags of start-time fair queueing, which order the work of competing client accounts."""

from __future__ import annotations

from dataclasses import dataclass, field

#: While there are more tags than this, those that no longer matter are dropped whenever as
#: much work as there are tags was served, so that a service takes constant time on average.
_MAX_IDLE_TAGS = 1024


@dataclass(kw_only=True)
class FairTags:
    """Start tags and virtual time of accounts that share a server.

    Whoever serves the account with the lowest start tag next gives each account with
    queued work an equal or weighted share. An account without queued work saves nothing
    up: its next work starts at the virtual time. Algorithm: start-time fair queueing,
    Goyal, Vin and Cheng, 1996.
    """

    virtual_time: float = 0
    #: Where the next work of each account that was served starts.
    next_starts: dict[str, float] = field(default_factory=dict)
    #: Number of advances since idle tags were last dropped.
    advances: int = 0

    def start_of(self, account: str) -> float:
        """Return the start tag of the next work of an account."""
        return max(self.virtual_time, self.next_starts.get(account, 0))

    def serve(self, account: str, work: float, weight: float = 1) -> None:
        """Record that work of an account is served now."""
        start = self.start_of(account)
        self.charge(account, work, weight)
        self.advance(start)

    def charge(self, account: str, work: float, weight: float = 1) -> None:
        """Count work of an account, without an effect on the virtual time."""
        self.next_starts[account] = self.start_of(account) + work / weight

    def advance(self, start: float) -> None:
        """Advance the virtual time to the start tag of work in service."""
        self.virtual_time = max(self.virtual_time, start)
        self.advances += 1
        if _MAX_IDLE_TAGS < len(self.next_starts) <= self.advances:
            self._drop_idle()

    def clear(self) -> None:
        """Start anew, as nothing is queued."""
        self.virtual_time = 0
        self.next_starts.clear()

    def _drop_idle(self) -> None:
        self.next_starts = {
            account: start
            for account, start in self.next_starts.items()
            if start > self.virtual_time
        }
        self.advances = 0
