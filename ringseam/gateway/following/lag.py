"""Whether this process gets its processor too late to decide for others; a plain class."""

from __future__ import annotations

from dataclasses import dataclass

#: A timer that fires later than this shows that the process is behind, seconds: an ask of an
#: owner is answered in milliseconds, and gateways place requests themselves after 0.06 s. A
#: host whose share is a quota of each tenth of a second is late by less.
_LATE_S = 0.2
#: So many timers in a row have to be late: one alone may be a pause of the host.
_CONSECUTIVE_LATE = 2
#: A process that was behind decides for others again after this long in time, seconds:
#: several calls of a stage service, so that its services don't come and go.
_RECOVERY_S = 5.0


@dataclass(kw_only=True)
class EventLoopLag:
    """How late the timers of a process fire."""

    consecutive_late: int = 0
    busy_until: float = float('-inf')

    def record(self, late_s: float, now: float) -> None:
        """Hear by how much a timer was late."""
        self.consecutive_late = self.consecutive_late + 1 if late_s > _LATE_S else 0
        if self.consecutive_late >= _CONSECUTIVE_LATE:
            self.busy_until = now + _RECOVERY_S

    def is_busy(self, now: float) -> bool:
        """Return whether others should decide."""
        return now < self.busy_until
