"""Availability zones that operators have drained."""

from __future__ import annotations

from ringseam.messages import Tagged


class DrainedZones(Tagged, frozen=True, kw_only=True, omit_defaults=True):
    """The availability zones whose backend servers get no new requests.

    ``change`` counts the changes to this set; a higher count is newer, whichever process
    sent it.
    """

    change: int = 0
    names: tuple[str, ...] = ()
