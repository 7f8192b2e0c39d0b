"""Run a load pattern in virtual time under the current policies and summarize the results."""

from __future__ import annotations

import asyncio
import collections
import functools
import statistics
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.backends import BackendId, BackendReport, BackendState
from ringseam.gateway.featureswitch import FeatureSwitch
from ringseam.model.clients import LoadGenerator, RequestEnd
from ringseam.model.engines import ModelEngine, PrefillStatistics
from ringseam.model.gateways import BackendServers, ModelGateway, ModelLeader, ModelNetwork
from ringseam.model.pattern import CRASHING_REQUESTS, EventKind
from ringseam.model.stageservers import ResultStore, StageServer
from ringseam.model.virtualtime import run_virtual
from ringseam.routes import ServiceName
from ringseam.zones import DrainedZones

if TYPE_CHECKING:
    from ringseam.clock import PausedClock
    from ringseam.gateway.stages.jobs import Piece
    from ringseam.model.clients import RequestOutcome
    from ringseam.model.pattern import Pattern, PatternEvent, Prices

#: Delay before the first request, so that all gateways know the servers, seconds.
_START_DELAY_S = 0.05
#: Length of the windows over which the worst share of the value is computed, seconds.
_WINDOW_S = 2.0
_GIGABYTE = 1e9
_THOUSAND = 1000
#: The wait of a request that isn't served costs nothing up to this share of the latency
#: objective, and the full value of the request from this share of the timeout on.
_FREE_WAIT_SHARE = 1 / 8
_FULL_COST_SHARE = 3 / 4
#: A crashed server is removed from the directory after this time, seconds.
_DIRECTORY_EXPIRY_S = 4.5
#: Events in which servers only announce something in their responses and keep running.
_ANNOUNCEMENTS = frozenset((EventKind.rate_limited, EventKind.paused, EventKind.announced_leave))
#: Events in which servers keep their connections and all that they have begun.
_IMPAIRMENTS = frozenset((EventKind.slow, EventKind.silent, EventKind.stalled))
#: An engine that a content crashed is back in service after this time, seconds.
_ENGINE_RESTART_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Summary:
    """The results of one run; shares are relative to the total value of all requests."""

    value_share: float
    worst_windows_share: float
    #: Share of the value earned, and of the requests served on time, by route.
    route_value_shares: dict[str, float]
    on_time_shares: dict[str, float]
    end_counts: dict[str, dict[str, int]]
    #: Busy time of the stage servers, and its part spent on requests that weren't served.
    stage_busy_s: float
    wasted_s: float
    cross_zone_gb: float
    repeated_tokens: float
    #: Cost of the waiting time of requests that were not served, in units of value.
    unserved_wait_cost: float
    #: Value of the requests that were retried and still not served.
    failed_retry_value: float
    #: Total value of all requests, and the resource prices of the pattern.
    total_value: float
    prices: Prices
    #: Number of times a content crashed an engine.
    engine_crashes: int = 0
    #: Mean number of pieces in a call, by stage service.
    pieces_per_call: dict[str, float] = field(default_factory=dict)
    #: Share of the value earned, by account.
    account_value_shares: dict[str, float] = field(default_factory=dict)

    @property
    def net_share(self) -> float:
        """Return the share of the value earned, less the cost of all resources."""
        prices = self.prices
        costs = self.wasted_s * prices.wasted_s + self.cross_zone_gb * prices.crossed_gb
        costs += self.repeated_tokens / _THOUSAND * prices.again_k_tokens + self.unserved_wait_cost
        costs += self.failed_retry_value * prices.refused_again
        return self.value_share - costs / self.total_value

    @property
    def worst_route_share(self) -> float:
        """Return the lowest share of the value earned on any route."""
        return min(self.route_value_shares.values())


class Experiment:
    """A run of a pattern: its servers, gateways, leader, load and events."""

    def __init__(self, *, pattern: Pattern, seed: int, clock: PausedClock) -> None:
        """Create the servers and gateways."""
        self.pattern = pattern
        self.clock = clock
        self.seed = seed
        result_store = ResultStore(clock=clock, zone_s=pattern.basics.zone_s)
        self.prefill_statistics = PrefillStatistics()
        self.servers = BackendServers(result_store=result_store)
        self.network = ModelNetwork(zone_s=pattern.basics.zone_s)
        self.departed: set[str] = set()
        #: Number of times a content crashed an engine.
        self.engine_crashes = 0
        self._start_servers()
        table = pattern.route_table()
        self.gateways = [
            ModelGateway(
                name=f'g{number}',
                zone=self._zone(number),
                clock=clock,
                table=table,
                network=self.network,
                servers=self.servers,
                switch=FeatureSwitch(settings=pattern.features),
            )
            for number in range(pattern.basics.gateways)
        ]
        self.leader = ModelLeader(clock=clock, network=self.network)
        self.leader.gateways = self.gateways
        self.drained_zones = DrainedZones()

    async def run(self) -> Summary:
        """Run the pattern and return the summary."""
        states = tuple(gateway.state for gateway in self.gateways)
        for gateway in self.gateways:
            gateway.set_gateways(states)
            for report in self._reports():
                gateway.follower.view.apply(report)
        load_generator = LoadGenerator(
            pattern=self.pattern,
            clock=self.clock,
            gateways=self.gateways,
            seed=self.seed,
            event_counts=self.servers.event_counts,
        )
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self._run_event(event)) for event in self.pattern.events]
        tasks.append(loop.create_task(self.leader.quarantining.run_evaluation()))
        await load_generator.run()
        for task in tasks:
            task.cancel()
        return self._summary(load_generator.outcomes)

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
                        result_store=self.servers.result_store,
                        relative_cost_of=self._relative_cost_of,
                    )
                else:
                    self.servers.engines[report.address] = ModelEngine(
                        report=report,
                        load=load,
                        clock=self.clock,
                        prefill_statistics=self.prefill_statistics,
                        on_crash=functools.partial(self._crash_engine, report),
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

    def _relative_cost_of(self, piece: Piece) -> float:
        for stages in self.pattern.stages.values():
            for number, stage in enumerate(stages):
                same = stage.service == piece.job.service and number == piece.job.stage
                if same and int(stage.result_bytes) == piece.job.result_bytes:
                    return stage.work
        return 1

    # -- events ------------------------------------------------------------

    async def _run_event(self, event: PatternEvent) -> None:
        if event.kind in {EventKind.burst, *CRASHING_REQUESTS}:
            return
        await asyncio.sleep(event.at)
        if event.kind is EventKind.zone_drained:
            await self._drain(event)
            return
        present = [
            report
            for report in self._reports()
            if report.service == event.of and report.instance not in self.departed
        ]
        affected = present[: event.count]
        if event.kind is EventKind.leave:
            # Take servers from the end, as crashes and slowdowns affect the first ones.
            affected = present[-event.count :]
            self.departed.update(report.instance for report in affected)
        for report in affected:
            await self._start_event(event, report)
        await asyncio.sleep(event.for_s)
        for report in affected:
            self._end_event(event, report)

    def _announce(self, event: PatternEvent, server: StageServer | ModelEngine) -> None:
        """Let a server announce a limit, a pause or its departure in its responses."""
        if event.kind is EventKind.rate_limited:
            server.notices.rate_limit_per_s = event.factor
        elif event.kind is EventKind.paused:
            server.notices.paused_until = self.clock.now() + event.for_s
        else:
            server.notices.leaving = True

    async def _drain(self, event: PatternEvent) -> None:
        self._set_drained_zones({*self.drained_zones.names, event.of})
        await asyncio.sleep(event.for_s)
        self._set_drained_zones(set(self.drained_zones.names) - {event.of})

    def _set_drained_zones(self, names: set[str]) -> None:
        change = self.drained_zones.change + 1
        self.drained_zones = DrainedZones(change=change, names=tuple(sorted(names)))
        for gateway in self.gateways:
            gateway.follower.view.drain_zones(self.drained_zones)
            gateway.piece_scheduler.refresh()

    async def _start_event(self, event: PatternEvent, report: BackendReport) -> None:
        server = self._server(report)
        if event.kind is EventKind.leave:
            self._report_state(report, BackendState.draining)
        elif event.kind in _IMPAIRMENTS:
            _impair(event, server)
        elif event.kind in _ANNOUNCEMENTS:
            self._announce(event, server)
        else:
            server.crash()
            loop = asyncio.get_running_loop()
            loop.call_later(_DIRECTORY_EXPIRY_S, self._remove_crashed, report)

    def _end_event(self, event: PatternEvent, report: BackendReport) -> None:
        server = self._server(report)
        if event.kind in _ANNOUNCEMENTS:
            server.notices.rate_limit_per_s = None
        elif event.kind is EventKind.stalled:
            server.running.set()
        else:
            self._restore(report)

    def _crash_engine(self, report: BackendReport) -> None:
        """Crash an engine and schedule its restart."""
        self.engine_crashes += 1
        self._server(report).crash()
        asyncio.get_running_loop().call_later(_ENGINE_RESTART_S, self._restore, report)

    def _remove_crashed(self, report: BackendReport) -> None:
        if self._server(report).down:
            for gateway in self.gateways:
                gateway.follower.view.remove(report.instance)
                gateway.piece_scheduler.refresh()

    def _restore(self, report: BackendReport) -> None:
        server = self._server(report)
        server.slowdown = 1
        server.restart()
        for gateway in self.gateways:
            gateway.follower.view.apply(report)
            gateway.piece_scheduler.refresh()

    def _server(self, report: BackendReport) -> StageServer | ModelEngine:
        servers: dict[str, StageServer | ModelEngine] = {
            **self.servers.stages,
            **self.servers.engines,
        }
        return servers[report.address]

    def _report_state(self, report: BackendReport, state: BackendState) -> None:
        update = BackendReport(
            instance=report.instance,
            service=report.service,
            address=report.address,
            zone=report.zone,
            sequence=2,
            state=state,
        )
        for gateway in self.gateways:
            gateway.follower.view.apply(update)
            gateway.piece_scheduler.refresh()

    # -- summary -----------------------------------------------------------

    def _summary(self, outcomes: list[RequestOutcome]) -> Summary:
        offered: collections.Counter[str] = collections.Counter()
        earned: collections.Counter[str] = collections.Counter()
        ends: dict[str, collections.Counter[str]] = {}
        for outcome in outcomes:
            offered[outcome.route] += outcome.value
            earned[outcome.route] += outcome.earned_value
            ends.setdefault(outcome.route, collections.Counter())[outcome.end.value] += 1
        return Summary(
            value_share=earned.total() / max(1, offered.total()),
            worst_windows_share=_worst_windows_share(outcomes),
            route_value_shares={name: earned[name] / value for name, value in offered.items()},
            on_time_shares={
                name: counts[RequestEnd.on_time.value] / counts.total()
                for name, counts in ends.items()
            },
            end_counts={name: dict(counts) for name, counts in ends.items()},
            stage_busy_s=sum(server.busy_s for server in self.servers.stages.values()),
            wasted_s=self._wasted_s({finished.served_attempt for finished in outcomes}),
            cross_zone_gb=self.servers.result_store.crossed_bytes / _GIGABYTE,
            repeated_tokens=self.prefill_statistics.repeated_tokens,
            unserved_wait_cost=sum(map(self._unserved_wait_cost, outcomes)),
            failed_retry_value=sum(failed.value for failed in filter(_is_failed_retry, outcomes)),
            total_value=offered.total(),
            prices=self.pattern.prices,
            engine_crashes=self.engine_crashes,
            pieces_per_call=self._pieces_per_call(),
            account_value_shares=_account_value_shares(outcomes),
        )

    def _pieces_per_call(self) -> dict[str, float]:
        calls: collections.Counter[str] = collections.Counter()
        pieces: collections.Counter[str] = collections.Counter()
        for server in self.servers.stages.values():
            calls[server.report.service] += server.calls_run
            pieces[server.report.service] += server.pieces_run
        return {service: pieces[service] / max(1, count) for service, count in calls.items()}

    def _unserved_wait_cost(self, outcome: RequestOutcome) -> float:
        """Return the cost of a request's waiting time if it was not served."""
        if outcome.end in {RequestEnd.on_time, RequestEnd.late}:
            return 0
        load = self.pattern.routes[outcome.route]
        free_wait_s = load.objective_s * _FREE_WAIT_SHARE
        full_cost_wait_s = load.timeout_s * _FULL_COST_SHARE
        share = (outcome.unserved_wait_s - free_wait_s) / (full_cost_wait_s - free_wait_s)
        return outcome.value * min(1, max(0, share))

    def _wasted_s(self, served: set[str]) -> float:
        """Return the stage server time spent on attempts that were not served, seconds."""
        return sum(
            seconds
            for server in self.servers.stages.values()
            for attempt, seconds in server.seconds_by_attempt.items()
            if attempt not in served
        )


def _is_failed_retry(outcome: RequestOutcome) -> bool:
    return outcome.attempts > 1 and outcome.end not in {RequestEnd.on_time, RequestEnd.late}


def _account_value_shares(outcomes: list[RequestOutcome]) -> dict[str, float]:
    offered: collections.Counter[str] = collections.Counter()
    earned: collections.Counter[str] = collections.Counter()
    for outcome in outcomes:
        offered[outcome.account] += outcome.value
        earned[outcome.account] += outcome.earned_value
    return {account: earned[account] / value for account, value in offered.items()}


def _impair(event: PatternEvent, server: StageServer | ModelEngine) -> None:
    if event.kind is EventKind.slow:
        server.slowdown = event.factor
    elif event.kind is EventKind.silent:
        server.silent = True
    else:
        server.running.clear()


def _worst_windows_share(outcomes: list[RequestOutcome]) -> float:
    """Return the mean share of the value earned in the two worst windows."""
    offered: collections.Counter[int] = collections.Counter()
    earned: collections.Counter[int] = collections.Counter()
    for outcome in outcomes:
        window = int(outcome.sent_at // _WINDOW_S)
        offered[window] += outcome.value
        earned[window] += outcome.earned_value
    shares = sorted(earned[window] / value for window, value in offered.items())
    return statistics.mean(shares[:2]) if shares else 0


def run_experiment(pattern: Pattern, seed: int) -> Summary:
    """Run a pattern once in virtual time and return the summary."""

    async def main(clock: PausedClock) -> Summary:  # noqa: WPS430
        return await Experiment(pattern=pattern, seed=seed, clock=clock).run()

    return run_virtual(main)
