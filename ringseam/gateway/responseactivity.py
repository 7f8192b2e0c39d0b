"""Whether the response of one server to one request gets data."""

from __future__ import annotations

import asyncio


class ResponseActivity:
    """Whether the response of one server to one request is suspected of getting no more data."""

    def __init__(self) -> None:
        """Start without a suspicion."""
        #: Whether the request was sent, so that it may have run.
        self.sent = False
        self.silent = asyncio.Event()
        #: Set when data arrives after a suspicion.
        self.active = asyncio.Event()

    def suspect(self) -> None:
        """Record that data is overdue."""
        if not self.silent.is_set():
            self.active.clear()
            self.silent.set()

    def data_received(self) -> None:
        """Record that data arrived."""
        if self.silent.is_set():
            self.silent.clear()
            self.active.set()
