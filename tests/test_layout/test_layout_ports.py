"""Allocation of ports for a layout."""

from __future__ import annotations

from ringseam.layout import free_address

ADDRESS_COUNT = 500
FIRST_EPHEMERAL_PORT = 32_768


def test_addresses_are_unique_and_below_the_ephemeral_range():
    addresses = [free_address() for _ in range(ADDRESS_COUNT)]
    assert len(set(addresses)) == ADDRESS_COUNT
    assert all(int(address.rpartition(':')[2]) < FIRST_EPHEMERAL_PORT for address in addresses)
