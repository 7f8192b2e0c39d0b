"""Cost of the records of what began each stream: ``python -m bench.streamorigins``.

Prints the time to keep a record and to choose its holders, its size, and the share of
resumptions that know their stream after gateways were lost, at several numbers of gateways.
"""

from __future__ import annotations

import random
import time
import tracemalloc

import msgspec

from ringseam.backends import GatewayState
from ringseam.gateway.requests.originsharing import ASKED, COPIES, holders
from ringseam.lifetimes import backend_id
from ringseam.routes import ServiceName
from ringseam.softwareversions import VersionHistory
from ringseam.streamorigins import OriginStore, StreamOrigin, origin_key

ROUNDS = 2000
ZONES = 4
SERVICE = ServiceName('writers')
GATEWAYS = (3, 30, 300)
LOSSES = (1, 2, 3)


def origin():
    return StreamOrigin(
        service=SERVICE,
        software='v1.1',
        server=backend_id('i-7f3a91c2', 1791067104813),
        began_ms=1791067104813,
    )


def per_round_us(run):
    started = time.perf_counter()
    for number in range(ROUNDS):
        run(number)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def key_of(number):
    return origin_key('acme', f'9c41d07be2a3{number:04x}', secret=b's')


def gateways(count):
    return [
        GatewayState(name=f'g{number}', address=f'10.0.0.{number}:1', zone=f'z{number % ZONES}')
        for number in range(count)
    ]


def known_share(states, losses, dice):
    """Return the share of streams with a copy left after the first gateway and others are lost."""
    known = 0
    for number in range(ROUNDS // 4):
        began_at = dice.choice(states).name
        ordered = [state.name for state in holders(key_of(number), states)]
        copies = [name for name in ordered if name != began_at][:COPIES]
        others = [state.name for state in states if state.name != began_at]
        lost = {began_at, *dice.sample(others, min(losses - 1, len(others) - 1))}
        asked = [name for name in ordered if name not in lost][: ASKED + 1]
        known += any(name in asked for name in copies)
    return known / (ROUNDS // 4)


def main():
    history = VersionHistory()
    history.observe({SERVICE: frozenset({'v1'}), ServiceName('b'): frozenset({'v1', 'v2'})}, 0)
    took = per_round_us(lambda _: history.uniform_version(SERVICE, duration_s=5, now=9))
    print(f'decision with one version: {took:.1f} us')
    print(f'key: {per_round_us(key_of):.1f} us')
    store = OriginStore()
    tracemalloc.start()
    kept = [(key_of(number), origin()) for number in range(ROUNDS)]
    took = per_round_us(lambda number: store.add(*kept[number], 0))
    memory = tracemalloc.get_traced_memory()[0] / ROUNDS
    tracemalloc.stop()
    sent = len(msgspec.msgpack.encode(store.find(kept[0][0], 0)))
    print(f'keep: {took:.1f} us and {memory:.0f} bytes; sent: {sent} bytes')
    dice = random.Random(1)
    for count in GATEWAYS:
        states = gateways(count)
        took = per_round_us(lambda number, states=states: holders(kept[number][0], states))
        shares = ', '.join(f'{known_share(states, losses, dice):.3f}' for losses in LOSSES)
        print(f'{count} gateways: holders {took:.0f} us, known after {LOSSES} lost: {shares}')


if __name__ == '__main__':
    main()
