"""Protection of backend servers against contents that crash every server that runs them.

An entry decides on its own observations only: the agent on the server's host reports whether
the server crashed during a run. A content therefore costs three servers per entry.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.contents import keyed_content_id
from ringseam.events import Event
from ringseam.lifetimes import BackendId
from ringseam.messages import StageDone
from ringseam.quarantine import Quarantine, TrialState
from ringseam.quarantinemessages import ServerCrash, Suspect

if TYPE_CHECKING:
    from ringseam.config import Stage
    from ringseam.contents import ContentId
    from ringseam.entry.requestcontext import RequestContext
    from ringseam.entry.runs import CallerRequest
    from ringseam.messages import AgentState, StageReply
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class QuarantineGuard:
    """Evidence that this entry collects, and the verdicts based on it."""

    def __init__(self, *, node: Node) -> None:
        """Start without evidence."""
        self.node = node
        self.quarantine = Quarantine()

    def content_id_of(self, request: CallerRequest) -> ContentId:
        """Return a digest of what a caller asks for, independent of its key."""
        scope = (request.account.name, request.pipeline.name, request.content_type)
        return keyed_content_id(scope, request.body, secret=self.node.secret)

    def admit(self, context: RequestContext) -> TrialState:
        """Return whether a request may run now; a trial run in progress may continue."""
        now = self.node.clock.now()
        for content_id in self.quarantine.evaluate(now):
            self.node.events.emit(
                logger,
                Event.content_quarantined,
                content=content_id,
                ends=sorted(self.quarantine.verdicts[content_id].crashes),
            )
        if context.is_trial_run and context.content_id not in self.quarantine.verdicts:
            return TrialState.granted
        suspect = Suspect(content=context.content_id, account=context.account.name)
        trial_state = self.quarantine.request_run(suspect, now, context.remaining_s(now))
        context.is_trial_run = (
            trial_state is TrialState.granted and context.content_id in self.quarantine.trials
        )
        return trial_state

    def record_reply(
        self, context: RequestContext, stage: Stage, agent: AgentState, reply: StageReply
    ) -> None:
        """Record whether the server survived a try or crashed; other replies are no evidence."""
        now = self.node.clock.now()
        if isinstance(reply, StageDone):
            self.quarantine.record_answer(context.content_id, stage.model, now)
        elif getattr(reply, 'server_ended', False):
            suspect = Suspect(content=context.content_id, account=context.account.name)
            crash = ServerCrash(
                instance=BackendId(agent.name),
                service=stage.pool,
                software=stage.model,
                suspects=(suspect,),
            )
            self.quarantine.record_crash(crash, now)
            # Only one run was granted: a retry has to request another trial run.
            self.finish(context)
            context.is_trial_run = False
            self.node.events.emit(
                logger,
                Event.backend_ended,
                backend=agent.name,
                under_way=1,
                contents=[context.content_id],
            )

    def finish(self, context: RequestContext) -> None:
        """Release the trial run of a request that has finished."""
        if context.is_trial_run:
            self.quarantine.finish_trial(context.content_id)
