"""Whether a staged request is taken in or refused at once; a plain class."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.work import Work

#: What the last server of a staged request needs for its first event, seconds.
LAST_SERVER_S = 0.3
#: A refused client comes back after this long at least, seconds.
_COME_BACK_S = 0.3
#: Refused clients come back spread over this long, seconds.
_SPREAD_S = 1.0
#: Clients honour a pause of up to this share of the time that they have left.
_PAUSE_SHARE = 1 / 3
#: A client that has less than this share of the usual time has asked before.
_FIRST_SHARE = 0.97
#: Clients come back once for each first try at most; where more than this share of
#: the requests have less than the longest time, clients differ in their limits.
_SHORTER_SHARE = 2 / 3
#: The usual time of a route is forgotten in this time, seconds.
_USUAL_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Refused: the request would be late by far; come back after a pause."""

    needed_s: float
    come_back_s: float


@dataclass(kw_only=True)
class UsualTime:
    """The longest time limit that clients of a route named lately.

    ``shorter`` of the ``asked`` requests since named less.
    """

    seconds: float
    seen: float
    asked: int = 0
    shorter: int = 0

    def is_over(self, left_s: float, now: float) -> bool:
        """Return whether a request shows that clients now have another time."""
        return now - self.seen > _USUAL_S or _FIRST_SHARE * left_s > self.seconds

    @property
    def tells(self) -> bool:
        """Return whether less time shows that a client has asked before."""
        return self.shorter <= _SHORTER_SHARE * self.asked


@dataclass(kw_only=True)
class Admission:
    """Refuse what would be late, but a client only once.

    A client that was refused and comes back has less time left than the others
    of its route. It is taken in unless it has no chance at all: a second
    refusal would leave it with nothing.
    """

    seed: str
    usual: dict[str, UsualTime] = field(default_factory=dict)
    random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the spread of the pauses."""
        self.random = random.Random(self.seed)  # noqa: S311 - spreads load only

    def asked_before_s(self, route: str, left_s: float | None, now: float) -> float:
        """Return how long ago a client asked first, and learn from it; 0: just now.

        Clients of a route usually have the same time at first, so one that has less
        has been turned away before.
        """
        if left_s is None:
            return 0
        usual = self.usual.get(route)
        if usual is None or usual.is_over(left_s, now):
            usual = UsualTime(seconds=left_s, seen=now)
            self.usual[route] = usual
        if left_s >= usual.seconds:
            usual.seconds = left_s
            usual.seen = now
        usual.asked += 1
        if left_s >= _FIRST_SHARE * usual.seconds:
            return 0
        usual.shorter += 1
        return usual.seconds - left_s if usual.tells else 0

    def come_back_s(self, needed_s: float, left_s: float) -> float:
        """Return when a refused client should come back, spread over a while."""
        pause = _COME_BACK_S + needed_s + self.random.random() * _SPREAD_S
        return max(0, min(pause, left_s * _PAUSE_SHARE))

    def refuses(self, work: Work, needed_s: float, now: float) -> Refusal | None:
        """Return a refusal when a request should not be begun.

        :param needed_s: predicted seconds until its first event.
        """
        left = work.deadline - now
        limit = left if work.asked_before_s else work.objective - now
        if needed_s <= limit:
            return None
        return Refusal(
            needed_s=needed_s,
            come_back_s=self.come_back_s(needed_s - limit, left),
        )
