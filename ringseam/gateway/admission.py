"""Whether a staged request is taken in or refused at once; a plain class."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.gateway.work import Work

#: What the last server of a staged request needs for its first event, seconds.
LAST_SERVER_S = 0.3
#: A request is refused when it would be later than this, seconds. Refusing what
#: would be in time by less than 0.2 s made no difference (trials, four days).
_MARGIN_S = 0.3
#: A refused client comes back after this long at least, seconds.
_COME_BACK_S = 0.3
#: Refused clients come back spread over this long, seconds.
_SPREAD_S = 1.0
#: Clients honour a pause of up to this share of the time that they have left.
_PAUSE_SHARE = 1 / 3
#: A client that has less than this share of the usual time has asked before.
_FIRST_SHARE = 0.97
#: The usual time of a route is forgotten in this time, seconds.
_USUAL_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Refused: the request would be late by far; come back after a pause."""

    needed_s: float
    come_back_s: float


@dataclass(kw_only=True)
class UsualTime:
    """The longest time limit that clients of a route named lately."""

    seconds: float
    seen: float


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

    def is_first(self, work: Work, now: float) -> bool:
        """Return whether a request is its client's first try, and learn from it."""
        left = work.request.time_left_s
        if left is None:
            return True
        usual = self.usual.get(work.route.name)
        if usual is None or left >= usual.seconds or now - usual.seen > _USUAL_S:
            self.usual[work.route.name] = UsualTime(seconds=left, seen=now)
            return True
        return left >= _FIRST_SHARE * usual.seconds

    def refuses(self, work: Work, needed_s: float, now: float) -> Refusal | None:
        """Return a refusal when a request should not be begun.

        :param needed_s: predicted seconds until its first event.
        """
        left = work.deadline - now
        limit = work.objective - now + _MARGIN_S if self.is_first(work, now) else left
        if needed_s <= limit:
            return None
        pause = _COME_BACK_S + (needed_s - limit) + self.random.random() * _SPREAD_S
        return Refusal(
            needed_s=needed_s,
            come_back_s=max(0, min(pause, left * _PAUSE_SHARE)),
        )
