"""What a host has, by its settings."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ringseam.messages import Message

if TYPE_CHECKING:
    from collections.abc import Mapping

#: The settings give memory in MB and bandwidth in Mbit/s.
_BYTES_PER_MB = 10**6
_BITS_PER_MBIT = 10**6


class HostCapacity(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Limits of a host; 0: unknown."""

    #: Share of each core.
    cpu_share: float = 0
    cores: float = 0
    memory_bytes: int = 0
    #: Number of file descriptors that a process may have open.
    descriptors: int = 0
    #: Bandwidth of the host's link, bits per second.
    link_bits_per_s: int = 0

    @property
    def processor(self) -> float:
        """Return the processor time that the host has per second; 0: unknown."""
        processor = self.cpu_share * self.cores
        return processor if math.isfinite(processor) and processor > 0 else 0


#: Messages omit a default only if it is this very object.
UNKNOWN_CAPACITY = HostCapacity()


class LoadLevel(enum.IntEnum):
    """How much of something is in use."""

    low = 0
    medium = 1
    high = 2


@dataclass(frozen=True, kw_only=True)
class HostLoad:
    """What is in use on a host, coarse enough to change seldom; low: also if it is unknown."""

    #: How late the timers of the event loop fire.
    lag: LoadLevel = LoadLevel.low
    processor: LoadLevel = LoadLevel.low
    #: Bytes held for clients and servers.
    held: LoadLevel = LoadLevel.low
    #: Connections of clients.
    connections: LoadLevel = LoadLevel.low


def read_capacity(options: Mapping[str, Any]) -> HostCapacity:
    """Return the capacity that the ``host_...`` keys of a role's settings state."""
    capacity = HostCapacity(
        cpu_share=options['host_cpu_share'],
        cores=options['host_cores'],
        memory_bytes=round(options['host_memory_mb'] * _BYTES_PER_MB),
        descriptors=int(options['host_descriptors']),
        link_bits_per_s=round(options['host_link_mbps'] * _BITS_PER_MBIT),
    )
    if capacity == UNKNOWN_CAPACITY:
        return UNKNOWN_CAPACITY
    return capacity
