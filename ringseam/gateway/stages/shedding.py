"""Policies on late pieces: when they are sent, and when they are rejected."""

from __future__ import annotations

import abc
import collections
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from ringseam.backends import BackendReport
    from ringseam.gateway.priorities import Precedence
    from ringseam.gateway.stages.jobs import Piece
    from ringseam.routes import BatchSpec


class ShedPolicy(abc.ABC):
    """Base class of policies on late pieces.

    Late pieces run only on servers that would otherwise be idle. While other pieces fill the
    next call of every server, that does not happen, and late pieces are rejected.
    """

    @abc.abstractmethod
    def next_calls(
        self, servers: Collection[BackendReport], spec: BatchSpec, pieces_per_s: float
    ) -> float:
        """Return how many pieces the next calls of all servers take.

        :param pieces_per_s: the throughput that was observed while pieces were queued.
        """

    @abc.abstractmethod
    def hopeless(
        self, waiting: Collection[Piece], late: list[Piece], next_calls: float
    ) -> list[Piece]:
        """Return the late pieces to reject.

        :param waiting: all pieces in the queue, the late ones among them.
        :param next_calls: how many pieces the next calls of all servers take.
        """

    def is_certainly_late(self, piece: Piece, spec: BatchSpec, now: float) -> bool:
        """Return whether a piece is sent after others of its precedence, as it would be late."""
        return False


class FullCallsPolicy(ShedPolicy):
    """Assume that the next calls are full, whatever the precedence of their pieces."""

    def next_calls(
        self, servers: Collection[BackendReport], spec: BatchSpec, pieces_per_s: float
    ) -> float:
        """Ignore the observed throughput."""
        return len(servers) * spec.slots * spec.batch

    def hopeless(
        self, waiting: Collection[Piece], late: list[Piece], next_calls: float
    ) -> list[Piece]:
        """Return all late pieces if the others fill the next calls."""
        return late if len(waiting) - len(late) >= next_calls else []


class ObservedCallsPolicy(FullCallsPolicy):
    """Assume that the next calls take as many pieces as recent ones.

    Calls aren't full while the results that servers store leave no room for more. A piece that
    would be a little late must not make those behind it late as well, so it counts as late as
    soon as no call can end before it is due. It gives way to pieces of its own precedence and
    of more urgent ones only.
    """

    def next_calls(
        self, servers: Collection[BackendReport], spec: BatchSpec, pieces_per_s: float
    ) -> float:
        """Return the pieces processed in the time of a full call."""
        full = super().next_calls(servers, spec, pieces_per_s)
        return min(full, pieces_per_s * spec.full_call_s)

    def hopeless(
        self, waiting: Collection[Piece], late: list[Piece], next_calls: float
    ) -> list[Piece]:
        """Return the late pieces for which others at least as urgent fill the next calls."""
        in_time = _counts(waiting)
        in_time.subtract(_counts(late))
        filled = {
            precedence
            for precedence in in_time
            if sum(in_time[other] for other in in_time if other <= precedence) >= next_calls
        }
        return [piece for piece in late if piece.job.precedence in filled]

    def is_certainly_late(self, piece: Piece, spec: BatchSpec, now: float) -> bool:
        """Compare the end of the shortest call; a job that has started is finished first."""
        earliest_end = now + spec.call_s + spec.piece_s
        return piece.job.due < earliest_end and not piece.group.started


@dataclass(frozen=True, kw_only=True)
class SwitchedShedPolicy(ShedPolicy):
    """Use the observed calls while this is in force, else full ones."""

    is_on: Callable[[], bool]
    policy: ShedPolicy = field(default_factory=ObservedCallsPolicy)
    former: ShedPolicy = field(default_factory=FullCallsPolicy)

    def next_calls(
        self, servers: Collection[BackendReport], spec: BatchSpec, pieces_per_s: float
    ) -> float:
        """Ask the policy in force."""
        return self._policy.next_calls(servers, spec, pieces_per_s)

    def hopeless(
        self, waiting: Collection[Piece], late: list[Piece], next_calls: float
    ) -> list[Piece]:
        """Ask the policy in force."""
        return self._policy.hopeless(waiting, late, next_calls)

    def is_certainly_late(self, piece: Piece, spec: BatchSpec, now: float) -> bool:
        """Ask the policy in force."""
        return self._policy.is_certainly_late(piece, spec, now)

    @property
    def _policy(self) -> ShedPolicy:
        return self.policy if self.is_on() else self.former


def _counts(pieces: Collection[Piece]) -> collections.Counter[Precedence]:
    return collections.Counter(piece.job.precedence for piece in pieces)
