"""Leader-side service for operators' orders to drain and restore availability zones."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.commands import DrainZone, ZoneDrained
from ringseam.control.documentservice import CONFIRM_TIMEOUT_S
from ringseam.control.replicamessages import NotLeading
from ringseam.events import Event
from ringseam.followmessages import ORDER_ZONE, READ_ZONES, GroupNotReady, ZonesReply

if TYPE_CHECKING:
    from ringseam.control.follow import FollowService
    from ringseam.envelopes import ReceivedMessage
    from ringseam.followmessages import ZoneOrder
    from ringseam.messages import Redirect
    from ringseam.rpc import CallServer
    from ringseam.zones import DrainedZones

logger = logging.getLogger(__name__)


class ZoneDrainService:
    """Commit orders, and acknowledge them once they are in force at the gateways."""

    def __init__(self, *, follow_service: FollowService) -> None:
        """Use the state, leadership and gateways of ``follow_service``."""
        self.follow_service = follow_service

    def serve(self, server: CallServer) -> None:
        """Register the methods that other control hosts and the command line call."""
        server.add(ORDER_ZONE, self.handle_order)
        server.add(READ_ZONES, self.handle_read)

    async def handle_order(self, received: ReceivedMessage) -> ZonesReply:
        """Execute an order forwarded by another control host."""
        return ZonesReply(reply=await self.order(received.body))

    async def handle_read(self, received: ReceivedMessage) -> ZonesReply:
        """Return the drained zones to the command line."""
        return ZonesReply(reply=await self.read())

    async def order(self, order: ZoneOrder) -> DrainedZones | GroupNotReady | Redirect:
        """Return the drained zones once a majority has written the order to disk.

        Also waits, for a limited time, until the order is in force at the gateways. An
        order that changes nothing is committed too: only the log shows that no other
        order came in between.
        """
        follow_service = self.follow_service
        if not follow_service.leadership.can_serve:
            return follow_service.redirect
        if not follow_service.tolerates_losses:
            return GroupNotReady()
        started = follow_service.node.clock.now()
        outcome = await follow_service.submit(DrainZone(zone=order.zone, drained=order.drained))
        if not isinstance(outcome, ZoneDrained):
            return follow_service.redirect
        await follow_service.wait(lambda: self._is_confirmed(outcome.change), CONFIRM_TIMEOUT_S)
        follow_service.node.events.emit(
            logger,
            Event.zone_drained if order.drained else Event.zone_restored,
            zone=order.zone,
            change=outcome.change,
            took_ms=round((follow_service.node.clock.now() - started) * MS_PER_S),
            confirmed=self._is_confirmed(outcome.change),
        )
        return follow_service.state.zones

    async def read(self) -> DrainedZones | Redirect:
        """Return the drained zones, after a quorum has confirmed the leader."""
        follow_service = self.follow_service
        if not follow_service.leadership.can_serve or isinstance(
            await follow_service.confirm_leadership(), NotLeading
        ):
            return follow_service.redirect
        # Lets this loop run the state updates that the actor scheduled before the barrier.
        await asyncio.sleep(0)
        return follow_service.state.zones

    def _is_confirmed(self, change: int) -> bool:
        follow_service = self.follow_service
        return (
            follow_service.state.zones.change >= change
            and follow_service.directory.is_confirmed(zones=change)
        )
