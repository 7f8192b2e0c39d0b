"""Order of pieces that gives each client account its share of the calls."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from ringseam.fairtags import FairTags
from ringseam.gateway.stages.order import (
    DispatchClass,
    DispatchOrder,
    by_job,
    in_piece_order,
    urgency,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.gateway.priorities import Precedence
    from ringseam.gateway.stages.jobs import Piece


class FairOrder(DispatchOrder):
    """Order by dispatch class and precedence, then fairly between accounts.

    Within a class and precedence, jobs are in the order of start-time fair queueing, those
    of one account by due time. All accounts are in one order, so calls stay full. The work
    of a job is its number of pieces: those of one service take the same time.
    """

    def __init__(self) -> None:
        """Create an order without accounts."""
        self.tags: dict[Precedence, FairTags] = collections.defaultdict(FairTags)

    def order(self, waiting: Collection[Piece], now: float) -> list[Piece]:
        """Return the pieces, whole jobs one after another."""
        by_urgency = [(urgency(pieces[0], now), pieces) for pieces in by_job(waiting)]
        by_urgency.sort(key=_key_of)
        starts: dict[tuple, float] = {}
        fair = [(self._fair_key(key, pieces, starts), pieces) for key, pieces in by_urgency]
        fair.sort(key=_key_of)
        return in_piece_order([pieces for _, pieces in fair])

    def sent(self, pieces: Collection[Piece], now: float) -> None:
        """Charge the accounts of a call for its pieces."""
        work: dict[Precedence, collections.Counter[str]] = {}
        for piece in pieces:
            accounts = work.setdefault(piece.job.precedence, collections.Counter())
            accounts[piece.job.suspect.account] += 1
        # Started jobs precede all others whatever their tags, so they tell nothing of the turn.
        fresh = {one.job.suspect.account for one in pieces if not one.group.started}
        for precedence, amounts in work.items():
            tags = self.tags[precedence]
            # The pieces of a call are served together, from the lowest start tag on.
            earliest = min(map(tags.start_of, fresh.intersection(amounts)), default=0)
            for account, amount in amounts.items():
                tags.charge(account, amount)
            tags.advance(earliest)

    def _fair_key(self, key: tuple, pieces: list[Piece], starts: dict[tuple, float]) -> tuple:
        """Insert the start tag of a job before its due time.

        :param starts: where the next job of each queue of an account starts.
        """
        dispatch_class, precedence, *due = key
        if dispatch_class == DispatchClass.first:
            # Started jobs hold result capacity, whoever they belong to.
            return (dispatch_class, precedence, 0, *due)
        account = pieces[0].job.suspect.account
        queue = (dispatch_class, precedence, account)
        start = starts.get(queue, self.tags[precedence].start_of(account))
        starts[queue] = start + len(pieces)
        return (dispatch_class, precedence, start, *due)


def _key_of(keyed: tuple[tuple, list[Piece]]) -> tuple:
    return keyed[0]
