"""Which optional behaviour of a gateway is in force now."""

from __future__ import annotations

from dataclasses import dataclass

from ringseam.features import Feature

#: In force also where servers share their hosts with other work: the time that work takes then
#: differs between zones, and calls aren't full.
_UNDER_INTERFERENCE = frozenset((Feature.zone_overflow, Feature.early_shedding))


@dataclass(kw_only=True)
class FeatureSwitch:
    """Features by the settings, and those that the reports of servers ask for."""

    settings: frozenset[Feature] = frozenset()
    #: Whether a server has reported that other work slows down its host.
    sees_interference: bool = False

    def is_on(self, feature: Feature) -> bool:
        """Return whether a feature is in force."""
        if feature in self.settings:
            return True
        return self.sees_interference and feature in _UNDER_INTERFERENCE
