"""The entry process: callers' HTTP, the view of agents, pipeline runs."""

from __future__ import annotations

import asyncio
import logging
import zlib
from typing import TYPE_CHECKING

from ringseam.admission import Admission, StageEstimates
from ringseam.controlclient import ControlClient
from ringseam.costs import CostBook
from ringseam.entry.frontend import Frontend
from ringseam.entry.runs import PipelineRuns
from ringseam.entry.state import EntryState
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.holder import ConfigHolder
from ringseam.ids import split_address
from ringseam.limits import AccountLimits
from ringseam.messages import ConfigReply, DeltaReply, DeltaRequest, Empty, ProcessState
from ringseam.metrics import Metrics
from ringseam.places import Places
from ringseam.retries import RetryPolicy
from ringseam.role import Role
from ringseam.routing import AgentView, Router
from ringseam.services import DELTA, FIRST_CONFIG
from ringseam.util.http import HttpServer

if TYPE_CHECKING:
    from ringseam.settings import Settings

logger = logging.getLogger(__name__)

_FIRST_CONFIG_S = 2.0
_POLL_TIMEOUT_S = 1.0
_SPARE_THREADS = 8
#: How many directories an entry follows.
_DIRECTORIES = 2
_LAME_S = 0.5
_IDLE_POLL_S = 0.02


class EntryRole(Role):
    """Serve callers."""

    name = 'entry'

    def __init__(self, *, settings: Settings) -> None:
        """Prepare the entry with the policies of its settings."""
        super().__init__(settings=settings)
        own = settings.own
        seed = zlib.crc32(self.node.incarnation.encode())
        estimates = StageEstimates()
        view = AgentView()
        self.holder = ConfigHolder(node=self.node, client=self.client)
        self.state = EntryState(
            node=self.node,
            client=self.client,
            control=ControlClient(
                client=self.client,
                addresses=settings.process['control'],
                seed=seed,
            ),
            holder=self.holder,
            view=view,
            router=Router.kinds[own['routing']](seed=seed),
            limits=AccountLimits(),
            retries=RetryPolicy.kinds[own['retries']](),
            estimates=estimates,
            admission=Admission.kinds[own['admission']](estimates=estimates, view=view),
            costs=CostBook(),
            metrics=Metrics(),
        )
        self.runs = PipelineRuns(state=self.state)
        self.epochs: dict[str, DeltaReply] = {}

    async def open(self) -> None:
        """Take the first configuration and serve."""
        own = self.settings.own
        self.frontend = Frontend(
            state=self.state,
            runs=self.runs,
            loop=asyncio.get_running_loop(),
            places=Places(total=own['threads'], fair=own['admission'] != 'none'),
        )
        self.http = HttpServer(
            address=split_address(own['http']),
            respond=self.frontend.respond,
            threads=own['threads'] + _SPARE_THREADS,
            max_body_bytes=own['max_body_bytes'],
            backlog=own['backlog'],
            name='callers',
        )
        self.holder.serve(self.server)
        await self.server.start()
        self.stack.push_async_callback(self.server.close)
        await self._first_config()
        await self._poll_once()
        self.http.start()
        self.stack.push_async_callback(asyncio.to_thread, self.http.stop)
        self.spawn(self._poll_always())

    async def drain(self) -> None:
        """Tell the balancer, serve what still comes, wait for what runs."""
        self.frontend.draining = True
        await asyncio.sleep(_LAME_S)
        while self.runs.in_flight:
            await asyncio.sleep(_IDLE_POLL_S)

    async def _first_config(self) -> None:
        """Read the configuration through the quorum; else take the highest.

        Where no quorum answers, nothing newer can be accepted either.
        """
        source = 'quorum'
        try:
            first = await self.state.control.ask_leader(
                FIRST_CONFIG,
                Empty(),
                timeout_s=_FIRST_CONFIG_S,
            )
        except UnreachableError:
            source = 'reachable control hosts'
            await self._pull_all()
        else:
            self.holder.take(ConfigReply(revision=first.revision, files=first.files))
        self.node.events.emit(
            logger,
            Event.first_revision,
            revision=self.node.revision,
            source=source,
        )

    async def _pull_all(self) -> None:
        for address in self.settings.process['control']:
            await self.holder.pull(address)

    async def _poll_always(self) -> None:
        interval = self.settings.seconds('poll_ms')
        while True:  # noqa: WPS457 - ends with the role
            await self._poll_once()
            await asyncio.sleep(interval)

    async def _poll_once(self) -> None:
        """Fetch directory changes from two control hosts that answer."""
        addresses = list(self.settings.process['control'])
        self.state.control.random.shuffle(addresses)
        addresses.sort(key=self._followed)
        polls = [self._poll(address) for address in addresses[:_DIRECTORIES]]
        await asyncio.gather(*polls)
        if self.epochs:
            for address in set(self.state.view.listed) - set(self.epochs):
                self.state.view.drop(address)
        self.frontend.ready = bool(self.node.revision)
        self.state.router.forget(
            {state.incarnation for state in self.state.view.agents.values()},
        )

    def _followed(self, address: str) -> bool:
        return address not in self.epochs

    async def _poll(self, address: str) -> None:
        known = self.epochs.get(address)
        request = DeltaRequest(
            epoch=known.epoch if known else '',
            since=known.upto if known else 0,
            process=ProcessState(
                name=self.node.name,
                role=self.node.role,
                address=self.node.address,
                incarnation=self.node.incarnation,
                revision=self.node.revision,
            ),
        )
        try:
            received = await self.client.call(
                address,
                DELTA,
                request,
                timeout_s=_POLL_TIMEOUT_S,
            )
        except UnreachableError as error:
            # Another directory is followed next time; the view stays.
            logger.debug('directory not reached: %s', error)
            self.epochs.pop(address, None)
            return
        delta: DeltaReply = received.body
        self.state.view.merge(address, delta, self.node.clock.now())
        self.epochs[address] = delta
        # Where the directories differ, the smaller share is the safe one.
        self.state.limits.entries = max(known.entries for known in self.epochs.values())
