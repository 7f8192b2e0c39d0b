"""Ports of a layout."""

from __future__ import annotations

from ringseam.layout import free_address

MANY = 500
EPHEMERAL = 32_768


def test_no_address_twice():
    addresses = [free_address() for _ in range(MANY)]
    assert len(set(addresses)) == MANY
    assert all(int(address.rpartition(':')[2]) < EPHEMERAL for address in addresses)
