"""The tries of one request at backend servers that a gateway calls directly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ringseam.gateway.stages.scheduler import INPUT_FETCH_S
from ringseam.gateway.work import Answered, NotRun, Quarantined
from ringseam.quarantine import TrialState
from ringseam.retries import Retry
from ringseam.tries import TryLoop, TryResult

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.requests.attempts import Attempts
    from ringseam.gateway.requests.relay import StreamRelay
    from ringseam.gateway.stages.graph import StageRun
    from ringseam.gateway.work import TryOutcome, Work


class DirectTries(TryLoop['BackendReport']):
    """Send a request to one backend server after another, with what its stages made."""

    def __init__(
        self,
        *,
        attempts: Attempts,
        work: Work,
        stages: StageRun | None,
        relay: StreamRelay,
    ) -> None:
        """Send by ``attempts``; answers are passed on through ``relay``."""
        super().__init__(record=work.tries)
        self.attempts = attempts
        self.work = work
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
        server = await self.attempts.choose(self.work)
        if self.work.deadline <= self.attempts.clock.now():
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
            return TryResult.refused if self.outcome.reached else TryResult.unsent
        return TryResult.lost

    def take_retry(self) -> bool:
        """Take a retry from the budget of the service."""
        retry = Retry(service=self.work.service, now=self.attempts.clock.now())
        return self.attempts.retries.may_retry(retry)

    async def _is_admitted(self) -> bool:
        """Return whether the content may be sent: a verdict may have fallen by now."""
        state = await self.attempts.guard.admit(self.work)
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
            return await self.attempts.send_once(self.work, server, self.relay)
        self.work.inputs = self.stages.inputs()
        # By then the server has fetched what the stages have made. Where room is
        # not scarce it stays until the first event, in case the server is lost.
        loop = asyncio.get_running_loop()
        fetched = loop.call_later(INPUT_FETCH_S, self.stages.release_contended)
        try:
            return await self.attempts.send_once(self.work, server, self.relay)
        finally:
            fetched.cancel()
