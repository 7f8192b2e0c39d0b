"""HTTP server for the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ringseam.web.checkserver import create_check_server

if TYPE_CHECKING:
    from ringseam.metrics import Metrics
    from ringseam.node import Node
    from ringseam.web.exchange import Exchange

METRICS_PATH = '/metrics'
_OK = 200
_NOT_FOUND = 404


class MetricsPage:
    """Serve counters and histograms in the Prometheus text format."""

    def __init__(self, *, node: Node, metrics: Metrics) -> None:
        """Create a page that renders ``metrics`` on each request."""
        self.metrics = metrics
        self.server = create_check_server(
            name='metrics', handler=self.handle, node=node, metrics=metrics
        )

    async def start(self, host: str, port: int) -> int:
        """Start to listen and return the bound port."""
        return await self.server.start(host, port)

    async def close(self) -> None:
        """Stop the server."""
        await self.server.close()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        if exchange.request.path != METRICS_PATH:
            await exchange.respond(_NOT_FOUND, [])
            return
        headers = [('Content-Type', 'text/plain; version=0.0.4')]
        await exchange.respond(_OK, headers, self.metrics.render().encode())
