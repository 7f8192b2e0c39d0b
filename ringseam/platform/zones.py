"""Calls by which operators drain availability zones and use them again."""

from __future__ import annotations

import types

from ringseam.followmessages import ZoneOrder
from ringseam.util.pathnames import decode_name

_EVACUATE_PATH = '/api/evacuate/'
#: Whether a zone is drained after a call, by its method.
_DRAINED_BY_METHOD = types.MappingProxyType({'POST': True, 'DELETE': False})


def is_zone_order_path(path: str) -> bool:
    """Return whether a path names an order for a zone."""
    return path.startswith(_EVACUATE_PATH)


def is_zone_order_method(method: str) -> bool:
    """Return whether there is an order by this method."""
    return method in _DRAINED_BY_METHOD


def decode_zone_order(method: str, path: str, body: bytes) -> ZoneOrder:
    """Return the order of a call to a path of :func:`is_zone_order_path`.

    :raises ValueError: when it isn't one.
    """
    if body:
        raise ValueError('an order for a zone has no body')
    return ZoneOrder(
        zone=decode_name(path.removeprefix(_EVACUATE_PATH)), drained=_DRAINED_BY_METHOD[method]
    )
