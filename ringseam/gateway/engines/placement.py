"""Placement of requests on model engines: a plain class, costs in one unit.

Costs are shares of the worth of one request of the highest priority, so that
lateness, prompts that are read again, streams that are disturbed and bytes
that cross zones can be weighed against each other.
"""

from __future__ import annotations

import hashlib
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.gateway.engines.enginebook import EngineBook
from ringseam.gateway.following.pacing import longest_wait_s
from ringseam.gateway.priorities import LATE_VALUE_LOSS, response_value

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendId, BackendReport
    from ringseam.gateway.engines.messages import PlacedPart, PlaceRequest
    from ringseam.gateway.following.health import HealthBook
    from ringseam.gateway.following.pacing import Pace
    from ringseam.routes import BackendService

#: Prompt tokens that an engine is taken to read in a second.
READ_TOKENS_PER_S = 32_400.0
#: Attention over what was read before makes long prompts slower by about this.
_LONG_READ = 1.3
#: From a request's arrival at an idle engine to its first event, seconds.
_FIRST_EVENT_S = 0.08
#: Unread tokens beyond this take three steps or more to read, and an event of
#: a running stream takes three steps: it comes later than half a second.
_DISTURBING_TOKENS = 8192
#: The first token is predicted this well, seconds: lateness becomes certain
#: over this span.
_SPREAD_S = 0.6
#: A shared token that is read again costs this.
_AGAIN_PER_TOKEN = 0.055e-3
#: A byte that crosses zones costs this.
_CROSSING_PER_BYTE = 0.016e-6
#: A second of waiting costs this even where it makes nothing late.
_PER_SECOND = 0.05
#: An ejected engine is taken only when all are.
_EJECTED = 1000.0
#: A share of an engine's memory is left for the requests that run.
_CACHE_SHARE = 0.7
#: A request that nobody reported the end of is forgotten this long after its
#: deadline, seconds.
_FORGET_S = 1.0
#: Up to this many engines all are compared; of more, some that keep the prompt and some
#: others are.
_COMPARED = 48
#: Of more engines: how many that keep the longest part of the prompt, newest first, and
#: how many of all.
_KEEPING = 16
_OTHERS = 16


@dataclass(kw_only=True)
class Placed:
    """A request on an engine."""

    instance: BackendId
    unread: int
    worth: float
    until: float
    running: bool = False


@dataclass(frozen=True, kw_only=True)
class Placement:
    """Where a request shall run, and what decided it."""

    engine: BackendReport
    cost: float
    #: Prompt tokens that the engine has to read for it.
    unread: int
    #: Prompt tokens that wait there before it.
    backlog: int
    #: Worth of the streams there that would pause for too long.
    disturbed: float
    #: How long the request has to wait before it may go there, seconds.
    wait_s: float = 0


@dataclass(kw_only=True)
class Placer:
    """Place requests on the engines of one service."""

    health: HealthBook
    pace: Pace
    books: dict[BackendId, EngineBook] = field(default_factory=dict)
    placed: dict[str, Placed] = field(default_factory=dict)
    #: The same by engine, first come first.
    by_engine: dict[BackendId, dict[str, Placed]] = field(default_factory=dict)
    #: The engines that keep a part, the newest last.
    keeping: dict[str, dict[BackendId, None]] = field(default_factory=dict)

    def place(
        self,
        ask: PlaceRequest,
        engines: Collection[BackendReport],
        service: BackendService,
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> Placement | None:
        """Return the engine with the least cost, and remember the request.

        :param peers: all gateways that place requests on these engines by themselves,
            this one among them; none where it decides alone.
        """
        self._forget(now)
        compared = self._compared(ask, engines)
        cached = {engine.instance: self._cached(ask, engine.instance) for engine in compared}
        most = max(cached.values(), default=0)
        left_s = ask.left_ms / MS_PER_S
        candidates = [
            self._judge(ask, engine, now, cached=cached[engine.instance], most=most, wait_s=wait_s)
            for engine in compared
            if engine.instance not in ask.avoid
            and (wait_s := self._wait_s(ask, engine, service, now, peers)) < left_s
        ]
        if not candidates:
            return None
        least = min(known.cost for known in candidates)
        equal = [known for known in candidates if known.cost == least]
        best = min(equal, key=lambda known: _tie(ask, known.engine))
        if not ask.dry:
            self.pace.take(best.engine.instance, service.cold, now, peers=peers)
            self.note(ask, best.engine.instance, service, now)
        return best

    def note(
        self,
        ask: PlaceRequest,
        instance: BackendId,
        service: BackendService,
        now: float,
    ) -> None:
        """Remember that a request was placed on an engine."""
        book = self._book(instance)
        # A request that is placed again is somewhere else now.
        self.ended(ask.request)
        if not any(placed.unread for placed in self._here(instance)):
            book.read_at = now
        self.hold(
            ask.request,
            Placed(
                instance=instance,
                unread=self.unread(ask, instance),
                worth=response_value(ask.priority),
                until=now + ask.left_ms / MS_PER_S + _FORGET_S,
            ),
        )
        capacity = service.engine.cache_tokens * _CACHE_SHARE if service.engine else 0
        for part in reversed(ask.prefix):
            self._use(instance, part, capacity)

    def hold(self, request: str, placed: Placed) -> None:
        """Count a request on an engine."""
        self.placed[request] = placed
        self.by_engine.setdefault(placed.instance, {})[request] = placed

    def began(self, request: str, now: float) -> None:
        """Hear that the first event has come."""
        known = self.placed.get(request)
        if known is not None:
            known.running = True
            known.unread = 0
            self._book(known.instance).read_at = now

    def ended(self, request: str) -> None:
        """Hear that a request is over."""
        placed = self.placed.pop(request, None)
        if placed is not None:
            self.by_engine[placed.instance].pop(request)

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget engines that are gone."""
        for instance in set(self.books) - instances:
            for name in self.books.pop(instance).parts:
                self._drop(name, instance)

    def unread(self, ask: PlaceRequest, instance: BackendId) -> int:
        """Return how many prompt tokens an engine would have to read."""
        return max(0, ask.prompt_tokens - self._cached(ask, instance))

    def turn_in_s(
        self,
        ask: PlaceRequest,
        engines: Collection[BackendReport],
        now: float,
        *,
        peers: Collection[str] = (),
    ) -> float:
        """Return after how long an engine with a limit has a turn; 0: there is none."""
        waits = [
            self.pace.limit_wait_s(engine.instance, now, peers=peers)
            for engine in engines
            if engine.instance not in ask.avoid
        ]
        return min(waits, default=0)

    # -- helpers ------------------------------------------------------------

    def _wait_s(
        self,
        ask: PlaceRequest,
        engine: BackendReport,
        service: BackendService,
        now: float,
        peers: Collection[str],
    ) -> float:
        """Return how long a request has to wait at an engine; infinite: it may not."""
        limit_wait_s = self.pace.limit_wait_s(engine.instance, now, peers=peers)
        if limit_wait_s > longest_wait_s(ask.priority):
            return float('inf')
        return max(limit_wait_s, self.pace.wait_s(engine.instance, service.cold, now, peers=peers))

    def _compared(
        self,
        ask: PlaceRequest,
        engines: Collection[BackendReport],
    ) -> Collection[BackendReport]:
        """Return the engines to compare: all of a few, a part of many.

        The part is the same for all requests with the same shared parts, so that those
        find each other's prompts.
        """
        if len(engines) <= _COMPARED:
            return engines
        keeping = self._keeping(ask)
        dice = random.Random(_shared_key(ask))  # noqa: S311 - spreads load only
        others = dice.sample(list(engines), _OTHERS)
        found = {engine.instance: engine for engine in engines if engine.instance in keeping}
        allowed = {engine.instance: engine for engine in others} | found
        left = [engine for name, engine in allowed.items() if name not in ask.avoid]
        return left or engines

    def _keeping(self, ask: PlaceRequest) -> set[BackendId]:
        """Return some engines that keep the longest beginning of a prompt."""
        for part in reversed(ask.prefix):
            known = self.keeping.get(part.name)
            if known:
                return set(itertools.islice(reversed(known), _KEEPING))
        return set()

    def _use(self, instance: BackendId, part: PlacedPart, capacity: float) -> None:
        known = self.keeping.setdefault(part.name, {})
        known.pop(instance, None)
        known[instance] = None
        for name in self._book(instance).use(part, capacity):
            self._drop(name, instance)

    def _drop(self, name: str, instance: BackendId) -> None:
        known = self.keeping.get(name, {})
        known.pop(instance, None)
        if not known:
            self.keeping.pop(name, None)

    def _book(self, instance: BackendId) -> EngineBook:
        return self.books.setdefault(instance, EngineBook())

    def _cached(self, ask: PlaceRequest, instance: BackendId) -> int:
        book = self.books.get(instance)
        cached = 0
        for part in ask.prefix:
            if book is None or part.name not in book.parts:
                break
            cached += part.tokens
        return cached

    def _judge(
        self,
        ask: PlaceRequest,
        engine: BackendReport,
        now: float,
        *,
        cached: int,
        most: int,
        wait_s: float,
    ) -> Placement:
        """Return what it costs to place a request on an engine.

        :param cached: tokens of the prompt that the engine keeps.
        :param most: the same at the engine that keeps most of them.
        :param wait_s: how long the request has to wait before it may go there.
        """
        instance = engine.instance
        here = self._here(instance)
        unread = max(0, ask.prompt_tokens - cached)
        backlog = self._backlog(instance, here, now)
        disturbed = _disturbed(here, backlog + unread)
        cost = self._lateness(ask, backlog + unread, wait_s) + LATE_VALUE_LOSS * disturbed
        cost += (most - cached) * _AGAIN_PER_TOKEN
        crossing = sum(amount for zone, amount in ask.result_bytes.items() if zone != engine.zone)
        cost += crossing * _CROSSING_PER_BYTE
        if now < self.health.of(instance).ejected_until:
            cost += _EJECTED
        return Placement(
            engine=engine,
            cost=cost,
            unread=unread,
            backlog=backlog,
            disturbed=disturbed,
            wait_s=wait_s,
        )

    def _here(self, instance: BackendId) -> Collection[Placed]:
        """Return what was placed on an engine, first come first."""
        return self.by_engine.get(instance, {}).values()

    def _backlog(self, instance: BackendId, here: Collection[Placed], now: float) -> int:
        """Return the prompt tokens that an engine has yet to read.

        What it has read since a prompt was last done is guessed from its usual
        speed, and is never more than the longest prompt that waits.
        """
        waiting = [placed.unread for placed in here if placed.unread]
        if not waiting:
            return 0
        since = now - self._book(instance).read_at
        read = min(max(waiting), int(since * READ_TOKENS_PER_S / _LONG_READ))
        return sum(waiting) - read

    def _lateness(self, ask: PlaceRequest, tokens: int, wait_s: float) -> float:
        """Return the expected loss by waiting ``wait_s`` and then reading ``tokens``."""
        first = wait_s + _FIRST_EVENT_S + _LONG_READ * tokens / READ_TOKENS_PER_S
        spare = ask.objective_ms / MS_PER_S - first
        late = min(1, max(0, 1 - spare / _SPREAD_S))
        return late * LATE_VALUE_LOSS * response_value(ask.priority) + first * _PER_SECOND

    def _forget(self, now: float) -> None:
        over = [request for request, placed in self.placed.items() if placed.until < now]
        for request in over:
            self.ended(request)


def _disturbed(here: Collection[Placed], tokens: int) -> float:
    """Return the worth of streams that pause too long while ``tokens`` are read.

    A running stream pauses for all of them; one that is yet to begin pauses for
    those that are read after its own.
    """
    hurt: float = 0
    for placed in here:
        tokens -= placed.unread
        if tokens > _DISTURBING_TOKENS:
            hurt += placed.worth
    return hurt


def _tie(ask: PlaceRequest, engine: BackendReport) -> bytes:
    """Order engines of equal cost alike at all gateways, by the shared parts."""
    key = f'{_shared_key(ask)}/{engine.instance}'
    return hashlib.blake2b(key.encode(), digest_size=8).digest()


def _shared_key(ask: PlaceRequest) -> str:
    """Return the last part of a prompt that other requests share."""
    return ask.prefix[-2].name if len(ask.prefix) > 1 else ask.request
