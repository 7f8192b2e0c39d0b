"""Announces whether a gateway's host takes new clients, and exports its load."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from ringseam.events import Event
from ringseam.gateway.hosts.descriptors import count_open_descriptors
from ringseam.gateway.hosts.load import LoadMeter
from ringseam.gateway.hosts.readiness import HostReadiness
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostLoad

if TYPE_CHECKING:
    from ringseam.gateway.following.follower import Follower
    from ringseam.gateway.hosts.monitor import HostMonitor
    from ringseam.metrics import Metrics
    from ringseam.node import Node

logger = logging.getLogger(__name__)

#: Interval between counts of the open descriptors, seconds.
_COUNT_INTERVAL_S = 0.5


class HostAnnouncer:
    """Keep the state that a gateway publishes of its host up to date."""

    def __init__(
        self, *, node: Node, metrics: Metrics, follower: Follower, host: HostMonitor
    ) -> None:
        """Announce the state of ``host`` through ``follower``."""
        self.node = node
        self.metrics = metrics
        self.follower = follower
        self.host = host
        self.is_known = host.capacity != UNKNOWN_CAPACITY
        self.readiness = HostReadiness(name=node.name, zone=node.zone)
        self.meter = LoadMeter(
            capacity=host.capacity, now=node.clock.now(), processor_s=time.process_time()
        )
        #: What is in use on this host. It isn't published, as each change of a gateway's state is
        #: sent to all gateways, and none decides by it.
        self.load = HostLoad()
        self.counted_at = float('-inf')
        #: Whether the open descriptors could be counted the last time.
        self.is_counted = True
        #: Whether the readiness check fails for lack of room.
        self.is_out = False

    def record(self, late_s: float) -> None:
        """Update the state; without known limits of the host there is none.

        :param late_s: by how much a timer was late, seconds.
        """
        if not self.is_known:
            return
        now = self.node.clock.now()
        clients = self.host.client_count
        if self.host.descriptors.limit and now >= self.counted_at + _COUNT_INTERVAL_S:
            self.counted_at = now
            self._count_descriptors()
        connections = self.host.descriptors.share(clients)
        held = self.host.budget.share
        self.meter.measure_processor(time.process_time(), now)
        self.load = self.meter.update(late_s=late_s, held=held, connections=connections, now=now)
        self.follower.full = self.readiness.update(connections=connections, held=held, now=now)
        self._update_readiness(now)
        self._export(clients, late_s)

    def _count_descriptors(self) -> None:
        count = count_open_descriptors()
        if count is None and self.is_counted:
            others = self.host.descriptors.others
            logger.warning('open descriptors not counted, %d others are assumed', others)
        self.is_counted = count is not None
        connections = self.host.connection_count
        self.host.descriptors.update(open_descriptors=count, clients=connections)

    def _update_readiness(self, now: float) -> None:
        is_out = self.readiness.is_out(
            self.follower.gateways, now, is_connected=self.follower.is_connected
        )
        if is_out == self.is_out:
            return
        self.is_out = is_out
        self.node.events.emit(
            logger,
            Event.host_out if is_out else Event.host_ready,
            clients=self.host.client_count,
            most_clients=self.host.descriptors.max_clients,
            held_bytes=self.host.budget.total,
        )

    def _export(self, clients: int, late_s: float) -> None:
        self.metrics.put('client_connections', clients)
        self.metrics.put('client_connections_bound', self.host.descriptors.max_clients)
        self.metrics.put('event_loop_late_seconds', late_s)
        self.metrics.put('processor_share', self.meter.processor_share)
        self.metrics.put('host_full', int(self.follower.full))
        self.metrics.put('host_out', int(self.is_out))
        levels = {
            'lag': self.load.lag,
            'processor': self.load.processor,
            'held': self.load.held,
            'connections': self.load.connections,
        }
        for kind, level in levels.items():
            self.metrics.put('host_load', level.value, kind=kind)
