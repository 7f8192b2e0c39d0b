"""Choice of a server for requests that go to any server of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ringseam.gateway.following.pacing import longest_wait_s

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.clock import Clock
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.following.turns import Turn, Turns
    from ringseam.gateway.requests.choice import Choice
    from ringseam.gateway.work import Work


class PlainChoice:
    """Choose among the servers that take a request now or soon.

    All gateways send to each of them, so each keeps to its share of what a cold one bears.
    One that names a limit is passed over when it has no turn left, and one that has asked
    this gateway for a pause until that is over.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        follower: Follower,
        turns: Turns,
        choice: Choice,
    ) -> None:
        """Choose by ``choice`` among what ``turns`` allows."""
        self.clock = clock
        self.follower = follower
        self.turns = turns
        self.pace = turns.pace
        self.choice = choice

    async def choose(self, work: Work) -> BackendReport | None:
        """Return the best server, once the request may go there."""
        work.turn_in_s = 0
        servers = self._without_paused(work, self._left(work))
        chosen = await self._choose_now(work, servers)
        while chosen is not None and not self._takes(chosen):
            servers = self._without_paused(work, self._left(work))
            chosen = await self._choose_now(work, servers)
        return chosen

    def has_another(self, work: Work) -> bool:
        """Return whether a server is left that takes requests now."""
        now = self.clock.now()
        pauses = self.pace.pauses
        return any(not pauses.left_s(server.instance, now) for server in self._left(work))

    async def _choose_now(
        self,
        work: Work,
        servers: list[BackendReport],
    ) -> BackendReport | None:
        """Return the best of some servers, when its turn has come."""
        now = self.clock.now()
        service = self.follower.table.services.get(work.service)
        cold = service.cold if service else None
        peers = self.follower.gateway_names
        waits = {
            known.instance: self.pace.wait_s(known.instance, cold, now, peers=peers)
            for known in servers
        }
        chosen = self.choice.choose(servers, now, waits)
        if chosen is None or now + waits[chosen.instance] >= work.deadline:
            return None
        turn = await self._turn(work, chosen)
        if not turn.granted:
            work.turn_in_s = min(turn.wait_s, work.turn_in_s or turn.wait_s)
            others = [known for known in servers if known.instance != chosen.instance]
            return await self._choose_now(work, others)
        wait_s = max(turn.wait_s, waits[chosen.instance])
        self.pace.sent(chosen.instance, now + wait_s)
        if wait_s:
            await asyncio.sleep(wait_s)
        return chosen

    async def _turn(self, work: Work, server: BackendReport) -> Turn:
        """Return a turn at a server, at once where it names no limit."""
        left_s = max(0, work.deadline - self.clock.now())
        longest_s = min(longest_wait_s(work.route.priority), left_s)
        return await self.turns.take(server, longest_s)

    def _left(self, work: Work) -> list[BackendReport]:
        """Return the servers that a request has not been sent to."""
        serving = self.follower.serving(work.service, work.suspect.account, work.zones)
        return [server for server in serving if server.instance not in work.tries.tried]

    def _without_paused(self, work: Work, servers: list[BackendReport]) -> list[BackendReport]:
        """Return the servers that have not asked for a pause; note when the first ends."""
        now = self.clock.now()
        waits = {known.instance: self.pace.pauses.left_s(known.instance, now) for known in servers}
        work.turn_in_s = min((wait_s for wait_s in waits.values() if wait_s), default=0)
        return [known for known in servers if not waits[known.instance]]

    def _takes(self, server: BackendReport) -> bool:
        """Return whether a server still takes requests of this gateway."""
        paused = self.pace.pauses.left_s(server.instance, self.clock.now())
        return not paused and self.follower.is_serving(server)
