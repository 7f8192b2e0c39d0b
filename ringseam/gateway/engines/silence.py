"""Detection of servers whose responses get no data, as opposed to slow ones.

A crashed host sends no reset: its connections stay open without any data. A sound server may
pause as well, so silence alone ends no response. A single stream may pause for long, but an
engine produces events for all its streams in turn, so it counts as silent only if all of them
are.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.backends import BackendId
    from ringseam.gateway.responseactivity import ResponseActivity

#: An engine with running streams is silent after this long without a byte, seconds. An
#: event takes three steps, each with a prefill of at most 4,096 prompt tokens in 0.13 s, so
#: 0.4 s between two events is usual under load.
STREAMING_SILENCE_S = 0.8
#: An engine none of whose streams has started is silent after this long, seconds: the
#: prefill of the longest prompts, of 40,000 tokens, takes 1.1 s.
FIRST_SILENCE_S = 1.5
#: Streams of a silent engine that accepts connections are suspected after this long, seconds: a
#: sound engine may pause for about a second.
PAUSE_S = 1.2


@dataclass(kw_only=True)
class PendingResponse:
    """A request that was sent and whose response isn't complete."""

    activity: ResponseActivity
    sent_at: float
    streaming: bool = False


@dataclass(kw_only=True)
class EngineActivity:
    """The pending responses of one engine, and when it last sent data."""

    last_data_at: float = float('-inf')
    #: Whether it was found to be silent and has sent nothing since.
    is_silent: bool = False
    responses: dict[str, PendingResponse] = field(default_factory=dict)


@dataclass(kw_only=True)
class SilenceDetector:
    """Pending responses by engine; times are absolute seconds."""

    engines: dict[BackendId, EngineActivity] = field(default_factory=dict)
    #: Called with an engine that was silent and has sent data again.
    on_recovered: Callable[[BackendId], None] = lambda instance: None

    def request_sent(self, instance: BackendId, request: str, response: PendingResponse) -> None:
        """Record that a request was sent."""
        engine = self.engines.setdefault(instance, EngineActivity())
        engine.responses[request] = response

    def data_received(self, instance: BackendId, request: str, now: float, *, event: bool) -> None:
        """Record that data arrived; ``event``: it belongs to the event stream itself."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        engine.last_data_at = now
        response = engine.responses.get(request)
        if response is not None:
            response.streaming = response.streaming or event
            response.activity.data_received()
        if engine.is_silent:
            engine.is_silent = False
            self.on_recovered(instance)

    def response_ended(self, instance: BackendId, request: str) -> None:
        """Record that a response is complete or abandoned."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        engine.responses.pop(request, None)
        if not engine.responses:
            self.engines.pop(instance)

    def newly_silent(self, now: float) -> list[BackendId]:
        """Return the engines that have gone silent since the last call.

        The overdue responses of all silent engines are suspected.
        """
        found = []
        for instance, engine in self.engines.items():
            if _is_silent(engine, now):
                if not engine.is_silent:
                    found.append(instance)
                engine.is_silent = True
            if engine.is_silent:
                _suspect_overdue(engine, now)
        return found

    def suspect_all(self, instance: BackendId) -> None:
        """Suspect all responses of an engine that is still silent."""
        engine = self.engines.get(instance)
        if engine is not None and engine.is_silent:
            for response in engine.responses.values():
                response.activity.suspect()


def _suspect_overdue(engine: EngineActivity, now: float) -> None:
    for response in engine.responses.values():
        limit_s = PAUSE_S if response.streaming else STREAMING_SILENCE_S
        if now - max(response.sent_at, engine.last_data_at) > limit_s:
            response.activity.suspect()


def _is_silent(engine: EngineActivity, now: float) -> bool:
    oldest_sent_at = min((response.sent_at for response in engine.responses.values()), default=now)
    silence_s = now - max(engine.last_data_at, oldest_sent_at)
    streaming = any(response.streaming for response in engine.responses.values())
    limit_s = STREAMING_SILENCE_S if streaming else FIRST_SILENCE_S
    return silence_s > limit_s
