"""Operator calls that drain and restore availability zones."""

from __future__ import annotations

import types

from ringseam.followmessages import ZoneOrder
from ringseam.util.pathsegments import decode_segment

_EVACUATE_PATH = '/api/evacuate/'
#: Whether the zone is drained after a call, by HTTP method.
_DRAINED_BY_METHOD = types.MappingProxyType({'POST': True, 'DELETE': False})


def is_zone_order_path(path: str) -> bool:
    """Return whether a path is that of a zone order."""
    return path.startswith(_EVACUATE_PATH)


def is_zone_order_method(method: str) -> bool:
    """Return whether a zone order can have this HTTP method."""
    return method in _DRAINED_BY_METHOD


def decode_zone_order(method: str, path: str, body: bytes) -> ZoneOrder:
    """Decode a call to a path that :func:`is_zone_order_path` accepts.

    :raises ValueError: if the call is not a valid zone order.
    """
    if body:
        raise ValueError('an order for a zone has no body')
    return ZoneOrder(
        zone=decode_segment(path.removeprefix(_EVACUATE_PATH)), drained=_DRAINED_BY_METHOD[method]
    )
