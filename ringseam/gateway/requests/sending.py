"""One send of a request to one backend server, up to the head of its answer."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ringseam.calls import CallHeaders
from ringseam.gateway.engines.silence import OpenAnswer
from ringseam.gateway.work import Answered, LossCause, Lost, NotRun
from ringseam.gateway.worth import urgency_of
from ringseam.platform.requests import decode_marks, encode_call
from ringseam.web.bodies import end_to_end
from ringseam.web.client import ChannelError

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.clock import Clock
    from ringseam.gateway.engines.silence import SilenceBook
    from ringseam.gateway.following.health import HealthBook
    from ringseam.gateway.following.serverwords import ServerWords
    from ringseam.gateway.work import TryOutcome, Work
    from ringseam.web.client import Channel, ChannelPool, ResponseHead

logger = logging.getLogger(__name__)

#: A new connection that isn't made after this long won't be, seconds; the way
#: there and back is milliseconds, a full queue of connections takes a second.
CONNECT_S = 0.4
#: Answers for other requests that are skipped on one connection.
_STRAY_ANSWERS = 2


class Sender:
    """Send requests to backend servers."""

    def __init__(
        self,
        *,
        pool: ChannelPool,
        health: HealthBook,
        silence: SilenceBook,
        clock: Clock,
        words: ServerWords,
    ) -> None:
        """Send over the connections of ``pool``; ``words`` hears all answers."""
        self.pool = pool
        self.health = health
        self.silence = silence
        self.clock = clock
        self.words = words

    async def send(
        self,
        work: Work,
        server: BackendReport,
        *,
        last_event: int | None = None,
    ) -> TryOutcome:
        """Send the request once and return how it went.

        The connection of an :class:`Answered` belongs to the caller; in all
        other cases it is closed or kept here.
        """
        left = work.deadline - self.clock.now()
        if left <= 0:
            return NotRun(detail='no time left')
        try:
            channel = await self.pool.acquire(server.address, timeout_s=min(CONNECT_S, left))
        except ChannelError as error:
            self.health.failed(server.instance, self.clock.now(), hard=True)
            return NotRun(detail=str(error))
        outcome: TryOutcome | None = None
        try:
            outcome = await self._exchange(channel, work, server, last_event)
        finally:
            if not isinstance(outcome, Answered):
                self._give_back(channel, outcome)
        return outcome

    async def _exchange(
        self,
        channel: Channel,
        work: Work,
        server: BackendReport,
        last_event: int | None,
    ) -> TryOutcome:
        request = work.exchange.request
        headers = encode_call(
            end_to_end(request.headers),
            CallHeaders(
                instance=server.instance,
                time_left_s=work.deadline - self.clock.now(),
                account=work.account.name if work.account else '',
                urgency=urgency_of(work.precedence.rank) if work.route.affinity else None,
                inputs=work.inputs,
                last_event=last_event,
            ),
        )
        try:
            async with asyncio.timeout(max(0, work.deadline - self.clock.now())):
                await channel.send(request.method, request.target, headers, request.body)
                self._note_sent(channel, work, server)
                return await self._answer(channel, work, server)
        except asyncio.TimeoutError:
            return Lost(cause=LossCause.timeout, detail=f'{server.address}: no answer in time')
        except ChannelError as error:
            self.health.failed(server.instance, self.clock.now(), hard=channel.uses == 1)
            if not error.sent:
                return NotRun(detail=str(error))
            return Lost(cause=LossCause.connection, detail=str(error))

    def _note_sent(self, channel: Channel, work: Work, server: BackendReport) -> None:
        if work.route.affinity:
            answer = OpenAnswer(
                channel=channel,
                sent_at=self.clock.now(),
                may_repeat=work.tries.may_repeat,
            )
            self.silence.sent(server.instance, work.request.attempt_id, answer)

    async def _answer(self, channel: Channel, work: Work, server: BackendReport) -> TryOutcome:
        for _ in range(_STRAY_ANSWERS + 1):
            head = await channel.head()
            marks = decode_marks(head)
            if marks.attempt_id in {'', work.request.attempt_id}:
                break
            # An answer to an earlier request on this connection: not ours.
            await channel.whole_body()
            channel.skip_answer()
        self.silence.heard(server.instance, marks.attempt_id, self.clock.now(), event=False)
        self.words.heard(server.instance, marks)
        if marks.load is not None:
            self._note_load(server, marks.load.running, marks.load.waiting)
        if marks.not_run:
            await self._finish(channel)
            return NotRun(
                detail=f'{server.address}: refused with {head.status}',
                reached=True,
                status=head.status,
            )
        if marks.attempt_id != work.request.attempt_id or marks.encoded:
            channel.close()
            return Lost(cause=LossCause.not_authentic, detail=f'{server.address}: foreign answer')
        if _is_success(head) and not marks.authentic:
            channel.close()
            return Lost(cause=LossCause.not_authentic, detail=f'{server.address}: no seal')
        return Answered(head=head, marks=marks, channel=channel)

    async def _finish(self, channel: Channel) -> None:
        try:
            await channel.whole_body()
        except ChannelError as error:
            logger.debug('refusal broke off: %s', error)
            channel.close()

    def _give_back(self, channel: Channel, outcome: TryOutcome | None) -> None:
        if isinstance(outcome, NotRun):
            self.pool.release(channel)
        else:
            channel.close()

    def _note_load(self, server: BackendReport, running: int, waiting: int) -> None:
        standing = self.health.of(server.instance)
        standing.told_running = running
        standing.told_waiting = waiting
        standing.told_at = self.clock.now()


def _is_success(head: ResponseHead) -> bool:
    return 200 <= head.status < 300
