"""Limit, pause and leaving notices in the responses of simulated servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ringseam.calls import ResponseMetadata


@dataclass(kw_only=True)
class ModelNotices:
    """The notices in one server's responses, and the arrival times of its calls."""

    #: Announced rate limit in requests per second; None if there is none.
    rate_limit_per_s: float | None = None
    #: The server refuses all calls and asks for a pause until this time.
    paused_until: float = float('-inf')
    leaving: bool = False
    call_times: list[float] = field(default_factory=list)

    def refuses_call(self, now: float) -> bool:
        """Record a call and return whether the server refuses it."""
        self.call_times.append(now)
        return now < self.paused_until

    def response_metadata(self, attempt: str, now: float) -> ResponseMetadata:
        """Return the metadata of a response sent now."""
        pause_s = self.paused_until - now
        return ResponseMetadata(
            attempt_id=attempt,
            authentic=True,
            not_run=pause_s > 0,
            encoded=False,
            load=None,
            rate_limit_per_s=self.rate_limit_per_s,
            pause_s=pause_s if pause_s > 0 else None,
            leaving=self.leaving,
        )
