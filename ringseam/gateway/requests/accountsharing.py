"""Puts shares of client accounts in force at a gateway, and reports them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.features import Feature
from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.reports import SHOWN_ACCOUNTS, ShareReports
from ringseam.gateway.accounts.succession import AccountChange, change_between
from ringseam.gateway.requests.plainshares import PlainShares
from ringseam.routes import AccountName

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.accounts.policy import ServiceShares
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.requests.admission import Refusal
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.metrics import Metrics
    from ringseam.routes import Account


class AccountSharing:
    """The shares that this gateway decides by itself; none without the feature."""

    def __init__(
        self,
        *,
        features: frozenset[Feature],
        attempts: AttemptRunner,
        metrics: Metrics,
    ) -> None:
        """Let ``attempts`` share between accounts if the features ask for it."""
        self.clock = attempts.clock
        self.responder = attempts.responder
        self.follower = attempts.follower
        self.reports = ShareReports(metrics=metrics)
        self.plain_shares = PlainShares(
            health=attempts.health,
            reports=self.reports,
            gateways=lambda: len(self.follower.gateways),
        )
        #: The accounts that shares were last adjusted to, and what changed then.
        self.accounts: tuple[Account, ...] = ()
        self.change = AccountChange()
        self.in_force = Feature.account_shares in features
        if self.in_force:
            attempts.plain_shares = self.plain_shares

    def publish_stage(self, owned: ServiceShares) -> None:
        """Publish the shares of a stage service that this gateway decides for, if it has any."""
        if isinstance(owned.shares, MaxMinShares):
            now = self.clock.now()
            self.change.apply(owned.shares, now)
            owned.shares.drop_idle(now)
            found = owned.shares.shares(owned.load, SHOWN_ACCOUNTS, now)
            self.reports.publish(owned.service, found)

    def record_refusal(self, context: RequestContext, refusal: Refusal) -> None:
        """Log and count a request that was refused because its account is above its share."""
        if not refusal.scarce_service:
            return
        account = AccountName(context.suspect.account)
        self.reports.refused(refusal.scarce_service, account, refusal.share_wait_s)
        self.responder.log(
            context,
            Event.request_over_share,
            account=account,
            service=refusal.scarce_service,
            wait_ms=round(refusal.share_wait_s * MS_PER_S),
        )

    def clean_up(self, known: set[BackendId]) -> None:
        """Drop the state of servers and accounts that are gone, and publish all shares.

        The shares of owned stage services are adjusted when they are published next.
        """
        now = self.clock.now()
        self._adjust_to_accounts(now)
        self.plain_shares.keep_only(known)
        self.plain_shares.drop_idle(now)
        self.reports.drop_idle(now)
        self.plain_shares.publish(self.follower, now)

    def _adjust_to_accounts(self, now: float) -> None:
        if not self.in_force:
            # Comparing the accounts of large route tables takes long.
            return
        accounts = self.follower.table.accounts
        self.change = AccountChange()
        if accounts is not self.accounts:
            self.change = change_between(self.accounts, accounts)
            self.accounts = accounts
            self.plain_shares.accounts_changed(self.change, now)
