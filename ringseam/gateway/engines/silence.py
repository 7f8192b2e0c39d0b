"""Detection of engines that have gone silent, as opposed to slow ones.

A crashed host sends no reset: its connections stay open without any data. A single
stream may pause for long, but an engine produces events for all its streams in turn, so
it counts as silent only if all of them are.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ringseam.backends import BackendId

#: An engine with running streams is silent after this long without a byte, seconds. An
#: event takes three steps, each with a prefill of at most 4,096 prompt tokens in 0.13 s, so
#: 0.4 s between two events is usual under load.
STREAMING_SILENCE_S = 0.8
#: An engine none of whose streams has started is silent after this long, seconds: the
#: prefill of the longest prompts, of 40,000 tokens, takes 1.1 s.
FIRST_SILENCE_S = 1.5


class Closable(Protocol):
    """A connection that can be closed."""

    def close(self) -> None:
        """Close the connection at once."""


@dataclass(kw_only=True)
class PendingResponse:
    """A request that was sent and whose response isn't complete."""

    channel: Closable
    sent_at: float
    #: Whether the request may be sent to another server if the connection is closed.
    may_repeat: bool
    streaming: bool = False


@dataclass(kw_only=True)
class EngineActivity:
    """The pending responses of one engine, and when it last sent data."""

    last_data_at: float = float('-inf')
    responses: dict[str, PendingResponse] = field(default_factory=dict)


@dataclass(kw_only=True)
class SilenceDetector:
    """Pending responses by engine; times are absolute seconds."""

    engines: dict[BackendId, EngineActivity] = field(default_factory=dict)

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
        if response is not None and event:
            response.streaming = True

    def response_ended(self, instance: BackendId, request: str) -> None:
        """Record that a response is complete or abandoned."""
        engine = self.engines.get(instance)
        if engine is None:
            return
        engine.responses.pop(request, None)
        if not engine.responses:
            self.engines.pop(instance)

    def silent_engines(self, now: float) -> list[BackendId]:
        """Return the engines with pending responses that have gone silent."""
        return [instance for instance, engine in self.engines.items() if _is_silent(engine, now)]

    def close_repeatable(self, instance: BackendId) -> list[str]:
        """Close the connections of requests that may be sent elsewhere; return these."""
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
