"""HTTP servers for short checks, such as readiness and metrics, which anyone may ask."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.closedclients import ClosedClients
from ringseam.web.accounting import ListenerAccounting
from ringseam.web.bodypolicy import DiscardBodies
from ringseam.web.server import HttpLimits, HttpServer

if TYPE_CHECKING:
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.web.exchange import Handler

#: Bounds of a listener: connections, the share of the host's descriptors that they may take, and
#: the bytes that they may hold.
_CONNECTIONS = 256
_DESCRIPTOR_SHARE = 1 / 16
_HELD_BYTES = 8_000_000


class CheckAccounting(ListenerAccounting):
    """Lets checks be answered whoever holds the connections."""

    answers_anyone = True
    #: Checks arrive with their connections, so that the oldest connection without one may go.
    unproven_s = 0


def create_check_server(
    *, name: str, handler: Handler, node: Node, metrics: Metrics, descriptors: int = 0
) -> HttpServer:
    """Return a server whose handler answers by the head of a request alone.

    :param name: label of the listener in logs and metrics.
    :param descriptors: of the host; 0: unknown.
    """
    share = int(_DESCRIPTOR_SHARE * descriptors) or _CONNECTIONS
    return HttpServer(
        handler=handler,
        limits=HttpLimits(),
        accounting=CheckAccounting(
            metrics=metrics,
            closed=ClosedClients(node=node, metrics=metrics, listener=name),
            max_connections=min(_CONNECTIONS, share),
            bound_bytes=_HELD_BYTES,
        ),
        body_policy=DiscardBodies(),
    )
