"""A simulated gateway's view of routes, servers and other gateways."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ringseam.backends import BackendView, GatewayState
from ringseam.gateway.following.crashedservers import CrashedServers
from ringseam.quarantinemessages import QuarantineSnapshot
from ringseam.streamroutes import RouteHistory, stream_routes

if TYPE_CHECKING:
    from ringseam.backends import BackendReport
    from ringseam.routes import RouteTable, ServiceName


class ModelFollower:
    """A gateway's view of routes, servers and other gateways, without a control group."""

    def __init__(self, *, table: RouteTable) -> None:
        """Create a follower with a fixed route table."""
        self.table = table
        #: The routes count as having been there for ever.
        self.routes = RouteHistory()
        self.routes.observe(stream_routes(table), -math.inf)
        self.view = BackendView()
        #: Stay empty: no server starts again under its name.
        self.crashed = CrashedServers()
        self.crash_listeners = []
        self.gateways: tuple[GatewayState, ...] = ()
        self.quarantine = QuarantineSnapshot(version=0)
        self.is_connected = True
        self.leader = ''
        self.epoch = ''

    @property
    def gateway_names(self) -> frozenset[str]:
        """Return the names of all gateways."""
        return frozenset(state.name for state in self.gateways)

    def zones_within(self, *limits: frozenset[str]) -> None:
        """Return None: all zones are allowed."""

    def serving(
        self, service: ServiceName, account: str, zones: None, software: str | None = None
    ) -> list[BackendReport]:
        """Return the servers of a service and version; no client account is confined."""
        servers = self.view.serving(service)
        return [server for server in servers if self.runs_version(server, software)]

    def runs_version(self, server: BackendReport, software: str | None) -> bool:
        """Return whether a server runs a version; None: any."""
        return software in {None, server.software}

    def uniform_version(self, service: ServiceName, *, duration_s: float) -> str | None:
        """Return the version of all servers of a service; None: they differ.

        The servers count as long-running.
        """
        versions = self.view.versions.get(service, frozenset())
        return next(iter(versions)) if len(versions) == 1 else None

    def runs_other_version(self, server: BackendReport, software: str) -> bool:
        """Return False: no server starts again under its name."""
        return False

    def unfit_for(self, software: str | None) -> tuple[()]:
        """Return no servers: the model draws no versions."""
        return ()

    def is_serving(self, server: BackendReport, software: str | None = None) -> bool:
        """Return whether a server accepts new requests and runs a version."""
        is_listed = server in self.view.serving(server.service)
        return is_listed and self.runs_version(server, software)

    async def wait_for_routes(self, limit_s: float) -> None:
        """Return at once, as the routes are always known."""
