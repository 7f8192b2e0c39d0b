"""The leader's directory of backend servers and of what gateways have confirmed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from ringseam.backends import (
    BackendEntry,
    BackendState,
    is_visible_change,
    supersedes,
    versions_by_service,
)
from ringseam.followmessages import WatchUpdate
from ringseam.lifetimes import EndedLifetimes, backend_id, name_of, start_ms_of
from ringseam.softwareversions import VersionHistory

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport, GatewayState
    from ringseam.followmessages import WatchRequest
    from ringseam.softwareversions import UniformVersion

#: Maximum number of removals that are remembered for lagging gateways.
_MAX_REMOVED = 4096
#: Maximum number of servers whose last replaced lifetime is remembered.
_MAX_RESTARTED = 4096
#: Delay of a report that doesn't count as a longer cold period, seconds.
_COLD_TOLERANCE_S = 0.3


@dataclass(kw_only=True)
class FollowingGateway:
    """A gateway, the time of its last watch, and what it has confirmed."""

    state: GatewayState
    last_contact: float
    #: The latest change of the directory that it has applied.
    since: int = 0
    #: Number of the document that is in force.
    number: int = 0
    #: The latest change of drained zones that it has applied.
    zones: int = 0


@dataclass(kw_only=True)
class BackendDirectory:
    """Servers and gateways known during one leadership; never replicated.

    ``epoch`` identifies the leadership. Times are in seconds.
    """

    epoch: str
    started: float
    #: A server without a report for this long is silent and is removed.
    silence_timeout_s: float
    #: Confirmations no longer wait for a gateway without a watch for this long.
    gateway_timeout_s: float
    entries: dict[BackendId, BackendEntry] = field(default_factory=dict)
    #: The lifetime that has an entry, by the server's name.
    lifetimes: dict[str, BackendId] = field(default_factory=dict)
    #: Lifetimes that a later start of the same server has replaced.
    ended: EndedLifetimes = field(default_factory=lambda: EndedLifetimes(capacity=_MAX_RESTARTED))
    #: Change numbers and lifetimes of the latest removals.
    removed: list[tuple[int, BackendId]] = field(default_factory=list)
    gateways: dict[str, FollowingGateway] = field(default_factory=dict)
    change: int = 0
    oldest_removed: int = 0
    #: The latest change of the set of gateways.
    gateways_change: int = 0
    versions: VersionHistory = field(default_factory=VersionHistory)

    def report(self, report: BackendReport, now: float) -> bool:
        """Record a report; return whether gateways must learn of it.

        A later start of a server replaces its earlier lifetime, whose late reports are
        ignored. Once the later lifetime is silent, a start between the two is accepted:
        the server's clock may have been set back.
        """
        current = self.lifetimes.get(name_of(report.instance), report.instance)
        if report.instance in self.ended or start_ms_of(report.instance) < start_ms_of(current):
            return False
        if current != report.instance:
            self.ended.add(current)
            self._remove(current)
        previous = self.entries.get(report.instance)
        if previous is not None and not supersedes(report, previous.report):
            if report.sequence == previous.report.sequence:
                previous.received_at = now
            return False
        changed = previous is None or _is_change(report, previous, now)
        if changed:
            self.change += 1
        change = self.change if changed or previous is None else previous.change
        self.entries[report.instance] = BackendEntry(report=report, received_at=now, change=change)
        self.lifetimes[name_of(report.instance)] = report.instance
        if changed:
            self._observe_versions(now)
        return changed

    def with_lifetime(self, report: BackendReport, wall_ms: int) -> BackendReport | None:
        """Return a report without a start time with the lifetime it belongs to.

        A leave belongs to the known lifetime or, if none is known, to all that have
        started by now: it may be the first report that a new leader receives. Any other
        such report is foreign if the known lifetime has reported its start; then the
        result is None.
        """
        lifetime = self.lifetimes.get(report.instance)
        if report.state is not BackendState.gone:
            return None if lifetime is not None and self._reports_start(lifetime) else report
        if lifetime is None:
            lifetime = backend_id(report.instance, wall_ms)
        return msgspec.structs.replace(report, instance=lifetime)

    def expire(self, now: float) -> list[BackendId]:
        """Remove silent servers and gateways; return the servers."""
        silent = [
            name
            for name, entry in self.entries.items()
            if now - entry.received_at > self.silence_timeout_s
        ]
        for name in silent:
            self._remove(name)
        if silent:
            self._observe_versions(now)
        if len(self.removed) > _MAX_REMOVED:
            self.oldest_removed = self.removed[-_MAX_REMOVED][0]
            self.removed = self.removed[-_MAX_REMOVED:]
        for name, gateway in list(self.gateways.items()):
            if now - gateway.last_contact > self.gateway_timeout_s:
                self.gateways.pop(name)
                self._mark_gateways_changed()
        return silent

    def record_watch(self, request: WatchRequest, now: float) -> None:
        """Record a gateway's watch request and what it confirms."""
        name = request.gateway.name
        previous = self.gateways.get(name)
        same_epoch = request.epoch == self.epoch
        self.gateways[name] = FollowingGateway(
            state=request.gateway,
            last_contact=now,
            since=request.since if same_epoch else 0,
            number=request.number,
            zones=request.zones,
        )
        if previous is None or previous.state != request.gateway:
            self._mark_gateways_changed()

    def record_confirmation(self, name: str, number: int) -> None:
        """Record that a document is in force at a gateway."""
        gateway = self.gateways.get(name)
        if gateway is not None:
            gateway.number = max(gateway.number, number)

    def is_confirmed(self, *, change: int = 0, number: int = 0, zones: int = 0) -> bool:
        """Return whether every known gateway has confirmed at least these changes."""
        return all(
            gateway.since >= change and gateway.number >= number and gateway.zones >= zones
            for gateway in self.gateways.values()
        )

    def has_changes(self, request: WatchRequest, number: int) -> bool:
        """Return whether a gateway lacks a change or hasn't heard of document ``number``."""
        is_current = request.epoch == self.epoch and request.since >= self.change
        return not is_current or max(request.number, request.heard) < number

    def has_warmed_up(self, now: float) -> bool:
        """Return whether every live server has had time to report."""
        return now - self.started > self.silence_timeout_s

    def delta(self, request: WatchRequest, now: float) -> WatchUpdate:
        """Return the changes that the gateway lacks.

        Returns the whole directory for another epoch, or when removals that it lacks
        may have been forgotten.
        """
        whole = request.epoch != self.epoch or request.since < self.oldest_removed
        first = 0 if whole else request.since
        return WatchUpdate(
            epoch=self.epoch,
            upto=self.change,
            whole=whole,
            warm=self.has_warmed_up(now),
            reports=tuple(
                _with_remaining_cold_time(entry, now)
                for entry in self.entries.values()
                if whole or entry.change > first
            ),
            silent=() if whole else tuple(name for change, name in self.removed if change > first),
            gateways=self._gateway_states(),
            uniform=self._uniform_versions(now) if whole else (),
            silence_s=self.silence_timeout_s,
        )

    def retire(self, retired: EndedLifetimes) -> None:
        """Mark ready servers whose lifetime is retired as draining."""
        for instance, entry in self.entries.items():
            if instance in retired and entry.report.state is BackendState.ready:
                self.change += 1
                entry.change = self.change
                entry.report = _as_draining(entry.report)

    def _observe_versions(self, now: float) -> None:
        self.versions.observe(
            versions_by_service(entry.report for entry in self.entries.values()), now
        )

    def _uniform_versions(self, now: float) -> tuple[UniformVersion, ...]:
        return self.versions.report(complete_since=self.started + self.silence_timeout_s, now=now)

    def _gateway_states(self) -> tuple[GatewayState, ...]:
        return tuple(gateway.state for gateway in self.gateways.values())

    def _reports_start(self, backend: BackendId) -> bool:
        entry = self.entries[backend]
        return bool(start_ms_of(backend)) and entry.report.state is not BackendState.gone

    def _remove(self, instance: BackendId) -> None:
        self.entries.pop(instance)
        self.lifetimes.pop(name_of(instance))
        self.change += 1
        self.removed.append((self.change, instance))

    def _mark_gateways_changed(self) -> None:
        self.change += 1
        self.gateways_change = self.change


def _is_change(report: BackendReport, previous: BackendEntry, now: float) -> bool:
    return is_visible_change(report, previous.report) or _is_colder(report, previous, now)


def _is_colder(report: BackendReport, previous: BackendEntry, now: float) -> bool:
    """Return whether a server reports a longer cold period than before."""
    cold_until = previous.received_at + previous.report.cold_left_s
    return report.cold_left_s > 0 and now + report.cold_left_s > cold_until + _COLD_TOLERANCE_S


def _with_remaining_cold_time(entry: BackendEntry, now: float) -> BackendReport:
    """Return a report with the remaining part of the server's cold period."""
    if not entry.report.cold_left_s:
        return entry.report
    remaining_s = max(0, entry.received_at + entry.report.cold_left_s - now)
    return msgspec.structs.replace(entry.report, cold_left_s=remaining_s)


def _as_draining(report: BackendReport) -> BackendReport:
    return type(report)(
        **{name: getattr(report, name) for name in report.__struct_fields__ if name != 'state'},
        state=BackendState.draining,
    )
