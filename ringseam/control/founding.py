"""Group discovery: how replicas create their group, or find and join it."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from ringseam.control.leaving import GroupDeparture
from ringseam.control.peermessages import HELLO, HelloReply, HelloRequest
from ringseam.control.raftlog import Member
from ringseam.control.replicamessages import (
    CreateGroup,
    GetReplicaStatus,
    ReplicaStatus,
)
from ringseam.errors import UnreachableError
from ringseam.ids import split_address
from ringseam.util.actors import ask

if TYPE_CHECKING:
    from pykka import ActorRef

    from ringseam.node import Node
    from ringseam.rpc import CallClient
    from ringseam.settings import Settings

logger = logging.getLogger(__name__)

#: Seconds between two rounds of hello calls.
_HELLO_INTERVAL_S = 0.25
#: Timeout of a hello call, seconds.
_HELLO_TIMEOUT_S = 0.8


def target_voters(own: dict[str, Any]) -> int:
    """Return the number of voters that tolerates the configured losses.

    0 means no limit, for a group without seeds.
    """
    return 2 * own['tolerated_losses'] + 1 if own['seeds'] else 0


def cluster_addresses(seeds: tuple[str, ...], ports: tuple[int, ...]) -> tuple[str, ...]:
    """Return the addresses at which the control hosts listen for other processes."""
    return tuple(f'{split_address(seed)[0]}:{ports[0]}' for seed in seeds)


class GroupDiscovery:
    """Call the known replicas until this data folder is a member of a group."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        actor: ActorRef[Any],
        settings: Settings,
    ) -> None:
        """Start with the addresses from the settings."""
        self.node = node
        self.client = client
        self.actor = actor
        own = settings.role_options
        self.initial_addresses = tuple(settings.process['control'])
        if own['seeds']:
            self.initial_addresses = cluster_addresses(own['seeds'], own['cluster_ports'])
        self.may_create_group = own['may_found']
        self.known_addresses = set(self.initial_addresses)
        #: Whether the process is about to end, and so must not join again.
        self.is_leaving = False

    def add_seeds(self, settings: Settings) -> None:
        """Add the addresses of the seeds in reloaded settings."""
        own = settings.role_options
        self.known_addresses.update(cluster_addresses(own['seeds'], own['cluster_ports']))

    def peer_addresses(self) -> list[str]:
        """Return the known addresses of all other replicas."""
        return sorted(self.known_addresses - {self.node.address})

    async def run(self) -> None:
        """Send hello calls while this folder is no member or knows no leader."""
        while True:  # noqa: WPS457 - cancelled when the role ends
            status: ReplicaStatus = await ask(self.actor, GetReplicaStatus())
            self.known_addresses.update(member.address for member in status.members)
            if not (self.is_leaving or self._has_joined(status)):
                await self._exchange_hellos(status)
            await asyncio.sleep(_HELLO_INTERVAL_S)

    async def leave(self) -> None:
        """Leave the group before the process ends, and don't join it again."""
        self.is_leaving = True
        await GroupDeparture(node=self.node, client=self.client, actor=self.actor).run()

    def _has_joined(self, status: ReplicaStatus) -> bool:
        member = any(member.disk == status.disk for member in status.members)
        return bool(status.group) and member and bool(status.leader)

    async def _exchange_hellos(self, status: ReplicaStatus) -> None:
        hello = HelloRequest(
            disk=status.disk,
            address=self.node.address,
            group=status.group,
        )
        addresses = self.peer_addresses()
        replies = await asyncio.gather(*(self._send_hello(peer, hello) for peer in addresses))
        replies_by_address = {
            peer: reply for peer, reply in zip(addresses, replies, strict=True) if reply
        }
        for reply in replies_by_address.values():
            self.known_addresses.update(reply.members)
        if not status.group and self.may_create_group:
            self._create_group_if_ready(status, replies_by_address)

    async def _send_hello(self, address: str, hello: HelloRequest) -> HelloReply | None:
        try:
            reply = await self.client.call(address, HELLO, hello, timeout_s=_HELLO_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('hello call failed: %s', error)
            return None
        return reply.body

    def _create_group_if_ready(
        self, status: ReplicaStatus, replies_by_address: dict[str, HelloReply]
    ) -> None:
        """Create a group if all initial addresses answered and none has a group.

        Only the lowest address creates it. Requiring all answers keeps two replicas
        that lost their folders, out of three, from starting a new, empty group.
        """
        others = [address for address in self.initial_addresses if address != self.node.address]
        if self.node.address != min(self.initial_addresses) or any(
            peer not in replies_by_address for peer in others
        ):
            return
        if any(reply.group for reply in replies_by_address.values()):
            return
        members = [Member(disk=replies_by_address[peer].disk, address=peer) for peer in others]
        members.append(Member(disk=status.disk, address=self.node.address))
        self.actor.tell(CreateGroup(members=tuple(members)))
