"""What a host has, by its settings."""

from __future__ import annotations

from ringseam.messages import Message


class HostCapacity(Message, frozen=True, kw_only=True, omit_defaults=True):
    """Limits of a host; 0: unknown."""

    #: Share of a core.
    cpu_share: float = 0
    cores: int = 0
    memory_bytes: int = 0
    #: Number of file descriptors that a process may have open.
    descriptors: int = 0
    #: Bandwidth of the host's link, bits per second.
    link_bits_per_s: int = 0
