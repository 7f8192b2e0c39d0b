"""Time of a decision on an account's share: ``python -m bench.shares [--accounts 16 600 6000]``.

Counts demand, decides and counts the use of one request after another, of random
accounts in three ranks, and prints the mean time of each by the number of active accounts.
"""

from __future__ import annotations

import argparse
import random
import time

from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad
from ringseam.gateway.priorities import Precedence

RANKS = 3
#: Time between two requests in the decider's clock, seconds.
STEP_S = 0.002
US_PER_S = 1e6


def demand(rng, accounts):
    return AccountDemand(
        account=f'a{rng.randrange(accounts)}',
        precedence=Precedence(rank=rng.randrange(RANKS)),
        amount=rng.lognormvariate(-3, 1),
    )


def decide(shares, asked, load, now):
    shares.asked(asked, now)
    if not shares.share_wait_s(asked, load, now):
        shares.admitted(asked, now)


def measure(accounts, requests):
    """Return the mean time of a decision, microseconds."""
    rng = random.Random(1)
    shares = MaxMinShares()
    load = PlaceLoad(capacity_per_s=6, backlog_s=0.4)
    for number in range(accounts):
        for rank in range(RANKS):
            known = AccountDemand(
                account=f'a{number}', precedence=Precedence(rank=rank), amount=0.05
            )
            decide(shares, known, load, 0)
    demands = [demand(rng, accounts) for _ in range(requests)]
    began = time.perf_counter()
    for number, asked in enumerate(demands):
        decide(shares, asked, load, number * STEP_S)
    return (time.perf_counter() - began) / requests * US_PER_S


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--accounts', type=int, nargs='*', default=[16, 600, 6000])
    parser.add_argument('--requests', type=int, default=20_000)
    options = parser.parse_args()
    for accounts in options.accounts:
        print(f'{accounts:6} accounts: {measure(accounts, options.requests):.1f} us')


if __name__ == '__main__':
    main()
