"""Admission of requests with reservations for all of their stages."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.gateway.requests.admission import FINAL_SERVER_S, Refusal
from ringseam.gateway.requests.admissionpolicy import AdmissionPolicy
from ringseam.gateway.requests.pathforecast import PathForecast
from ringseam.gateway.reservations.messages import ReserveRequest, StageDemand

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.clock import Clock
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.requests.admission import Admission
    from ringseam.gateway.requests.reservationclient import ReservationClient
    from ringseam.gateway.reservations.messages import StageForecast
    from ringseam.gateway.stages.graph import StageRun
    from ringseam.routes import ServiceName

#: A stage that starts this much later than its owner was told is asked about again, seconds: a
#: part of a call, which is the least by which waits change.
_MOVED_S = 0.1
#: A forecast stands for an owner that doesn't reply for this long, seconds: a few calls.
_KNOWN_WAIT_TTL_S = 1.5
#: Weight of the newest response in the moving average of the time at the final server.
_FINAL_SERVER_WEIGHT = 0.3


class Ground(enum.Enum):
    """What decided whether a request was admitted."""

    #: Expected waits and durations, with or without the spread of recent errors.
    forecast = 'forecast'
    spread = 'spread'
    #: The wait for the account's share.
    share = 'share'
    #: The due time of a stage, after which its queue would give up the pieces.
    stage = 'stage'
    #: No owner replied, so the last reports of the owners decided.
    reports = 'reports'


class ReservedAdmission(AdmissionPolicy):
    """Admit what is in time with the forecasts of all owners, and reserve its capacity."""

    def __init__(
        self, *, clock: Clock, reservations: ReservationClient, admission: Admission
    ) -> None:
        """Reserve through ``reservations``."""
        self.clock = clock
        self.reservations = reservations
        self.admission = admission
        #: Stage runs of admitted requests that are not over, by the identity of their context:
        #: clients may send an attempt twice.
        self.running: dict[int, StageRun] = {}
        #: Moving average of the time from the end of the stages to the first event, by route.
        self.final_server_s: dict[str, float] = {}
        #: The last forecast wait for each service, seconds, and when it was given.
        self.known_waits: dict[ServiceName, tuple[float, float]] = {}

    async def admit(self, context: RequestContext, stages: StageRun) -> Refusal | None:
        """Reserve capacity on the whole path, and withdraw it if the request is refused."""
        is_admitted = False
        self.running[id(context)] = stages
        try:
            path = await self._reserve(context, stages)
            refusal = self._decide(context, path) or self._check_stages(context, stages, path)
            is_admitted = refusal is None
        finally:
            # Also after an error or a cancellation, which would leave the capacity reserved.
            if not is_admitted:
                self.ended(context)
        return refusal

    def ended(self, context: RequestContext) -> None:
        """Withdraw the reservations of stages that are no longer run."""
        stages = self.running.pop(id(context), None)
        if stages is None:
            return
        if context.first_event_at and context.stages_duration_s:
            self._record_final_server(context)
        self.reservations.withdraw(
            context.request.attempt_id, stages.unstarted_services(), stages.started
        )

    # -- helpers ------------------------------------------------------------

    def _record_final_server(self, context: RequestContext) -> None:
        took_s = context.first_event_at - context.arrived - context.stages_duration_s
        average_s = self.final_server_s.get(context.route.name, FINAL_SERVER_S)
        average_s += _FINAL_SERVER_WEIGHT * (took_s - average_s)
        self.final_server_s[context.route.name] = average_s

    async def _reserve(self, context: RequestContext, stages: StageRun) -> PathForecast:
        path = PathForecast(plan=stages.plan, default_wait_s=stages.wait_s)
        starts = path.starts()
        path.forecasts = await self._ask(context, stages, starts, starts)
        later = path.starts()
        moved = [
            number for number in path.forecasts if abs(later[number] - starts[number]) > _MOVED_S
        ]
        if moved:
            path.forecasts.update(await self._ask(context, stages, later, moved))
        path.default_wait_s = lambda number: self._known_wait_s(stages, number)
        now = self.clock.now()
        for number, forecast in path.forecasts.items():
            service = stages.stages[number].service
            self.known_waits[service] = (forecast.wait_ms / MS_PER_S, now)
        return path

    def _known_wait_s(self, stages: StageRun, number: int) -> float:
        """Return the wait for a stage by the last forecast of its owner, or by its reports.

        An owner that is overloaded doesn't reply in time; then the waits are longest.
        """
        wait_s, at = self.known_waits.get(stages.stages[number].service, (0, float('-inf')))
        if self.clock.now() - at > _KNOWN_WAIT_TTL_S:
            return stages.wait_s(number)
        return max(wait_s, stages.wait_s(number))

    async def _ask(
        self,
        context: RequestContext,
        stages: StageRun,
        starts: dict[int, float],
        numbers: Collection[int],
    ) -> dict[int, StageForecast]:
        now = self.clock.now()
        precedence = context.precedence
        return await self.reservations.reserve(
            ReserveRequest(
                attempt_id=context.request.attempt_id,
                account=context.suspect.account,
                rank=precedence.rank,
                returned=precedence.returned,
                demands=tuple(
                    StageDemand(
                        stage=number,
                        service=stages.stages[number].service,
                        pieces=stages.plan.piece_count(number),
                        starts_ms=round(starts[number] * MS_PER_S),
                        due_ms=round((stages.due_at(number) - now) * MS_PER_S),
                    )
                    for number in numbers
                ),
            ),
            stages.started,
        )

    def _decide(self, context: RequestContext, path: PathForecast) -> Refusal | None:
        """Compare the forecast with the objective, or for a retry with its time limit.

        A retry is admitted if it is expected in time: a second refusal leaves its client
        without a response, so the spread is not added.
        """
        now = self.clock.now()
        expected_s = path.end_s + self.final_server_s.get(context.route.name, FINAL_SERVER_S)
        spread_s = 0 if context.precedence.returned else path.spread_s
        context.predicted_duration_s = expected_s
        context.predicted_spread_s = spread_s
        grounds = (
            (Ground.forecast if path.forecasts else Ground.reports, expected_s),
            (Ground.spread, expected_s + spread_s),
            (Ground.share, expected_s + spread_s + path.share_wait_s),
        )
        context.decided_by = grounds[0][0].value
        for ground, predicted_s in grounds:
            refusal = self.admission.check(context, predicted_s, now, min_delay_s=path.share_wait_s)
            if refusal is not None:
                context.decided_by = ground.value
                return _refusal_by_share(refusal, path) if ground is Ground.share else refusal
        return None

    def _check_stages(
        self, context: RequestContext, stages: StageRun, path: PathForecast
    ) -> Refusal | None:
        """Refuse now what the queue of a stage would give up as late after it has waited.

        A retry that is expected within its time limit is not refused again: the due times of
        its stages leave room for the usual queues after them, which its forecast has instead.
        """
        if context.precedence.returned:
            return None
        now = self.clock.now()
        late_s = max(
            (
                now + end_s - stages.due_at(number)
                for number in path.forecasts
                if (end_s := path.latest_end_s(number)) is not None
            ),
            default=0,
        )
        if late_s <= 0:
            return None
        context.decided_by = Ground.stage.value
        return Refusal(
            predicted_s=context.predicted_duration_s,
            retry_after_s=self.admission.retry_after_s(late_s, context.deadline - now),
        )


def _refusal_by_share(refusal: Refusal, path: PathForecast) -> Refusal:
    """Name the service where the account waits longest for its share."""
    number = max(path.forecasts, key=lambda stage: path.forecasts[stage].share_wait_ms)
    return dataclasses.replace(
        refusal,
        scarce_service=path.plan.stages[number].service,
        share_wait_s=path.share_wait_s,
    )
