"""Reservations at the gateway that forms the batches of a service."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.events import Event
from ringseam.gateway.accounts.policy import PlaceLoad, ServiceShares
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.reservations.messages import ReserveReply, StageForecast
from ringseam.gateway.reservations.work import ServiceLoad, StageKey, StageWork
from ringseam.routes import AccountName

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.reservations.messages import HeldWork, ReserveRequest, StageDemand
    from ringseam.gateway.reservations.work import Forecast
    from ringseam.gateway.stages.scheduler import PieceScheduler
    from ringseam.routes import BatchSpec, ServiceName

logger = logging.getLogger(__name__)

#: Clients that retry after a refusal count on at least this share of the throughput, so that
#: their wait is finite.
_MIN_RETRY_SHARE = 0.02


class OwnerReservations:
    """Keep the reservations of the services that this gateway owns."""

    def __init__(self, *, scheduler: PieceScheduler) -> None:
        """Forecast by the queues of ``scheduler``."""
        self.scheduler = scheduler

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Reserve capacity for the stages of a request, and forecast their waits."""
        for held in request.held:
            self._renew(request.gateway, held)
        forecasts = []
        for demand in request.demands:
            spec = self.scheduler.spec_of(demand.service)
            if spec is not None:
                forecast = self._reserve_stage(request, demand, spec)
                forecasts.append(_encode_forecast(demand.stage, forecast))
        return ReserveReply(forecasts=tuple(forecasts))

    def withdraw(self, request_id: str, services: Collection[ServiceName]) -> None:
        """End the reservations of a request of one gateway, which its scoped ID names."""
        now = self.scheduler.node.clock.now()
        for service in services:
            state = self.scheduler.services.get(service)
            if state is not None:
                state.book.withdraw(request_id, now)

    def expire(self) -> None:
        """End the reservations of pieces that did not arrive."""
        node = self.scheduler.node
        for service, state in self.scheduler.services.items():
            expired = state.book.expire(node.clock.now())
            if expired:
                node.events.emit(
                    logger, Event.reservation_expired, service=service, reservations=expired
                )

    def counts(self) -> dict[tuple[ServiceName, str], int]:
        """Return the number of reservations that ended, by service and how they ended."""
        return {
            (service, end.value): count
            for service, state in self.scheduler.services.items()
            for end, count in state.book.ended.items()
        }

    def share_states(self) -> list[ServiceShares]:
        """Return the shares of all services whose batches are formed here."""
        return [
            ServiceShares(service=service, shares=state.shares, load=self._place_load(service))
            for service, state in self.scheduler.services.items()
        ]

    # -- helpers ------------------------------------------------------------

    def _place_load(self, service: ServiceName) -> PlaceLoad:
        spec = self.scheduler.spec_of(service)
        estimate = self.scheduler.estimate(service)
        server_s = spec.full_call_s / spec.batch if spec else 0
        return PlaceLoad(
            capacity_per_s=estimate.departures_per_s * server_s, backlog_s=estimate.backlog_s
        )

    def _reserve_stage(
        self, request: ReserveRequest, demand: StageDemand, spec: BatchSpec
    ) -> Forecast:
        now = self.scheduler.node.clock.now()
        work = _stage_work(request.gateway, request, demand, spec, now)
        self._count_asked(demand.service, work, now)
        load = self._load(demand.service, work.call_s, spec)
        return self.scheduler.state_of(demand.service).book.reserve(work, load, now)

    def _renew(self, gateway: str, held: HeldWork) -> None:
        now = self.scheduler.node.clock.now()
        for demand in held.demands:
            spec = self.scheduler.spec_of(demand.service)
            if spec is not None:
                work = _stage_work(gateway, held, demand, spec, now)
                book = self.scheduler.state_of(demand.service).book
                if not book.keep(work, now):
                    book.renew(work, self._load(demand.service, work.call_s, spec), now)

    def _count_asked(self, service: ServiceName, work: StageWork, now: float) -> None:
        state = self.scheduler.state_of(service)
        if not work.precedence.returned and not state.book.knows(work.key):
            state.batcher.throughput.asked.add(work.pieces, now)
            state.book.asked.add(work.pieces, now)

    def _load(self, service: ServiceName, own_call_s: float, spec: BatchSpec) -> ServiceLoad:
        """Return the load that pieces with a call of ``own_call_s`` meet."""
        estimate = self.scheduler.estimate(service)
        state = self.scheduler.state_of(service)
        throughput = state.batcher.throughput
        rate = throughput.busy_pieces_per_s(estimate.departures_per_s, spec)
        now = self.scheduler.node.clock.now()
        # The shorter of the two memories tells of a burst when it begins.
        asked_per_s = max(throughput.asked.per_s(now), state.book.asked.per_s(now))
        left = max(rate - asked_per_s, _MIN_RETRY_SHARE * rate)
        return ServiceLoad(
            pieces_per_s=rate,
            retry_pieces_per_s=left,
            until_free_s=estimate.until_free_s,
            added_call_s=max(0, throughput.observed_call_s - own_call_s),
            server_s_per_piece=spec.full_call_s / spec.batch,
            queued=estimate.counts_by_precedence,
        )


def _stage_work(
    gateway: str,
    request: ReserveRequest | HeldWork,
    demand: StageDemand,
    spec: BatchSpec,
    now: float,
) -> StageWork:
    return StageWork(
        key=StageKey(request.attempt_id, demand.stage, gateway),
        pieces=demand.pieces,
        call_s=spec.call_s + spec.piece_s * min(spec.batch, demand.pieces),
        precedence=Precedence(rank=request.rank, returned=request.returned),
        account=AccountName(request.account),
        starts_at=now + demand.starts_ms / MS_PER_S,
        due_at=now + demand.due_ms / MS_PER_S,
    )


def _encode_forecast(stage: int, forecast: Forecast) -> StageForecast:
    return StageForecast(
        stage=stage,
        wait_ms=round(forecast.wait_s * MS_PER_S),
        spread_ms=round(forecast.spread_s * MS_PER_S),
        share_wait_ms=math.ceil(forecast.share_wait_s * MS_PER_S),
    )
