"""Simulated engines with chunked prefill between the decoding steps of their streams."""

from __future__ import annotations

import asyncio
import collections
import itertools
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ringseam.gateway.requestcontext import Answered, LossCause, Lost, NotRun
from ringseam.model.hosts import ModelHost
from ringseam.model.notices import ModelNotices
from ringseam.model.stageservers import create_set_event, network_latency_s
from ringseam.web.client import ChannelError, RefusedError, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendReport
    from ringseam.calls import ServerLoad
    from ringseam.clock import Clock
    from ringseam.gateway.engines.silence import SilenceDetector
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.model.pattern import ServiceLoad
    from ringseam.model.stageservers import ResultStore

_PER_MILLION = 1e-6
#: Repeated prefill of a part counts as waste only within this time of its last use, seconds.
_REPEAT_WINDOW_S = 9.3
_CONFLICT = 409
_OK = 200
_UNAVAILABLE = 503


@dataclass(kw_only=True, eq=False)
class EngineRun:
    """One request at an engine: its progress in prefill and then in decoding."""

    context: RequestContext
    sequence: int
    urgency: int
    prefill_left: int
    prefilled: int
    output_tokens: int
    first_event_number: int
    generated: int = 0
    event_queue: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)


@dataclass(kw_only=True)
class PrefillStatistics:
    """Count the prompt tokens for which prefill was repeated soon after their last use."""

    last_used_at: dict[str, float] = field(default_factory=dict)
    repeated_tokens: float = 0

    def record_use(self, part: str, tokens: int, now: float, *, cached: bool) -> None:
        """Record that a request used a part."""
        if not cached and now - self.last_used_at.get(part, float('-inf')) < _REPEAT_WINDOW_S:
            self.repeated_tokens += tokens
        self.last_used_at[part] = now


_STREAM_HEADERS = (('Content-Type', 'text/event-stream'), ('Transfer-Encoding', 'chunked'))
#: A request whose body starts with this crashes the engine that runs it.
CRASHING_BODY_PREFIX = b'ends '
#: A request with this part in its prompt does so too.
CRASHING_PART = 'dead'


@dataclass(kw_only=True)
class ModelEngine:
    """One engine; each step prefills a chunk of prompts and decodes a token per stream."""

    report: BackendReport
    load: ServiceLoad
    clock: Clock
    prefill_statistics: PrefillStatistics
    slowdown: float = 1
    silent: bool = False
    down: bool = False
    #: Cleared while the engine is stalled: it takes requests and produces nothing.
    running: asyncio.Event = field(default_factory=create_set_event)
    runs: list[EngineRun] = field(default_factory=list)
    cache: collections.OrderedDict[str, int] = field(default_factory=collections.OrderedDict)
    run_numbers: itertools.count[int] = field(default_factory=itertools.count)
    task: asyncio.Task[None] | None = None
    host: ModelHost = field(init=False)
    notices: ModelNotices = field(default_factory=ModelNotices)
    #: Called when a content crashes this engine.
    on_crash: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        """Create the host."""
        self.host = ModelHost(name=self.report.instance, load=self.load)

    @property
    def speed(self) -> float:
        """Return the speed relative to the durations of the service."""
        return self.host.speed

    def reported_load(self, now: float) -> ServerLoad | None:
        """Return the load in a response sent now; None: the engine reports none."""
        return self.host.reported_load(
            now,
            running=sum(not run.prefill_left for run in self.runs),
            waiting=sum(run.prefill_left > 0 for run in self.runs),
            slots=self.report.slots,
        )

    def submit(self, context: RequestContext, last_event: int, events: int) -> EngineRun:
        """Start a request; prefill is done in order of urgency."""
        parts = context.request.prefix
        now = self.clock.now()
        cached = 0
        prefix_cached = True
        for part in parts:
            prefix_cached = prefix_cached and part.name in self.cache
            cached += part.tokens if prefix_cached else 0
            self.prefill_statistics.record_use(part.name, part.tokens, now, cached=prefix_cached)
            self._cache_part(part.name, part.tokens)
        run = EngineRun(
            context=context,
            sequence=next(self.run_numbers),
            urgency=context.precedence.rank,
            prefill_left=max(1, context.request.prompt_tokens - cached),
            prefilled=cached,
            output_tokens=max(1, events - last_event) * self.load.tokens_per_event,
            first_event_number=last_event + 1,
        )
        self.runs.append(run)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run_steps())
        return run

    def cancel(self, run: EngineRun) -> None:
        """Cancel a request."""
        if run in self.runs:
            self.runs.remove(run)

    def crash(self) -> None:
        """Break all streams and clear the prefix cache."""
        self.down = True
        for run in self.runs:
            run.event_queue.put_nowait(None)
        self.runs.clear()
        self.cache.clear()

    def restart(self) -> None:
        """Return to service with an empty prefix cache."""
        self.down = False
        self.silent = False
        self.running.set()

    def _cache_part(self, part: str, tokens: int) -> None:
        self.cache.pop(part, None)
        self.cache[part] = tokens
        while sum(self.cache.values()) > self.load.memory_tokens and len(self.cache) > 1:
            self.cache.popitem(last=False)

    async def _run_steps(self) -> None:
        while self.runs:
            streams = [run for run in self.runs if not run.prefill_left]
            prefill_s = self._prefill()
            step_s = self.load.step_s + len(streams) * self.load.step_per_stream_s
            host_factor = self.host.slowdown_at(self.clock.now()) / self.speed
            await asyncio.sleep((step_s + prefill_s) * self.slowdown * host_factor)
            await self.running.wait()
            for run in streams:
                self._generate_token(run)
            if any(map(_crashes_engine, streams)):
                self.on_crash()

    def _prefill(self) -> float:
        """Prefill a chunk, most urgent requests first, and return its duration in seconds."""
        budget = self.load.chunk_tokens
        duration_s: float = 0
        prefilling = sorted(
            (run for run in self.runs if run.prefill_left),
            key=lambda run: (run.urgency, run.sequence),
        )
        for run in prefilling:
            chunk = min(budget, run.prefill_left)
            budget -= chunk
            pairs = chunk * (run.prefilled + chunk / 2)
            run.prefill_left -= chunk
            run.prefilled += chunk
            duration_s += chunk / self.load.read_tokens_per_s
            duration_s += pairs * _PER_MILLION * self.load.pairs_s_per_m
        return duration_s

    def _generate_token(self, run: EngineRun) -> None:
        if run not in self.runs or self.silent:
            return
        run.generated += 1
        if run.generated % self.load.tokens_per_event == 0:
            number = run.first_event_number + run.generated // self.load.tokens_per_event - 1
            run.event_queue.put_nowait(f'id: {number}\ndata: x\n\n'.encode())
        if run.generated >= run.output_tokens:
            run.event_queue.put_nowait(b'')
            self.runs.remove(run)


class ModelChannel:
    """The response stream of one request, in place of a connection."""

    def __init__(self, *, engine: ModelEngine, run: EngineRun, first_event: bytes) -> None:
        """Create a stream that returns ``first_event`` before any other."""
        self.engine = engine
        self.run = run
        self.first_event = first_event
        self.received_at: float = 0

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes, or None at the end.

        :raises ChannelError: if the stream is broken off.
        """
        event: bytes | None = self.first_event
        if event:
            self.first_event = b''
        else:
            event = await self.run.event_queue.get()
        self.received_at = self.engine.clock.now()
        if event is None:
            raise ChannelError('reset', sent=True)
        return event or None

    def count_held(self, change: int) -> None:
        """Count nothing: the model has no bound of memory."""

    def close(self) -> None:
        """Close the stream; the engine cancels the request."""
        self.engine.cancel(self.run)


class ModelConnection:
    """A connection that is only opened and closed."""

    def close(self) -> None:
        """Do nothing."""


@dataclass(kw_only=True)
class ModelPool:
    """Stand in for the connection pool."""

    engines: dict[str, ModelEngine]

    async def connect(self, address: str, *, timeout_s: float) -> ModelConnection:
        """Return a new connection.

        :raises RefusedError: if the address is that of an engine that is down.
        """
        engine = self.engines.get(address)
        if engine is not None and engine.down:
            raise RefusedError(f'{address}: down', sent=False)
        return ModelConnection()

    def release(self, channel: ModelChannel) -> None:
        """Do nothing; there is no connection to reuse."""


@dataclass(kw_only=True)
class ModelSender:
    """Send requests to simulated engines; stands in for the gateway's sender."""

    engines: dict[str, ModelEngine]
    result_store: ResultStore
    silence: SilenceDetector
    zone: str
    zone_s: float
    #: Number of events in the response, by attempt ID.
    event_counts: dict[str, int]
    health: HealthTracker
    notices: ServerNotices
    pool: ModelPool = field(init=False)
    #: Limits of connections; there are none.
    limits: None = None

    def __post_init__(self) -> None:
        """Create a pool for the same engines."""
        self.pool = ModelPool(engines=self.engines)

    async def send(
        self,
        context: RequestContext,
        server: BackendReport,
        *,
        last_event: int | None,
    ) -> TryOutcome:
        """Send the request once and wait for the first event."""
        engine = self.engines[server.address]
        latency_s = network_latency_s(server.zone, self.zone, self.zone_s)
        await asyncio.sleep(latency_s)
        if engine.down:
            return NotRun(detail='down')
        attempt = context.request.attempt_id
        if engine.notices.refuses_call(engine.clock.now()):
            self.notices.record(
                server.instance, engine.notices.response_metadata(attempt, engine.clock.now())
            )
            return NotRun(detail='paused', refused_by_server=True, status=_UNAVAILABLE)
        if not await self.result_store.fetch(context.inputs, server.zone):
            return NotRun(detail='input gone', refused_by_server=True, status=_CONFLICT)
        events = self.event_counts[context.request.attempt_id]
        run = engine.submit(context, last_event or 0, events)
        channel = ModelChannel(engine=engine, run=run, first_event=b'')
        try:
            first = await _wait_for_first_event(run, context.deadline - engine.clock.now())
        except BaseException:
            channel.close()
            raise
        if first is None:
            return Lost(cause=LossCause.connection, detail='reset')
        channel.first_event = first
        reported = engine.reported_load(engine.clock.now())
        await asyncio.sleep(latency_s)
        head = ResponseHead(status=_OK, headers=list(_STREAM_HEADERS))
        metadata = replace(
            engine.notices.response_metadata(attempt, engine.clock.now()), load=reported
        )
        self.notices.record(server.instance, metadata)
        # ModelChannel stands in for a channel of the connection pool.
        return Answered(head=head, marks=metadata, channel=channel)  # type: ignore[arg-type]


def _crashes_engine(run: EngineRun) -> bool:
    context = run.context
    if any(part.name == CRASHING_PART for part in context.request.prefix):
        return True
    return context.exchange.request.body.startswith(CRASHING_BODY_PREFIX)


async def _wait_for_first_event(run: EngineRun, limit_s: float) -> bytes | None:
    async with asyncio.timeout(max(0, limit_s)):
        return await run.event_queue.get()
