"""Policies that decide whether a request with stages is started."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from ringseam.gateway.requests.admission import FINAL_SERVER_S

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.requests.admission import Admission, Refusal
    from ringseam.gateway.stages.client import PieceClient
    from ringseam.gateway.stages.graph import StageRun


class AdmissionPolicy(abc.ABC):
    """Base class of admission policies for requests with stages."""

    @abc.abstractmethod
    async def admit(self, context: RequestContext, stages: StageRun) -> Refusal | None:
        """Return a refusal if a request should not be started, else None."""

    def ended(self, context: RequestContext) -> None:  # noqa: B027 - optional
        """Release what was kept for a request that is over, however it ended."""


class PredictedDelayPolicy(AdmissionPolicy):
    """Admit what is in time by the waits that the owners of all services report now."""

    def __init__(self, *, clock: Clock, pieces: PieceClient, admission: Admission) -> None:
        """Ask for waits through ``pieces``."""
        self.clock = clock
        self.pieces = pieces
        self.admission = admission

    async def admit(self, context: RequestContext, stages: StageRun) -> Refusal | None:
        """Compare the sum of the reported waits with the request's objective."""
        await self.pieces.refresh_waits(stages.services())
        context.predicted_duration_s = stages.predicted_s() + FINAL_SERVER_S
        context.decided_by = 'waits'
        return self.admission.check(context, context.predicted_duration_s, self.clock.now())
