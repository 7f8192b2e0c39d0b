"""The agent process: dispatches in, executions out, reports to control."""

from __future__ import annotations

import asyncio
import contextlib
import http
import logging
from typing import TYPE_CHECKING, Literal

import msgspec
from pykka import ActorDeadError

from ringseam.agent.caches import CacheFollower
from ringseam.agent.coalesce import Coalescer
from ringseam.agent.orders import OrderGiver, OrderOutcome
from ringseam.agent.server import (
    Abandon,
    Announcement,
    Drain,
    GetServer,
    Offer,
    PrefixesKnown,
    Reconfigured,
    ServerActor,
    Tick,
)
from ringseam.controlclient import ControlClient
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.holder import ConfigHolder
from ringseam.ids import split_address
from ringseam.messages import AgentState, DispatchReply, Frame, StreamEnd
from ringseam.role import Role
from ringseam.services import AGENT_STATE, DISPATCH, DISPATCH_STREAM, REPORT, TOMBSTONE
from ringseam.util.actors import ask
from ringseam.util.http import HttpReply, HttpRequest, HttpServer, json_reply, problem

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

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
        self.control = ControlClient(
            client=self.client,
            addresses=settings.process['control'],
        )
        self.orders: OrderGiver | None = None
        self.cache: CacheFollower | None = None
        self.actor = ServerActor.start(
            node=self.node,
            queue=own['queue'],
            shed=own['shed'],
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
        self.server.add_frames(DISPATCH_STREAM, self.dispatch_stream)
        self.server.add(TOMBSTONE, self.tombstone)
        self.server.add(AGENT_STATE, self.agent_state)
        await self.server.start()
        self.stack.push_async_callback(self.server.close)
        self.http.start()
        self.stack.callback(self.http.stop)
        self.spawn(self.report_always())
        self.spawn(self.reconcile_always())

    async def drain(self) -> None:
        """Refuse new work, tell control, wait until nothing runs."""
        idle = asyncio.create_task(ask(self.actor, Drain()))
        await self.report_once()
        await idle
        # Entries that have not heard yet are refused, not cut off.
        await asyncio.sleep(_LINGER_S)

    async def dispatch(self, received: Received) -> DispatchReply:
        """Run a dispatch; when the caller goes away, say so to the actor."""
        return await self._offer(received, None)

    async def dispatch_stream(
        self,
        received: Received,
        send: Callable[[Frame], Awaitable[None]],
    ) -> None:
        """Run a dispatch whose text goes out while it is generated."""
        coalescer = Coalescer(send=send)
        sending = asyncio.create_task(coalescer.run())
        try:
            reply = await self._offer(received, coalescer.take)
        finally:
            sending.cancel()
        await coalescer.flush()
        await send(Frame(part=StreamEnd(reply=reply)))

    async def tombstone(self, received: Received) -> DispatchReply:
        """Forbid an execution or tell how it stands."""
        return DispatchReply(reply=await ask(self.actor, received.body))

    async def agent_state(self, received: Received) -> AgentState:
        """Return the state now, for an entry that lost the directory."""
        return await ask(self.actor, Tick())

    async def reconcile_always(self) -> None:
        """Order the engine to hold the models that its pool's file names."""
        interval = self.settings.seconds('report_ms')
        while True:  # noqa: WPS457 - ends with the role
            await asyncio.sleep(interval)
            server = await ask(self.actor, GetServer())
            if server is not None and not self.draining:
                await self._reconcile(server)
                await self._follow_cache(server)

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

    async def _offer(
        self,
        received: Received,
        on_text: Callable[[str], None] | None,
    ) -> DispatchReply:
        dispatch = received.body
        offer = Offer(dispatch=dispatch, revision=received.revision, on_text=on_text)
        try:
            return await ask(self.actor, offer)
        except asyncio.CancelledError:
            with contextlib.suppress(ActorDeadError):
                self.actor.tell(Abandon(dispatch=dispatch))
            raise

    async def _reconcile(self, server: Announcement) -> None:
        pool = self.holder.current.pool(server.pool)
        if pool is None or not pool.models or set(pool.models) == set(server.models):
            return
        if self.orders is None or self.orders.server != server.address:
            self.orders = OrderGiver(
                control=self.control,
                clock=self.node.clock,
                server=server.address,
            )
        outcome = await self.orders.load_models(pool.models)
        self.node.events.emit(
            logger,
            Event.order_given if outcome is OrderOutcome.done else Event.order_not_given,
            server=server.address,
            token=self.orders.token,
            models=list(pool.models),
            outcome=outcome.value,
        )

    async def _follow_cache(self, server: Announcement) -> None:
        if server.kind != 'engine':
            return
        if self.cache is None or self.cache.server != server.address:
            self.cache = CacheFollower(server=server.address)
            self.stack.callback(self.cache.close)
        prefixes = await asyncio.to_thread(self.cache.poll)
        self.actor.tell(PrefixesKnown(prefixes=prefixes))

    def _reconfigured(self, configuration: Configuration) -> None:
        self.actor.tell(Reconfigured(configuration=configuration))
