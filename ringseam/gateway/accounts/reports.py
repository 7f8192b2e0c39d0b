"""Metrics of the accounts that compete for services, of bounded cardinality."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.accounts.maxmin import AccountShare
    from ringseam.metrics import Metrics
    from ringseam.routes import AccountName, ServiceName

#: Number of accounts of each rank that are shown by name.
SHOWN_ACCOUNTS = 8
#: Refusals are counted by name for at most this many accounts of a service.
_COUNTED_ACCOUNTS = 32
#: An account without a refusal for this long is no longer counted by name, seconds.
_COUNTED_S = 600.0
#: Label of all accounts that are not shown by name.
OTHER_ACCOUNTS = '*'
_COUNTERS = ('account_refused', 'account_waits_s')
_GAUGES = ('account_asked', 'account_used', 'account_share')

Labels = dict[str, str]


@dataclass(kw_only=True)
class ShareReports:
    """Publish demand, use, share, refusals and waits by service and account."""

    metrics: Metrics
    #: Labels of the gauges of each service.
    shown: dict[ServiceName, list[Labels]] = field(default_factory=dict)
    #: Accounts whose refusals are counted by name, and when :meth:`drop_idle` first found
    #: them without a new refusal; None: there was one since it last ran.
    counted: dict[ServiceName, dict[AccountName, float | None]] = field(default_factory=dict)

    def publish(self, service: ServiceName, shares: list[AccountShare]) -> None:
        """Replace the gauges of a service by the accounts with the largest demand.

        Without contention, accounts have no share.
        """
        for labels in self.shown.pop(service, []):
            for name in _GAUGES:
                self.metrics.remove(name, **labels)
        for share in shares:
            self._put(service, share)

    def refused(self, service: ServiceName, account: AccountName, wait_s: float) -> None:
        """Count a refusal and the time after which the account may return."""
        names = self.counted.setdefault(service, {})
        if account in names or len(names) < _COUNTED_ACCOUNTS:
            names[account] = None
        label = account if account in names else OTHER_ACCOUNTS
        self.metrics.add('account_refused', service=service, account=label)
        self.metrics.add('account_waits_s', wait_s, service=service, account=label)

    def drop_idle(self, now: float) -> None:
        """Remove the counters of accounts that had no refusal for ten minutes."""
        for service, names in list(self.counted.items()):
            for idle in _idle_accounts(names, now):
                names.pop(idle)
                self._remove_counters(service, idle)
            names.update({account: now for account, since in names.items() if since is None})
            if not names:
                self.counted.pop(service)
                self._remove_counters(service, OTHER_ACCOUNTS)

    def _remove_counters(self, service: ServiceName, account: str) -> None:
        for name in _COUNTERS:
            self.metrics.remove(name, service=service, account=account)

    def _put(self, service: ServiceName, share: AccountShare) -> None:
        labels = {'service': service, 'account': share.account, 'rank': str(share.rank)}
        self.shown.setdefault(service, []).append(labels)
        self.metrics.put('account_asked', share.asked_per_s, **labels)
        self.metrics.put('account_used', share.used_per_s, **labels)
        if not math.isinf(share.share_per_s):
            self.metrics.put('account_share', share.share_per_s, **labels)


def _idle_accounts(names: dict[AccountName, float | None], now: float) -> list[AccountName]:
    return [
        account
        for account, since in names.items()
        if since is not None and now >= since + _COUNTED_S
    ]
