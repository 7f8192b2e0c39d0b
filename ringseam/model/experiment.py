"""One run of a pattern under the policies in force, and what came of it."""

from __future__ import annotations

import asyncio
import collections
import functools
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.backends import BackendId, BackendReport, BackendState
from ringseam.model.clients import Clients, End
from ringseam.model.engines import ModelEngine, PromptUse
from ringseam.model.gateways import ModelGateway, ModelLeader, ModelLinks, Servers
from ringseam.model.pattern import EventKind
from ringseam.model.stageservers import Results, StageServer
from ringseam.model.virtualtime import run_virtual
from ringseam.routes import ServiceName
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from ringseam.clock import PausedClock
    from ringseam.gateway.stages.jobs import Piece
    from ringseam.model.clients import Outcome
    from ringseam.model.pattern import Pattern, PatternEvent, Prices

#: Requests are sent after the servers have been told to all, seconds.
_BEGIN_S = 0.05
#: Worth is looked at in windows of this length, seconds.
_WINDOW_S = 2.0
_GIGABYTE = 1e9
_THOUSAND = 1000
#: Waiting unserved costs nothing up to this share of the objective, and the whole
#: worth from this share of the time limit on.
_FREE_SHARE = 1 / 8
_WHOLE_SHARE = 3 / 4
#: A server that fell silent is out of the directory after this, seconds.
_NOTICED_S = 4.5
#: Servers say something of themselves, and go on.
_WORDS = frozenset((EventKind.limited, EventKind.paused, EventKind.saying))
#: An engine that a content has ended is back after this, seconds.
_AWAY_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Summary:
    """What one run came to; shares are of what was owed."""

    worth: float
    worst_windows: float
    #: Share of the worth earned, and of requests in time, by route.
    earned: dict[str, float]
    in_time: dict[str, float]
    ends: dict[str, dict[str, int]]
    #: Seconds of stage servers, and those whose results were not used.
    stage_s: float
    wasted_s: float
    crossed_gb: float
    again_tokens: float
    #: What keeping requests waiting that were not served cost, in worth.
    held: float
    #: The worth of requests that were refused, came back and were not served.
    failed_again: float
    #: All worth that was owed, and what the run is worth at the pattern's prices.
    owed: float
    prices: Prices
    #: How often a content ended an engine.
    ended: int = 0

    @property
    def net(self) -> float:
        """Return the share of the worth earned, less all prices."""
        prices = self.prices
        costs = self.wasted_s * prices.wasted_s + self.crossed_gb * prices.crossed_gb
        costs += self.again_tokens / _THOUSAND * prices.again_k_tokens + self.held
        costs += self.failed_again * prices.refused_again
        return self.worth - costs / self.owed

    @property
    def worst_kind(self) -> float:
        """Return the share of the worst-served kind."""
        return min(self.earned.values())


class Experiment:
    """All that a run of a pattern needs."""

    def __init__(self, *, pattern: Pattern, seed: int, clock: PausedClock) -> None:
        """Start the servers and gateways."""
        self.pattern = pattern
        self.clock = clock
        self.seed = seed
        kept = Results(clock=clock, zone_s=pattern.basics.zone_s)
        self.use = PromptUse()
        self.servers = Servers(kept=kept)
        self.links = ModelLinks(zone_s=pattern.basics.zone_s)
        self.gone: set[str] = set()
        #: How often a content ended an engine.
        self.ended = 0
        self._start_servers()
        table = pattern.table()
        self.gateways = [
            ModelGateway(
                name=f'g{number}',
                zone=self._zone(number),
                clock=clock,
                table=table,
                links=self.links,
                servers=self.servers,
            )
            for number in range(pattern.basics.gateways)
        ]
        self.leader = ModelLeader(clock=clock, links=self.links)
        self.leader.gateways = self.gateways
        self.drained = DrainedZones()

    async def run(self) -> Summary:
        """Play the pattern."""
        states = tuple(gateway.state for gateway in self.gateways)
        for gateway in self.gateways:
            gateway.know(states)
            for report in self._reports():
                gateway.follower.view.apply(report)
        clients = Clients(
            pattern=self.pattern,
            clock=self.clock,
            gateways=self.gateways,
            seed=self.seed,
            events_of=self.servers.events_of,
        )
        loop = asyncio.get_running_loop()
        troubles = [loop.create_task(self._happen(event)) for event in self.pattern.events]
        troubles.append(loop.create_task(self.leader.quarantining.run_evaluation()))
        await clients.run()
        for trouble in troubles:
            trouble.cancel()
        return self._summary(clients.outcomes)

    # -- servers -----------------------------------------------------------

    def _start_servers(self) -> None:
        for name, load in self.pattern.services.items():
            for number in range(load.servers):
                report = self._report(name, number)
                if load.batch:
                    self.servers.stages[report.address] = StageServer(
                        report=report,
                        load=load,
                        clock=self.clock,
                        others=self.servers.kept,
                        work_of=self._work_of,
                    )
                else:
                    self.servers.engines[report.address] = ModelEngine(
                        report=report,
                        load=load,
                        clock=self.clock,
                        use=self.use,
                        on_end=functools.partial(self._end_engine, report),
                    )

    def _report(self, service: str, number: int) -> BackendReport:
        name = f'{service}-{number}'
        return BackendReport(
            instance=BackendId(name),
            service=ServiceName(service),
            address=f'{name}:1',
            zone=self._zone(number),
            sequence=1,
        )

    def _reports(self) -> list[BackendReport]:
        servers = [*self.servers.stages.values(), *self.servers.engines.values()]
        return [server.report for server in servers]

    def _zone(self, number: int) -> str:
        return f'z{number % self.pattern.basics.zones}'

    def _work_of(self, piece: Piece) -> float:
        for stages in self.pattern.stages.values():
            for number, stage in enumerate(stages):
                same = stage.service == piece.job.service and number == piece.job.stage
                if same and int(stage.result_bytes) == piece.job.result_bytes:
                    return stage.work
        return 1

    # -- events ------------------------------------------------------------

    async def _happen(self, event: PatternEvent) -> None:
        if event.kind in {EventKind.burst, EventKind.ending}:
            return
        await asyncio.sleep(event.at)
        if event.kind is EventKind.drained:
            await self._drain(event)
            return
        present = [
            report
            for report in self._reports()
            if report.service == event.of and report.instance not in self.gone
        ]
        hit = present[: event.count]
        if event.kind is EventKind.leave:
            # Others than those that a crash or slowness hits meanwhile.
            hit = present[-event.count :]
            self.gone.update(report.instance for report in hit)
        for report in hit:
            await self._strike(event, report)
        await asyncio.sleep(event.for_s)
        for report in hit:
            if event.kind in _WORDS:
                self._server(report).saying.limit_per_s = None
            else:
                self._mend(report)

    def _let_say(self, event: PatternEvent, server: StageServer | ModelEngine) -> None:
        """Let a server say something of itself from now on."""
        if event.kind is EventKind.limited:
            server.saying.limit_per_s = event.factor
        elif event.kind is EventKind.paused:
            server.saying.paused_until = self.clock.now() + event.for_s
        else:
            server.saying.leaving = True

    async def _drain(self, event: PatternEvent) -> None:
        self._tell_drained({*self.drained.names, event.of})
        await asyncio.sleep(event.for_s)
        self._tell_drained(set(self.drained.names) - {event.of})

    def _tell_drained(self, names: set[str]) -> None:
        change = self.drained.change + 1
        self.drained = DrainedZones(change=change, names=tuple(sorted(names)))
        for gateway in self.gateways:
            gateway.follower.view.drain_zones(self.drained)
            gateway.works.refresh()

    async def _strike(self, event: PatternEvent, report: BackendReport) -> None:
        server = self._server(report)
        if event.kind is EventKind.leave:
            self._tell(report, BackendState.draining)
        elif event.kind is EventKind.slow:
            server.factor = event.factor
        elif event.kind is EventKind.silent:
            server.silent = True
        elif event.kind in _WORDS:
            self._let_say(event, server)
        else:
            server.crash()
            loop = asyncio.get_running_loop()
            loop.call_later(_NOTICED_S, self._notice, report)

    def _end_engine(self, report: BackendReport) -> None:
        """Let a content end an engine, and the engine be back later."""
        self.ended += 1
        self._server(report).crash()
        asyncio.get_running_loop().call_later(_AWAY_S, self._mend, report)

    def _notice(self, report: BackendReport) -> None:
        if self._server(report).down:
            for gateway in self.gateways:
                gateway.follower.view.remove(report.instance)
                gateway.works.refresh()

    def _mend(self, report: BackendReport) -> None:
        server = self._server(report)
        server.factor = 1
        server.restart()
        for gateway in self.gateways:
            gateway.follower.view.apply(report)
            gateway.works.refresh()

    def _server(self, report: BackendReport) -> StageServer | ModelEngine:
        both: dict[str, StageServer | ModelEngine] = {
            **self.servers.stages,
            **self.servers.engines,
        }
        return both[report.address]

    def _tell(self, report: BackendReport, state: BackendState) -> None:
        told = BackendReport(
            instance=report.instance,
            service=report.service,
            address=report.address,
            zone=report.zone,
            sequence=2,
            state=state,
        )
        for gateway in self.gateways:
            gateway.follower.view.apply(told)
            gateway.works.refresh()

    # -- figures -----------------------------------------------------------

    def _summary(self, outcomes: list[Outcome]) -> Summary:
        owed: collections.Counter[str] = collections.Counter()
        earned: collections.Counter[str] = collections.Counter()
        ends: dict[str, collections.Counter[str]] = {}
        for outcome in outcomes:
            owed[outcome.route] += outcome.worth
            earned[outcome.route] += outcome.earned
            ends.setdefault(outcome.route, collections.Counter())[outcome.end.value] += 1
        return Summary(
            worth=earned.total() / max(1, owed.total()),
            worst_windows=_worst_windows(outcomes),
            earned={name: earned[name] / worth for name, worth in owed.items()},
            in_time={
                name: counts[End.in_time.value] / counts.total() for name, counts in ends.items()
            },
            ends={name: dict(counts) for name, counts in ends.items()},
            stage_s=sum(server.busy_s for server in self.servers.stages.values()),
            wasted_s=self._wasted_s({served.served for served in outcomes}),
            crossed_gb=self.servers.kept.crossed_bytes / _GIGABYTE,
            again_tokens=self.use.again,
            held=sum(map(self._held_worth, outcomes)),
            failed_again=sum(failed.worth for failed in filter(_failed_again, outcomes)),
            owed=owed.total(),
            prices=self.pattern.prices,
            ended=self.ended,
        )

    def _held_worth(self, outcome: Outcome) -> float:
        """Return the worth that keeping a request waiting unserved cost."""
        if outcome.end in {End.in_time, End.late}:
            return 0
        load = self.pattern.routes[outcome.route]
        free_s = load.objective_s * _FREE_SHARE
        whole_s = load.timeout_s * _WHOLE_SHARE
        share = (outcome.held_s - free_s) / (whole_s - free_s)
        return outcome.worth * min(1, max(0, share))

    def _wasted_s(self, served: set[str]) -> float:
        """Return the seconds that were spent on requests that were not served."""
        return sum(
            seconds
            for server in self.servers.stages.values()
            for attempt, seconds in server.spent.items()
            if attempt not in served
        )


def _failed_again(outcome: Outcome) -> bool:
    return outcome.tries > 1 and outcome.end not in {End.in_time, End.late}


def _worst_windows(outcomes: list[Outcome]) -> float:
    """Return the share of the worth earned in the two worst windows."""
    owed: collections.Counter[int] = collections.Counter()
    earned: collections.Counter[int] = collections.Counter()
    for outcome in outcomes:
        window = int(outcome.sent_at // _WINDOW_S)
        owed[window] += outcome.worth
        earned[window] += outcome.earned
    shares = sorted(earned[window] / worth for window, worth in owed.items())
    return statistics.mean(shares[:2]) if shares else 0


def run_experiment(pattern: Pattern, seed: int) -> Summary:
    """Play a pattern once in virtual time."""

    async def main(clock: PausedClock) -> Summary:  # noqa: WPS430
        return await Experiment(pattern=pattern, seed=seed, clock=clock).run()

    return run_virtual(main)
