"""Reservations that a gateway holds at the owners of services."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ringseam.clock import MS_PER_S
from ringseam.gateway.reservations.messages import HeldWork

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.gateway.reservations.messages import ReserveRequest, StageDemand
    from ringseam.routes import ServiceName


@dataclass(frozen=True, kw_only=True)
class HeldStage:
    """A reserved stage, and when its times are counted from."""

    demand: StageDemand
    asked_at: float

    def demand_at(self, now: float) -> StageDemand:
        """Return the demand with times from ``now``; overdue pieces may come at any moment."""
        passed_ms = round((now - self.asked_at) * MS_PER_S)
        return msgspec.structs.replace(
            self.demand,
            starts_ms=max(0, self.demand.starts_ms - passed_ms),
            due_ms=self.demand.due_ms - passed_ms,
        )


@dataclass(kw_only=True)
class HeldRequest:
    """The reservations of one request."""

    request: ReserveRequest
    #: Stages whose pieces were sent; changes while the request runs.
    started: Collection[int]
    stages: dict[int, HeldStage] = field(default_factory=dict)

    def waiting(self, now: float) -> list[StageDemand]:
        """Return the demands of stages whose pieces were not sent."""
        return [
            stage.demand_at(now)
            for number, stage in self.stages.items()
            if number not in self.started
        ]


@dataclass(kw_only=True)
class HeldReservations:
    """All reservations of a gateway, to be told to the present owner of each service."""

    requests: dict[str, HeldRequest] = field(default_factory=dict)

    def add(self, request: ReserveRequest, started: Collection[int], now: float) -> None:
        """Record what is asked for; a stage that is asked for again replaces the earlier one.

        An attempt that is received again, which ``started`` shows, replaces the earlier run: owners
        keep one reservation for both.
        """
        held = self.requests.get(request.attempt_id)
        if held is None or held.started is not started:
            held = HeldRequest(request=request, started=started)
            self.requests[request.attempt_id] = held
        for demand in request.demands:
            held.stages[demand.stage] = HeldStage(demand=demand, asked_at=now)

    def is_replaced(self, attempt_id: str, started: Collection[int]) -> bool:
        """Return whether another run of an attempt than that of ``started`` is held."""
        held = self.requests.get(attempt_id)
        return held is not None and held.started is not started

    def drop(self, attempt_id: str) -> None:
        """Forget a request that is over."""
        self.requests.pop(attempt_id, None)

    def by_owner(
        self, owner_of: Callable[[ServiceName], str], now: float
    ) -> dict[str, tuple[HeldWork, ...]]:
        """Return what is held at each owner."""
        found: dict[str, list[HeldWork]] = {}
        for attempt_id, held in self.requests.items():
            demands: dict[str, list[StageDemand]] = {}
            for demand in held.waiting(now):
                demands.setdefault(owner_of(demand.service), []).append(demand)
            for owner, of_owner in demands.items():
                work = HeldWork(
                    attempt_id=attempt_id,
                    account=held.request.account,
                    rank=held.request.rank,
                    returned=held.request.returned,
                    demands=tuple(of_owner),
                )
                found.setdefault(owner, []).append(work)
        return {address: tuple(works) for address, works in found.items()}
