"""The leader's directory of backend servers and of what gateways confirmed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ringseam.backends import BackendEntry, BackendState, is_visible_change, supersedes
from ringseam.following import WatchNews
from ringseam.lifetimes import EndedLifetimes, backend_id, name_of, start_ms_of

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport, GatewayState
    from ringseam.following import WatchRequest

#: Changes that are remembered for gateways that lag.
_CHANGES_KEPT = 4096
#: Servers that are remembered for having started again.
_RESTARTED_KEPT = 4096
#: Reports are late by up to this without their server being cold for longer, seconds.
_COLDER_S = 0.3


@dataclass(kw_only=True)
class Follower:
    """A gateway, when it was heard and what it has confirmed."""

    state: GatewayState
    heard: float
    since: int = 0
    number: int = 0
    #: The change of drained zones that it obeys.
    zones: int = 0


@dataclass(kw_only=True)
class BackendDirectory:
    """Soft state of one leadership; ``epoch`` names it. Times in seconds."""

    epoch: str
    started: float
    #: A server is silent after this long without a report.
    silent_s: float
    #: A gateway is no longer waited for after this long without a call.
    follower_s: float
    rows: dict[BackendId, BackendEntry] = field(default_factory=dict)
    #: The lifetime that has a row, by the server's name.
    lifetimes: dict[str, BackendId] = field(default_factory=dict)
    #: Lifetimes that a later start has ended.
    ended: EndedLifetimes = field(default_factory=lambda: EndedLifetimes(capacity=_RESTARTED_KEPT))
    dropped: list[tuple[int, BackendId]] = field(default_factory=list)
    followers: dict[str, Follower] = field(default_factory=dict)
    change: int = 0
    oldest_dropped: int = 0
    #: The change at which the set of gateways last became another.
    gateways_change: int = 0

    def report(self, report: BackendReport, now: float) -> bool:
        """Take in a report; True when gateways must hear of it.

        A later start under a name takes the row of the earlier one, of which what
        still arrives changes nothing. Once the later one has fallen silent, a start
        between both is believed: the clock may have been set back.
        """
        current = self.lifetimes.get(name_of(report.instance), report.instance)
        if report.instance in self.ended or start_ms_of(report.instance) < start_ms_of(current):
            return False
        if current != report.instance:
            self.ended.add(current)
            self._drop(current)
        known = self.rows.get(report.instance)
        if known is not None and not supersedes(report, known.report):
            if report.sequence == known.report.sequence:
                known.received_at = now
            return False
        changed = known is None or _is_news(report, known, now)
        if changed:
            self.change += 1
        change = self.change if changed or known is None else known.change
        self.rows[report.instance] = BackendEntry(report=report, received_at=now, change=change)
        self.lifetimes[name_of(report.instance)] = report.instance
        return changed

    def with_lifetime(self, report: BackendReport, wall_ms: int) -> BackendReport | None:
        """Return a report that doesn't tell when its server started; None: a foreign one.

        A leave counts for the lifetime that is known, or for all that have begun by
        now: it may be the first that a new leader hears of the server. Any other report
        isn't from a server that has told its start before.
        """
        known = self.lifetimes.get(report.instance)
        if report.state is not BackendState.gone:
            return None if known is not None and self._tells_its_start(known) else report
        if known is None:
            known = backend_id(report.instance, wall_ms)
        return msgspec.structs.replace(report, instance=known)

    def expire(self, now: float) -> list[BackendId]:
        """Drop servers that fell silent and return them."""
        silent = [name for name, row in self.rows.items() if now - row.received_at > self.silent_s]
        for name in silent:
            self._drop(name)
        if len(self.dropped) > _CHANGES_KEPT:
            self.oldest_dropped = self.dropped[-_CHANGES_KEPT][0]
            self.dropped = self.dropped[-_CHANGES_KEPT:]
        for name, follower in list(self.followers.items()):
            if now - follower.heard > self.follower_s:
                self.followers.pop(name)
                self._note_gateways()
        return silent

    def follow(self, request: WatchRequest, now: float) -> None:
        """Hear a gateway and what it confirms."""
        name = request.gateway.name
        known = self.followers.get(name)
        same_epoch = request.epoch == self.epoch
        self.followers[name] = Follower(
            state=request.gateway,
            heard=now,
            since=request.since if same_epoch else 0,
            number=request.number,
            zones=request.zones,
        )
        if known is None or known.state != request.gateway:
            self._note_gateways()

    def confirm(self, name: str, number: int) -> None:
        """Hear that a document is in force at a gateway."""
        known = self.followers.get(name)
        if known is not None:
            known.number = max(known.number, number)

    def is_confirmed(self, *, change: int = 0, number: int = 0, zones: int = 0) -> bool:
        """Return whether every gateway that is heard holds this much."""
        return all(
            follower.since >= change and follower.number >= number and follower.zones >= zones
            for follower in self.followers.values()
        )

    def has_news(self, request: WatchRequest, number: int) -> bool:
        """Return whether a gateway lacks something."""
        known = request.epoch == self.epoch and request.since >= self.change
        return not known or max(request.number, request.heard) < number

    def is_warm(self, now: float) -> bool:
        """Return whether every living server has had the time to report."""
        return now - self.started > self.silent_s

    def news(self, request: WatchRequest, now: float) -> WatchNews:
        """Return what is newer than what the gateway holds."""
        whole = request.epoch != self.epoch or request.since < self.oldest_dropped
        first = 0 if whole else request.since
        return WatchNews(
            epoch=self.epoch,
            upto=self.change,
            whole=whole,
            warm=self.is_warm(now),
            reports=tuple(
                _aged(row, now) for row in self.rows.values() if whole or row.change > first
            ),
            silent=() if whole else tuple(name for at, name in self.dropped if at > first),
            gateways=self._gateways(),
        )

    def retire(self, retired: EndedLifetimes) -> None:
        """Let servers that are known to leave take no new work."""
        for instance, row in self.rows.items():
            if instance in retired and row.report.state is BackendState.ready:
                self.change += 1
                row.change = self.change
                row.report = _leaving(row.report)

    def _gateways(self) -> tuple[GatewayState, ...]:
        return tuple(follower.state for follower in self.followers.values())

    def _tells_its_start(self, backend: BackendId) -> bool:
        row = self.rows[backend]
        return bool(start_ms_of(backend)) and row.report.state is not BackendState.gone

    def _drop(self, instance: BackendId) -> None:
        self.rows.pop(instance)
        self.lifetimes.pop(name_of(instance))
        self.change += 1
        self.dropped.append((self.change, instance))

    def _note_gateways(self) -> None:
        self.change += 1
        self.gateways_change = self.change


def _is_news(report: BackendReport, known: BackendEntry, now: float) -> bool:
    return is_visible_change(report, known.report) or _is_colder(report, known, now)


def _is_colder(report: BackendReport, known: BackendEntry, now: float) -> bool:
    """Return whether a server says that it is cold for longer than it said before."""
    until = known.received_at + known.report.cold_left_s
    return report.cold_left_s > 0 and now + report.cold_left_s > until + _COLDER_S


def _aged(row: BackendEntry, now: float) -> BackendReport:
    """Return a report with what is left of a server's cold time."""
    if not row.report.cold_left_s:
        return row.report
    left_s = max(0, row.received_at + row.report.cold_left_s - now)
    return msgspec.structs.replace(row.report, cold_left_s=left_s)


def _leaving(report: BackendReport) -> BackendReport:
    return type(report)(
        **{name: getattr(report, name) for name in report.__struct_fields__ if name != 'state'},
        state=BackendState.draining,
    )
