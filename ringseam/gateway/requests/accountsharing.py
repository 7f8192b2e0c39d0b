"""Puts shares of client accounts in force for services without stages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.features import Feature
from ringseam.gateway.accounts.reports import ShareReports
from ringseam.gateway.requests.plainshares import PlainShares

if TYPE_CHECKING:
    from ringseam.backends import BackendId
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.metrics import Metrics


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
        self.plain_shares = PlainShares(
            health=attempts.health,
            reports=ShareReports(metrics=metrics),
            gateways=lambda: len(self.follower.gateways),
        )
        if Feature.account_shares in features:
            attempts.plain_shares = self.plain_shares

    def clean_up(self, known: set[BackendId]) -> None:
        """Drop the state of servers that are gone, and publish all shares."""
        self.plain_shares.keep_only(known)
        self.plain_shares.publish(self.follower, self.clock.now())
