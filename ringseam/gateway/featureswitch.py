"""Which optional behaviour of a gateway is in force now."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.features import Feature

if TYPE_CHECKING:
    from collections.abc import Callable

#: In force also where servers share their hosts with other work: the time that work takes then
#: changes several times a second, so that forecasts need a margin and zones need each other.
_UNDER_INTERFERENCE = frozenset((Feature.reserved_admission, Feature.zone_overflow))


def _no_interference() -> bool:
    return False


@dataclass(frozen=True, kw_only=True)
class FeatureSwitch:
    """Features by the settings, and those that the reports of servers ask for."""

    settings: frozenset[Feature] = frozenset()
    #: Returns whether any server reports that others slow down its host.
    sees_interference: Callable[[], bool] = _no_interference

    def is_on(self, feature: Feature) -> bool:
        """Return whether a feature is in force."""
        if feature in self.settings:
            return True
        return feature in _UNDER_INTERFERENCE and self.sees_interference()
