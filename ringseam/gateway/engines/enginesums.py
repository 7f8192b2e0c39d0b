"""Sums over the requests on one engine, computed when they change."""

from __future__ import annotations

import bisect
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.engines.placement import PlacedRequest


@dataclass(frozen=True, kw_only=True)
class EngineSums:
    """Prompt tokens that an engine has yet to prefill, and the values of its streams."""

    queued_tokens: int = 0
    longest_tokens: int = 0
    #: Tokens of the requests up to each one, in order of arrival, and the values before it.
    tokens_to: tuple[int, ...] = ()
    values_before: tuple[float, ...] = (0,)

    @classmethod
    def of(cls, requests: Collection[PlacedRequest]) -> EngineSums:
        """Return the sums over requests in order of arrival."""
        queued = [placed.prefill_tokens for placed in requests]
        tokens_to = tuple(itertools.accumulate(queued))
        stream_values = (placed.value for placed in requests)
        return cls(
            queued_tokens=tokens_to[-1],
            longest_tokens=max(queued),
            tokens_to=tokens_to,
            values_before=tuple(itertools.accumulate(stream_values, initial=0)),
        )

    def stalled_value(self, tokens: int, stalling_tokens: float) -> float:
        """Return the value of streams that pause too long during the prefill of ``tokens``.

        A running stream pauses for all of them; one that has yet to start pauses for those
        that are processed after its own.
        """
        stalled = bisect.bisect_right(self.tokens_to, tokens - int(stalling_tokens) - 1)
        return self.values_before[stalled]


#: The sums of an engine without requests.
NO_REQUESTS = EngineSums()
