"""The part of ``ringseam demo`` that runs a gateway and backend servers without agents."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import typer
import urllib3

from ringseam.backends import BackendId, BackendState
from ringseam.calls import ClientRequest
from ringseam.control.role import ControlRole
from ringseam.errors import UnreachableError
from ringseam.gateway.role import GatewayRole
from ringseam.ids import split_address
from ringseam.layout import LOOPBACK, Layout, free_address
from ringseam.platform.example import (
    ENGINE_SERVICE,
    HOST,
    KEY,
    PLAIN_PATH,
    PLAIN_SERVICE,
    STAGE_SERVICE,
    STAGED_PATH,
    example_manifest,
)
from ringseam.platform.registration import CONFIG_PATH, READY_PATH
from ringseam.platform.requests import encode_request
from ringseam.routes import ServiceName
from ringseam.settings import read_settings
from ringseam.standin.direct import DirectServer

if TYPE_CHECKING:
    from pathlib import Path

    from ringseam.role import Role

_OK = 200
_UNAVAILABLE = 503
_READY_ATTEMPTS = 100
_READY_POLL_S = 0.1
_REQUEST_TIMEOUT_S = 4.0
_SERVICES = (PLAIN_SERVICE, STAGE_SERVICE, ENGINE_SERVICE)


class GatewayDemo:
    """Run a control host, a gateway and one backend server per service in this process."""

    def __init__(self, *, folder: Path) -> None:
        """Keep settings and data below ``folder``."""
        self.folder = folder
        self.control_address = free_address()
        self.client_address = free_address()
        self.ready_address = free_address()
        self.servers = [
            DirectServer(
                instance=BackendId(f'{service}-1'),
                service=ServiceName(service),
                control=self.control_address,
            )
            for service in _SERVICES
        ]

    async def run(self) -> bool:
        """Run the demo and return whether all of its steps succeeded."""
        async with contextlib.AsyncExitStack() as stack:
            for role in self._build_roles():
                stack.push_async_callback(role.close)
                await role.start()
            for server in self.servers:
                await server.start(LOOPBACK)
                stack.push_async_callback(server.http.close)
            await self._wait_until_ok(
                'PUT', f'http://{self.control_address}{CONFIG_PATH}', example_manifest()
            )
            for server in self.servers:
                await server.report()
            await self._wait_until_ok('GET', f'http://{self.ready_address}{READY_PATH}', b'')
            return await self._run_scenario()

    def _build_roles(self) -> list[Role]:
        layout = Layout(folder=self.folder)
        cluster = free_address()
        port = split_address(cluster)[1]
        ports = f'{port}, {port}'
        common = {'seeds': self.control_address, 'cluster_ports': ports}
        host = layout.add(
            'control',
            'demo-control',
            address=cluster,
            http=self.control_address,
            data_dir=str(self.folder / 'demo-control'),
            **common,
        )
        gateway = layout.add(
            'gateway',
            'demo-gateway',
            http=self.client_address,
            ready=self.ready_address,
            **common,
        )
        role_classes: list[type[Role]] = [ControlRole, GatewayRole]
        return [
            role_class(
                settings=read_settings(
                    planned.role,
                    planned.settings.read_text(encoding='utf-8'),
                    path=str(planned.settings),
                ),
            )
            for role_class, planned in zip(role_classes, (host, gateway), strict=True)
        ]

    async def _run_scenario(self) -> bool:
        plain_server = self.servers[0]
        plain = await self._send('signal-1', PLAIN_PATH)
        typer.echo(f'plain request: {plain.status}, {len(plain.data)} bytes')
        stream = await self._send('report-1', STAGED_PATH, pieces=(3,))
        events = stream.data.count(b'id: ')
        typer.echo(f'staged stream: {stream.status}, {events} events after 3 pieces')
        acknowledged = await plain_server.report(BackendState.draining)
        refused = await self._send('signal-2', PLAIN_PATH)
        pause = refused.headers.get('Retry-After', '')
        typer.echo(
            f'server leaves: acknowledged {acknowledged}; then {refused.status}, retry in {pause} s'
        )
        succeeded = plain.status == _OK and stream.status == _OK and bool(events)
        not_run = refused.status == _UNAVAILABLE and plain_server.executed == ['signal-1']
        return succeeded and acknowledged and not_run

    async def _send(
        self,
        name: str,
        path: str,
        pieces: tuple[int, ...] = (),
    ) -> urllib3.BaseHTTPResponse:
        request = ClientRequest(
            attempt_id=name,
            host=HOST,
            path=path,
            time_left_s=_REQUEST_TIMEOUT_S,
            key=KEY,
            pieces=pieces,
            piece_key=name,
        )
        headers = dict(encode_request(request))
        if pieces:
            headers['Accept'] = 'text/event-stream'
        url = f'http://{self.client_address}{path}'
        return await asyncio.to_thread(
            urllib3.request,
            'POST',
            url,
            body=b'lot 17',
            headers=headers,
            retries=False,
        )

    async def _wait_until_ok(self, method: str, url: str, body: bytes) -> None:
        """Repeat a call until the status is 200; the replicas have to elect a leader first."""
        for _ in range(_READY_ATTEMPTS):
            reply = await asyncio.to_thread(
                urllib3.request,
                method,
                url,
                body=body,
                retries=False,
            )
            if reply.status == _OK:
                return
            await asyncio.sleep(_READY_POLL_S)
        raise UnreachableError(f'{url} did not become ready')
