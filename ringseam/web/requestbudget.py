"""How much the requests of clients may hold, by their size."""

from __future__ import annotations

#: Requests of up to this many bytes are small: all connections of a host hold little then.
SMALL_BYTES = 8192
MEDIUM_BYTES = 65_536
#: Shares of the bound that requests of each size may fill; the rest is kept for smaller ones.
_LARGE_SHARE = 0.5
_MEDIUM_SHARE = 0.7


def fits(size: int, *, others: int, bound_bytes: int) -> bool:
    """Return whether a request of ``size`` bytes may be held beside ``others``.

    :param others: bytes held for everything else.
    :param bound_bytes: 0: unbounded.
    """
    return not bound_bytes or others + size <= _share_for(size) * bound_bytes


def largest_body(bound_bytes: int) -> int:
    """Return the size above which a body never fits; 0: there is none."""
    return int(_LARGE_SHARE * bound_bytes)


def _share_for(size: int) -> float:
    if size > MEDIUM_BYTES:
        return _LARGE_SHARE
    return _MEDIUM_SHARE if size > SMALL_BYTES else 1


class RequestBudget:
    """Count what the connections of one listener hold."""

    def __init__(self, *, bound_bytes: int = 0) -> None:
        """Create an empty budget; 0: unbounded."""
        self.bound_bytes = bound_bytes
        self.total = 0
        #: The largest total so far.
        self.largest = 0

    def count(self, change: int) -> None:
        """Count that more bytes are held, or less if ``change`` is negative."""
        self.total += change
        self.largest = max(self.largest, self.total)

    def fits(self, size: int, own: int = 0) -> bool:
        """Return whether a request of ``size`` bytes may be held.

        :param own: how many of them are counted already.
        """
        return fits(size, others=self.total - own, bound_bytes=self.bound_bytes)
