"""Asking the owner of an engine service where a request shall run."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.backends import BackendId
from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.events import Event
from ringseam.gateway.engines.messages import (
    PLACE,
    PROGRESS,
    PlacedPart,
    PlaceReply,
    PlaceRequest,
    ProgressNote,
)
from ringseam.gateway.engines.placement import Placer
from ringseam.messages import Empty
from ringseam.routes import ServiceName
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.gateway.engines.placement import Placement
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.health import HealthBook
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.following.turns import Turns
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.node import Node
    from ringseam.routes import BackendService
    from ringseam.rpc import CallClient
    from ringseam.sealing import Received

logger = logging.getLogger(__name__)

#: The owner is milliseconds away; a request is placed here after this, seconds.
_ASK_S = 0.06
_TELL_S = 1.0
#: An owner that didn't answer in time isn't asked for places again for this
#: long, seconds. Pieces still go to it: two gateways that form batches for the
#: same servers get in each other's way, two that place requests hardly do.
_AVOID_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Chosen:
    """Where a request shall run, and how long it has to wait before, seconds."""

    #: None: there is one with a limit, and no turn left at it; ``wait_s`` tells until when.
    engine: BackendReport | None
    wait_s: float


class PlaceClient:
    """Place requests by the owner's view, or by this gateway's own."""

    def __init__(
        self,
        *,
        node: Node,
        client: CallClient,
        follower: Follower,
        health: HealthBook,
        ownership: Ownership,
        turns: Turns,
    ) -> None:
        """Begin without a memory of prompts."""
        self.node = node
        self.clock = node.clock
        self.client = client
        self.follower = follower
        self.health = health
        self.ownership = ownership
        self.turns = turns
        self.pace = turns.pace
        self.placers: dict[str, Placer] = {}
        self.tasks = TaskSet()
        #: Until when owners that didn't answer are not asked, by address.
        self.avoided: dict[str, float] = {}

    async def choose(self, work: RequestContext) -> BackendReport | None:
        """Return where a request shall run, once it may go there."""
        chosen = await self._choose(self._ask(work, dry=False))
        while chosen is not None and chosen.engine is not None and chosen.wait_s:
            was_limited = self._is_limited(chosen.engine)
            await asyncio.sleep(chosen.wait_s)
            stays = was_limited or not self._is_limited(chosen.engine)
            if stays and self._takes(chosen.engine):
                break
            chosen = await self._choose(self._ask(work, dry=False))
        self._note_turn(work, chosen)
        return chosen.engine if chosen else None

    async def foresee(self, work: RequestContext) -> BackendReport | None:
        """Return where a request would run now."""
        chosen = await self._choose(self._ask(work, dry=True))
        self._note_turn(work, chosen)
        return chosen.engine if chosen else None

    def must_wait(self, work: RequestContext) -> bool:
        """Return whether each server that a request may run on names a limit or pauses."""
        paused = self.pace.pauses.paused(self.clock.now())
        if not (paused or self.turns.limits.count):
            return False
        serving = self.follower.serving(work.service, work.suspect.account, work.allowed_zones)
        return bool(serving) and all(
            server.instance in paused or self._is_limited(server) for server in serving
        )

    def began(self, work: RequestContext) -> None:
        """Tell that the first event has come."""
        self._tell(work, over=False)

    def ended(self, work: RequestContext) -> None:
        """Tell that the request is over."""
        self._tell(work, over=True)

    def fell_silent(self, service: ServiceName, instance: BackendId) -> None:
        """Tell that an engine owes answers and has gone silent."""
        self._spread(ProgressNote(service=service, silent=instance))

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget what engines that are gone keep."""
        for placer in self.placers.values():
            placer.keep_only(instances)

    # -- calls of other gateways --------------------------------------------

    async def serve_place(self, received: Received) -> PlaceReply:
        """Place a request for another gateway."""
        ask: PlaceRequest = received.body
        self.turns.learn(ask.limits)
        chosen = self._place_here(ask)
        if chosen is None:
            return PlaceReply()
        instance = chosen.engine.instance if chosen.engine else ''
        return PlaceReply(instance=instance, wait_s=chosen.wait_s)

    async def serve_progress(self, received: Received) -> Empty:
        """Hear how a request of another gateway goes on."""
        self._hear(received.body)
        return Empty()

    # -- helpers ------------------------------------------------------------

    async def _choose(self, ask: PlaceRequest) -> Chosen | None:
        service = ServiceName(ask.service)
        owner = self.ownership.owner_of(service)
        if not owner:
            return self._place_here(ask)
        if self.avoided.get(owner, 0) <= self.clock.now():
            chosen = await self._ask_owner(owner, ask)
            if chosen is not None:
                if chosen.engine is not None and not ask.dry:
                    self._note(ask, chosen)
                return chosen
        # Any other gateway may have to place requests by itself as well.
        return self._place_here(ask, peers=self.follower.gateway_names)

    def _note(self, ask: PlaceRequest, chosen: Chosen) -> None:
        service = self._service(ask.service)
        if service is not None and chosen.engine is not None:
            now = self.clock.now()
            instance = chosen.engine.instance
            self._placer(service.name).note(ask, instance, service, now)
            self.pace.sent(instance, now + chosen.wait_s)

    def _is_limited(self, server: BackendReport) -> bool:
        return self.turns.limits.of(server.instance) is not None

    def _takes(self, server: BackendReport) -> bool:
        """Return whether a server takes new work from this gateway."""
        paused = self.pace.pauses.left_s(server.instance, self.clock.now())
        return not paused and self.follower.is_serving(server)

    def _note_turn(self, work: RequestContext, chosen: Chosen | None) -> None:
        """Note after how long a request that was not placed may be."""
        if chosen is not None and chosen.engine is not None:
            work.available_in_s = 0
            return
        end_s = self.pace.pauses.first_end_s(self._paused(work), self.clock.now())
        turn_s = chosen.wait_s if chosen else 0
        work.available_in_s = min((wait_s for wait_s in (end_s, turn_s) if wait_s), default=0)

    def _avoided(self, work: RequestContext) -> tuple[str, ...]:
        """Return the servers that the owner, which may not know it, shall not choose."""
        leaving = self.follower.view.leaving_servers(work.service)
        return tuple(work.tries.tried.union(self._paused(work), leaving))

    def _paused(self, work: RequestContext) -> list[BackendId]:
        """Return the servers that want nothing from this gateway now."""
        paused = self.pace.pauses.paused(self.clock.now())
        if not paused:
            return []
        serving = self.follower.view.serving(work.service)
        return [server.instance for server in serving if server.instance in paused]

    def _ask(self, work: RequestContext, *, dry: bool) -> PlaceRequest:
        now = self.clock.now()
        return PlaceRequest(
            request=work.request.attempt_id,
            service=work.service,
            prompt_tokens=work.request.prompt_tokens,
            prefix=tuple(
                PlacedPart(name=part.name, tokens=part.tokens) for part in work.request.prefix
            ),
            priority=work.route.priority,
            objective_ms=int((work.objective_deadline - now) * MS_PER_S),
            left_ms=int((work.deadline - now) * MS_PER_S),
            result_bytes=work.input_bytes,
            avoid=self._avoided(work),
            dry=dry,
            account=work.suspect.account,
            zones=None if work.allowed_zones is None else tuple(work.allowed_zones),
            limits=self.turns.told(
                server.instance for server in self.follower.view.serving(work.service)
            ),
        )

    def _place_here(self, ask: PlaceRequest, *, peers: Collection[str] = ()) -> Chosen | None:
        service = self._service(ask.service)
        if service is None:
            return None
        placer = self._placer(service.name)
        engines = self.follower.serving(service.name, ask.account, ask.zones)
        now = self.clock.now()
        placement = placer.place(ask, engines, service, now, peers=peers)
        if placement is None:
            turn_in_s = placer.turn_in_s(ask, engines, now, peers=peers)
            return Chosen(engine=None, wait_s=turn_in_s) if turn_in_s else None
        if not ask.dry:
            self._log(ask, placement)
        return Chosen(engine=placement.engine, wait_s=placement.wait_s)

    def _log(self, ask: PlaceRequest, placement: Placement) -> None:
        self.node.events.emit(
            logger,
            Event.request_placed,
            request=ask.request,
            backend=placement.engine.instance,
            cost=round(placement.cost, 3),
            unread=placement.unread,
            backlog=placement.backlog,
            disturbed=round(placement.disturbed, 3),
            prompt=ask.prompt_tokens,
            objective_ms=ask.objective_ms,
            wait_ms=round(placement.wait_s * MS_PER_S),
        )

    async def _ask_owner(self, owner: str, ask: PlaceRequest) -> Chosen | None:
        try:
            received = await self.client.call(owner, PLACE, ask, timeout_s=_ASK_S)
        except UnreachableError as error:
            logger.debug('placed here: %s', error)
            self.avoided[owner] = self.clock.now() + _AVOID_S
            return None
        reply: PlaceReply = received.body
        if not reply.instance and reply.wait_s:
            return Chosen(engine=None, wait_s=reply.wait_s)
        serving = self.follower.view.serving(ServiceName(ask.service))
        engine = next((known for known in serving if known.instance == reply.instance), None)
        return None if engine is None else Chosen(engine=engine, wait_s=reply.wait_s)

    def _tell(self, work: RequestContext, *, over: bool) -> None:
        self._spread(
            ProgressNote(service=work.service, request=work.request.attempt_id, over=over),
        )

    def _spread(self, note: ProgressNote) -> None:
        self._hear(note)
        owner = self.ownership.owner_of(note.service)
        if owner:
            self.tasks.spawn(self._tell_owner(owner, note))

    async def _tell_owner(self, owner: str, note: ProgressNote) -> None:
        try:
            await self.client.call(owner, PROGRESS, note, timeout_s=_TELL_S)
        except UnreachableError as error:
            logger.debug('progress not told: %s', error)

    def _hear(self, note: ProgressNote) -> None:
        placer = self._placer(note.service)
        if note.silent:
            self._eject(BackendId(note.silent))
        elif note.over:
            placer.ended(note.request)
        else:
            placer.began(note.request, self.clock.now())

    def _eject(self, instance: BackendId) -> None:
        now = self.clock.now()
        if now >= self.health.of(instance).ejected_until:
            self.health.failed(instance, now, hard=True)

    def _placer(self, service: str) -> Placer:
        if service not in self.placers:
            self.placers[service] = Placer(health=self.health, pace=self.pace)
        return self.placers[service]

    def _service(self, name: str) -> BackendService | None:
        return self.follower.table.services.get(ServiceName(name))
