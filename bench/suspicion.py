"""Compare rules that find the prompt part that crashes servers: ``python -m bench.suspicion``.

A simulation of requests on the servers of one service, without gateways and delays of messages.
Sound requests share their first part and some others; in some cases requests with a crashing
part come beside them, or servers crash at random. For each rule it prints the crashes that the
part cost, the sound parts that were wrongly rejected, and how many sound requests began.
"""

from __future__ import annotations

import argparse
import collections
import heapq
import itertools
import math
import random
import time
from dataclasses import dataclass, field

import msgspec

import ringseam.attribution as attribution
from ringseam.calls import PromptPart
from ringseam.contents import prompt_part_ids
from ringseam.quarantine import Quarantine, TrialState
from ringseam.quarantinemessages import QuarantineSnapshot, ServerCrash, Suspect
from ringseam.verdicts import EnforcedVerdicts

SECONDS = 60.0
SERVERS = 12
DOWNTIME_S = 2.5
SOUND_PER_S = 33.0
CRASH_DELAY_S = 0.05
SURVIVAL_S = 0.5
SETTLE_S = 0.2
BAD = 'part-bad'
#: Evidence for a verdict by likelihood: odds of a million to one.
LOG_ODDS = math.log(1e6)
#: Of the measurement of cost.
ROUNDS = 2000
KEY = b'0123456789abcdef'


@dataclass(frozen=True, kw_only=True)
class Case:
    """What comes beside the sound requests, and how long these last."""

    sound_s: float
    bad_per_s: float = 0
    random_crashes_per_s: float = 0
    #: Requests of a session, which share a part of their own.
    session_requests: int = 4


CASES = {
    'short': Case(sound_s=0.3, bad_per_s=3),
    'long': Case(sound_s=1.6, bad_per_s=3),
    'rare': Case(sound_s=1.6, bad_per_s=0.5),
    'random-short': Case(sound_s=0.3, random_crashes_per_s=2),
    'random-long': Case(sound_s=1.6, random_crashes_per_s=2),
    'both': Case(sound_s=1.6, bad_per_s=2, random_crashes_per_s=1),
}


class QuarantineRule:
    """The rule of the product, with a number of crashes for a verdict on a part."""

    def __init__(self, crashes):
        attribution.CRASHES_TO_QUARANTINE_PART = crashes
        self.quarantine = Quarantine()

    def ask(self, suspect, now):
        return self.quarantine.request_run(suspect, now, 5)

    def survived(self, suspect):
        self.quarantine.finish_trial(suspect.content)

    def crashed(self, report, now):
        self.quarantine.record_crash(report, now)
        for suspect in report.suspects:
            self.quarantine.finish_trial(suspect.content)

    def answered(self, suspect, now):
        for key in suspect.keys:
            self.quarantine.record_answer(key, 'v1', now)

    def evaluate(self, now):
        self.quarantine.evaluate(now)

    def verdicts(self):
        return {verdict.keys for verdict in self.quarantine.verdicts.values()}


class IntersectionRule:
    """Reject a part that was in flight at a number of crashes, whatever was answered."""

    def __init__(self, crashes):
        self.needed = crashes
        self.crashes = collections.Counter()

    def ask(self, suspect, now):
        rejected = any(self.crashes[part] >= self.needed for part in suspect.parts)
        return TrialState.quarantined if rejected else TrialState.granted

    def crashed(self, report, now):
        self.crashes.update({part for suspect in report.suspects for part in suspect.parts})

    def survived(self, suspect):
        """Trials are not limited."""

    def answered(self, suspect, now):
        """Answers clear nothing."""

    def evaluate(self, now):
        """Verdicts are in force at once."""

    def verdicts(self):
        return {frozenset((part,)) for part, count in self.crashes.items() if count >= self.needed}


class LikelihoodRule(IntersectionRule):
    """Reject a part whose runs crash too often for chance, given how often others do."""

    def __init__(self, crashes):
        super().__init__(crashes)
        self.answers = collections.Counter()
        self.total = collections.Counter()

    def crashed(self, report, now):
        super().crashed(report, now)
        self.total['crashed'] += len(report.suspects)

    def answered(self, suspect, now):
        self.answers.update(suspect.parts)
        self.total['answered'] += 1

    def is_rejected(self, part):
        if self.answers[part] or self.crashes[part] < 2:
            return False
        others = max(1, self.total['crashed'] - self.crashes[part])
        chance = others / (others + self.total['answered'] + 1)
        return -self.crashes[part] * math.log(chance) > LOG_ODDS

    def ask(self, suspect, now):
        rejected = any(map(self.is_rejected, suspect.parts))
        return TrialState.quarantined if rejected else TrialState.granted

    def verdicts(self):
        return {frozenset((part,)) for part in list(self.crashes) if self.is_rejected(part)}


RULES = {
    'intersection-3': lambda: IntersectionRule(3),
    'intersection-5': lambda: IntersectionRule(5),
    'likelihood': lambda: LikelihoodRule(0),
    'quarantine-3': lambda: QuarantineRule(3),
    'quarantine-4': lambda: QuarantineRule(4),
    'quarantine-5': lambda: QuarantineRule(5),
}


@dataclass(kw_only=True)
class Server:
    """A server and the requests on it, by their content."""

    name: str
    runs: dict[str, tuple[Suspect, float]] = field(default_factory=dict)
    up_at: float = 0


class Simulation:
    """One run of a case under a rule."""

    def __init__(self, *, case, rule, seed):
        self.case = case
        self.rule = rule
        self.rng = random.Random(seed)
        self.servers = [Server(name=f's{number}') for number in range(SERVERS)]
        self.numbers = itertools.count()
        self.lifetimes = itertools.count()
        self.events = []
        self.crashes = 0
        self.bad_crashes = 0
        self.sound = collections.Counter()

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self):
        self.at(0, self.send_sound)
        if self.case.bad_per_s:
            self.at(4, self.send_bad)
        if self.case.random_crashes_per_s:
            self.at(1, self.crash_random)
        while self.events and self.events[0][0] < SECONDS:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)
        return self

    def send_sound(self, now):
        number = next(self.numbers)
        session = number // self.case.session_requests // 8 * 8 + self.rng.randrange(8)
        parts = ('part-first', f'part-kind{number % 5}', f'part-s{session}', f'part-own{number}')
        self.try_sound(now, Suspect(content=f'c{number}', account='a', parts=parts), 2)
        self.at(now + self.rng.expovariate(SOUND_PER_S), self.send_sound)

    def try_sound(self, now, suspect, tries):
        state = self.rule.ask(suspect, now)
        if tries == 2:
            self.sound[state.value] += 1
        if state is TrialState.granted:
            self.start(now, suspect, tries)

    def send_bad(self, now):
        number = next(self.numbers)
        suspect = Suspect(
            content=f'c{number}', account='a', parts=('part-first', BAD, f'part-own{number}')
        )
        if self.rule.ask(suspect, now) is TrialState.granted:
            self.start(now, suspect, 0)
        self.at(now + self.rng.expovariate(self.case.bad_per_s), self.send_bad)

    def start(self, now, suspect, tries):
        up = [server for server in self.servers if server.up_at <= now]
        if not up:
            return
        server = min(up, key=lambda one: (len(one.runs), self.rng.random()))
        server.runs[suspect.content] = (suspect, now)
        if BAD in suspect.parts:
            self.at(now + CRASH_DELAY_S, self.crash_under, server, suspect)
            return
        self.at(now + SURVIVAL_S, self.survive, server, suspect)
        self.at(
            now + self.case.sound_s * self.rng.uniform(0.5, 1.5), self.end, server, suspect, now
        )

    def survive(self, now, server, suspect):
        if suspect.content in server.runs:
            self.rule.survived(suspect)

    def end(self, now, server, suspect, since):
        if server.runs.get(suspect.content) == (suspect, since):
            server.runs.pop(suspect.content)
            self.rule.answered(suspect, now)
            self.rule.survived(suspect)

    def crash_under(self, now, server, suspect):
        if suspect.content in server.runs:
            self.bad_crashes += 1
            self.crash(now, server)

    def crash_random(self, now):
        self.crash(now, self.rng.choice(self.servers))
        self.at(now + self.rng.expovariate(self.case.random_crashes_per_s), self.crash_random)

    def crash(self, now, server):
        if server.up_at > now:
            return
        self.crashes += 1
        runs = list(server.runs.values())
        server.runs.clear()
        server.up_at = now + DOWNTIME_S
        report = ServerCrash(
            instance=f'{server.name}#{next(self.lifetimes)}',
            service='s',
            software='v1',
            suspects=tuple(suspect for suspect, _ in runs),
            ran_ms=tuple(int((now - since) * 1000) for _, since in runs),
        )
        self.rule.crashed(report, now)
        self.at(now + SETTLE_S, self.rule.evaluate)
        for suspect, _ in runs:
            if BAD not in suspect.parts:
                self.at(now + 0.01, self.try_sound, suspect, 1)

    def wrong_verdicts(self):
        return [
            keys for keys in self.rule.verdicts() if BAD not in keys and any(map(_is_part, keys))
        ]

    def began(self):
        return self.sound['granted'] / max(1, self.sound.total())


def _is_part(key):
    return key.startswith('part-')


def measure_cost():
    """Print what the decision on one request costs, by parts of its prompt and suspects."""
    print(f'{"parts":>6}{"suspects":>10}{"verdicts":>10}{"us a request":>14}{"bytes reported":>16}')
    for count, known in itertools.product((0, 4, 40), (0, 200)):
        parts = [PromptPart(name=f'{number:08x}', tokens=100) for number in range(count)]
        others = [
            prompt_part_ids([PromptPart(name=f'ff{number:x}', tokens=1)], service='s', secret=KEY)
            for number in range(known)
        ]
        snapshot = QuarantineSnapshot(
            version=1,
            quarantined={part: 0 for (part,) in others},
            suspects=tuple(part for (part,) in others),
        )
        enforced = EnforcedVerdicts(snapshot=snapshot)
        suspects = frozenset(snapshot.suspects)
        began = time.perf_counter()
        for number in range(ROUNDS):
            found = prompt_part_ids(parts, service='s', secret=KEY)
            suspect = Suspect(content=f'c{number}', account='a', parts=found)
            enforced.find(suspect)
            suspects.intersection(suspect.keys)
        took_us = (time.perf_counter() - began) / ROUNDS * 1e6
        size = len(msgspec.json.encode(suspect))
        print(f'{count:6}{known:10}{known:10}{took_us:14.1f}{size:16}')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--cost', action='store_true', help='measure the decision on a request')
    options = parser.parse_args()
    if options.cost:
        measure_cost()
        return
    seeds = range(options.seeds)
    print(f'{"case":14}{"rule":16}{"crashes":>14}{"wrong":>7}{"began":>8}')
    for case_name, case in CASES.items():
        for rule_name, rule in RULES.items():
            runs = [Simulation(case=case, rule=rule(), seed=seed).run() for seed in seeds]
            bad = sorted(run.bad_crashes for run in runs)
            wrong = sum(len(run.wrong_verdicts()) for run in runs)
            began = sum(run.began() for run in runs) / len(runs)
            spread = f'{bad[len(bad) // 2]} ({bad[0]}-{bad[-1]})'
            print(f'{case_name:14}{rule_name:16}{spread:>14}{wrong:7}{began:8.3f}', flush=True)


if __name__ == '__main__':
    main()
