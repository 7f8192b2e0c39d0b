"""A control host's departure from its group before its process ends."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from ringseam.control.membership import LeaveStatus
from ringseam.control.peermessages import LEAVE, LeaveReply, LeaveRequest
from ringseam.control.replicamessages import (
    GetReplicaStatus,
    ReplicaStatus,
    TransferLeadership,
)
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.util.actors import ask

if TYPE_CHECKING:
    from pykka import ActorRef

    from ringseam.node import Node
    from ringseam.rpc import CallClient

logger = logging.getLogger(__name__)

#: Interval between two announcements to the leader, seconds.
_ANNOUNCE_INTERVAL_S = 0.1
#: Timeout of an announcement, seconds.
_ANNOUNCE_TIMEOUT_S = 0.8
#: Time without an answer of a leader after which the process ends without one, seconds: enough
#: for an election or for a transfer of leadership.
_LEADERLESS_S = 2.0


class GroupDeparture:
    """Hand over leadership, and announce to the leader that this process ends.

    The announcement is repeated until a successor has this replica's vote. Without it the group
    counts the vote of a host that is gone until the host has been silent for long enough, and
    tolerates one loss less meanwhile.
    """

    def __init__(self, *, node: Node, client: CallClient, actor: ActorRef[Any]) -> None:
        """Leave the group of the replica that ``actor`` runs."""
        self.node = node
        self.client = client
        self.actor = actor

    async def run(self) -> None:
        """Return once this replica needs no vote, or none can take it over."""
        answered_at = self.node.clock.now()
        while self.node.clock.now() - answered_at < _LEADERLESS_S:
            answer = await self._announce()
            if answer is not None:
                answered_at = self.node.clock.now()
            if answer not in {None, LeaveStatus.pending}:
                self.node.events.emit(logger, Event.group_left, outcome=answer.value)
                return
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _announce(self) -> LeaveStatus | None:
        """Return what becomes of the vote; None while no leader has answered."""
        status: ReplicaStatus = await ask(self.actor, GetReplicaStatus())
        if not status.group:
            return LeaveStatus.released
        if status.leader != self.node.address:
            return await self._ask_leader(status)
        # Another host that leaves may have made this one the leader, so this is checked each time.
        has_peers = await ask(self.actor, TransferLeadership())
        return None if has_peers else LeaveStatus.no_successor

    async def _ask_leader(self, status: ReplicaStatus) -> LeaveStatus | None:
        if not status.leader:
            return None
        request = LeaveRequest(disk=status.disk)
        try:
            reply = await self.client.call(
                status.leader, LEAVE, request, timeout_s=_ANNOUNCE_TIMEOUT_S
            )
        except UnreachableError as error:
            logger.debug('leader not reached: %s', error)
            return None
        body: LeaveReply = reply.body
        return body.status
