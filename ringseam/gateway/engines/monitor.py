"""Watches engines for silence, and what follows from it at a gateway."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.gateway.engines.silence import SilenceDetector
from ringseam.util.tasks import TaskSet

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendReport, BackendView
    from ringseam.gateway.engines.client import PlacementClient
    from ringseam.gateway.following.ends import CrashReporter
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class EngineMonitor:
    """Eject silent engines, and use those again that go on."""

    def __init__(
        self,
        *,
        node: Node,
        view: BackendView,
        placements: PlacementClient,
        crashes: CrashReporter,
    ) -> None:
        """Watch the engines of ``view``, whose owners are told by ``placements``."""
        self.node = node
        self.view = view
        self.placements = placements
        self.crashes = crashes
        self.silence = SilenceDetector(on_recovered=self._handle_recovery)
        self.tasks = TaskSet()

    def check(self) -> None:
        """Use silent engines no more, and let other servers take over their requests."""
        for instance in self.silence.newly_silent(self.node.clock.now()):
            report = self.view.backends.get(instance)
            if report is not None:
                self.placements.report_silent(report.service, instance)
                self.node.events.emit(logger, Event.engine_silent, backend=instance)
                self.tasks.spawn(self._probe(report))

    async def _probe(self, report: BackendReport) -> None:
        """Suspect the streams of an engine at once if nobody listens at its address."""
        if not await self.crashes.is_listening(report):
            self.crashes.server_timed_out(report.instance, report)
            self.silence.suspect_all(report.instance)

    def _handle_recovery(self, instance: BackendId) -> None:
        """Use an engine again that was only silent for a while."""
        self.crashes.server_recovered(instance)
        report = self.view.backends.get(instance)
        if report is not None:
            self.placements.report_recovered(report.service, instance)
            self.node.events.emit(logger, Event.engine_recovered, backend=instance)
