"""Cost of the decisions on hosts: ``python -m bench.hostcost [--rounds 200000]``."""

from __future__ import annotations

import argparse
import timeit
from types import SimpleNamespace

from ringseam.backends import GatewayState
from ringseam.gateway.following.ownership import Ownership
from ringseam.gateway.hosts.budget import Holder, HostBudget
from ringseam.hostcapacity import HostCapacity

SMALL, LARGE = 0.25, 1.0
#: Processor shares of the hosts.
HOSTS = {'equal': [LARGE] * 68, 'uneven': [LARGE] * 10 + [SMALL] * 58}


def spent_us(call, rounds):
    """Return the least time of one call over five measurements, microseconds."""
    return min(timeit.repeat(call, number=rounds, repeat=5)) / rounds * 1e6


def ownership(shares):
    gateways = tuple(
        GatewayState(
            name=f'gateway-{number}',
            address=f'10.0.0.{number}:1',
            zone='z',
            capacity=HostCapacity(cpu_share=share, cores=1),
        )
        for number, share in enumerate(shares)
    )
    owners = Ownership(follower=SimpleNamespace(gateways=gateways), name='other')
    owners.refresh()
    return owners


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--rounds', type=int, default=200_000)
    rounds = parser.parse_args().rounds
    count = HostBudget(bound_bytes=10**12).counter(Holder.client_responses)
    print(f'one count of bytes: {spent_us(lambda: count(1), rounds):.2f} us')
    for name, shares in HOSTS.items():
        owners = ownership(shares)
        took_us = spent_us(lambda known=owners: known._compute_owner('service'), rounds // 200)
        print(f'owner of a service, {len(shares)} {name} hosts: {took_us:.0f} us')
        cached_us = spent_us(lambda known=owners: known.owner_of('service'), rounds // 10)
        print(f'the same, computed before: {cached_us:.2f} us')


if __name__ == '__main__':
    main()
