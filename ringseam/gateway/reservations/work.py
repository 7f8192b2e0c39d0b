"""Work that is reserved at the owner of a service, and the load that it meets."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ringseam.gateway.reservations.accuracy import Outcome
from ringseam.gateway.reservations.messages import scoped_id

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ringseam.gateway.accounts.policy import AccountDemand
    from ringseam.gateway.priorities import Precedence
    from ringseam.routes import AccountName

#: A reservation that was not renewed ends this long after its pieces should have arrived, or
#: were due, seconds.
_EXPIRY_S = 1.0
#: A reservation ends if its gateway doesn't renew it for this long, seconds: a gateway that died
#: leaves no capacity reserved, and one lost message costs nothing.
LEASE_S = 1.5


class ReservationEnd(enum.Enum):
    """How a reservation ended."""

    used = 'used'
    withdrawn = 'withdrawn'
    expired = 'expired'


class StageKey(NamedTuple):
    """Identifies the pieces of one stage of a request."""

    attempt_id: str
    stage: int
    #: Name of the gateway that runs the request; empty: unknown.
    gateway: str = ''

    @property
    def request_id(self) -> str:
        """Return the ID of the request among those of all gateways."""
        return scoped_id(self.gateway, self.attempt_id)

    @property
    def unscoped(self) -> StageKey:
        """Return the key without the gateway."""
        return StageKey(self.attempt_id, self.stage)


@dataclass(frozen=True, kw_only=True)
class StageWork:
    """The pieces of one stage of a request that are expected at their owner."""

    key: StageKey
    pieces: int
    #: Duration of a call with these pieces alone, seconds.
    call_s: float = 0
    precedence: Precedence
    account: AccountName
    #: When the pieces should arrive, and when the stage must finish.
    starts_at: float
    due_at: float


@dataclass(frozen=True, kw_only=True)
class ServiceLoad:
    """Queue and servers of a service at one moment."""

    #: Pieces processed per second as observed; 0: there is no server.
    pieces_per_s: float
    #: The same for pieces of clients that retry after a refusal.
    retry_pieces_per_s: float = 0
    #: Time until the next server is free, seconds.
    until_free_s: float = 0
    #: By how much the call that runs the pieces should exceed one with these pieces alone,
    #: seconds.
    added_call_s: float = 0
    #: Time of a server per piece in a full call, seconds: the unit of shares.
    server_s_per_piece: float = 0
    queued: Mapping[Precedence, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Forecast:
    """How much longer reserved pieces should take than a call of their own, seconds."""

    wait_s: float
    spread_s: float = 0
    share_wait_s: float = 0


@dataclass(kw_only=True, eq=False)
class Reservation:
    """Reserved capacity, and the forecast without the correction by recent errors.

    Renewals change it in place; one is only equal to itself.
    """

    work: StageWork
    #: None: another owner gave the forecast.
    wait_s: float | None
    share_wait_s: float = 0
    demand: AccountDemand
    #: When the demand was counted as used.
    reserved_at: float = 0
    #: When the gateway last said that it holds the reservation.
    renewed_at: float = 0
    #: Whether the gateway has said so since it asked for the reservation.
    is_renewed: bool = False

    def renew(self, now: float) -> None:
        """Record that the gateway still holds the reservation."""
        self.renewed_at = now
        self.is_renewed = True

    @property
    def expires_at(self) -> float:
        """Return when the reservation ends if the pieces don't arrive."""
        lease_ends_at = self.renewed_at + LEASE_S
        if self.is_renewed:
            # The pieces may still come, however late the stages before them are.
            return lease_ends_at
        ends_at = min(self.work.due_at, self.work.starts_at) + _EXPIRY_S
        return min(ends_at, lease_ends_at) if self.work.key.gateway else ends_at


@dataclass(frozen=True, kw_only=True)
class ArrivedWork:
    """Pieces that arrived with a reservation and aren't done."""

    gateway: str = ''
    precedence: Precedence
    arrived_at: float
    call_s: float
    #: Expected wait without the correction by recent errors, seconds; None: another owner
    #: gave the forecast.
    wait_s: float | None

    def outcome_at(self, now: float) -> Outcome | None:
        """Return the wait that was expected, and the one until ``now``."""
        if self.wait_s is None:
            return None
        return Outcome(self.wait_s, now - self.arrived_at - self.call_s)
