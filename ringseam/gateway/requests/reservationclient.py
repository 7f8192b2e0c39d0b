"""Reserve stage capacity at the owners of services, for requests of this gateway."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.errors import UnreachableError
from ringseam.gateway.reservations.messages import RESERVE, WITHDRAW, WithdrawRequest
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.reservations.messages import (
        ReserveReply,
        ReserveRequest,
        StageDemand,
        StageForecast,
    )
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.routes import ServiceName

logger = logging.getLogger(__name__)

#: Timeout for a reservation, seconds; a round trip takes milliseconds.
_RESERVE_TIMEOUT_S = 0.05
#: Timeout for a withdrawal, seconds. A reservation expires soon if it is lost.
_WITHDRAW_TIMEOUT_S = 1.0


class ReservationClient:
    """Ask the owners of services, which may include this gateway."""

    def __init__(self, *, pieces: PieceClient) -> None:
        """Find owners as ``pieces`` does."""
        self.client = pieces.client
        self.own = pieces.reservations
        self.ownership = pieces.ownership
        self.tasks = TaskSet()

    async def reserve(self, request: ReserveRequest) -> dict[int, StageForecast]:
        """Reserve capacity for all stages of a request, and return the forecasts by stage.

        The forecasts of owners that don't reply in time are missing.
        """
        by_owner: dict[str, list[StageDemand]] = {}
        for demand in request.demands:
            by_owner.setdefault(self.ownership.owner_of(demand.service), []).append(demand)
        replies = await asyncio.gather(
            *(
                self._reserve_at(owner, _with_demands(request, demands))
                for owner, demands in by_owner.items()
            )
        )
        return {forecast.stage: forecast for found in replies for forecast in found}

    def withdraw(self, attempt_id: str, services: Collection[ServiceName]) -> None:
        """End the reservations of a request in the background."""
        by_owner: dict[str, list[ServiceName]] = {}
        for service in sorted(services):
            by_owner.setdefault(self.ownership.owner_of(service), []).append(service)
        for owner, names in by_owner.items():
            if owner:
                message = WithdrawRequest(attempt_id=attempt_id, services=tuple(names))
                self.tasks.spawn(self._withdraw_at(owner, message))
            else:
                self.own.withdraw(attempt_id, names)

    # -- helpers ------------------------------------------------------------

    async def _reserve_at(self, owner: str, request: ReserveRequest) -> tuple[StageForecast, ...]:
        if not owner:
            return self.own.reserve(request).forecasts
        try:
            received = await self.client.call(owner, RESERVE, request, timeout_s=_RESERVE_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('no forecast of %s: %s', owner, error)
            return ()
        reply: ReserveReply = received.body
        return reply.forecasts

    async def _withdraw_at(self, owner: str, message: WithdrawRequest) -> None:
        try:
            await self.client.call(owner, WITHDRAW, message, timeout_s=_WITHDRAW_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('reservations not withdrawn at %s: %s', owner, error)


def _with_demands(request: ReserveRequest, demands: list[StageDemand]) -> ReserveRequest:
    return type(request)(
        attempt_id=request.attempt_id,
        account=request.account,
        rank=request.rank,
        returned=request.returned,
        demands=tuple(demands),
    )
