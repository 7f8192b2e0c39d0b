"""Time of a decision on an account's share: ``python -m bench.shares [--accounts 16 600 6000]``.

Counts demand, decides and counts the use of one request after another, of random
accounts in three ranks, and prints the mean time of each by the number of active accounts.
Then orders a queue of pieces of random accounts, of which a fifth can be in time, and prints
the time a piece, fairly and by urgency alone.
"""

from __future__ import annotations

import argparse
import random
import time

from ringseam.contents import ContentId
from ringseam.gateway.accounts.maxmin import MaxMinShares
from ringseam.gateway.accounts.policy import AccountDemand, PlaceLoad
from ringseam.gateway.priorities import Precedence
from ringseam.gateway.stages.fairorder import FairOrder
from ringseam.gateway.stages.jobs import Piece, PieceGroup, PieceJob
from ringseam.gateway.stages.order import UrgencyOrder
from ringseam.quarantinemessages import Suspect
from ringseam.routes import ServiceName

RANKS = 3
#: Time between two requests in the decider's clock, seconds.
STEP_S = 0.002
US_PER_S = 1e6
#: Jobs in the queue, and pieces of each.
JOBS = 6000
PIECES = 4
#: Time in which the jobs are due, seconds, and how many orders are timed.
DUE_S = 4
ORDERS = 5


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


def queue(accounts):
    """Return the pieces of a queue."""
    rng = random.Random(1)
    pieces = []
    for number in range(JOBS):
        job = PieceJob(
            attempt_id=f'r{number}',
            service=ServiceName('s'),
            stage=0,
            pieces=tuple(range(PIECES)),
            key='',
            inputs=(),
            due=rng.uniform(1, DUE_S),
            deadline=2 * DUE_S,
            rank=rng.randrange(RANKS),
            result_bytes=1,
            suspect=Suspect(content=ContentId(''), account=f'a{rng.randrange(accounts)}'),
        )
        group = PieceGroup()
        pieces.extend(
            Piece(job=job, number=piece, arrival=number, group=group) for piece in job.pieces
        )
    return pieces


def measure_order(new_order, pieces):
    """Return the mean time that a new order takes for a piece, microseconds."""
    began = time.perf_counter()
    for _ in range(ORDERS):
        new_order().order(pieces, 0)
    return (time.perf_counter() - began) / ORDERS / len(pieces) * US_PER_S


def overloaded_order():
    order = FairOrder()
    for second in (0, 1):
        order.rate.sent(JOBS * PIECES // DUE_S // 5, second, has_backlog=True)
    return order


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument('--accounts', type=int, nargs='*', default=[16, 600, 6000])
    parser.add_argument('--requests', type=int, default=20_000)
    options = parser.parse_args()
    for accounts in options.accounts:
        pieces = queue(accounts)
        fair_us = measure_order(overloaded_order, pieces)
        urgency_us = measure_order(UrgencyOrder, pieces)
        print(f'{accounts:6} accounts: order {fair_us:.1f} us, by urgency {urgency_us:.1f} us')
        print(f'{accounts:6} accounts: {measure(accounts, options.requests):.1f} us')


if __name__ == '__main__':
    main()
