"""Guarding backend servers from contents that end each server that runs them.

An entry judges by what it has seen itself: the agent beside a server tells whether it
ended under a run. So a content costs three servers an entry.
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
    from ringseam.entry.asks import Ask
    from ringseam.entry.runs import CallerRequest
    from ringseam.messages import AgentState, StageReply
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class ContentGuard:
    """What this entry has seen contents do to servers."""

    def __init__(self, *, node: Node) -> None:
        """Begin without evidence."""
        self.node = node
        self.book = Quarantine()

    def content_of(self, request: CallerRequest) -> ContentId:
        """Return what a caller asks for, whatever its key."""
        address = (request.account.name, request.pipeline.name, request.content_type)
        return keyed_content_id(address, request.body, secret=self.node.secret)

    def admit(self, ask: Ask) -> TrialState:
        """Return whether an ask may run now; a run on trial goes on."""
        now = self.node.clock.now()
        for fallen in self.book.evaluate(now):
            self.node.events.emit(
                logger,
                Event.content_quarantined,
                content=fallen,
                ends=sorted(self.book.verdicts[fallen].crashes),
            )
        if ask.on_trial and ask.content_id not in self.book.verdicts:
            return TrialState.granted
        state = self.book.request_run(ask.content_id, now, ask.left_s(now))
        ask.on_trial = state is TrialState.granted and ask.content_id in self.book.trial_deadlines
        return state

    def note(self, ask: Ask, stage: Stage, agent: AgentState, reply: StageReply) -> None:
        """Hear how a try ended: the server bore it, has ended, or neither is known."""
        now = self.node.clock.now()
        if isinstance(reply, StageDone):
            self.book.record_answer(ask.content_id, stage.model, now)
        elif getattr(reply, 'server_ended', False):
            suspect = Suspect(content=ask.content_id, account=ask.account.name)
            end = ServerCrash(
                instance=BackendId(agent.name),
                service=stage.pool,
                software=stage.model,
                suspects=(suspect,),
            )
            self.book.record_crash(end, now)
            # One run is what was granted: its retry asks anew.
            self.conclude(ask)
            ask.on_trial = False
            self.node.events.emit(
                logger,
                Event.backend_ended,
                backend=agent.name,
                under_way=1,
                contents=[ask.content_id],
            )

    def conclude(self, ask: Ask) -> None:
        """Hear that an ask is over."""
        if ask.on_trial:
            self.book.finish_trial(ask.content_id)
