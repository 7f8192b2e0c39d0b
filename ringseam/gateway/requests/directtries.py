"""The tries of one request at backend servers that a gateway calls directly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ringseam.gateway.requestcontext import Answered, NotRun, Quarantined
from ringseam.gateway.stages.scheduler import INPUT_FETCH_S
from ringseam.quarantine import TrialState
from ringseam.retries import Retry
from ringseam.tries import TryLoop, TryResult

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.gateway.requests.relay import StreamRelay
    from ringseam.gateway.requests.runner import AttemptRunner
    from ringseam.gateway.stages.graph import StageRun


class DirectTries(TryLoop['BackendReport']):
    """Send a request to one backend server after another, with what its stages made."""

    def __init__(
        self,
        *,
        runner: AttemptRunner,
        context: RequestContext,
        stages: StageRun | None,
        relay: StreamRelay,
    ) -> None:
        """Send by ``attempts``; answers are passed on through ``relay``."""
        super().__init__(record=context.tries)
        self.runner = runner
        self.context = context
        self.stages = stages
        self.relay = relay
        #: How the last try went; None when no stages could be had for one.
        self.outcome: TryOutcome | None = NotRun(detail='no server')

    async def choose(self) -> BackendReport | None:
        """Return the next server, once the stages have made its inputs.

        Stages that must run again take seconds, so the server is chosen after them.
        """
        if not await self._has_inputs():
            return None
        if not await self._is_admitted():
            return None
        server = await self.runner.choose(self.context)
        if self.context.deadline <= self.runner.clock.now():
            return None
        return server

    def incarnation_of(self, server: BackendReport) -> str:
        """Return the server's incarnation."""
        return server.instance

    async def send(self, server: BackendReport) -> TryResult:
        """Send once and pass the answer on, if there is one."""
        self.outcome = await self._send_with_inputs(server)
        if isinstance(self.outcome, Answered):
            return TryResult.final
        if isinstance(self.outcome, NotRun):
            return TryResult.refused if self.outcome.refused_by_server else TryResult.unsent
        return TryResult.lost

    def take_retry(self) -> bool:
        """Take a retry from the budget of the service."""
        retry = Retry(service=self.context.service, now=self.runner.clock.now())
        return self.runner.retries.may_retry(retry)

    async def _is_admitted(self) -> bool:
        """Return whether the content may be sent: a verdict may have fallen by now."""
        state = await self.runner.guard.admit(self.context)
        if state is TrialState.quarantined:
            self.outcome = Quarantined()
        elif state is TrialState.busy:
            self.outcome = NotRun(detail='its content is suspected, and another run is under way')
        return state is TrialState.granted

    async def _has_inputs(self) -> bool:
        if self.stages is None or self.stages.has_all_inputs:
            return True
        return await self.stages.run() is None

    async def _send_with_inputs(self, server: BackendReport) -> TryOutcome:
        if self.stages is None:
            return await self.runner.send_once(self.context, server, self.relay)
        self.context.inputs = self.stages.inputs()
        # By then the server has fetched what the stages have made. Where room is
        # not scarce it stays until the first event, in case the server is lost.
        loop = asyncio.get_running_loop()
        release_timer = loop.call_later(INPUT_FETCH_S, self.stages.release_contended)
        try:
            return await self.runner.send_once(self.context, server, self.relay)
        finally:
            release_timer.cancel()
