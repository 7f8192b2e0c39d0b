"""What servers in virtual time say of themselves in their answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ringseam.calls import ResponseMetadata


@dataclass(kw_only=True)
class Saying:
    """The words of one server, and when calls came to it."""

    #: Requests a second that it takes; None: it names no limit.
    limit_per_s: float | None = None
    #: Until when it turns all away and asks for a pause.
    paused_until: float = float('-inf')
    leaving: bool = False
    arrived: list[float] = field(default_factory=list)

    def turns_away(self, now: float) -> bool:
        """Count a call and return whether it is turned away."""
        self.arrived.append(now)
        return now < self.paused_until

    def marks(self, attempt: str, now: float) -> ResponseMetadata:
        """Return the marks of an answer that is given now."""
        pause_s = self.paused_until - now
        return ResponseMetadata(
            attempt_id=attempt,
            authentic=True,
            not_run=pause_s > 0,
            encoded=False,
            load=None,
            rate_limit_per_s=self.limit_per_s,
            pause_s=pause_s if pause_s > 0 else None,
            leaving=self.leaving,
        )
