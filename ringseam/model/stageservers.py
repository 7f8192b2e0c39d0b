"""Stage servers in virtual time: calls, batches, room and results that expire."""

from __future__ import annotations

import asyncio
import collections
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.gateway.stages.calls import FullError
from ringseam.model.saying import Saying
from ringseam.platform.stages import PieceFault, PieceResult, server_address_of
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ringseam.backends import BackendId, BackendReport
    from ringseam.clock import Clock
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.stages.jobs import Piece, StageCall
    from ringseam.model.pattern import ServiceLoad

_MEGABYTE = 1_000_000
#: Between two servers, a megabyte of a result takes this long (10 Gbit/s).
_FETCH_S_PER_MB = 0.0008
#: A call that nobody will answer; it is cancelled by whoever waits.
_NEVER_S = 3600.0
#: Within a zone a message takes this share of its way between zones.
_IN_ZONE_SHARE = 1 / 7


@dataclass(kw_only=True)
class Results:  # noqa: WPS110 - what the servers keep is called so
    """All results that some server keeps, and what became of the others."""

    clock: Clock
    zone_s: float
    #: Zone and bytes by handle.
    kept: dict[str, tuple[str, float]] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)
    crossed_bytes: float = 0
    gone: int = 0

    def has(self, handles: Iterable[str]) -> bool:
        """Return whether all are still kept."""
        return all(handle in self.kept for handle in handles)

    async def fetch(self, handles: Iterable[str], zone: str) -> bool:
        """Fetch results for a server in ``zone``; False when one is gone."""
        took_s: float = 0
        for handle in handles:
            if handle not in self.kept:
                self.gone += 1
                return False
            maker_zone, size = self.kept[handle]
            took_s += size / _MEGABYTE * _FETCH_S_PER_MB
            if maker_zone != zone:
                self.crossed_bytes += size
                took_s += self.zone_s / 4
        await asyncio.sleep(took_s)
        return True


@dataclass(kw_only=True)
class StageServer:
    """One server that works on pieces, one call at a time."""

    report: BackendReport
    load: ServiceLoad
    clock: Clock
    others: Results
    #: What a piece takes, as a share of the usual, by route's stage.
    work_of: Callable[[Piece], float]
    factor: float = 1
    silent: bool = False
    down: bool = False
    waiting: int = 0
    saying: Saying = field(default_factory=Saying)
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    room: float = 0
    #: Bytes of the results that are kept here.
    mine: dict[str, float] = field(default_factory=dict)
    busy_s: float = 0
    #: Seconds that were spent on pieces, by the request's attempt.
    spent: collections.Counter[str] = field(default_factory=collections.Counter)

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Work on a call when its turn comes.

        :raises FullError: when too many wait.
        :raises ChannelError: when the server is down.
        """
        if self.silent:
            await asyncio.sleep(_NEVER_S)
        if self.down:
            raise ChannelError('down', sent=False)
        if self.waiting > self.load.queue:
            raise FullError('full', sent=False)
        self.waiting += 1
        try:
            async with self.turn:
                # A server goes on with what it has begun, whoever waits for it.
                return await asyncio.shield(asyncio.ensure_future(self._work(call)))
        finally:
            self.waiting -= 1

    def free(self, handle: str) -> None:
        """Give a result up."""
        self.room -= self.mine.pop(handle, 0)
        self.others.kept.pop(handle, None)

    def crash(self) -> None:
        """Lose all results and calls."""
        self.down = True
        for handle in list(self.mine):
            self.free(handle)

    def restart(self) -> None:
        """Begin again with an empty room."""
        self.down = False
        self.silent = False
        self.room = 0

    async def _work(self, call: StageCall) -> list[PieceResult]:
        now = self.clock.now()
        outcomes = [await self._admit(piece, now) for piece in call.pieces]
        made = [piece for piece, fault in zip(call.pieces, outcomes, strict=True) if fault is None]
        shares = sum(map(self.work_of, made))
        took_s = (self.load.call_s + self.load.piece_s * shares) * self.factor
        await asyncio.sleep(took_s)
        self.busy_s += took_s
        if self.down:
            raise ChannelError('reset', sent=True)
        for done in made:
            self.spent[done.job.attempt_id] += took_s / len(made)
        return [
            PieceResult(fault=fault) if fault else self._keep(piece)
            for piece, fault in zip(call.pieces, outcomes, strict=True)
        ]

    async def _admit(self, piece: Piece, now: float) -> PieceFault | None:
        if piece.job.deadline < now:
            return PieceFault.late
        if not await self.others.fetch(piece.job.inputs, self.report.zone):
            return PieceFault.input_lost
        if self.room + piece.job.result_bytes > self.load.room_mb * _MEGABYTE:
            return PieceFault.no_capacity
        self.room += piece.job.result_bytes
        return None

    def _keep(self, piece: Piece) -> PieceResult:
        handle = f'{self.report.address}/{next(self.others.numbers)}'
        size = piece.job.result_bytes
        self.mine[handle] = size
        self.others.kept[handle] = (self.report.zone, size)
        asyncio.get_running_loop().call_later(self.load.keep_s, self.free, handle)
        return PieceResult(handle=handle)


@dataclass(kw_only=True)
class ModelPieceCalls:
    """Calls to stage servers in memory, in place of those over connections."""

    servers: dict[str, StageServer]
    zone: str
    zone_s: float
    words: ServerNotices

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Return the results of a call; see :class:`StageServer`."""
        server = self.servers[call.server.address]
        way_s = way_between(server.report.zone, self.zone, self.zone_s)
        await asyncio.sleep(way_s)
        instance = call.server.instance
        if server.saying.turns_away(server.clock.now()):
            self.words.record(instance, server.saying.marks('', server.clock.now()))
            raise FullError('paused', sent=False)
        made = await server.run(call)
        self.words.record(instance, server.saying.marks('', server.clock.now()))
        await asyncio.sleep(way_s)
        return made

    async def release(self, maker: str, instance: BackendId, handles: list[str]) -> None:
        """Give results up at their maker."""
        server = self.servers[maker]
        server.saying.arrived.append(server.clock.now())
        way_s = way_between(server.report.zone, self.zone, self.zone_s)
        await asyncio.sleep(way_s)
        for handle in handles:
            if server_address_of(handle) == maker:
                server.free(handle)
        await asyncio.sleep(way_s)


def way_between(zone: str, other: str, zone_s: float) -> float:
    """Return how long a message takes between two hosts, seconds."""
    return zone_s * _IN_ZONE_SHARE if zone == other else zone_s
