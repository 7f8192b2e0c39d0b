"""Availability zones that operators have drained."""

from __future__ import annotations

from ringseam.messages import Tagged


class DrainedZones(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The availability zones whose backend servers get nothing new.

    ``change`` counts the orders that changed them. What has a higher count is newer,
    whoever tells it.
    """

    change: int = 0
    names: tuple[str, ...] = ()
