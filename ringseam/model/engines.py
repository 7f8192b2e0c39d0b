"""Model engines in virtual time: prompts read in chunks between the steps of streams."""

from __future__ import annotations

import asyncio
import collections
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.requestcontext import Answered, LossCause, Lost, NotRun
from ringseam.model.saying import Saying
from ringseam.model.stageservers import way_between
from ringseam.web.client import ChannelError, RefusedError, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendReport
    from ringseam.clock import Clock
    from ringseam.gateway.engines.silence import SilenceDetector
    from ringseam.gateway.following.health import HealthTracker
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.requestcontext import RequestContext, TryOutcome
    from ringseam.model.pattern import ServiceLoad
    from ringseam.model.stageservers import Results

_PER_MILLION = 1e-6
#: A part that is read again this long after its last use is no waste, seconds.
_AGAIN_S = 9.3
_CONFLICT = 409
_OK = 200
_UNAVAILABLE = 503


@dataclass(kw_only=True, eq=False)
class EngineRun:
    """One request at an engine: what is to be read, then made."""

    work: RequestContext
    order: int
    urgency: int
    unread: int
    read: int
    tokens_left: int
    first_event: int
    tokens: int = 0
    events: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)


@dataclass(kw_only=True)
class PromptUse:
    """When shared parts were last used, and how many tokens were read again."""

    used_at: dict[str, float] = field(default_factory=dict)
    again: float = 0

    def note(self, part: str, tokens: int, now: float, *, cached: bool) -> None:
        """Hear that a part was used."""
        if not cached and now - self.used_at.get(part, float('-inf')) < _AGAIN_S:
            self.again += tokens
        self.used_at[part] = now


#: Bodies that begin so end the engine that runs them.
ENDING = b'ends '


@dataclass(kw_only=True)
class ModelEngine:
    """One engine; a step reads a chunk of prompts and makes a token a stream."""

    report: BackendReport
    load: ServiceLoad
    clock: Clock
    use: PromptUse
    factor: float = 1
    silent: bool = False
    down: bool = False
    runs: list[EngineRun] = field(default_factory=list)
    cache: collections.OrderedDict[str, int] = field(default_factory=collections.OrderedDict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    task: asyncio.Task[None] | None = None
    saying: Saying = field(default_factory=Saying)
    #: Called when a content ends this engine.
    on_end: Callable[[], None] = lambda: None

    def submit(self, work: RequestContext, last_event: int, events: int) -> EngineRun:
        """Let a request run; more urgent ones are read first."""
        parts = work.request.prefix
        now = self.clock.now()
        cached = 0
        held = True
        for part in parts:
            held = held and part.name in self.cache
            cached += part.tokens if held else 0
            self.use.note(part.name, part.tokens, now, cached=held)
            self._remember(part.name, part.tokens)
        run = EngineRun(
            work=work,
            order=next(self.numbers),
            urgency=work.precedence.rank,
            unread=max(1, work.request.prompt_tokens - cached),
            read=cached,
            tokens_left=max(1, events - last_event) * self.load.tokens_per_event,
            first_event=last_event + 1,
        )
        self.runs.append(run)
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._steps())
        return run

    def cancel(self, run: EngineRun) -> None:
        """Drop a request."""
        if run in self.runs:
            self.runs.remove(run)

    def crash(self) -> None:
        """Break all streams off and forget all parts."""
        self.down = True
        for run in self.runs:
            run.events.put_nowait(None)
        self.runs.clear()
        self.cache.clear()

    def restart(self) -> None:
        """Begin again without memory."""
        self.down = False
        self.silent = False

    def _remember(self, part: str, tokens: int) -> None:
        self.cache.pop(part, None)
        self.cache[part] = tokens
        while sum(self.cache.values()) > self.load.memory_tokens and len(self.cache) > 1:
            self.cache.popitem(last=False)

    async def _steps(self) -> None:
        while self.runs:
            streams = [run for run in self.runs if not run.unread]
            read_s = self._read()
            step_s = self.load.step_s + len(streams) * self.load.step_per_stream_s
            await asyncio.sleep((step_s + read_s) * self.factor)
            for run in streams:
                self._make(run)
            if any(map(_ends_its_engine, streams)):
                self.on_end()

    def _read(self) -> float:
        """Read a chunk, the most urgent request first; return how long it takes."""
        budget = self.load.chunk_tokens
        took_s: float = 0
        reading = sorted(
            (run for run in self.runs if run.unread),
            key=lambda run: (run.urgency, run.order),
        )
        for run in reading:
            taken = min(budget, run.unread)
            budget -= taken
            pairs = taken * (run.read + taken / 2)
            run.unread -= taken
            run.read += taken
            took_s += taken / self.load.read_tokens_per_s
            took_s += pairs * _PER_MILLION * self.load.pairs_s_per_m
        return took_s

    def _make(self, run: EngineRun) -> None:
        if run not in self.runs or self.silent:
            return
        run.tokens += 1
        if run.tokens % self.load.tokens_per_event == 0:
            number = run.first_event + run.tokens // self.load.tokens_per_event - 1
            run.events.put_nowait(f'id: {number}\ndata: x\n\n'.encode())
        if run.tokens >= run.tokens_left:
            run.events.put_nowait(b'')
            self.runs.remove(run)


class ModelChannel:
    """The stream of one request, as a connection would give it."""

    def __init__(self, *, engine: ModelEngine, run: EngineRun, first: bytes) -> None:
        """Begin with the first event."""
        self.engine = engine
        self.run = run
        self.first = first
        self.received_at: float = 0

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes; None at the end.

        :raises ChannelError: when the stream breaks off.
        """
        event: bytes | None = self.first
        if event:
            self.first = b''
        else:
            event = await self.run.events.get()
        self.received_at = self.engine.clock.now()
        if event is None:
            raise ChannelError('reset', sent=True)
        return event or None

    def close(self) -> None:
        """Leave; the engine drops the request."""
        self.engine.cancel(self.run)


class ModelConnection:
    """A connection on which nothing is sent."""

    def close(self) -> None:
        """Do nothing."""


@dataclass(kw_only=True)
class ModelPool:
    """Takes channels back, as a pool of connections would."""

    engines: dict[str, ModelEngine]

    async def connect(self, address: str, *, timeout_s: float) -> ModelConnection:
        """Return a new connection; an engine that is down refuses it."""
        engine = self.engines.get(address)
        if engine is not None and engine.down:
            raise RefusedError(f'{address}: down', sent=False)
        return ModelConnection()

    def release(self, channel: ModelChannel) -> None:
        """Do nothing: there are no connections."""


@dataclass(kw_only=True)
class ModelSender:
    """Sends to engines in memory, in place of those over connections."""

    engines: dict[str, ModelEngine]
    kept: Results
    silence: SilenceDetector
    zone: str
    zone_s: float
    #: How many events a request is answered with.
    events_of: dict[str, int]
    health: HealthTracker
    words: ServerNotices
    pool: ModelPool = field(init=False)

    def __post_init__(self) -> None:
        """Connect to the same engines."""
        self.pool = ModelPool(engines=self.engines)

    async def send(
        self,
        work: RequestContext,
        server: BackendReport,
        *,
        last_event: int | None,
    ) -> TryOutcome:
        """Send once, up to the first event."""
        engine = self.engines[server.address]
        way_s = way_between(server.zone, self.zone, self.zone_s)
        await asyncio.sleep(way_s)
        if engine.down:
            return NotRun(detail='down')
        attempt = work.request.attempt_id
        if engine.saying.turns_away(engine.clock.now()):
            self.words.record(server.instance, engine.saying.marks(attempt, engine.clock.now()))
            return NotRun(detail='paused', refused_by_server=True, status=_UNAVAILABLE)
        if not await self.kept.fetch(work.inputs, server.zone):
            return NotRun(detail='input gone', refused_by_server=True, status=_CONFLICT)
        events = self.events_of[work.request.attempt_id]
        run = engine.submit(work, last_event or 0, events)
        channel = ModelChannel(engine=engine, run=run, first=b'')
        try:
            first = await _first_event(run, work.deadline - engine.clock.now())
        except BaseException:
            channel.close()
            raise
        if first is None:
            return Lost(cause=LossCause.connection, detail='reset')
        channel.first = first
        await asyncio.sleep(way_s)
        head = ResponseHead(status=_OK, headers=[('Content-Type', 'text/event-stream')])
        marks = engine.saying.marks(attempt, engine.clock.now())
        self.words.record(server.instance, marks)
        # The channel stands in for one of the pool's.
        return Answered(head=head, marks=marks, channel=channel)  # type: ignore[arg-type]


def _ends_its_engine(run: EngineRun) -> bool:
    request = run.work.exchange.request
    return request.body.startswith(ENDING)


async def _first_event(run: EngineRun, limit_s: float) -> bytes | None:
    async with asyncio.timeout(max(0, limit_s)):
        return await run.events.get()
