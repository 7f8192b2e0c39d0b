"""The bytes that a gateway holds for clients and servers, and their bound."""

from __future__ import annotations

import bisect
import enum
import functools
import math
from typing import TYPE_CHECKING

from ringseam.web.requestbudget import fits

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.hostcapacity import HostCapacity

#: Share of the host's memory that may be held for clients and servers: the process itself and
#: its routing documents need most of the rest.
_BOUND_SHARE = 0.25
#: Shares of the bound. Above the first, the bound is near; the margin below the second keeps this
#: from switching with each body.
_NEAR_SHARE = 0.7
_LEFT_SHARE = 0.6
#: Shares of the bound from which requests of the lowest and of the highest rank are refused.
_REFUSE_LAST_RANK_SHARE = 0.8
_REFUSE_FIRST_RANK_SHARE = 0.95
#: Clients are given up until this share of the bound is held.
_RELIEVED_SHARE = 0.9
_BITS_PER_BYTE = 8
#: Limits of the time after which a refused client may return, seconds.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 5.0


class Holder(enum.IntEnum):
    """For whom bytes are held."""

    client_requests = 0
    client_responses = 1
    server_requests = 2
    server_responses = 3


class HostBudget:
    """Count the bytes held by all connections of a gateway.

    Without a bound bytes are counted, and nothing is paused, refused or given up.
    """

    def __init__(self, *, bound_bytes: int = 0, link_bits_per_s: int = 0) -> None:
        """Create an empty budget; 0: unbounded, or the bandwidth is unknown."""
        self.bound_bytes = bound_bytes
        self.limit = bound_bytes or math.inf
        self.link_bits_per_s = link_bits_per_s
        self.held = [0 for _ in Holder]
        self.total = 0
        #: The largest total so far.
        self.largest = 0
        self.is_near = False
        #: Called when more than the bound is held.
        self.on_exceeded: Callable[[], None] = lambda: None

    def counter(self, holder: Holder) -> Callable[[int], None]:
        """Return a function that counts a change of the bytes held for ``holder``."""
        return functools.partial(self.count, holder)

    def count(self, holder: Holder, change: int) -> None:
        """Count that more bytes are held, or less if ``change`` is negative."""
        self.held[holder] += change
        total = self.total + change
        self.total = total
        if total > self.largest:
            self.largest = total
        if total > self.limit and change > 0:
            self.on_exceeded()

    @property
    def share(self) -> float:
        """Return the share of the bound that is held; 0 without a bound."""
        return self.total / self.bound_bytes if self.bound_bytes else 0

    @property
    def excess_bytes(self) -> int:
        """Return how many bytes must be given up; 0 while the bound is kept."""
        if self.total <= self.limit:
            return 0
        return self.total - int(_RELIEVED_SHARE * self.bound_bytes)

    @property
    def stalled_excess_bytes(self) -> int:
        """Return how many bytes of stalled clients must be given up before others are refused."""
        return max(0, self.total - int(_NEAR_SHARE * self.bound_bytes)) if self.is_scarce else 0

    @property
    def is_scarce(self) -> bool:
        """Return whether requests of some rank are refused."""
        return self.share >= _REFUSE_LAST_RANK_SHARE

    def fits(self, size: int, own: int = 0) -> bool:
        """Return whether a request of ``size`` bytes may be held.

        :param own: how many of them are counted already.
        """
        return fits(size, others=self.total - own, bound_bytes=self.bound_bytes)

    def update(self) -> bool:
        """Return whether the bound has come near, or no longer is, since the last call."""
        near = self.share >= _NEAR_SHARE or (self.is_near and self.share >= _LEFT_SHARE)
        changed = near != self.is_near
        self.is_near = near
        return changed

    def refuses(self, rank: int, ranks: Collection[int]) -> bool:
        """Return whether new requests of a rank are refused; 0 is the highest rank.

        :param ranks: ranks of other requests.
        """
        if not self.bound_bytes:
            return False
        known = sorted({*ranks, rank})
        # A single rank is refused as the lowest: there is no better use for the rest.
        height = (len(known) - 1 - bisect.bisect_left(known, rank)) / max(1, len(known) - 1)
        margin = _REFUSE_FIRST_RANK_SHARE - _REFUSE_LAST_RANK_SHARE
        return self.share >= _REFUSE_LAST_RANK_SHARE + height * margin

    def retry_after_s(self) -> float:
        """Return the time that the host's link needs until the bound is no longer near."""
        if not self.link_bits_per_s:
            return _MIN_RETRY_AFTER_S
        left_bytes = max(0, self.total - _LEFT_SHARE * self.bound_bytes)
        needed_s = left_bytes * _BITS_PER_BYTE / self.link_bits_per_s
        return min(max(needed_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)


def budget_for(capacity: HostCapacity) -> HostBudget:
    """Return a budget for a host; unbounded if its memory is unknown."""
    return HostBudget(
        bound_bytes=int(_BOUND_SHARE * capacity.memory_bytes),
        link_bits_per_s=capacity.link_bits_per_s,
    )
