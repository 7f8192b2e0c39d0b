"""Simulated clients: they send requests, abandon slow ones and retry once."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from ringseam.calls import ClientRequest, PromptPart
from ringseam.model.engines import CRASHING_BODY_PREFIX, CRASHING_PART
from ringseam.model.pattern import CRASHING_REQUESTS, HOST, Amount, EventKind
from ringseam.platform.requests import (
    decode_request,
    encode_request,
    retry_after_header,
)
from ringseam.web.bodies import find_header
from ringseam.web.exchange import Request

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.model.gateways import ModelGateway
    from ringseam.model.pattern import Pattern, PatternEvent, RouteLoad
    from ringseam.web.bodies import Headers

#: A client retries if the Retry-After delay is at most this share of its remaining time.
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: A client that has received no event abandons its request after the longest of: this
#: many seconds, this many latency objectives, this many allowed gaps between events.
_MIN_PATIENCE_S = 2.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_GAPS = 8.0
_OK = 200
_RETRY_AFTER = retry_after_header(0)[0]
#: The requests of a clump are spread over this time, seconds.
_CLUMP_SPREAD_S = 0.3


class RequestEnd(enum.Enum):
    """How a request ended for its client."""

    on_time = 'in time'
    late = 'late'
    refused = 'refused'
    failed = 'failed'
    abandoned = 'left'


@dataclass(kw_only=True)
class RequestOutcome:
    """The outcome of one request over all attempts of its client."""

    route: str
    sent_at: float
    value: float
    account: str = ''
    earned_value: float = 0
    #: ID of the attempt that was served; empty if none was.
    served_attempt: str = ''
    end: RequestEnd = RequestEnd.failed
    attempts: int = 1
    #: Time spent in attempts that were not served, seconds.
    unserved_wait_s: float = 0


@dataclass(frozen=True, kw_only=True)
class PlannedRequest:
    """A request to be sent at a given time, and the random seed of its client."""

    route: str
    send_at: float
    request: ClientRequest
    #: Number of events in the response.
    event_count: int
    seed: float


class ModelExchange:
    """One attempt of a client, which records the response."""

    def __init__(self, *, request: Request, clock: Clock) -> None:
        """Create the exchange for ``request``."""
        self.request = request
        self.clock = clock
        self.status = 0
        self.headers: Headers = []
        self.event_times: list[float] = []
        self.finished = False
        self.aborted = False
        #: A request of the model is cancelled only as its client leaves.
        self.is_client_connected = False

    async def respond(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Record a complete response."""
        self.start(status, headers)
        await self.finish()

    def start(self, status: int, headers: Headers) -> None:
        """Record the head of the response."""
        self.status = status
        self.headers = headers

    async def send(self, chunk: bytes) -> None:
        """Record the arrival of an event."""
        self.event_times.append(self.clock.now())

    async def finish(self) -> None:
        """Record the end of the response."""
        self.finished = True

    def abort(self) -> None:
        """Record that the connection was broken off."""
        self.aborted = True

    @property
    def longest_gap_s(self) -> float:
        """Return the longest gap between two events, seconds."""
        pairs = itertools.pairwise(self.event_times)
        return max((later - earlier for earlier, later in pairs), default=0)


@dataclass(kw_only=True)
class LoadGenerator:
    """Generate the requests of a pattern and record their outcomes."""

    pattern: Pattern
    clock: Clock
    gateways: list[ModelGateway]
    seed: int
    event_counts: dict[str, int]
    outcomes: list[RequestOutcome] = field(default_factory=list)
    id_numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def run(self) -> None:
        """Send all requests of the pattern and wait until each has ended."""
        accounts = self.pattern.accounts or ('',)
        requests: list[PlannedRequest] = []
        for name, account in itertools.product(self.pattern.routes, accounts):
            requests.extend(self._draw_requests(name, account))
        crashing_clients = [
            asyncio.ensure_future(self._send_crashing_requests(event))
            for event in self.pattern.events
            if event.kind in CRASHING_REQUESTS
        ]
        await asyncio.gather(*(self._run_client(planned) for planned in requests))
        for task in crashing_clients:
            task.cancel()

    async def _send_crashing_requests(self, event: PatternEvent) -> None:
        """Repeatedly send requests that crash engines; their outcomes aren't counted."""
        rng = random.Random(f'{self.seed}/{event.at}')  # noqa: S311 - draws load only
        load = self.pattern.routes[event.of]
        request = self._draw_request(event.of, load, rng)
        planned = PlannedRequest(
            route=event.of, send_at=event.at, request=request, event_count=1, seed=0
        )
        await asyncio.sleep(event.at - self.clock.now())
        attempts: set[asyncio.Task[ModelExchange]] = set()
        body = CRASHING_BODY_PREFIX + request.path.encode()
        while self.clock.now() < event.at + event.for_s:
            if event.kind is EventKind.crashing_part:
                request = _with_crashing_part(self._draw_request(event.of, load, rng), rng)
                planned = replace(planned, request=request)
                body = request.prefix[-1].name.encode()
            attempt = self._attempt(load, planned, rng, load.timeout_s, body=body)
            attempts.add(asyncio.ensure_future(attempt))
            await asyncio.sleep(1 / event.factor)

    def _draw_requests(self, name: str, account: str) -> list[PlannedRequest]:
        """Draw all requests of a route and account, by the seed and the pattern only."""
        basics = self.pattern.basics
        rng = random.Random(  # noqa: S311 - draws load only
            f'{self.seed}/{name}/{account}' if account else f'{self.seed}/{name}'
        )
        load = self.pattern.routes[name]
        requests: list[PlannedRequest] = []
        now: float = 0
        while now < basics.seconds:
            now += rng.expovariate(self.pattern.rate_at(name, now, account) / basics.clump)
            count = 1
            while rng.random() > 1 / basics.clump:
                count += 1
            for _ in range(count):
                requests.append(
                    PlannedRequest(
                        route=name,
                        send_at=now + rng.random() * _CLUMP_SPREAD_S,
                        request=self._draw_request(name, load, rng, account),
                        event_count=_draw_event_count(load, rng),
                        seed=rng.random(),
                    ),
                )
        return requests

    async def _run_client(self, planned: PlannedRequest) -> None:
        """Send one request, and retry it once if it is refused or fails."""
        name = planned.route
        rng = random.Random(planned.seed)  # noqa: S311 - spreads load only
        await asyncio.sleep(planned.send_at - self.clock.now())
        load = self.pattern.routes[name]
        outcome = RequestOutcome(
            route=name,
            sent_at=self.clock.now(),
            value=load.worth,
            account=planned.request.key,
        )
        self.outcomes.append(outcome)
        for number in range(2):
            outcome.attempts = number + 1
            remaining_s = load.timeout_s - (self.clock.now() - outcome.sent_at)
            exchange = await self._attempt(load, planned, rng, remaining_s)
            if exchange.finished and exchange.status == _OK:
                self._record_response(outcome, load, exchange)
                return
            outcome.unserved_wait_s += self.clock.now() - exchange.request.arrived
            outcome.end = self._classify_failure(exchange)
            pause = float(find_header(exchange.headers, _RETRY_AFTER) or 0.1)
            remaining_s = load.timeout_s - (self.clock.now() - outcome.sent_at)
            if outcome.end is not RequestEnd.refused and not load.resumable:
                return
            if pause > remaining_s * _MAX_RETRY_AFTER_SHARE:
                return
            await asyncio.sleep(pause)

    def _classify_failure(self, exchange: ModelExchange) -> RequestEnd:
        if exchange.status == 0:
            return RequestEnd.abandoned
        return RequestEnd.failed if exchange.status == _OK else RequestEnd.refused

    def _record_response(
        self, outcome: RequestOutcome, load: RouteLoad, exchange: ModelExchange
    ) -> None:
        first_s = exchange.event_times[0] - outcome.sent_at + self.pattern.basics.client_s
        on_time = first_s <= load.objective_s and exchange.longest_gap_s <= load.pause_s
        outcome.end = RequestEnd.on_time if on_time else RequestEnd.late
        outcome.served_attempt = decode_request(exchange.request).attempt_id
        outcome.earned_value = load.worth if on_time else load.late_worth

    async def _attempt(
        self,
        load: RouteLoad,
        planned: PlannedRequest,
        rng: random.Random,
        remaining_s: float,
        *,
        body: bytes = b'',
    ) -> ModelExchange:
        """Send the request to one gateway; abandon it if the first event takes too long."""
        gateway = rng.choice(self.gateways)
        await asyncio.sleep(self.pattern.basics.client_s)
        exchange = ModelExchange(
            request=self._build_request(planned, remaining_s, body), clock=self.clock
        )
        stand_in: Any = exchange
        task = asyncio.ensure_future(gateway.forwarder.serve(stand_in))
        await asyncio.wait({task}, timeout=min(remaining_s, _first_event_patience_s(load)))
        if not exchange.event_times:
            task.cancel()
        await asyncio.wait({task})
        return exchange

    def _build_request(self, planned: PlannedRequest, remaining_s: float, body: bytes) -> Request:
        prefix = planned.request.prefix
        if not body and prefix:
            # The last part of a prompt is unique to the request and the same in its retry.
            body = prefix[-1].name.encode()
        attempt = replace(
            planned.request,
            attempt_id=f'r{next(self.id_numbers)}',
            time_left_s=remaining_s,
        )
        self.event_counts[attempt.attempt_id] = planned.event_count
        return Request(
            method='POST',
            target=attempt.path,
            headers=encode_request(attempt),
            body=body,
            arrived=self.clock.now(),
        )

    def _draw_request(
        self, name: str, load: RouteLoad, rng: random.Random, account: str = ''
    ) -> ClientRequest:
        """Draw one request of a route; the name of an account is its key."""
        prefix = self._draw_prompt(name, load, rng)
        return ClientRequest(
            attempt_id='',
            host=HOST,
            path=f'/{name}/x',
            time_left_s=None,
            key=account,
            prompt_tokens=sum(part.tokens for part in prefix),
            prefix=prefix,
            pieces=self._draw_piece_counts(name, rng),
            piece_key='k',
        )

    def _draw_piece_counts(self, name: str, rng: random.Random) -> tuple[int, ...]:
        counts = []
        for stage in self.pattern.stages.get(name, []):
            pieces = Amount(
                mean=stage.pieces,
                spread=stage.pieces_spread,
                most=stage.pieces_most,
            ).draw(rng)
            needed = rng.random() < stage.share
            counts.append(max(1, round(pieces)) if needed else 0)
        return tuple(counts)

    def _draw_prompt(
        self,
        name: str,
        load: RouteLoad,
        rng: random.Random,
    ) -> tuple[PromptPart, ...]:
        prompt = Amount(mean=load.prompt, spread=load.prompt_spread, most=load.prompt_most)
        subject = rng.randrange(load.subjects)
        parts = []
        if load.common:
            parts.append(
                PromptPart(name=f'{name}c{subject % load.commons}', tokens=int(load.common))
            )
        if load.shared:
            parts.append(PromptPart(name=f'{name}s{subject}', tokens=int(load.shared)))
        unique_tokens = int(prompt.draw(rng))
        parts.append(PromptPart(name=f'{name}o{next(self.id_numbers)}', tokens=unique_tokens))
        return tuple(parts)


def _with_crashing_part(request: ClientRequest, rng: random.Random) -> ClientRequest:
    """Return a request with a crashing part anywhere but at the end of its prompt."""
    parts = list(request.prefix)
    parts.insert(rng.randrange(len(parts)), PromptPart(name=CRASHING_PART, tokens=400))
    return replace(request, prefix=tuple(parts), prompt_tokens=sum(part.tokens for part in parts))


def _draw_event_count(load: RouteLoad, rng: random.Random) -> int:
    events = Amount(mean=load.events, spread=load.events_spread, most=load.events_most)
    return max(1, round(events.draw(rng)))


def _first_event_patience_s(load: RouteLoad) -> float:
    """Return how long a client waits for the first event before it leaves, seconds."""
    return max(
        _MIN_PATIENCE_S, _PATIENCE_OBJECTIVES * load.objective_s, _PATIENCE_GAPS * load.pause_s
    )
