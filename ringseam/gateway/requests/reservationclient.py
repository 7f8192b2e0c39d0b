"""Reserve stage capacity at the owners of services, for requests of this gateway."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.errors import UnreachableError
from ringseam.gateway.reservations.holding import HeldReservations
from ringseam.gateway.reservations.messages import (
    RESERVE,
    WITHDRAW,
    ReserveRequest,
    WithdrawRequest,
    scoped_id,
)
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.reservations.messages import (
        HeldWork,
        ReserveReply,
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
#: Interval of renewals, seconds: a third of the time after which an owner ends a reservation,
#: so that a new owner knows of all reservations soon, and one may be lost.
_RENEWAL_INTERVAL_S = 0.5


class ReservationClient:
    """Ask the owners of services, which may include this gateway."""

    def __init__(self, *, pieces: PieceClient) -> None:
        """Find owners as ``pieces`` does."""
        self.clock = pieces.clock
        self.client = pieces.client
        self.own = pieces.reservations
        self.ownership = pieces.ownership
        self.held = HeldReservations()
        self.tasks = TaskSet()
        self.renewing = False

    async def reserve(
        self, request: ReserveRequest, started: Collection[int]
    ) -> dict[int, StageForecast]:
        """Reserve capacity for all stages of a request, and return the forecasts by stage.

        The forecasts of owners that don't reply in time are missing.

        :param started: the stages whose pieces were sent, as they change.
        """
        self.held.add(request, started, self.clock.now())
        if not self.renewing:
            self.renewing = True
            self.tasks.spawn(self._renew())
        by_owner: dict[str, list[StageDemand]] = {}
        for demand in request.demands:
            by_owner.setdefault(self.ownership.owner_of(demand.service), []).append(demand)
        replies = await asyncio.gather(
            *(
                self._reserve_at(owner, self._with_demands(request, demands))
                for owner, demands in by_owner.items()
            )
        )
        return {forecast.stage: forecast for found in replies for forecast in found}

    def withdraw(
        self,
        attempt_id: str,
        services: Collection[ServiceName],
        started: Collection[int] | None = None,
    ) -> None:
        """End the reservations of a request for some services, in the background.

        :param started: as it was given to :meth:`reserve`. Nothing is withdrawn if the attempt has
            been received again since, which took over the reservations. None: always withdraw.
        """
        if started is not None and self.held.is_replaced(attempt_id, started):
            return
        self.held.drop(attempt_id)
        by_owner: dict[str, list[ServiceName]] = {}
        for service in sorted(services):
            by_owner.setdefault(self.ownership.owner_of(service), []).append(service)
        for owner, names in by_owner.items():
            if owner:
                message = WithdrawRequest(
                    gateway=self.ownership.name, attempt_id=attempt_id, services=tuple(names)
                )
                self.tasks.spawn(self._withdraw_at(owner, message))
            else:
                self.own.withdraw(scoped_id(self.ownership.name, attempt_id), names)

    # -- helpers ------------------------------------------------------------

    async def _renew(self) -> None:
        """Tell the owners what is held while anything is, whoever owns a service by then."""
        try:
            while self.held.requests:
                await asyncio.sleep(_RENEWAL_INTERVAL_S)
                now = self.clock.now()
                for owner, works in self.held.by_owner(self.ownership.owner_of, now).items():
                    self._renew_at(owner, self._renewal(works))
        finally:
            self.renewing = False

    def _renew_at(self, owner: str, renewal: ReserveRequest) -> None:
        if owner:
            self.tasks.spawn(self._reserve_at(owner, renewal))
        else:
            # At once, as a withdrawal, which must not be overtaken by a renewal.
            self.own.reserve(renewal)

    def _renewal(self, works: tuple[HeldWork, ...]) -> ReserveRequest:
        return ReserveRequest(
            gateway=self.ownership.name, held=works, attempt_id='', rank=0, demands=()
        )

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

    def _with_demands(self, request: ReserveRequest, demands: list[StageDemand]) -> ReserveRequest:
        return ReserveRequest(
            gateway=self.ownership.name,
            attempt_id=request.attempt_id,
            account=request.account,
            rank=request.rank,
            returned=request.returned,
            demands=tuple(demands),
        )
