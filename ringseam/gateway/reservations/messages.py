"""Messages by which a gateway reserves capacity at the owners of services."""

from __future__ import annotations

from ringseam.messages import Empty, Message
from ringseam.routes import ServiceName
from ringseam.rpc import Method


class StageDemand(Message, frozen=True, kw_only=True, omit_defaults=True):
    """The pieces of one stage of a request; times are milliseconds from now."""

    stage: int
    service: ServiceName
    pieces: int
    #: When the pieces are expected to arrive at the owner.
    starts_ms: int
    #: When the stage must finish for the request to meet its objective.
    due_ms: int


class HeldWork(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Stages of an admitted request that are reserved and whose pieces have not been sent."""

    attempt_id: str
    account: str = ''
    rank: int
    returned: bool = False
    demands: tuple[StageDemand, ...]


class ReserveRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask the owner of services to reserve capacity for a request that is being admitted.

    The owner reserves at once, and replaces what was reserved for the same stage; a gateway
    that doesn't admit the request withdraws. A reservation ends when the pieces arrive, and
    otherwise by itself soon after it is due, or if its gateway doesn't renew it. A request
    without demands only renews.
    """

    #: Name of the gateway that holds the reservations; empty: they need no renewal.
    gateway: str = ''
    #: What the gateway holds for other requests at the same owner.
    held: tuple[HeldWork, ...] = ()
    attempt_id: str
    account: str = ''
    rank: int
    returned: bool = False
    demands: tuple[StageDemand, ...]


class StageForecast(Message, frozen=True, kw_only=True, omit_defaults=True):
    """How much longer a stage takes than a call with its pieces alone."""

    stage: int
    #: Expected wait of the pieces after their arrival, and what a fuller call adds.
    wait_ms: int = 0
    #: Error that the owner's forecasts have exceeded in few recent cases.
    spread_ms: int = 0
    #: Added wait because the account has used more than its share.
    share_wait_ms: int = 0


class ReserveReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A forecast for each demand whose service the receiver owns."""

    forecasts: tuple[StageForecast, ...] = ()


class WithdrawRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Give up the reservations of a request of one gateway."""

    #: Name of the gateway that holds the reservations; empty: they were made without a name.
    gateway: str = ''
    attempt_id: str
    services: tuple[ServiceName, ...] = ()


def scoped_id(gateway: str, attempt_id: str) -> str:
    """Return the ID of a request at one gateway: clients may send an attempt to several."""
    return f'{gateway}/{attempt_id}' if gateway else attempt_id


RESERVE = Method('/ringseam.Gateway/Reserve', ReserveRequest, ReserveReply, multiplexed=True)
WITHDRAW = Method('/ringseam.Gateway/Withdraw', WithdrawRequest, Empty, multiplexed=True)
