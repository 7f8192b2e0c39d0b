"""Optional behaviour that a deployment asks for in its settings."""

from __future__ import annotations

import enum


class Feature(enum.Enum):
    """A part of the product that is off unless the settings name it."""

    #: Scarce capacity is shared fairly between client accounts.
    account_shares = 'account-shares'
    #: A request is admitted only with reservations on its whole path.
    reserved_admission = 'reserved-admission'
    #: Servers are chosen by the load, speed and connections that all gateways observe.
    server_load = 'server-load'
    #: Owners, admission and memory follow what each host has.
    host_capacity = 'host-capacity'
    #: Pieces leave a zone whose servers are busy for too long.
    zone_overflow = 'zone-overflow'
    #: Late pieces are rejected as soon as recent calls show that they won't run in time.
    early_shedding = 'early-shedding'
