"""Limits per client account: rate and concurrency."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.config import Account

#: How many seconds of its rate an account may save up.
BURST_S = 1.0


@dataclass(kw_only=True)
class AccountUse:
    """What one account uses at this entry."""

    tokens: float = 0
    filled: float = float('-inf')
    running: int = 0


@dataclass(kw_only=True)
class AccountLimits:
    """Admit requests within an account's share at this entry.

    ``entries`` is how many entries share the limits; the sum over them never
    exceeds a limit by more than one request an entry, plus one burst while a
    new entry isn't known to the others.
    """

    entries: int = 1
    uses: dict[str, AccountUse] = field(default_factory=lambda: defaultdict(AccountUse))

    def admit(self, account: Account, now: float) -> float:
        """Take a place for a request; else return the seconds to wait."""
        use = self.uses[account.name]
        rate = account.rate_per_s / self.entries
        burst = max(1, rate * BURST_S)
        use.tokens = min(burst, use.tokens + (now - use.filled) * rate)
        use.filled = now
        if use.running >= max(1, account.concurrency // self.entries):
            return 1 / rate
        if use.tokens < 1:
            return (1 - use.tokens) / rate
        use.tokens -= 1
        use.running += 1
        return 0

    def release(self, account: Account) -> None:
        """Give a place back."""
        self.uses[account.name].running -= 1
