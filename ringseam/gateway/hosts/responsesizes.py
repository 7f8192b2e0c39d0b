"""How large the responses of each route have been."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ringseam.web.requestbudget import SMALL_BYTES

if TYPE_CHECKING:
    from ringseam.routes import RouteName

#: Number of responses of a route that are remembered.
_REMEMBERED = 8


@dataclass(kw_only=True)
class ResponseSizes:
    """Estimates how much the next response of a route holds until its client has read it.

    Streams are forwarded as they arrive and count nothing here.
    """

    recent: dict[RouteName, deque[int]] = field(default_factory=dict)

    def record(self, route: RouteName, size: int) -> None:
        """Record the size of a response that was held as a whole, bytes."""
        if route not in self.recent:
            self.recent[route] = deque(maxlen=_REMEMBERED)
        self.recent[route].append(size)

    def estimate(self, route: RouteName) -> int:
        """Return the size of the largest recent response, bytes; 0: none is known."""
        return max(self.recent.get(route, ()), default=0)

    def is_small(self, route: RouteName) -> bool:
        """Return whether a response holds so little that refusing its request frees nothing."""
        return 0 < self.estimate(route) <= SMALL_BYTES
