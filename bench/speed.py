"""Speed of one entry: ``python -m bench.speed [--requests 400]``.

Three control hosts, one entry and one reader without latency; two-stage
requests from one caller, then from 16. The stand-in's own time is in them.
"""

from __future__ import annotations

import argparse
import collections
import tempfile
import threading
import time
from pathlib import Path

import urllib3

from bench.control import percentile, usage
from ringseam.layout import Layout
from tests.conftest import PART_FILE
from tests.processes import System

#: The account's limits are no part of what is measured. By default it may have
#: 1,000 requests a second over all entries, and one of two planned entries a
#: quarter of that until control has leased it more: an idle machine is faster.
UNLIMITED = PART_FILE.replace(
    '[account inspector]\n',
    '[account inspector]\nrate_per_s = 1000000\nconcurrency = 100000\n',
)


def start(folder):
    system = System(layout=Layout(folder=Path(folder)))
    system.layout.add_control(3)
    system.layout.add_server('reader', pool='demo/readers', latency_ms=0)
    system.layout.add_entry('entry')
    system.start()
    system.apply(UNLIMITED, expect=0)
    system.wait_until_ready()
    system.post_until_success('two')
    return system


def send(system, count, callers):
    """Send ``count`` requests; return durations of whole answers, and why others failed."""
    url = f'http://{system.layout.processes["entry"].http}/v1/pipelines/two'
    connections = urllib3.PoolManager(maxsize=callers, retries=False)
    numbers = iter(range(count))
    lock = threading.Lock()
    spent, failed = [], []

    def call_always():
        while True:
            with lock:
                if next(numbers, None) is None:
                    return
            began = time.perf_counter()
            reply = connections.request(
                'POST', url, body=b'x', headers={'Authorization': 'Bearer caller'}
            )
            if reply.status == 200:
                spent.append(time.perf_counter() - began)
            else:
                failed.append(reason_of(reply))

    threads = [threading.Thread(target=call_always) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return spent, collections.Counter(failed)


def reason_of(reply):
    """Return the status of a refusal and why, as the caller is told."""
    told = reply.json()
    return f'{reply.status} {told.get("reason") or told.get("detail") or told.get("title")}'


def measure(system, count, callers):
    before = {name: usage(process.pid)[0] for name, process in system.running.items()}
    began = time.perf_counter()
    spent, failed = send(system, count, callers)
    rate = len(spent) / (time.perf_counter() - began)
    figures = ', '.join(
        f'p{share * 100:g} {percentile(spent, share) * 1e3:.1f}' for share in (0.5, 0.95, 0.99)
    )
    print(f'{callers} callers: {rate:.0f}/s, {figures} ms, not whole: {dict(failed)}')
    for name, process in system.running.items():
        seconds, resident = usage(process.pid)
        cost_ms = (seconds - before[name]) / count * 1e3
        print(f'  {name}: {cost_ms:.2f} ms of processor a request, {resident / 1024:.0f} MB')


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--requests', type=int, default=400)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        try:
            measure(system, options.requests, 1)
            measure(system, 2 * options.requests, 16)
        finally:
            system.close()


if __name__ == '__main__':
    main()
