"""Puts shares of client accounts in force for services without stages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.features import Feature
from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.reports import SHOWN_ACCOUNTS, ShareReports
from ringseam.gateway.requests.plainshares import PlainShares

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.accounts.policy import PlaceLoad, SharePolicy
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.metrics import Metrics
    from ringseam.routes import ServiceName


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
        self.follower = attempts.follower
        self.reports = ShareReports(metrics=metrics)
        self.plain_shares = PlainShares(
            health=attempts.health,
            reports=self.reports,
            gateways=lambda: len(self.follower.gateways),
        )
        if Feature.account_shares in features:
            attempts.plain_shares = self.plain_shares

    def publish_stage(self, service: ServiceName, shares: SharePolicy, load: PlaceLoad) -> None:
        """Publish the shares of a stage service that this gateway decides for, if it has any."""
        if isinstance(shares, MaxMinShares):
            found = shares.shares(load, SHOWN_ACCOUNTS, self.clock.now())
            self.reports.publish(service, found)

    def clean_up(self, known: set[BackendId]) -> None:
        """Drop the state of servers that are gone, and publish all shares."""
        self.plain_shares.keep_only(known)
        self.plain_shares.publish(self.follower, self.clock.now())
