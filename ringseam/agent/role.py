"""The agent process: dispatches in, executions out, reports to control."""

from __future__ import annotations

import asyncio
import contextlib
import http
import logging
from typing import TYPE_CHECKING, Literal

import msgspec
from pykka import ActorDeadError

from ringseam.agent.server import (
    Abandon,
    Announcement,
    Drain,
    Offer,
    Reconfigured,
    ServerActor,
    Tick,
)
from ringseam.errors import UnreachableError
from ringseam.holder import ConfigHolder
from ringseam.ids import split_address
from ringseam.messages import AgentState, DispatchReply, StageNotRun
from ringseam.role import Role
from ringseam.services import AGENT_STATE, DISPATCH, REPORT, TOMBSTONE
from ringseam.util.actors import ask
from ringseam.util.http import HttpReply, HttpRequest, HttpServer, json_reply, problem

if TYPE_CHECKING:
    from ringseam.config import Configuration
    from ringseam.rpc import Received
    from ringseam.settings import Settings

logger = logging.getLogger(__name__)

_ANNOUNCE_THREADS = 2
_ANNOUNCE_BYTES = 64 * 1024
_ANNOUNCE_PATH = '/v1/announce'
_REPORT_TIMEOUT_S = 1.0
_LINGER_S = 1.0


class AnnouncementBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of an announcement."""

    address: str
    pool: str
    kind: Literal['service', 'engine'] = 'service'
    models: tuple[str, ...] = ()
    leaving: bool = False


class AgentRole(Role):
    """Serve one backend server."""

    name = 'agent'

    def __init__(self, *, settings: Settings) -> None:
        """Prepare the agent."""
        super().__init__(settings=settings)
        self.holder = ConfigHolder(node=self.node, client=self.client)
        own = settings.own
        self.actor = ServerActor.start(
            node=self.node,
            queue=own['queue'],
            threads=own['threads'],
            memory_s=own['memory_s'],
            stale_grace_s=settings.seconds('stale_grace_ms'),
            announce_lost_s=settings.seconds('announce_lost_ms'),
        )
        self.http = HttpServer(
            address=split_address(own['http']),
            respond=self.respond,
            threads=_ANNOUNCE_THREADS,
            max_body_bytes=_ANNOUNCE_BYTES,
            name='announce',
        )

    async def open(self) -> None:
        """Serve dispatches and announcements, and report."""
        self.stack.callback(self.actor.stop, block=False)
        self.holder.listeners.append(self._reconfigured)
        self.holder.serve(self.server)
        self.server.add(DISPATCH, self.dispatch)
        self.server.add(TOMBSTONE, self.tombstone)
        self.server.add(AGENT_STATE, self.agent_state)
        await self.server.start()
        self.stack.push_async_callback(self.server.close)
        self.http.start()
        self.stack.callback(self.http.stop)
        self.spawn(self.report_always())

    async def drain(self) -> None:
        """Refuse new work, tell control, wait until nothing runs."""
        idle = asyncio.create_task(ask(self.actor, Drain()))
        await self.report_once()
        await idle
        # Entries that have not heard yet are refused, not cut off.
        await asyncio.sleep(_LINGER_S)

    async def dispatch(self, received: Received) -> DispatchReply:
        """Run a dispatch; when the caller goes away, say so to the actor."""
        dispatch = received.body
        try:
            reply = await ask(self.actor, Offer(dispatch=dispatch, revision=received.revision))
        except asyncio.CancelledError:
            with contextlib.suppress(ActorDeadError):
                self.actor.tell(Abandon(dispatch=dispatch))
            raise
        if isinstance(reply, StageNotRun):
            # The sender's view was wrong: correct it along with the refusal.
            return DispatchReply(reply=reply, state=await ask(self.actor, Tick()))
        return DispatchReply(reply=reply)

    async def tombstone(self, received: Received) -> DispatchReply:
        """Forbid an execution or tell how it stands."""
        return DispatchReply(reply=await ask(self.actor, received.body))

    async def agent_state(self, received: Received) -> AgentState:
        """Return the state now, for an entry that lost the directory."""
        return await ask(self.actor, Tick())

    async def report_always(self) -> None:
        """Report to every control host at the interval of the settings."""
        interval = self.settings.seconds('report_ms')
        while not self.stopping.is_set():
            await self.report_once()
            await asyncio.sleep(interval)

    async def report_once(self) -> None:
        """Report the state to all control hosts at once."""
        state = await ask(self.actor, Tick())
        reports = [
            self.client.call(address, REPORT, state, timeout_s=_REPORT_TIMEOUT_S)
            for address in self.settings.process['control']
        ]
        for outcome in await asyncio.gather(*reports, return_exceptions=True):
            if isinstance(outcome, UnreachableError):
                logger.debug('report not taken: %s', outcome)

    def respond(self, request: HttpRequest) -> HttpReply:
        """Answer the backend server beside this agent."""
        if request.path == '/livez':
            return HttpReply(status=http.HTTPStatus.OK, body=b'ok\n')
        if request.path != _ANNOUNCE_PATH or request.method != 'POST':
            return problem(http.HTTPStatus.NOT_FOUND, f'use POST {_ANNOUNCE_PATH}')
        try:
            body = msgspec.json.decode(request.body, type=AnnouncementBody)
            split_address(body.address)
        except (msgspec.MsgspecError, ValueError) as error:
            return problem(http.HTTPStatus.UNPROCESSABLE_ENTITY, str(error))
        self.actor.tell(Announcement(**msgspec.structs.asdict(body)))
        return json_reply(http.HTTPStatus.OK, {'agent': self.node.name})

    def _reconfigured(self, configuration: Configuration) -> None:
        self.actor.tell(Reconfigured(configuration=configuration))
