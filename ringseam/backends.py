"""Backend servers that report themselves: reports, views and what is newer."""

from __future__ import annotations

import enum
import types
from dataclasses import dataclass, field

from ringseam.lifetimes import BackendId, EndedLifetimes, name_of, start_ms_of
from ringseam.messages import Message
from ringseam.routes import ServiceName
from ringseam.zones import DrainedZones

#: How many servers that have left are remembered.
MAX_DEPARTED = 4096
#: The sequence of a leave, which carries none: above all others.
_LAST_SEQUENCE = 2**53


class BackendState(enum.Enum):
    """Whether a backend server takes new work."""

    ready = 'ready'
    draining = 'draining'
    gone = 'gone'


class BackendReport(Message, frozen=True, kw_only=True, omit_defaults=True):
    """What a backend server says of itself; ``sequence`` grows."""

    instance: BackendId
    service: ServiceName
    address: str
    zone: str
    sequence: int
    software: str = ''
    slots: int = 1
    state: BackendState = BackendState.ready
    cold_left_s: float = 0


class GatewayState(Message, frozen=True, kw_only=True, omit_defaults=True):
    """A gateway that follows the directory."""

    name: str
    address: str
    zone: str
    draining: bool = False
    #: Whether it is too far behind to decide for others.
    busy: bool = False


@dataclass(kw_only=True)
class BackendEntry:
    """A report, when it came and the change number it got."""

    report: BackendReport
    received_at: float
    change: int


#: A server only ever moves on in this order.
_PROGRESS = types.MappingProxyType(
    {BackendState.ready: 0, BackendState.draining: 1, BackendState.gone: 2},
)


def supersedes(report: BackendReport, known: BackendReport) -> bool:
    """Return whether a report is newer than a known one of the same server.

    Reports may be seconds late; one that says less than a later one is
    ignored, and a server that has begun to leave doesn't come back.
    """
    progress = _PROGRESS[report.state] - _PROGRESS[known.state]
    return progress > 0 or (progress == 0 and report.sequence > known.sequence)


def is_visible_change(report: BackendReport, known: BackendReport) -> bool:
    """Return whether followers of the directory must hear of a report."""
    return (
        report.state is not known.state
        or report.address != known.address
        or report.service != known.service
        or report.slots != known.slots
    )


def departure_report(instance: BackendId) -> BackendReport:
    """Return what a lifetime that has ended says of itself: nothing comes after it."""
    return BackendReport(
        instance=instance,
        service=ServiceName(''),
        address='',
        zone='',
        sequence=_LAST_SEQUENCE,
        state=BackendState.gone,
    )


@dataclass(frozen=True, kw_only=True)
class BackendIndex:
    """What a view is asked for by something else than the name of a server."""

    #: Servers that take new work.
    by_service: dict[ServiceName, list[BackendReport]]
    #: Servers that have said in an answer to this gateway that they leave.
    leaving: dict[ServiceName, list[BackendId]]
    #: Availability zones by address.
    zones: dict[str, str]


@dataclass(kw_only=True)
class BackendView:
    """The backend servers that a gateway believes in."""

    backends: dict[BackendId, BackendReport] = field(default_factory=dict)
    #: The lifetime that is believed in under each name.
    lifetimes: dict[str, BackendId] = field(default_factory=dict)
    #: Worked out from the backends when it is next asked for; None: not since a change.
    #: A directory comes whole: worked out after each of 1,000 reports it took 0.26 s.
    index: BackendIndex | None = None
    #: Servers that have left; a late report doesn't bring them back.
    departed: EndedLifetimes = field(default_factory=lambda: EndedLifetimes(kept=MAX_DEPARTED))
    #: Servers that have said in an answer that they leave; a report that came by another
    #: way and calls them ready doesn't bring them back.
    leaving: EndedLifetimes = field(default_factory=lambda: EndedLifetimes(kept=MAX_DEPARTED))
    #: Availability zones whose servers take no new work.
    drained: DrainedZones = field(default_factory=DrainedZones)

    def drain_zones(self, zones: DrainedZones) -> bool:
        """Let the servers of just these zones take no new work; False: it isn't newer."""
        if zones.change <= self.drained.change:
            return False
        self.drained = zones
        self.index = None
        return True

    def apply(self, report: BackendReport) -> bool:
        """Take in a report; True when it changed what is believed.

        The first report of a later start ends the server's earlier lifetime, and a
        late one of an earlier start changes nothing.
        """
        if report.instance in self.departed or self._is_superseded_lifetime(report.instance):
            return False
        known = self.backends.get(report.instance)
        if known is not None and not supersedes(report, known):
            return False
        self._end_previous_lifetime(report.instance)
        if report.state is BackendState.gone:
            self.remove_for_good(report.instance)
            return True
        self.backends[report.instance] = report
        self.lifetimes[name_of(report.instance)] = report.instance
        self.index = None
        return True

    def remove_for_good(self, instance: BackendId) -> None:
        """Forget a server for good."""
        self.departed.add(instance)
        self.remove(instance)

    def mark_leaving(self, instance: BackendId) -> None:
        """Hear from a server itself that it takes no new work; what it runs goes on."""
        if instance not in self.leaving:
            self.leaving.add(instance)
            self.index = None

    def remove(self, instance: BackendId) -> None:
        """Forget a server that fell silent; it may come back."""
        if self.backends.pop(instance, None) is not None:
            self.lifetimes.pop(name_of(instance), None)
            self.index = None

    def keep_only(self, instances: set[BackendId]) -> None:
        """Forget all servers but these."""
        for instance in set(self.backends) - instances:
            self.remove(instance)

    def serving(self, service: ServiceName) -> list[BackendReport]:
        """Return the servers of a service that take new work."""
        return self._current_index().by_service.get(service, [])

    def leaving_servers(self, service: ServiceName) -> list[BackendId]:
        """Return the servers of a service that have said in an answer that they leave."""
        return self._current_index().leaving.get(service, [])

    @property
    def zones(self) -> dict[str, str]:
        """Return the availability zones by address."""
        return self._current_index().zones

    def _is_superseded_lifetime(self, instance: BackendId) -> bool:
        known = self.lifetimes.get(name_of(instance))
        return known is not None and start_ms_of(instance) < start_ms_of(known)

    def _end_previous_lifetime(self, instance: BackendId) -> None:
        known = self.lifetimes.get(name_of(instance), instance)
        if known != instance:
            self.remove_for_good(known)

    def _current_index(self) -> BackendIndex:
        if self.index is None:
            by_service: dict[ServiceName, list[BackendReport]] = {}
            leaving: dict[ServiceName, list[BackendId]] = {}
            for report in self.backends.values():
                if report.instance in self.leaving:
                    leaving.setdefault(report.service, []).append(report.instance)
                elif report.state is BackendState.ready and report.zone not in self.drained.names:
                    by_service.setdefault(report.service, []).append(report)
            zones = {known.address: known.zone for known in self.backends.values()}
            self.index = BackendIndex(by_service=by_service, leaving=leaving, zones=zones)
        return self.index
