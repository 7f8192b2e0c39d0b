"""Estimates of when a backend server would complete a request."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendReport


class SpeedEstimate(abc.ABC):
    """Base class of estimates of a server's speed relative to the mean of its service."""

    @abc.abstractmethod
    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return how many times the usual time work takes at a server now.

        1 is the mean of the service. The factor is the server's own speed times the
        slowdown of its host.
        """


class UniformSpeed(SpeedEstimate):
    """All servers of a service are equally fast; the former behaviour."""

    def duration_factor(self, server: BackendReport, now: float) -> float:
        """Return 1."""
        return 1
