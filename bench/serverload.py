"""Choice of servers by load and speed: ``python -m bench.serverload [--seeds 3]``.

Plain services in virtual time under each policy, with hosts that are slow by turns and with
servers of different speeds; the error of each decay of a reported slowdown; the time of a
choice and the memory for a server.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass, field

from bench.control import percentile
from ringseam.backends import BackendId, BackendReport
from ringseam.calls import ServerLoad
from ringseam.gateway.engines.messages import PlaceRequest, PromptPart
from ringseam.gateway.engines.placement import Placer
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.following.pacing import Pacer
from ringseam.gateway.requests.balancing import (
    USUAL_REQUEST_S,
    LatencyPolicy,
    LeastCompletionPolicy,
    TwoChoicesPolicy,
)
from ringseam.gateway.serverload import reports as reports_module
from ringseam.gateway.serverload.reports import LoadReports
from ringseam.routes import BackendService, EngineSpec, ServiceName

SERVICE = ServiceName('plain')
WORK_S = 0.03
NETWORK_S = 0.001
SWITCH_S = 0.6
NOISE = 2.5


@dataclass(kw_only=True)
class Host:
    """One server with FIFO slots."""

    report: BackendReport
    speed: float
    free_at: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)

    def run(self, now: float, work_s: float, slowdown: float) -> float:
        """Return when a request that arrives now is done."""
        if not self.free_at:
            self.free_at = [0.0] * self.report.slots
        start = max(now, heapq.heappop(self.free_at))
        end = start + work_s / self.speed * slowdown
        heapq.heappush(self.free_at, end)
        heapq.heappush(self.ends, end)
        return end

    def load(self, now: float, slowdown: float) -> ServerLoad:
        """Return the load that a response sent now reports."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        slots = self.report.slots
        return ServerLoad(
            running=min(slots, len(self.ends)),
            waiting=max(0, len(self.ends) - slots),
            slots=slots,
            slowdown=slowdown,
        )


@dataclass(frozen=True, kw_only=True)
class Case:
    """A load of a plain service."""

    name: str
    speeds: tuple[float, ...]
    slots: int
    gateways: int
    per_s: float
    #: Number of hosts that are slow at a time; below 1: the probability of each.
    slow: float = 0
    seconds: float = 60


CASES = (
    Case(name='two of six slow by turns', speeds=(1,) * 6, slots=6, gateways=3, per_s=200, slow=2),
    Case(name='the same, full', speeds=(1,) * 6, slots=2, gateways=3, per_s=200, slow=2),
    Case(
        name='speeds 0.55 to 1.2, noise 0.15',
        speeds=(0.55, 0.9, 1.2),
        slots=6,
        gateways=22,
        per_s=60,
        slow=0.15,
    ),
    Case(
        name='the same in a burst',
        speeds=(0.55, 0.9, 1.2),
        slots=6,
        gateways=22,
        per_s=250,
        slow=0.15,
    ),
    Case(
        name='a single fast one of six',
        speeds=(0.55,) * 5 + (1.2,),
        slots=1,
        gateways=22,
        per_s=60,
    ),
)


def slow_hosts(case, seed, window):
    rng = random.Random(f'{seed} {window}')
    names = range(len(case.speeds))
    if case.slow >= 1:
        return set(rng.sample(names, int(case.slow)))
    return {number for number in names if rng.random() < case.slow}


def play(case, new_policy, seed):
    """Return the share of the work on slow hosts and the latencies, seconds."""
    rng = random.Random(seed)
    hosts = [
        Host(
            report=BackendReport(
                instance=BackendId(f's{number}'),
                service=SERVICE,
                address=f's{number}:1',
                zone='a',
                sequence=1,
                slots=case.slots,
            ),
            speed=speed,
        )
        for number, speed in enumerate(case.speeds)
    ]
    reports = [host.report for host in hosts]
    trackers = [HealthTracker() for _ in range(case.gateways)]
    policies = [new_policy(tracker, number) for number, tracker in enumerate(trackers)]
    slow, latencies, counter, queue = [], [], itertools.count(), []
    heapq.heappush(queue, (rng.expovariate(case.per_s), next(counter), None))

    def slowdown(number, at):
        return NOISE if number in slow_hosts(case, seed, int(at / SWITCH_S)) else 1.0

    while queue:
        now, _, answer = heapq.heappop(queue)
        if answer is not None:
            gateway, number, sent_at, load = answer
            instance = reports[number].instance
            health = trackers[gateway]
            health.of(instance).in_flight -= 1
            record = health.of(instance)
            record.reported_running, record.reported_waiting = load.running, load.waiting
            record.reported_at = now
            health.record_latency(instance, now - sent_at)
            health.speeds.reports.record(instance, load, now)
            health.speeds.observe(
                SERVICE,
                instance,
                expected_s=USUAL_REQUEST_S * (1 + load.waiting / load.slots),
                duration_s=now - sent_at,
                now=now,
            )
            continue
        if now < case.seconds:
            heapq.heappush(queue, (now + rng.expovariate(case.per_s), next(counter), None))
        gateway = rng.randrange(case.gateways)
        number = reports.index(policies[gateway].choose(reports, now))
        instance = reports[number].instance
        trackers[gateway].of(instance).in_flight += 1
        trackers[gateway].speeds.reports.record_send(instance)
        at_host = now + NETWORK_S
        factor = slowdown(number, at_host)
        end = hosts[number].run(at_host, WORK_S, factor)
        if now > 5:
            slow.append(factor > 1)
            latencies.append(end + NETWORK_S - now)
        load = hosts[number].load(end, slowdown(number, end))
        event = (gateway, number, now, load)
        heapq.heappush(queue, (end + NETWORK_S, next(counter), event))
    return statistics.mean(slow), latencies


POLICIES = {
    'latency (former)': lambda health, number: LatencyPolicy(health=health, zone='a'),
    'least completion': lambda health, number: LeastCompletionPolicy(
        health=health, zone='a', name=f'g{number}'
    ),
    'two choices': lambda health, number: TwoChoicesPolicy(
        health=health, zone='a', name=f'g{number}'
    ),
}


def compare_policies(seeds):
    for case in CASES:
        print(f'{case.name}: {case.gateways} gateways, {case.per_s:g}/s')
        for name, new_policy in POLICIES.items():
            shares, latencies = [], []
            for seed in range(seeds):
                share, found = play(case, new_policy, seed)
                shares.append(share)
                latencies.extend(found)
            figures = ', '.join(
                f'p{part * 100:g} {percentile(latencies, part) * 1e3:.0f}'
                for part in (0.5, 0.95, 0.99)
            )
            print(f'  {name:18} on slow hosts {statistics.mean(shares):.3f}, {figures} ms')


def decay_error(decay_s, per_s, rng):
    """Return the root mean square error of the slowdown at random times."""
    reports_module.SLOWDOWN_DECAY_S = decay_s
    squares = []
    for _ in range(40):
        spans = [NOISE if rng.random() < 0.15 else 1.0 for _ in range(102)]
        reports, now, offset = LoadReports(), 0.0, rng.uniform(0, SWITCH_S)
        while now < 60:
            load = ServerLoad(
                running=0, waiting=0, slots=1, slowdown=spans[int((now + offset) / SWITCH_S)]
            )
            reports.record(BackendId('s'), load, now)
            gap_s = rng.expovariate(per_s)
            asked = now + rng.uniform(0, gap_s)
            if 10 < asked < 60:
                actual = spans[int((asked + offset) / SWITCH_S)]
                squares.append((reports.slowdown_at(BackendId('s'), asked) - actual) ** 2)
            now += gap_s
    return math.sqrt(statistics.mean(squares))


def compare_decays():
    chosen = reports_module.SLOWDOWN_DECAY_S
    print('root mean square error of the slowdown, by reports a second and decay in seconds')
    for per_s in (0.5, 1, 3, 10, 30):
        errors = {
            decay: decay_error(decay, per_s, random.Random(1))
            for decay in (1e-6, 0.1, 0.2, 0.3, 0.5, 1, 1e6)
        }
        print(f'  {per_s:4}/s', *(f'{decay:g}: {error:.3f}' for decay, error in errors.items()))
    reports_module.SLOWDOWN_DECAY_S = chosen


def new_placer(requests):
    health = HealthTracker()
    placer = Placer(health=health, pacer=Pacer(health=health), service=ServiceName('llm'))
    engines = [
        BackendReport(
            instance=BackendId(f'e{number}'),
            service=ServiceName('llm'),
            address=f'e{number}:1',
            zone='abc'[number % 3],
            sequence=1,
            slots=64,
        )
        for number in range(48)
    ]
    for engine in engines:
        for at, slowdown in enumerate((1.0, NOISE)):
            load = ServerLoad(running=1, waiting=0, slots=64, slowdown=slowdown)
            health.speeds.reports.record(engine.instance, load, at / 10)
        health.speeds.observe(engine.service, engine.instance, expected_s=1, duration_s=0.5, now=0)
    service = BackendService(
        name=ServiceName('llm'),
        health_path='/',
        max_connections=310,
        engine=EngineSpec(slots=64, cache_tokens=500_000),
    )
    for number in range(requests):
        placer.record(place_request(f'r{number}'), engines[number % 48].instance, service, 0)
        if number % 4:
            placer.started(f'r{number}', 0.1)
    return placer, engines, service


def place_request(name):
    prefix = (
        PromptPart(name='common', tokens=2500),
        PromptPart(name=f's{hash(name) % 90}', tokens=2800),
        PromptPart(name=name, tokens=2000),
    )
    return PlaceRequest(
        request=name,
        service='llm',
        prompt_tokens=7300,
        prefix=prefix,
        objective_ms=1500,
        left_ms=60_000,
        output=400,
        dry=True,
    )


def time_choices(count=2000):
    for requests in (70, 700):
        placer, engines, service = new_placer(requests)
        queries = [place_request(f'q{number}') for number in range(count)]
        for in_force in (True, False):
            reports = placer.health.speeds.reports
            reports.interfered = {engine.instance for engine in engines} if in_force else set()
            began = time.process_time()
            for query in queries:
                placer.place(query, engines, service, 0.2)
            each_us = (time.process_time() - began) / count * 1e6
            print(f'  48 engines, {requests} requests, in force {in_force}: {each_us:.0f} us')
    policy = LeastCompletionPolicy(health=placer.health, zone='a', name='g')
    began = time.process_time()
    for _ in range(count):
        policy.choose(engines, 0.2)
    print(f'  48 plain servers: {(time.process_time() - began) / count * 1e6:.0f} us')


def measure_memory(servers=1000):
    tracemalloc.start()
    health = HealthTracker()
    names = [BackendId(f'server-{number}') for number in range(servers)]
    before = tracemalloc.get_traced_memory()[0]
    for name in names:
        load = ServerLoad(running=1, waiting=2, slots=64, slowdown=1.5)
        health.speeds.reports.record(name, load, 0)
        health.speeds.observe(SERVICE, name, expected_s=1, duration_s=0.5, now=0)
    print(f'  memory: {(tracemalloc.get_traced_memory()[0] - before) / servers:.0f} bytes a server')
    tracemalloc.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=3)
    options = parser.parse_args()
    compare_policies(options.seeds)
    compare_decays()
    print('time of a choice')
    time_choices()
    measure_memory()


if __name__ == '__main__':
    main()
