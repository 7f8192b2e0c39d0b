"""Which gateway decides for a service, by rendezvous hashing over all."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.gateway.choice import rendezvous

if TYPE_CHECKING:
    from ringseam.clock import Clock
    from ringseam.gateway.follower import Follower

#: A gateway that didn't answer isn't asked again for this long, seconds.
_AVOID_S = 1.0


class Ownership:
    """Name the deciding gateway of each service."""

    def __init__(self, *, follower: Follower, name: str, clock: Clock) -> None:
        """Know the gateways that ``follower`` hears of."""
        self.follower = follower
        self.name = name
        self.clock = clock
        self.avoided: dict[str, float] = {}

    def avoid(self, address: str) -> None:
        """Decide here for a while what the gateway at ``address`` would."""
        self.avoided[address] = self.clock.now() + _AVOID_S

    def is_present(self, address: str) -> bool:
        """Return whether a gateway is still there, be it on its way out."""
        return any(state.address == address for state in self.follower.gateways)

    def owner_of(self, service: str) -> str:
        """Return the address of the deciding gateway; empty: this one."""
        staying = {
            state.name: state.address for state in self.follower.gateways if not state.draining
        }
        if not staying:
            return ''
        name = rendezvous(service, sorted(staying))
        address = staying[name]
        if name == self.name or self.avoided.get(address, 0) > self.clock.now():
            return ''
        return address
