"""The tries of a request on backend servers that a gateway calls directly."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ringseam.gateway.requestcontext import Answered, NotRun, Quarantined
from ringseam.gateway.requests.takeover import Takeover, respond_once, result_of
from ringseam.gateway.stages.scheduler import INPUT_FETCH_S
from ringseam.quarantine import TrialState
from ringseam.retries import Retry
from ringseam.routes import RequestKind
from ringseam.tries import TryLoop, TryResult

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.gateway.requests.relay import StreamRelay
    from ringseam.gateway.requests.serverattempt import ServerAttempt
    from ringseam.gateway.stages.graph import StageRun


#: A stream waits this long to be continued in a trial run at most, and asks for it at this
#: interval, both in seconds. Most runs on trial let the next begin in less than a second.
MAX_TRIAL_WAIT_S = 3.0
TRIAL_POLL_S = 0.2


class DirectTries(TryLoop['BackendReport']):
    """Send a request to one backend server after another, with the results of its stages."""

    def __init__(
        self,
        *,
        runner: AttemptRunner,
        context: RequestContext,
        stages: StageRun | None,
        relay: StreamRelay,
    ) -> None:
        """Create a loop that sends through ``runner`` and forwards through ``relay``."""
        super().__init__(record=context.tries)
        self.runner = runner
        self.context = context
        self.stages = stages
        self.relay = relay
        #: Outcome of the last try; NotRun if there was none.
        self.outcome: TryOutcome | None = NotRun(detail='no server')

    async def choose(self) -> BackendReport | None:
        """Return the next server, after the stages have produced the inputs.

        Stages that must run again take seconds, so the server is chosen afterwards.
        """
        if not await self._has_inputs():
            return None
        if not await self._is_admitted():
            return None
        server = await self.runner.choose(self.context)
        # Choosing can take seconds, in which the request may have been quarantined.
        if server is not None and not await self._is_admitted():
            self.runner.withdraw_choice(self.context)
            return None
        if self.context.deadline <= self.runner.clock.now():
            return None
        return server

    def incarnation_of(self, server: BackendReport) -> str:
        """Return the identifier of the server's current run."""
        return server.instance

    async def send(self, server: BackendReport) -> TryResult:
        """Send and forward the response, if there is one; another server may take over."""
        attempt = self.begin(server)
        self.context.server = server
        self.outcome = await self._respond(attempt)
        return TryResult.final if isinstance(self.outcome, Answered) else result_of(self.outcome)

    def begin(self, server: BackendReport) -> ServerAttempt:
        """Count the request as in progress on a server, with the results of its stages."""
        stages = self.stages
        if stages is not None:
            self.context.inputs = stages.inputs()
        attempt = self.runner.begin(self.context, server, self.relay)
        if stages is not None:
            # By then the server has fetched the stage results. Where memory is not scarce,
            # they are kept until the first event, in case the server fails.
            loop = asyncio.get_running_loop()
            timer = loop.call_later(INPUT_FETCH_S, stages.release_contended)
            attempt.stack.callback(timer.cancel)
        return attempt

    def take_retry(self) -> bool:
        """Draw a retry from the service's retry budget."""
        retry = Retry(service=self.context.service, now=self.runner.clock.now())
        return self.runner.retries.may_retry(retry)

    async def _is_admitted(self) -> bool:
        """Return whether the request may be sent; it may have been quarantined meanwhile."""
        state = await self._await_trial()
        if state is TrialState.quarantined:
            self.outcome = Quarantined()
        elif state is TrialState.busy:
            self.context.rejected_for_content = True
            self.outcome = NotRun(
                detail='request is suspected of crashing servers; a trial run is in progress'
            )
        return state is TrialState.granted

    async def _await_trial(self) -> TrialState:
        """Ask whether the request may be sent; a stream that has begun waits for a while.

        Otherwise it would be broken off for good. Others can be refused and come back.
        """
        clock = self.runner.clock
        until = min(self.context.deadline, clock.now() + MAX_TRIAL_WAIT_S)
        state = await self.runner.guard.admit(self.context)
        while (
            self.relay.started and state is TrialState.busy and clock.now() + TRIAL_POLL_S < until
        ):
            await asyncio.sleep(TRIAL_POLL_S)
            state = await self.runner.guard.admit(self.context)
        return state

    async def _has_inputs(self) -> bool:
        if self.stages is None or self.stages.has_all_inputs:
            return True
        return await self.stages.run() is None

    async def _respond(self, attempt: ServerAttempt) -> TryOutcome:
        if self.context.route.kind is RequestKind.stream and self.record.may_repeat:
            return await Takeover(tries=self, attempt=attempt).respond()
        return await respond_once(self.runner, attempt)
