"""Processor time of the gateway that decides for a service: ``python -m bench.deciders``.

Asks of many gateways, with nothing of a network in between, reach the real classes of the
deciding gateway in virtual time: requests arrive by a fixed seed and are made by servers,
beside a backlog of a given size. Printed are
microseconds of processor a piece; with ``--profile`` also where they go.
"""

from __future__ import annotations

import asyncio
import cProfile
import io
import logging
import math
import pstats
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any

import typer

from ringseam.backends import BackendId, BackendReport, BackendView, GatewayState
from ringseam.envelopes import ReceivedMessage
from ringseam.gateway.following.guard import QuarantineGuard
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.ownership import Ownership
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.stages.client import PieceClient
from ringseam.gateway.stages.messages import PieceRequest, ReleaseRequest, WaitsRequest
from ringseam.gateway.stages.scheduler import PieceScheduler
from ringseam.model.virtualtime import run_virtual
from ringseam.node import Node
from ringseam.platform.stages import PieceResult
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.retries import WindowRetries
from ringseam.routes import BackendService, BatchSpec, RouteTable, ServiceName

if TYPE_CHECKING:
    from ringseam.clock import PausedClock

SERVICE = ServiceName('crops')
#: Gateways that ask, what they ask for as a share of what servers can do, and pieces that
#: wait besides.
CASES = (
    (21, 0.5, 0),
    (68, 0.5, 0),
    (68, 1.0, 70),
    (68, 1.0, 700),
    (300, 0.5, 0),
    (300, 1.0, 70),
    (300, 1.0, 700),
    (300, 0.05, 0),
)
#: Pieces of a request, at most; requests a second and gateway.
_PIECES = 10
_REQUESTS_PER_S = 1.0
_BATCH = 20
_CALL_S = 0.4
#: Servers for each gateway that do all that it asks for.
_SERVERS_PER_GATEWAY = (_PIECES + 1) / 2 * _REQUESTS_PER_S * _CALL_S / _BATCH
_LENGTH_S = 6.0
_RANKS = 3
#: Requests of the backlog have this long.
_PATIENT_S = 1000.0
_MILLION = 1e6


@dataclass(kw_only=True)
class Case:
    """One decider under the asks of some gateways."""

    clock: PausedClock
    gateways: int
    load: float
    backlog: int
    pieces_made: int = 0
    calls: int = 0

    def __post_init__(self) -> None:
        """Wire the classes of a deciding gateway."""
        self.dice = random.Random(self.gateways)
        spec = BatchSpec(
            slots=1,
            queue=2,
            batch=_BATCH,
            call_s=_CALL_S / 2,
            piece_s=_CALL_S / 2 / _BATCH,
            result_capacity_bytes=10**9,
            result_retention_s=4,
        )
        follower: Any = Follower(
            spec, self.gateways, math.ceil(self.gateways * _SERVERS_PER_GATEWAY / self.load)
        )
        self.node = Node(
            name='g0',
            role='gateway',
            address='g0:1',
            secret=b'',
            zone='z0',
            clock=self.clock,
        )
        self.works = PieceScheduler(
            node=self.node,
            follower=follower,
            calls=self,
            retries=WindowRetries(),
            guard=QuarantineGuard(
                node=self.node,
                client=self,
                follower=follower,
                health=HealthTracker(),
                pool=None,
            ),
            ownership=Ownership(follower=follower, name='g0'),
            pacer=Pacer(name='g0'),
        )
        self.pieces = PieceClient(
            clock=self.clock,
            client=self,
            scheduler=self.works,
            ownership=self.works.ownership,
        )

    async def run(self, call: Any) -> list[PieceResult]:
        """Make the pieces of a call."""
        await asyncio.sleep(call.expected_s)
        self.calls += 1
        self.pieces_made += len(call.pieces)
        return [
            PieceResult(handle=f'{call.server.address}/{piece.job.attempt_id}{piece.number}')
            for piece in call.pieces
        ]

    async def release(self, maker: str, instance: str, handles: list[str]) -> None:
        """Give results up."""

    async def ask(self, number: int) -> None:
        """Ask as a gateway does for one request: waits, pieces, and the release."""
        await self.pieces.serve_waits(_received(WaitsRequest(services=(SERVICE,))))
        request = self._request(f'r{number}', self.dice.randint(1, _PIECES), 8.0)
        reply = await self.pieces.serve_pieces(_received(request))
        handles = tuple(handle for handle in reply.handles if handle)
        await self.pieces.serve_release(_received(ReleaseRequest(service=SERVICE, handles=handles)))

    async def play(self) -> None:
        """Let requests come for a while."""
        tasks = [asyncio.ensure_future(self._wait_in_vain()) for _ in range(self.backlog // 5)]
        count = int(_LENGTH_S * self.gateways * _REQUESTS_PER_S)
        loop = asyncio.get_running_loop()
        for number in range(count):
            loop.call_later(
                self.dice.random() * _LENGTH_S,
                lambda which: tasks.append(asyncio.ensure_future(self.ask(which))),
                number,
            )
        await asyncio.sleep(_LENGTH_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_in_vain(self) -> None:
        """Let a request of the last rank wait behind all others."""
        number = self.dice.random()
        request = self._request(f'b{number}', 5, _PATIENT_S, rank=_RANKS)
        while True:
            await self.pieces.serve_pieces(_received(request))

    def _request(
        self,
        attempt: str,
        count: int,
        left_s: float,
        rank: int | None = None,
    ) -> PieceRequest:
        left_ms = int(left_s * 1000)
        return PieceRequest(
            attempt_id=attempt,
            service=SERVICE,
            stage=0,
            pieces=tuple(range(count)),
            key='k',
            due_ms=left_ms // 2,
            left_ms=left_ms,
            rank=self.dice.randrange(_RANKS) if rank is None else rank,
            result_bytes=1000,
            zone='',
        )


class Follower:
    """What the decider knows: some servers, and all gateways."""

    def __init__(self, spec: BatchSpec, gateways: int, servers: int) -> None:
        """Begin with all there is."""
        service = BackendService(name=SERVICE, health_path='/', max_connections=9, batching=spec)
        self.table = RouteTable(services={SERVICE: service})
        self.view = BackendView()
        self.quarantine = QuarantineSnapshot(version=0)
        self.is_connected = True
        for number in range(servers):
            report = BackendReport(
                instance=BackendId(f'i{number}'),
                service=SERVICE,
                address=f's{number}:1',
                zone=f'z{number % 6}',
                sequence=1,
            )
            self.view.apply(report)
        self.gateways = tuple(
            GatewayState(name=f'g{number}', address=f'g{number}:1', zone=f'z{number % 6}')
            for number in range(gateways)
        )


def _received(body: Any) -> ReceivedMessage:
    return ReceivedMessage(sender='', address='', group='', revision=0, body=body)


def main(
    *, profile: Annotated[bool, typer.Option(help='Show where the time goes.')] = False
) -> None:
    """Print a row for each case."""
    logging.getLogger('ringseam').setLevel(logging.INFO)
    logging.getLogger('ringseam').addHandler(logging.NullHandler())
    logging.getLogger('ringseam').propagate = False
    print('gateways  load  wait  pieces made  a call  us a piece')
    for gateways, load, backlog in CASES:
        _play(gateways, load, backlog, profile=profile)


def _play(gateways: int, load: float, backlog: int, *, profile: bool) -> None:
    cases: list[Case] = []

    async def run(clock: PausedClock) -> None:
        cases.append(Case(clock=clock, gateways=gateways, load=load, backlog=backlog))
        await cases[0].play()

    watch = cProfile.Profile()
    if profile:
        watch.enable()
    begun = time.process_time()
    run_virtual(run)
    took = time.process_time() - begun
    watch.disable()
    case = cases[0]
    made = max(1, case.pieces_made)
    filled = made / max(1, case.calls)
    print(
        f'{gateways:8} {load:5} {backlog:5} {made:12} {filled:7.1f} {_MILLION * took / made:11.1f}'
    )
    if profile:
        text = io.StringIO()
        pstats.Stats(watch, stream=text).sort_stats('cumtime').print_stats(25)
        print(text.getvalue())


if __name__ == '__main__':
    typer.run(main)
