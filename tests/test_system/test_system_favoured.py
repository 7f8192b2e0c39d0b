"""Nearly all new connections at one gateway, and then at the other.

These tests guard against a gateway that stops reading requests because most clients have been
sent to it, while its peers would have room.
"""

from __future__ import annotations

import asyncio
import collections
import time

from tests.crashingfleet import Fleet

CONNECTIONS_PER_S = 150
FAVOURED_S = 4.0
#: Share of the new connections that reach the favoured gateway.
SHARE = 0.95
#: The platform's bound on requests served at the first attempt that a gateway has read.
SERVED = 0.75


async def post_to(fleet, gateway, statuses):
    number = next(fleet.numbers)
    # A client's number decides its gateway; the few others go elsewhere.
    is_elsewhere = number % 100 >= SHARE * 100
    chosen = 2 * number + (gateway ^ is_elsewhere)
    statuses[gateway].append(await fleet.post(chosen, b'work %d' % number))


def test_gateways_serve_while_most_connections_reach_one_of_them(tmp_path):
    async def run():
        statuses = collections.defaultdict(list)
        async with Fleet(tmp_path) as fleet:
            for gateway in (0, 1):
                tasks = []
                until = time.monotonic() + FAVOURED_S
                while time.monotonic() < until:
                    tasks.append(asyncio.create_task(post_to(fleet, gateway, statuses)))
                    await asyncio.sleep(1 / CONNECTIONS_PER_S)
                await asyncio.gather(*tasks)
        return statuses

    for gateway, seen in asyncio.run(run()).items():
        counts = collections.Counter(seen)
        assert len(seen) > FAVOURED_S * CONNECTIONS_PER_S / 2
        # Status 0: the connection was refused, or closed with the request unread.
        assert counts[200] >= SERVED * (len(seen) - counts[0]), (gateway, counts)
        assert counts[0] <= (1 - SERVED) * len(seen), (gateway, counts)
