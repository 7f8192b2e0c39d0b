"""Whether this process gets its processor too late to decide for others; a plain class."""

from __future__ import annotations

from dataclasses import dataclass

#: A timer that fires later than this shows that the process is behind, seconds: an ask of an
#: owner is answered in milliseconds, and gateways place requests themselves after 0.06 s. A
#: host whose share is a quota of each tenth of a second is late by less.
_LATE_S = 0.2
#: So many timers in a row have to be late: one alone may be a pause of the host.
_LATE_IN_A_ROW = 2
#: A process that was behind decides for others again after this long in time, seconds:
#: several calls of a stage service, so that its services don't come and go.
_CALM_S = 5.0


@dataclass(kw_only=True)
class LoopLag:
    """How late the timers of a process fire."""

    late_in_a_row: int = 0
    busy_until: float = float('-inf')

    def note(self, late_s: float, now: float) -> None:
        """Hear by how much a timer was late."""
        self.late_in_a_row = self.late_in_a_row + 1 if late_s > _LATE_S else 0
        if self.late_in_a_row >= _LATE_IN_A_ROW:
            self.busy_until = now + _CALM_S

    def is_busy(self, now: float) -> bool:
        """Return whether others should decide."""
        return now < self.busy_until
