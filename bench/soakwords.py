"""What servers of a soak say of themselves in their answers, and what may reach them then."""

from __future__ import annotations

import asyncio
import time

from ringseam.platform.stages import RELEASE_PATH

#: Faults of a soak that let a server say something of itself.
WORD_FAULTS = ('limit', 'rest', 'say-leaving')
#: Those whose check allows for a known number of clients.
COUNTED_FAULTS = {'rest', 'say-leaving'}
#: A limit binds from this long after it was named, in any window of this length, seconds.
BINDS_S = 3.0
WINDOW_S = 4.0
LIMITS = (0.5, 1.0, 3.0)
LIMITED_S = 12.0
#: How long a server turns all away, and what a gateway may still send in that time.
REST_S = 2.0
UNDER_WAY_S = 0.5
SENT_IN_REST = 2
#: A server that says that it leaves gets nothing from who was told, later than this, seconds.
DRAIN_S = 2.0


class Words:
    """What one server says, and the arrivals that it counts meanwhile."""

    def __init__(self, soak, server):
        self.soak = soak
        self.server = server
        self.arrived = []
        self.per_s = 0
        server.arrivals = self.arrived

    async def say(self, kind):
        """Say something for a while, then check what came."""
        lifetime = self.server.instance
        begun, disturbed = time.monotonic(), self.soak.disturbed
        if kind == 'limit':
            await self.limit(begun)
        elif kind == 'rest':
            await self.rest(begun)
        else:
            await self.leave(begun)
        self.server.arrivals = None
        ended = self.server.instance != lifetime
        # A later lifetime of a server that left meanwhile would be ready.
        if kind == 'say-leaving' and self.server.left_at is None:
            await self.soak.begin_again(self.server)
        # A restart, freeze or cut excuses who sends; a new lifetime has said nothing yet.
        if self.soak.disturbed != disturbed or ended:
            self.soak.book.told['words excused'] += 1
            return
        self.soak.book.told['words checked'] += 1
        getattr(self, f'check_{kind.replace("-", "_")}')(begun)

    async def limit(self, begun):
        self.per_s = self.soak.dice.choice(LIMITS)
        self.server.rate_limit_per_s = self.per_s
        await asyncio.sleep(LIMITED_S)
        self.server.rate_limit_per_s = None

    async def rest(self, begun):
        while time.monotonic() < begun + REST_S:
            self.server.pause_s = max(0.1, begun + REST_S - time.monotonic())
            await asyncio.sleep(0.02)
        self.server.pause_s = 0

    async def leave(self, begun):
        self.server.announces_leaving = True
        await asyncio.sleep(3 * DRAIN_S)
        self.server.announces_leaving = False

    def check_limit(self, begun):
        allowed = 1.5 * WINDOW_S * self.per_s + 5
        for at, _ in self.arrived:
            if at >= begun + BINDS_S:
                came = sum(at - WINDOW_S <= other <= at for other, _ in self.arrived)
                self.check(came <= allowed, f'LIMIT {self.per_s}: {came} in 4 s')

    def check_rest(self, begun):
        # Each gateway is turned away once, with what it had under way then.
        first = self.soak.clients * len(self.soak.gateways)
        later = [at for at, _ in self.arrived if begun + UNDER_WAY_S < at < begun + REST_S]
        allowed = first + SENT_IN_REST * len(self.soak.gateways)
        self.check(len(later) <= allowed, f'BUDGET {len(later)} in a rest')

    def check_say_leaving(self, begun):
        later = [path for at, path in self.arrived if at > begun + DRAIN_S and path != RELEASE_PATH]
        # A gateway that had sent nothing until then is told by its first answers.
        allowed = self.soak.clients * len(self.soak.gateways)
        self.check(len(later) <= allowed, f'DRAIN {len(later)} after it said so')

    def check(self, holds, detail):
        self.soak.book.check(holds, f'{detail} at {self.server.instance}')
