"""The HTTP server of a control host, and what its callers may hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.closedclients import ClosedClients
from ringseam.control.openinterface import CallBodies, OpenInterface
from ringseam.web.accounting import ListenerAccounting
from ringseam.web.server import HttpLimits, HttpServer

if TYPE_CHECKING:
    from ringseam.hostcapacity import HostCapacity

#: HTTP bodies of up to this many times the largest document are read, so that the reply
#: can explain the refusal; larger ones are answered with 413 and no body.
_BODY_LIMIT_FACTOR = 2
#: Share of the host's memory that callers may hold, and the bound if the memory is unknown: the
#: largest documents need much of the rest.
_HELD_SHARE = 0.25
_HELD_BYTES = 64_000_000
#: Share of the host's descriptors for callers, and their number if it is unknown.
_CONNECTION_SHARE = 0.5
_CONNECTIONS = 1024


class ControlWebServer(HttpServer):
    """An HTTP server that passes calls to the interface of a control host."""

    def __init__(self, *, interface: OpenInterface, capacity: HostCapacity) -> None:
        """Create a server on a host that has ``capacity``."""
        metrics = interface.metrics
        super().__init__(
            handler=interface.handle,
            limits=HttpLimits(body_bytes=_BODY_LIMIT_FACTOR * interface.document_bytes),
            accounting=ListenerAccounting(
                metrics=metrics,
                closed=ClosedClients(node=interface.node, metrics=metrics, listener='http'),
                max_connections=int(_CONNECTION_SHARE * capacity.descriptors) or _CONNECTIONS,
                bound_bytes=int(_HELD_SHARE * capacity.memory_bytes) or _HELD_BYTES,
            ),
            body_policy=CallBodies(),
        )
