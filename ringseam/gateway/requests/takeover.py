"""Continuation of a request at another server while its own server is silent.

A silent server may be lost or may only pause. So its response is kept until another server has
answered: the request is then sent by that one alone. If data arrives first, or no other
server takes the request, nothing changes for the client.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.gateway.requestcontext import Answered, NotRun
from ringseam.gateway.requests.relay import is_stream
from ringseam.tries import TryResult
from ringseam.util.tasks import cancel_and_wait

if TYPE_CHECKING:
    from ringseam.gateway.requestcontext import TryOutcome
    from ringseam.gateway.requests.attempts import AttemptRunner
    from ringseam.gateway.requests.directtries import DirectTries
    from ringseam.gateway.requests.serverattempt import ServerAttempt

#: Pause before another server is sought again for a request whose server stays silent, seconds.
_SEARCH_PAUSE_S = 0.5
_CLIENT_ERROR = 400


@dataclass(frozen=True, kw_only=True)
class Successor:
    """Another server that has answered, and the head of its response."""

    attempt: ServerAttempt
    answered: Answered


async def respond_once(runner: AttemptRunner, attempt: ServerAttempt) -> TryOutcome:
    """Send a request and forward the response of its server."""
    outcome: TryOutcome | None = None
    try:
        outcome = await runner.open(attempt)
        if isinstance(outcome, Answered):
            outcome = await runner.forward(attempt, outcome)
    finally:
        runner.end(attempt, outcome)
    return outcome


async def _forward_successor(runner: AttemptRunner, successor: Successor) -> TryOutcome:
    outcome: TryOutcome | None = None
    try:
        outcome = await runner.forward(successor.attempt, successor.answered)
    finally:
        runner.end(successor.attempt, outcome)
    return outcome


class Takeover:
    """Forward the response of one server, or of others that take over while it is silent."""

    def __init__(self, *, tries: DirectTries, attempt: ServerAttempt) -> None:
        """Start with ``attempt``, which has not been sent yet."""
        self.tries = tries
        self.runner = tries.runner
        self.attempt = attempt

    async def respond(self) -> TryOutcome:
        """Return the outcome of the last server that the request was at."""
        response = asyncio.ensure_future(respond_once(self.runner, self.attempt))
        try:
            while not response.done():
                await self._wait_for_silence(response)
                successor = await self._find_successor(response)
                if successor is not None:
                    await self._hand_over(response, successor)
                    response = asyncio.ensure_future(_forward_successor(self.runner, successor))
                elif self.attempt.activity.silent.is_set():
                    await asyncio.wait({response}, timeout=_SEARCH_PAUSE_S)
            return response.result()
        finally:
            if not response.done():
                await cancel_and_wait(response)

    async def _wait_for_silence(self, response: asyncio.Future[TryOutcome]) -> None:
        """Return when the response has ended, or data is overdue and the request may move."""
        if not self.tries.record.may_repeat:
            await asyncio.wait({response})
            return
        silence = asyncio.ensure_future(self.attempt.activity.silent.wait())
        try:
            await asyncio.wait({response, silence}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            silence.cancel()

    async def _find_successor(self, response: asyncio.Future[TryOutcome]) -> Successor | None:
        """Return a server that has answered; None if there is none before the response goes on."""
        if not self._is_overdue(response):
            return None
        search = asyncio.ensure_future(self._search())
        data = asyncio.ensure_future(self.attempt.activity.active.wait())
        is_found = False
        try:
            await asyncio.wait({search, data, response}, return_when=asyncio.FIRST_COMPLETED)
            if _has_failed(response) and not self.attempt.activity.active.is_set():
                await asyncio.wait({search})
            is_found = search.done() and not self._goes_on(response)
        finally:
            data.cancel()
            if not is_found:
                await self._discard(search)
        return search.result() if is_found else None

    def _is_overdue(self, response: asyncio.Future[TryOutcome]) -> bool:
        silent = self.attempt.activity.silent.is_set()
        return silent and not (response.done() or self._waits_for_client())

    def _goes_on(self, response: asyncio.Future[TryOutcome]) -> bool:
        """Return whether the silent server has sent data, or a whole response."""
        if self.attempt.activity.active.is_set():
            return True
        return response.done() and not _has_failed(response)

    async def _search(self) -> Successor | None:
        """Send the request to other servers until one answers, as far as its tries allow."""
        tries = self.tries
        while self._has_alternative() and tries.take_retry():
            server = await tries.choose()
            if server is None:
                return None
            tries.record.tried.add(server.instance)
            attempt = tries.begin(server)
            answered = await self._open(attempt)
            if answered is not None:
                return Successor(attempt=attempt, answered=answered)
        return None

    async def _open(self, attempt: ServerAttempt) -> Answered | None:
        """Return the head of a response that can take over; else the attempt has ended."""
        outcome: TryOutcome | None = None
        try:
            outcome = await self.runner.open(attempt)
        finally:
            if not _can_continue(outcome):
                self._give_up(attempt, outcome)
        return outcome if isinstance(outcome, Answered) and _can_continue(outcome) else None

    def _give_up(self, attempt: ServerAttempt, outcome: TryOutcome | None) -> None:
        """End an attempt that doesn't take over, and count it."""
        was_sent = attempt.activity.sent or outcome is not None
        self.tries.record.add(result_of(outcome) if was_sent else TryResult.unsent)
        if isinstance(outcome, Answered):
            outcome.channel.close()
            outcome = None
        self.runner.end(attempt, outcome)

    async def _discard(self, search: asyncio.Future[Successor | None]) -> None:
        await cancel_and_wait(search)
        successor = None if search.cancelled() else search.result()
        if successor is not None:
            self._give_up(successor.attempt, successor.answered)

    async def _hand_over(self, response: asyncio.Future[TryOutcome], successor: Successor) -> None:
        """End the attempt at the silent server; it must not work on beside its successor."""
        self.runner.record_takeover(self.attempt, successor.attempt)
        self.tries.record.add(TryResult.lost)
        try:
            await cancel_and_wait(response)
        except BaseException:
            self._give_up(successor.attempt, successor.answered)
            raise
        self.attempt = successor.attempt

    def _has_alternative(self) -> bool:
        """Return whether another server may take over; a retry isn't drawn for nothing."""
        tries = self.tries
        return tries.record.may_repeat and self.runner.selector.has_alternative(tries.context)

    def _waits_for_client(self) -> bool:
        """Return whether the response has data that its client has not taken yet."""
        relay = self.attempt.relay
        return relay.started and not relay.is_waiting


def result_of(outcome: TryOutcome | None) -> TryResult:
    """Return how a try without a forwarded response counts; None: it was given up."""
    if isinstance(outcome, NotRun):
        return TryResult.refused if outcome.refused_by_server else TryResult.unsent
    return TryResult.lost


def _has_failed(response: asyncio.Future[TryOutcome]) -> bool:
    """Return whether a response has ended without having been forwarded completely."""
    if not response.done() or response.cancelled() or response.exception() is not None:
        return False
    return not isinstance(response.result(), Answered)


def _can_continue(outcome: TryOutcome | None) -> bool:
    if not isinstance(outcome, Answered):
        return False
    return is_stream(outcome.head) and outcome.head.status < _CLIENT_ERROR
