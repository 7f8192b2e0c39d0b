"""Whether a staged request is taken in or refused at once; a plain class."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.requestcontext import RequestContext

#: What the last server of a staged request needs for its first event, seconds.
FINAL_SERVER_S = 0.3
#: A refused client comes back after this long at least, seconds.
_MIN_RETRY_AFTER_S = 0.3
#: Refused clients come back spread over this long, seconds.
_RETRY_AFTER_JITTER_S = 1.0
#: Clients honour a pause of up to this share of the time that they have left.
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: A client that has less than this share of the usual time has asked before.
_FIRST_ATTEMPT_SHARE = 0.97
#: Clients come back once for each first try at most; where more than this share of
#: the requests have less than the longest time, clients differ in their limits.
_MAX_SHORTER_SHARE = 2 / 3
#: The usual time of a route is forgotten in this time, seconds.
_TYPICAL_LIMIT_TTL_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Refused: the request would be late by far; come back after a pause."""

    predicted_s: float
    retry_after_s: float


@dataclass(kw_only=True)
class TypicalTimeLimit:
    """The longest time limit that clients of a route named lately.

    ``shorter`` of the ``asked`` requests since named less.
    """

    limit_s: float
    updated_at: float
    requests: int = 0
    shorter_requests: int = 0

    def is_outdated(self, left_s: float, now: float) -> bool:
        """Return whether a request shows that clients now have another time."""
        return (
            now - self.updated_at > _TYPICAL_LIMIT_TTL_S
            or _FIRST_ATTEMPT_SHARE * left_s > self.limit_s
        )

    @property
    def identifies_retries(self) -> bool:
        """Return whether less time shows that a client has asked before."""
        return self.shorter_requests <= _MAX_SHORTER_SHARE * self.requests


@dataclass(kw_only=True)
class Admission:
    """Refuse what would be late, but a client only once.

    A client that was refused and comes back has less time left than the others
    of its route. It is taken in unless it has no chance at all: a second
    refusal would leave it with nothing.
    """

    seed: str
    typical: dict[str, TypicalTimeLimit] = field(default_factory=dict)
    random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the spread of the pauses."""
        self.random = random.Random(self.seed)  # noqa: S311 - spreads load only

    def since_first_attempt_s(self, route: str, left_s: float | None, now: float) -> float:
        """Return how long ago a client asked first, and learn from it; 0: just now.

        Clients of a route usually have the same time at first, so one that has less
        has been turned away before.
        """
        if left_s is None:
            return 0
        typical = self.typical.get(route)
        if typical is None or typical.is_outdated(left_s, now):
            typical = TypicalTimeLimit(limit_s=left_s, updated_at=now)
            self.typical[route] = typical
        if left_s >= typical.limit_s:
            typical.limit_s = left_s
            typical.updated_at = now
        typical.requests += 1
        if left_s >= _FIRST_ATTEMPT_SHARE * typical.limit_s:
            return 0
        typical.shorter_requests += 1
        return typical.limit_s - left_s if typical.identifies_retries else 0

    def retry_after_s(self, predicted_s: float, left_s: float) -> float:
        """Return when a refused client should come back, spread over a while."""
        pause = _MIN_RETRY_AFTER_S + predicted_s + self.random.random() * _RETRY_AFTER_JITTER_S
        return max(0, min(pause, left_s * _MAX_RETRY_AFTER_SHARE))

    def check(self, context: RequestContext, predicted_s: float, now: float) -> Refusal | None:
        """Return a refusal when a request should not be begun.

        :param needed_s: predicted seconds until its first event.
        """
        left = context.deadline - now
        limit = left if context.since_first_attempt_s else context.objective_deadline - now
        if predicted_s <= limit:
            return None
        return Refusal(
            predicted_s=predicted_s,
            retry_after_s=self.retry_after_s(predicted_s - limit, left),
        )
