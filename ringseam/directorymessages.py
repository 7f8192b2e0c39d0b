"""Changes of the directory of agents, as entries ask control hosts for them."""

from __future__ import annotations

from ringseam.messages import AgentState, Message, ProcessState
from ringseam.zones import DrainedZones


class DirectoryDeltaRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Ask for directory changes after ``since`` of directory ``epoch``."""

    epoch: str
    since: int
    process: ProcessState


class DirectoryDeltaReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Directory changes up to ``upto``; ``whole`` replaces the view."""

    epoch: str
    upto: int
    whole: bool
    agents: tuple[AgentState, ...] = ()
    gone: tuple[str, ...] = ()
    #: Whether this directory is up long enough to have heard every agent;
    #: before that, a missing agent means nothing.
    warm: bool = True
    #: Availability zones whose agents get nothing new.
    zones: DrainedZones = DrainedZones()
