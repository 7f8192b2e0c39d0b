"""Adaptive policies against naive ones, side by side, under load and faults.

``python -m bench.policies [--seeds 2] [--seconds 12] [--cases steady,...]``
runs each case with both kinds of policies on the same arrivals and prints a
table; JSON goes to ``bench/out/policies.json``.
"""

from __future__ import annotations

import argparse
import json
import re
import tempfile
import threading
from collections import defaultdict
from pathlib import Path

from ringseam.cmd.inspect import add_metrics_page
from ringseam.layout import Layout, free_address, token_digest
from ringseam.load import LoadPlan, LoadRun, Mix
from tests.processes import System

OUT = Path(__file__).parent / 'out'
POLICIES = {
    'adaptive': ({}, {}),
    'naive': (
        {'routing': 'round-robin', 'admission': 'none', 'retries': 'blind'},
        {'queue': 'fifo', 'shed': False},
    ),
}
#: Two-stage requests a second that the readers can serve: 4 servers of 2
#: places and 200 ms. Kept low, so that the machine's own cores are never the
#: bottleneck: above about 100 requests a second the figures showed its limit.
CAPACITY = 40
SERVICE_MS = 200
DEADLINE_MS = 3000
READERS = ('reader-1', 'reader-2', 'reader-3', 'reader-4')
RANKERS = ('ranker-1', 'ranker-2', 'ranker-3', 'ranker-4')
SIGNALS = ('signal-1', 'signal-2')
ENTRIES = ('entry-1', 'entry-2')

FILE = f"""\
[part]
name = demo
operator_token_sha256 = {token_digest('operator-of-demo')}

[account small]
token_sha256 = {token_digest('small')}

[account large]
token_sha256 = {token_digest('large')}

[account floor]
token_sha256 = {token_digest('floor')}

[pool readers]
max_in_flight = 2

[pool rankers]
max_in_flight = 2

[pool signals]
max_in_flight = 4

[stage read]
pool = readers
path = /read
expected_ms = 200

[stage rank]
pool = rankers
path = /rank
expected_ms = 200

[stage reject]
pool = signals
path = /reject
repeatable = no

[pipeline two]
stages = read, rank
accounts = small, large
deadline_ms = {DEADLINE_MS}

[pipeline verdict]
stages = read
accounts = floor
deadline_ms = {DEADLINE_MS}
priority = high

[pipeline signal]
stages = reject
accounts = floor
deadline_ms = {DEADLINE_MS}
priority = high
"""


def start(folder, policy):
    entry_keys, agent_keys = POLICIES[policy]
    system = System(layout=Layout(folder=folder))
    layout = system.layout
    layout.add_control(3)
    pools = {
        'readers': (READERS, SERVICE_MS),
        'rankers': (RANKERS, SERVICE_MS),
        'signals': (SIGNALS, 20),
    }
    for pool, (names, latency_ms) in pools.items():
        for number, name in enumerate(names):
            layout.add_server(
                name,
                pool=f'demo/{pool}',
                zone=f'zone-{number % 2 + 1}',
                latency_ms=latency_ms,
                agent=agent_keys,
            )
    for number, name in enumerate(ENTRIES, start=1):
        layout.add('entry', name, http=free_address(), zone=f'zone-{number}', **entry_keys)
    try:
        serve(system)
    except BaseException:
        system.close()
        raise
    return system


def serve(system):
    """Start all processes and wait until each entry answers."""
    system.start()
    system.apply(FILE, expect=0)
    system.wait_for_agents(len(READERS + RANKERS + SIGNALS))
    for entry in ENTRIES:
        system.wait_until_ready(entry)
        for _ in range(8):
            system.post_until_success('two', b'warm-up', entry=entry, token='small')
        system.post_until_success('signal', b'warm-up', entry=entry, key=entry, token='floor')


def mix(name, pipeline, token, rate, *, keyed=False, burst=(0, 0, 1)):
    return Mix(
        name=name,
        pipeline=pipeline,
        token=token,
        rate=rate,
        deadline_ms=DEADLINE_MS,
        body_bytes=200,
        keyed=keyed,
        echo=True,
        burst_from_s=burst[0],
        burst_s=burst[1],
        burst_times=burst[2],
    )


def base_mixes(share, burst=(0, 0, 1)):
    """Return the mixes at ``share`` of the readers' capacity."""
    signal = 3
    verdict = 5
    rest = CAPACITY * share - verdict
    return (
        mix('small', 'two', 'small', rest * 0.3),
        mix('large', 'two', 'large', rest * 0.7, burst=burst),
        mix('verdict', 'verdict', 'floor', verdict),
        mix('signal', 'signal', 'floor', signal, keyed=True),
    )


# -- faults: each runs beside the load ----------------------------------------


def no_fault(system, ending):
    ending.wait()


def slow_server(system, ending):
    system.set_faults('reader-1', latency_ms=10 * SERVICE_MS)
    ending.wait()


def failing_server(system, ending):
    system.set_faults('reader-1', failure_percent=100, latency_ms=0)
    ending.wait()


def agents_killed(system, ending):
    number = 0
    while not ending.wait(5 if number else 2):
        name = READERS[number % len(READERS)]
        number += 1
        system.kill(name)
        system.start(name)


def entries_restarted(system, ending):
    for name in ENTRIES:
        if ending.wait(2):
            return
        assert system.stop(name) == 0
        system.start(name)
        system.wait_until_ready(name)
    ending.wait()


def zone_lost(system, ending):
    if ending.wait(3):
        return
    lost = [name for name in READERS + RANKERS + SIGNALS if int(name[-1]) % 2 == 0]
    system.kill(*lost, *(f'{name}-server' for name in lost))
    ending.wait()


CASES = {
    'steady': (base_mixes(0.7), no_fault),
    'account burst': (base_mixes(0.6, burst=(3, 8, 4)), no_fault),
    'overload 1.5': (base_mixes(1.5), no_fault),
    'slow server': (base_mixes(0.5), slow_server),
    'failing server': (base_mixes(0.5), failing_server),
    'agents killed': (base_mixes(0.5), agents_killed),
    'entries restarted': (base_mixes(0.5), entries_restarted),
    'zone lost': (base_mixes(0.35), zone_lost),
}


def entry_pages(system):
    return {
        name: page.data.decode()
        for name in ENTRIES
        if (page := system.get(name, '/metrics')).status == 200
    }


def book(pages):
    """Return tries, requests' stages and server seconds by use."""
    sums = defaultdict(lambda: defaultdict(float))
    tries = 0.0
    for page in pages.values():
        add_metrics_page(sums, page)
        tries += sum(map(float, re.findall(r'^ringseam_tries_total\{.*\} (\S+)$', page, re.M)))
    seconds = defaultdict(float)
    for key, amounts in sums.items():
        seconds[key[-1]] += amounts['server_seconds']
    return tries, dict(seconds)


def run_case(name, policy, seed, seconds):
    mixes, fault = CASES[name]
    with tempfile.TemporaryDirectory() as folder:
        system = start(Path(folder), policy)
        try:
            tries_before, _ = book(entry_pages(system))
            ending = threading.Event()
            faulting = threading.Thread(target=fault, args=(system, ending))
            faulting.start()
            plan = LoadPlan(
                entries=tuple(system.layout.processes[entry].http for entry in ENTRIES),
                seconds=seconds,
                seed=seed,
                threads=400,
                mixes=mixes,
            )
            outcomes = LoadRun(plan=plan, run_id=f'{name}-{seed}').run()
            ending.set()
            faulting.join()
            tries, server_s = book(entry_pages(system))
        finally:
            system.close()
    return summary(name, policy, seed, seconds, outcomes, tries - tries_before, server_s)


def summary(name, policy, seed, seconds, outcomes, tries, server_s):
    stages = {'two': 2, 'verdict': 1, 'signal': 1}
    kinds = {mix.name: mix.pipeline for mix in CASES[name][0]}
    wanted = sum(stages[kinds[key]] * kept.sent for key, kept in outcomes.items())
    spent = sum(server_s.values())
    return {
        'case': name,
        'policy': policy,
        'seed': seed,
        'attainment': {key: round(kept.attainment, 4) for key, kept in outcomes.items()},
        'p99_ms': {
            key: kept.latency.get_value_at_percentile(99) / 1000 for key, kept in outcomes.items()
        },
        'outcomes': {key: dict(kept.outcomes) for key, kept in outcomes.items()},
        'mixed_up': sum(kept.mismatched for kept in outcomes.values()),
        'whole_in_time_per_s': round(
            sum(kept.on_time for key, kept in outcomes.items() if key != 'signal') / seconds, 1
        ),
        'tries_per_stage': round(tries / wanted, 3) if name != 'entries restarted' else None,
        'wasted_share': round(1 - server_s.get('useful', 0) / spent, 4) if spent else 0,
        'server_s': {use: round(amount, 2) for use, amount in server_s.items()},
    }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--cases', default=','.join(CASES))
    parser.add_argument('--policies', default='adaptive,naive')
    parser.add_argument('--out', default='policies')
    options = parser.parse_args()
    rows = []
    OUT.mkdir(exist_ok=True)
    for name in options.cases.split(','):
        for seed in range(1, options.seeds + 1):
            for policy in options.policies.split(','):
                row = run_case(name, policy, seed, options.seconds)
                rows.append(row)
                print(json.dumps(row), flush=True)
                (OUT / f'{options.out}.json').write_text(json.dumps(rows, indent=1))


if __name__ == '__main__':
    main()
