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
class OpenAnswer:
    """A request that was sent and whose answer isn't over."""

    channel: Closable
    sent_at: float
    #: Whether it may be sent to another server when this one is given up.
    may_repeat: bool
    streaming: bool = False


@dataclass(kw_only=True)
class EngineLine:
    """What one engine owes, and when it was heard last."""

    heard_at: float = float('-inf')
    answers: dict[str, OpenAnswer] = field(default_factory=dict)


@dataclass(kw_only=True)
class SilenceBook:
    """Open answers by engine; times are absolute seconds."""

    lines: dict[BackendId, EngineLine] = field(default_factory=dict)

    def sent(self, instance: BackendId, request: str, answer: OpenAnswer) -> None:
        """Hear that a request was sent."""
        line = self.lines.setdefault(instance, EngineLine())
        line.answers[request] = answer

    def heard(self, instance: BackendId, request: str, now: float, *, event: bool) -> None:
        """Hear that bytes came; ``event``: some of the stream itself."""
        line = self.lines.get(instance)
        if line is None:
            return
        line.heard_at = now
        answer = line.answers.get(request)
        if answer is not None and event:
            answer.streaming = True

    def ended(self, instance: BackendId, request: str) -> None:
        """Hear that an answer is over or given up."""
        line = self.lines.get(instance)
        if line is None:
            return
        line.answers.pop(request, None)
        if not line.answers:
            self.lines.pop(instance)

    def silent(self, now: float) -> list[BackendId]:
        """Return the engines that owe answers and have gone silent."""
        return [instance for instance, line in self.lines.items() if _is_silent(line, now)]

    def give_up(self, instance: BackendId) -> list[str]:
        """Close what may be sent elsewhere, and return those requests."""
        line = self.lines.get(instance, EngineLine())
        given_up = [request for request, answer in line.answers.items() if answer.may_repeat]
        for request in given_up:
            line.answers[request].channel.close()
        return given_up


def _is_silent(line: EngineLine, now: float) -> bool:
    sent_first = min((answer.sent_at for answer in line.answers.values()), default=now)
    quiet_s = now - max(line.heard_at, sent_first)
    streaming = any(answer.streaming for answer in line.answers.values())
    limit_s = STREAMING_SILENCE_S if streaming else FIRST_SILENCE_S
    return quiet_s > limit_s
