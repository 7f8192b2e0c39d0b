"""Requests that crash the backend server that runs them.

These tests guard against a client that repeats a crashing request until a service has lost
all its servers, each within half a second of starting it. Retry limits don't prevent this:
they apply to one attempt or one service, and each repetition is a new attempt with a new id
that starts from zero at any gateway. Logging the content of each send showed that all
crashed servers had received the same content.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time

import pytest

from tests.crashingfleet import CRASHING_BODY, Fleet

#: Seconds between the requests of other clients, and between those of the crashing client.
OTHER_REQUESTS_INTERVAL_S = 0.025
REPEAT_INTERVAL_S = 0.1
SCENARIO_S = 6.0
#: Seconds after the third crash within which each gateway enforces the quarantine. Two calls
#: over loopback take 10 ms; the platform allows 3 s.
QUARANTINE_DELAY_S = 0.25
#: Seconds between crashes that no request causes.
CRASH_INTERVAL_S = 0.4
BODIES_BY_WORKLOAD = {
    'each-its-own': lambda number: b'work %d' % number,
    'forty-that-come-again': lambda number: b'work %d' % (number % 40),
}


async def post_periodically(fleet, interval_s, make_body):
    """Send requests at a fixed interval and count the statuses; 0: no response."""
    tasks = []
    deadline = time.monotonic() + SCENARIO_S
    while time.monotonic() < deadline:
        number = next(fleet.numbers)
        tasks.append(asyncio.create_task(fleet.post(number, make_body(number))))
        await asyncio.sleep(interval_s)
    return collections.Counter(await asyncio.gather(*tasks))


async def crash_at_random(fleet):
    """Crash randomly chosen servers, independently of what they run."""
    random_source = random.Random(29)
    deadline = time.monotonic() + SCENARIO_S
    while time.monotonic() < deadline:
        fleet.crash_log.spawn(random_source.choice(fleet.servers).crash())
        await asyncio.sleep(CRASH_INTERVAL_S)


async def run_scenario(folder, workload, disturbance):
    """Return the statuses of the other clients' requests, and the crash log."""
    async with Fleet(folder) as fleet:
        other_statuses, _ = await asyncio.gather(
            post_periodically(fleet, OTHER_REQUESTS_INTERVAL_S, BODIES_BY_WORKLOAD[workload]),
            disturbance(fleet),
        )
    return other_statuses, fleet.crash_log


def check_unaffected(statuses):
    assert statuses[200] >= 0.98 * statuses.total(), statuses
    assert not statuses[400], statuses


@pytest.mark.parametrize('workload', BODIES_BY_WORKLOAD)
def test_crashing_request_is_quarantined_after_three_crashes(tmp_path, workload):
    other_statuses, crash_log = asyncio.run(
        run_scenario(
            tmp_path,
            workload,
            lambda fleet: post_periodically(fleet, REPEAT_INTERVAL_S, lambda _: CRASHING_BODY),
        ),
    )
    reported_at = sorted(crash_log.crashes)[2]
    late_sends = [at for at in crash_log.sends if at > reported_at + QUARANTINE_DELAY_S]
    assert not late_sends, (len(late_sends), len(crash_log.crashes))
    # Three crashes, and one concurrent run: a run lasts 30 ms, its client repeats every 0.1 s.
    assert len(crash_log.crashes) <= 4
    check_unaffected(other_statuses)


@pytest.mark.parametrize('workload', BODIES_BY_WORKLOAD)
def test_no_request_is_rejected_during_random_crashes(tmp_path, workload):
    other_statuses, crash_log = asyncio.run(run_scenario(tmp_path, workload, crash_at_random))
    assert len(crash_log.crashes) > 10
    check_unaffected(other_statuses)
