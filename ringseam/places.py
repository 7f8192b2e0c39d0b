"""Places of an entry: how many requests it holds at a time, and whose."""

from __future__ import annotations

import threading
from collections import defaultdict
from dataclasses import dataclass, field

#: Share of the places that a priority class may fill, the highest first.
CLASS_SHARES = (1.0, 0.8, 0.6)
#: Above this share of its class's places, accounts are held to fair shares.
_CROWDED = 0.5


@dataclass(kw_only=True)
class Places:
    """Bounded places with room left for high priorities and other accounts.

    Refusing at once keeps a burst of one client account, or of work that may
    wait, from holding the threads that a reject signal needs. Safe from any
    thread.
    """

    total: int
    used: int = 0
    by_account: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    lock: threading.Lock = field(default_factory=threading.Lock)

    def take(self, account: str, priority: int) -> bool:
        """Take a place if this account may have one now."""
        with self.lock:
            limit = self.total * CLASS_SHARES[priority]
            if self.used >= limit:
                return False
            others = len(self.by_account) - (account in self.by_account)
            fair = limit / (others + 1)
            if self.used >= limit * _CROWDED and self.by_account.get(account, 0) >= fair:
                return False
            self.used += 1
            self.by_account[account] += 1
            return True

    def release(self, account: str) -> None:
        """Give a place back."""
        with self.lock:
            self.used -= 1
            self.by_account[account] -= 1
            if not self.by_account[account]:
                self.by_account.pop(account)
