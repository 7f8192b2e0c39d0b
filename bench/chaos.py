"""A bounded chaos run over real processes, checked from the records.

``python -m bench.chaos --seed 1 --seconds 60`` kills, freezes and cuts
processes under a load of keyed and other requests with two racing operators,
then checks I1-I5 from what callers were told and what stand-ins executed.
"""

from __future__ import annotations

import argparse
import hashlib
import random
import signal
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import urllib3

from ringseam.errors import UnreachableError
from ringseam.layout import Layout
from ringseam.messages import ApplyAccepted
from tests.conftest import PART_FILE
from tests.processes import System

CONTROL = ('control-1', 'control-2', 'control-3')
ENTRIES = ('entry', 'other')
AGENTS = ('reader', 'reader-2', 'signaller', 'signaller-2')
CALLERS = 6


class Records:
    """What callers and operators were told."""

    def __init__(self):
        self.lock = threading.Lock()
        self.told = []
        self.accepted = []
        self.ending = threading.Event()

    def tell(self, pipeline, body, reply):
        outcome = reply.headers.get('Ringseam-Outcome') if reply is not None else 'cut'
        answer = reply.data if reply is not None and reply.status == 200 else None
        with self.lock:
            self.told.append((pipeline, body, outcome, answer))


def start(folder):
    system = System(layout=Layout(folder=Path(folder)))
    system.layout.add_control(3, snapshot_entries=300)
    for name in AGENTS:
        pool = 'demo/readers' if name.startswith('reader') else 'demo/signals'
        system.layout.add_server(name, pool=pool, latency_ms=30)
    for name in ENTRIES:
        system.layout.add_entry(name)
    system.start()
    system.apply(PART_FILE, expect=0)
    for name in ENTRIES:
        system.wait_until_ready(name)
    return system


def call_always(system, records, number):
    """Send requests; ask again with the same key until settled or given up."""
    sent = 0
    while not records.ending.is_set():
        sent += 1
        keyed = sent % 2
        pipeline = 'signal' if keyed else 'two'
        body = f'{number}-{sent}'.encode()
        for attempt in range(8 if keyed else 1):
            entry = ENTRIES[(number + sent + attempt) % 2]
            reply = post(system, pipeline, body, entry, keyed)
            records.tell(pipeline, body, reply)
            if reply is not None and reply.status == 200:
                break
            time.sleep(0.2)


def post(system, pipeline, body, entry, keyed):
    try:
        return system.post(
            pipeline, body, entry=entry, key=body.decode() if keyed else '', timeout=15
        )
    except urllib3.exceptions.HTTPError:
        return None


def operate_always(system, records, number):
    """Race the other operator with equal expected revisions."""
    expect, count = 1, 0
    while not records.ending.is_set():
        count += 1
        text = f'{PART_FILE}\n# operator {number}, file {count}\n'
        try:
            reply = system.apply(text, expect=expect, timeout_s=10)
        except UnreachableError:
            continue
        if isinstance(reply, ApplyAccepted):
            with records.lock:
                records.accepted.append((expect, reply.revision, number))
        expect = max(expect, reply.revision)
        time.sleep(0.3)


def disturb(system, dice, seconds):
    """Inject a fault every second or so; return how many of each."""
    faults = Counter()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        kind = dice.choice(('kill', 'kill', 'freeze', 'cut'))
        name = dice.choice((*CONTROL, *ENTRIES, *AGENTS))
        faults[kind] += 1
        if kind == 'kill':
            system.kill(name)
            time.sleep(dice.uniform(0, 0.5))
            system.start(name)
        elif kind == 'freeze':
            system.send_signal(name, signal.SIGSTOP)
            time.sleep(dice.uniform(0.3, 2))
            system.send_signal(name, signal.SIGCONT)
        else:
            others = [other for other in CONTROL if other != name]
            system.partition(name, *others)
            time.sleep(dice.uniform(0.5, 2))
            system.heal()
        time.sleep(dice.uniform(0.5, 1.5))
    return faults


def violations(system, records):
    """Return what broke, from the records."""
    runs = Counter()
    for name in ('signaller', 'signaller-2'):
        for line in system.executions(name):
            runs[line.split()[1]] += 1
    found = []
    answers = {}
    for pipeline, body, outcome, answer in records.told:
        digest = hashlib.sha256(body).hexdigest()
        if answer is not None and answer != body:
            found.append(f'I1: {body} was answered {answer}')
        if pipeline == 'signal':
            if runs[digest] > 1:
                found.append(f'I2: {body} ran {runs[digest]} times')
            if outcome == 'completed':
                answers[body] = True
                if runs[digest] != 1:
                    found.append(f'I5: {body} completed, ran {runs[digest]} times')
    last = {}
    for pipeline, body, outcome, _ in records.told:
        if pipeline == 'signal':
            last[body] = outcome
    for body, outcome in last.items():
        digest = hashlib.sha256(body).hexdigest()
        if outcome == 'not-run' and runs[digest]:
            found.append(f'I3: {body} was told not-run last and ran')
    winners = Counter(expect for expect, _, _ in records.accepted)
    found.extend(f'I4: {expect} was accepted {n} times' for expect, n in winners.items() if n > 1)
    newest = max((revision for _, revision, _ in records.accepted), default=1)
    held = {status.parts.get('demo', 0) for status in system.statuses().values()}
    if max(held, default=0) < newest:
        found.append(f'I5: revision {newest} was accepted, {held} is held')
    return found


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60)
    options = parser.parse_args()
    records = Records()
    with tempfile.TemporaryDirectory() as folder:
        system = start(folder)
        try:
            threads = [
                threading.Thread(target=call_always, args=(system, records, number))
                for number in range(CALLERS)
            ]
            threads += [
                threading.Thread(target=operate_always, args=(system, records, number))
                for number in range(2)
            ]
            for thread in threads:
                thread.start()
            faults = disturb(system, random.Random(options.seed), options.seconds)
            time.sleep(5)
            records.ending.set()
            for thread in threads:
                thread.join()
            system.leader()
            time.sleep(1)
            found = violations(system, records)
        finally:
            system.close()
    outcomes = Counter(outcome for _, _, outcome, _ in records.told)
    print(
        f'seed {options.seed}: faults {dict(faults)}, asks {len(records.told)}, '
        f'outcomes {dict(outcomes)}, applies accepted {len(records.accepted)}, '
        f'violations {len(found)}'
    )
    for line in found[:20]:
        print(line)


if __name__ == '__main__':
    main()
