"""The time that a client has to send its request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

#: A timer that fires later than this shows that this process was late itself, seconds.
_LATE_S = 0.02


class ClientTime:
    """A limit of time that passes only while the server waits for the client."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop, on_late: Callable[[], None]) -> None:
        """Create a limit that doesn't pass yet; ``on_late`` is called once it has passed."""
        self.loop = loop
        self.on_late = on_late
        self.left_s: float = 0
        #: Until when the client has, on the clock of the event loop; 0: it isn't waited for.
        self.ends_at: float = 0
        #: Whether time by which this process was late has been added.
        self.is_extended = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the client is waited for."""
        return bool(self.ends_at)

    def allow(self, limit_s: float) -> None:
        """Give the client time for a new request, seconds."""
        self.left_s = limit_s
        self.is_extended = False

    def run(self) -> None:
        """Wait for the client."""
        self.ends_at = self.loop.time() + self.left_s
        self.timer = self.loop.call_later(self.left_s, self._on_timeout)

    def stop(self) -> None:
        """Stop to wait for the client; the time that is left is kept."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.is_running:
            self.left_s = max(0, self.ends_at - self.loop.time())
            self.ends_at = 0

    def _on_timeout(self) -> None:
        """Report that the client is late; first add the time by which this process was late."""
        late_s = self.loop.time() - self.ends_at
        self.timer = None
        self.ends_at = 0
        self.left_s = 0
        if late_s > _LATE_S and not self.is_extended:
            self.is_extended = True
            self.left_s = late_s
            self.run()
        else:
            # What has arrived is read in the next iteration of the loop, before the second call.
            self.loop.call_soon(self.loop.call_soon, self.on_late)
