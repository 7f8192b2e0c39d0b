"""Notices that backend servers send in the headers of their responses."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.gateway.following.limits import RateLimitTracker
from ringseam.gateway.following.pauses import PauseTracker
from ringseam.gateway.serverload.speeds import ObservedSpeeds

if TYPE_CHECKING:
    from ringseam.backends import BackendId, BackendView
    from ringseam.calls import ResponseMetadata
    from ringseam.metrics import Metrics
    from ringseam.node import Node

logger = logging.getLogger(__name__)


class ServerNotices:
    """Record the notices in the headers of every response, whatever the call was."""

    def __init__(
        self,
        *,
        node: Node,
        metrics: Metrics,
        view: BackendView,
        speeds: ObservedSpeeds | None = None,
    ) -> None:
        """Start without notices; ``view`` is updated with servers that are leaving.

        :param speeds: gets the reported loads.
        """
        self.node = node
        self.clock = node.clock
        self.metrics = metrics
        self.view = view
        self.speeds = speeds or ObservedSpeeds()
        self.limits = RateLimitTracker()
        self.pauses = PauseTracker()
        #: Servers that have announced that they are leaving.
        self.leaving: set[BackendId] = set()
        #: Servers for which an unreadable limit has been logged.
        self.reported_unreadable: set[BackendId] = set()
        #: Servers for which a malformed load has been logged.
        self.reported_malformed: set[BackendId] = set()

    def record(self, instance: BackendId, metadata: ResponseMetadata) -> None:
        """Record the notices in a response; ``instance`` is empty if the server is unknown."""
        if not instance:
            return
        self._record_load(instance, metadata)
        if metadata.rate_limit_malformed:
            self._log_unreadable_limit(instance)
        else:
            self._record_limit(instance, metadata)
        if metadata.pause_s is not None:
            self._record_pause(instance, metadata, metadata.pause_s)
        if metadata.leaving and instance not in self.leaving:
            self.leaving.add(instance)
            self.view.mark_leaving(instance)
            self.node.events.emit(
                logger,
                Event.server_leaving,
                backend=instance,
                request=metadata.attempt_id,
            )

    def record_foreign(self, instance: BackendId, *, expected: str, received: str) -> None:
        """Count and log a response to another call than the one that was sent.

        :param received: the id in the response; empty: it had none.
        """
        self.metrics.add('answers_foreign')
        self.node.events.emit(
            logger,
            Event.answer_foreign,
            backend=instance,
            expected=expected,
            received=received,
        )

    def keep_only(self, instances: set[BackendId]) -> None:
        """Remove all servers except ``instances``."""
        self.limits.keep_only(instances)
        self.pauses.keep_only(instances)
        self.leaving &= instances
        self.reported_unreadable &= instances
        self.reported_malformed &= instances
        self.metrics.put('servers_limited', self.limits.count)
        self.metrics.put('servers_paused', len(self.pauses.paused(self.clock.now())))
        self.metrics.put('servers_leaving', len(self.leaving))
        self.metrics.put('servers_interfered', len(self.speeds.reports.interfered))

    def record_endless(self, instance: BackendId, request: str, detail: str) -> None:
        """Record a response of which a server has sent more than a response can hold."""
        self.metrics.add('responses_endless')
        self.node.events.emit(
            logger, Event.response_endless, backend=instance, request=request, detail=detail
        )

    # -- helpers ------------------------------------------------------------

    def _record_load(self, instance: BackendId, metadata: ResponseMetadata) -> None:
        """Record a reported load; malformed ones are counted and logged once per server."""
        if metadata.load is not None:
            self.speeds.reports.record(instance, metadata.load, self.clock.now())
        if metadata.load_malformed:
            self.metrics.add('loads_malformed')
            if instance not in self.reported_malformed:
                self.reported_malformed.add(instance)
                self.node.events.emit(logger, Event.load_unreadable, backend=instance)

    def _record_limit(self, instance: BackendId, metadata: ResponseMetadata) -> None:
        was_limited = self.limits.of(instance) is not None
        self.limits.record(instance, metadata.rate_limit_per_s, self.clock.now())
        if was_limited == (metadata.rate_limit_per_s is not None):
            return
        event = Event.limit_ended if was_limited else Event.limit_named
        self.node.events.emit(
            logger,
            event,
            backend=instance,
            per_s=metadata.rate_limit_per_s,
            request=metadata.attempt_id,
        )

    def _record_pause(
        self, instance: BackendId, metadata: ResponseMetadata, pause_s: float
    ) -> None:
        now = self.clock.now()
        is_new = not self.pauses.remaining_s(instance, now)
        self.pauses.record(instance, pause_s, now)
        if is_new and pause_s:
            self.node.events.emit(
                logger,
                Event.pause_requested,
                backend=instance,
                request=metadata.attempt_id,
                pause_s=pause_s,
            )

    def _log_unreadable_limit(self, instance: BackendId) -> None:
        """Log an unreadable limit once per server; the previous limit stays in effect."""
        if instance not in self.reported_unreadable:
            self.reported_unreadable.add(instance)
            self.node.events.emit(logger, Event.limit_unreadable, backend=instance)
