"""The descriptors of a gateway's host, and how many clients they allow."""

from __future__ import annotations

import logging
import os
import resource

from ringseam.web.accounting import Acceptance

logger = logging.getLogger(__name__)

#: Descriptors of this process; absent on some systems.
_OPEN_DESCRIPTORS = '/proc/self/fd'
#: Share of the descriptors that is kept for servers, peers and files even while fewer are open:
#: clients that are connected may all send requests at once.
_OTHERS_SHARE = 0.25
#: Share that is kept free, for connections that are refused and those opened since the last count.
_FREE_SHARE = 0.125


class DescriptorBudget:
    """Bound the connections of clients by the descriptors of the host."""

    def __init__(self, *, limit: int = 0) -> None:
        """Create a budget of ``limit`` descriptors; 0: unbounded."""
        self.limit = limit
        #: Open descriptors that are no connections of clients, by the last count.
        self.others = 0

    @property
    def max_clients(self) -> int:
        """Return the number of connections above which clients are refused."""
        return max(0, self._room)

    def update(self, *, open_descriptors: int | None, clients: int) -> None:
        """Record how many descriptors are open, connections of clients included.

        :param open_descriptors: None: unknown, the last count of the others stays in force.
        :param clients: all connections of clients, also refused ones.
        """
        if open_descriptors is not None:
            self.others = max(0, open_descriptors - clients)

    def accept(self, clients: int, refused: int = 0) -> Acceptance:
        """Decide on a new connection.

        :param clients: connections that are open, without refused ones, the new one included.
        :param refused: connections that are refused and not closed yet.
        """
        if not self.limit:
            return Acceptance.accept
        if clients + refused > self._room + self._free // 2:
            return Acceptance.close
        return Acceptance.accept if clients <= self.max_clients else Acceptance.refuse

    def share(self, clients: int) -> float:
        """Return the share of the connections of clients that are open; 0 without a bound."""
        if not self.limit:
            return 0
        return clients / self.max_clients if self.max_clients else 1

    @property
    def _room(self) -> int:
        """Return how many clients leave enough for others; negative: there is too little."""
        kept = max(self.others, int(_OTHERS_SHARE * self.limit))
        return self.limit - kept - self._free

    @property
    def _free(self) -> int:
        return int(_FREE_SHARE * self.limit)


def descriptor_limit(stated: int) -> int:
    """Return how many descriptors this process may open; 0: unknown.

    :param stated: what the settings say; a host may have less.
    """
    if not stated:
        return 0
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return stated if limit == resource.RLIM_INFINITY else min(stated, limit)


def count_open_descriptors() -> int | None:
    """Return the number of open descriptors of this process; None: it can't be read.

    Reading takes a descriptor, so that it fails when none is left.
    """
    try:
        return len(os.listdir(_OPEN_DESCRIPTORS))
    except OSError as error:
        logger.debug('open descriptors not counted: %s', error)
        return None
