"""Bound on the servers whose services no document names."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.backends import BackendState
from ringseam.errors import FindingsError
from ringseam.platform.manifest import decode_manifest

if TYPE_CHECKING:
    from collections.abc import Collection

    from ringseam.backends import BackendReport
    from ringseam.control.backenddirectory import BackendDirectory
    from ringseam.routes import ServiceName

logger = logging.getLogger(__name__)

#: Maximum number of servers with which servers of unknown services still enter the directory. A
#: reply to a gateway holds all servers, with at most 1.7 kB each.
MAX_UNKNOWN_SERVERS = 2048


class ReportAdmission:
    """Decide which reports enter the directory, and so all replies to gateways.

    Anybody may send reports; those of services that no document names have no use yet.
    """

    def __init__(self, *, capacity: int = MAX_UNKNOWN_SERVERS) -> None:
        """Start without a document."""
        self.capacity = capacity
        self.document = b''
        #: The services that the document names; None: it is not decoded yet.
        self.services: Collection[ServiceName] | None = ()

    def follow(self, document: bytes) -> None:
        """Take the newest accepted document."""
        self.document = document
        self.services = None

    def admits(self, report: BackendReport, directory: BackendDirectory) -> bool:
        """Return whether a report may enter the directory; departures always may."""
        if report.instance in directory.entries or report.state is BackendState.gone:
            return True
        if len(directory.entries) < self.capacity or self._names(report.service):
            return True
        services = [entry.report.service for entry in directory.entries.values()]
        return sum(not self._names(service) for service in services) < self.capacity

    def _names(self, service: ServiceName) -> bool:
        """Return whether the document names a service; it is decoded when first needed."""
        if self.services is None:
            try:
                self.services = decode_manifest(self.document).services
            except FindingsError as error:
                # It was validated before it was accepted, so this is a bug.
                logger.error('accepted document is invalid: %s', error)
                self.services = ()
        return service in self.services
