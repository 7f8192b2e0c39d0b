"""Clients in virtual time: they wait, give up, come back once, and count."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from ringseam.calls import ClientRequest, PromptPart
from ringseam.model.engines import ENDING
from ringseam.model.pattern import HOST, Amount, EventKind
from ringseam.platform.requests import (
    decode_request,
    encode_request,
    retry_after_header,
)
from ringseam.web.bodies import find_header
from ringseam.web.server import Request

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.model.gateways import ModelGateway
    from ringseam.model.pattern import Pattern, PatternEvent, RouteLoad
    from ringseam.web.bodies import Headers

#: Clients honour a pause of up to this share of the time that they have left.
_PAUSE_SHARE = 1 / 3
#: Without an event, clients leave after the longest of these.
_LEAVE_S = 2.0
_LEAVE_OBJECTIVES = 4.0
_LEAVE_PAUSES = 8.0
_OK = 200
_RETRY_AFTER = retry_after_header(0)[0]
#: The requests of a clump come within this time.
_CLUMP_S = 0.3


class End(enum.Enum):
    """How a request of a client ended."""

    in_time = 'in time'
    late = 'late'
    refused = 'refused'
    failed = 'failed'
    left = 'left'


@dataclass(kw_only=True)
class Outcome:
    """What became of one request, over all tries of its client."""

    route: str
    sent_at: float
    worth: float
    earned: float = 0
    #: The attempt that was served.
    served: str = ''
    end: End = End.failed
    tries: int = 1
    #: How long it was kept waiting without being served, seconds.
    held_s: float = 0


@dataclass(frozen=True, kw_only=True)
class Ask:
    """A request that will be sent: when and what; a seed for its client."""

    route: str
    at: float
    request: ClientRequest
    #: How many events it is answered with.
    events: int
    seed: float


class ModelExchange:
    """One try of a client, and what came back."""

    def __init__(self, *, request: Request, clock: Clock) -> None:
        """Send ``request``."""
        self.request = request
        self.clock = clock
        self.status = 0
        self.headers: Headers = []
        self.events_at: list[float] = []
        self.finished = False
        self.aborted = False

    async def respond(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Take a whole answer."""
        self.start(status, headers)
        await self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Take a head."""
        self.status = status
        self.headers = headers

    async def send(self, chunk: bytes) -> None:
        """Take an event."""
        self.events_at.append(self.clock.now())

    async def finish(self) -> None:
        """Take the end."""
        self.finished = True

    def abort(self) -> None:
        """Take a broken connection."""
        self.aborted = True

    @property
    def longest_pause(self) -> float:
        """Return the longest pause between two events, seconds."""
        pairs = itertools.pairwise(self.events_at)
        return max((later - earlier for earlier, later in pairs), default=0)


@dataclass(kw_only=True)
class Clients:
    """All clients of a pattern."""

    pattern: Pattern
    clock: Clock
    gateways: list[ModelGateway]
    seed: int
    events_of: dict[str, int]
    outcomes: list[Outcome] = field(default_factory=list)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send the load of the whole pattern, and wait for all answers."""
        asks = [ask for name in self.pattern.routes for ask in self._draw_all(name)]
        insisting = [
            asyncio.ensure_future(self._insist(event))
            for event in self.pattern.events
            if event.kind is EventKind.ending
        ]
        await asyncio.gather(*(self._ask(ask) for ask in asks))
        for task in insisting:
            task.cancel()

    async def _insist(self, event: PatternEvent) -> None:
        """Ask again and again for a content that ends engines; it earns nothing."""
        dice = random.Random(f'{self.seed}/{event.at}')  # noqa: S311 - draws load only
        load = self.pattern.routes[event.of]
        request = self._draw(event.of, load, dice)
        ask = Ask(route=event.of, at=event.at, request=request, events=1, seed=0)
        await asyncio.sleep(event.at - self.clock.now())
        tries: set[asyncio.Task[ModelExchange]] = set()
        body = ENDING + request.path.encode()
        while self.clock.now() < event.at + event.for_s:
            one = self._try(load, ask, dice, load.timeout_s, body=body)
            tries.add(asyncio.ensure_future(one))
            await asyncio.sleep(1 / event.factor)

    def _draw_all(self, name: str) -> list[Ask]:
        """Draw all requests of a route; policies make no difference to them."""
        basics = self.pattern.basics
        dice = random.Random(f'{self.seed}/{name}')  # noqa: S311 - draws load only
        load = self.pattern.routes[name]
        asks: list[Ask] = []
        now: float = 0
        while now < basics.seconds:
            now += dice.expovariate(self.pattern.rate(name, now) / basics.clump)
            count = 1
            while dice.random() > 1 / basics.clump:
                count += 1
            for _ in range(count):
                asks.append(
                    Ask(
                        route=name,
                        at=now + dice.random() * _CLUMP_S,
                        request=self._draw(name, load, dice),
                        events=_draw_events(load, dice),
                        seed=dice.random(),
                    ),
                )
        return asks

    async def _ask(self, ask: Ask) -> None:
        """Send one request, once more if it is refused or fails."""
        name = ask.route
        dice = random.Random(ask.seed)  # noqa: S311 - spreads load only
        await asyncio.sleep(ask.at - self.clock.now())
        load = self.pattern.routes[name]
        outcome = Outcome(route=name, sent_at=self.clock.now(), worth=load.worth)
        self.outcomes.append(outcome)
        for number in range(2):
            outcome.tries = number + 1
            left_s = load.timeout_s - (self.clock.now() - outcome.sent_at)
            exchange = await self._try(load, ask, dice, left_s)
            if exchange.finished and exchange.status == _OK:
                self._count(outcome, load, exchange)
                return
            outcome.held_s += self.clock.now() - exchange.request.arrived
            outcome.end = self._end_of(exchange)
            pause = float(find_header(exchange.headers, _RETRY_AFTER) or 0.1)
            left_s = load.timeout_s - (self.clock.now() - outcome.sent_at)
            if outcome.end is not End.refused and not load.resumable:
                return
            if pause > left_s * _PAUSE_SHARE:
                return
            await asyncio.sleep(pause)

    def _end_of(self, exchange: ModelExchange) -> End:
        if exchange.status == 0:
            return End.left
        return End.failed if exchange.status == _OK else End.refused

    def _count(self, outcome: Outcome, load: RouteLoad, exchange: ModelExchange) -> None:
        first_s = exchange.events_at[0] - outcome.sent_at + self.pattern.basics.client_s
        in_time = first_s <= load.objective_s and exchange.longest_pause <= load.pause_s
        outcome.end = End.in_time if in_time else End.late
        outcome.served = decode_request(exchange.request).attempt_id
        outcome.earned = load.worth if in_time else load.late_worth

    async def _try(
        self,
        load: RouteLoad,
        ask: Ask,
        dice: random.Random,
        left_s: float,
        *,
        body: bytes = b'',
    ) -> ModelExchange:
        """Ask one gateway, and leave when nothing comes for too long."""
        gateway = dice.choice(self.gateways)
        await asyncio.sleep(self.pattern.basics.client_s)
        exchange = ModelExchange(request=self._request(ask, left_s, body), clock=self.clock)
        stand_in: Any = exchange
        task = asyncio.ensure_future(gateway.forwarder.serve(stand_in))
        await asyncio.wait({task}, timeout=min(left_s, _patience_s(load)))
        if not exchange.events_at:
            task.cancel()
        await asyncio.wait({task})
        return exchange

    def _request(self, ask: Ask, left_s: float, body: bytes) -> Request:
        prefix = ask.request.prefix
        if not body and prefix:
            # The last part of a prompt is its own: its retries ask for the same.
            body = prefix[-1].name.encode()
        asked = replace(
            ask.request,
            attempt_id=f'r{next(self.numbers)}',
            time_left_s=left_s,
        )
        self.events_of[asked.attempt_id] = ask.events
        return Request(
            method='POST',
            target=asked.path,
            headers=encode_request(asked),
            body=body,
            arrived=self.clock.now(),
        )

    def _draw(self, name: str, load: RouteLoad, dice: random.Random) -> ClientRequest:
        """Return one request."""
        prefix = self._draw_prompt(name, load, dice)
        return ClientRequest(
            attempt_id='',
            host=HOST,
            path=f'/{name}/x',
            time_left_s=None,
            key='',
            prompt_tokens=sum(part.tokens for part in prefix),
            prefix=prefix,
            pieces=self._draw_pieces(name, dice),
            piece_key='k',
        )

    def _draw_pieces(self, name: str, dice: random.Random) -> tuple[int, ...]:
        counts = []
        for stage in self.pattern.stages.get(name, []):
            pieces = Amount(
                mean=stage.pieces,
                spread=stage.pieces_spread,
                most=stage.pieces_most,
            ).draw(dice)
            needed = dice.random() < stage.share
            counts.append(max(1, round(pieces)) if needed else 0)
        return tuple(counts)

    def _draw_prompt(
        self,
        name: str,
        load: RouteLoad,
        dice: random.Random,
    ) -> tuple[PromptPart, ...]:
        prompt = Amount(mean=load.prompt, spread=load.prompt_spread, most=load.prompt_most)
        subject = dice.randrange(load.subjects)
        parts = []
        if load.common:
            parts.append(
                PromptPart(name=f'{name}c{subject % load.commons}', tokens=int(load.common))
            )
        if load.shared:
            parts.append(PromptPart(name=f'{name}s{subject}', tokens=int(load.shared)))
        own = int(prompt.draw(dice))
        parts.append(PromptPart(name=f'{name}o{next(self.numbers)}', tokens=own))
        return tuple(parts)


def _draw_events(load: RouteLoad, dice: random.Random) -> int:
    events = Amount(mean=load.events, spread=load.events_spread, most=load.events_most)
    return max(1, round(events.draw(dice)))


def _patience_s(load: RouteLoad) -> float:
    """Return how long a client waits for the first event, seconds."""
    return max(_LEAVE_S, _LEAVE_OBJECTIVES * load.objective_s, _LEAVE_PAUSES * load.pause_s)
