"""Route pieces to the gateway that owns their service.

One gateway, the owner, forms the batches of a service for all gateways. It is chosen by
rendezvous hashing over the gateways that the control plane lists; the others send it
their pieces. A gateway that can't reach the owner forms its own batches.
"""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.clock import MS_PER_S
from ringseam.errors import UnreachableError
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.reservations.messages import RESERVE, WITHDRAW, scoped_id
from ringseam.gateway.stages.jobs import PieceJob
from ringseam.gateway.stages.messages import (
    PIECES,
    RELEASE,
    WAITS,
    PieceReply,
    PieceRequest,
    ReleaseRequest,
    Waits,
    WaitsReply,
    WaitsRequest,
)
from ringseam.gateway.stages.ownerreservations import OwnerReservations
from ringseam.messages import Empty
from ringseam.platform.stages import PieceFault, PieceResult
from ringseam.quarantinemessages import Suspect
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.clock import Clock
    from ringseam.envelopes import ReceivedMessage
    from ringseam.gateway.following.ownership import Ownership
    from ringseam.gateway.reservations.messages import (
        ReserveReply,
        ReserveRequest,
        WithdrawRequest,
    )
    from ringseam.gateway.stages.scheduler import PieceScheduler
    from ringseam.routes import ServiceName
    from ringseam.rpc import CallClient, CallServer

logger = logging.getLogger(__name__)

#: Waits reported by an owner are used for this long, seconds: a call to a stage server
#: takes 0.2 s and more.
_WAITS_TTL_S = 0.5
#: An owner is asked again before a request is admitted if its report is older than this,
#: seconds. Under load, when the report matters most, its replies are delayed.
_WAITS_REFRESH_S = 0.15
#: Timeout for asking an owner for its waits, seconds; a round trip takes milliseconds.
_WAITS_TIMEOUT_S = 0.05
_RELEASE_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True)
class ReportedWaits:
    """How long new pieces wait at a service's owner, and when it reported so."""

    at: float
    waits: Waits

    def wait_s(self, precedence: Precedence) -> float:
        """Return the reported wait of a new piece, seconds."""
        by_rank = self.waits.again_ms if precedence.returned else self.waits.first_ms
        known = [wait_ms for rank, wait_ms in by_rank.items() if rank <= precedence.rank]
        return max(known, default=0) / MS_PER_S


class PieceClient:
    """Run pieces at the gateway that forms the batches of their service."""

    def __init__(
        self,
        *,
        clock: Clock,
        client: CallClient,
        scheduler: PieceScheduler,
        ownership: Ownership,
    ) -> None:
        """Use ``scheduler`` for the services that this gateway owns."""
        self.clock = clock
        self.client = client
        self.scheduler = scheduler
        self.ownership = ownership
        self.reservations = OwnerReservations(scheduler=scheduler)
        self.tasks = TaskSet()
        self.reported_waits: dict[ServiceName, ReportedWaits] = {}

    async def run(self, job: PieceJob) -> list[PieceResult]:
        """Run a job and return a result for each of its pieces."""
        asked: set[str] = set()
        owner = self.ownership.owner_of(job.service)
        while owner and owner not in asked:
            asked.add(owner)
            reply = await self._run_at_owner(owner, job)
            if reply is not None:
                return reply
            owner = self.ownership.owner_of(job.service)
        if job.deadline <= self.clock.now():
            # The deadline passed while the owner was tried; there is no time to run it here.
            return [PieceResult(fault=PieceFault.late) for _ in job.pieces]
        return await self.scheduler.run(job)

    def release(self, service: ServiceName, handles: tuple[str, ...]) -> None:
        """Release results in the background."""
        owner = self.ownership.owner_of(service)
        if owner:
            self.tasks.spawn(self._send_release(owner, service, handles))
        else:
            self.scheduler.release(service, handles)

    def wait_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Return the estimated wait of a new piece, seconds; 0 if it is unknown."""
        if not self.ownership.owner_of(service):
            return self.scheduler.wait_s(service, precedence)
        reported = self._current_report(service)
        return reported.wait_s(precedence) if reported else 0

    def backlog_s(self, service: ServiceName) -> float:
        """Return the estimated time to clear the queue, seconds; 0 if it is unknown."""
        if not self.ownership.owner_of(service):
            return self.scheduler.backlog_s(service)
        reported = self._current_report(service)
        return reported.waits.backlog_ms / MS_PER_S if reported else 0

    async def refresh_waits(self, services: Collection[ServiceName]) -> None:
        """Ask the owners of services for their waits where the last report is old."""
        oldest = self.clock.now() - _WAITS_REFRESH_S
        asked: dict[str, list[ServiceName]] = {}
        for service in sorted(services):
            owner = self.ownership.owner_of(service)
            reported = self.reported_waits.get(service)
            if owner and (reported is None or reported.at < oldest):
                asked.setdefault(owner, []).append(service)
        await asyncio.gather(
            *(self._ask_owner_waits(owner, tuple(names)) for owner, names in asked.items()),
        )

    # -- calls of other gateways --------------------------------------------

    def register(self, server: CallServer) -> None:
        """Register the methods that other gateways call."""
        server.add(PIECES, self.serve_pieces)
        server.add(WAITS, self.serve_waits)
        server.add(RESERVE, self.serve_reserve)
        server.add(WITHDRAW, self.serve_withdraw)
        server.add(RELEASE, self.serve_release)

    async def serve_waits(self, received: ReceivedMessage) -> WaitsReply:
        """Report to another gateway how long new pieces would wait here."""
        request: WaitsRequest = received.body
        return WaitsReply(
            waits={service: self.scheduler.waits(service) for service in request.services},
        )

    async def serve_reserve(self, received: ReceivedMessage) -> ReserveReply:
        """Reserve capacity for a request that another gateway admits."""
        request: ReserveRequest = received.body
        return self.reservations.reserve(request)

    async def serve_withdraw(self, received: ReceivedMessage) -> Empty:
        """End the reservations of a request that another gateway does not run."""
        request: WithdrawRequest = received.body
        request_id = scoped_id(request.gateway, request.attempt_id)
        self.reservations.withdraw(request_id, request.services)
        return Empty()

    async def serve_pieces(self, received: ReceivedMessage) -> PieceReply:
        """Run pieces for another gateway."""
        request: PieceRequest = received.body
        outcome = await self.scheduler.run(_job_of(request, self.clock.now()))
        faults = [piece.fault for piece in outcome if piece.fault is not None]
        return PieceReply(
            handles=tuple(piece.handle for piece in outcome),
            fault=faults[0].value if faults else '',
            waits=self.scheduler.waits(request.service),
        )

    async def serve_release(self, received: ReceivedMessage) -> Empty:
        """Release results for another gateway."""
        request: ReleaseRequest = received.body
        self.scheduler.release(request.service, request.handles)
        return Empty()

    # -- helpers ------------------------------------------------------------

    def _current_report(self, service: ServiceName) -> ReportedWaits | None:
        """Return the last waits that an owner reported, unless they are outdated."""
        reported = self.reported_waits.get(service)
        if reported is None or self.clock.now() - reported.at > _WAITS_TTL_S:
            return None
        return reported

    async def _run_at_owner(self, owner: str, job: PieceJob) -> list[PieceResult] | None:
        """Run a job at the owner and return the results; None if it can't be reached."""
        now = self.clock.now()
        timeout_s = max(0, job.deadline - now)
        request = _request_of(job, now)
        call = asyncio.ensure_future(self.client.call(owner, PIECES, request, timeout_s=timeout_s))
        try:
            await self._wait_for_call(call, owner)
            if not call.done():
                return None
            reply: PieceReply = call.result().body
        except UnreachableError as error:
            logger.debug('pieces of %s not sent to owner: %s', job.service, error)
            return None
        finally:
            call.cancel()
        self.reported_waits[job.service] = ReportedWaits(at=self.clock.now(), waits=reply.waits)
        return _results_of(reply)

    async def _ask_owner_waits(self, owner: str, services: tuple[ServiceName, ...]) -> None:
        request = WaitsRequest(services=services)
        try:
            received = await self.client.call(owner, WAITS, request, timeout_s=_WAITS_TIMEOUT_S)
        except UnreachableError as error:
            logger.debug('waits not received: %s', error)
            return
        reply: WaitsReply = received.body
        for service, waits in reply.waits.items():
            self.reported_waits[service] = ReportedWaits(at=self.clock.now(), waits=waits)

    async def _wait_for_call(
        self,
        call: asyncio.Future[ReceivedMessage],
        owner: str,
    ) -> None:
        """Wait until the call is over or its owner is gone.

        An owner that is shutting down still finishes the calls that it has accepted.
        """
        while not call.done() and self.ownership.is_present(owner):
            changed = asyncio.ensure_future(self.scheduler.changed.wait())
            try:
                await asyncio.wait({call, changed}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                changed.cancel()

    async def _send_release(
        self,
        owner: str,
        service: ServiceName,
        handles: tuple[str, ...],
    ) -> None:
        request = ReleaseRequest(service=service, handles=handles)
        try:
            await self.client.call(owner, RELEASE, request, timeout_s=_RELEASE_TIMEOUT_S)
        except UnreachableError as error:
            # The server discards results by itself when their retention time is over.
            logger.debug('results of %s not released at owner: %s', service, error)


def _request_of(job: PieceJob, now: float) -> PieceRequest:
    return PieceRequest(
        attempt_id=job.attempt_id,
        service=job.service,
        stage=job.stage,
        pieces=job.pieces,
        key=job.key,
        inputs=job.inputs,
        due_ms=int((job.due - now) * MS_PER_S),
        left_ms=max(0, int((job.deadline - now) * MS_PER_S)),
        rank=job.rank,
        returned=job.returned,
        result_bytes=job.result_bytes,
        zone=job.zone,
        zones=None if job.zones is None else tuple(job.zones),
        expires_ms=-1 if math.isinf(job.expires) else max(0, int((job.expires - now) * MS_PER_S)),
        inputs_of=job.inputs_of,
        content=job.suspect.content,
        account=job.suspect.account,
        parts=job.suspect.parts,
        trial_ms=-1 if job.trial_at is None else max(0, int((now - job.trial_at) * MS_PER_S)),
    )


def _job_of(request: PieceRequest, now: float) -> PieceJob:
    return PieceJob(
        attempt_id=request.attempt_id,
        service=request.service,
        stage=request.stage,
        pieces=request.pieces,
        key=request.key,
        inputs=request.inputs,
        due=now + request.due_ms / MS_PER_S,
        deadline=now + request.left_ms / MS_PER_S,
        rank=request.rank,
        returned=request.returned,
        result_bytes=request.result_bytes,
        zone=request.zone,
        zones=None if request.zones is None else frozenset(request.zones),
        expires=math.inf if request.expires_ms < 0 else now + request.expires_ms / MS_PER_S,
        inputs_of=request.inputs_of,
        suspect=Suspect(content=request.content, account=request.account, parts=request.parts),
        trial_at=None if request.trial_ms < 0 else now - request.trial_ms / MS_PER_S,
    )


def _results_of(reply: PieceReply) -> list[PieceResult]:
    fault = PieceFault(reply.fault) if reply.fault else None
    return [PieceResult(handle=handle, fault=None if handle else fault) for handle in reply.handles]
