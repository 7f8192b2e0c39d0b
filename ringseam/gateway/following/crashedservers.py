"""Servers that crashed, as seen by gateways, and haven't reported a new start yet."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ringseam.clock import MS_PER_S
from ringseam.gateway.following.crashmessages import CrashNotice
from ringseam.lifetimes import BackendId, name_of, start_ms_of

#: The longest delay of a report that is allowed for, seconds.
REPORT_DELAY_S = 3.0
#: After how long without a report control removes a server, seconds, until control tells it.
DEFAULT_SILENCE_S = 4.5
#: A server may report for this long after its start before it listens, seconds.
STARTUP_S = 10.0
#: A server that had not listened yet counts as running if control still lists it this long
#: after a refused connection, seconds: nothing shows that it has crashed.
STARTED_AFTER_S = 3.0
#: Maximum number of servers that are remembered; the oldest are dropped first.
MAX_CRASHED = 4096
_NONE = BackendId('')


@dataclass(frozen=True, kw_only=True)
class SeenCrash:
    """When a server was last seen to have crashed."""

    #: Seconds of the local clock.
    at: float
    #: Lifetimes that started no later had ended by then; Unix time in ms.
    latest_start_ms: int
    #: The lifetime that had listened before; empty: the server may just have been starting.
    ended: BackendId = _NONE
    #: Whether other lifetimes that control lists are taken to run.
    others_confirmed: bool = False

    def includes(self, instance: BackendId) -> bool:
        """Return whether a lifetime may have ended."""
        if instance == self.ended:
            return True
        return not self.others_confirmed and start_ms_of(instance) <= self.latest_start_ms


class CrashedServers:
    """Servers at whose addresses nobody listened.

    Such a server may run again, under its name and with another version, before its report
    arrives. Reports of all its lifetimes that started before may still arrive late.
    """

    def __init__(self, *, capacity: int = MAX_CRASHED) -> None:
        """Start without any."""
        self.capacity = capacity
        #: The last crash of each server, by name, in the order of these crashes.
        self.seen: dict[str, SeenCrash] = {}
        #: After how long without a report control removes a server, seconds.
        self.silence_s = DEFAULT_SILENCE_S

    def __contains__(self, instance: BackendId) -> bool:
        """Return whether a lifetime started before its server was seen to have crashed."""
        crash = self.seen.get(name_of(instance))
        return crash is not None and crash.includes(instance)

    @property
    def listed_after_s(self) -> float:
        """Return when a lifetime that control still lists can't have ended, seconds.

        Control would have removed it by then, even if its last report was late.
        """
        return self.silence_s + REPORT_DELAY_S

    @property
    def notices(self) -> tuple[CrashNotice, ...]:
        """Return the crashes of servers that had listened, for other gateways."""
        return tuple(
            CrashNotice(ended=crash.ended, latest_start_ms=crash.latest_start_ms)
            for crash in self.seen.values()
            if crash.ended
        )

    def doubted_for_s(self, instance: BackendId) -> float:
        """Return for how long the version of what a lifetime begins now is uncertain, seconds."""
        crash = self.seen.get(name_of(instance))
        if crash is None or not crash.includes(instance):
            return 0
        return self.listed_after_s if instance == crash.ended else STARTED_AFTER_S

    def add(
        self, instance: BackendId, now: float, wall_ms: int, *, has_listened: bool = True
    ) -> bool:
        """Record that nobody listened at the address of a server; return whether it is news.

        :param wall_ms: Unix time; the clock of the server's host may be ahead of it.
        :param has_listened: whether this lifetime has accepted connections before.
        """
        name = name_of(instance)
        known = self.seen.pop(name, None)
        is_new = has_listened and (known is None or known.ended != instance)
        self.seen[name] = SeenCrash(
            at=now,
            latest_start_ms=max(wall_ms, start_ms_of(instance)),
            ended=instance if has_listened else _NONE,
        )
        if len(self.seen) > self.capacity:
            self.seen.pop(next(iter(self.seen)))
        return is_new

    def learn(self, notice: CrashNotice, now: float) -> None:
        """Record a crash that another gateway has seen, unless a later one is known."""
        known = self.seen.get(name_of(notice.ended))
        if known is None or (
            known.ended != notice.ended and known.latest_start_ms <= notice.latest_start_ms
        ):
            self.add(notice.ended, now, notice.latest_start_ms)

    def forget_confirmed(self, now: float) -> None:
        """Forget what was seen long ago, when control lists only servers that report."""
        kept = {}
        for name, crash in self.seen.items():
            age_s = now - crash.at
            has_started = age_s >= STARTED_AFTER_S
            if age_s < self.listed_after_s and (crash.ended or not has_started):
                kept[name] = replace(crash, others_confirmed=has_started)
        self.seen = kept


def has_listened(instance: BackendId, accepted_ms: int, wall_ms: int) -> bool:
    """Return whether a lifetime that refuses connections had listened before.

    It may have just started and not listen yet.

    :param accepted_ms: when its address last accepted a connection of this gateway; Unix time.
    :param wall_ms: the current Unix time.
    """
    start_ms = start_ms_of(instance)
    return accepted_ms > start_ms or wall_ms - start_ms >= STARTUP_S * MS_PER_S
