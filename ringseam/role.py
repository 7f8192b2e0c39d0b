"""What all roles share: start, planned stop and clean-up."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import logging
import signal
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.rpc import CallClient, CallServer

if TYPE_CHECKING:
    from ringseam.settings import Settings

logger = logging.getLogger(__name__)


class Role(abc.ABC):
    """One process of the system; roles register under their ``name``."""

    kinds: dict[str, type[Role]] = {}  # noqa: RUF012, WPS407 - the registry
    name = ''

    def __init_subclass__(cls) -> None:
        """Register the subclass."""
        super().__init_subclass__()
        cls.kinds[cls.name] = cls

    def __init__(self, *, settings: Settings) -> None:
        """Prepare the role; nothing is opened yet."""
        self.settings = settings
        self.node = settings.node()
        self.server = CallServer(node=self.node)
        self.client = CallClient(node=self.node)
        self.stack = contextlib.AsyncExitStack()
        self.stopping = asyncio.Event()
        self.draining = False
        #: Why the process can't go on, when it can't.
        self.failure = ''

    async def start(self) -> None:
        """Open everything and serve."""
        self.stack.callback(self.client.close)
        await self.open()
        self.node.events.emit(logger, Event.process_started, address=self.node.address)

    @abc.abstractmethod
    async def open(self) -> None:
        """Open what this role needs, each on the exit stack."""

    @abc.abstractmethod
    async def drain(self) -> None:
        """Take nothing new and return when nothing is in flight."""

    async def stop(self) -> None:
        """Stop as planned: drain, bounded by the settings, then close."""
        if self.draining:
            return
        self.draining = True
        self.node.events.emit(logger, Event.drain_started)
        limit = self.settings.process['drain_ms'] / 1000
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.drain(), limit)
        self.stopping.set()

    async def close(self) -> None:
        """Close all that was opened, last first."""
        await self.stack.aclose()
        self.node.events.emit(logger, Event.process_stopped)

    async def serve(self) -> None:
        """Run until SIGTERM or SIGINT; a second signal changes nothing."""
        loop = asyncio.get_running_loop()
        stops: set[asyncio.Task[None]] = set()

        def begin_stop() -> None:  # noqa: WPS430
            stops.add(loop.create_task(self.stop()))

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, begin_stop)
        try:
            await self.start()
            await self.stopping.wait()
        finally:
            await self.close()

    def spawn(self, coroutine: asyncio._CoroutineLike[None]) -> None:
        """Run a background task that ends with the role."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.stack.push_async_callback(_cancel, task)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
