"""Admission control for requests with stages."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.routes import ServiceName

if TYPE_CHECKING:
    from ringseam.gateway.requestcontext import RequestContext

#: Time that the final server of a staged request needs for its first event, seconds.
FINAL_SERVER_S = 0.3
#: Minimum Retry-After of a refusal, seconds.
_MIN_RETRY_AFTER_S = 0.3
#: Retries of refused clients are spread over this time, seconds.
_RETRY_AFTER_JITTER_S = 1.0
#: Clients honour a Retry-After of up to this share of their remaining time.
_MAX_RETRY_AFTER_SHARE = 1 / 3
#: A request with less than this share of the typical time limit counts as a retry.
_FIRST_ATTEMPT_SHARE = 0.97
#: A client retries at most once per first attempt. If more than this share of the
#: requests have less than the longest time limit, the clients have different limits.
_MAX_SHORTER_SHARE = 1 / 2
#: The same if there are more shorter limits than this many for each request that was refused or
#: failed here. The other gateways refuse about as many, and clients retry at any of them.
_MAX_SHORTER_PER_UNSERVED = 2
#: Retries of clients whose gateway is gone, or that it refused before this process knew of them.
_MAX_UNEXPLAINED_RETRIES = 3
#: The typical time limit of a route is discarded after this time, seconds.
_TYPICAL_LIMIT_TTL_S = 30.0

_NO_SERVICE = ServiceName('')


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A refused request: its predicted duration, and when to retry."""

    predicted_s: float
    retry_after_s: float
    #: The service where the wait for the account's share decided, and that wait, seconds.
    scarce_service: ServiceName = _NO_SERVICE
    share_wait_s: float = 0


@dataclass(kw_only=True)
class TypicalTimeLimit:
    """The longest time limit that clients of a route have set recently.

    Of the ``requests`` counted since then, ``shorter_requests`` had a shorter limit, and
    ``unserved_requests`` were refused or failed.
    """

    limit_s: float
    updated_at: float
    requests: int = 0
    shorter_requests: int = 0
    unserved_requests: int = 0

    def is_outdated(self, remaining_s: float, now: float) -> bool:
        """Return whether the typical limit is too old, or ``remaining_s`` clearly exceeds it."""
        return (
            now - self.updated_at > _TYPICAL_LIMIT_TTL_S
            or _FIRST_ATTEMPT_SHARE * remaining_s > self.limit_s
        )

    @property
    def identifies_retries(self) -> bool:
        """Return whether a shorter time limit identifies a retry."""
        retries = _MAX_SHORTER_PER_UNSERVED * self.unserved_requests + _MAX_UNEXPLAINED_RETRIES
        return self.shorter_requests <= min(_MAX_SHORTER_SHARE * self.requests, retries)


@dataclass(kw_only=True)
class Admission:
    """Refuse requests that would be late, but each client only once.

    A retry of a refused client has less time left than the other requests of its
    route. It is admitted unless it cannot finish within its time limit, as a second
    refusal would leave the client without a response.
    """

    seed: str
    typical_limits: dict[str, TypicalTimeLimit] = field(default_factory=dict)
    random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the jitter."""
        self.random = random.Random(self.seed)  # noqa: S311 - jitter only

    def since_first_attempt_s(self, route: str, remaining_s: float | None, now: float) -> float:
        """Return the time since a client's first attempt, and update the typical limit.

        The result is 0 for a first attempt. Clients of a route usually start with the
        same time limit, so a request with less time left is a retry after a refusal.
        """
        if remaining_s is None:
            return 0
        typical = self.typical_limits.get(route)
        if typical is None or typical.is_outdated(remaining_s, now):
            typical = TypicalTimeLimit(limit_s=remaining_s, updated_at=now)
            self.typical_limits[route] = typical
        if remaining_s >= typical.limit_s:
            typical.limit_s = remaining_s
            typical.updated_at = now
        typical.requests += 1
        if remaining_s >= _FIRST_ATTEMPT_SHARE * typical.limit_s:
            return 0
        typical.shorter_requests += 1
        return typical.limit_s - remaining_s if typical.identifies_retries else 0

    def record_unserved(self, route: str) -> None:
        """Record that a request was refused or failed, so that its client may retry."""
        typical = self.typical_limits.get(route)
        if typical is not None:
            typical.unserved_requests += 1

    def retry_after_s(self, predicted_s: float, remaining_s: float) -> float:
        """Return the Retry-After of a refusal, with jitter."""
        delay_s = _MIN_RETRY_AFTER_S + predicted_s + self.random.random() * _RETRY_AFTER_JITTER_S
        return honoured_retry_after_s(delay_s, remaining_s)

    def check(
        self,
        context: RequestContext,
        predicted_s: float,
        now: float,
        *,
        min_delay_s: float = 0,
    ) -> Refusal | None:
        """Return a refusal if a request should not be started, else None.

        :param predicted_s: predicted seconds until its first event.
        :param min_delay_s: the client should not retry before, seconds.
        """
        left = context.deadline - now
        limit = left if context.since_first_attempt_s else context.objective_deadline - now
        if predicted_s <= limit:
            return None
        return Refusal(
            predicted_s=predicted_s,
            retry_after_s=self.retry_after_s(max(min_delay_s, predicted_s - limit), left),
        )


def honoured_retry_after_s(delay_s: float, remaining_s: float) -> float:
    """Return a Retry-After that a client with ``remaining_s`` left honours, seconds."""
    return max(0, min(delay_s, remaining_s * _MAX_RETRY_AFTER_SHARE))
