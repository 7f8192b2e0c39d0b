"""Policies that share a scarce place between client accounts."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.priorities import Precedence
    from ringseam.routes import AccountName, ServiceName


@dataclass(frozen=True, kw_only=True)
class PlaceLoad:
    """Load of a place: a service, or the connections or slots of servers."""

    #: Work done per second, in units of the place; for stage servers, seconds of a server.
    capacity_per_s: float
    #: Time to do all work that is queued or reserved, seconds.
    backlog_s: float


@dataclass(frozen=True, kw_only=True)
class AccountDemand:
    """Work that an account asks a place for."""

    account: AccountName
    precedence: Precedence
    #: Work in units of the place.
    amount: float


class SharePolicy(abc.ABC):
    """Base class of policies that decide how long work of an account waits for its share.

    The state belongs to the process that decides for the place.
    """

    @abc.abstractmethod
    def asked(self, demand: AccountDemand, now: float) -> None:
        """Count work that an account asks for, whether it is admitted or not."""

    @abc.abstractmethod
    def admitted(self, demand: AccountDemand, now: float) -> None:
        """Count admitted work as used by its account."""

    @abc.abstractmethod
    def withdrawn(self, demand: AccountDemand, now: float, *, admitted_at: float) -> None:
        """Take back work that was counted as used at ``admitted_at`` but never ran."""

    @abc.abstractmethod
    def share_wait_s(self, demand: AccountDemand, load: PlaceLoad, now: float) -> float:
        """Return how long an account must wait until its share covers a demand, seconds.

        The result is 0 while the place has room, and for an account below its share.
        """


class UnsharedPolicy(SharePolicy):
    """Serve all accounts alike, whatever they use; the former behaviour."""

    def asked(self, demand: AccountDemand, now: float) -> None:
        """Count nothing."""

    def admitted(self, demand: AccountDemand, now: float) -> None:
        """Count nothing."""

    def withdrawn(self, demand: AccountDemand, now: float, *, admitted_at: float) -> None:
        """Count nothing."""

    def share_wait_s(self, demand: AccountDemand, load: PlaceLoad, now: float) -> float:
        """Return 0."""
        return 0


@dataclass(frozen=True, kw_only=True)
class ServiceShares:
    """The shares of one service, and the load that they depend on."""

    service: ServiceName
    shares: SharePolicy
    load: PlaceLoad
