"""A request at one backend server, from its sending to the end of its response."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.gateway.requestcontext import RequestContext
    from ringseam.gateway.requests.plainshares import PlainTry
    from ringseam.gateway.requests.relay import StreamRelay
    from ringseam.gateway.responseactivity import ResponseActivity


@dataclass(kw_only=True)
class ServerAttempt:
    """A request that counts as in progress on a server."""

    context: RequestContext
    server: BackendReport
    #: Forwards the events of all servers of the request.
    relay: StreamRelay
    activity: ResponseActivity
    #: What the client account was charged.
    charged: PlainTry | None
    #: When the request was sent, seconds.
    started_at: float
    #: Closed at the end of the attempt.
    stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)
