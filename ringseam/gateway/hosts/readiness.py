"""Whether a gateway takes new clients, beside the other gateways of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import GatewayState

#: Shares of the bounds of connections and of held bytes: a host is full above the first pair,
#: and no longer below the second.
_FULL_CONNECTIONS = 0.95
_FREE_CONNECTIONS = 0.8
_FULL_BYTES = 0.8
_FREE_BYTES = 0.6
#: For how long a host is above or below these before that is announced, seconds. A peak that
#: ends sooner is over before a load balancer has seen two failed checks.
_FULL_AFTER_S = 0.5
_FREE_AFTER_S = 2.0
#: The other gateways of a zone have learned of an announcement after this time, seconds.
_ANNOUNCED_S = 1.0
#: At most one of this many gateways of a zone is out.
_ZONE_DIVISOR = 2


class HostReadiness:
    """Decide whether this host is full, and whether its readiness check fails then.

    Gateways announce that they are full. Of those of a zone only the first by name are out, so
    that at least half of the zone stays ready; all gateways with one view agree on them.
    """

    def __init__(self, *, name: str, zone: str) -> None:
        """Create the state of a host that is not full."""
        self.name = name
        self.zone = zone
        self.is_full = False
        #: Since when the host has been in the other state than :attr:`is_full` says.
        self.changing_since: float | None = None
        #: Since when the announcement has been in the view of this gateway.
        self.announced_since: float | None = None

    def update(self, *, connections: float, held: float, now: float) -> bool:
        """Return whether the host is full.

        :param connections: share of the bound of connections that are open.
        :param held: share of the bound of held bytes.
        """
        if self.is_full:
            changes = connections < _FREE_CONNECTIONS and held < _FREE_BYTES
        else:
            changes = connections >= _FULL_CONNECTIONS or held >= _FULL_BYTES
        if not changes:
            self.changing_since = None
            return self.is_full
        if self.changing_since is None:
            self.changing_since = now
        needed_s = _FREE_AFTER_S if self.is_full else _FULL_AFTER_S
        if now >= self.changing_since + needed_s:
            self.is_full = not self.is_full
            self.changing_since = None
        return self.is_full

    def is_out(self, gateways: Collection[GatewayState], now: float, *, is_connected: bool) -> bool:
        """Return whether the readiness check fails, by the states of all gateways.

        :param is_connected: whether these states are kept up to date; by old ones more than
            half of a zone could be out.
        """
        zone = [state for state in gateways if state.zone == self.zone]
        full = sorted(state.name for state in zone if state.full and not state.draining)
        if not is_connected or not self.is_full or self.name not in full:
            self.announced_since = None
            return False
        if self.announced_since is None:
            self.announced_since = now
        draining = sum(state.draining for state in zone)
        allowed = len(zone) // _ZONE_DIVISOR - draining
        is_known = now >= self.announced_since + _ANNOUNCED_S
        return is_known and full.index(self.name) < allowed
