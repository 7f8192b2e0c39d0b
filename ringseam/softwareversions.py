"""For how long all backend servers of a service have run the same software version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringseam.messages import Message
from ringseam.routes import ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class UniformVersion(Message, frozen=True, kw_only=True):
    """All servers of a service have run one software version for a time."""

    service: ServiceName
    software: str
    duration_s: float


@dataclass(kw_only=True)
class _ServiceHistory:
    """The versions of a service, and since when they have been these."""

    versions: frozenset[str]
    since: float


class VersionHistory:
    """Track since when the servers of each service have run one version; times in seconds.

    A service without servers keeps its last versions: streams that they began may go on.
    """

    def __init__(self) -> None:
        """Start without any service."""
        self.services: dict[ServiceName, _ServiceHistory] = {}

    def observe(self, versions: Mapping[ServiceName, frozenset[str]], now: float) -> None:
        """Record the versions of the known servers of each service."""
        for service, current in versions.items():
            known = self.services.get(service)
            if known is None or known.versions != current:
                self.services[service] = _ServiceHistory(versions=current, since=now)

    def restart(self, now: float) -> None:
        """Count from now on: other versions may have served unnoticed."""
        for history in self.services.values():
            history.since = now

    def learn(self, reported: Iterable[UniformVersion], now: float) -> None:
        """Extend the history by what another process has observed for longer."""
        for uniform in reported:
            known = self.services.get(uniform.service)
            if known is not None and known.versions == {uniform.software}:
                known.since = min(known.since, now - uniform.duration_s)

    def uniform_version(self, service: ServiceName, *, duration_s: float, now: float) -> str | None:
        """Return the only version that has served for ``duration_s``; None: there are others."""
        known = self.services.get(service)
        if known is None or len(known.versions) != 1 or now - known.since < duration_s:
            return None
        return next(iter(known.versions))

    def report(self, *, complete_since: float, now: float) -> tuple[UniformVersion, ...]:
        """Return the services with one version, for other processes.

        :param complete_since: since when all servers have been known.
        """
        reported = []
        for service, history in self.services.items():
            duration_s = now - max(history.since, complete_since)
            if len(history.versions) == 1 and duration_s > 0:
                software = next(iter(history.versions))
                reported.append(
                    UniformVersion(service=service, software=software, duration_s=duration_s)
                )
        return tuple(reported)
