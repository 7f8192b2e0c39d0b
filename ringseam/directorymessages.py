"""Messages by which entries fetch changes of the agent directory from control hosts."""

from __future__ import annotations

from ringseam.messages import AgentState, Message, ProcessState
from ringseam.zones import DrainedZones


class DirectoryDeltaRequest(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Request the changes after number ``since`` of the directory with id ``epoch``."""

    epoch: str
    since: int
    process: ProcessState


class DirectoryDeltaReply(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Directory changes up to number ``upto``; if ``whole``, they replace the entry's view."""

    epoch: str
    upto: int
    whole: bool
    agents: tuple[AgentState, ...] = ()
    gone: tuple[str, ...] = ()
    #: Whether this directory has warmed up: it has run long enough to have a report from
    #: every agent. Until then, a missing agent may still be running.
    warm: bool = True
    #: Availability zones whose agents get no new requests.
    zones: DrainedZones = DrainedZones()
