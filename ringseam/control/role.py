"""Control process: a log replica, the directories, and the calls of operators."""

from __future__ import annotations

import asyncio
import logging
import zlib
from typing import TYPE_CHECKING, Any

from ringseam.clock import MS_PER_S
from ringseam.control.applying import ApplyService, redirect_if_not_leading
from ringseam.control.callserver import ControlWebServer
from ringseam.control.directory import Directory
from ringseam.control.diskwait import DiskWait
from ringseam.control.follow import FollowedState, FollowService
from ringseam.control.founding import GroupDiscovery, target_voters
from ringseam.control.openinterface import OpenInterface
from ringseam.control.peerlinks import PeerLinks
from ringseam.control.peermessages import HELLO, LEAVE, PACKETS, HelloReply, LeaveReply
from ringseam.control.replica import Replica
from ringseam.control.replicaactor import ReplicaActor
from ringseam.control.replicamessages import (
    AnnounceLeave,
    Deliver,
    FindApply,
    GetReplicaStatus,
    Leadership,
    NonMemberSeen,
    NotLeading,
    Propose,
    ReadBarrier,
    ReplicaCallbacks,
    ReplicaSettings,
    ReplicaStatus,
    Tick,
)
from ringseam.controlclient import ControlClient
from ringseam.directorymessages import DirectoryDeltaReply
from ringseam.events import Event
from ringseam.holder import ConfigHolder
from ringseam.ids import split_address
from ringseam.messages import (
    AcceptedFile,
    ApplyReply,
    ConfigFiles,
    ConfigReply,
    ReportReply,
    ShareLease,
    StatusReply,
)
from ringseam.metrics import Metrics
from ringseam.role import Role
from ringseam.services import (
    APPLY,
    COMMAND,
    CONFIG,
    DELTA,
    LEASE,
    READ_CONFIG,
    REPORT,
    STATUS,
    CommandReply,
    LeaseReply,
    ReadConfigReply,
)
from ringseam.shares import LEASE_S, ShareLeases
from ringseam.util.actors import ask
from ringseam.util.ini import split_list

if TYPE_CHECKING:
    from ringseam.control.peermessages import HelloRequest, LeaveRequest
    from ringseam.control.raftlog import Packet
    from ringseam.control.state import StateMachine
    from ringseam.envelopes import ReceivedMessage
    from ringseam.settings import Settings

logger = logging.getLogger(__name__)

_COMMIT_TIMEOUT_S = 5.0
_EXPIRY_INTERVAL_S = 0.2
#: Seconds between two checks whether a stopping host has answered its requests.
_DRAIN_POLL_S = 0.02


class ControlRole(Role):
    """Serve one replica of the control group."""

    name = 'control'

    def __init__(self, *, settings: Settings) -> None:
        """Create the services; ``open`` reads the data folder."""
        super().__init__(settings=settings)
        self.node.adopts_group = False
        own = settings.role_options
        self.holder = ConfigHolder(node=self.node, client=self.client)
        self.directory = Directory(
            epoch=self.node.incarnation,
            expiry_s=settings.seconds('agent_lost_ms'),
            started=self.node.clock.now(),
        )
        self.metrics = Metrics()
        self.links = PeerLinks(client=self.client, metrics=self.metrics, spawn=self.spawn)
        self.apply_service = ApplyService(
            node=self.node,
            holder=self.holder,
            bootstrap_digests=dict(
                piece.partition('=')[::2] for piece in split_list(own['bootstrap_part_digests'])
            ),
            was_accepted=self._was_accepted,
            commit=self._commit,
        )
        self.follow_service = FollowService(
            node=self.node,
            submit=self._commit,
            confirm_leadership=lambda: self._ask_replica(ReadBarrier()),
            target_voters=target_voters(settings.role_options),
            report_interval_s=settings.seconds('backend_report_ms'),
        )
        self.shares: ShareLeases | None = None
        self.actor: Any = None
        self.web: ControlWebServer | None = None

    async def open(self) -> None:
        """Load the replica, start serving, and join or create the group."""
        loop = asyncio.get_running_loop()
        disk = DiskWait(node=self.node, folder=self.settings.role_options['data_dir'])
        await disk.wait(lambda: self.draining)
        self._register_methods()
        await self.server.start()
        self.stack.push_async_callback(self.server.close)

        def send(address: str, packet: Packet) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(self.links.send, address, packet)

        def state_changed(machine: StateMachine) -> None:  # noqa: WPS430
            files = tuple(machine.accepted_files())
            revision = machine.state.revision
            loop.call_soon_threadsafe(self._apply_config, revision, files)
            followed = FollowedState(
                number=machine.state.number,
                document=machine.state.document,
                documents=machine.documents,
                retired=tuple(machine.state.retired),
                quarantined=dict(machine.state.quarantined),
                zones=machine.state.zones,
            )
            loop.call_soon_threadsafe(self.follow_service.update_state, followed)

        def leadership_changed(leadership: Leadership) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(self.follow_service.update_leadership, leadership)

        def failed(detail: str) -> None:  # noqa: WPS430
            loop.call_soon_threadsafe(self._fail, detail)

        own = self.settings.role_options
        replica = Replica(
            node=self.node,
            storage=disk.storage,
            settings=ReplicaSettings(
                election_s=self.settings.seconds('election_ms'),
                heartbeat_s=self.settings.seconds('heartbeat_ms'),
                snapshot_entries=own['snapshot_entries'],
                snapshot_bytes=own['snapshot_bytes'],
                group_commit=own['group_commit'],
                target_voters=target_voters(own),
            ),
            callbacks=ReplicaCallbacks(
                send=send,
                state_changed=state_changed,
                failed=failed,
                leadership_changed=leadership_changed,
                log_changed=lambda total_bytes: self.metrics.put('log_bytes', total_bytes),
            ),
            seed=zlib.crc32(self.node.incarnation.encode()),
        )
        self.actor = ReplicaActor.start(replica=replica)
        self.discovery = GroupDiscovery(
            node=self.node,
            client=self.client,
            actor=self.actor,
            settings=self.settings,
        )
        self.stack.callback(self.actor.stop)
        self.spawn(self._run_ticks())
        self.spawn(self.discovery.run())
        if own['http']:
            await self._open_http_interface()

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings, including new seeds."""
        super().reload(settings)
        self.discovery.add_seeds(settings)

    async def drain(self) -> None:
        """Transfer leadership and the vote to others, and answer the requests in progress.

        Those that wait for a commit here then turn to the next leader.
        """
        if self.actor is None:
            return
        if self.web is not None:
            self.web.closing = True
            self.web.stop_listening()
        await asyncio.gather(self.discovery.leave(), self._finish_requests())

    # -- RPC methods --------------------------------------------------------

    def deliver_packet(self, received: ReceivedMessage) -> None:
        """Pass a peer's messages to the replica."""
        self.actor.tell(Deliver(packet=received.body, address=received.address))

    async def hello(self, received: ReceivedMessage) -> HelloReply:
        """Describe this replica and record the caller's data folder if it may join."""
        request: HelloRequest = received.body
        if self._may_join(request):
            self.actor.tell(NonMemberSeen(disk=request.disk, address=request.address))
        status: ReplicaStatus = await ask(self.actor, GetReplicaStatus())
        return HelloReply(
            disk=status.disk,
            address=self.node.address,
            group=status.group,
            members=tuple(member.address for member in status.members),
        )

    async def leave(self, received: ReceivedMessage) -> LeaveReply:
        """Record that a member's process is about to end."""
        request: LeaveRequest = received.body
        status = await self._ask_replica(AnnounceLeave(disk=request.disk))
        return LeaveReply() if isinstance(status, NotLeading) else LeaveReply(status=status)

    async def command(self, received: ReceivedMessage) -> CommandReply:
        """Commit a ledger or token command."""
        outcome = await self._commit(received.body.command)
        return CommandReply(reply=redirect_if_not_leading(outcome))

    async def first_config(self, received: ReceivedMessage) -> ReadConfigReply:
        """Return the configuration by a linearizable read."""
        outcome = await self._ask_replica(ReadBarrier())
        if isinstance(outcome, NotLeading):
            return ReadConfigReply(reply=redirect_if_not_leading(outcome))
        config = self.holder.changes_since(0)
        return ReadConfigReply(reply=ConfigFiles(revision=config.revision, files=config.files))

    async def report(self, received: ReceivedMessage) -> ReportReply:
        """Record an agent's state in the directory."""
        if self.directory.report(received.body, self.node.clock.now()):
            self.node.events.emit(logger, Event.agent_seen, agent=received.body.name)
        return ReportReply()

    async def delta(self, received: ReceivedMessage) -> DirectoryDeltaReply:
        """Return the changes of the agent directory to an entry process."""
        request = received.body
        self.directory.record_process(request.process, self.node.clock.now())
        return self.directory.delta(
            request.epoch,
            request.since,
            self.node.clock.now(),
            zones=self.follow_service.state.zones,
        )

    async def lease(self, received: ReceivedMessage) -> LeaseReply:
        """Grant shares of account limits after a quorum has confirmed this leader."""
        barrier = await self._ask_replica(ReadBarrier())
        if isinstance(barrier, NotLeading):
            return LeaseReply(reply=redirect_if_not_leading(barrier))
        now = self.node.clock.now()
        if self.shares is None or self.shares.term != barrier.term:
            self.shares = ShareLeases(term=barrier.term, leading_since=now)
        request = received.body
        shares = self.shares.grant(request.entry, request.demands, now)
        return LeaseReply(reply=ShareLease(shares=shares, valid_ms=int(LEASE_S * MS_PER_S)))

    async def status(self, received: ReceivedMessage) -> StatusReply:
        """Return this replica's view of the group and its processes."""
        status: ReplicaStatus = await ask(self.actor, GetReplicaStatus())
        return StatusReply(
            name=self.node.name,
            role=status.role,
            term=status.term,
            leader=status.leader,
            revision=self.node.revision,
            parts={name: accepted.revision for name, accepted in self.holder.current.files.items()},
            members=tuple(
                f'{member.address}/{member.disk}/{"voter" if member.voter else "learner"}'
                for member in status.members
            ),
            processes=tuple(process for _, process in self.directory.processes.values()),
            agents=tuple(entry.state for entry in self.directory.entries.values()),
            commit=status.commit,
            keys=status.keys,
        )

    async def apply(self, received: ReceivedMessage) -> ApplyReply:
        """Validate and commit the file of a configuration part, or change nothing."""
        barrier = await self._ask_replica(ReadBarrier())
        if isinstance(barrier, NotLeading):
            return ApplyReply(reply=redirect_if_not_leading(barrier))
        return ApplyReply(reply=await self.apply_service.apply(received.body))

    def _register_methods(self) -> None:
        self.server.add_client_stream(PACKETS, self.deliver_packet)
        self.server.add(HELLO, self.hello)
        self.server.add(LEAVE, self.leave)
        self.server.add(COMMAND, self.command)
        self.server.add(CONFIG, self.holder.serve_changes)
        self.server.add(READ_CONFIG, self.first_config)
        self.server.add(APPLY, self.apply)
        self.server.add(REPORT, self.report)
        self.server.add(DELTA, self.delta)
        self.server.add(STATUS, self.status)
        self.server.add(LEASE, self.lease)
        self.follow_service.serve(self.server)

    # -- helpers ------------------------------------------------------------

    async def _was_accepted(self, part: str, expect: int, apply_id: str) -> bool:
        return await ask(self.actor, FindApply(part=part, expect=expect, apply_id=apply_id))

    def _may_join(self, request: HelloRequest) -> bool:
        if request.group and request.group != self.node.group:
            return False
        open_group = bool(self.settings.role_options['seeds'])
        return open_group or request.address in self.settings.process['control']

    async def _open_http_interface(self) -> None:
        """Serve backend servers and operators over HTTP, and run the leader's loops."""
        leader_client = ControlClient(client=self.client, addresses=())
        interface = OpenInterface(
            node=self.node,
            follow_service=self.follow_service,
            leader_client=leader_client,
            peer_addresses=self.discovery.peer_addresses,
            metrics=self.metrics,
            document_bytes=self.settings.role_options['document_bytes'],
            zones=frozenset(self.settings.process['zones']),
        )
        self.web = ControlWebServer(interface=interface, capacity=self.settings.host_capacity)
        await self.web.start(*split_address(self.settings.role_options['http']))
        self.stack.push_async_callback(self.web.close)
        self.spawn(self.follow_service.run_expiry())
        self.spawn(self.follow_service.quarantining.run_evaluation())
        await self.open_metrics(self.metrics)

    async def _finish_requests(self) -> None:
        while self.web is not None and self.web.connections:
            self.web.close_idle()
            await asyncio.sleep(_DRAIN_POLL_S)

    # -- background tasks ---------------------------------------------------

    async def _commit(self, command: Any) -> Any:
        return await self._ask_replica(Propose(command=command))

    async def _ask_replica(self, body: Any) -> Any:
        try:
            return await asyncio.wait_for(ask(self.actor, body), _COMMIT_TIMEOUT_S)
        except asyncio.TimeoutError:
            return NotLeading()

    async def _run_ticks(self) -> None:
        interval = self.settings.seconds('heartbeat_ms') / 2
        expiry = self.node.clock.now()
        while True:  # noqa: WPS457 - cancelled with the role
            self.actor.tell(Tick())
            now = self.node.clock.now()
            if now >= expiry:
                expiry = now + _EXPIRY_INTERVAL_S
                for name in self.directory.expire(now):
                    self.node.events.emit(logger, Event.agent_lost, agent=name)
            await asyncio.sleep(interval)

    def _apply_config(self, revision: int, files: tuple[AcceptedFile, ...]) -> None:
        self.holder.apply(ConfigReply(revision=revision, files=files))

    def _fail(self, detail: str) -> None:
        self.failure = detail
        self.stopping.set()
