"""Simulated stage servers: batched calls, limited result capacity and expiring results."""

from __future__ import annotations

import asyncio
import collections
import itertools
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from ringseam.gateway.stages.calls import FullError
from ringseam.model.hosts import ModelHost
from ringseam.model.notices import ModelNotices
from ringseam.platform.stages import PieceFault, PieceResult, server_address_of
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ringseam.backends import BackendId, BackendReport
    from ringseam.calls import ResponseMetadata
    from ringseam.clock import Clock
    from ringseam.gateway.following.serverwords import ServerNotices
    from ringseam.gateway.stages.jobs import Piece, StageCall
    from ringseam.model.pattern import ServiceLoad

_MEGABYTE = 1_000_000
#: Transfer time of a megabyte between two servers, seconds (10 Gbit/s).
_FETCH_S_PER_MB = 0.0008
#: Duration of a call that is never answered, seconds; the caller cancels it earlier.
_NEVER_S = 3600.0
#: Latency within a zone, as a share of the latency between zones.
_IN_ZONE_SHARE = 1 / 7


def create_set_event() -> asyncio.Event:
    """Return an event that is set."""
    event = asyncio.Event()
    event.set()
    return event


@dataclass(kw_only=True)
class ResultStore:
    """The results stored at all servers, and counters of their transfers."""

    clock: Clock
    zone_s: float
    #: Zone and size in bytes, by handle.
    stored: dict[str, tuple[str, float]] = field(default_factory=dict)
    handle_numbers: itertools.count[int] = field(default_factory=itertools.count)
    crossed_bytes: float = 0
    failed_fetches: int = 0

    def has_all(self, handles: Iterable[str]) -> bool:
        """Return whether all results are still stored."""
        return all(handle in self.stored for handle in handles)

    async def fetch(self, handles: Iterable[str], zone: str) -> bool:
        """Fetch results for a server in ``zone``; return False if one is lost."""
        duration_s: float = 0
        for handle in handles:
            if handle not in self.stored:
                self.failed_fetches += 1
                return False
            source_zone, size = self.stored[handle]
            duration_s += size / _MEGABYTE * _FETCH_S_PER_MB
            if source_zone != zone:
                self.crossed_bytes += size
                duration_s += self.zone_s / 4
        await asyncio.sleep(duration_s)
        return True


@dataclass(kw_only=True)
class StageServer:
    """One server that runs batches of pieces, one call at a time."""

    report: BackendReport
    load: ServiceLoad
    clock: Clock
    result_store: ResultStore
    #: Returns the duration of a piece relative to ``piece_s``.
    relative_cost_of: Callable[[Piece], float]
    slowdown: float = 1
    silent: bool = False
    down: bool = False
    #: Cleared while the server is stalled: it takes calls and answers none.
    running: asyncio.Event = field(default_factory=create_set_event)
    pending_calls: int = 0
    notices: ModelNotices = field(default_factory=ModelNotices)
    execution_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    used_bytes: float = 0
    #: Size in bytes of the results stored here, by handle.
    result_sizes: dict[str, float] = field(default_factory=dict)
    busy_s: float = 0
    #: Number of calls that were run, and of their pieces.
    calls_run: int = 0
    pieces_run: int = 0
    host: ModelHost = field(init=False)
    #: Time spent on pieces, seconds, by attempt ID.
    seconds_by_attempt: collections.Counter[str] = field(default_factory=collections.Counter)

    def __post_init__(self) -> None:
        """Create the host."""
        self.host = ModelHost(name=self.report.instance, load=self.load)

    def response_metadata(self) -> ResponseMetadata:
        """Return the metadata of a response sent now."""
        now = self.clock.now()
        reported = self.host.reported_load(
            now,
            running=min(1, self.pending_calls),
            waiting=max(0, self.pending_calls - 1),
            slots=1,
        )
        return replace(self.notices.response_metadata('', now), load=reported)

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Run a call after the calls that are queued before it.

        :raises FullError: if the queue is full.
        :raises ChannelError: if the server is down.
        """
        if self.silent:
            await asyncio.sleep(_NEVER_S)
        if self.down:
            raise ChannelError('down', sent=False)
        if self.pending_calls > self.load.queue:
            raise FullError('full', sent=False)
        self.pending_calls += 1
        try:
            async with self.execution_lock:
                # A server finishes a started call even if the caller has cancelled it.
                return await asyncio.shield(asyncio.ensure_future(self._execute(call)))
        finally:
            self.pending_calls -= 1

    def release(self, handle: str) -> None:
        """Release a stored result."""
        self.used_bytes -= self.result_sizes.pop(handle, 0)
        self.result_store.stored.pop(handle, None)

    def crash(self) -> None:
        """Lose all results; running calls fail."""
        self.down = True
        for handle in list(self.result_sizes):
            self.release(handle)

    def restart(self) -> None:
        """Return to service without stored results."""
        self.down = False
        self.silent = False
        self.running.set()
        self.used_bytes = 0

    async def _execute(self, call: StageCall) -> list[PieceResult]:
        now = self.clock.now()
        faults = [await self._admit(piece, now) for piece in call.pieces]
        accepted = [
            piece for piece, fault in zip(call.pieces, faults, strict=True) if fault is None
        ]
        shares = sum(map(self.relative_cost_of, accepted))
        work_s = (self.load.call_s + self.load.piece_s * shares) * self.slowdown
        started = self.clock.now()
        duration_s = self.host.end_of(work_s, started) - started
        await asyncio.sleep(duration_s)
        await self.running.wait()
        self.busy_s += duration_s
        self.calls_run += 1
        self.pieces_run += len(accepted)
        if self.down:
            raise ChannelError('reset', sent=True)
        for executed in accepted:
            self.seconds_by_attempt[executed.job.attempt_id] += duration_s / len(accepted)
        return [
            PieceResult(fault=fault) if fault else self._store_result(piece)
            for piece, fault in zip(call.pieces, faults, strict=True)
        ]

    async def _admit(self, piece: Piece, now: float) -> PieceFault | None:
        if piece.job.deadline < now:
            return PieceFault.late
        if not await self.result_store.fetch(piece.job.inputs, self.report.zone):
            return PieceFault.input_lost
        if self.used_bytes + piece.job.result_bytes > self.load.room_mb * _MEGABYTE:
            return PieceFault.no_capacity
        self.used_bytes += piece.job.result_bytes
        return None

    def _store_result(self, piece: Piece) -> PieceResult:
        handle = f'{self.report.address}/{next(self.result_store.handle_numbers)}'
        size = piece.job.result_bytes
        self.result_sizes[handle] = size
        self.result_store.stored[handle] = (self.report.zone, size)
        asyncio.get_running_loop().call_later(self.load.keep_s, self.release, handle)
        return PieceResult(handle=handle)


@dataclass(kw_only=True)
class ModelPieceCalls:
    """Call simulated stage servers; stands in for the gateway's HTTP calls."""

    servers: dict[str, StageServer]
    zone: str
    zone_s: float
    notices: ServerNotices

    async def run(self, call: StageCall) -> list[PieceResult]:
        """Run a call and return its results; see :meth:`StageServer.run`."""
        server = self.servers[call.server.address]
        latency_s = network_latency_s(server.report.zone, self.zone, self.zone_s)
        await asyncio.sleep(latency_s)
        instance = call.server.instance
        if server.notices.refuses_call(server.clock.now()):
            self.notices.record(instance, server.response_metadata())
            raise FullError('paused', sent=False)
        sent_at = server.clock.now()
        piece_results = await server.run(call)
        self.notices.record(instance, server.response_metadata())
        ended_at = server.clock.now()
        self.notices.speeds.observe(
            call.server.service,
            instance,
            expected_s=call.expected_s,
            duration_s=ended_at - sent_at,
            now=ended_at,
        )
        await asyncio.sleep(latency_s)
        return piece_results

    async def release(self, address: str, instance: BackendId, handles: list[str]) -> None:
        """Release results at the server that stores them."""
        server = self.servers[address]
        server.notices.call_times.append(server.clock.now())
        latency_s = network_latency_s(server.report.zone, self.zone, self.zone_s)
        await asyncio.sleep(latency_s)
        for handle in handles:
            if server_address_of(handle) == address:
                server.release(handle)
        await asyncio.sleep(latency_s)


def network_latency_s(zone: str, other: str, zone_s: float) -> float:
    """Return the one-way latency between hosts in two zones, seconds."""
    return zone_s * _IN_ZONE_SHARE if zone == other else zone_s
