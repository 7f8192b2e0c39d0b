"""Policies that decide whether a request with stages is started."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from ringseam.gateway.requests.admission import FINAL_SERVER_S

if TYPE_CHECKING:
    from collections.abc import Callable

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


class SwitchedAdmission(AdmissionPolicy):
    """Decide with reservations while these are in force, else by predicted delays."""

    def __init__(
        self, *, is_on: Callable[[], bool], policy: AdmissionPolicy, former: AdmissionPolicy
    ) -> None:
        """Use ``policy`` while ``is_on`` returns true."""
        self.is_on = is_on
        self.policy = policy
        self.former = former

    async def admit(self, context: RequestContext, stages: StageRun) -> Refusal | None:
        """Ask the policy in force."""
        policy = self.policy if self.is_on() else self.former
        return await policy.admit(context, stages)

    def ended(self, context: RequestContext) -> None:
        """Tell both: a request may end under another policy than it was admitted by."""
        self.policy.ended(context)
        self.former.ended(context)
