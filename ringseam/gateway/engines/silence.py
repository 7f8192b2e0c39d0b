"""Engines that have gone silent, told from slow ones; a plain class.

A crashed host sends no reset: its connections stay open and say nothing. One
silent stream may be a long pause, but an engine makes events for all its
streams in turn, so it is the silence of all of them that counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ringseam.backends import BackendId

#: An engine with streams under way is silent after this long without a byte,
#: seconds. An event takes three steps; each reads 4,096 prompt tokens at most,
#: 0.13 s, so 0.4 s between two events is usual under load.
STREAMING_SILENCE_S = 0.8
#: An engine that has yet to begin all its streams is silent after this long,
#: seconds: the longest prompts, of 40,000 tokens, take 1.1 s to read.
FIRST_SILENCE_S = 1.5


class Closable(Protocol):
    """A connection that can be given up."""

    def close(self) -> None:
        """Close at once."""


@dataclass(kw_only=True)
class PendingResponse:
    """A request that was sent and whose answer isn't over."""

    channel: Closable
    sent_at: float
    #: Whether it may be sent to another server when this one is given up.
    may_repeat: bool
    streaming: bool = False


@dataclass(kw_only=True)
class EngineActivity:
    """What one engine owes, and when it was heard last."""

    last_data_at: float = float('-inf')
    responses: dict[str, PendingResponse] = field(default_factory=dict)


@dataclass(kw_only=True)
class SilenceDetector:
    """Open answers by engine; times are absolute seconds."""

    engines: dict[BackendId, EngineActivity] = field(default_factory=dict)

    def request_sent(self, instance: BackendId, request: str, response: PendingResponse) -> None:
        """Hear that a request was sent."""
        engine = self.engines.setdefault(instance, EngineActivity())
        engine.responses[request] = response

    def data_received(self, instance: BackendId, request: str, now: float, *, event: bool) -> None:
        """Hear that bytes came; ``event``: some of the stream itself."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        engine.last_data_at = now
        response = engine.responses.get(request)
        if response is not None and event:
            response.streaming = True

    def response_ended(self, instance: BackendId, request: str) -> None:
        """Hear that an answer is over or given up."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        engine.responses.pop(request, None)
        if not engine.responses:
            self.engines.pop(instance)

    def silent_engines(self, now: float) -> list[BackendId]:
        """Return the engines that owe answers and have gone silent."""
        return [instance for instance, engine in self.engines.items() if _is_silent(engine, now)]

    def close_repeatable(self, instance: BackendId) -> list[str]:
        """Close what may be sent elsewhere, and return those requests."""
        engine = self.engines.get(instance, EngineActivity())
        closed = [request for request, response in engine.responses.items() if response.may_repeat]
        for request in closed:
            engine.responses[request].channel.close()
        return closed


def _is_silent(engine: EngineActivity, now: float) -> bool:
    oldest_sent_at = min((response.sent_at for response in engine.responses.values()), default=now)
    silence_s = now - max(engine.last_data_at, oldest_sent_at)
    streaming = any(response.streaming for response in engine.responses.values())
    limit_s = STREAMING_SILENCE_S if streaming else FIRST_SILENCE_S
    return silence_s > limit_s
